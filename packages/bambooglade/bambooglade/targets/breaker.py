"""Circuit breakers of the targets, with a cap on how many are open at once."""

from __future__ import annotations

from collections.abc import Sequence
import math

from bambooglade.core import identifiers

FAILURES_TO_OPEN = 3
OPEN_MS = 2_000
MAX_OPEN_MS = 30_000
MAX_OPEN_SHARE = 0.34
"""Share of a service's targets that may be shut out at once.

When more fail, the fault is likely here or in the network, and shutting out
nearly all would pile the load on the rest.
"""


class CircuitBreakers:
    """Shuts out targets that keep failing, and tries them again one by one.

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
        """Closes the breaker of a target that gave a whole answer."""
        self._by_target.pop(target_id, None)

    def record_failure(
        self, target_id: identifiers.TargetId, now_ms: int
    ) -> None:
        """Counts a failure; enough in a row open the breaker."""
        breaker = self._by_target.setdefault(target_id, _Breaker())
        breaker.record_failure(now_ms)

    def record_dispatch(
        self, target_id: identifiers.TargetId, now_ms: int
    ) -> None:
        """Notes a dispatch; a half-open breaker lets one through at a time."""
        breaker = self._by_target.get(target_id)
        if breaker is not None:
            breaker.record_dispatch(now_ms)

    def open_targets(
        self, target_ids: Sequence[identifiers.TargetId], now_ms: int
    ) -> set[identifiers.TargetId]:
        """Returns which targets get no requests now, within the cap.

        Args:
            target_ids: All targets of a service.
            now_ms: The time.
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
    __slots__ = ("_open_ms", "_until_ms", "failures")

    def __init__(self) -> None:
        self.failures = 0
        self._until_ms = 0
        self._open_ms = OPEN_MS

    def record_failure(self, now_ms: int) -> None:
        """Counts a failure; opens the circuit after some in a row."""
        self.failures += 1
        if self.failures < FAILURES_TO_OPEN:
            return
        if self.failures > FAILURES_TO_OPEN and now_ms >= self._until_ms:
            self._open_ms = min(self._open_ms * 2, MAX_OPEN_MS)
        self._until_ms = now_ms + self._open_ms

    def record_dispatch(self, now_ms: int) -> None:
        """Notes that a trial request is sent, and waits for its outcome."""
        if self.failures >= FAILURES_TO_OPEN and now_ms >= self._until_ms:
            self._until_ms = now_ms + self._open_ms

    def is_open(self, now_ms: int) -> bool:
        """Returns whether requests are to be kept away."""
        return self.failures >= FAILURES_TO_OPEN and now_ms < self._until_ms
