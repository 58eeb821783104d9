"""Selects the peer that gets a request; without I/O.

See Also:
    bambooglade.gateway.peer_forwarder: sends the request to the peer.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Collection
import random

from bambooglade.discovery import peers as peers_lib

DECLINE_PERIOD_MS = 1_000
"""Time for which a peer that declined is not asked for the same service."""

MEMORY_MS = 10_000
"""Time for which the last response of a peer decides its place in the order.

Where most peers are cut off too, a request would otherwise try several of them
each time that their declines are over.
"""

FAILURE_PERIOD_MS = 1_500
"""Time for which a peer that did not respond is not asked for any service."""

OTHER_ZONE_REQUESTS = 1
"""Requests by which a peer in another zone has to be less loaded.

Bytes between availability zones are paid for.
"""

REFERENCE_LINK_MBPS = 100.0
"""Link on which a request counts once; on a slower one it counts more."""


class ForwardingPeers:
    """Peers of this instance, and which of them took requests lately.

    Args:
        availability_zone: Zone of this instance.
        peers: Returns the other known instances.
        random_source: Chooses among equally loaded peers.

    Attributes:
        is_serving: Whether a peer took the last request.

    Examples:
        >>> peer = peers_lib.Peer(name="b", incarnation="1", host="10.0.0.2",
        ...     port=1, forwarding_port=2, availability_zone="x")
        >>> forwarding = ForwardingPeers("x", lambda: [peer], random.Random(1))
        >>> forwarding.choose("s", tried=(), now_ms=0).name
        'b'
        >>> forwarding.record_decline(peer, "s", now_ms=0)
        >>> forwarding.choose("s", tried=(), now_ms=999) is None
        True
    """

    __slots__ = (
        "_availability_zone",
        "_avoided_until_ms_by_name",
        "_declined_at_ms_by_name_and_service",
        "_declined_until_ms_by_zone_and_service",
        "_in_flight_by_name",
        "_peers",
        "_random",
        "_served_at_ms_by_name_and_service",
        "is_serving",
    )

    def __init__(
        self,
        availability_zone: str,
        peers: Callable[[], list[peers_lib.Peer]],
        random_source: random.Random,
    ) -> None:
        self._availability_zone = availability_zone
        self._peers = peers
        self._random = random_source
        self.is_serving = True
        self._in_flight_by_name: collections.Counter[str] = (
            collections.Counter()
        )
        self._avoided_until_ms_by_name: dict[str, int] = {}
        self._served_at_ms_by_name_and_service: dict[tuple[str, str], int] = {}
        self._declined_at_ms_by_name_and_service: dict[
            tuple[str, str], int
        ] = {}
        self._declined_until_ms_by_zone_and_service: dict[
            tuple[str, str], int
        ] = {}

    def choose(
        self,
        service: str,
        *,
        tried: Collection[str],
        now_ms: int,
        among: Collection[str] | None = None,
    ) -> peers_lib.Peer | None:
        """Returns the peer that a request goes to; None if there is none.

        The peer with the fewest requests of this instance for its link is
        preferred, slightly one in the own zone. The peers of a zone in which
        one has just declined come later, since the zone may be cut off as a
        whole, and those that declined lately themselves come last.

        Args:
            service: Service of the request.
            tried: Names of the peers that the request was sent to before.
            now_ms: The current time.
            among: Names of the peers that may serve it; None for all.
        """
        usable = [
            peer
            for peer in self._peers()
            if peer.name not in tried
            and (among is None or peer.name in among)
            and self._is_usable(peer, service, now_ms=now_ms)
        ]
        if not usable:
            return None
        return min(
            usable,
            key=lambda peer: (
                self._doubt(peer, service, is_retry=bool(tried), now_ms=now_ms),
                self._load(peer),
                self._random.random(),
            ),
        )

    def _doubt(
        self,
        peer: peers_lib.Peer,
        service: str,
        *,
        is_retry: bool,
        now_ms: int,
    ) -> int:
        """Returns how doubtful it is that a peer serves a service; 0 to 3.

        A request that was declined goes to peers known to serve, if there are
        any: most others may be cut off too.
        """
        key = peer.name, service
        declined_at_ms = self._declined_at_ms_by_name_and_service.get(key)
        if declined_at_ms is not None and now_ms - declined_at_ms < MEMORY_MS:
            return 3
        served_at_ms = self._served_at_ms_by_name_and_service.get(key)
        if served_at_ms is not None and now_ms - served_at_ms < MEMORY_MS:
            return 0
        zone_key = peer.availability_zone, service
        until_ms = self._declined_until_ms_by_zone_and_service.get(zone_key, 0)
        if until_ms > now_ms:
            return 2
        return 1 if is_retry else 0

    def _is_usable(
        self, peer: peers_lib.Peer, service: str, *, now_ms: int
    ) -> bool:
        declined_at_ms = self._declined_at_ms_by_name_and_service.get(
            (peer.name, service)
        )
        return (
            peer.forwarding_address is not None
            and self._avoided_until_ms_by_name.get(peer.name, 0) <= now_ms
            and (
                declined_at_ms is None
                or now_ms - declined_at_ms >= DECLINE_PERIOD_MS
            )
        )

    def _load(self, peer: peers_lib.Peer) -> float:
        weight = REFERENCE_LINK_MBPS / (peer.link_mbps or REFERENCE_LINK_MBPS)
        is_other_zone = peer.availability_zone != self._availability_zone
        requests = self._in_flight_by_name[peer.name]
        return (requests + OTHER_ZONE_REQUESTS * is_other_zone) * max(1, weight)

    def record_sent(self, peer: peers_lib.Peer) -> None:
        """Records that a request was sent to a peer."""
        self._in_flight_by_name[peer.name] += 1

    def record_end(self, peer: peers_lib.Peer) -> None:
        """Records that a request at a peer has ended."""
        self._in_flight_by_name[peer.name] -= 1
        if self._in_flight_by_name[peer.name] <= 0:
            del self._in_flight_by_name[peer.name]

    def record_decline(
        self, peer: peers_lib.Peer, service: str, *, now_ms: int
    ) -> None:
        """Records that a peer can't serve requests to a service either."""
        key = peer.name, service
        self._served_at_ms_by_name_and_service.pop(key, None)
        self._declined_at_ms_by_name_and_service[key] = now_ms
        self._declined_until_ms_by_zone_and_service[
            peer.availability_zone, service
        ] = now_ms + DECLINE_PERIOD_MS

    def record_served(
        self, peer: peers_lib.Peer, service: str, *, now_ms: int
    ) -> None:
        """Records that a peer took a request and responded to it."""
        self.is_serving = True
        key = peer.name, service
        self._declined_at_ms_by_name_and_service.pop(key, None)
        self._served_at_ms_by_name_and_service[key] = now_ms

    def record_failure(self, peer: peers_lib.Peer, *, now_ms: int) -> None:
        """Records that a peer was not reached, or has not responded."""
        self._avoided_until_ms_by_name[peer.name] = now_ms + FAILURE_PERIOD_MS

    def evict_expired(self, *, now_ms: int) -> None:
        """Evicts what is over, also of peers that are gone."""
        for until_ms_by_key in (
            self._avoided_until_ms_by_name,
            self._declined_until_ms_by_zone_and_service,
        ):
            for key in list(until_ms_by_key):
                if until_ms_by_key[key] <= now_ms:
                    del until_ms_by_key[key]
        for at_ms_by_key in (
            self._served_at_ms_by_name_and_service,
            self._declined_at_ms_by_name_and_service,
        ):
            for key in list(at_ms_by_key):
                if now_ms - at_ms_by_key[key] >= MEMORY_MS:
                    del at_ms_by_key[key]

    def __repr__(self) -> str:
        return f"ForwardingPeers(in_flight={self._in_flight_by_name.total()})"
