"""Tests of `bambooglade.eventloop`."""

from __future__ import annotations

from concurrent import futures
import selectors
import socket
import time

import pytest

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import http_server
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.scheduling import link_budget


@pytest.fixture
def loop():
    event_loop = loop_lib.EventLoop(clock_lib.Clock())
    yield event_loop
    event_loop.close()


def run(loop, future: futures.Future):
    loop.run(until=future.done)
    return future.result()


def test_timers_run_in_order_and_not_after_cancel(loop):
    seen = []
    loop.call_later(20, seen.append, "late")
    loop.call_later(5, seen.append, "early")
    loop.call_later(1, seen.append, "never").cancel()
    loop.run(until=lambda: len(seen) == 2)
    assert seen == ["early", "late"]


STANDSTILL_S = 0.3


class InterruptedSelector(selectors.DefaultSelector):
    """Returns nothing at first, as after a signal that continues a process."""

    is_interrupted = True

    def select(self, timeout=None):
        if self.is_interrupted:
            self.is_interrupted = False
            time.sleep((timeout or 0) + STANDSTILL_S)
            return []
        return super().select(timeout)


def test_data_that_came_while_the_process_stood_still_is_read_before_timers(
    monkeypatch,
):
    monkeypatch.setattr(selectors, "DefaultSelector", InterruptedSelector)
    loop = loop_lib.EventLoop(clock_lib.Clock())
    reader, writer = socket.socketpair()
    seen = []
    loop.watch(reader, loop_lib.READ, lambda events: seen.append("data"))
    loop.call_later(10, seen.append, "timer")
    writer.send(b"x")
    loop.run(until=lambda: "timer" in seen)
    loop.close()
    reader.close()
    writer.close()
    assert seen[0] == "data"


@pytest.mark.parametrize(
    ("stands_still_ms", "is_noticed"), [(0, False), (300, True)]
)
def test_loop_notices_that_the_process_stood_still(
    loop, stands_still_ms, is_noticed
):
    loop.call_later(0, time.sleep, stands_still_ms / 1_000)
    loop.run_once()
    loop.call_later(1, lambda: None)
    loop.run_once()
    assert (loop.resumed_at_ms > 0) is is_noticed


def test_failing_callback_does_not_stop_the_loop(loop):
    seen = []
    loop.call_later(0, lambda: 1 / 0)
    loop.call_later(5, seen.append, "still here")
    loop.run(until=lambda: bool(seen))


def test_future_of_a_failed_task_has_its_exception():
    def failing():
        yield completed_future()
        raise ValueError("broken")

    def completed_future():
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


def test_connecting_to_a_closed_port_reports_a_broken_connection(loop):
    unused = socket.socket()
    unused.bind(("127.0.0.1", 0))
    address = unused.getsockname()
    unused.close()
    recorder = Recorder()
    connection_lib.connect(loop, address, recorder)
    loop.run(until=lambda: bool(recorder.events))
    assert recorder.events == ["broken"]


@pytest.mark.parametrize(
    ("ending", "expected"), [("finish", "clean"), ("reset", "broken")]
)
def test_finish_is_clean_and_reset_is_broken(loop, ending, expected):
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


def test_connection_is_lost_when_its_write_buffer_is_full(loop):
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


def close_without_response(request):
    del request
    done = futures.Future()
    done.set_result(None)
    return done


def never_respond(request):
    del request
    return futures.Future()


@pytest.mark.parametrize(
    ("handler", "body"),
    [(reply_ok, b"{}"), (close_without_response, None), (never_respond, None)],
)
def test_call_completes_with_the_response_or_none(loop, handler, body):
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


def test_call_is_not_retried_after_a_closed_connection(loop):
    seen = []

    def count(request):
        seen.append(request)
        return (
            close_without_response(request)
            if len(seen) == 2
            else reply_ok(request)
        )

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
    """Responds to requests until `silence` is called for its connections."""

    def __init__(self, loop, respond=send_ok):
        self._respond = respond
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
                """Never called, since the socket is connected already."""

            def received(self, data):
                del data
                if self not in server._silent:
                    server._respond(self.connection)

            def closed(self, *, is_clean):
                del is_clean

        handler = Handler()
        handler.connection = connection_lib.Connection(
            self._loop, sock, handler
        )
        self._connections.append(handler)

    def silence(self):
        """Stops responding on all connections that are open now."""
        self._silent.update(self._connections)


def test_failed_call_closes_all_idle_connections_to_its_address(loop):
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
    ("parts", "pause_ms", "is_complete"),
    [(8, 30, True), (1, 0, True), (2, 400, False)],
)
def test_response_may_exceed_the_call_timeout_while_it_makes_progress(
    loop, monkeypatch, parts, pause_ms, is_complete
):
    monkeypatch.setattr(http_client, "PROGRESS_TIMEOUT_MS", 150)

    def send_parts(connection):
        connection.send(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (4 * parts)
        )
        for number in range(parts):
            loop.call_later(pause_ms * number, connection.send, b"part")

    server = ScriptedServer(loop, respond=send_parts)
    client = http_client.HttpClient(loop)
    called = client.call(
        server.address, method="GET", target="/", timeout_ms=100
    )
    response = run(loop, called)
    assert (response is not None) == is_complete
    assert response is None or response.body == b"part" * parts


def test_keep_running_restarts_a_task_after_an_exception(loop):
    starts = []

    def failing_task():
        starts.append(len(starts))
        yield tasks.sleep(loop, 1)
        if len(starts) < 3:
            raise ValueError("broken")

    tasks.keep_running(loop, failing_task)
    loop.run(until=lambda: len(starts) == 3)
    settling_time = tasks.sleep(loop, 2 * tasks.RESTART_PAUSE_MS)
    loop.run(until=settling_time.done)
    assert starts == [0, 1, 2]


