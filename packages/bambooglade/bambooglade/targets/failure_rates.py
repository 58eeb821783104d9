"""How often targets fail or reject requests lately; without I/O.

A target that fails at once is always the least loaded one. It is ranked by what
a request may expect of it instead: the time that is lost if it fails there.

See Also:
    bambooglade.targets.breaker: keeps all requests from a few failing targets.
"""

from __future__ import annotations

from bambooglade.core import identifiers

OUTCOME_WEIGHT = 0.2
"""Weight of the last outcome in the rate."""

HALF_LIFE_MS = 3_000
"""Time after which a rate is halved, so that a target is tried again."""

REJECTION_HALF_LIFE_MS = 500
"""The same for rejections: a target that was full soon has room again."""

FAILURE_PENALTY_MS = 2_000.0
"""Penalty for a target that fails each request, in ms."""

REJECTION_PENALTY_MS = 1_000.0
"""Penalty for a target that rejects each request, in ms.

Another target may still take a request that was rejected.
"""

MIN_RATE = 0.4
"""Rate from which there is a penalty: three failures in a row, or most of many.

Below it, a target gets requests like the others, which show how it is now.
"""

MIN_KEPT_RATE = 0.001
"""Rate below which a target is forgotten."""


class FailureRates:
    """Rate of an outcome for each target, by its latest requests.

    Args:
        half_life_ms: Time without requests after which a rate is halved.

    Examples:
        >>> rates = FailureRates()
        >>> for _ in range(20):
        ...     rates.record("e1", True, now_ms=0)
        >>> round(rates.rate("e1", now_ms=0), 2)
        0.99
        >>> round(rates.rate("e1", now_ms=HALF_LIFE_MS), 2)
        0.49
        >>> rates.penalty("e1", now_ms=2 * HALF_LIFE_MS)
        0.0
        >>> rates.rate("e2", now_ms=0)
        0.0
    """

    __slots__ = ("_half_life_ms", "_rate_by_target")

    def __init__(self, *, half_life_ms: int = HALF_LIFE_MS) -> None:
        self._half_life_ms = half_life_ms
        self._rate_by_target: dict[identifiers.TargetId, tuple[float, int]] = {}

    def record(
        self, target_id: identifiers.TargetId, has_failed: bool, *, now_ms: int
    ) -> None:
        """Records the outcome of a request."""
        if not has_failed and target_id not in self._rate_by_target:
            return
        rate = self.rate(target_id, now_ms=now_ms)
        rate += OUTCOME_WEIGHT * (has_failed - rate)
        if rate < MIN_KEPT_RATE:
            self._rate_by_target.pop(target_id, None)
        else:
            self._rate_by_target[target_id] = rate, now_ms

    def rate(self, target_id: identifiers.TargetId, *, now_ms: int) -> float:
        """Returns how likely a request has the outcome; 0 to 1."""
        known = self._rate_by_target.get(target_id)
        if known is None:
            return 0.0
        rate, at_ms = known
        return rate * 0.5 ** ((now_ms - at_ms) / self._half_life_ms)

    def penalty(self, target_id: identifiers.TargetId, *, now_ms: int) -> float:
        """Returns the part of the full penalty for a target; 0 to 1."""
        rate = self.rate(target_id, now_ms=now_ms)
        return rate**2 if rate >= MIN_RATE else 0.0

    def remove_target(self, target_id: identifiers.TargetId) -> None:
        """Forgets a target that is gone or started again."""
        self._rate_by_target.pop(target_id, None)

    def target_ids(self) -> set[identifiers.TargetId]:
        """Returns the targets of which a rate is kept."""
        return set(self._rate_by_target)

    def __repr__(self) -> str:
        return f"FailureRates(targets={sorted(self._rate_by_target)})"
