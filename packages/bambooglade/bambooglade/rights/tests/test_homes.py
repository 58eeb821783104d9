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