def test_waiting_task_receives_the_exception_of_an_awaited_task(loop):
    def failing():
        yield tasks.sleep(loop, 1)
        raise ValueError("broken")

    def waiting():
        try:
            yield tasks.spawn(failing())
        except ValueError as error:
            return f"told: {error}"

    assert run(loop, tasks.spawn(waiting())) == "told: broken"


def test_keep_running_restarts_a_task_after_an_awaited_task_failed(loop):
    starts = []

    def failing():
        yield tasks.sleep(loop, 1)
        raise ValueError("broken")

    def failing_task():
        starts.append(len(starts))
        yield tasks.spawn(failing())

    tasks.keep_running(loop, failing_task)
    timeout = tasks.sleep(loop, 4 * tasks.RESTART_PAUSE_MS)
    loop.run(until=lambda: len(starts) == 2 or timeout.done())
    assert starts == [0, 1]


def test_data_that_came_during_a_callback_is_read_before_timers(loop):
    reader, writer = socket.socketpair()
    trigger, starter = socket.socketpair()
    seen = []

    def stand_still(events: int) -> None:
        trigger.recv(1)
        time.sleep(STANDSTILL_S)
        writer.send(b"x")

    loop.watch(reader, loop_lib.READ, lambda events: seen.append("data"))
    loop.watch(trigger, loop_lib.READ, stand_still)
    loop.call_later(50, seen.append, "timer")
    starter.send(b"x")
    loop.run(until=lambda: "timer" in seen)
    for sock in (reader, writer, trigger, starter):
        sock.close()
    assert seen[0] == "data"


UNUSABLE_ADDRESSES = [
    ("127.0.0.1", 65_536),
    ("127.0.0.1", -1),
    ("127.0.0.1", 10**400),
    ("a\0b", 80),
    ("\u00e9" * 70, 80),
    ("::1", 80),
    ("255.255.255.255", 80),
]


class ClosedRecorder:
    """Handler that counts the losses of its connection."""

    def __init__(self) -> None:
        self.lost_count = 0

    def connected(self) -> None:
        raise AssertionError("no connection is possible")

    def closed(self, *, is_clean: bool) -> None:
        assert not is_clean
        self.lost_count += 1


@pytest.mark.parametrize("address", UNUSABLE_ADDRESSES)
def test_connection_to_an_unusable_address_is_lost(loop, address):
    handler = ClosedRecorder()
    connection = connection_lib.connect(loop, address, handler)
    connection.send(b"request")
    assert handler.lost_count == 0
    loop.run(until=lambda: handler.lost_count)
    assert connection.sent_bytes == 0
    assert not connection.is_open


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("address", UNUSABLE_ADDRESSES)
def test_closed_connection_to_an_unusable_address_has_no_callback(
    loop, address, end
):
    handler = ClosedRecorder()
    getattr(connection_lib.connect(loop, address, handler), end)()
    loop.run_once(max_wait_ms=10)
    assert handler.lost_count == 0


@pytest.mark.parametrize("address", UNUSABLE_ADDRESSES)
def test_call_to_an_unusable_address_ends_at_once(loop, address):
    client = http_client.HttpClient(loop)
    started_ms = loop.now_ms()
    call = client.call(address, method="GET", target="/", timeout_ms=5_000)
    assert run(loop, call) is None
    assert loop.now_ms() - started_ms < 1_000


def test_connection_without_a_socket_is_lost(loop, monkeypatch):
    def raise_too_many_files(*arguments):
        raise OSError(24, "Too many open files")

    handler = ClosedRecorder()
    monkeypatch.setattr(connection_lib.socket, "socket", raise_too_many_files)
    connection_lib.connect(loop, ("127.0.0.1", 80), handler)
    loop.run(until=lambda: handler.lost_count)


class _ReceivingHandler:
    """Counts the bytes that arrive."""

    def __init__(self):
        self.received_bytes = 0

    def received(self, data):
        self.received_bytes += len(data)

    def closed(self, *, is_clean):
        del is_clean


@pytest.mark.parametrize("counts_for_link", [True, False])
def test_link_is_not_taken_for_full_by_calls_to_the_store(
    loop, counts_for_link
):
    loop.link = link_budget.LinkBudget(1.0)
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    handler = _ReceivingHandler()
    connection_lib.Connection(
        loop, ours, handler, counts_for_link=counts_for_link
    )
    theirs.send(b"x" * 60_000)
    loop.run(until=lambda: handler.received_bytes == 60_000)
    assert (loop.link.wait_ms(loop.now_ms()) > 0) is counts_for_link
    theirs.close()


def test_cancelled_timers_do_not_stay_until_they_are_due():
    """Guards against memory that grows with each read of a connection."""
    loop = loop_lib.EventLoop(clock_lib.Clock())
    kept = loop.call_later(60_000, lambda: None)
    for _ in range(5 * loop_lib.MIN_COMPACTED_TIMERS):
        loop.call_later(60_000, lambda: None).cancel()
    assert len(loop._timers) <= loop_lib.MIN_COMPACTED_TIMERS + 1
    assert not kept.is_cancelled
    assert any(timer is kept for _, _, timer in loop._timers)
    done = []
    for delay_ms in (3, 1, 2):
        loop.call_later(delay_ms, done.append, delay_ms)
    loop._remove_cancelled_timers()
    loop.run(until=lambda: len(done) == 3)
    assert done == [1, 2, 3]
    loop.close()
