"""Cache of the capacity weights from the rate-limited weight store."""

from __future__ import annotations

from collections.abc import Mapping

from bambooglade.core import hashing
from bambooglade.core import identifiers

READ_PERIOD_MS = 5_000
MAX_BACKOFF_MS = 60_000
MAX_ZERO_AGE_MS = 300_000
"""Time for which a weight of 0 is kept that no read confirms.

It keeps all requests from a target, and its entry or the store may be gone.
"""

_JITTER_STEPS = 1_000


class WeightCache:
    """Caches the last weights, also while the store rejects reads or is down.

    Args:
        instance_id: Id of this instance; its hash lengthens the interval by a
            fixed factor from 1 to 2, so that instances do not read in step.
        read_period_ms: Shortest interval between two reads.

    Examples:
        >>> cache = WeightCache(instance_id="i1")
        >>> cache.is_due(0)
        True
        >>> cache.update({"e1": 2.0}, 0)
        >>> cache.weight("e1", default=1.0, now_ms=0), cache.is_due(1)
        (2.0, False)
    """

    __slots__ = (
        "_backoff_ms",
        "_jitter_factor",
        "_next_read_ms",
        "_read_at_ms_by_target",
        "_read_period_ms",
        "_weight_by_target",
    )

    def __init__(
        self, *, instance_id: str, read_period_ms: int = READ_PERIOD_MS
    ) -> None:
        step = hashing.stable_hash(instance_id) % _JITTER_STEPS
        self._jitter_factor = 1.0 + step / _JITTER_STEPS
        self._read_period_ms = read_period_ms
        self._backoff_ms = read_period_ms
        self._next_read_ms = 0
        self._weight_by_target: dict[identifiers.TargetId, float] = {}
        self._read_at_ms_by_target: dict[identifiers.TargetId, int] = {}

    def is_due(self, now_ms: int) -> bool:
        """Returns whether the store should be read now."""
        return now_ms >= self._next_read_ms

    def update(
        self, weights: Mapping[identifiers.TargetId, float], now_ms: int
    ) -> None:
        """Stores weights that were read, and resets the back-off.

        Negative weights are ignored. Targets without a new weight keep their
        last one; one of 0 for `MAX_ZERO_AGE_MS`.
        """
        valid = {
            target_id: weight
            for target_id, weight in weights.items()
            if weight >= 0
        }
        self._weight_by_target.update(valid)
        self._read_at_ms_by_target.update(dict.fromkeys(valid, now_ms))
        self._backoff_ms = self._read_period_ms
        self._schedule_next_read(now_ms)

    def record_failure(self, now_ms: int) -> None:
        """Records a failed read; doubles the back-off up to a limit."""
        self._backoff_ms = min(self._backoff_ms * 2, MAX_BACKOFF_MS)
        self._schedule_next_read(now_ms)

    def weight(
        self, target_id: identifiers.TargetId, *, default: float, now_ms: int
    ) -> float:
        """Returns the cached weight of a target, or `default`."""
        weight = self._weight_by_target.get(target_id, default)
        read_at_ms = self._read_at_ms_by_target.get(target_id, now_ms)
        is_outdated = now_ms - read_at_ms > MAX_ZERO_AGE_MS
        return default if not weight and is_outdated else weight

    def _schedule_next_read(self, now_ms: int) -> None:
        self._next_read_ms = now_ms + int(
            self._backoff_ms * self._jitter_factor
        )

    def __repr__(self) -> str:
        return f"WeightCache(targets={len(self._weight_by_target)})"
