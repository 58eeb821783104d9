"""Engine in a separate process, which signals can stop and continue.

Usage: python -m bambooglade_standins.users_platform.engine_process SETTINGS

Its standard input takes one behaviour a line; at its end the engine exits.

The path of a request states what it asks for: `/ROUTE/SUBJECT/EVENTS/PACE_MS`.
With no events the response is a body after that pace, else a stream of events.
Each event names the subject, the service and the software version, so that a
stream that was joined from two runs shows it.

See Also:
    bambooglade_standins.users_platform.soak_fleet: runs these engines.
"""

from __future__ import annotations

import collections
import os
import random
import signal
import socket
import subprocess
import sys
import time

import msgspec

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.http1 import messages
from bambooglade.http1 import request_parser
from bambooglade_standins.users_platform import endless_bytes
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import fleet_records

FIRST_EVENT_MS = 15
"""Time from the start of a run to its first event."""

FATAL_PART = "fa7a1"
"""Id of a prompt part on which engines crash once they have responded to it."""

FATAL_SUBJECT = "fatal"
"""Subject of the requests on which engines crash when they begin to run."""

_MAX_BYTES = 10_000_000
_NS_PER_MS = 1_000_000


class EngineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one engine process.

    Attributes:
        name: Id of the engine.
        service: Service that it belongs to.
        version: Version of its software.
        zone: Its availability zone.
        host: IP address to listen on.
        port: Port to listen on.
        slots: Requests that run at the same time.
        queue: Most requests that wait for a slot.
        backlog: Size of the accept queue.
        max_connections: Most connections, or half of them while the queue is
            longer than the slots; further ones are reset.
        idle_timeout_s: Time after which an idle connection is closed.
        record_path: File to which the engine appends what it receives.
    """

    name: str
    service: str
    version: str
    zone: str
    host: str
    port: int
    slots: int
    queue: int
    backlog: int
    max_connections: int
    idle_timeout_s: int
    record_path: str

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port to listen on."""
        return self.host, self.port


class EngineProcess:
    """Starts, stops, continues and ends one engine process.

    Args:
        settings: Settings of the engine.

    Attributes:
        settings: Settings of the engine.
    """

    __slots__ = ("_process", "settings")

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process."""
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bambooglade_standins.users_platform.engine_process",
                msgspec.json.encode(self.settings).decode(),
            ],
            stdin=subprocess.PIPE,
        )

    def behave(self, behaviour: fleet_records.Behaviour) -> None:
        """Tells the process how to treat the requests that follow."""
        if self.is_running:
            self._process.stdin.write(msgspec.json.encode(behaviour) + b"\n")
            self._process.stdin.flush()

    @property
    def is_running(self) -> bool:
        """Whether the process is running, or stopped by a signal."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, signal_number: int) -> None:
        """Sends a signal to the process if it is running."""
        if self.is_running:
            self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kills the process, also while it is stopped, and waits for it."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
            self._process.stdin.close()

    def __repr__(self) -> str:
        return f"EngineProcess({self.settings.name!r})"


class RecordWriter:
    """Appends records to a file, one line each.

    Args:
        path: Path of the file.
    """

    __slots__ = ("_descriptor",)

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, 0o644)

    def write(self, record: msgspec.Struct) -> None:
        """Writes one record, which outlives a kill of the process."""
        os.write(self._descriptor, msgspec.json.encode(record) + b"\n")


def monotonic_ms() -> int:
    """Returns the time in milliseconds that all processes share."""
    return time.monotonic_ns() // _NS_PER_MS


class _EngineListener(connection_lib.Listener):
    """Listener with an accept queue of a given size."""

    def __init__(self, loop, address, on_accept, *, backlog: int) -> None:
        self.BACKLOG = backlog
        super().__init__(loop, address, on_accept)


