"""Kept connections to targets, and one request at a time on each."""

from __future__ import annotations

import collections
from collections.abc import Callable
import enum
from typing import Protocol

from bambooglade.discovery import targets as targets_lib
from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.http1 import messages
from bambooglade.http1 import response_parser

CONNECT_TIMEOUT_MS = 250
"""Time to connect; takes a few ms, and another target can take the request.

A lost opening packet would be sent again only after 1 s.
"""

DEFAULT_IDLE_MS = 4_000
"""Idle time of a kept connection whose target states none."""

IDLE_SHARE = 0.8
"""Part of the stated idle time after which a connection is not used."""

MAX_IDLE_UNREPEATABLE_MS = 5_000
"""Idle time from which a request that may not be repeated gets a new one.

A connection that died unnoticed would leave open whether the request ran.
"""

LEARNT_IDLE_SHARE = 0.5
"""Part that is trusted of the idle time at which a kept connection failed."""

DEFAULT_TRUSTED_IDLE_MS = 60_000
"""Idle time that is trusted until a kept connection fails."""

MIN_IDLE_MS = 200
"""Idle time that is trusted in any case: requests that follow at once."""

MAX_IDLE_PER_TARGET = 16
"""Connections kept to one target; more were a burst."""


class AttemptEnd(enum.Enum):
    """How sending a request to a target ended."""

    COMPLETE = "complete"
    NOT_SENT = "not_sent"
    BROKEN = "broken"


class AttemptHandler(Protocol):
    """What an attempt calls."""

    def head_received(self, head: messages.ResponseHead) -> None:
        """The head of the response arrived."""
        ...

    def body_received(self, data: bytes) -> None:
        """A part of the body arrived."""
        ...

    def attempt_ended(self, end: AttemptEnd, reason: str) -> None:
        """The attempt is over; called once, unless it was cancelled."""
        ...


class Attempt:
    """One request on its way to one target.

    Attributes:
        is_sent: Whether a part of the request may have reached the target.
    """

    __slots__ = (
        "_connect_timer",
        "_connection",
        "_handler",
        "_idle_ms",
        "_loop",
        "_parser",
        "_pool",
        "_request",
        "_started_at_ms",
        "_target",
        "head",
        "is_over",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        pool: TargetPool,
        target: targets_lib.RegisteredTarget,
        handler: AttemptHandler,
        *,
        request: bytes,
        is_bodiless: bool,
        is_expected: Callable[[messages.Head], bool],
        kept: _KeptConnection | None,
    ) -> None:
        self._loop = loop
        self._started_at_ms = loop.now_ms()
        self._pool = pool
        self._target = target
        self._handler = handler
        self._request = request
        self._parser = response_parser.ResponseParser(
            is_bodiless=is_bodiless, is_expected=is_expected
        )
        self.head: messages.ResponseHead | None = None
        self.is_over = False
        self._connect_timer: loop_lib.Timer | None = None
        self._idle_ms: int | None = None
        if kept is None:
            self._connection = connection_lib.connect(
                loop, target.address, self
            )
            self._connect_timer = loop.call_later(
                CONNECT_TIMEOUT_MS, self._connect_timed_out
            )
        else:
            self._idle_ms = loop.now_ms() - kept.idle_since_ms
            self._connection = kept.connection
            self._connection.set_handler(self)
            self._connection.sent_bytes = 0
            self._connection.send(request)

    @property
    def is_sent(self) -> bool:
        """Whether a part of the request may have reached the target."""
        return self._connection.sent_bytes > 0

    def connected(self) -> None:
        """Sends the request."""
        self._connect_timer.cancel()
        self._note_connected()
        self._connection.send(self._request)

    def received(self, data: bytes) -> None:
        """Takes bytes of the response."""
        body = self._parser.feed(data)
        if self.head is None and self._parser.head is not None:
            self.head = self._parser.head
            self._handler.head_received(self.head)
        if body and not self.is_over:
            self._handler.body_received(body)
        self._check_end("malformed response")

    def closed(self, *, is_clean: bool) -> None:
        """Takes the end of the connection."""
        self._parser.ended(is_clean=is_clean)
        reason = "closed by the target" if is_clean else "connection lost"
        if self._idle_ms is not None and self.head is None:
            reason += f" (idle for {self._idle_ms} ms before)"
            self._pool.kept_connection_failed(self._idle_ms)
        self._check_end(reason)

    def cancel(self) -> None:
        """Gives the request up; the target sees the connection close."""
        if not self.is_over:
            self._over()
            self._connection.close()

    def _note_connected(self) -> None:
        took_ms = self._loop.now_ms() - self._started_at_ms
        self._pool.note_connected(self._target, took_ms)

    def _connect_timed_out(self) -> None:
        self._note_connected()
        self._connection.close()
        self._finish(AttemptEnd.NOT_SENT, "connecting timed out")

    def _check_end(self, reason: str) -> None:
        if self.is_over:
            return
        state = self._parser.state
        if state is response_parser.ResponseState.COMPLETE:
            self._release()
            self._finish(AttemptEnd.COMPLETE, "")
        elif state is response_parser.ResponseState.MALFORMED:
            was_sent = self.is_sent
            self._connection.close()
            end = AttemptEnd.BROKEN if was_sent else AttemptEnd.NOT_SENT
            self._finish(end, reason)

    def _release(self) -> None:
        parser = self._parser
        is_reusable = (
            self._connection.is_open
            and parser.head.is_persistent
            and not parser.has_extra_bytes
            and not parser.skipped
            and not self._connection.unsent_bytes
        )
        if is_reusable:
            self._pool.keep(self._target, self._connection, parser.head)
        else:
            self._connection.close()

    def _finish(self, end: AttemptEnd, reason: str) -> None:
        if not self.is_over:
            self._over()
            self._handler.attempt_ended(end, reason)

    def _over(self) -> None:
        self.is_over = True
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        self._pool.ended(self._target)

    def __repr__(self) -> str:
        return f"Attempt(target={self._target.target_id!r})"


