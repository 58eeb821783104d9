"""Load of targets: lagging reports, corrected by the own dispatches since."""

from __future__ import annotations

import collections

import msgspec

from bambooglade.core import identifiers

REPORT_EXPIRY_MS = 10_000
"""Age from which a report is ignored and only own dispatches count."""

_HISTORY_LENGTH = 1_024


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a target reports of itself.

    Attributes:
        running: Requests that it was working on.
        waiting: Requests that waited at it.
        age_ms: How old the numbers are.
        leaving: Whether it is about to stop.
    """

    running: int = 0
    waiting: int = 0
    age_ms: int = 0
    leaving: bool = False


class LoadTracker:
    """Estimates how many requests each target has.

    Args:
        expiry_ms: Age from which a report is ignored.

    Examples:
        >>> tracker = LoadTracker()
        >>> tracker.reported("e1", LoadReport(running=5, age_ms=400), 1_000)
        >>> tracker.started("e1", "a", 700)
        >>> tracker.estimate("e1", 1_000)
        6
    """

    __slots__ = ("_by_target", "_expiry_ms")

    def __init__(self, *, expiry_ms: int = REPORT_EXPIRY_MS) -> None:
        self._expiry_ms = expiry_ms
        self._by_target: dict[identifiers.TargetId, _TargetLoad] = (
            collections.defaultdict(_TargetLoad)
        )

    def reported(
        self,
        target_id: identifiers.TargetId,
        report: LoadReport,
        now_ms: int,
    ) -> None:
        """Takes a report that arrived now, unless a newer one is known."""
        load = self._by_target[target_id]
        as_of_ms = now_ms - report.age_ms
        if as_of_ms >= load.as_of_ms:
            load.as_of_ms = as_of_ms
            load.reported = report.running + report.waiting

    def started(
        self, target_id: identifiers.TargetId, attempt_id: str, now_ms: int
    ) -> None:
        """Notes a dispatch of this instance."""
        load = self._by_target[target_id]
        load.started_ms_by_attempt[attempt_id] = now_ms
        load.starts_ms.append(now_ms)

    def ended(
        self, target_id: identifiers.TargetId, attempt_id: str, now_ms: int
    ) -> None:
        """Notes the end of a dispatch; doing so again has no effect."""
        load = self._by_target[target_id]
        if load.started_ms_by_attempt.pop(attempt_id, None) is not None:
            load.ends_ms.append(now_ms)

    def own(self, target_id: identifiers.TargetId) -> int:
        """Returns how many requests of this instance the target has."""
        return len(self._by_target[target_id].started_ms_by_attempt)

    def estimate(self, target_id: identifiers.TargetId, now_ms: int) -> int:
        """Returns about how many requests the target has now."""
        load = self._by_target[target_id]
        own = len(load.started_ms_by_attempt)
        if now_ms - load.as_of_ms > self._expiry_ms:
            return own
        since = _after(load.starts_ms, load.as_of_ms)
        until = _after(load.ends_ms, load.as_of_ms)
        return max(own, load.reported + since - until)

    def __repr__(self) -> str:
        return f"LoadTracker(targets={len(self._by_target)})"


class _TargetLoad:
    """What is known of one target."""

    __slots__ = (
        "as_of_ms",
        "ends_ms",
        "reported",
        "started_ms_by_attempt",
        "starts_ms",
    )

    def __init__(self) -> None:
        self.as_of_ms = -REPORT_EXPIRY_MS
        self.reported = 0
        self.started_ms_by_attempt: dict[str, int] = {}
        self.starts_ms = collections.deque(maxlen=_HISTORY_LENGTH)
        self.ends_ms = collections.deque(maxlen=_HISTORY_LENGTH)


def _after(times_ms: collections.deque[int], as_of_ms: int) -> int:
    count = 0
    for time_ms in reversed(times_ms):
        if time_ms <= as_of_ms:
            break
        count += 1
    return count