class _Server:
    """Accepts connections, and runs as many requests as it has slots."""

    def __init__(
        self, loop: loop_lib.EventLoop, settings: EngineSettings
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.connections: set[_Connection] = set()
        self._running: set[_Run] = set()
        self._waiting: collections.deque[_Run] = collections.deque()
        self._records = RecordWriter(settings.record_path)
        self._behaviour = fleet_records.Behaviour()
        self._random = random.Random(settings.name)
        self.is_ended = False
        loop.watch(sys.stdin.buffer, loop_lib.READ, self._read_behaviour)
        self._listener = _EngineListener(
            loop, settings.address, self._accept, backlog=settings.backlog
        )

    def _read_behaviour(self, events: int) -> None:
        del events
        lines = os.read(sys.stdin.fileno(), 65_536).split(b"\n")
        self.is_ended = lines == [b""]
        for line in filter(None, lines):
            self._behaviour = msgspec.json.decode(
                line, type=fleet_records.Behaviour
            )
            for connection in list(self.connections):
                if connection.host in self._behaviour.reset_hosts:
                    connection.reset()

    def _accept(self, sock: socket.socket) -> None:
        limit = self.settings.max_connections
        if len(self._waiting) > self.settings.slots:
            limit //= 2
        if len(self.connections) >= limit:
            zero_linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
            sock.close()
            return
        try:
            self.connections.add(_Connection(self, sock))
        except OSError:
            sock.close()  # reset before it was accepted

    def load_field(self) -> tuple[bytes, bytes]:
        """Returns the header with the current load."""
        return (
            b"X-Bambooglade-Engine-Load",
            b"%d,%d,%d"
            % (len(self._running), len(self._waiting), self.settings.slots),
        )

    def record(self, run: _Run, step: fleet_records.Step) -> None:
        """Records a step of a request."""
        self._records.write(
            fleet_records.EngineRecord(
                at_ms=monotonic_ms(),
                step=step,
                engine=self.settings.name,
                service=self.settings.service,
                version=self.settings.version,
                zone=self.settings.zone,
                host=run.host,
                attempt=run.attempt,
                target=run.target,
                after_event=run.after_event,
                sent_events=run.sent_events,
                deadline_ms=run.deadline_ms,
                pause_ms=run.pause_ms,
                status=run.declined_status,
            )
        )

    def handle(self, run: _Run) -> None:
        """Starts a request, lets it wait, or declines it."""
        self.record(run, fleet_records.Step.ARRIVED)
        if run.expected_engine not in ("", self.settings.name):
            run.decline(421)
        elif self._random.random() < self._behaviour.broken_share:
            run.break_off()
        elif self._behaviour.endless:
            run.send_without_end(self._behaviour.endless)
        elif self._behaviour.is_full:
            run.decline(503, pause_s=self._behaviour.pause_s)
        elif len(self._running) < self.settings.slots:
            self._start(run)
        elif len(self._waiting) < self.settings.queue:
            self._waiting.append(run)
        else:
            run.decline(503)

    def _start(self, run: _Run) -> None:
        self._running.add(run)
        self.record(run, fleet_records.Step.STARTED)
        run.start(self._behaviour, self._random)

    def end(self, run: _Run, step: fleet_records.Step) -> None:
        """Records the end of a request, and starts those that wait."""
        self.record(run, step)
        self._running.discard(run)
        if run in self._waiting:
            self._waiting.remove(run)
        while self._waiting and len(self._running) < self.settings.slots:
            waiting = self._waiting.popleft()
            if waiting.is_expired:
                waiting.decline(503)
            else:
                self._start(waiting)


class _Connection:
    """One connection, which serves one request at a time."""

    def __init__(self, server: _Server, sock: socket.socket) -> None:
        self._server = server
        self._parser = request_parser.RequestParser(
            request_parser.RequestLimits(
                max_header_bytes=_MAX_BYTES, max_body_bytes=_MAX_BYTES
            )
        )
        self._run: _Run | None = None
        self.host = sock.getpeername()[0]
        self.connection = connection_lib.Connection(server.loop, sock, self)
        self._timer = None
        self._start_idle_timer()

    def _start_idle_timer(self) -> None:
        self._timer = self._server.loop.call_later(
            self._server.settings.idle_timeout_s * 1_000, self._handle_idle
        )

    def _handle_idle(self) -> None:
        """Closes the connection, unless a request has arrived meanwhile.

        After the process was stopped, its timers run before it reads.
        """
        self._timer = self._server.loop.call_later(0, self._close)

    def _close(self) -> None:
        self._server.connections.discard(self)
        self.connection.close()

    def reset(self) -> None:
        """Resets the connection, and ends its request."""
        self.connection.reset()
        if self._run is not None:
            self._run.break_off()
        else:
            self.closed(is_clean=False)

    def connected(self) -> None:
        """Never called: the socket was accepted."""

    def received(self, data: bytes) -> None:
        """Handles the complete requests."""
        now_ms = self._server.loop.now_ms()
        for request in self._parser.feed(data, now_ms=now_ms):
            self._timer.cancel()
            self._run = _Run(self._server, self, request)
            self._server.handle(self._run)

    def closed(self, *, is_clean: bool) -> None:
        """Abandons the request whose caller has gone."""
        del is_clean
        self._timer.cancel()
        self._server.connections.discard(self)
        run, self._run = self._run, None
        if run is not None:
            run.abandon()

    def release(self) -> None:
        """Waits for the next request, unless the connection was broken off."""
        self._run = None
        self._timer.cancel()
        if self.connection.is_open:
            self._start_idle_timer()
        else:
            self._server.connections.discard(self)


class _Run:
    """One request, from its arrival to its last byte."""

    def __init__(
        self,
        server: _Server,
        connection: _Connection,
        request: messages.Request,
    ) -> None:
        self._server = server
        self._connection = connection
        self.target = request.target.decode()
        _, _, self._subject, events, pace_ms = self.target.split("/")
        self._events, self._pace_ms = int(events), int(pace_ms)
        self.attempt = request.get(engine_lib.ATTEMPT_ID.lower()).decode()
        self.after_event = int(request.get(b"last-event-id") or 0)
        self.sent_events = 0
        self.expected_engine = request.get(
            b"x-bambooglade-expected-instance"
        ).decode()
        self.deadline_ms = request.integer(b"x-bambooglade-deadline-ms")
        self._due_ms = server.loop.now_ms() + (self.deadline_ms or 60_000)
        self._is_truncated = False
        self.pause_ms = 0
        self.declined_status = 0
        self.host = connection.host
        parts = request.get(b"x-bambooglade-prefix-hash").decode().split(",")
        self._has_fatal_part = FATAL_PART in (
            part.partition(":")[0] for part in parts
        )
        self._timer = None

    @property
    def is_expired(self) -> bool:
        """Whether the deadline has passed."""
        return self._server.loop.now_ms() >= self._due_ms

    def _fields(self) -> messages.HeaderFields:
        settings = self._server.settings
        return [
            (engine_lib.ATTEMPT_ID, self.attempt.encode()),
            (engine_lib.SIGNATURE, f"sig-{settings.name}".encode()),
            (b"Keep-Alive", b"timeout=%d" % settings.idle_timeout_s),
            self._server.load_field(),
        ]

    def _send(self, data: bytes) -> None:
        self._connection.connection.send(data)

    def start(
        self, behaviour: fleet_records.Behaviour, source: random.Random
    ) -> None:
        """Begins to respond.

        Args:
            behaviour: How the engine treats the request.
            source: Chooses what happens to it.
        """
        if self._subject.startswith(FATAL_SUBJECT):
            self._crash()
        pace_ms = self._pace_ms = self._pace_ms * behaviour.slowdown
        if source.random() < behaviour.failed_share:
            self._schedule(FIRST_EVENT_MS, self._fail)
        elif source.random() < behaviour.lost_share:
            self._schedule(pace_ms, self.break_off)
        else:
            self._is_truncated = source.random() < behaviour.truncated_share
            if self._events:
                self._schedule(FIRST_EVENT_MS, self._begin_stream)
            else:
                self._schedule(pace_ms, self._respond)

    def _crash(self) -> None:
        self._server.record(self, fleet_records.Step.CRASHED)
        os._exit(1)

    def _fail(self) -> None:
        self._send(
            messages.encode_response(
                status=500, fields=self._fields(), body=b"failed"
            )
        )
        self._finish(fleet_records.Step.FINISHED)

    def send_without_end(self, name: str) -> None:
        """Sends bytes until the caller closes the connection.

        Args:
            name: What is sent, see `endless_bytes`.
        """
        self._send(endless_bytes.head(name, self.attempt.encode()))
        self._send_more(endless_bytes.piece(name))

    def _send_more(self, piece: bytes) -> None:
        connection = self._connection.connection
        if not connection.is_open:
            return
        if connection.unsent_bytes < len(piece):
            self._send(piece)
        self._schedule(1, lambda: self._send_more(piece))

    def break_off(self) -> None:
        """Resets the connection, and ends the request."""
        if self._timer is not None:
            self._timer.cancel()
        self._connection.connection.reset()
        self._finish(fleet_records.Step.BROKEN)

    def _schedule(self, delay_ms: int, callback) -> None:
        self._timer = self._server.loop.call_later(delay_ms, callback)

    def _respond(self) -> None:
        data = messages.encode_response(
            status=200,
            fields=self._fields(),
            body=f"{self._subject} {self.attempt}".encode(),
        )
        if self._is_truncated:
            self._send(data[: len(data) // 2])
            self._connection.connection.close_when_sent()
            self._finish(fleet_records.Step.BROKEN)
            return
        self._send(data)
        self._finish(fleet_records.Step.FINISHED)

    def _begin_stream(self) -> None:
        self._send(
            messages.encode_response_head(
                status=200,
                fields=[
                    *self._fields(),
                    (b"Content-Type", b"text/event-stream"),
                    (b"Transfer-Encoding", b"chunked"),
                ],
            )
        )
        self._send_event()
        if self._has_fatal_part:
            self._schedule(1, self._crash)

    def _send_event(self) -> None:
        number = self.after_event + self.sent_events + 1
        if number <= self._events:
            settings = self._server.settings
            data = (
                f"id: {number}\ndata: {self._subject} {settings.service}"
                f" {settings.version} {number}\n\n"
            )
            if self._is_truncated and 2 * number > self._events:
                self._send(messages.encode_chunk(data.encode())[:-9])
                self._connection.connection.close_when_sent()
                self._finish(fleet_records.Step.BROKEN)
                return
            self._send(messages.encode_chunk(data.encode()))
            self.sent_events += 1
        if number >= self._events:
            self._send(messages.LAST_CHUNK)
            self._finish(fleet_records.Step.FINISHED)
        elif self.is_expired:
            self._connection.connection.reset()
            self._finish(fleet_records.Step.EXPIRED)
        else:
            self._schedule(self._pace_ms, self._send_event)

    def decline(self, status: int, *, pause_s: float = 0.0) -> None:
        """Responds that the request was not executed.

        Args:
            status: Status of the response.
            pause_s: Time for which no requests are wanted; 0 for none.
        """
        self.pause_ms = round(1_000 * pause_s)
        self.declined_status = status
        pause = [(b"Retry-After", b"%g" % pause_s)] if pause_s else []
        self._send(
            messages.encode_response(
                status=status,
                fields=[
                    (engine_lib.ATTEMPT_ID, self.attempt.encode()),
                    (b"X-Bambooglade-Not-Executed", b"1"),
                    (
                        b"Keep-Alive",
                        b"timeout=%d" % self._server.settings.idle_timeout_s,
                    ),
                    self._server.load_field(),
                    *pause,
                ],
            )
        )
        self._server.record(self, fleet_records.Step.DECLINED)
        self._connection.release()

    def _finish(self, step: fleet_records.Step) -> None:
        self._connection.release()
        self._server.end(self, step)

    def abandon(self) -> None:
        """Ends the run, since its caller has closed the connection."""
        if self._timer is not None:
            self._timer.cancel()
        self._server.end(self, fleet_records.Step.ABANDONED)


def main() -> int:
    """Runs an engine until it is killed, or its standard input ends."""
    settings = msgspec.json.decode(sys.argv[1], type=EngineSettings)
    loop = loop_lib.EventLoop(clock_lib.Clock())
    server = _Server(loop, settings)
    loop.run(until=lambda: server.is_ended)
    return 0


if __name__ == "__main__":
    sys.exit(main())
