"""This instance's share of the retries that the whole fleet may make; pure.

Answers the load of a service that fails or is full: without the bound, each
failure would add load to what is left.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

USED_SHARE = 0.6
"""Part of the fleet's retries that is used.

The rest covers instances that are not known yet and windows that are cut
differently elsewhere.
"""


class RetryAllowance:
    """Counts requests and retries of one service in a sliding window.

    Args:
        ratio: Retries of the fleet per request.
        slack: Retries of the fleet in a window beyond the ratio.
        window_ms: Length of the window, in milliseconds.
        fleet_size: Returns the number of instances.

    Examples:
        >>> allowance = RetryAllowance(ratio=0.5, slack=0, window_ms=1_000,
        ...     fleet_size=lambda: 2)
        >>> for _ in range(4):
        ...     allowance.note_request(now_ms=0)
        >>> [allowance.take(now_ms=1) for _ in range(3)]
        [True, False, False]
    """

    __slots__ = (
        "_fleet_size",
        "_ratio",
        "_requests_ms",
        "_retries_ms",
        "_slack",
        "_window_ms",
    )

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_ms: int,
        fleet_size: Callable[[], int],
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._fleet_size = fleet_size
        self._requests_ms: collections.deque[int] = collections.deque()
        self._retries_ms: collections.deque[int] = collections.deque()

    def note_request(self, *, now_ms: int) -> None:
        """Notes a request to the service."""
        self._requests_ms.append(now_ms)
        self._forget(now_ms)

    def take(self, *, now_ms: int) -> bool:
        """Returns whether a retry may be sent, and counts it."""
        self._forget(now_ms)
        slack = self._slack / max(1, self._fleet_size())
        allowed = USED_SHARE * (self._ratio * len(self._requests_ms) + slack)
        if len(self._retries_ms) + 1 > allowed:
            return False
        self._retries_ms.append(now_ms)
        return True

    def _forget(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._window_ms
        for times in (self._requests_ms, self._retries_ms):
            while times and times[0] < oldest_ms:
                times.popleft()

    def __repr__(self) -> str:
        return f"RetryAllowance(retries={len(self._retries_ms)})"
