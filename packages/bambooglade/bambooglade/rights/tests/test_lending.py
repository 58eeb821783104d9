"""Tests of `bambooglade.rights.lending`, on virtual time."""

from __future__ import annotations

from concurrent import futures
import random

import msgspec
import pytest

from bambooglade.core import clock as clock_lib
from bambooglade.discovery import peers as peers_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.rights import homes as homes_lib
from bambooglade.rights import lending

ANSWER_MS = 2


class Clients:
    """Peers that lend, by port; those that are not named are silent."""

    def __init__(self, loop, tokens_by_port):
        self._loop = loop
        self._tokens_by_port = tokens_by_port
        self.asked = []

    def call(self, address, *, method, target, body, timeout_ms):
        del method, target
        port = address[1]
        self.asked.append(port)
        answered: futures.Future = futures.Future()
        tokens = self._tokens_by_port.get(port)
        if tokens is None:
            self._loop.call_later(timeout_ms, answered.set_result, None)
            return answered
        wanted = msgspec.json.decode(body, type=lending.LoanRequest).tokens
        answer = lending.LoanResponse(
            tokens=min(tokens, wanted), available_tokens=0, is_exhausted=True
        )
        response = http_client.Response(200, msgspec.json.encode(answer))
        self._loop.call_later(ANSWER_MS, answered.set_result, response)
        return answered


class SteppedLoop(loop_lib.EventLoop):
    """Moves a manual clock from timer to timer."""

    def __init__(self):
        self._manual = clock_lib.ManualClock(now_ms=0)
        super().__init__(self._manual)

    def run_until_done(self, future):
        while not future.done():
            self._manual.advance(delta_ms=max(0, self._next_timer_in_ms()))
            self._run_timers()
        return future.result()


def peer(port: int) -> peers_lib.Peer:
    return peers_lib.Peer(
        name=f"i{port:02}",
        incarnation="1",
        host="10.0.0.1",
        port=port,
        availability_zone=f"z{port % 2}",
    )


@pytest.fixture
def loop():
    return SteppedLoop()


def lenders(loop, tokens_by_port, *, ports=range(1, 9)):
    client = Clients(loop, tokens_by_port)
    others = [peer(port) for port in ports]
    built = lending.LendingClient(
        loop,
        client,
        peers=lambda: others,
        homes=homes_lib.HomeSelector(
            peer(0), peers=lambda: others, team_count=lambda: 1
        ),
        local_instance=peer(0),
        random_source=random.Random(1),
    )
    return built, client


def borrow(loop, built, tokens):
    got = []
    loan = loop.run_until_done(built.borrow("team", tokens, got.append))
    return loan, sum(got)


def test_peers_lend_until_it_is_enough(loop):
    built, client = lenders(loop, dict.fromkeys(range(1, 9), 10))
    loan, got = borrow(loop, built, 25)
    assert (loan.tokens, got, len(client.asked)) == (25, 25, 3)
    assert loan.is_exhausted


def test_all_that_answer_are_asked(loop):
    built, client = lenders(loop, dict.fromkeys(range(1, 9), 0))
    loan, _ = borrow(loop, built, 25)
    assert loan.is_complete
    assert len(client.asked) == 8


@pytest.mark.parametrize("answering", [0, 1, 4])
def test_silent_peers_delay_a_request_for_a_short_time_only(loop, answering):
    built, client = lenders(loop, dict.fromkeys(range(1, answering + 1), 0))
    loan, _ = borrow(loop, built, 25)
    bound_ms = lending.BORROW_BOUND_MS + lending.LOAN_TIMEOUT_MS
    assert loop.now_ms() <= bound_ms
    assert not loan.is_complete
    for _ in range(6):
        borrow(loop, built, 25)
    known_ms = loop.now_ms()
    client.asked.clear()
    loan, _ = borrow(loop, built, 25)
    assert loop.now_ms() - known_ms <= answering * ANSWER_MS
    assert len(client.asked) == loan.response_count == answering
    assert not loan.is_complete
