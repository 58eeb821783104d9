"""Tests of `bambooglade.discovery.peers`."""

from __future__ import annotations

import pytest

from bambooglade.discovery import peers as peers_lib

TTL_MS = peers_lib.PEER_TTL_MS


def peer(name: str, incarnation: str = "1") -> peers_lib.Peer:
    return peers_lib.Peer(
        name=name,
        incarnation=incarnation,
        host="10.0.0.1",
        port=1,
        availability_zone="z",
    )


@pytest.fixture
def peers():
    peers = peers_lib.PeerList("local")
    peers.mark_seen([peer("a"), peer("b")], now_ms=0)
    return peers


def names(peers: peers_lib.PeerList, now_ms: int) -> list[str]:
    return [f"{p.name}{p.incarnation}" for p in peers.recent(now_ms=now_ms)]


@pytest.mark.parametrize(
    ("seen", "now_ms", "expected"),
    [
        ([("c", "1", 1)], 2, ["a1", "b1", "c1"]),
        ([("a", "2", 1)], 2, ["a2", "b1"]),
        ([("local", "1", 1)], 2, ["a1", "b1"]),
        ([], TTL_MS, ["a1", "b1"]),
        ([], TTL_MS + 1, []),
        ([("a", "1", 5)], TTL_MS + 1, ["a1"]),
        ([("a", "1", 5)], TTL_MS + 6, []),
        ([("a", "1", TTL_MS + 9)], TTL_MS + 9, ["a1"]),
    ],
)
def test_recent_peers_follow_what_is_seen_after_they_were_listed(
    peers, seen, now_ms, expected
):
    assert names(peers, 0) == ["a1", "b1"]
    for name, incarnation, at_ms in seen:
        names(peers, at_ms)
        peers.mark_seen([peer(name, incarnation)], now_ms=at_ms)
    assert names(peers, now_ms) == expected


def test_complete_list_removes_peers_that_were_listed_before(peers):
    now_ms = peers_lib.UNREGISTERED_PEER_TTL_MS + 1
    assert names(peers, now_ms) == ["a1", "b1"]
    peers.apply_registered([peer("b")], now_ms=now_ms)
    assert names(peers, now_ms) == ["b1"]


def test_list_is_the_same_object_while_the_peers_are_the_same(peers):
    listed = peers.recent(now_ms=0)
    for now_ms in range(1_000, 2 * TTL_MS, 1_000):
        peers.mark_seen([peer("b"), peer("a")], now_ms=now_ms)
        recent = peers.recent(now_ms=now_ms)
        assert recent == listed
    assert peers.recent(now_ms=now_ms + 1) is recent
