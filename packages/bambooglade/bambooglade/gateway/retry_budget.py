"""This instance's share of the fleet's retry budget for a service; without I/O.

The budget limits the load of retries on a service that fails or is overloaded.
Without it, each failure would add load to the remaining targets.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

USABLE_FRACTION = 0.6
"""Fraction of the fleet's retry budget that the known instances use.

The rest covers instances that are not known yet, and the different start times
of the windows of other instances.
"""

RESTARTED_FRACTION = 0.3
"""Fraction that is used in the first window of a process, without the slack.

The process before may have used up its own just before its end.
"""


class RetryBudget:
    """Retry budget of one service over a sliding window.

    Args:
        ratio: Allowed retries of the fleet per request.
        slack: Allowed retries of the fleet per window in addition to the ratio.
        window_ms: Length of the window, in milliseconds.
        fleet_size: Returns the number of instances that may be serving; None
            while it is not known.
        restarted_at_ms: Start of this process, if another one served before
            in its place; None if none did.

    Examples:
        >>> budget = RetryBudget(ratio=0.5, slack=0, window_ms=1_000,
        ...     fleet_size=lambda: 2)
        >>> for _ in range(4):
        ...     budget.record_request(now_ms=0)
        >>> [budget.try_acquire(now_ms=1) for _ in range(3)]
        [True, False, False]
    """

    __slots__ = (
        "_fleet_size",
        "_ratio",
        "_request_times_ms",
        "_restarted_at_ms",
        "_retry_times_ms",
        "_slack",
        "_window_ms",
    )

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_ms: int,
        fleet_size: Callable[[], int | None],
        restarted_at_ms: int | None = None,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._fleet_size = fleet_size
        self._restarted_at_ms = restarted_at_ms
        self._request_times_ms: collections.deque[int] = collections.deque()
        self._retry_times_ms: collections.deque[int] = collections.deque()

    def record_request(self, *, now_ms: int) -> None:
        """Counts a request to the service."""
        self._request_times_ms.append(now_ms)
        self._evict_expired(now_ms)

    @property
    def retry_count(self) -> int:
        """Number of retries in the window, as of the last call."""
        return len(self._retry_times_ms)

    def allowed_retries(self, *, now_ms: int) -> float:
        """Returns how many retries this instance may make in the window."""
        self._evict_expired(now_ms)
        by_requests = self._ratio * len(self._request_times_ms)
        if self._is_restarted_lately(now_ms):
            return RESTARTED_FRACTION * by_requests
        fleet_size = self._fleet_size()
        slack = self._slack / max(1, fleet_size) if fleet_size else 0.0
        return USABLE_FRACTION * (by_requests + slack)

    def _is_restarted_lately(self, now_ms: int) -> bool:
        """Returns whether the window may hold retries of the process before."""
        return (
            self._restarted_at_ms is not None
            and now_ms - self._restarted_at_ms < self._window_ms
        )

    def try_acquire(self, *, now_ms: int) -> bool:
        """Returns whether a retry is allowed, and counts it if it is."""
        allowed = self.allowed_retries(now_ms=now_ms)
        if self.retry_count + 1 > allowed:
            return False
        self._retry_times_ms.append(now_ms)
        return True

    def _evict_expired(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._window_ms
        for times in (self._request_times_ms, self._retry_times_ms):
            while times and times[0] < oldest_ms:
                times.popleft()

    def __repr__(self) -> str:
        return f"RetryBudget(retries={len(self._retry_times_ms)})"
