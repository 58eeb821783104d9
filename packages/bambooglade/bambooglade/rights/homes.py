"""Selects the home instances that hold a team's stock of rights.

If every instance held a stock for every team, writes to the ledgers would grow
with the product of instances and teams. In a large fleet, one instance per
availability zone holds a team's stock and lends to the other instances of its
zone, so that a zone that is cut off still has a stock. In a small fleet every
instance is a home of every team, and requests need no loans. This module does
no I/O.
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


class HomeSelector:
    """Selects the homes of teams among the known instances.

    Args:
        local_instance: Entry of this instance.
        peers: Returns the other known instances.
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

    __slots__ = ("_local_instance", "_peers", "_team_count")

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

    @property
    def is_every_instance_home(self) -> bool:
        """Whether the fleet is small enough for every instance to be a home."""
        return len(self._peers()) < MAX_SMALL_FLEET_SIZE

    def of(self, team: str) -> list[peers_lib.Peer]:
        """Returns the homes of a team, those in the local zone first."""
        peers = self._peers()
        if self.is_every_instance_home:
            local_zone = self._local_instance.availability_zone
            return [
                self._local_instance,
                *sorted(peers, key=lambda p: p.availability_zone != local_zone),
            ]
        return self._zone_homes(team, peers)

    def _zone_homes(
        self, team: str, peers: list[peers_lib.Peer]
    ) -> list[peers_lib.Peer]:
        shard_count = max(1, self._team_count() // TEAMS_PER_SHARD)
        shard = hashing.shard_of(team, shard_count=shard_count)
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
        peers = self._peers()
        if self.is_every_instance_home:
            return len(peers) + 1
        zones = {peer.availability_zone for peer in peers}
        return len(zones | {self._local_instance.availability_zone})

    def __repr__(self) -> str:
        return (
            f"HomeSelector(local_instance={self._local_instance.name!r},"
            f" count={self.count()})"
        )
