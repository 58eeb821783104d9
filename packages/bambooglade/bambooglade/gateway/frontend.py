"""Serves connections of callers and of peers, one request at a time on each."""

from __future__ import annotations

import collections
import socket

import msgspec

from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import connection_limit
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import configuration as configuration_lib
from bambooglade.gateway import context as context_lib
from bambooglade.gateway import error_responses
from bambooglade.gateway import exchange as exchange_lib
from bambooglade.gateway import handover as handover_lib
from bambooglade.http1 import messages
from bambooglade.http1 import request_parser

LINGERING_CLOSE_MS = 2_000
"""How long a connection is still read after its last response was sent.

Closing a connection with unread bytes would reset it, and the caller could lose
the response.
"""

STALLED_RESPONSE_MS = 10_000
"""Time after which a caller that reads nothing of its response is given up."""

RESERVED_DESCRIPTORS = 300
"""Descriptors that are reserved for files, targets, peers and the store."""

MIN_CONNECTIONS = 64
"""Connections of an address whatever the limit of descriptors."""

SPARE_DESCRIPTORS = 64
"""Descriptors that no accepted connection may take, whatever its address."""

PEER_IDLE_TIMEOUT_MS = 60_000
"""Idle time after which a connection of a peer is closed.

It is longer than peers reuse an idle connection, so that none of their requests
meets the end of its connection.
"""

MAX_READ_AHEAD_BYTES = 65_536
"""Memory of requests behind the one that is served, from which no more is read.

It holds a read of ordinary pipelined requests. A caller that has sent more, and
leaves, is noticed only when the response is sent.
"""

