"""Which instance follows the store on behalf of its availability zone; pure.

Answers the size of the fleet: the store counts each watch, and in a large fleet
every entry that a target writes would wake every instance. One instance a zone
follows the store, and the others wait at it for news. An instance whose relay
has not confirmed its view lately follows the store by itself.
"""

from __future__ import annotations

from collections.abc import Callable

from bambooglade.core import hashing
from bambooglade.discovery import peers as peers_lib

MIN_RELAY_FLEET_SIZE = 16
"""Instances from which on there are relays; fewer cost the store little."""

MAX_RELAY_CANDIDATES = 2
"""Relays of a zone that are tried before the store: one may be gone."""

SUSPECT_MS = 5_000
"""How long a relay that did not answer is not asked again."""

BEHIND_MS = 1_000
"""How long a relay is not asked again whose own view is old: it has started, or
it will be back with the store."""

STALE_SHARE = 0.7
"""Age of a view from which the store is followed directly, as a part of the
time in which a change has to be in force; the rest is left for reading it."""


class RelaySelector:
    """Chooses between a relay of the own zone and the store.

    Args:
        local_instance: This instance, as peers know it.
        peers: Returns the other instances.
        change_bound_ms: Time in which a change has to be in force.

    Attributes:
        stale_ms: Age from which a view is not trusted to be the newest.

    Examples:
        >>> def peer(number):
        ...     return peers_lib.Peer(name=f"i{number}", incarnation="1",
        ...         host="10.0.0.1", port=number, availability_zone="z")
        >>> relays = RelaySelector(peer(0), peers=lambda: [peer(1)],
        ...     change_bound_ms=2_000)
        >>> relays.select(now_ms=0) is None  # a small fleet
        True
    """

    __slots__ = (
        "_local_instance",
        "_peers",
        "_suspect_until_ms_by_name",
        "stale_ms",
    )

    def __init__(
        self,
        local_instance: peers_lib.Peer,
        *,
        peers: Callable[[], list[peers_lib.Peer]],
        change_bound_ms: int,
    ) -> None:
        self._local_instance = local_instance
        self.stale_ms = round(STALE_SHARE * change_bound_ms)
        self._peers = peers
        self._suspect_until_ms_by_name: dict[str, int] = {}

    def select(self, *, now_ms: int) -> peers_lib.Peer | None:
        """Returns the relay to wait at; None if the store is to be followed."""
        if not self.is_fleet_large():
            return None
        peers = self._peers()
        zone = self._local_instance.availability_zone
        by_name = {p.name: p for p in peers if p.availability_zone == zone}
        by_name[self._local_instance.name] = self._local_instance
        widest = max(peer.link_mbps for peer in by_name.values())
        names = [n for n in by_name if by_name[n].link_mbps == widest]
        for name in hashing.rendezvous(f"relay/{zone}", names)[
            :MAX_RELAY_CANDIDATES
        ]:
            if name == self._local_instance.name:
                return None
            if self._suspect_until_ms_by_name.get(name, 0) <= now_ms:
                return by_name[name]
        return None

    def is_fleet_large(self) -> bool:
        """Returns whether instances follow the store on behalf of others."""
        return len(self._peers()) + 1 >= MIN_RELAY_FLEET_SIZE

    def suspect(
        self, relay: peers_lib.Peer, *, has_answered: bool, now_ms: int
    ) -> None:
        """Notes that a relay did not help."""
        duration_ms = BEHIND_MS if has_answered else SUSPECT_MS
        self._suspect_until_ms_by_name[relay.name] = now_ms + duration_ms

    def must_watch_store(
        self, *, now_ms: int, checked_at_ms: int | None
    ) -> bool:
        """Returns whether this instance has to follow the store itself.

        Args:
            now_ms: The time.
            checked_at_ms: When the own view was last known to be the newest.
        """
        is_stale = (
            checked_at_ms is None or now_ms - checked_at_ms > self.stale_ms
        )
        return is_stale or self.select(now_ms=now_ms) is None

    def __repr__(self) -> str:
        return f"RelaySelector(local_instance={self._local_instance.name!r})"
