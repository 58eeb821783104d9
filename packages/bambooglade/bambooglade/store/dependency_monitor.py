"""Availability of one external dependency, logged at each change."""

from __future__ import annotations

from bambooglade.core import event_log

RECOVERY_PERIOD_MS = 2_000
"""Time after an outage in which entries may still be re-registering."""

MIN_LAPSE_OUTAGE_MS = 1_000
"""Shortest outage in which entries may lapse.

Their owners renew them about once a second.
"""


class DependencyMonitor:
    """Tracks whether calls to one dependency succeed.

    Args:
        name: Name of the dependency, as it appears in the log.
        log: Receives an event when the dependency becomes unavailable and when
            it is available again.

    Attributes:
        last_response_ms: Time of the last usable response; None before it.
        outage_count: Number of outages so far.
        recovery_ends_at_ms: Time until which entries that lapsed in the last
            outage may still come back; 0 before the first outage.
        has_probe_response: Whether an inexpensive call got a response since
            the last failure, or can't tell, so that other calls are worth a
            trial.

    Examples:
        >>> from bambooglade.core import clock
        >>> monitor = DependencyMonitor("store",
        ...     log=event_log.EventLog(clock.ManualClock()))
        >>> monitor.record_failure(now_ms=10, reason="timeout")
        >>> monitor.is_unavailable
        True
        >>> monitor.record_success(now_ms=2_010)
        >>> monitor.is_unavailable, monitor.recovery_ends_at_ms
        (False, 4010)
        >>> monitor.record_failure(now_ms=3_000, reason="timeout")
        >>> monitor.record_probe_response()
        >>> monitor.is_unavailable, monitor.has_probe_response
        (True, True)
    """

    __slots__ = (
        "_log",
        "_name",
        "_unavailable_since_ms",
        "has_probe_response",
        "last_response_ms",
        "outage_count",
        "recovery_ends_at_ms",
    )

    def __init__(self, name: str, *, log: event_log.EventLog) -> None:
        self._name = name
        self._log = log
        self._unavailable_since_ms: int | None = None
        self.last_response_ms: int | None = None
        self.outage_count = 0
        self.recovery_ends_at_ms = 0
        self.has_probe_response = False

    @property
    def is_unavailable(self) -> bool:
        """Whether the last call failed."""
        return self._unavailable_since_ms is not None

    def record_success(self, *, now_ms: int) -> None:
        """Records a usable response."""
        self.last_response_ms = now_ms
        self.has_probe_response = False
        if self._unavailable_since_ms is None:
            return
        lost_for_ms = now_ms - self._unavailable_since_ms
        self._unavailable_since_ms = None
        self._log.event(
            "dependency_back", dependency=self._name, lost_for_ms=lost_for_ms
        )
        if lost_for_ms >= MIN_LAPSE_OUTAGE_MS:
            self.recovery_ends_at_ms = now_ms + RECOVERY_PERIOD_MS

    def record_failure(self, *, now_ms: int, reason: str) -> None:
        """Records a call without a usable response."""
        self.has_probe_response = False
        if self._unavailable_since_ms is None:
            self._unavailable_since_ms = now_ms
            self.outage_count += 1
            self._log.event(
                "dependency_lost",
                dependency=self._name,
                reason=reason,
                last_answer_ms=self.last_response_ms,
            )

    def record_probe_response(self) -> None:
        """Records that an inexpensive call got a response.

        It does not end an outage: other calls may still fail.
        """
        self.has_probe_response = self.is_unavailable

    def __repr__(self) -> str:
        return (
            f"DependencyMonitor({self._name!r}, "
            f"is_unavailable={self.is_unavailable})"
        )
