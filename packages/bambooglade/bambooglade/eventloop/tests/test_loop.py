"""Tests of `bambooglade.eventloop`."""

from __future__ import annotations

from concurrent import futures
import socket

import pytest

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import http_server
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks


@pytest.fixture
def loop():
    built = loop_lib.EventLoop(clock_lib.Clock())
    yield built
    built.close()


def run(loop, future: futures.Future):
    loop.run(until=future.done)
    return future.result()


def test_timers_in_order_and_cancelled(loop):
    seen = []
    loop.call_later(20, seen.append, "late")
    loop.call_later(5, seen.append, "early")
    loop.call_later(1, seen.append, "never").cancel()
    loop.run(until=lambda: len(seen) == 2)
    assert seen == ["early", "late"]


def test_a_callback_that_fails_does_not_end_the_loop(loop):
    seen = []
    loop.call_later(0, lambda: 1 / 0)
    loop.call_later(5, seen.append, "still here")
    loop.run(until=lambda: bool(seen))


def test_a_task_that_fails_tells_who_waits():
    def failing():
        yield tasks_done()
        raise ValueError("broken")

    def tasks_done():
        done = futures.Future()
        done.set_result(None)
        return done

    with pytest.raises(ValueError, match="broken"):
        tasks.spawn(failing()).result()


class Recorder:
    def __init__(self):
        self.events = []

    def connected(self):
        self.events.append("connected")

    def received(self, data):
        self.events.append(data)

    def closed(self, *, is_clean):
        self.events.append("clean" if is_clean else "broken")


def test_connecting_to_a_closed_port(loop):
    free = socket.socket()
    free.bind(("127.0.0.1", 0))
    address = free.getsockname()
    free.close()
    recorder = Recorder()
    connection_lib.connect(loop, address, recorder)
    loop.run(until=lambda: bool(recorder.events))
    assert recorder.events == ["broken"]


@pytest.mark.parametrize(
    ("ending", "expected"), [("finish", "clean"), ("reset", "broken")]
)
def test_how_a_connection_ends(loop, ending, expected):
    accepted = []
    listener = connection_lib.Listener(loop, ("127.0.0.1", 0), accepted.append)
    recorder = Recorder()
    connection_lib.connect(loop, listener.address, recorder)
    loop.run(until=lambda: accepted and recorder.events)
    served = connection_lib.Connection(loop, accepted[0], Recorder())
    served.send(b"x" * 1_000_000)
    loop.run(until=lambda: not served.unsent_bytes)
    getattr(served, ending)()
    loop.run(until=lambda: recorder.events[-1] in ("clean", "broken"))
    assert recorder.events[-1] == expected
    if ending == "finish":
        assert sum(map(len, recorder.events[1:-1])) == 1_000_000
    listener.close()


def test_a_peer_that_does_not_read_is_cut_off(loop):
    accepted = []
    listener = connection_lib.Listener(loop, ("127.0.0.1", 0), accepted.append)
    reader = socket.create_connection(listener.address)
    loop.run(until=lambda: bool(accepted))
    recorder = Recorder()
    served = connection_lib.Connection(loop, accepted[0], recorder)
    served.send(b"x" * 30_000_000)
    assert recorder.events == ["broken"]
    reader.close()
    listener.close()


def reply_ok(request):
    return http_server.Reply(200, request.body or b"ok")


def drop(request):
    del request
    done = futures.Future()
    done.set_result(None)
    return done


def never(request):
    del request
    return futures.Future()


@pytest.mark.parametrize(
    ("handler", "body"), [(reply_ok, b"{}"), (drop, None), (never, None)]
)
def test_calls(loop, handler, body):
    server = http_server.HttpServer(loop, ("127.0.0.1", 0), handler)
    client = http_client.HttpClient(loop)
    for _ in range(2):
        future = client.call(
            server.address,
            method="POST",
            target="/a",
            body=b"{}",
            timeout_ms=100,
        )
        response = run(loop, future)
        assert (response.body if response else None) == body
    server.close()


