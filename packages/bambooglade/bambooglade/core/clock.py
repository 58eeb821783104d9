"""Clocks in milliseconds.

All times in this project are integers in milliseconds since the Unix epoch;
all durations are integers in milliseconds.
"""

from __future__ import annotations

import time

_NS_PER_MS = 1_000_000


def _uptime_ns() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class Clock:
    """A monotonic clock in milliseconds since the Unix epoch.

    The clock reads the time of day once, at its construction, and advances
    with `CLOCK_BOOTTIME` from then on: it never runs backwards within one
    process, ignores adjustments of the time of day, and also counts while the
    machine is suspended.

    See Also:
        ManualClock: the clock that tests and the simulated fleet use.
    """

    __slots__ = ("_offset_ns",)

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - _uptime_ns()

    def now_ms(self) -> int:
        """Returns the time in milliseconds since the Unix epoch."""
        return (_uptime_ns() + self._offset_ns) // _NS_PER_MS

    def __repr__(self) -> str:
        return f"Clock(now_ms={self.now_ms()})"


class ManualClock(Clock):
    """A clock that only moves when `advance` is called.

    Examples:
        >>> clock = ManualClock(now_ms=1_000)
        >>> clock.advance(delta_ms=250)
        >>> clock.now_ms()
        1250
    """

    __slots__ = ("_now_ms",)

    def __init__(self, *, now_ms: int = 0) -> None:
        super().__init__()
        self._now_ms = now_ms

    def now_ms(self) -> int:
        """Returns the time that was set by the constructor and `advance`."""
        return self._now_ms

    def advance(self, *, delta_ms: int) -> None:
        """Moves the clock forward.

        Args:
            delta_ms: Duration in milliseconds; 0 or more.

        Raises:
            ValueError: `delta_ms` is negative.
        """
        if delta_ms < 0:
            raise ValueError(
                f"delta_ms is {delta_ms}; pass a duration of 0 or more"
            )
        self._now_ms += delta_ms
