"""Tests for `bambooglade.rights.lending`, in virtual time."""

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

RESPONSE_MS = 2


class FakeHttpClient:
    """Simulates peers that lend, by port; other ports do not respond."""

    def __init__(self, loop, tokens_by_port):
        self._loop = loop
        self._tokens_by_port = tokens_by_port
        self.requested_ports = []

    def call(self, address, *, method, target, body, timeout_ms):
        del method, target
        port = address[1]
        self.requested_ports.append(port)
        completion: futures.Future = futures.Future()
        tokens = self._tokens_by_port.get(port)
        if tokens is None:
            self._loop.call_later(timeout_ms, completion.set_result, None)
            return completion
        requested = msgspec.json.decode(body, type=lending.LoanRequest).tokens
        loan_response = lending.LoanResponse(
            tokens=min(tokens, requested), available_tokens=0, is_exhausted=True
        )
        response = http_client.Response(200, msgspec.json.encode(loan_response))
        self._loop.call_later(RESPONSE_MS, completion.set_result, response)
        return completion


class SteppedLoop(loop_lib.EventLoop):
    """Event loop that advances a manual clock from timer to timer."""

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


def make_lending_client(loop, tokens_by_port, *, ports=range(1, 9)):
    fake_client = FakeHttpClient(loop, tokens_by_port)
    peers = [peer(port) for port in ports]
    lending_client = lending.LendingClient(
        loop,
        fake_client,
        peers=lambda: peers,
        homes=homes_lib.HomeSelector(
            peer(0), peers=lambda: peers, team_count=lambda: 1
        ),
        local_instance=peer(0),
        random_source=random.Random(1),
    )
    return lending_client, fake_client


def borrow(loop, lending_client, tokens):
    received = []
    result = loop.run_until_done(
        lending_client.borrow("team", tokens, received.append)
    )
    return result, sum(received)


def test_borrowing_stops_when_request_is_covered(loop):
    lending_client, fake_client = make_lending_client(
        loop, dict.fromkeys(range(1, 9), 10)
    )
    result, received = borrow(loop, lending_client, 25)
    assert (result.tokens, received, len(fake_client.requested_ports)) == (
        25,
        25,
        3,
    )
    assert result.is_exhausted


def test_all_responsive_peers_are_queried(loop):
    lending_client, fake_client = make_lending_client(
        loop, dict.fromkeys(range(1, 9), 0)
    )
    result, _ = borrow(loop, lending_client, 25)
    assert result.is_complete
    assert len(fake_client.requested_ports) == 8


@pytest.mark.parametrize("responsive_count", [0, 1, 4])
def test_unresponsive_peers_delay_requests_only_briefly(loop, responsive_count):
    lending_client, fake_client = make_lending_client(
        loop, dict.fromkeys(range(1, responsive_count + 1), 0)
    )
    result, _ = borrow(loop, lending_client, 25)
    max_ms = lending.BORROW_TIMEOUT_MS + lending.LOAN_TIMEOUT_MS
    assert loop.now_ms() <= max_ms
    assert not result.is_complete
    for _ in range(6):
        borrow(loop, lending_client, 25)
    started_ms = loop.now_ms()
    fake_client.requested_ports.clear()
    result, _ = borrow(loop, lending_client, 25)
    assert loop.now_ms() - started_ms <= responsive_count * RESPONSE_MS
    assert (
        len(fake_client.requested_ports)
        == result.response_count
        == responsive_count
    )
    assert not result.is_complete
