"""Tests for `bambooglade.rights.homes`."""

from __future__ import annotations

import pytest

from bambooglade.discovery import peers as peers_lib
from bambooglade.rights import homes as homes_lib


def peer(number: int) -> peers_lib.Peer:
    return peers_lib.Peer(
        name=f"i{number}",
        incarnation="1",
        host="10.0.0.1",
        port=1,
        availability_zone=f"z{number % 4}",
    )


def home_selectors(size: int) -> list[homes_lib.HomeSelector]:
    members = [peer(number) for number in range(size)]

    def peers_of(local_instance):
        return lambda: [
            member for member in members if member != local_instance
        ]

    return [
        homes_lib.HomeSelector(
            local_instance,
            peers=peers_of(local_instance),
            team_count=lambda: 24,
        )
        for local_instance in members
    ]


@pytest.mark.parametrize("size", [1, 6, homes_lib.MAX_SMALL_FLEET_SIZE])
def test_every_instance_of_small_fleet_is_home(size):
    for homes in home_selectors(size):
        assert homes.is_local("team")
        assert homes.count() == size
        assert len(homes.of("team")) == size


@pytest.mark.parametrize("team", ["a", "b", "c"])
def test_large_fleet_has_one_home_per_zone(team):
    selectors = home_selectors(90)
    owners = [homes for homes in selectors if homes.is_local(team)]
    assert len(owners) == 4
    for homes in selectors:
        first, *rest = homes.of(team)
        assert first.name in {owner._local_instance.name for owner in owners}
        assert len({h.availability_zone for h in [first, *rest]}) == 4
        assert homes.count() == 4


def test_teams_share_homes_in_large_fleet():
    selectors = home_selectors(90)
    owners = {
        homes._local_instance.name
        for homes in selectors
        for team in range(24)
        if homes.is_local(f"team-{team}")
    }
    assert len(owners) <= 3 * 4


def test_homes_are_ranked_once_for_each_list_of_peers(monkeypatch):
    ranked = []
    rank_by_zone = peers_lib.rank_by_zone

    def count(key, instances):
        ranked.append(key)
        return rank_by_zone(key, instances)

    monkeypatch.setattr(peers_lib, "rank_by_zone", count)
    members = [[peer(n) for n in range(1, 90)], [peer(n) for n in range(2, 90)]]
    current = members[0]
    homes = homes_lib.HomeSelector(
        peer(0), peers=lambda: current, team_count=lambda: 24
    )
    for _ in range(100):
        for team in range(24):
            homes.is_local(f"team-{team}")
    assert len(ranked) == 3
    current = members[1]
    for team in range(24):
        assert peer(1) not in homes.of(f"team-{team}")
    assert len(ranked) == 6


@pytest.mark.parametrize("sizes", [(5, 90), (90, 5), (90, 89)])
def test_homes_follow_a_change_of_the_peers(sizes):
    current = []
    homes = homes_lib.HomeSelector(
        peer(0), peers=lambda: current, team_count=lambda: 24
    )
    for size in sizes:
        current = [peer(n) for n in range(1, size)]
        fresh = homes_lib.HomeSelector(
            peer(0),
            peers=lambda members=current: list(members),
            team_count=lambda: 24,
        )
        for team in range(24):
            assert homes.of(f"team-{team}") == fresh.of(f"team-{team}")
        assert homes.count() == fresh.count()
