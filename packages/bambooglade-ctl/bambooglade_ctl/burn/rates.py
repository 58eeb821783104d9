"""Burn rates over several windows, and the causes of bad events.

A burn rate of 1 uses up an objective's error budget in exactly its window. An
alert requires a high rate in a long window, which shows that the loss is
significant, and in a short one, which shows that it is still occurring.
"""

from __future__ import annotations

import bisect
import collections
from collections.abc import Iterable
import enum
import itertools

import msgspec

from bambooglade.table import rows
from bambooglade_ctl.burn import events
from bambooglade_ctl.burn import history

_MS_PER_MINUTE = 60_000
_HOURS_PER_DAY = 24
MAX_CAUSES = 10


class Alert(enum.StrEnum):
    """Severity of the burn rate of an error budget."""

    FAST = "fast"
    SLOW = "slow"
    NONE = "none"


class AlertRule(msgspec.Struct, frozen=True, kw_only=True):
    """Two windows that must both exceed the threshold to raise an alert.

    Attributes:
        budget_share: Share of the error budget that may be used up within the
            long window.
    """

    alert: Alert
    short_minutes: int
    long_minutes: int
    budget_share: float

    def threshold(self, objective: rows.ObjectiveRow) -> float:
        """Returns the burn rate at or above which the rule raises its alert.

        Examples:
            >>> month = rows.ObjectiveRow(service="s", window_days=30)
            >>> [round(rule.threshold(month), 1) for rule in RULES]
            [14.4, 6.0]
        """
        window_hours = objective.window_days * _HOURS_PER_DAY
        return self.budget_share * window_hours / (self.long_minutes / 60)


RULES = (
    AlertRule(
        alert=Alert.FAST, short_minutes=5, long_minutes=60, budget_share=0.02
    ),
    AlertRule(
        alert=Alert.SLOW, short_minutes=30, long_minutes=360, budget_share=0.05
    ),
)
WINDOWS_MINUTES = tuple(
    sorted(
        {
            minutes
            for rule in RULES
            for minutes in (rule.short_minutes, rule.long_minutes)
        }
    )
)


class WindowBurn(msgspec.Struct, frozen=True, kw_only=True):
    """Events and burn rate of one window.

    Attributes:
        burn_rate: None if there were no events.
        is_covered: Whether the history covers the whole window.
    """

    minutes: int
    good: int
    bad: int
    burn_rate: float | None
    is_covered: bool


class CauseCount(msgspec.Struct, frozen=True, kw_only=True):
    """Bad events of one cause at one target."""

    cause: str
    target_id: str
    availability_zone: str
    count: int


class BurnPoint(msgspec.Struct, frozen=True, kw_only=True):
    """Burn rate of the window that ends at `at_ms`; None without events."""

    at_ms: int
    minutes: int
    burn_rate: float | None


class ObjectiveBurn(msgspec.Struct, frozen=True, kw_only=True):
    """Burn rates and alert of one objective.

    Attributes:
        causes: Bad events of the longest window, most frequent first.
        course: Burn rates over the history.
    """

    objective: rows.ObjectiveRow
    alert: Alert
    windows: tuple[WindowBurn, ...]
    causes: tuple[CauseCount, ...]
    course: tuple[BurnPoint, ...]


class BurnReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report on the burn rates of all objectives.

    Attributes:
        from_ms: Time of the first snapshot; milliseconds since the epoch.
        at_ms: Time of the last snapshot.
        unreachable: Instances that did not respond for the last snapshot.
    """

    from_ms: int
    at_ms: int
    instances: int
    unreachable: tuple[str, ...]
    objectives: tuple[ObjectiveBurn, ...]

    @property
    def is_burning(self) -> bool:
        """Whether any objective raises an alert."""
        return any(
            objective.alert is not Alert.NONE for objective in self.objectives
        )


class _CumulativeCounts:
    """Cumulative good and bad events, for sums over any window."""

    __slots__ = ("_bad", "_good", "_times")

    def __init__(self, increases: list[history.Increase]) -> None:
        good = [
            increase.count * (increase.series.cause == events.GOOD)
            for increase in increases
        ]
        self._times = [increase.at_ms for increase in increases]
        self._good = [0, *itertools.accumulate(good)]
        counts = (increase.count for increase in increases)
        self._bad = [
            total - part
            for total, part in zip(
                [0, *itertools.accumulate(counts)], self._good, strict=True
            )
        ]

    def window(
        self, objective: rows.ObjectiveRow, *, minutes: int, at_ms: int
    ) -> WindowBurn:
        """Returns the sums of the window that ends at `at_ms`."""
        begin = bisect.bisect_right(
            self._times, at_ms - minutes * _MS_PER_MINUTE
        )
        end = bisect.bisect_right(self._times, at_ms)
        good = self._good[end] - self._good[begin]
        bad = self._bad[end] - self._bad[begin]
        return WindowBurn(
            minutes=minutes,
            good=good,
            bad=bad,
            burn_rate=_burn_rate(objective, good, bad),
            is_covered=True,
        )


def _burn_rate(
    objective: rows.ObjectiveRow, good: int, bad: int
) -> float | None:
    if not good + bad:
        return None
    return bad / (good + bad) / (1 - objective.share)


def report(snapshots: tuple[events.Snapshot, ...]) -> BurnReport:
    """Reports on the objectives of the last snapshot.

    Args:
        snapshots: One or more snapshots, in order of time.
    """
    last = snapshots[-1]
    by_row_key: dict[str, list[history.Increase]] = collections.defaultdict(
        list
    )
    for increase in history.increases(snapshots):
        objective = events.objective_of(
            last.objectives,
            service=increase.series.service,
            request_kind=increase.series.request_kind,
        )
        if objective is not None:
            by_row_key[objective.row_key].append(increase)
    return BurnReport(
        from_ms=snapshots[0].at_ms,
        at_ms=last.at_ms,
        instances=len(last.instances),
        unreachable=last.unreachable,
        objectives=tuple(
            _objective_burn(objective, by_row_key[objective.row_key], snapshots)
            for objective in last.objectives
        ),
    )


def _objective_burn(
    objective: rows.ObjectiveRow,
    increases: list[history.Increase],
    snapshots: tuple[events.Snapshot, ...],
) -> ObjectiveBurn:
    totals = _CumulativeCounts(increases)
    now_ms = snapshots[-1].at_ms
    covered_ms = now_ms - snapshots[0].at_ms
    windows = tuple(
        msgspec.structs.replace(
            totals.window(objective, minutes=minutes, at_ms=now_ms),
            is_covered=covered_ms >= minutes * _MS_PER_MINUTE,
        )
        for minutes in WINDOWS_MINUTES
    )
    longest_ms = max(WINDOWS_MINUTES) * _MS_PER_MINUTE
    return ObjectiveBurn(
        objective=objective,
        alert=_alert(objective, windows),
        windows=windows,
        causes=_most_frequent_causes(
            increase
            for increase in increases
            if increase.at_ms > now_ms - longest_ms
        ),
        course=tuple(
            BurnPoint(
                at_ms=snapshot.at_ms,
                minutes=minutes,
                burn_rate=totals.window(
                    objective, minutes=minutes, at_ms=snapshot.at_ms
                ).burn_rate,
            )
            for minutes in WINDOWS_MINUTES
            for snapshot in snapshots[1:]
        ),
    )


def _alert(
    objective: rows.ObjectiveRow, windows: tuple[WindowBurn, ...]
) -> Alert:
    rate_by_minutes = {
        window.minutes: window.burn_rate or 0.0 for window in windows
    }
    for rule in RULES:
        lower_rate = min(
            rate_by_minutes[rule.short_minutes],
            rate_by_minutes[rule.long_minutes],
        )
        if lower_rate >= rule.threshold(objective):
            return rule.alert
    return Alert.NONE


def _most_frequent_causes(
    increases: Iterable[history.Increase],
) -> tuple[CauseCount, ...]:
    count_by_cause: collections.Counter[tuple[str, str, str]] = (
        collections.Counter()
    )
    for increase in increases:
        series = increase.series
        if series.cause != events.GOOD:
            cause_key = (
                series.cause,
                series.target_id,
                series.availability_zone,
            )
            count_by_cause[cause_key] += increase.count
    return tuple(
        CauseCount(
            cause=cause,
            target_id=target_id,
            availability_zone=zone,
            count=count,
        )
        for (cause, target_id, zone), count in count_by_cause.most_common(
            MAX_CAUSES
        )
    )
