"""Selects the relay that watches the store for its availability zone.

The store counts each watch as a call. In a large fleet, every entry that
a target writes would complete a watch of every instance. Therefore one instance
per zone, the relay, watches the store, and the other instances of the zone wait
for updates at the relay. An instance whose view was not confirmed recently
watches the store itself. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable

from bambooglade.core import hashing
from bambooglade.discovery import peers as peers_lib

MIN_RELAY_FLEET_SIZE = 16
"""Smallest fleet that uses relays.

The watches of a smaller fleet put little load on the store.
"""

MAX_RELAY_CANDIDATES = 2
"""Number of relays per zone that are tried before the store.

The first one may be down.
"""

UNRESPONSIVE_RELAY_BACKOFF_MS = 5_000
"""Time for which a relay that did not respond is not queried again."""

STALE_RELAY_BACKOFF_MS = 1_000
"""Time for which a relay with a stale view is not queried again.

Such a relay has just started or has lost the store, and recovers soon.
"""

STALE_AGE_FRACTION = 0.7
"""Age at which a view is stale, as a fraction of `change_bound_ms`.

An instance with a stale view watches the store directly. The remaining part of
the time is left for reading the change.
"""


class RelaySelector:
    """Selects a relay of the local zone, or the store.

    Args:
        local_instance: Entry of this instance.
        peers: Returns the other known instances.
        change_bound_ms: Time within which a change has to be in force.

    Attributes:
        stale_after_ms: Age after which a view counts as stale.

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
        "_backoff_until_ms_by_name",
        "_local_instance",
        "_peers",
        "stale_after_ms",
    )

    def __init__(
        self,
        local_instance: peers_lib.Peer,
        *,
        peers: Callable[[], list[peers_lib.Peer]],
        change_bound_ms: int,
    ) -> None:
        self._local_instance = local_instance
        self.stale_after_ms = round(STALE_AGE_FRACTION * change_bound_ms)
        self._peers = peers
        self._backoff_until_ms_by_name: dict[str, int] = {}

    def select(self, *, now_ms: int) -> peers_lib.Peer | None:
        """Returns the relay to query, or None to watch the store directly."""
        if not self.uses_relays():
            return None
        peers = self._peers()
        zone = self._local_instance.availability_zone
        in_zone = [p for p in peers if p.availability_zone == zone]
        for relay in _candidates(zone, [*in_zone, self._local_instance]):
            if relay.name == self._local_instance.name:
                return None
            if self._backoff_until_ms_by_name.get(relay.name, 0) <= now_ms:
                return relay
        return None

    def peers_to_inform(
        self, *, is_store_reachable: bool
    ) -> list[peers_lib.Peer]:
        """Returns the peers through which news reach the whole fleet.

        These are all peers of a small fleet, and the relays of each zone of a
        large one. Without the store, instances do not wait at relays.
        """
        peers = self._peers()
        if not self.uses_relays() or not is_store_reachable:
            return peers
        by_zone: dict[str, list[peers_lib.Peer]] = {}
        for peer in [*peers, self._local_instance]:
            by_zone.setdefault(peer.availability_zone, []).append(peer)
        return [
            relay
            for zone, members in by_zone.items()
            for relay in _candidates(zone, members)
            if relay.name != self._local_instance.name
        ]

    def known_peers(self) -> list[peers_lib.Peer]:
        """Returns the other known instances."""
        return self._peers()

    def uses_relays(self) -> bool:
        """Returns whether the fleet is large enough to use relays."""
        return len(self._peers()) + 1 >= MIN_RELAY_FLEET_SIZE

    def back_off(
        self, relay: peers_lib.Peer, *, has_responded: bool, now_ms: int
    ) -> None:
        """Excludes a relay from selection for a back-off period.

        Args:
            relay: The relay.
            has_responded: Whether it responded, but with a stale view.
            now_ms: Current time.
        """
        duration_ms = (
            STALE_RELAY_BACKOFF_MS
            if has_responded
            else UNRESPONSIVE_RELAY_BACKOFF_MS
        )
        self._backoff_until_ms_by_name[relay.name] = now_ms + duration_ms

    def must_watch_store(
        self, *, now_ms: int, checked_at_ms: int | None
    ) -> bool:
        """Returns whether this instance has to watch the store itself.

        Args:
            now_ms: Current time.
            checked_at_ms: Time at which the view of this instance was last
                confirmed as the newest; None if it never was.
        """
        is_stale = (
            checked_at_ms is None
            or now_ms - checked_at_ms > self.stale_after_ms
        )
        return is_stale or self.select(now_ms=now_ms) is None

    def __repr__(self) -> str:
        return f"RelaySelector(local_instance={self._local_instance.name!r})"


def _candidates(
    zone: str, instances: list[peers_lib.Peer]
) -> list[peers_lib.Peer]:
    """Returns the relays of a zone in the order in which they are tried."""
    by_name = {instance.name: instance for instance in instances}
    max_link_mbps = max(instance.link_mbps for instance in by_name.values())
    names = [n for n in by_name if by_name[n].link_mbps == max_link_mbps]
    ranked = hashing.rendezvous(f"relay/{zone}", names)
    return [by_name[name] for name in ranked[:MAX_RELAY_CANDIDATES]]
