"""Pool of connections to targets, with one request at a time on each."""

from __future__ import annotations

import collections
from collections.abc import Callable
import enum
from typing import Protocol

from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import metadata as metadata_lib
from bambooglade.http1 import messages
from bambooglade.http1 import response_parser

CONNECT_TIMEOUT_MS = 250
"""Time-out for opening a connection, which usually takes a few milliseconds.

TCP would retransmit a lost SYN only after 1 s, and another target can serve the
request sooner.
"""

DEFAULT_IDLE_TIMEOUT_MS = 4_000
"""Idle time-out that is assumed for a target that states none."""

IDLE_TIMEOUT_FRACTION = 0.8
"""Fraction of the idle time-out after which a connection is not reused."""

MAX_IDLE_NON_IDEMPOTENT_MS = 5_000
"""Longest idle time of a connection that a non-idempotent request reuses.

On a connection that was lost unnoticed, it would remain unknown whether the
request ran.
"""

OBSERVED_IDLE_FRACTION = 0.5
"""Fraction of a failed connection's idle time up to which reuse is safe."""

DEFAULT_REUSE_IDLE_MS = 60_000
"""Longest idle time of a reused connection until one fails."""

MIN_REUSE_IDLE_MS = 200
"""Idle time up to which connections are reused even after failures.

It covers requests that follow one another immediately.
"""

WITHOUT_IDS_TTL_MS = 60_000
"""Time for which a target that omitted an id is taken to omit them."""

MAX_RECORDED_IDS = 64
"""Latest requests of a connection whose ids are kept.

A copy of a response comes soon after it.
"""

MAX_IDLE_PER_TARGET = 16
"""Most idle connections per target; more remain only from a burst."""


Match = Callable[[messages.Head, str], metadata_lib.ResponseMatch]
"""Returns which request a response belongs to, beside the one with an id."""

Connect = Callable[
    [loop_lib.EventLoop, tuple[str, int], connection_lib.Handler],
    connection_lib.Connection,
]
"""Starts to open a connection to an address, for a handler."""


class AttemptOutcome(enum.Enum):
    """How an attempt to send a request to a target ended.

    COMPLETE: a complete response was received. NOT_SENT: no byte of the request
    was sent, so it did not run. BROKEN: the request may have run, but there is
    no complete response.
    """

    COMPLETE = "complete"
    NOT_SENT = "not_sent"
    BROKEN = "broken"


class AttemptHandler(Protocol):
    """Callbacks of an attempt."""

    def head_received(self, head: messages.ResponseHead) -> None:
        """Called when the head of the response was received."""
        ...

    def body_received(self, data: bytes) -> None:
        """Called when a part of the body was received."""
        ...

    def attempt_ended(self, outcome: AttemptOutcome, reason: str) -> None:
        """Called once when the attempt ended, unless it was cancelled."""
        ...


class _NoHandler:
    """Handler of an attempt that has ended."""

    def head_received(self, head: messages.ResponseHead) -> None:
        """Does nothing."""

    def body_received(self, data: bytes) -> None:
        """Does nothing."""

    def attempt_ended(self, outcome: AttemptOutcome, reason: str) -> None:
        """Does nothing."""


_NO_HANDLER = _NoHandler()


class Endpoint(Protocol):
    """Where requests are sent: a target, or a peer that hands them on.

    Attributes:
        target_id: Its id.
        address: IP address and port.
    """

    target_id: str
    address: tuple[str, int]


