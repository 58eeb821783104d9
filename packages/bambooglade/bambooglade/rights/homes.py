"""Which instance holds a team's stock for its availability zone; pure.

Answers the size of the fleet: if each instance held a stock of each team,
writes to the ledgers would grow with instances times teams. One instance a
zone holds a team's stock and lends to the others of its zone; a zone that is
cut off has its own.
"""

from __future__ import annotations

from collections.abc import Callable

from bambooglade.core import hashing
from bambooglade.discovery import peers as peers_lib

TEAMS_PER_SHARD = 8
"""Teams whose stocks lie at the same instance, drawn in one write."""


class Homes:
    """Finds the homes of teams among the instances that are known.

    Args:
        own: This instance.
        peers: Returns the other instances.
        team_count: Returns the number of teams.

    Examples:
        >>> def peer(name, zone):
        ...     return peers_lib.Peer(name=name, incarnation="1",
        ...         host="10.0.0.1", port=1, availability_zone=zone)
        >>> homes = Homes(peer("a", "z1"), peers=lambda: [peer("b", "z1"),
        ...     peer("c", "z2")], team_count=lambda: 1)
        >>> [home.availability_zone for home in homes.of("team")]
        ['z1', 'z2']
    """

    __slots__ = ("_own", "_peers", "_team_count")

    def __init__(
        self,
        own: peers_lib.Peer,
        *,
        peers: Callable[[], list[peers_lib.Peer]],
        team_count: Callable[[], int],
    ) -> None:
        self._own = own
        self._peers = peers
        self._team_count = team_count

    def of(self, team: str) -> list[peers_lib.Peer]:
        """Returns the home of a team in each zone, the own zone first."""
        by_zone: dict[str, dict[str, peers_lib.Peer]] = {}
        for peer in [self._own, *self._peers()]:
            members = by_zone.setdefault(peer.availability_zone, {})
            members[peer.name] = peer
        shard_count = max(1, self._team_count() // TEAMS_PER_SHARD)
        shard = hashing.shard_of(team, shard_count=shard_count)
        own_zone = self._own.availability_zone
        zones = sorted(by_zone, key=lambda zone: (zone != own_zone, zone))
        return [
            by_zone[zone][hashing.rendezvous(f"home/{shard}", by_zone[zone])[0]]
            for zone in zones
        ]

    def is_own(self, team: str) -> bool:
        """Returns whether this instance is the home in its zone."""
        return self.of(team)[0].name == self._own.name

    def count(self) -> int:
        """Returns the number of zones, which is that of a team's homes."""
        zones = {peer.availability_zone for peer in self._peers()}
        return len(zones | {self._own.availability_zone})

    def __repr__(self) -> str:
        return f"Homes(own={self._own.name!r}, zones={self.count()})"
