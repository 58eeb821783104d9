"""Tests of the copies of ledgers at peers."""

from __future__ import annotations

from concurrent import futures

import msgspec
import pytest

from bambooglade.discovery import peers as peers_lib
from bambooglade.eventloop import http_client
from bambooglade.rights import ledger as ledger_lib
from bambooglade.rights import ledger_copies


def peer(name: str, zone: str) -> peers_lib.Peer:
    return peers_lib.Peer(
        name=name,
        incarnation="1",
        host="10.0.0.1",
        port=ord(name),
        availability_zone=zone,
    )


def copy(team: str, revision: int) -> ledger_copies.LedgerCopy:
    return ledger_copies.LedgerCopy(team, ledger_lib.Ledger(), revision, 1)


class FakeClient:
    """HTTP client whose calls wait until the test responds to them.

    Attributes:
        calls: Port of the peer, body, and future of each call.
    """

    def __init__(self) -> None:
        self.calls: list[tuple[int, bytes, futures.Future]] = []

    def call(self, address, *, body: bytes, **options) -> futures.Future:
        del options
        future: futures.Future = futures.Future()
        self.calls.append((address[1], body, future))
        return future

    def respond(self, is_reached) -> list[str]:
        """Responds to the calls so far; returns the names of their peers."""
        calls, self.calls = self.calls, []
        for port, _, future in calls:
            future.set_result(
                http_client.Response(200, b"{}")
                if is_reached(chr(port))
                else None
            )
        return [chr(port) for port, _, _ in calls]


def send(client, members, copies, homes="") -> ledger_copies.LedgerCopier:
    copier = ledger_copies.LedgerCopier(
        client,
        peers=lambda: [peer(name, zone) for name, zone in members.items()],
        local_instance=peer("a", "x"),
        homes_of=lambda team: [
            peer(name, members.get(name, "x")) for name in homes
        ],
    )
    copier.send(copies)
    return copier


@pytest.mark.parametrize(
    "members, reached, rounds",
    [
        ({}, "", []),
        ({"b": "x"}, "b", [1]),
        ({"b": "x", "c": "y"}, "bc", [2]),
        ({"b": "y", "c": "z"}, "bc", [2]),
        ({"b": "x", "c": "y", "d": "z"}, "cd", [2, 1]),
        ({"b": "x", "c": "y", "d": "z"}, "", [2, 1]),
        ({n: "xyz"[i % 3] for i, n in enumerate("bcdefghi")}, "", [2, 2]),
    ],
)
def test_two_peers_get_copies_while_enough_respond(members, reached, rounds):
    client = FakeClient()
    send(client, members, [copy("t", 7)])
    names_by_round = []
    while client.calls:
        names_by_round.append(client.respond(lambda name: name in reached))
    asked = [name for names in names_by_round for name in names]
    assert len(asked) == len(set(asked))
    assert [len(names) for names in names_by_round] == rounds
    if len(rounds) == 1 and rounds[0] == ledger_copies.COPIES:
        assert len({members[name] for name in asked}) == len(asked)


def test_only_the_newest_state_waits_while_a_message_is_under_way():
    client = FakeClient()
    copier = send(client, {"b": "x"}, [copy("t", 1)])
    for revision in (2, 3):
        copier.send([copy("t", revision), copy("u", revision)])
    assert len(client.calls) == 1
    client.respond(lambda name: True)
    ((_, body, _),) = client.calls
    message = msgspec.json.decode(body, type=ledger_copies.CopiesMessage)
    assert [(c.team, c.revision) for c in message.copies] == [
        ("t", 3),
        ("u", 3),
    ]
    client.respond(lambda name: True)
    assert not client.calls


@pytest.mark.parametrize("reached", ["bcdefgh", ""])
def test_each_other_home_gets_one_copy(reached):
    """Guards against conflicts of homes that do not know each other's writes.

    A home that does not respond must not be tried again: it notices a conflict.
    """
    members = {n: "xyz"[i % 3] for i, n in enumerate("bcdefgh")}
    client = FakeClient()
    send(client, members, [copy("t", 7), copy("u", 7)], homes="afgh")
    asked: list[str] = []
    while client.calls:
        asked += client.respond(lambda name: name in reached)
    assert set("fgh") <= set(asked)
    assert "a" not in asked
    assert len(asked) <= ledger_copies.MAX_CALLS + len("fgh")