class Attempt:
    """One attempt to send a request to a target.

    A target may write a response once more, when the next request of the same
    connection is under way. A response without an id therefore counts only on a
    connection that had no other request, and such a connection is not reused.

    Attributes:
        head: Head of the response; None before it was received.
        idle_ms: Idle time of the reused connection; None for a new one.
        ignored_count: Number of responses that were not taken for one to this
            request.
        is_connection_lost: Whether the connection was closed or reset by the
            target before this end ended the attempt.
        is_ended: Whether the attempt has ended or was cancelled.
    """

    __slots__ = (
        "_connect_timer",
        "_connection",
        "_handler",
        "_loop",
        "_match",
        "_parser",
        "_pool",
        "_request",
        "_request_id",
        "_sent_ids",
        "_started_at_ms",
        "_target",
        "head",
        "idle_ms",
        "ignored_count",
        "is_connection_lost",
        "is_ended",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        pool: ConnectionPool,
        target: Endpoint,
        handler: AttemptHandler,
        *,
        request: bytes,
        request_id: str,
        is_bodiless: bool,
        match: Match,
        reused: _IdleConnection | None,
    ) -> None:
        self._loop = loop
        self._match = match
        self._request_id = request_id
        self._sent_ids = reused.sent_ids if reused is not None else _new_ids()
        self._sent_ids.append(request_id)
        self.ignored_count = 0
        self._started_at_ms = loop.now_ms()
        self._pool = pool
        self._target = target
        self._handler = handler
        self._request = request
        self._parser = response_parser.ResponseParser(
            is_bodiless=is_bodiless, is_expected=self._is_expected
        )
        self.head: messages.ResponseHead | None = None
        self.is_connection_lost = False
        self.is_ended = False
        self._connect_timer: loop_lib.Timer | None = None
        self.idle_ms: int | None = None
        if reused is None:
            self._connection = pool.connect(loop, target.address, self)
            self._connect_timer = loop.call_later(
                CONNECT_TIMEOUT_MS, self._connect_timed_out
            )
        else:
            self.idle_ms = loop.now_ms() - reused.idle_since_ms
            self._connection = reused.connection
            self._connection.set_handler(self)
            self._connection.sent_bytes = 0
            self._connection.send(request)

    def _is_expected(self, head: messages.Head) -> bool:
        """Returns whether a response belongs to this request."""
        match = self._match(head, self._request_id)
        is_own = match is metadata_lib.ResponseMatch.OWN
        if match is metadata_lib.ResponseMatch.UNKNOWN:
            self._pool.record_unidentified(self._target)
            is_own = self._pool.is_trusted or len(self._sent_ids) == 1
        self.ignored_count += not is_own
        return is_own

    @property
    def is_sent(self) -> bool:
        """Whether a part of the request may have reached the target."""
        return self._connection.sent_bytes > 0

    @property
    def is_refused(self) -> bool:
        """Whether a new connection failed at once, before the time-out.

        A connection for which this instance has no socket left, or that can't
        be attempted, says nothing about the target.
        """
        return (
            self.is_connection_lost
            and self.idle_ms is None
            and not self.is_sent
            and not isinstance(
                self._connection, connection_lib.UnopenedConnection
            )
        )

    def set_handler(self, handler: AttemptHandler) -> None:
        """Replaces the handler that receives the response."""
        self._handler = handler

    def connected(self) -> None:
        """Sends the request on the new connection."""
        self._connect_timer.cancel()
        self._record_connect_time(is_open=True)
        self._connection.send(self._request)

    def received(self, data: bytes) -> None:
        """Parses received bytes of the response."""
        body = self._parser.feed(data)
        if self.head is None and self._parser.head is not None:
            self.head = self._parser.head
            self._handler.head_received(self.head)
        if body and not self.is_ended:
            self._handler.body_received(body)
        self._check_end("malformed response")

    def closed(self, *, is_clean: bool) -> None:
        """Ends the attempt after the connection was closed or lost."""
        self.is_connection_lost = True
        self._parser.ended(is_clean=is_clean)
        reason = (
            "connection closed by the target" if is_clean else "connection lost"
        )
        if self.idle_ms is not None and self.head is None:
            reason += f" (reused after {self.idle_ms} ms idle)"
            self._pool.record_reuse_failure(self.idle_ms)
        self._check_end(reason)

    def cancel(self) -> None:
        """Cancels the attempt, and resets the connection to the target.

        After a regular end, a request that a cut holds up would be delivered
        later.
        """
        if not self.is_ended:
            self._mark_ended()
            self._connection.reset()

    def _record_connect_time(self, *, is_open: bool) -> None:
        took_ms = self._loop.now_ms() - self._started_at_ms
        self._pool.record_connect_time(self._target, took_ms, is_open)

    def _connect_timed_out(self) -> None:
        self._record_connect_time(is_open=False)
        self._connection.close()
        self._finish(AttemptOutcome.NOT_SENT, "connection attempt timed out")

    def _check_end(self, reason: str) -> None:
        if self.is_ended:
            return
        state = self._parser.state
        if state is response_parser.ResponseState.COMPLETE:
            self._release()
            self._finish(AttemptOutcome.COMPLETE, "")
        elif state is response_parser.ResponseState.MALFORMED:
            was_sent = self.is_sent
            self._connection.reset()
            outcome = (
                AttemptOutcome.BROKEN if was_sent else AttemptOutcome.NOT_SENT
            )
            self._finish(outcome, reason)

    def _release(self) -> None:
        parser = self._parser
        is_reusable = (
            self._connection.is_open
            and parser.head.is_persistent
            and not parser.has_extra_bytes
            and not parser.skipped
            and not self._connection.unsent_bytes
            and self._is_identified(parser.head)
        )
        if is_reusable:
            self._pool.keep(
                self._target, self._connection, parser.head, self._sent_ids
            )
        else:
            self._connection.close()

    def _is_identified(self, head: messages.ResponseHead) -> bool:
        return self._pool.is_trusted or (
            self._match(head, self._request_id)
            is metadata_lib.ResponseMatch.OWN
        )

    def _finish(self, outcome: AttemptOutcome, reason: str) -> None:
        if not self.is_ended:
            handler = self._handler
            self._mark_ended()
            handler.attempt_ended(outcome, reason)

    def _mark_ended(self) -> None:
        self.is_ended = True
        self._parser.close()
        self._request = b""
        # The handler refers to the attempt as well.
        self._handler = _NO_HANDLER
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        self._pool.record_end(self._target)

    def __repr__(self) -> str:
        return f"Attempt(target={self._target.target_id!r})"


