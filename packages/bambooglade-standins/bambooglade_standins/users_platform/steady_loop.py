"""Event loop whose clock stands still while the machine gives it no processor.

Gateways, engines and callers of a test share one loop. On a busy machine each
of its steps may be delayed by tens of milliseconds, which all of them would
take for slow connections and silent peers.
"""

from __future__ import annotations

import time

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import loop as loop_lib

MAX_STEP_MS = 1
"""Time that one step counts at most, beyond the time it waits for."""

MAX_WAIT_MS = 60_000
"""Longest wait of one step of a loop without timers."""

_NS_PER_MS = 1_000_000


class SteadyClock(clock_lib.Clock):
    """Clock that passes no more time than it is allowed.

    Examples:
        >>> clock = SteadyClock()
        >>> before_ms = clock.now_ms()
        >>> time.sleep(0.01)
        >>> clock.now_ms() - before_ms
        0
    """

    __slots__ = ("_allowed_ns", "_base_ns", "_started_ns")

    def __init__(self) -> None:
        super().__init__()
        self._base_ns = time.time_ns()
        self._started_ns = time.monotonic_ns()
        self._allowed_ns = 0

    def _now_ns(self) -> int:
        elapsed_ns = time.monotonic_ns() - self._started_ns
        return self._base_ns + min(elapsed_ns, self._allowed_ns)

    def now_ms(self) -> int:
        """Returns the time in milliseconds since the Unix epoch."""
        return self._now_ns() // _NS_PER_MS

    def allow(self, duration_ms: int) -> None:
        """Sets how much time may pass until the next call."""
        self._base_ns = self._now_ns()
        self._started_ns = time.monotonic_ns()
        self._allowed_ns = duration_ms * _NS_PER_MS


class SteadyLoop(loop_lib.EventLoop):
    """Event loop on a `SteadyClock`.

    Examples:
        >>> loop = SteadyLoop()
        >>> started_ms, done = loop.now_ms(), []
        >>> _ = loop.call_later(20, done.append, "due")
        >>> loop.run(until=lambda: bool(done))
        >>> 20 <= loop.now_ms() - started_ms <= 25
        True
    """

    __slots__ = ("_steady_clock",)

    def __init__(self) -> None:
        self._steady_clock = SteadyClock()
        super().__init__(self._steady_clock)

    def run_once(self, max_wait_ms: int = MAX_WAIT_MS) -> None:
        """Waits for the next events or timers, and runs their callbacks."""
        wait_ms = min(max_wait_ms, self._next_timer_in_ms())
        self._steady_clock.allow(wait_ms + MAX_STEP_MS)
        super().run_once(max_wait_ms)
