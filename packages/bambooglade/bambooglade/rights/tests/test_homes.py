"""Tests of `bambooglade.rights.homes`."""

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


def fleet(size: int) -> list[homes_lib.HomeSelector]:
    members = [peer(number) for number in range(size)]

    def others(own):
        return lambda: [member for member in members if member != own]

    return [
        homes_lib.HomeSelector(own, peers=others(own), team_count=lambda: 24)
        for own in members
    ]


@pytest.mark.parametrize("size", [1, 6, homes_lib.MAX_SMALL_FLEET_SIZE])
def test_every_instance_of_a_small_fleet_is_a_home(size):
    for homes in fleet(size):
        assert homes.is_local("team")
        assert homes.count() == size
        assert len(homes.of("team")) == size


@pytest.mark.parametrize("team", ["a", "b", "c"])
def test_one_instance_a_zone_in_a_large_fleet(team):
    views = fleet(90)
    owners = [homes for homes in views if homes.is_local(team)]
    assert len(owners) == 4
    for homes in views:
        first, *rest = homes.of(team)
        assert first.name in {owner._local_instance.name for owner in owners}
        assert len({h.availability_zone for h in [first, *rest]}) == 4
        assert homes.count() == 4


def test_teams_share_homes():
    views = fleet(90)
    owners = {
        homes._local_instance.name
        for homes in views
        for team in range(24)
        if homes.is_local(f"team-{team}")
    }
    assert len(owners) <= 3 * 4
