"""Tests of the HTTP client against misbehaving servers."""

from __future__ import annotations

import contextlib
import socket
import threading

import pytest

from bambooglade.transport import client as client_lib
from bambooglade.transport import messages
from bambooglade.transport.tests import raw_server

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def wait_for_close(data: bytes):
    def serve(sock, number):
        sock.sendall(data)
        sock.recv(1)

    return serve


FAILURES = {
    "no_response": (
        raw_server.respond_then_close(b""),
        messages.TransferFailure,
        True,
    ),
    "truncated_head": (
        raw_server.respond_then_close(OK[:20]),
        messages.TransferFailure,
        True,
    ),
    "truncated_body": (
        raw_server.respond_then_close(OK[:-1]),
        messages.TransferFailure,
        True,
    ),
    "truncated_chunks": (
        raw_server.respond_then_close(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"
        ),
        messages.TransferFailure,
        True,
    ),
    "garbage": (
        raw_server.respond_then_close(b"x" * 99),
        messages.TransferFailure,
        True,
    ),
    "late_head": (wait_for_close(b""), messages.TransferTimeout, True),
    "late_end": (wait_for_close(OK[:-1]), messages.TransferTimeout, True),
    "oversized_body": (
        raw_server.respond_then_close(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 200),
        messages.TransferFailure,
        True,
    ),
}


@pytest.mark.parametrize("name", FAILURES)
def test_failure_states_whether_bytes_were_sent(name):
    serve, kind, sent = FAILURES[name]
    is_timeout = kind is messages.TransferTimeout
    client = client_lib.HttpClient()
    with raw_server.listening(serve) as (url, _):
        failure = client.request(
            messages.Request(
                method="POST",
                url=url,
                body=b"x",
                first_byte_timeout_ms=200 if is_timeout else 5_000,
                total_timeout_ms=300 if is_timeout else 5_000,
                max_response_bytes=100,
            )
        ).unwrap_err()
    assert type(failure) is kind
    assert failure.sent is sent


def test_refused_connection_is_reported_as_not_sent():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    request = messages.Request(method="GET", url=f"http://127.0.0.1:{port}/")
    assert not client_lib.HttpClient().request(request).unwrap_err().sent


def test_connect_timeout_is_reported_as_not_sent():
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
        address = listener.getsockname()
        with contextlib.ExitStack() as stack:
            for _ in range(4):  # fills the backlog
                sock = stack.enter_context(socket.socket())
                sock.setblocking(False)
                sock.connect_ex(address)
            failure = (
                client_lib.HttpClient()
                .request(
                    messages.Request(
                        method="POST",
                        url=f"http://127.0.0.1:{address[1]}/",
                        body=b"x",
                        connect_timeout_ms=200,
                    )
                )
                .unwrap_err()
            )
    assert isinstance(failure, messages.TransferTimeout)
    assert not failure.sent


@pytest.mark.parametrize(
    ("may_be_resent", "expected_posts"), [(True, 2), (False, 1)]
)
def test_request_that_may_not_be_resent_is_sent_once(
    may_be_resent, expected_posts
):
    """Libcurl resends a request if a reused connection was closed."""
    posts = []

    def serve(sock, number):
        if number == 0:
            sock.sendall(OK)
            posts.append(sock.recv(65_536))  # then closes without a response

    client = client_lib.HttpClient()
    with raw_server.listening(serve) as (url, first_requests):
        client.request(messages.Request(method="GET", url=url)).unwrap()
        outcome = client.request(
            messages.Request(
                method="POST", url=url, body=b"x", may_be_resent=may_be_resent
            )
        )
        client.close()
    assert outcome.unwrap_err().sent
    seen = [post for post in posts + first_requests if post.startswith(b"POST")]
    assert len(seen) == expected_posts


def test_closing_the_stream_closes_its_connection():
    closed = threading.Event()

    def serve(sock, number):
        sock.sendall(OK[:-1])
        if sock.recv(1) == b"":
            closed.set()

    client = client_lib.HttpClient()
    with raw_server.listening(serve) as (url, _):
        stream = client.stream(messages.Request(method="GET", url=url))
        assert isinstance(next(stream), messages.ResponseHead)
        assert next(stream) == b"h"
        stream.close()
        assert closed.wait(raw_server.TIMEOUT_S)
    assert repr(client) == "HttpClient(idle=0)"


def respond_to_each(*ids: str):
    """Serves requests of one connection; each response bears an id, or none."""

    def serve(sock, number):
        del number
        for position, response_id in enumerate(ids):
            if position and not sock.recv(65_536):
                return
            field = f"X-Request-Id: {response_id}\r\n" if response_id else ""
            sock.sendall(OK.replace(b"Content", f"{field}Content".encode(), 1))
        sock.recv(1)

    return serve


@pytest.mark.parametrize(
    ("ids", "expects_id", "connections", "first_on_connection"),
    [
        (["a", "b"], True, 1, [True, False]),
        (["", "b"], True, 2, [True, True]),
        (["x", "b"], True, 2, [True, True]),
        (["", ""], False, 1, [True, False]),
    ],
)
def test_connection_is_reused_after_a_response_with_the_id_of_its_request(
    ids, expects_id, connections, first_on_connection
):
    client = client_lib.HttpClient()
    heads = []
    with raw_server.listening(respond_to_each(*ids)) as (url, requests):
        for request_id in ("a", "b"):
            response = client.request(
                messages.Request(
                    method="GET",
                    url=url,
                    response_id=messages.Header("x-request-id", request_id)
                    if expects_id
                    else None,
                )
            )
            heads.append(response.ok_value.head)
        client.close()
    assert len(requests) == connections
    assert [
        head.is_first_on_connection for head in heads
    ] == first_on_connection
