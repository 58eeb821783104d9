"""Single-threaded event loop for sockets and timers."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools
import selectors
import socket

from absl import logging

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import byte_budget as byte_budget_lib
from bambooglade.scheduling import link_budget as link_budget_lib

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE

MIN_LATE_MS = 10
"""Lateness from which sockets are read again before timers run."""

MIN_STANDSTILL_MS = 200
"""Time without processor from which the process has stood still."""

MIN_COMPACTED_TIMERS = 4_096
"""Timers from which those that were cancelled are removed.

A connection cancels and starts a timer with each read. Cancelled ones would
stay for their whole delay, and clients that send single bytes would fill the
memory with them.
"""

_MAX_WAIT_MS = 60_000
_MS_PER_S = 1_000

Callback = Callable[..., object]


class Timer:
    """A callback that is due at a given time; `cancel` is idempotent."""

    __slots__ = ("_arguments", "_callback", "due_ms")

    def __init__(
        self, due_ms: int, callback: Callback, arguments: tuple[object, ...]
    ) -> None:
        self.due_ms = due_ms
        self._callback: Callback | None = callback
        self._arguments = arguments

    @property
    def is_cancelled(self) -> bool:
        """Whether the timer was cancelled or has run."""
        return self._callback is None

    def cancel(self) -> None:
        """Prevents the callback from being called."""
        self._callback = None
        self._arguments = ()

    def run(self) -> None:
        """Calls the callback, unless it was called or cancelled before."""
        callback, arguments = self._callback, self._arguments
        self.cancel()
        if callback is not None:
            callback(*arguments)

    def __repr__(self) -> str:
        return f"Timer(due_ms={self.due_ms})"


class EventLoop:
    """Calls callbacks when sockets are ready and when timers are due.

    Args:
        clock: The clock of the timers. It has to count while the machine is
            suspended.

    Attributes:
        byte_budget: Bytes that messages of the process may take at a time.
        link: What the network link of the instance still has to send.
        resumed_at_ms: End of the last standstill of the process. What others
            have not done before it says nothing about them.

    Examples:
        >>> loop = EventLoop(clock_lib.Clock())
        >>> done = []
        >>> _ = loop.call_later(1, done.append, "due")
        >>> loop.run(until=lambda: bool(done))
        >>> done
        ['due']
    """

    __slots__ = (
        "_clock",
        "_compact_at",
        "_order",
        "_selector",
        "_timers",
        "_woken_at_ms",
        "byte_budget",
        "link",
        "resumed_at_ms",
    )

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[int, int, Timer]] = []
        self._compact_at = MIN_COMPACTED_TIMERS
        self._order = itertools.count()
        self._woken_at_ms = clock.now_ms()
        self.byte_budget = byte_budget_lib.ByteBudget(now_ms=clock.now_ms)
        self.link = link_budget_lib.LinkBudget()
        self.resumed_at_ms = 0

    @property
    def clock(self) -> clock_lib.Clock:
        """The clock of the timers."""
        return self._clock

    @property
    def watched_count(self) -> int:
        """Number of sockets that are watched: nearly all open descriptors."""
        return len(self._selector.get_map())

    def now_ms(self) -> int:
        """Returns the current time in milliseconds since the Unix epoch."""
        return self._clock.now_ms()

    def call_later(
        self, delay_ms: float, callback: Callback, *arguments: object
    ) -> Timer:
        """Schedules a callback, and returns its timer.

        Args:
            delay_ms: Delay in milliseconds; with 0 the callback runs in a later
                step of the loop, never within this call.
            callback: The callback.
            *arguments: Arguments of the callback.
        """
        due_ms = self.now_ms() + max(0, round(delay_ms))
        timer = Timer(due_ms, callback, arguments)
        heapq.heappush(self._timers, (due_ms, next(self._order), timer))
        if len(self._timers) > self._compact_at:
            self._remove_cancelled_timers()
        return timer

    def _remove_cancelled_timers(self) -> None:
        """Removes them, at a cost that is small for each timer started."""
        self._timers = [
            entry for entry in self._timers if not entry[2].is_cancelled
        ]
        heapq.heapify(self._timers)
        self._compact_at = max(MIN_COMPACTED_TIMERS, 2 * len(self._timers))

    def watch(self, sock: socket.socket, events: int, callback: Callback):
        """Registers a callback for the readiness of a socket.

        Args:
            sock: A non-blocking socket.
            events: `READ`, `WRITE` or both; 0 removes the registration.
            callback: Called with the events for which the socket is ready.
        """
        is_registered = sock in self._selector.get_map()
        if not events:
            if is_registered:
                self._selector.unregister(sock)
        elif is_registered:
            self._selector.modify(sock, events, callback)
        else:
            self._selector.register(sock, events, callback)

    def run(self, *, until: Callable[[], bool]) -> None:
        """Runs until `until` returns True, checked before each iteration."""
        while not until():
            self.run_once()

    def run_once(self, max_wait_ms: int = _MAX_WAIT_MS) -> None:
        """Waits for the next events or timers, and runs their callbacks."""
        began_at_ms = self.now_ms()
        wait_ms = min(max_wait_ms, self._next_timer_in_ms())
        events = self._selector.select(wait_ms / _MS_PER_S)
        woken_at_ms = self.now_ms()
        late_ms = woken_at_ms - began_at_ms - wait_ms
        self._record_step(began_at_ms, woken_at_ms, late_ms)
        if not events and late_ms >= MIN_LATE_MS:
            # The signal that continues a process ends its wait without events.
            events = self._selector.select(0)
        for key, ready in events:
            current = self._selector.get_map().get(key.fd)
            if current is not None and current.data == key.data:
                _call(key.data, ready)
        # What came due in a long callback waits until sockets are read again.
        now_ms = self.now_ms()
        is_late = now_ms - woken_at_ms >= MIN_LATE_MS
        self._run_timers(woken_at_ms if is_late else now_ms)

    def _record_step(
        self, began_at_ms: int, woken_at_ms: int, late_ms: int
    ) -> None:
        """Records a standstill before or in a wait.

        Args:
            began_at_ms: Time at which the wait began.
            woken_at_ms: Time at which it ended.
            late_ms: Time by which that was late.
        """
        busy_ms = began_at_ms - self._woken_at_ms
        if max(late_ms, busy_ms) > MIN_STANDSTILL_MS:
            self.resumed_at_ms = woken_at_ms
        self._woken_at_ms = woken_at_ms

    def _next_timer_in_ms(self) -> int:
        while self._timers and self._timers[0][2].is_cancelled:
            heapq.heappop(self._timers)
        if not self._timers:
            return _MAX_WAIT_MS
        return max(0, self._timers[0][0] - self.now_ms())

    def _run_timers(self, until_ms: int | None = None) -> None:
        """Runs the timers that are due now, or were due at a time."""
        now_ms = self.now_ms() if until_ms is None else until_ms
        due: list[Timer] = []
        while self._timers and self._timers[0][0] <= now_ms:
            due.append(heapq.heappop(self._timers)[2])
        for timer in due:
            _call(timer.run)

    def close(self) -> None:
        """Releases the selector."""
        self._selector.close()

    def __repr__(self) -> str:
        return f"EventLoop(timers={len(self._timers)})"


def _call(callback: Callback, *arguments: object) -> None:
    """Calls a callback; an error in one connection must not stop the others."""
    try:
        callback(*arguments)
    except Exception:  # noqa: BLE001 - errors of any kind are logged
        logging.exception("event=callback_failed callback=%s", callback)