class _IdleConnection:
    """An idle connection; on any event it is removed from the pool."""

    __slots__ = (
        "_idle",
        "connection",
        "idle_since_ms",
        "sent_ids",
        "usable_until_ms",
    )

    def __init__(
        self,
        connection: connection_lib.Connection,
        idle: list[_IdleConnection],
        *,
        sent_ids: collections.deque[str],
        idle_since_ms: int,
        usable_until_ms: int,
    ) -> None:
        self.connection = connection
        self.sent_ids = sent_ids
        self._idle = idle
        self.idle_since_ms = idle_since_ms
        self.usable_until_ms = usable_until_ms
        connection.set_handler(self)

    def connected(self) -> None:
        """Never called, since the connection is already established."""

    def received(self, data: bytes) -> None:
        """Closes the connection, since no request is in flight."""
        del data
        self.connection.close()
        self._remove()

    def closed(self, *, is_clean: bool) -> None:
        """Removes the connection from the pool."""
        del is_clean
        self._remove()

    def _remove(self) -> None:
        if self in self._idle:
            self._idle.remove(self)


class ConnectionPool:
    """Sends requests to targets on reused or new connections.

    Args:
        loop: The event loop.
        idle_timeout_of: Returns how long the target of a response keeps an idle
            connection open, in milliseconds; None if it states none.
        connected: Called with the time that each new connection took to open,
            or to time out, and whether it opened.
        connect: Starts to open a connection.
        is_trusted: Whether the other ends write each response once, so that one
            without an id belongs to the request under way.

    Attributes:
        connect: Starts to open a connection.
        is_trusted: Whether responses without an id are accepted.
        record_connect_time: Called when a connection has opened or timed out.
    """

    __slots__ = (
        "_idle_by_address",
        "_idle_timeout_of",
        "_in_flight_by_target_id",
        "_loop",
        "_max_reuse_idle_ms",
        "_without_ids_until_ms_by_address",
        "connect",
        "is_trusted",
        "record_connect_time",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        *,
        idle_timeout_of: Callable[[messages.ResponseHead], int | None],
        connected: Callable[[Endpoint, int, bool], None],
        connect: Connect = connection_lib.connect,
        is_trusted: bool = False,
    ) -> None:
        self._loop = loop
        self.connect = connect
        self.is_trusted = is_trusted
        self._without_ids_until_ms_by_address: dict[tuple[str, int], int] = {}
        self.record_connect_time = connected
        self._idle_timeout_of = idle_timeout_of
        self._idle_by_address: dict[tuple[str, int], list[_IdleConnection]] = (
            collections.defaultdict(list)
        )
        self._in_flight_by_target_id: collections.Counter[str] = (
            collections.Counter()
        )
        self._max_reuse_idle_ms = DEFAULT_REUSE_IDLE_MS

    def send(
        self,
        target: Endpoint,
        request: bytes,
        handler: AttemptHandler,
        *,
        request_id: str,
        is_bodiless: bool,
        is_idempotent: bool,
        match: Match,
    ) -> Attempt:
        """Sends a request once, without retries.

        Args:
            target: The target.
            request: All bytes of the request.
            handler: Receives the response and the end of the attempt.
            request_id: Id that the response to the request states. It is sent
                once on a connection, since two responses with the same id can't
                be told apart.
            is_bodiless: Whether the response has no body (method HEAD).
            is_idempotent: Whether the request may run more than once.
            match: Returns from the head whether a response belongs to the
                request.
        """
        self._in_flight_by_target_id[target.target_id] += 1
        reused = self._pop_idle(target, is_idempotent, request_id)
        return Attempt(
            self._loop,
            self,
            target,
            handler,
            request=request,
            request_id=request_id,
            is_bodiless=is_bodiless,
            match=match,
            reused=reused,
        )

    def record_reuse_failure(self, idle_ms: int) -> None:
        """Lowers the longest idle time for reuse after a connection failed."""
        safe_idle_ms = max(
            MIN_REUSE_IDLE_MS, round(idle_ms * OBSERVED_IDLE_FRACTION)
        )
        self._max_reuse_idle_ms = min(self._max_reuse_idle_ms, safe_idle_ms)

    def record_unidentified(self, target: Endpoint) -> None:
        """Records that a target omits ids in responses.

        For a time, it gets what may run only once on new connections.
        """
        if not self.is_trusted:
            self._without_ids_until_ms_by_address[target.address] = (
                self._loop.now_ms() + WITHOUT_IDS_TTL_MS
            )

    def in_flight(self, target_id: str) -> int:
        """Returns the number of requests in flight at a target."""
        return self._in_flight_by_target_id[target_id]

    def keep(
        self,
        target: Endpoint,
        connection: connection_lib.Connection,
        head: messages.ResponseHead,
        sent_ids: collections.deque[str],
    ) -> None:
        """Adds an idle connection to the pool for the next request."""
        stated_ms = self._idle_timeout_of(head) or DEFAULT_IDLE_TIMEOUT_MS
        self._add_idle(target, connection, stated_ms, sent_ids)

    def keep_unused(
        self, target: Endpoint, connection: connection_lib.Connection
    ) -> None:
        """Adds a new connection on which nothing was sent yet."""
        self._add_idle(target, connection, DEFAULT_IDLE_TIMEOUT_MS, _new_ids())

    def _add_idle(
        self,
        target: Endpoint,
        connection: connection_lib.Connection,
        stated_ms: int,
        sent_ids: collections.deque[str],
    ) -> None:
        idle = self._idle_by_address[target.address]
        now_ms = self._loop.now_ms()
        idle_connection = _IdleConnection(
            connection,
            idle,
            sent_ids=sent_ids,
            idle_since_ms=now_ms,
            usable_until_ms=now_ms + round(stated_ms * IDLE_TIMEOUT_FRACTION),
        )
        idle.append(idle_connection)
        if len(idle) > MAX_IDLE_PER_TARGET:
            idle.pop(0).connection.close()

    def record_end(self, target: Endpoint) -> None:
        """Records that an attempt has ended."""
        self._in_flight_by_target_id[target.target_id] -= 1
        if self._in_flight_by_target_id[target.target_id] <= 0:
            del self._in_flight_by_target_id[target.target_id]

    def close_idle(self, *, now_ms: int) -> None:
        """Closes the idle connections whose time-out has passed."""
        self._without_ids_until_ms_by_address = {
            address: until_ms
            for address, until_ms in (
                self._without_ids_until_ms_by_address.items()
            )
            if until_ms > now_ms
        }
        for address, idle in list(self._idle_by_address.items()):
            for idle_connection in [
                c for c in idle if c.usable_until_ms <= now_ms
            ]:
                idle_connection.connection.close()
                idle.remove(idle_connection)
            if not idle:
                del self._idle_by_address[address]

    def close_address(self, address: tuple[str, int]) -> None:
        """Closes the idle connections to an address with a new owner."""
        self._without_ids_until_ms_by_address.pop(address, None)
        for idle_connection in self._idle_by_address.pop(address, []):
            idle_connection.connection.close()

    def _pop_idle(
        self, target: Endpoint, is_idempotent: bool, request_id: str
    ) -> _IdleConnection | None:
        idle = self._idle_by_address[target.address]
        now_ms = self._loop.now_ms()
        bound_ms = self._max_reuse_idle_ms
        if not is_idempotent:
            bound_ms = min(bound_ms, MAX_IDLE_NON_IDEMPOTENT_MS)
            if target.address in self._without_ids_until_ms_by_address:
                return None
        if not idle or now_ms - idle[-1].idle_since_ms > bound_ms:
            return None
        if request_id in idle[-1].sent_ids:
            return None
        idle_connection = idle.pop()
        if idle_connection.usable_until_ms > now_ms:
            return idle_connection
        idle_connection.connection.close()
        return None

    def __repr__(self) -> str:
        return f"ConnectionPool(addresses={len(self._idle_by_address)})"


def _new_ids() -> collections.deque[str]:
    """Returns an empty list of the requests that a connection had."""
    return collections.deque(maxlen=MAX_RECORDED_IDS)
