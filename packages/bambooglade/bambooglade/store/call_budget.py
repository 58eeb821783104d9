"""Keeps one instance's calls to the platform within its share; pure.

The service counts all calls of the fleet. Each instance takes an equal share
of a part of the limits; the rest is left for bursts, for instances that are
not known of, and for operators.

See Also:
    bambooglade.store.document_client: makes the calls.
"""

from __future__ import annotations

import random

import msgspec

READS_PER_S = 2_000
WRITES_PER_S = 300
SHARED_FRACTION = 0.8
BURST_MS = 250
"""A share that was not used may be used within this time."""
INITIAL_BACKOFF_MS = 500
MAX_BACKOFF_MS = 5_000
_MS_PER_S = 1_000


class CallRate(msgspec.Struct, frozen=True, kw_only=True):
    """Calls a second that one instance may make."""

    reads_per_s: float
    writes_per_s: float


def rate_per_instance(fleet_size: int) -> CallRate:
    """Returns the share of one instance.

    Examples:
        >>> rate_per_instance(10)
        CallRate(reads_per_s=160.0, writes_per_s=24.0)
    """
    size = max(1, fleet_size)
    return CallRate(
        reads_per_s=READS_PER_S * SHARED_FRACTION / size,
        writes_per_s=WRITES_PER_S * SHARED_FRACTION / size,
    )


class TokenBucket:
    """Lets through a rate, with bursts up to `BURST_MS` of it or one call.

    Examples:
        >>> bucket = TokenBucket(rate_per_s=8, now_ms=0)
        >>> [bucket.try_acquire(now_ms=0) for _ in range(3)]
        [True, True, False]
        >>> bucket.try_acquire(now_ms=125)
        True
    """

    __slots__ = ("_rate_per_s", "_tokens", "_updated_at_ms")

    def __init__(self, *, rate_per_s: float, now_ms: int) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = self._capacity()
        self._updated_at_ms = now_ms

    def set_rate(self, rate_per_s: float, *, now_ms: int) -> None:
        """Changes the rate from now on."""
        self._refill(now_ms)
        self._rate_per_s = rate_per_s
        self._tokens = min(self._tokens, self._capacity())

    def try_acquire(self, *, now_ms: int) -> bool:
        """Takes a token if there is one."""
        self._refill(now_ms)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._updated_at_ms)
        added = elapsed_ms * self._rate_per_s / _MS_PER_S
        self._tokens = min(self._capacity(), self._tokens + added)
        self._updated_at_ms = max(now_ms, self._updated_at_ms)

    def _capacity(self) -> float:
        return max(1.0, self._rate_per_s * BURST_MS / _MS_PER_S)

    def __repr__(self) -> str:
        return f"TokenBucket(rate_per_s={self._rate_per_s:g})"


class Backoff:
    """Pauses after failures: growing, random, and ended by one success.

    After a pause one call is let through; the others wait for its outcome, so
    that a service that comes back is not met by all calls at once.
    """

    __slots__ = ("_failures", "_probing", "_random", "_until_ms")

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._failures = 0
        self._until_ms = 0
        self._probing = False

    @property
    def is_active(self) -> bool:
        """Whether the last call failed."""
        return self._failures > 0

    def allows_call(self, now_ms: int) -> bool:
        """Returns whether a call may be made now."""
        if not self.is_active:
            return True
        return now_ms >= self._until_ms and not self._probing

    def record_call(self) -> None:
        """Notes that a call is made."""
        self._probing = self.is_active

    def record_success(self) -> None:
        """Notes an answer; pauses are over."""
        self._failures = 0
        self._probing = False

    def record_failure(self, now_ms: int) -> None:
        """Notes that there was no answer.

        Calls that were on their way together count as one failure.
        """
        self._probing = False
        if now_ms < self._until_ms:
            return
        limit_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        pause_ms = self._random.randrange(limit_ms // 2, limit_ms)
        self._until_ms = now_ms + pause_ms

    def __repr__(self) -> str:
        return f"Backoff(failures={self._failures})"


class CallBudget:
    """Decides when this instance may read, write or watch.

    Args:
        random_source: Seeded in tests.
        now_ms: Time of the start, in milliseconds since the epoch.
        limit: Most that this instance may call, whatever its share.
    """

    __slots__ = ("_limit", "_reads", "_writes", "backoff")

    def __init__(
        self,
        *,
        random_source: random.Random,
        now_ms: int,
        limit: CallRate | None = None,
    ) -> None:
        self._limit = limit or rate_per_instance(1)
        self.backoff = Backoff(random_source)
        self._reads = TokenBucket(
            rate_per_s=self._limit.reads_per_s, now_ms=now_ms
        )
        self._writes = TokenBucket(
            rate_per_s=self._limit.writes_per_s, now_ms=now_ms
        )

    def set_fleet_size(self, fleet_size: int, *, now_ms: int) -> None:
        """Takes the share of a fleet of this size."""
        share = rate_per_instance(fleet_size)
        self._reads.set_rate(
            min(share.reads_per_s, self._limit.reads_per_s), now_ms=now_ms
        )
        self._writes.set_rate(
            min(share.writes_per_s, self._limit.writes_per_s), now_ms=now_ms
        )

    def acquire_read(self, *, now_ms: int) -> bool:
        """Returns whether a read or a watch may start now, and counts it."""
        return self._take(self._reads, now_ms)

    def acquire_write(self, *, now_ms: int) -> bool:
        """Returns whether a write may be made now, and counts it."""
        return self._take(self._writes, now_ms)

    def _take(self, bucket: TokenBucket, now_ms: int) -> bool:
        if not self.backoff.allows_call(now_ms) or not bucket.try_acquire(
            now_ms=now_ms
        ):
            return False
        self.backoff.record_call()
        return True

    def __repr__(self) -> str:
        return f"CallBudget(reads={self._reads!r}, writes={self._writes!r})"
