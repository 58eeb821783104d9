"""Counts of good and bad events, read from the instances' metrics."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import math
import re

import msgspec

from bambooglade.router import metrics
from bambooglade.table import rows

GOOD = "good"
LATE = "late"

CLIENT_CAUSES = frozenset(
    {
        "bad_request",
        "budget_exhausted",
        "invalid_key",
        "key_expired",
        "key_reused",
        "not_authorized",
        "not_found",
    }
)
"""Refusals caused by the client or its budget, which are not events."""

_MS_PER_S = 1_000
_LINE = re.compile(r"^(\w+)\{(.*)\} (\S+)$")
_LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')


class Series(msgspec.Struct, frozen=True, kw_only=True):
    """Labels that identify one counter.

    Attributes:
        cause: `good`, `late`, or outcome and kind such as
            `refused/overloaded`.
    """

    service: str
    request_kind: str
    availability_zone: str
    target_id: str
    cause: str


class SeriesCount(msgspec.Struct, frozen=True, kw_only=True):
    """A counter of one instance, which is 0 when the instance starts."""

    series: Series
    count: int


class InstanceCounts(msgspec.Struct, frozen=True, kw_only=True):
    """All counters of one instance since its start."""

    instance_id: str
    counts: tuple[SeriesCount, ...]


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The counters of all instances that responded at one time.

    Attributes:
        at_ms: When they were read; milliseconds since the epoch.
        objectives: The objectives in force at that time.
        unreachable: Instances that did not respond.
    """

    at_ms: int
    objectives: tuple[rows.ObjectiveRow, ...]
    instances: tuple[InstanceCounts, ...]
    unreachable: tuple[str, ...] = ()


class _Sample(msgspec.Struct, frozen=True, kw_only=True):
    """One sample of the metrics."""

    name: str
    label_by_name: dict[str, str]
    value: float


def objective_of(
    objectives: Iterable[rows.ObjectiveRow], *, service: str, request_kind: str
) -> rows.ObjectiveRow | None:
    """Returns the objective for a request kind, preferring an exact match.

    Examples:
        >>> general = rows.ObjectiveRow(service="till-api")
        >>> objective_of([general], service="till-api",
        ...     request_kind="deduct") is general
        True
    """
    candidates = [
        objective
        for objective in objectives
        if objective.service == service
        and objective.request_kind in (request_kind, rows.ANY)
    ]
    return min(
        candidates,
        key=lambda objective: objective.request_kind == rows.ANY,
        default=None,
    )


def read_counts(
    text: str, objectives: tuple[rows.ObjectiveRow, ...]
) -> tuple[SeriesCount, ...]:
    """Reads the counters of an instance.

    Args:
        text: Metrics in the text format.
        objectives: Only requests to which an objective applies are counted. A
            request counts as in time if it falls within the largest histogram
            bucket that does not exceed the objective's threshold.
    """
    samples = list(_parse_samples(text))
    in_time = _in_time_counts(samples, objectives)
    count_by_series: dict[Series, int] = {}
    for sample in samples:
        if sample.name != metrics.REQUESTS_TOTAL:
            continue
        for series, count in _classified_counts(sample, objectives, in_time):
            count_by_series[series] = count_by_series.get(series, 0) + count
    return tuple(
        SeriesCount(series=series, count=count)
        for series, count in count_by_series.items()
    )


def _classified_counts(
    sample: _Sample,
    objectives: tuple[rows.ObjectiveRow, ...],
    in_time: dict[Series, int],
) -> Iterator[tuple[Series, int]]:
    label = sample.label_by_name
    good = _series(label, cause=GOOD)
    objective = objective_of(
        objectives, service=good.service, request_kind=good.request_kind
    )
    if objective is None or label["cause"] in CLIENT_CAUSES:
        return
    total = int(sample.value)
    if label["outcome"] == metrics.Outcome.FINISHED:
        yield good, in_time.get(good, 0)
        yield _series(label, cause=LATE), total - in_time.get(good, 0)
    else:
        cause = f"{label['outcome']}/{label['cause']}"
        yield _series(label, cause=cause), total


def _in_time_counts(
    samples: list[_Sample], objectives: tuple[rows.ObjectiveRow, ...]
) -> dict[Series, int]:
    """Counts the finished requests that met their objective's threshold."""
    count_by_series: dict[Series, int] = {}
    for sample in samples:
        label = sample.label_by_name
        is_bucket = sample.name == f"{metrics.LATENCY_SECONDS}_bucket"
        if not is_bucket or label["outcome"] != metrics.Outcome.FINISHED:
            continue
        good = _series(label, cause=GOOD)
        objective = objective_of(
            objectives, service=good.service, request_kind=good.request_kind
        )
        if objective is None:
            continue
        if float(label["le"]) * _MS_PER_S <= objective.threshold_ms:
            count_by_series[good] = max(
                count_by_series.get(good, 0), int(sample.value)
            )
    return count_by_series


def _series(label: dict[str, str], *, cause: str) -> Series:
    return Series(
        service=label["service"],
        request_kind=label["kind"],
        availability_zone=label["zone"],
        target_id=label["target"],
        cause=cause,
    )


def _parse_samples(text: str) -> Iterator[_Sample]:
    for line in text.splitlines():
        line_match = _LINE.match(line)
        if line_match is None:
            continue
        name, labels, value = line_match.groups()
        number = float(value)
        if math.isfinite(number):
            yield _Sample(
                name=name,
                label_by_name=dict(_LABEL.findall(labels)),
                value=number,
            )
