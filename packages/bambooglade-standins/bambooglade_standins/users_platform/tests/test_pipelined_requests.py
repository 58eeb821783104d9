"""Tests of requests that callers and peers send before they get responses."""

from __future__ import annotations

from concurrent import futures

import pytest

from bambooglade.eventloop import http_server
from bambooglade.gateway import frontend
from bambooglade.http1 import messages
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import platform_harness as harness_lib

BODY_BYTES = 40_000
COUNT = 12


@pytest.fixture
def harness():
    built = harness_lib.PlatformHarness()
    built.configure(harness_lib.configuration(prepaid=None))
    yield built
    built.close()


class RawCaller(harness_lib.Caller):
    """Caller that records the bytes of all responses."""

    def __init__(self, loop, address) -> None:
        super().__init__(loop, address)
        self.data = b""

    def received(self, data: bytes) -> None:
        self.data += data


def encode(number: int, size_bytes: int) -> bytes:
    return messages.encode_request(
        method=b"POST",
        target=b"/plain/%d" % number,
        fields=[
            (b"Host", harness_lib.HOST),
            (b"Authorization", b"Token " + harness_lib.KEY),
            (b"X-Bambooglade-Attempt-Id", b"attempt-%d" % number),
            (b"X-Bambooglade-Deadline-Ms", b"3000"),
        ],
        body=size_bytes * b"x",
    )


def test_pipelined_requests_wait_unread_and_are_all_served(harness):
    """Guards against a queue without end, and against losing what waits.

    The limit for the rest of a request, 500 ms, starts when it is read again.
    """
    calls: list[engine_lib.Call] = []
    engine = harness.add_engine("a", "portal", default=calls.append)
    gateway = harness.start_gateway()
    caller = RawCaller(harness.loop, gateway.settings.caller_address)
    for number in range(COUNT):
        caller.send_more(encode(number, BODY_BYTES))
    harness.run_until(lambda: calls)
    harness.run_for(700)
    budget = harness.loop.byte_budget
    assert len(engine.requests) == 1
    unsent_bytes = caller._connection.unsent_bytes
    assert (
        budget.held_bytes - unsent_bytes
        < 2 * frontend.MAX_READ_AHEAD_BYTES + 2 * BODY_BYTES
    )
    for number in range(COUNT):
        harness.run_until(lambda: len(calls) > number)  # noqa: B023
        calls[number].respond(b"response-%d" % number)
    last = b"response-%d" % (COUNT - 1)
    harness.run_until(lambda: last in caller.data)
    data = caller.data
    assert data.count(b"HTTP/1.1 200") == COUNT
    found = [data.index(b"response-%d" % n) for n in range(COUNT)]
    assert found == sorted(found)


def test_server_replies_in_order(harness):
    """Guards against replies to pipelined requests that change places."""
    replies: list[futures.Future] = []

    def handle(request: messages.Request) -> futures.Future:
        del request
        replies.append(futures.Future())
        return replies[-1]

    server = http_server.HttpServer(harness.loop, ("127.0.0.1", 0), handle)
    caller = RawCaller(harness.loop, server.address)
    caller.send_more(2 * b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    caller.send_more(b"broken\r\n\r\n")
    harness.run_until(lambda: replies)
    harness.run_for(50)
    assert len(replies) == 1
    replies[0].set_result(http_server.Reply(200, b"first"))
    harness.run_until(lambda: len(replies) == 2)
    replies[1].set_result(http_server.Reply(200, b"second"))
    harness.run_until(lambda: caller.is_closed)
    data = caller.data
    assert data.index(b"first") < data.index(b"second")
    assert data.index(b"second") < data.index(b"HTTP/1.1 400")
    server.close()
