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

CALLERS_CAUSES = frozenset(
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
"""Refusals that a caller or the prepaid amount causes; they are no events."""

_MS_PER_S = 1_000
_LINE = re.compile(r"^(\w+)\{(.*)\} (\S+)$")
_LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')


class Series(msgspec.Struct, frozen=True, kw_only=True):
    """What is counted separately.

    Attributes:
        cause: `good`, `late`, or outcome and kind such as
            `refused/overloaded`.
    """

    service: str
    request_kind: str
    availability_zone: str
    target_id: str
    cause: str


class Count(msgspec.Struct, frozen=True, kw_only=True):
    """A counter of one instance; it starts at 0 with the instance."""

    series: Series
    count: int


class InstanceCounts(msgspec.Struct, frozen=True, kw_only=True):
    """All counters of one start of an instance."""

    instance_id: str
    counts: tuple[Count, ...]


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The counters of all instances that answered at one time.

    Attributes:
        at_ms: When they were read; milliseconds since the epoch.
        objectives: The objectives in force then.
        unreachable: Instances that did not answer.
    """

    at_ms: int
    objectives: tuple[rows.ObjectiveRow, ...]
    instances: tuple[InstanceCounts, ...]
    unreachable: tuple[str, ...] = ()


class _Sample(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the metrics."""

    name: str
    label_by_name: dict[str, str]
    value: float


def objective_of(
    objectives: Iterable[rows.ObjectiveRow], *, service: str, request_kind: str
) -> rows.ObjectiveRow | None:
    """Returns the objective for a kind of request; the exact one goes first.

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
        candidates, key=lambda one: one.request_kind == rows.ANY, default=None
    )


def read_counts(
    text: str, objectives: tuple[rows.ObjectiveRow, ...]
) -> tuple[Count, ...]:
    """Reads the counters of an instance.

    Args:
        text: Metrics in the text format.
        objectives: Only requests that one of them applies to are counted. A
            request is in time when it is in the last bucket that ends at or
            before the objective's threshold.
    """
    samples = list(_samples(text))
    in_time = _in_time(samples, objectives)
    counted: dict[Series, int] = {}
    for sample in samples:
        if sample.name != metrics.REQUESTS_TOTAL:
            continue
        for series, count in _events(sample, objectives, in_time):
            counted[series] = counted.get(series, 0) + count
    return tuple(
        Count(series=series, count=count) for series, count in counted.items()
    )


def _events(
    sample: _Sample,
    objectives: tuple[rows.ObjectiveRow, ...],
    in_time: dict[Series, int],
) -> Iterator[tuple[Series, int]]:
    label = sample.label_by_name
    good = _series(label, cause=GOOD)
    objective = objective_of(
        objectives, service=good.service, request_kind=good.request_kind
    )
    if objective is None or label["cause"] in CALLERS_CAUSES:
        return
    total = int(sample.value)
    if label["outcome"] == metrics.Outcome.FINISHED:
        yield good, in_time.get(good, 0)
        yield _series(label, cause=LATE), total - in_time.get(good, 0)
    else:
        cause = f"{label['outcome']}/{label['cause']}"
        yield _series(label, cause=cause), total


def _in_time(
    samples: list[_Sample], objectives: tuple[rows.ObjectiveRow, ...]
) -> dict[Series, int]:
    """Counts the finished requests that met their objective's threshold."""
    counted: dict[Series, int] = {}
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
            counted[good] = max(counted.get(good, 0), int(sample.value))
    return counted


def _series(label: dict[str, str], *, cause: str) -> Series:
    return Series(
        service=label["service"],
        request_kind=label["kind"],
        availability_zone=label["zone"],
        target_id=label["target"],
        cause=cause,
    )


def _samples(text: str) -> Iterator[_Sample]:
    for line in text.splitlines():
        found = _LINE.match(line)
        if found is None:
            continue
        name, labels, value = found.groups()
        number = float(value)
        if math.isfinite(number):
            yield _Sample(
                name=name,
                label_by_name=dict(_LABEL.findall(labels)),
                value=number,
            )
