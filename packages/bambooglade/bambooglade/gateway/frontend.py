"""Callers' connections: requests in, responses out, one after the other."""

from __future__ import annotations

import collections
import socket

from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import configuration as configuration_lib
from bambooglade.gateway import context as context_lib
from bambooglade.gateway import error_responses
from bambooglade.gateway import exchange as exchange_lib
from bambooglade.http1 import messages
from bambooglade.http1 import request_parser

LINGER_MS = 2_000
"""How long a connection is drained after its last response was sent.

Closing with unread bytes would reset it, and the response could be lost.
"""

DESCRIPTORS_KEPT_FREE = 300
"""Descriptors that callers can't use: files, targets, peers and the store."""

_CLOSE = (b"Connection", b"close")
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Frontend:
    """Serves callers.

    Args:
        context: What requests share.
        address: Where to listen.
    """

    __slots__ = (
        "_connections",
        "_context",
        "_is_draining",
        "_listener",
        "_max_connections",
    )

    def __init__(
        self,
        context: context_lib.GatewayContext,
        address: tuple[str, int],
    ) -> None:
        self._context = context
        self._connections: set[CallerConnection] = set()
        self._is_draining = False
        self._max_connections = max(
            64, context.settings.max_descriptors - DESCRIPTORS_KEPT_FREE
        )
        self._listener = connection_lib.Listener(
            context.loop, address, self._accepted
        )

    @property
    def is_draining(self) -> bool:
        """Whether connections are closed after their response."""
        return self._is_draining

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port that it listens on."""
        return self._listener.address

    @property
    def active_requests(self) -> int:
        """Requests that have not been answered."""
        return sum(c.is_busy for c in self._connections)

    def drain(self) -> None:
        """Lets every response say that its connection ends."""
        self._is_draining = True

    def close_idle(self) -> None:
        """Closes the connections that wait for a request."""
        for connection in list(self._connections):
            if not connection.is_busy:
                connection.close()

    def close(self) -> None:
        """Stops to accept, and closes what is left."""
        self._listener.close()
        for connection in list(self._connections):
            connection.close()

    def forget(self, connection: CallerConnection) -> None:
        """Notes that a connection is gone."""
        self._connections.discard(connection)

    def _accepted(self, sock: socket.socket) -> None:
        if len(self._connections) >= self._max_connections:
            self._context.log.event(
                "connection_refused",
                reason="too many connections",
                open=len(self._connections),
            )
            sock.close()
            return
        self._connections.add(CallerConnection(self._context, self, sock))

    def __repr__(self) -> str:
        return f"Frontend(connections={len(self._connections)})"


class CallerConnection:
    """One connection of a caller.

    Args:
        context: What requests share.
        frontend: The listener it belongs to.
        sock: The accepted socket.
    """

    __slots__ = (
        "_connection",
        "_context",
        "_exchange",
        "_frontend",
        "_is_closing",
        "_is_continued",
        "_parser",
        "_request",
        "_timer",
        "_waiting",
    )

    def __init__(
        self,
        context: context_lib.GatewayContext,
        frontend: Frontend,
        sock: socket.socket,
    ) -> None:
        self._context = context
        self._frontend = frontend
        self._parser = request_parser.RequestParser(_limits_of(self._limits()))
        self._waiting: collections.deque[messages.Request] = collections.deque()
        self._request: messages.Request | None = None
        self._exchange: exchange_lib.Exchange | None = None
        self._is_closing = False
        self._is_continued = False
        self._timer: loop_lib.Timer | None = None
        self._connection = connection_lib.Connection(context.loop, sock, self)
        self._arm_timer()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return (
            self._exchange is not None or self._parser.started_at_ms is not None
        )

    def now_ms(self) -> int:
        """Returns the time."""
        return self._context.loop.now_ms()

    def connected(self) -> None:
        """Never called: the socket was accepted."""

    def received(self, data: bytes) -> None:
        """Takes bytes of requests."""
        if self._is_closing:
            return
        try:
            for request in self._parser.feed(data, now_ms=self.now_ms()):
                self._is_continued = False
                self._waiting.append(request)
        except request_parser.RejectedRequestError as error:
            self._reject(error.status, str(error))
            return
        if self._exchange is None:
            self._next()
            self._arm_timer()
        if self._parser.expects_continue and not self._is_continued:
            self._is_continued = True
            if self._exchange is None:
                self._connection.send(_CONTINUE)

    def closed(self, *, is_clean: bool) -> None:
        """Gives up the request whose caller is gone."""
        del is_clean
        self._gone()

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()
        self._gone()

    def _gone(self) -> None:
        self._is_closing = True
        self._disarm_timer()
        self._waiting.clear()
        self._frontend.forget(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.cancel()

    def _next(self) -> None:
        """Starts the requests that wait, until one has to be waited for."""
        while self._waiting and self._exchange is None and not self._is_closing:
            self._disarm_timer()
            self._request = self._waiting.popleft()
            exchange = exchange_lib.Exchange(self._context, self._request, self)
            self._exchange = exchange
            exchange.start()

    def respond(
        self, status: int, fields: messages.HeaderFields, body: bytes
    ) -> None:
        """Sends a whole response."""
        is_bodiless = self._request.method == b"HEAD"
        if is_bodiless:
            data = messages.encode_response_head(
                status=status, fields=self._with_close(fields)
            )
        else:
            data = messages.encode_response(
                status=status, fields=self._with_close(fields), body=body
            )
        self._connection.send(data)
        self._done()

    def start_stream(self, status: int, fields: messages.HeaderFields) -> None:
        """Sends the head of a chunked response."""
        chunked = (b"Transfer-Encoding", b"chunked")
        self._connection.send(
            messages.encode_response_head(
                status=status, fields=[*self._with_close(fields), chunked]
            )
        )

    def send_part(self, data: bytes) -> None:
        """Sends a part of the body."""
        self._connection.send(messages.encode_chunk(data))

    def end_stream(self) -> None:
        """Sends the end of the body."""
        self._connection.send(messages.LAST_CHUNK)
        self._done()

    def abort(self) -> None:
        """Closes the connection so that the response looks incomplete."""
        self._exchange = None
        self._connection.close()
        self._gone()

    def _with_close(
        self, fields: messages.HeaderFields
    ) -> messages.HeaderFields:
        is_congested = self._context.congestion.is_congested(self.now_ms())
        if (
            self._request.expects_close
            or self._frontend.is_draining
            or is_congested
        ):
            self._is_closing = True
            return [*fields, _CLOSE]
        return fields

    def _done(self) -> None:
        self._exchange = None
        if self._is_closing:
            self._finish()
            return
        self._context.loop.call_later(0, self._continue)

    def _continue(self) -> None:
        if self._connection.is_open and self._exchange is None:
            self._next()
            self._arm_timer()

    def _finish(self) -> None:
        """Waits for the caller to close, so that it reads the response."""
        self._waiting.clear()
        self._disarm_timer()
        self._connection.finish()
        self._timer = self._context.loop.call_later(LINGER_MS, self.close)

    def _reject(self, status: int, detail: str) -> None:
        kind = error_responses.ERROR_KIND_BY_STATUS[status]
        refusal = error_responses.ErrorResponse(kind, detail)
        self._context.log.event(
            "request_rejected", status=status, detail=detail
        )
        self._waiting.clear()
        if self._exchange is None:
            self._connection.send(
                messages.encode_response(
                    status=status,
                    fields=[*refusal.fields(), _CLOSE],
                    body=refusal.body(),
                )
            )
            self._is_closing = True
            self._finish()
        else:
            self._is_closing = True

    def _limits(self) -> configuration_lib.ClientLimits:
        configuration = self._context.view.configuration
        if configuration is None:
            return configuration_lib.ClientLimits()
        return configuration.limits

    def _arm_timer(self) -> None:
        """Bounds how long a request may take to arrive, or to begin."""
        self._disarm_timer()
        if self._exchange is not None or self._is_closing:
            return
        limits = self._limits()
        started_at_ms = self._parser.started_at_ms
        if started_at_ms is None:
            self._timer = self._context.loop.call_later(
                limits.idle_timeout_ms, self.close
            )
            return
        due_ms = started_at_ms + limits.header_timeout_ms
        self._timer = self._context.loop.call_later(
            due_ms - self.now_ms(), self._request_timed_out
        )

    def _request_timed_out(self) -> None:
        self._reject(408, "the request did not arrive in time")

    def _disarm_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def __repr__(self) -> str:
        return f"CallerConnection(busy={self.is_busy})"


def _limits_of(
    limits: configuration_lib.ClientLimits,
) -> request_parser.RequestLimits:
    return request_parser.RequestLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
    )
