"""Tests of the HTTP server over real sockets."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import gc
from http import client
import socket
import ssl
import threading
import time
import weakref

import msgspec
import pytest
import trustme
from werkzeug import wrappers

from bambooglade.eventloop import byte_budget
from bambooglade.transport import client as client_lib
from bambooglade.transport import limits as limits_lib
from bambooglade.transport import message_budget
from bambooglade.transport import messages
from bambooglade.transport import problems
from bambooglade.transport import request_handler
from bambooglade.transport import server as server_lib

TIMEOUT_S = 10
SMALL = limits_lib.ServerLimits(
    max_head_bytes=2_000,
    max_body_bytes=1_000,
    max_threads=2,
    max_connections=4,
    head_timeout_ms=200,
    body_timeout_ms=200,
    stop_timeout_ms=5_000,
)


def echo(environ, start_response):
    request = wrappers.Request(environ)
    if request.path == "/fail":
        raise ValueError("secret detail")
    response = wrappers.Response(request.get_data())
    return response(environ, start_response)


@contextlib.contextmanager
def serving(app, **options) -> Iterator[server_lib.HttpServer]:
    server = server_lib.HttpServer(app, host="127.0.0.1", port=0, **options)
    server.start()
    try:
        yield server
    finally:
        server.stop()


def connect(server: server_lib.HttpServer) -> socket.socket:
    return socket.create_connection(("127.0.0.1", server.port), TIMEOUT_S)


def receive_all(sock: socket.socket) -> bytes:
    return b"".join(iter(lambda: sock.recv(65_536), b""))


CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
BAD_REQUESTS = {
    "garbage": (b"\x00\x01\x02\r\n\r\n", 400, "bad_request"),
    "no_version": (b"GET / HTTP/x\r\n\r\n", 400, "bad_request"),
    "long_head": (b"GET / HTTP/1.1\r\nA: " + b"x" * 2_100, 431, "head_too"),
    "slow_head": (b"GET / HTTP/1.1\r\nA: ", 408, "client_too_slow"),
    "long_body": (
        b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
        413,
        "payload_too_large",
    ),
    "long_chunks": (
        CHUNKED + b"5dc\r\n" + b"x" * 1_500 + b"\r\n0\r\n\r\n",
        413,
        "payload_too_large",
    ),
    "slow_body": (
        b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nab",
        408,
        "client_too_slow",
    ),
    "two_lengths": (
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na",
        400,
        "bad_request",
    ),
    "length_and_chunks": (
        CHUNKED.replace(b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\n"),
        400,
        "bad_request",
    ),
    "negative_length": (
        b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        400,
        "bad_request",
    ),
    "application_error": (b"GET /fail HTTP/1.1\r\n\r\n", 500, "internal_fault"),
}


@pytest.mark.parametrize("name", BAD_REQUESTS)
def test_bad_request_gets_a_typed_failure(name):
    data, status, kind = BAD_REQUESTS[name]
    with serving(echo, limits=SMALL) as server, connect(server) as sock:
        sock.sendall(data)
        response = receive_all(sock).decode()
    head, _, body = response.partition("\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {status} ")
    problem = msgspec.json.decode(body, type=problems.Problem)
    assert problem.kind.startswith(kind)
    assert "Traceback" not in response
    assert "secret" not in response


def test_idle_connections_do_not_occupy_threads():
    limits = msgspec.structs.replace(SMALL, max_connections=64)
    with serving(echo, limits=limits) as server:
        idle = [
            client.HTTPConnection("127.0.0.1", server.port, timeout=TIMEOUT_S)
            for _ in range(16)
        ]
        for body in (b"a", b"b"):
            for connection in idle:
                connection.request("POST", "/", body=body)
                assert connection.getresponse().read() == body
        for connection in idle:
            connection.close()


def test_pipelined_requests_are_served_in_order():
    one = b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n"
    last = b"POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\n"
    with serving(echo, limits=SMALL) as server, connect(server) as sock:
        sock.sendall(one + b"a" + one + b"b" + last + b"c")
        response = receive_all(sock)
    assert response.count(b"HTTP/1.1 200") == 3
    bodies = [part[:1] for part in response.split(b"\r\n\r\n")[1:]]
    assert bodies == [b"a", b"b", b"c"]


def test_connections_over_the_limit_are_refused():
    with serving(echo, limits=SMALL) as server, contextlib.ExitStack() as stack:
        for _ in range(SMALL.max_connections):
            sock = stack.enter_context(connect(server))
            sock.sendall(b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
            sock.recv(4_096)
        extra = stack.enter_context(connect(server))
        assert b"too_many_connections" in receive_all(extra)


def test_stop_answers_requests_that_it_can_not_finish():
    begun = threading.Event()

    def wait_until_abandoned(environ, start_response):
        begun.set()
        while not environ[request_handler.CLIENT_GONE]():
            time.sleep(0.01)
        return wrappers.Response("unknown", 504)(environ, start_response)

    limits = msgspec.structs.replace(SMALL, max_threads=1, stop_timeout_ms=300)
    server = server_lib.HttpServer(
        wait_until_abandoned, host="127.0.0.1", port=0, limits=limits
    )
    server.start()
    with connect(server) as running, connect(server) as queued:
        running.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert begun.wait(TIMEOUT_S)
        queued.sendall(b"GET / HTTP/1.1\r\n\r\n")
        time.sleep(0.1)
        server.stop()
        assert receive_all(running).startswith(b"HTTP/1.1 504 ")
        refusal = receive_all(queued)
    assert refusal.startswith(b"HTTP/1.1 503 ")
    assert b'"ran":"no"' in refusal.replace(b" ", b"")


def test_stop_waits_for_streams():
    started = threading.Event()
    release = threading.Event()

    @wrappers.Request.application
    def stream(request):
        def parts():
            yield b"first,"
            started.set()
            release.wait(TIMEOUT_S)
            yield b"last"

        return wrappers.Response(parts())

    server = server_lib.HttpServer(
        stream, host="127.0.0.1", port=0, limits=SMALL
    )
    server.start()
    with connect(server) as sock:
        sock.sendall(b"GET / HTTP/1.0\r\n\r\n")
        assert started.wait(TIMEOUT_S)
        stopper = threading.Thread(target=server.stop)
        stopper.start()
        with pytest.raises(OSError):
            while True:
                connect(server).close()
        release.set()
        assert receive_all(sock).endswith(b"first,last")
    stopper.join(TIMEOUT_S)


def test_application_can_detect_that_the_client_is_gone():
    gone = threading.Event()
    entered = threading.Event()

    @wrappers.Request.application
    def wait(request):
        is_gone = request.environ[request_handler.CLIENT_GONE]
        assert not is_gone()
        entered.set()
        while not is_gone():
            gone.wait(0.01)
        gone.set()
        return wrappers.Response()

    with serving(wait) as server:
        with connect(server) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
            assert entered.wait(TIMEOUT_S)
        assert gone.wait(TIMEOUT_S)


def tls_files(tmp_path) -> server_lib.TlsFiles:
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    authority.cert_pem.write_to_path(tmp_path / "ca.pem")
    certificate.cert_chain_pems[0].write_to_path(tmp_path / "cert.pem")
    certificate.private_key_pem.write_to_path(tmp_path / "key.pem")
    return server_lib.TlsFiles(
        certificate_file=str(tmp_path / "cert.pem"),
        key_file=str(tmp_path / "key.pem"),
    )


def test_pending_tls_handshake_does_not_block_other_clients(tmp_path):
    tls = tls_files(tmp_path)
    with serving(echo, tls=tls) as server, connect(server):
        request = messages.Request(method="POST", url=server.url, body=b"hi")
        trusting = client_lib.HttpClient(ca_file=str(tmp_path / "ca.pem"))
        assert [trusting.request(request).unwrap().body for _ in range(2)] == [
            b"hi",
            b"hi",
        ]
        trusting.close()
        failure = client_lib.HttpClient().request(request).unwrap_err()
        assert not failure.sent


CLOSING_HEAD = b"POST / HTTP/1.1\r\nConnection: close\r\n"
SMALL_BYTES = byte_budget.SMALL_BYTES // 2
BUDGET_BYTES = 300_000


def closing_request(size, *, is_chunked):
    if is_chunked:
        head = CLOSING_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        return head + b"%x\r\n" % size + size * b"x" + b"\r\n0\r\n\r\n"
    head = CLOSING_HEAD + b"Content-Length: %d\r\n\r\n" % size
    return head + size * b"x"


def wait_for(condition):
    end_s = time.monotonic() + 5
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.01)


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("size, status", [(SMALL_BYTES, 200), (70_000, 429)])
def test_long_body_is_refused_while_others_in_use_take_all_there_is(
    size, status, is_chunked
):
    """Guards against requests in use that take more than their part."""
    budget = message_budget.MessageBudget(BUDGET_BYTES)
    began, may_end, runs = threading.Event(), threading.Event(), []

    def application(environ, start_response):
        body = wrappers.Request(environ).get_data()
        runs.append(len(body))
        if len(body) == 100_000:
            began.set()
            may_end.wait(5)
        return wrappers.Response(b"done")(environ, start_response)

    with (
        serving(application, budget=budget) as server,
        connect(server) as first,
    ):
        first.sendall(closing_request(100_000, is_chunked=is_chunked))
        assert began.wait(5)
        with connect(server) as sock:
            sock.sendall(closing_request(size, is_chunked=is_chunked))
            response = receive_all(sock)
        may_end.set()
        assert receive_all(first).startswith(b"HTTP/1.1 200 ")
        wait_for(lambda: not budget.held_bytes)
    assert response.startswith(b"HTTP/1.1 %d " % status)
    assert (b"Retry-After" in response) is (status == 429)
    assert (b'"ran":"no"' in response) is (status == 429)
    assert runs == [100_000, size][: 1 + (status == 200)]
    assert budget.refused_count == (status == 429)


@pytest.mark.parametrize("is_tls", [False, True])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_body_that_stands_still_is_given_up_for_others(
    tmp_path, is_chunked, is_tls
):
    """Guards against clients that hold all memory by not going on."""
    budget = message_budget.MessageBudget(BUDGET_BYTES)
    tls = tls_files(tmp_path) if is_tls else None

    def connect_to(server):
        sock = connect(server)
        if tls is None:
            return sock
        context = ssl.create_default_context(cafile=str(tmp_path / "ca.pem"))
        return context.wrap_socket(sock, server_hostname="127.0.0.1")

    with (
        serving(echo, budget=budget, tls=tls) as server,
        connect_to(server) as stalled,
        connect_to(server) as sock,
    ):
        stalled.sendall(closing_request(250_000, is_chunked=is_chunked)[:-30])
        wait_for(lambda: budget.held_bytes > 200_000)
        sock.sendall(closing_request(100_000, is_chunked=is_chunked))
        response = receive_all(sock)
        refusal = receive_all(stalled)
        wait_for(lambda: not budget.held_bytes)
    assert response.startswith(b"HTTP/1.1 200 ")
    assert response.count(b"x") >= 100_000
    assert refusal.startswith(b"HTTP/1.1 429 ")
    assert b"Retry-After" in refusal
    assert budget.given_up_count == 1


def test_unfinished_heads_are_counted_and_given_up():
    """Guards against connections that fill the memory with their heads."""
    budget = message_budget.MessageBudget(40_000)
    head = b"GET / HTTP/1.1\r\nX: " + 14_000 * b"x"
    with serving(echo, budget=budget) as server:
        socks = [connect(server) for _ in range(3)]
        for sock in socks[:2]:
            sock.sendall(head)
        wait_for(lambda: budget.held_bytes >= 2 * 14_000)
        socks[2].sendall(head)
        wait_for(lambda: budget.given_up_count == 1)
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.sendall(b"\r\nConnection: close\r\n\r\n")
        statuses = sorted(receive_all(sock)[:12] for sock in socks)
        for sock in socks:
            sock.close()
        wait_for(lambda: not budget.held_bytes)
    assert statuses == [b"HTTP/1.1 200", b"HTTP/1.1 200", b"HTTP/1.1 429"]


def test_connection_that_is_kept_alive_holds_nothing_between_requests():
    """Guards against bytes that add up over the requests of a connection."""
    budget = message_budget.MessageBudget(BUDGET_BYTES)
    with serving(echo, budget=budget) as server:
        client = client_lib.HttpClient()
        for _ in range(8):
            request = messages.Request(
                method="POST", url=server.url, body=90_000 * b"x"
            )
            assert client.request(request).unwrap().head.status == 200
        wait_for(lambda: not budget.held_bytes)
        client.close()
    assert (budget.given_up_count, budget.refused_count) == (0, 0)


def test_body_is_freed_with_its_request():
    """Guards against bodies that stay until the garbage collector runs."""
    found = []

    def application(environ, start_response):
        request = wrappers.Request(environ)
        found.append(weakref.ref(request))
        request.get_data()
        return wrappers.Response(b"done")(environ, start_response)

    gc.disable()
    try:
        with serving(application) as server, connect(server) as sock:
            sock.sendall(closing_request(100_000, is_chunked=False))
            receive_all(sock)
            wait_for(lambda: found[0]() is None)
    finally:
        gc.enable()