class _KeptConnection:
    """Handler of an idle connection: whatever happens, it is of no use."""

    __slots__ = ("_idle", "connection", "idle_since_ms", "usable_until_ms")

    def __init__(
        self,
        connection: connection_lib.Connection,
        idle: list[_KeptConnection],
        *,
        idle_since_ms: int,
        usable_until_ms: int,
    ) -> None:
        self.connection = connection
        self._idle = idle
        self.idle_since_ms = idle_since_ms
        self.usable_until_ms = usable_until_ms
        connection.set_handler(self)

    def connected(self) -> None:
        """Never called: it is connected."""

    def received(self, data: bytes) -> None:
        """Drops the connection: nothing was asked."""
        del data
        self.connection.close()
        self._remove()

    def closed(self, *, is_clean: bool) -> None:
        """Drops the connection."""
        del is_clean
        self._remove()

    def _remove(self) -> None:
        if self in self._idle:
            self._idle.remove(self)


class TargetPool:
    """Sends requests to targets, on kept or new connections.

    Args:
        loop: The event loop.
        idle_timeout_of: Tells from a response how long its target keeps an
            idle connection, in milliseconds; None if it does not say.
        connected: Told of the time that each new connection took.
    """

    __slots__ = (
        "_idle_by_address",
        "_idle_timeout_of",
        "_loop",
        "_open_by_id",
        "_trusted_idle_ms",
        "note_connected",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        *,
        idle_timeout_of: Callable[[messages.ResponseHead], int | None],
        connected: Callable[[targets_lib.RegisteredTarget, int], None],
    ) -> None:
        self._loop = loop
        self.note_connected = connected
        self._idle_timeout_of = idle_timeout_of
        self._idle_by_address: dict[tuple[str, int], list[_KeptConnection]] = (
            collections.defaultdict(list)
        )
        self._open_by_id: collections.Counter[str] = collections.Counter()
        self._trusted_idle_ms = DEFAULT_TRUSTED_IDLE_MS

    def send(
        self,
        target: targets_lib.RegisteredTarget,
        request: bytes,
        handler: AttemptHandler,
        *,
        is_bodiless: bool,
        is_repeatable: bool,
        is_expected: Callable[[messages.Head], bool],
    ) -> Attempt:
        """Sends a request, once.

        Args:
            target: Where to.
            request: All bytes of the request.
            handler: Told of the response.
            is_bodiless: Whether the response has no body (method HEAD).
            is_repeatable: Whether the request may run again.
            is_expected: Tells from the head whether a response belongs to the
                request.
        """
        self._open_by_id[target.target_id] += 1
        kept = self._take_idle(target, is_repeatable)
        return Attempt(
            self._loop,
            self,
            target,
            handler,
            request=request,
            is_bodiless=is_bodiless,
            is_expected=is_expected,
            kept=kept,
        )

    def kept_connection_failed(self, idle_ms: int) -> None:
        """Learns that targets drop connections that are idle for so long."""
        trusted_ms = max(MIN_IDLE_MS, round(idle_ms * LEARNT_IDLE_SHARE))
        self._trusted_idle_ms = min(self._trusted_idle_ms, trusted_ms)

    def in_progress(self, target_id: str) -> int:
        """Returns the number of requests under way to a target."""
        return self._open_by_id[target_id]

    def keep(
        self,
        target: targets_lib.RegisteredTarget,
        connection: connection_lib.Connection,
        head: messages.ResponseHead,
    ) -> None:
        """Keeps a connection for the next request."""
        idle = self._idle_by_address[target.address]
        now_ms = self._loop.now_ms()
        stated_ms = self._idle_timeout_of(head) or DEFAULT_IDLE_MS
        kept = _KeptConnection(
            connection,
            idle,
            idle_since_ms=now_ms,
            usable_until_ms=now_ms + round(stated_ms * IDLE_SHARE),
        )
        idle.append(kept)
        if len(idle) > MAX_IDLE_PER_TARGET:
            idle.pop(0).connection.close()

    def ended(self, target: targets_lib.RegisteredTarget) -> None:
        """Notes that an attempt is over."""
        self._open_by_id[target.target_id] -= 1
        if self._open_by_id[target.target_id] <= 0:
            del self._open_by_id[target.target_id]

    def close_idle(self, *, now_ms: int) -> None:
        """Closes the connections that have been idle for too long."""
        for address, idle in list(self._idle_by_address.items()):
            for kept in [k for k in idle if k.usable_until_ms <= now_ms]:
                kept.connection.close()
                idle.remove(kept)
            if not idle:
                del self._idle_by_address[address]

    def forget(self, address: tuple[str, int]) -> None:
        """Closes the idle connections to an address that has another owner."""
        for kept in self._idle_by_address.pop(address, []):
            kept.connection.close()

    def _take_idle(
        self, target: targets_lib.RegisteredTarget, is_repeatable: bool
    ) -> _KeptConnection | None:
        idle = self._idle_by_address[target.address]
        now_ms = self._loop.now_ms()
        bound_ms = self._trusted_idle_ms
        if not is_repeatable:
            bound_ms = min(bound_ms, MAX_IDLE_UNREPEATABLE_MS)
        if not idle or now_ms - idle[-1].idle_since_ms > bound_ms:
            return None
        kept = idle.pop()
        if kept.usable_until_ms > now_ms:
            return kept
        kept.connection.close()
        return None

    def __repr__(self) -> str:
        return f"TargetPool(addresses={len(self._idle_by_address)})"