_CLOSE = (b"Connection", b"close")
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Frontend:
    """Accepts the connections of callers, or those of peers.

    Args:
        context: State that all requests share.
        address: Address to listen on.
        is_for_peers: Whether the requests are those that peers hand over.

    Attributes:
        limit: Bounds the connections.
    """

    __slots__ = (
        "_connections",
        "_context",
        "_is_draining",
        "_listener",
        "is_for_peers",
        "limit",
    )

    def __init__(
        self,
        context: context_lib.GatewayContext,
        address: tuple[str, int],
        *,
        is_for_peers: bool = False,
    ) -> None:
        self._context = context
        self.is_for_peers = is_for_peers
        self._connections: set[CallerConnection] = set()
        self._is_draining = False
        max_descriptors = context.settings.max_descriptors
        self.limit: connection_limit.ConnectionLimit[CallerConnection] = (
            connection_limit.ConnectionLimit(
                max_connections(max_descriptors),
                is_short=lambda: is_short(context.loop, max_descriptors),
            )
        )
        self._listener = connection_lib.Listener(
            context.loop, address, self._accept
        )

    @property
    def is_draining(self) -> bool:
        """Whether connections are closed after their current response."""
        return self._is_draining

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port that the frontend listens on."""
        return self._listener.address

    @property
    def active_requests(self) -> int:
        """Number of connections with a request whose response is incomplete."""
        return sum(c.is_busy for c in self._connections)

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes of responses that the system has not taken yet."""
        return sum(c.unsent_bytes for c in self._connections)

    def drain(self) -> None:
        """Closes each connection after its next response."""
        self._is_draining = True

    def close_idle(self) -> None:
        """Closes the connections without a request, also one just arrived."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def end_requests(self, detail: str) -> None:
        """Answers all requests whose response has not begun.

        Args:
            detail: Why they are not finished.
        """
        for connection in list(self._connections):
            connection.end_request(detail)

    def close(self) -> None:
        """Stops accepting connections, and closes all open ones."""
        self._listener.close()
        for connection in list(self._connections):
            connection.close(cause="instance_stopped")

    def remove(self, connection: CallerConnection) -> None:
        """Removes a connection that was closed."""
        self._connections.discard(connection)
        self.limit.remove(connection)

    def _accept(self, sock: socket.socket) -> None:
        if not self.limit.try_make_room(
            lambda oldest: oldest.close(cause="too_many_connections")
        ):
            sock.close()
            return
        connection = CallerConnection(self._context, self, sock)
        self._connections.add(connection)
        self.limit.add(connection)

    def __repr__(self) -> str:
        return f"Frontend(connections={len(self._connections)})"


class CallerConnection:
    """One connection of a caller, or of a peer that hands requests over.

    Args:
        context: State that all requests share.
        frontend: The frontend that accepted the connection.
        sock: The accepted socket.
    """

    __slots__ = (
        "_connection",
        "_context",
        "_exchange",
        "_frontend",
        "_is_closing",
        "_is_continue_handled",
        "_is_paused",
        "_kept_share",
        "_parser",
        "_queued_bytes",
        "_queued_requests",
        "_request",
        "_resumed_at_ms",
        "_share",
        "_timer",
    )

    def __init__(
        self,
        context: context_lib.GatewayContext,
        frontend: Frontend,
        sock: socket.socket,
    ) -> None:
        self._context = context
        self._frontend = frontend
        self._parser = request_parser.RequestParser(
            _parser_limits(
                self._limits(),
                extra_header_bytes=(
                    handover_lib.MAX_FIELD_BYTES if frontend.is_for_peers else 0
                ),
            )
        )
        self._queued_requests: collections.deque[messages.Request] = (
            collections.deque()
        )
        self._queued_bytes = 0
        self._request: messages.Request | None = None
        self._is_paused = False
        self._resumed_at_ms = 0
        budget = context.loop.byte_budget
        self._share = budget.open(self._give_up)
        self._kept_share = budget.open(lambda: None)
        self._exchange: exchange_lib.Exchange | None = None
        self._is_closing = False
        self._is_continue_handled = False
        self._timer: loop_lib.Timer | None = None
        self._connection = connection_lib.Connection(context.loop, sock, self)
        self._start_timer()

    @property
    def is_busy(self) -> bool:
        """Whether a request is received or processed, or its response sent."""
        return (
            self._exchange is not None
            or self._parser.started_at_ms is not None
            or self._connection.unsent_bytes > 0
        )

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes of responses that the system has not taken yet."""
        return self._connection.unsent_bytes

    def now_ms(self) -> int:
        """Returns the current time in milliseconds."""
        return self._context.loop.now_ms()

    def connected(self) -> None:
        """Never called, since the socket was accepted."""

    def received(self, data: bytes) -> None:
        """Parses received bytes, and starts the requests that are complete."""
        if self._is_closing or self._share.is_discarded:
            return
        try:
            for request in self._parser.feed(data, now_ms=self.now_ms()):
                self._is_continue_handled = False
                self._queued_requests.append(request)
                self._queued_bytes += request.held_bytes
        except request_parser.RejectedRequestError as error:
            self._reject(error.status, str(error))
            return
        was_idle = self._exchange is None
        if was_idle:
            self._start_queued_requests()
        if not self._share.resize(self._held_bytes):
            return
        if was_idle:
            self._start_timer()
        self._update_reading()
        if self._parser.expects_continue and not self._is_continue_handled:
            self._is_continue_handled = True
            if self._exchange is None:
                self._connection.send(_CONTINUE)

    @property
    def _held_bytes(self) -> int:
        """Memory of the requests behind the one that is served."""
        return self._parser.held_bytes + self._queued_bytes

    def _update_reading(self) -> None:
        """Stops reading while enough requests wait, and resumes afterwards."""
        is_paused = (
            self._exchange is not None
            and self._held_bytes > MAX_READ_AHEAD_BYTES
        )
        if is_paused != self._is_paused:
            self._is_paused = is_paused
            self._resumed_at_ms = self.now_ms()
            self._connection.pause_reading(is_paused=is_paused)

    def _clear_queue(self) -> None:
        self._queued_requests.clear()
        self._queued_bytes = 0

    def _give_up(self) -> None:
        """Lets go of what was received, and refuses it in the next step.

        Many connections may be given up in one step of the loop, so that their
        memory is needed before it.
        """
        self._clear_queue()
        self._parser.close()
        self._context.loop.call_later(0, self._discard_request)

    def _discard_request(self) -> None:
        """Rejects the longest request, so that others can be received."""
        if self._connection.is_open and not self._is_closing:
            self._reject(
                error_responses.ErrorKind.CONGESTED.status,
                "the process needs its memory for others",
            )

    def closed(self, *, is_clean: bool) -> None:
        """Cancels the request of a caller that has disconnected."""
        del is_clean
        self._disconnect(cause="caller_gone")

    def close(self, *, cause: str = "time_out") -> None:
        """Closes the connection.

        Args:
            cause: Why, for the log of a request that is cut by it.
        """
        self._connection.close()
        self._disconnect(cause=cause)

    def close_if_idle(self) -> None:
        """Closes the connection, unless it has a request or begins one."""
        if not self.is_busy:
            self._connection.read_pending()
        if not self.is_busy:
            self.close()

    def end_request(self, detail: str) -> None:
        """Answers a request that this instance can't finish any more.

        Args:
            detail: Why it can't.
        """
        if self._exchange is not None:
            self._exchange.give_up(
                error_responses.ErrorKind.BROKEN,
                not_run=error_responses.ErrorKind.NOT_READY,
                detail=detail,
            )

    def _disconnect(self, *, cause: str) -> None:
        self._is_closing = True
        self._cancel_timer()
        self._clear_queue()
        self._request = None
        self._share.close()
        self._kept_share.close()
        self._parser.close()
        self._frontend.remove(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.cancel(cause=cause)

    def _start_queued_requests(self) -> None:
        """Starts queued requests until one of them does not end immediately."""
        while (
            self._queued_requests
            and self._exchange is None
            and not self._is_closing
        ):
            self._cancel_timer()
            self._request = self._queued_requests.popleft()
            self._queued_bytes -= self._request.held_bytes
            if not self._keep_request():
                return
            try:
                exchange = self._new_exchange(self._request)
            except msgspec.DecodeError as error:
                self._reject(
                    400, f"the handover of a peer is malformed: {error}"
                )
                return
            self._exchange = exchange
            self._frontend.limit.start_request(self)
            exchange.start()

    def _keep_request(self) -> bool:
        """Reserves memory for the request, or rejects it."""
        if self._kept_share.try_keep(self._request.held_bytes):
            return True
        self._discard_request()
        return False

    def _new_exchange(self, request: messages.Request) -> exchange_lib.Exchange:
        if not self._frontend.is_for_peers:
            return exchange_lib.Exchange(self._context, request, self)
        return exchange_lib.Exchange(
            self._context,
            handover_lib.strip(request),
            self,
            handover_lib.decode(request),
        )

    def respond(
        self, status: int, fields: messages.HeaderFields, body: bytes
    ) -> None:
        """Sends a complete response."""
        is_bodiless = self._request.method == b"HEAD"
        if is_bodiless:
            data = messages.encode_response_head(
                status=status, fields=self._add_close_field(fields)
            )
        else:
            data = messages.encode_response(
                status=status, fields=self._add_close_field(fields), body=body
            )
        self._connection.send(data)
        self._end_response()

    def start_stream(self, status: int, fields: messages.HeaderFields) -> None:
        """Sends the head of a chunked response."""
        chunked = (b"Transfer-Encoding", b"chunked")
        self._connection.send(
            messages.encode_response_head(
                status=status, fields=[*self._add_close_field(fields), chunked]
            )
        )

    def send_part(self, data: bytes) -> None:
        """Sends a part of the body."""
        self._connection.send(messages.encode_chunk(data))

    def end_stream(self) -> None:
        """Sends the end of the body."""
        self._connection.send(messages.LAST_CHUNK)
        self._end_response()

    def abort(self) -> None:
        """Closes the connection, so that the response is seen as incomplete."""
        self._exchange = None
        self.close(cause="aborted")

    def _add_close_field(
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

    def _end_response(self) -> None:
        self._frontend.limit.end_request(self)
        self._exchange = None
        self._request = None
        if self._kept_share.is_kept:
            self._kept_share.release()
        if self._is_closing:
            self._close_gracefully()
            return
        self._context.loop.call_later(0, self._resume)

    def _resume(self) -> None:
        if self._connection.is_open and self._exchange is None:
            self._start_queued_requests()
            self._share.resize(self._held_bytes)
            self._start_timer()
            self._update_reading()

    def _close_gracefully(self) -> None:
        """Shuts down sending, so that the caller reads the whole response.

        The connection is closed when the caller closes it, or after a time-out.
        """
        self._clear_queue()
        self._share.close()
        self._parser.close()
        self._cancel_timer()
        self._update_reading()
        self._connection.finish()
        self._close_later(LINGERING_CLOSE_MS)

    def _close_later(self, delay_ms: int) -> None:
        """Closes the connection after a time without a request.

        A caller that still reads its response has that time after its end.
        """
        unsent_bytes = self.unsent_bytes
        self._timer = self._context.loop.call_later(
            max(delay_ms, STALLED_RESPONSE_MS) if unsent_bytes else delay_ms,
            self._close_unless_read,
            delay_ms,
            unsent_bytes,
        )

    def _close_unless_read(self, delay_ms: int, unsent_bytes: int) -> None:
        if self.unsent_bytes < unsent_bytes:
            self._close_later(delay_ms)
        else:
            self.close()

    def _reject(self, status: int, detail: str) -> None:
        kind = error_responses.ERROR_KIND_BY_STATUS[status]
        error_response = error_responses.ErrorResponse(
            kind,
            detail,
            retry_after_ms=error_responses.RETRY_OTHER_INSTANCE_MS
            if kind is error_responses.ErrorKind.CONGESTED
            else None,
        )
        self._context.log.event(
            "request_rejected", status=status, detail=detail
        )
        self._clear_queue()
        self._share.close()
        self._parser.close()
        if self._exchange is None:
            self._connection.send(
                messages.encode_response(
                    status=status,
                    fields=[*error_response.fields(), _CLOSE],
                    body=error_response.body(),
                )
            )
            self._is_closing = True
            self._close_gracefully()
        else:
            self._is_closing = True

    def _limits(self) -> configuration_lib.ClientLimits:
        configuration = self._context.view.configuration
        if configuration is None:
            return configuration_lib.ClientLimits()
        return configuration.limits

    def _start_timer(self) -> None:
        """Starts the timer for the next request to begin or to arrive."""
        self._cancel_timer()
        if self._exchange is not None or self._is_closing:
            return
        limits = self._limits()
        started_at_ms = self._parser.started_at_ms
        if started_at_ms is None:
            idle_timeout_ms = (
                PEER_IDLE_TIMEOUT_MS
                if self._frontend.is_for_peers
                else limits.idle_timeout_ms
            )
            self._close_later(idle_timeout_ms)
            return
        due_ms = (
            max(started_at_ms, self._resumed_at_ms) + limits.header_timeout_ms
        )
        self._timer = self._context.loop.call_later(
            due_ms - self.now_ms(), self._request_timed_out
        )

    def _request_timed_out(self) -> None:
        self._reject(
            408, "the request was not received completely within the time limit"
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def __repr__(self) -> str:
        return f"CallerConnection(busy={self.is_busy})"


def max_connections(max_descriptors: int) -> int:
    """Returns the most connections of callers, or of peers.

    With 1,024 descriptors these are 724: two for each peer of a large fleet.
    """
    return max(MIN_CONNECTIONS, max_descriptors - RESERVED_DESCRIPTORS)


def is_short(loop: loop_lib.EventLoop, max_descriptors: int) -> bool:
    """Returns whether the process has only its spare descriptors left."""
    spare = min(SPARE_DESCRIPTORS, max_descriptors // 8)
    return loop.watched_count >= max_descriptors - spare


def _parser_limits(
    limits: configuration_lib.ClientLimits, *, extra_header_bytes: int
) -> request_parser.RequestLimits:
    return request_parser.RequestLimits(
        max_header_bytes=limits.max_header_bytes + extra_header_bytes,
        max_body_bytes=limits.max_body_bytes,
    )