def test_a_call_is_sent_once(loop):
    seen = []

    def count(request):
        seen.append(request)
        return drop(request) if len(seen) == 2 else reply_ok(request)

    server = http_server.HttpServer(loop, ("127.0.0.1", 0), count)
    client = http_client.HttpClient(loop)

    def call():
        return client.call(
            server.address, method="GET", target="/", timeout_ms=200
        )

    assert run(loop, call()) is not None
    assert run(loop, call()) is None
    assert len(seen) == 2
    server.close()


def send_ok(connection):
    connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


class ScriptedServer:
    """Answers each request until it is told to be silent, as old peers are."""

    def __init__(self, loop, answer=send_ok):
        self._answer = answer
        self.accepted = 0
        self._loop = loop
        self._silent = set()
        self._connections = []
        self._listener = connection_lib.Listener(
            loop, ("127.0.0.1", 0), self._accept
        )
        self.address = self._listener.address

    def _accept(self, sock):
        self.accepted += 1
        server = self

        class Handler:
            def connected(self):
                """Never called."""

            def received(self, data):
                del data
                if self not in server._silent:
                    server._answer(self.connection)

            def closed(self, *, is_clean):
                del is_clean

        handler = Handler()
        handler.connection = connection_lib.Connection(
            self._loop, sock, handler
        )
        self._connections.append(handler)

    def silence(self):
        """Lets the connections that are open now never answer again."""
        self._silent.update(self._connections)


def test_connections_that_fell_silent_are_all_left_after_one_call(loop):
    server = ScriptedServer(loop)
    client = http_client.HttpClient(loop)

    def call(timeout_ms):
        return client.call(
            server.address, method="GET", target="/", timeout_ms=timeout_ms
        )

    overlapping = [call(1_000) for _ in range(3)]
    assert all(run(loop, future).status == 200 for future in overlapping)
    server.silence()
    assert run(loop, call(50)) is None
    assert run(loop, call(1_000)).body == b"ok"
    assert server.accepted == 4


@pytest.mark.parametrize(
    ("parts", "pause_ms", "is_whole"),
    [(8, 30, True), (1, 0, True), (2, 400, False)],
)
def test_a_long_response_may_take_longer_than_the_wait_for_it(
    loop, monkeypatch, parts, pause_ms, is_whole
):
    monkeypatch.setattr(http_client, "PROGRESS_TIMEOUT_MS", 150)

    def send_parts(connection):
        connection.send(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (4 * parts)
        )
        for number in range(parts):
            loop.call_later(pause_ms * number, connection.send, b"part")

    server = ScriptedServer(loop, answer=send_parts)
    client = http_client.HttpClient(loop)
    called = client.call(
        server.address, method="GET", target="/", timeout_ms=100
    )
    response = run(loop, called)
    assert (response is not None) == is_whole
    assert response is None or response.body == b"part" * parts


def test_a_task_that_has_to_go_on_is_started_anew_after_a_fault(loop):
    starts = []

    def fragile():
        starts.append(len(starts))
        yield tasks.sleep(loop, 1)
        if len(starts) < 3:
            raise ValueError("broken")

    tasks.keep_running(loop, fragile)
    loop.run(until=lambda: len(starts) == 3)
    tasks_end = tasks.sleep(loop, 2 * tasks.RESTART_PAUSE_MS)
    loop.run(until=tasks_end.done)
    assert starts == [0, 1, 2]


def test_a_task_learns_that_one_it_waits_for_has_failed(loop):
    def failing():
        yield tasks.sleep(loop, 1)
        raise ValueError("broken")

    def waiting():
        try:
            yield tasks.spawn(failing())
        except ValueError as error:
            return f"told: {error}"

    assert run(loop, tasks.spawn(waiting())) == "told: broken"


def test_a_task_that_has_to_go_on_outlives_a_fault_of_what_it_waits_for(loop):
    starts = []

    def failing():
        yield tasks.sleep(loop, 1)
        raise ValueError("broken")

    def fragile():
        starts.append(len(starts))
        yield tasks.spawn(failing())

    tasks.keep_running(loop, fragile)
    bound = tasks.sleep(loop, 4 * tasks.RESTART_PAUSE_MS)
    loop.run(until=lambda: len(starts) == 2 or bound.done())
    assert starts == [0, 1]
