"""Circuit breakers of the targets, with a cap on how many are open at once."""

from __future__ import annotations

from collections.abc import Sequence
import math

from bambooglade.core import identifiers

FAILURES_TO_OPEN = 3
OPEN_MS = 2_000
MAX_OPEN_MS = 30_000
MAX_OPEN_SHARE = 0.34
"""Fraction of a service's targets whose circuits may be open at once.

If more targets fail, the fault is probably in this instance or in the network,
and excluding most targets would overload the remaining ones.
"""


class CircuitBreakers:
    """One circuit breaker per target.

    A circuit opens after `FAILURES_TO_OPEN` consecutive failures, which keeps
    requests away from the target. When the open period is over, the circuit is
    half-open and admits one trial request at a time. A failure that arrives
    after the end of an open period doubles the next one, up to `MAX_OPEN_MS`.

    Examples:
        >>> breakers = CircuitBreakers()
        >>> for _ in range(FAILURES_TO_OPEN):
        ...     breakers.record_failure("e1", now_ms=0)
        >>> breakers.open_targets(["e1", "e2", "e3"], now_ms=1)
        {'e1'}
        >>> breakers.open_targets(["e1", "e2", "e3"], now_ms=OPEN_MS)
        set()
    """

    __slots__ = ("_by_target",)

    def __init__(self) -> None:
        self._by_target: dict[identifiers.TargetId, _Breaker] = {}

    def record_success(self, target_id: identifiers.TargetId) -> None:
        """Closes the circuit of a target that sent a complete response."""
        self._by_target.pop(target_id, None)

    def record_failure(
        self, target_id: identifiers.TargetId, now_ms: int
    ) -> None:
        """Counts a failure; consecutive failures open the circuit."""
        breaker = self._by_target.setdefault(target_id, _Breaker())
        breaker.record_failure(now_ms)

    def record_dispatch(
        self, target_id: identifiers.TargetId, now_ms: int
    ) -> None:
        """Records a dispatch; a half-open circuit admits one at a time."""
        breaker = self._by_target.get(target_id)
        if breaker is not None:
            breaker.record_dispatch(now_ms)

    def remove_target(self, target_id: identifiers.TargetId) -> None:
        """Removes the circuit of a target that is gone or started again."""
        self._by_target.pop(target_id, None)

    def target_ids(self) -> set[identifiers.TargetId]:
        """Returns the targets with failures."""
        return set(self._by_target)

    def open_targets(
        self, target_ids: Sequence[identifiers.TargetId], now_ms: int
    ) -> set[identifiers.TargetId]:
        """Returns the targets that must not get requests now.

        At most `MAX_OPEN_SHARE` of the targets are returned, those with the
        most failures first.

        Args:
            target_ids: All targets of a service.
            now_ms: Milliseconds since the epoch.
        """
        open_ids = [
            target_id
            for target_id in target_ids
            if target_id in self._by_target
            and self._by_target[target_id].is_open(now_ms)
        ]
        open_ids.sort(
            key=lambda target_id: (
                -self._by_target[target_id].failures,
                target_id,
            )
        )
        cap = math.floor(len(target_ids) * MAX_OPEN_SHARE)
        return set(open_ids[:cap])

    def __repr__(self) -> str:
        return f"CircuitBreakers(failing={sorted(self._by_target)})"


class _Breaker:
    __slots__ = ("_open_duration_ms", "_open_until_ms", "failures")

    def __init__(self) -> None:
        self.failures = 0
        self._open_until_ms = 0
        self._open_duration_ms = OPEN_MS

    def record_failure(self, now_ms: int) -> None:
        """Counts a failure; opens the circuit at `FAILURES_TO_OPEN`."""
        self.failures += 1
        if self.failures < FAILURES_TO_OPEN:
            return
        if self.failures > FAILURES_TO_OPEN and now_ms >= self._open_until_ms:
            self._open_duration_ms = min(
                self._open_duration_ms * 2, MAX_OPEN_MS
            )
        self._open_until_ms = now_ms + self._open_duration_ms

    def record_dispatch(self, now_ms: int) -> None:
        """Opens a half-open circuit again while its trial request runs."""
        if self.failures >= FAILURES_TO_OPEN and now_ms >= self._open_until_ms:
            self._open_until_ms = now_ms + self._open_duration_ms

    def is_open(self, now_ms: int) -> bool:
        """Returns whether the target must not get requests."""
        return (
            self.failures >= FAILURES_TO_OPEN and now_ms < self._open_until_ms
        )
