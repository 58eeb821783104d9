"""HTTP server on the event loop for readiness, metrics and peer requests."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Sequence
from concurrent import futures
import socket

from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import connection_limit
from bambooglade.eventloop import loop as loop_lib
from bambooglade.http1 import messages
from bambooglade.http1 import request_parser

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
"""Longest body; a configuration with a few hundred routes has 100 KB."""

IDLE_TIMEOUT_MS = 60_000
"""Time without received bytes after which a connection is closed."""


MAX_CONNECTIONS = 65_536
"""Most connections of a server for which no limit is given.

A store that is emulated has several connections of hundreds of instances.
"""

MAX_READ_AHEAD_BYTES = 65_536
"""Memory of requests behind the one that is served, from which no more is read.
"""


class Reply:
    """A response.

    Attributes:
        status: HTTP status.
        body: The whole body.
        content_type: Type of the body.
        fields: Further header fields.
    """

    __slots__ = ("body", "content_type", "fields", "status")

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        content_type: str = "application/json",
    ) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type
        self.fields: Sequence[tuple[bytes, bytes]] = ()


Handler = Callable[[messages.Request], Reply | futures.Future]


class HttpServer:
    """Serves short requests, one at a time per connection.

    Args:
        loop: The event loop.
        address: IP address and port to listen on.
        handler: Returns the reply to a request, or a future with it. A future
            with None closes the connection without a response.
        limit: Bounds the connections.

    Attributes:
        limit: Bounds the connections.
    """

    __slots__ = ("_connections", "_handler", "_listener", "_loop", "limit")

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        address: tuple[str, int],
        handler: Handler,
        *,
        limit: connection_limit.ConnectionLimit | None = None,
    ) -> None:
        self._loop = loop
        self._handler = handler
        if limit is None:
            limit = connection_limit.ConnectionLimit(MAX_CONNECTIONS)
        self.limit: connection_limit.ConnectionLimit[_ServerConnection] = limit
        self._connections: set[_ServerConnection] = set()
        self._listener = connection_lib.Listener(
            loop, address, self._add_connection
        )

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port that the server listens on."""
        return self._listener.address

    def close(self) -> None:
        """Stops listening, and closes all connections."""
        self._listener.close()
        for connection in list(self._connections):
            connection.close()

    def _add_connection(self, sock: socket.socket) -> None:
        if not self.limit.try_make_room(lambda oldest: oldest.close()):
            sock.close()
            return
        connection = _ServerConnection(
            self._loop, sock, self._handler, self._remove, self.limit
        )
        self._connections.add(connection)
        self.limit.add(connection)

    def _remove(self, connection: _ServerConnection) -> None:
        self._connections.discard(connection)
        self.limit.remove(connection)

    def __repr__(self) -> str:
        return f"HttpServer(connections={len(self._connections)})"


class _ServerConnection:
    __slots__ = (
        "_connection",
        "_handler",
        "_is_ended",
        "_is_paused",
        "_limit",
        "_loop",
        "_on_close",
        "_parser",
        "_queued_bytes",
        "_queued_requests",
        "_rejected_status",
        "_request",
        "_share",
        "_timer",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        sock: socket.socket,
        handler: Handler,
        on_close: Callable[[_ServerConnection], None],
        limit: connection_limit.ConnectionLimit,
    ) -> None:
        self._loop = loop
        self._limit = limit
        self._handler = handler
        self._on_close = on_close
        self._parser = request_parser.RequestParser(
            request_parser.RequestLimits(
                max_header_bytes=MAX_HEADER_BYTES,
                max_body_bytes=MAX_BODY_BYTES,
            )
        )
        self._queued_requests: collections.deque[messages.Request] = (
            collections.deque()
        )
        self._queued_bytes = 0
        self._request: messages.Request | None = None
        self._rejected_status: int | None = None
        self._is_ended = False
        self._is_paused = False
        self._share = loop.byte_budget.open(self._give_up)
        self._timer = loop.call_later(IDLE_TIMEOUT_MS, self.close)
        self._connection = connection_lib.Connection(loop, sock, self)

    def connected(self) -> None:
        """Never called, since an accepted socket is connected already."""

    def received(self, data: bytes) -> None:
        if self._is_ended or self._rejected_status or self._share.is_discarded:
            return
        self._timer.cancel()
        self._timer = self._loop.call_later(IDLE_TIMEOUT_MS, self.close)
        try:
            for request in self._parser.feed(data, now_ms=self._loop.now_ms()):
                self._queued_requests.append(request)
                self._queued_bytes += request.held_bytes
        except request_parser.RejectedRequestError as error:
            self._rejected_status = error.status
            self._parser.close()
        self._serve_queued_requests()
        self._update_reading()

    def _give_up(self) -> None:
        """Lets go of what was received, and closes in the next step."""
        self._clear()
        self._loop.call_later(0, self.close)

    def _clear(self) -> None:
        self._queued_requests.clear()
        self._queued_bytes = 0
        self._parser.close()

    def _serve_queued_requests(self) -> None:
        """Serves requests in order, until the reply to one is not known yet."""
        while (
            self._queued_requests
            and self._request is None
            and not self._is_ended
        ):
            self._request = self._queued_requests.popleft()
            self._queued_bytes -= self._request.held_bytes
            self._limit.start_request(self)
            try:
                reply = self._handler(self._request)
            except Exception:
                self.close()
                raise
            if isinstance(reply, futures.Future):
                reply.add_done_callback(self._handle_done)
            else:
                self._send_reply(reply)
        if self._rejected_status and self._request is None:
            self._send_rejection()

    def _send_rejection(self) -> None:
        if not self._is_ended:
            self._connection.send(
                messages.encode_response(
                    status=self._rejected_status,
                    fields=[(b"Connection", b"close")],
                )
            )
            self._end_when_sent()

    def _update_reading(self) -> None:
        """Stops reading while enough requests wait, and resumes afterwards."""
        held_bytes = self._parser.held_bytes + self._queued_bytes
        self._share.resize(held_bytes)
        is_paused = (
            self._request is not None and held_bytes > MAX_READ_AHEAD_BYTES
        )
        if is_paused != self._is_paused:
            self._is_paused = is_paused
            self._connection.pause_reading(is_paused=is_paused)

    def _handle_done(self, done: futures.Future) -> None:
        self._send_reply(done.result())
        self._serve_queued_requests()
        self._update_reading()

    def _send_reply(self, reply: Reply | None) -> None:
        request, self._request = self._request, None
        if self._is_ended:
            return
        if reply is None:
            self.close()
            return
        fields = [
            (b"Content-Type", reply.content_type.encode()),
            *reply.fields,
        ]
        if request.expects_close:
            fields.append((b"Connection", b"close"))
        self._connection.send(
            messages.encode_response(
                status=reply.status, fields=fields, body=reply.body
            )
        )
        self._limit.end_request(self)
        if request.expects_close:
            self._end_when_sent()

    def _end_when_sent(self) -> None:
        """Closes the connection, which takes no further requests, when sent."""
        self._is_ended = True
        self._connection.close_when_sent()
        self._clear()
        self._share.close()
        self._on_close(self)

    def closed(self, *, is_clean: bool) -> None:
        del is_clean
        self._is_ended = True
        self._timer.cancel()
        self._share.close()
        self._clear()
        self._on_close(self)

    def close(self) -> None:
        self._connection.close()
        self.closed(is_clean=False)
