"""Selects the home instances that hold a team's stock of rights.

If every instance held a stock for every team, writes to the ledgers would grow
with the product of instances and teams. In a large fleet, one instance per
availability zone holds a team's stock and lends to the other instances of its
zone, so that a zone that is cut off still has a stock. In a small fleet every
instance is a home of every team, and requests need no loans. This module does
no I/O.

Homes are looked up several times a request and team, so they are ranked once
for each list of peers.
"""

from __future__ import annotations

from collections.abc import Callable

from bambooglade.core import hashing
from bambooglade.discovery import peers as peers_lib

MAX_SMALL_FLEET_SIZE = 16
"""Largest fleet in which every instance is a home of every team."""

TEAMS_PER_SHARD = 8
"""Approximate number of teams that share the same homes.

An instance draws the stocks of these teams in one write.
"""

_EVERY_INSTANCE = -1


class HomeSelector:
    """Selects the homes of teams among the known instances.

    Args:
        local_instance: Entry of this instance.
        peers: Returns the other known instances, as the same object while they
            are the same.
        team_count: Returns the number of configured teams.

    Examples:
        >>> def peer(name, zone):
        ...     return peers_lib.Peer(name=name, incarnation="1",
        ...         host="10.0.0.1", port=1, availability_zone=zone)
        >>> homes = HomeSelector(
        ...     peer("a", "z1"),
        ...     peers=lambda: [peer("b", "z1"), peer("c", "z2")],
        ...     team_count=lambda: 1,
        ... )
        >>> [home.name for home in homes.of("team")]
        ['a', 'b', 'c']
    """

    __slots__ = (
        "_count",
        "_homes_by_shard",
        "_local_instance",
        "_peers",
        "_ranked_peers",
        "_team_count",
    )

    def __init__(
        self,
        local_instance: peers_lib.Peer,
        *,
        peers: Callable[[], list[peers_lib.Peer]],
        team_count: Callable[[], int],
    ) -> None:
        self._local_instance = local_instance
        self._peers = peers
        self._team_count = team_count
        self._ranked_peers: list[peers_lib.Peer] | None = None
        self._homes_by_shard: dict[int, list[peers_lib.Peer]] = {}
        self._count = 0

    def _current_peers(self) -> list[peers_lib.Peer]:
        """Returns the peers, and forgets the homes among other ones."""
        peers = self._peers()
        if peers is not self._ranked_peers:
            self._ranked_peers = peers
            self._homes_by_shard = {}
            self._count = 0
        return peers

    @property
    def is_every_instance_home(self) -> bool:
        """Whether the fleet is small enough for every instance to be a home."""
        return len(self._peers()) < MAX_SMALL_FLEET_SIZE

    def of(self, team: str) -> list[peers_lib.Peer]:
        """Returns the homes of a team, those in the local zone first."""
        peers = self._current_peers()
        shard = _EVERY_INSTANCE
        if len(peers) >= MAX_SMALL_FLEET_SIZE:
            shard_count = max(1, self._team_count() // TEAMS_PER_SHARD)
            shard = hashing.shard_of(team, shard_count=shard_count)
        homes = self._homes_by_shard.get(shard)
        if homes is None:
            homes = self._homes_by_shard[shard] = (
                self._all_homes(peers)
                if shard == _EVERY_INSTANCE
                else self._zone_homes(shard, peers)
            )
        return homes

    def _all_homes(self, peers: list[peers_lib.Peer]) -> list[peers_lib.Peer]:
        local_zone = self._local_instance.availability_zone
        return [
            self._local_instance,
            *sorted(peers, key=lambda p: p.availability_zone != local_zone),
        ]

    def _zone_homes(
        self, shard: int, peers: list[peers_lib.Peer]
    ) -> list[peers_lib.Peer]:
        ranked_by_zone = peers_lib.rank_by_zone(
            f"home/{shard}", [self._local_instance, *peers]
        )
        local_zone = self._local_instance.availability_zone
        zones = sorted(
            ranked_by_zone, key=lambda zone: (zone != local_zone, zone)
        )
        return [ranked_by_zone[zone][0] for zone in zones]

    def is_local(self, team: str) -> bool:
        """Returns whether this instance is a home of the team."""
        return self.of(team)[0].name == self._local_instance.name

    def count(self) -> int:
        """Returns the number of homes per team."""
        peers = self._current_peers()
        if len(peers) < MAX_SMALL_FLEET_SIZE:
            return len(peers) + 1
        if not self._count:
            zones = {peer.availability_zone for peer in peers}
            self._count = len(zones | {self._local_instance.availability_zone})
        return self._count

    def __repr__(self) -> str:
        return (
            f"HomeSelector(local_instance={self._local_instance.name!r},"
            f" count={self.count()})"
        )
