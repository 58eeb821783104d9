"""Latency of targets relative to the other targets of a service."""

from __future__ import annotations

from collections.abc import Iterable
import math
import statistics

from bambooglade.core import identifiers

HALF_LIFE_MS = 10_000
"""Time after which the weight of an observation is halved."""

MAX_SLOWNESS = 20.0
"""Upper bound of the slowness of a target."""


class LatencyTracker:
    """Exponentially weighted mean of the time per unit of work, per target.

    The weight of the observations decays while a target gets no requests, so
    that a target that has recovered gets requests again.

    Examples:
        >>> tracker = LatencyTracker()
        >>> for target_id, time_ms in (("e1", 10), ("e2", 10), ("e3", 100)):
        ...     tracker.record(target_id, time_ms, now_ms=0)
        >>> median_ms = tracker.median_ms(("e1", "e2", "e3"))
        >>> round(tracker.slowness("e3", median_ms=median_ms, now_ms=0))
        10
    """

    __slots__ = ("_by_target",)

    def __init__(self) -> None:
        self._by_target: dict[identifiers.TargetId, _DecayingMean] = {}

    def record(
        self, target_id: identifiers.TargetId, time_ms: float, now_ms: int
    ) -> None:
        """Records the time per unit of work of a finished request."""
        mean = self._by_target.setdefault(target_id, _DecayingMean(now_ms))
        mean.add(time_ms, now_ms)

    def median_ms(
        self, target_ids: Iterable[identifiers.TargetId]
    ) -> float | None:
        """Returns the median, or None if fewer than two were observed."""
        known = [
            self._by_target[target_id].value_ms
            for target_id in target_ids
            if target_id in self._by_target
        ]
        return statistics.median(known) if len(known) > 1 else None

    def slowness(
        self,
        target_id: identifiers.TargetId,
        *,
        median_ms: float | None,
        now_ms: int,
    ) -> float:
        """Returns the target's time relative to the median; 1 or more.

        The slowness decays towards 1 while there are no new observations.

        Args:
            target_id: The target.
            median_ms: The median of the targets of its service, or None.
            now_ms: Milliseconds since the epoch.
        """
        mean = self._by_target.get(target_id)
        if mean is None or not median_ms:
            return 1.0
        excess = (mean.value_ms / median_ms - 1.0) * mean.confidence(now_ms)
        return min(max(1.0, 1.0 + excess), MAX_SLOWNESS)

    def remove_target(self, target_id: identifiers.TargetId) -> None:
        """Removes the observations of a target."""
        self._by_target.pop(target_id, None)

    def target_ids(self) -> set[identifiers.TargetId]:
        """Returns the targets with observations."""
        return set(self._by_target)

    def __repr__(self) -> str:
        return f"LatencyTracker(targets={len(self._by_target)})"


class _DecayingMean:
    __slots__ = ("_last_ms", "_weight", "value_ms")

    def __init__(self, now_ms: int) -> None:
        self._last_ms = now_ms
        self._weight = 0.0
        self.value_ms = 0.0

    def add(self, time_ms: float, now_ms: int) -> None:
        """Adds an observation; earlier ones lose weight with their age."""
        self._weight *= self.confidence(now_ms)
        total = self.value_ms * self._weight + time_ms
        self._weight += 1.0
        self.value_ms = total / self._weight
        self._last_ms = max(now_ms, self._last_ms)

    def confidence(self, now_ms: int) -> float:
        """Returns the remaining weight of the observations, from 0 to 1."""
        age_ms = max(0, now_ms - self._last_ms)
        return math.exp2(-age_ms / HALF_LIFE_MS)
