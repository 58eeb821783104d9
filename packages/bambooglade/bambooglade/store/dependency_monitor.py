"""Whether a dependency answers, with one log line at each change."""

from __future__ import annotations

from bambooglade.core import event_log

FRESH_AFTER_RETURN_MS = 2_500
"""Time after an outage in which entries may still be coming back."""


class DependencyMonitor:
    """Notes answers and failures of one dependency.

    Args:
        name: Name of the dependency, for the log.
        log: Told when it is lost and when it is back.

    Examples:
        >>> from bambooglade.core import clock
        >>> monitor = DependencyMonitor("store",
        ...     log=event_log.EventLog(clock.ManualClock()))
        >>> monitor.record_failure(now_ms=10, reason="timeout")
        >>> monitor.is_unavailable
        True
        >>> monitor.record_success(now_ms=20)
        >>> monitor.is_unavailable, monitor.recently_recovered(now_ms=30)
        (False, True)
    """

    __slots__ = (
        "_back_at_ms",
        "_log",
        "_lost_at_ms",
        "_name",
        "last_answer_ms",
    )

    def __init__(self, name: str, *, log: event_log.EventLog) -> None:
        self._name = name
        self._log = log
        self._lost_at_ms: int | None = None
        self._back_at_ms: int | None = None
        self.last_answer_ms: int | None = None

    @property
    def is_unavailable(self) -> bool:
        """Whether the last call failed."""
        return self._lost_at_ms is not None

    def record_success(self, *, now_ms: int) -> None:
        """Notes an answer."""
        self.last_answer_ms = now_ms
        if self._lost_at_ms is not None:
            self._log.event(
                "dependency_back",
                dependency=self._name,
                lost_for_ms=now_ms - self._lost_at_ms,
            )
            self._lost_at_ms = None
            self._back_at_ms = now_ms

    def record_failure(self, *, now_ms: int, reason: str) -> None:
        """Notes a call without a usable answer."""
        if self._lost_at_ms is None:
            self._lost_at_ms = now_ms
            self._log.event(
                "dependency_lost",
                dependency=self._name,
                reason=reason,
                last_answer_ms=self.last_answer_ms,
            )

    def recently_recovered(self, *, now_ms: int) -> bool:
        """Returns whether it answers again since a short time only."""
        return (
            self._back_at_ms is not None
            and now_ms - self._back_at_ms <= FRESH_AFTER_RETURN_MS
        )

    def __repr__(self) -> str:
        return (
            f"DependencyMonitor({self._name!r}, "
            f"is_unavailable={self.is_unavailable})"
        )
