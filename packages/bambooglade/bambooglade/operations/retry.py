"""When a message that has not been answered is sent again."""

from __future__ import annotations

import dataclasses

FIRST_RETRY_MS = 200
"""Several times the round trip to another zone and to its backup."""

MAX_RETRY_MS = 5_000
REDIRECTS_PER_ROUND = 3
"""Redirects that are followed at once; further ones wait for the next round."""


@dataclasses.dataclass(slots=True)
class RetryTimer:
    """Says when to send next; the pause doubles up to a maximum.

    Attributes:
        next_ms: When to send next; milliseconds since the epoch.
        pause_ms: Pause after the next sending.
        max_pause_ms: Longest pause.
        redirects_left: Redirects that may still be followed at once.

    Examples:
        >>> timer = RetryTimer()
        >>> timer.is_due(1_000)
        True
        >>> timer.sent(1_000)
        >>> timer.is_due(1_100), timer.is_due(1_200)
        (False, True)
    """

    next_ms: int = 0
    pause_ms: int = FIRST_RETRY_MS
    max_pause_ms: int = MAX_RETRY_MS
    redirects_left: int = REDIRECTS_PER_ROUND

    def is_due(self, now_ms: int) -> bool:
        """Returns whether it is time to send."""
        return now_ms >= self.next_ms

    def sent(self, now_ms: int) -> None:
        """Notes that the message was sent."""
        self.next_ms = now_ms + self.pause_ms
        self.pause_ms = min(2 * self.pause_ms, self.max_pause_ms)
        self.redirects_left = REDIRECTS_PER_ROUND

    def may_follow(self) -> bool:
        """Takes one of the redirects of this round, if any is left."""
        if self.redirects_left == 0:
            return False
        self.redirects_left -= 1
        return True
