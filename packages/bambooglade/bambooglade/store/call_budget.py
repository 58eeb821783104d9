"""Client-side rate limits and back-off for the key-value service; no I/O.

The service limits the calls of the whole fleet. `SHARED_FRACTION` of these
limits is divided equally among the instances; the rest is reserved for bursts,
for instances that are missing from the membership view, and for operators.

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
"""Time for which unused calls of an instance can be saved for a burst."""
INITIAL_BACKOFF_MS = 500
MAX_BACKOFF_MS = 5_000
_MS_PER_S = 1_000


class CallRate(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the calls per second of one instance."""

    reads_per_s: float
    writes_per_s: float


def rate_per_instance(fleet_size: int) -> CallRate:
    """Returns the call rate of each instance in a fleet of this size.

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
    """Token bucket with a capacity of `BURST_MS` of its rate, at least one.

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
        """Changes the rate as of `now_ms`."""
        self._refill(now_ms)
        self._rate_per_s = rate_per_s
        self._tokens = min(self._tokens, self._capacity())

    def try_acquire(self, *, now_ms: int) -> bool:
        """Takes a token and returns True, or returns False if none is left."""
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
    """Exponential back-off with jitter; one success ends it.

    After each pause a single probe call is allowed and all others wait for its
    outcome, so that a recovering service does not get all calls at once.
    """

    __slots__ = ("_failures", "_next_probe_ms", "_probing", "_random")

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._failures = 0
        self._next_probe_ms = 0
        self._probing = False

    @property
    def is_active(self) -> bool:
        """Whether the last call failed."""
        return self._failures > 0

    def allows_call(self, now_ms: int) -> bool:
        """Returns whether a call may be made now."""
        if not self.is_active:
            return True
        return now_ms >= self._next_probe_ms and not self._probing

    def record_call(self) -> None:
        """Records that a call starts; during back-off it is the probe."""
        self._probing = self.is_active

    def record_success(self) -> None:
        """Records a response, which ends the back-off."""
        self._failures = 0
        self._probing = False

    def record_failure(self, now_ms: int) -> None:
        """Records a missing response and schedules the next probe.

        Failures of calls that were in flight at the same time count as one.
        """
        self._probing = False
        if now_ms < self._next_probe_ms:
            return
        limit_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        pause_ms = self._random.randrange(limit_ms // 2, limit_ms)
        self._next_probe_ms = now_ms + pause_ms

    def __repr__(self) -> str:
        return f"Backoff(failures={self._failures})"


class CallBudget:
    """Rate limits and back-off for the reads, writes and watches.

    Args:
        random_source: Source of the back-off jitter.
        now_ms: Current time in milliseconds since the epoch.
        limit: Upper limit on the call rate, whatever the fleet size; defaults
            to the rate in a fleet of one.
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
        """Sets the call rates to this instance's share in the fleet."""
        rate = rate_per_instance(fleet_size)
        self._reads.set_rate(
            min(rate.reads_per_s, self._limit.reads_per_s), now_ms=now_ms
        )
        self._writes.set_rate(
            min(rate.writes_per_s, self._limit.writes_per_s), now_ms=now_ms
        )

    def acquire_read(self, *, now_ms: int) -> bool:
        """Counts a read or watch and returns True if it may start now."""
        return self._acquire(self._reads, now_ms)

    def acquire_write(self, *, now_ms: int) -> bool:
        """Counts a write and returns True if it may start now."""
        return self._acquire(self._writes, now_ms)

    def _acquire(self, bucket: TokenBucket, now_ms: int) -> bool:
        if not self.backoff.allows_call(now_ms) or not bucket.try_acquire(
            now_ms=now_ms
        ):
            return False
        self.backoff.record_call()
        return True

    def __repr__(self) -> str:
        return f"CallBudget(reads={self._reads!r}, writes={self._writes!r})"
