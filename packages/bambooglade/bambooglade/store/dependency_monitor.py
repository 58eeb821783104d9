"""Availability of one external dependency, logged at each change."""

from __future__ import annotations

from bambooglade.core import event_log

RECOVERY_PERIOD_MS = 2_500
"""Time after an outage in which entries may still be re-registering."""


class DependencyMonitor:
    """Tracks whether calls to one dependency succeed.

    Args:
        name: Name of the dependency, as it appears in the log.
        log: Receives an event when the dependency becomes unavailable and when
            it is available again.

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
        "_log",
        "_name",
        "_recovered_at_ms",
        "_unavailable_since_ms",
        "last_response_ms",
    )

    def __init__(self, name: str, *, log: event_log.EventLog) -> None:
        self._name = name
        self._log = log
        self._unavailable_since_ms: int | None = None
        self._recovered_at_ms: int | None = None
        self.last_response_ms: int | None = None

    @property
    def is_unavailable(self) -> bool:
        """Whether the last call failed."""
        return self._unavailable_since_ms is not None

    def record_success(self, *, now_ms: int) -> None:
        """Records a usable response."""
        self.last_response_ms = now_ms
        if self._unavailable_since_ms is not None:
            self._log.event(
                "dependency_back",
                dependency=self._name,
                lost_for_ms=now_ms - self._unavailable_since_ms,
            )
            self._unavailable_since_ms = None
            self._recovered_at_ms = now_ms

    def record_failure(self, *, now_ms: int, reason: str) -> None:
        """Records a call without a usable response."""
        if self._unavailable_since_ms is None:
            self._unavailable_since_ms = now_ms
            self._log.event(
                "dependency_lost",
                dependency=self._name,
                reason=reason,
                last_answer_ms=self.last_response_ms,
            )

    def recently_recovered(self, *, now_ms: int) -> bool:
        """Returns whether an outage ended at most `RECOVERY_PERIOD_MS` ago."""
        return (
            self._recovered_at_ms is not None
            and now_ms - self._recovered_at_ms <= RECOVERY_PERIOD_MS
        )

    def __repr__(self) -> str:
        return (
            f"DependencyMonitor({self._name!r}, "
            f"is_unavailable={self.is_unavailable})"
        )
