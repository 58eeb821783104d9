"""Emulated inference engine with scripted faults."""

from __future__ import annotations

import collections
from collections.abc import Callable
import socket

from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.http1 import messages
from bambooglade.http1 import request_parser

SIGNATURE = b"X-Bambooglade-Engine-Signature"
ATTEMPT_ID = b"X-Bambooglade-Attempt-Id"
_MAX_BYTES = 10_000_000


class Call:
    """One request at an engine, with methods that send a response.

    Attributes:
        request: The received request.
        engine: The engine that received it.
        connection: The connection that it came on.
    """

    def __init__(
        self,
        request: messages.Request,
        engine: Engine,
        connection: connection_lib.Connection,
    ) -> None:
        self.request = request
        self.engine = engine
        self.connection = connection

    @property
    def is_open(self) -> bool:
        """Whether the caller is still connected."""
        return self.connection.is_open

    def fields(self) -> messages.HeaderFields:
        """Returns the headers that identify a response of the engine."""
        attempt_id = self.request.get(ATTEMPT_ID.lower())
        return [
            (ATTEMPT_ID, attempt_id),
            (SIGNATURE, self.engine.signature),
            *self.engine.extra_fields,
        ]

    def respond(self, body: bytes, status: int = 200, extra=()) -> None:
        """Sends a complete, signed response."""
        self.send(
            messages.encode_response(
                status=status, fields=[*self.fields(), *extra], body=body
            )
        )

    def start_stream(self) -> None:
        """Sends the response head of an event stream."""
        self.send(
            messages.encode_response_head(
                status=200,
                fields=[
                    *self.fields(),
                    (b"Content-Type", b"text/event-stream"),
                    (b"Transfer-Encoding", b"chunked"),
                ],
            )
        )

    def event(self, number: int) -> None:
        """Sends one event of a stream."""
        self.send(messages.encode_chunk(event(number)))

    def end_stream(self) -> None:
        """Ends a stream."""
        self.send(messages.LAST_CHUNK)

    def send_unframed_stream(self, body: bytes) -> None:
        """Sends a stream that only the end of the connection ends."""
        fields = [*self.fields(), (b"Content-Type", b"text/event-stream")]
        self.send(messages.encode_response_head(status=200, fields=fields))
        self.send(body)
        self.close()

    def decline(self) -> None:
        """Responds that the request was not executed."""
        self.engine.declined_count += 1
        self.send(
            messages.encode_response(
                status=503,
                fields=[
                    (ATTEMPT_ID, self.request.get(ATTEMPT_ID.lower())),
                    (b"X-Bambooglade-Not-Executed", b"1"),
                    *self.engine.extra_fields,
                ],
            )
        )

    def send(self, data: bytes) -> None:
        """Sends raw bytes, once the engine is not silent any more."""
        self.engine.call_when_running(self.connection.send, data)

    def close(self) -> None:
        """Closes the connection once pending data has been sent."""
        self.engine.call_when_running(self.connection.close_when_sent)

    def reset(self) -> None:
        """Resets the connection."""
        self.connection.reset()


Behaviour = Callable[[Call], None]


def event(number: int) -> bytes:
    """Returns the wire encoding of one event."""
    return b"id: %d\ndata: token-%d\n\n" % (number, number)


def respond_with_name(call: Call) -> None:
    """Responds with the engine's name and the length of the request body."""
    call.respond(b"%s:%d" % (call.engine.name.encode(), len(call.request.body)))


def stream_events(count: int) -> Behaviour:
    """Returns a behaviour that streams events after the last received one."""

    def behave(call: Call) -> None:
        first = int(call.request.get(b"last-event-id") or 0) + 1
        call.start_stream()
        for number in range(first, count + 1):
            call.event(number)
        call.end_stream()

    return behave


class Engine:
    """Engine that handles each call with the next scripted behaviour.

    Args:
        loop: The event loop.
        name: Id of the engine.
        default: Behaviour once the script is used up.

    Attributes:
        script: Behaviours of the next calls.
        requests: Received requests, in order.
        declined_count: Number of requests reported as not executed.
        extra_fields: Header fields of all its responses.
    """

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        name: str,
        *,
        default: Behaviour = respond_with_name,
    ) -> None:
        self._loop = loop
        self.name = name
        self.default = default
        self.script: collections.deque[Behaviour] = collections.deque()
        self.requests: list[messages.Request] = []
        self.connection_count = 0
        self.open_connections: set[_EngineConnection] = set()
        self.declined_count = 0
        self.extra_fields: messages.HeaderFields = []
        self.is_closed = False
        self._is_silent = False
        self._deferred: collections.deque = collections.deque()
        self._listener = connection_lib.Listener(
            loop, ("127.0.0.1", 0), self._accepted
        )

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port."""
        return self._listener.address

    @property
    def signature(self) -> bytes:
        """Signature header value of its responses."""
        return b"sig-" + self.name.encode()

    def fall_silent(self, duration_ms: int) -> None:
        """Neither handles requests nor sends anything for a while.

        Connections open meanwhile, as those to a stopped process do.
        """
        self._is_silent = True
        self._loop.call_later(duration_ms, self.go_on)

    def go_on(self) -> None:
        """Ends the silence, and does what was put off."""
        self._is_silent = False
        while self._deferred:
            callback, arguments = self._deferred.popleft()
            callback(*arguments)

    def call_when_running(self, callback: Callable, *arguments: object) -> None:
        """Calls back now, or in order when the engine is silent no more."""
        if self._is_silent:
            self._deferred.append((callback, arguments))
        else:
            callback(*arguments)

    def call_after_sending(self, callback: Callable[[], None]) -> None:
        """Calls back after 20 ms, when pending data has been sent."""
        self._loop.call_later(20, callback)

    def close(self) -> None:
        """Stops listening and resets open connections."""
        self.is_closed = True
        self._listener.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Resets open connections, as a crash does."""
        for connection in list(self.open_connections):
            connection.connection.reset()

    def handle(
        self,
        request: messages.Request,
        connection: connection_lib.Connection,
    ) -> None:
        """Handles a request with the next scripted behaviour."""
        self.call_when_running(self._handle_now, request, connection)

    def _handle_now(
        self,
        request: messages.Request,
        connection: connection_lib.Connection,
    ) -> None:
        self.requests.append(request)
        behaviour = self.script.popleft() if self.script else self.default
        behaviour(Call(request, self, connection))

    def _accepted(self, sock: socket.socket) -> None:
        self.connection_count += 1
        self.open_connections.add(_EngineConnection(self._loop, sock, self))

    def __repr__(self) -> str:
        return f"Engine({self.name!r}, requests={len(self.requests)})"


class _EngineConnection:
    def __init__(self, loop, sock: socket.socket, engine: Engine) -> None:
        self._loop = loop
        self._engine = engine
        self._parser = request_parser.RequestParser(
            request_parser.RequestLimits(
                max_header_bytes=_MAX_BYTES, max_body_bytes=_MAX_BYTES
            )
        )
        self.connection = connection_lib.Connection(loop, sock, self)

    def connected(self) -> None:
        """Never called: the socket was accepted."""

    def received(self, data: bytes) -> None:
        """Parses received bytes and handles complete requests."""
        for request in self._parser.feed(data, now_ms=self._loop.now_ms()):
            self._engine.handle(request, self.connection)

    def closed(self, *, is_clean: bool) -> None:
        """Removes the connection from the open connections."""
        del is_clean
        self._engine.open_connections.discard(self)
