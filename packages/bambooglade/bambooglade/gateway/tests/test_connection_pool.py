"""Tests of how attempts leave their connections."""

from __future__ import annotations

import errno
import socket

import pytest

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import connection_pool
from bambooglade.gateway import metadata
from bambooglade.gateway import target_prober

REQUEST = b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
HALF_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
MALFORMED_RESPONSE = b"no response\r\n\r\n"


class Handler:
    """Handler that counts the ends of an attempt."""

    def __init__(self) -> None:
        self.end_count = 0

    def head_received(self, head) -> None:
        del head

    def body_received(self, data: bytes) -> None:
        del data

    def attempt_ended(self, outcome, reason: str) -> None:
        del outcome, reason
        self.end_count += 1


class Target:
    """Target whose connections a test accepts."""

    target_id = "t1"

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.address = self.listener.getsockname()


@pytest.fixture
def loop():
    event_loop = loop_lib.EventLoop(clock_lib.Clock())
    yield event_loop
    event_loop.close()


@pytest.fixture
def target():
    created = Target()
    yield created
    created.listener.close()


def send(loop, target, handler) -> connection_pool.Attempt:
    pool = connection_pool.ConnectionPool(
        loop,
        idle_timeout_of=lambda head: None,
        connected=lambda endpoint, took_ms, is_open: None,
    )
    attempt = pool.send(
        target,
        REQUEST,
        handler,
        request_id="r1",
        is_bodiless=False,
        is_idempotent=True,
        match=lambda head, request_id: metadata.ResponseMatch.OWN,
    )
    loop.run(until=lambda: attempt.is_sent)
    return attempt


def is_reset(accepted: socket.socket) -> bool:
    """Returns whether the connection ends with a reset."""
    accepted.settimeout(5)
    try:
        while accepted.recv(1_000):
            pass
    except ConnectionResetError:
        return True
    return False


@pytest.mark.parametrize("response", [b"", HALF_RESPONSE])
def test_given_up_request_is_not_delivered_later(loop, target, response):
    attempt = send(loop, target, Handler())
    accepted, _ = target.listener.accept()
    with accepted:
        if response:
            accepted.send(response)
            loop.run(until=lambda: attempt.head is not None)
        attempt.cancel()
        assert is_reset(accepted)


def test_request_with_a_malformed_response_is_not_delivered_later(loop, target):
    handler = Handler()
    send(loop, target, handler)
    accepted, _ = target.listener.accept()
    with accepted:
        accepted.send(MALFORMED_RESPONSE)
        loop.run(until=lambda: handler.end_count)
        assert is_reset(accepted)


def test_call_that_has_timed_out_is_not_delivered_later(loop, target):
    client = http_client.HttpClient(loop)
    call = client.call(target.address, method="GET", target="/", timeout_ms=50)
    loop.run(until=call.done)
    accepted, _ = target.listener.accept()
    with accepted:
        assert is_reset(accepted)


# Guards against targets that count as cold, and get hardly any requests, since
# this instance had no socket left for a moment.
@pytest.mark.parametrize("has_socket", [True, False])
def test_only_a_connection_that_was_attempted_can_be_refused(
    loop, target, has_socket, monkeypatch
):
    target.listener.close()
    if not has_socket:
        monkeypatch.setattr(socket, "socket", _fail_to_open)
    pool = connection_pool.ConnectionPool(
        loop,
        idle_timeout_of=lambda head: None,
        connected=lambda endpoint, took_ms, is_open: None,
    )
    handler = Handler()
    attempt = pool.send(
        target,
        REQUEST,
        handler,
        request_id="r1",
        is_bodiless=False,
        is_idempotent=True,
        match=lambda head, request_id: metadata.ResponseMatch.OWN,
    )
    results = []
    target_prober._Check(loop, pool, target, lambda *args: results.append(args))
    loop.run(until=lambda: handler.end_count and results)
    assert attempt.is_refused is has_socket
    ((_, connection, _, is_refused),) = results
    assert connection is None
    assert is_refused is has_socket


def _fail_to_open(*args):
    del args
    raise OSError(errno.EMFILE, "no descriptor left")
