"""Load estimates of targets, from delayed reports and local dispatches."""

from __future__ import annotations

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import Annotated

import msgspec

from bambooglade.core import identifiers

REPORT_EXPIRY_MS = 10_000
"""Age above which a report is ignored.

The requests of other instances at that target are then taken from the mean of
the targets that have a current report.
"""

INITIAL_SERVICE_MS = 2_000.0
EWMA_WEIGHT = 0.1
"""Weight of a new observation in an exponentially weighted moving average."""

MAX_SENDERS = 64.0
_HISTORY_LENGTH = 1_024


MAX_COUNT = 1_000_000_000
"""Greatest number in a report; one beyond it is malformed."""

MAX_UPTIME_MS = 10_000_000_000_000
"""Longest time in a report, about 300 years; one beyond it is malformed."""

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Uptime = Annotated[int, msgspec.Meta(ge=0, le=MAX_UPTIME_MS)]


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load as reported by a target.

    Attributes:
        running: Requests in progress at the target.
        waiting: Requests queued at the target.
        age_ms: Age of these numbers.
        leaving: Whether the target is about to stop.
        uptime_ms: Time for which its process has been running; None if the
            target does not say.
    """

    running: _Count = 0
    waiting: _Count = 0
    age_ms: _Count = 0
    leaving: bool = False
    uptime_ms: _Uptime | None = None


class LoadTracker:
    """Estimates the number of requests at each target.

    The requests of this instance are counted exactly. Requests of other
    instances are estimated from the reports: the difference between a target's
    reported load and the mean of the service decays with the age of the report,
    and is divided by the estimated number of instances that send requests.
    Otherwise all instances would react to the same report, and send their
    requests to the same target until the next report.

    Args:
        expiry_ms: Age above which a report is ignored.

    Examples:
        >>> tracker = LoadTracker()
        >>> tracker.apply_report("e1", LoadReport(running=5, age_ms=400), 1_000)
        >>> tracker.record_start("e1", "a", 700)
        >>> tracker.estimates(["e1"], 1_000)
        {'e1': 6.0}
    """

    __slots__ = ("_by_target", "_expiry_ms", "_sender_count")

    def __init__(self, *, expiry_ms: int = REPORT_EXPIRY_MS) -> None:
        self._expiry_ms = expiry_ms
        self._sender_count = 1.0
        self._by_target: dict[identifiers.TargetId, _TargetLoad] = (
            collections.defaultdict(_TargetLoad)
        )

    def apply_report(
        self,
        target_id: identifiers.TargetId,
        report: LoadReport,
        now_ms: int,
    ) -> None:
        """Applies a report that arrived now, unless a newer one was applied."""
        load = self._by_target[target_id]
        as_of_ms = now_ms - report.age_ms
        if as_of_ms >= load.as_of_ms:
            load.as_of_ms = as_of_ms
            load.other_requests = max(
                0,
                report.running
                + report.waiting
                - load.own_requests_at(as_of_ms),
            )
            self._update_sender_count()

    def record_start(
        self, target_id: identifiers.TargetId, attempt_id: str, now_ms: int
    ) -> None:
        """Records a dispatch of this instance."""
        load = self._by_target[target_id]
        load.started_ms_by_attempt[attempt_id] = now_ms
        load.starts_ms.append(now_ms)

    def record_end(
        self, target_id: identifiers.TargetId, attempt_id: str, now_ms: int
    ) -> None:
        """Records the end of a dispatch; idempotent."""
        load = self._by_target[target_id]
        started_ms = load.started_ms_by_attempt.pop(attempt_id, None)
        if started_ms is None:
            return
        load.ends_ms.append(now_ms)
        took_ms = now_ms - started_ms
        load.mean_service_ms += EWMA_WEIGHT * (took_ms - load.mean_service_ms)

    def own_requests(self, target_id: identifiers.TargetId) -> int:
        """Returns the number of this instance's requests at the target."""
        return len(self._by_target[target_id].started_ms_by_attempt)

    def estimates(
        self, target_ids: Sequence[identifiers.TargetId], now_ms: int
    ) -> Mapping[identifiers.TargetId, float]:
        """Returns the estimated number of requests at each target.

        Args:
            target_ids: All targets of a service.
            now_ms: Milliseconds since the epoch.
        """
        known_loads = [
            load.other_requests
            for load in map(self._by_target.__getitem__, target_ids)
            if now_ms - load.as_of_ms <= self._expiry_ms
        ]
        mean = sum(known_loads) / len(known_loads) if known_loads else 0.0
        return {
            target_id: self._estimate(target_id, mean, now_ms)
            for target_id in target_ids
        }

    def _estimate(
        self, target_id: identifiers.TargetId, mean: float, now_ms: int
    ) -> float:
        load = self._by_target[target_id]
        own = len(load.started_ms_by_attempt)
        age_ms = max(0, now_ms - load.as_of_ms)
        if age_ms > self._expiry_ms:
            return own + mean
        decay = math.exp(-age_ms / max(1.0, load.mean_service_ms))
        return (
            own
            + mean
            + (load.other_requests - mean) * decay / self._sender_count
        )

    def _update_sender_count(self) -> None:
        """Updates the estimate of how many instances send requests.

        It assumes that all instances have as many requests in progress as this
        one.
        """
        own = sum(
            len(t.started_ms_by_attempt) for t in self._by_target.values()
        )
        other_requests = sum(
            load.other_requests for load in self._by_target.values()
        )
        if own:
            count = min(1.0 + other_requests / own, MAX_SENDERS)
            self._sender_count += EWMA_WEIGHT * (count - self._sender_count)

    def __repr__(self) -> str:
        return f"LoadTracker(targets={len(self._by_target)})"


class _TargetLoad:
    """Load of one target.

    Attributes:
        as_of_ms: Time to which the last report applies.
        other_requests: Requests of other instances at that time.
        mean_service_ms: Moving average of the duration of own requests.
        started_ms_by_attempt: Start times of own requests in progress.
        starts_ms: Start times of recent own requests.
        ends_ms: End times of recent own requests.
    """

    __slots__ = (
        "as_of_ms",
        "ends_ms",
        "mean_service_ms",
        "other_requests",
        "started_ms_by_attempt",
        "starts_ms",
    )

    def __init__(self) -> None:
        self.as_of_ms = -REPORT_EXPIRY_MS
        self.other_requests = 0
        self.mean_service_ms = INITIAL_SERVICE_MS
        self.started_ms_by_attempt: dict[str, int] = {}
        self.starts_ms = collections.deque(maxlen=_HISTORY_LENGTH)
        self.ends_ms = collections.deque(maxlen=_HISTORY_LENGTH)

    def own_requests_at(self, time_ms: int) -> int:
        """Returns the number of own requests at the target at a past time."""
        started_since = _count_after(self.starts_ms, time_ms)
        ended_since = _count_after(self.ends_ms, time_ms)
        return len(self.started_ms_by_attempt) - started_since + ended_since


def _count_after(times_ms: collections.deque[int], as_of_ms: int) -> int:
    count = 0
    for time_ms in reversed(times_ms):
        if time_ms <= as_of_ms:
            break
        count += 1
    return count
