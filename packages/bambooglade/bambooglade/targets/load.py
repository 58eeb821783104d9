"""Load of targets: lagging reports, corrected by the own dispatches since."""

from __future__ import annotations

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import math

import msgspec

from bambooglade.core import identifiers

REPORT_EXPIRY_MS = 10_000
"""Age from which a report is ignored and only own dispatches count."""

INITIAL_SERVICE_MS = 2_000.0
EWMA_WEIGHT = 0.1
"""Weight of a new observation in a running mean."""

MAX_SENDERS = 64.0
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

    The own requests are known exactly. Those of the other instances are known
    from reports only: what a report says of one target relative to the others
    fades with the age of the report, and it is divided by the number of
    instances that see the same report and will all react to it. Without that,
    they send their requests to the same target until the next report.

    Args:
        expiry_ms: Age from which a report is ignored.

    Examples:
        >>> tracker = LoadTracker()
        >>> tracker.apply_report("e1", LoadReport(running=5, age_ms=400), 1_000)
        >>> tracker.record_start("e1", "a", 700)
        >>> tracker.estimates(["e1"], 1_000)
        {'e1': 6.0}
    """

    __slots__ = ("_by_target", "_expiry_ms", "_sharers")

    def __init__(self, *, expiry_ms: int = REPORT_EXPIRY_MS) -> None:
        self._expiry_ms = expiry_ms
        self._sharers = 1.0
        self._by_target: dict[identifiers.TargetId, _TargetLoad] = (
            collections.defaultdict(_TargetLoad)
        )

    def apply_report(
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
            load.others = max(
                0, report.running + report.waiting - load.own_at(as_of_ms)
            )
            self._count_sharers()

    def record_start(
        self, target_id: identifiers.TargetId, attempt_id: str, now_ms: int
    ) -> None:
        """Notes a dispatch of this instance."""
        load = self._by_target[target_id]
        load.started_ms_by_attempt[attempt_id] = now_ms
        load.starts_ms.append(now_ms)

    def record_end(
        self, target_id: identifiers.TargetId, attempt_id: str, now_ms: int
    ) -> None:
        """Notes the end of a dispatch; doing so again has no effect."""
        load = self._by_target[target_id]
        started_ms = load.started_ms_by_attempt.pop(attempt_id, None)
        if started_ms is None:
            return
        load.ends_ms.append(now_ms)
        took_ms = now_ms - started_ms
        load.service_ms += EWMA_WEIGHT * (took_ms - load.service_ms)

    def own_requests(self, target_id: identifiers.TargetId) -> int:
        """Returns how many requests of this instance the target has."""
        return len(self._by_target[target_id].started_ms_by_attempt)

    def estimates(
        self, target_ids: Sequence[identifiers.TargetId], now_ms: int
    ) -> Mapping[identifiers.TargetId, float]:
        """Returns about how many requests each target of a service has."""
        known = [
            load.others
            for load in map(self._by_target.__getitem__, target_ids)
            if now_ms - load.as_of_ms <= self._expiry_ms
        ]
        mean = sum(known) / len(known) if known else 0.0
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
        trust = math.exp(-age_ms / max(1.0, load.service_ms))
        return own + mean + (load.others - mean) * trust / self._sharers

    def _count_sharers(self) -> None:
        """Estimates how many instances send requests, by their loads."""
        own = sum(
            len(t.started_ms_by_attempt) for t in self._by_target.values()
        )
        others = sum(load.others for load in self._by_target.values())
        if own:
            count = min(1.0 + others / own, MAX_SENDERS)
            self._sharers += EWMA_WEIGHT * (count - self._sharers)

    def __repr__(self) -> str:
        return f"LoadTracker(targets={len(self._by_target)})"


class _TargetLoad:
    """What is known of one target."""

    __slots__ = (
        "as_of_ms",
        "ends_ms",
        "others",
        "service_ms",
        "started_ms_by_attempt",
        "starts_ms",
    )

    def __init__(self) -> None:
        self.as_of_ms = -REPORT_EXPIRY_MS
        self.others = 0
        self.service_ms = INITIAL_SERVICE_MS
        self.started_ms_by_attempt: dict[str, int] = {}
        self.starts_ms = collections.deque(maxlen=_HISTORY_LENGTH)
        self.ends_ms = collections.deque(maxlen=_HISTORY_LENGTH)

    def own_at(self, time_ms: int) -> int:
        """Returns how many own requests the target had at a time."""
        started_since = _after(self.starts_ms, time_ms)
        ended_since = _after(self.ends_ms, time_ms)
        return len(self.started_ms_by_attempt) - started_since + ended_since


def _after(times_ms: collections.deque[int], as_of_ms: int) -> int:
    count = 0
    for time_ms in reversed(times_ms):
        if time_ms <= as_of_ms:
            break
        count += 1
    return count
