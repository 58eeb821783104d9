"""Retry schedule of a message that has not been acknowledged."""

from __future__ import annotations

import dataclasses

FIRST_RETRY_MS = 200
"""Several times the round trip to another zone and on to the backup there."""

MAX_RETRY_MS = 5_000
REDIRECTS_PER_ROUND = 3
"""Redirects followed per send; further ones are ignored until the next send."""


@dataclasses.dataclass(slots=True)
class RetryTimer:
    """Retry timer with exponential back-off up to a maximum pause.

    Attributes:
        next_ms: Time of the next send; milliseconds since the epoch.
        pause_ms: Pause after the next send.
        max_pause_ms: Longest pause.
        redirects_left: Redirects that may be followed before the next send.

    Examples:
        >>> timer = RetryTimer()
        >>> timer.is_due(1_000)
        True
        >>> timer.record_send(1_000)
        >>> timer.is_due(1_100), timer.is_due(1_200)
        (False, True)
    """

    next_ms: int = 0
    pause_ms: int = FIRST_RETRY_MS
    max_pause_ms: int = MAX_RETRY_MS
    redirects_left: int = REDIRECTS_PER_ROUND

    def is_due(self, now_ms: int) -> bool:
        """Returns whether the message is to be sent now."""
        return now_ms >= self.next_ms

    def record_send(self, now_ms: int) -> None:
        """Schedules the next send after one at `now_ms`."""
        self.next_ms = now_ms + self.pause_ms
        self.pause_ms = min(2 * self.pause_ms, self.max_pause_ms)
        self.redirects_left = REDIRECTS_PER_ROUND

    def consume_redirect(self) -> bool:
        """Returns whether a redirect may be followed, and counts it."""
        if self.redirects_left == 0:
            return False
        self.redirects_left -= 1
        return True
