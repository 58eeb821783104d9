"""Generated histories: a calm fleet in which one target goes slow."""

from __future__ import annotations

from bambooglade.router import metrics
from bambooglade.table import rows
from bambooglade_ctl.burn import events

START_MS = 1_700_000_000_000
STEP_MS = 60_000
PLAN = rows.ObjectiveRow(
    service="pantry-llm", request_kind="plan", threshold_ms=1_000, share=0.95
)
TILL = rows.ObjectiveRow(service="till-api", threshold_ms=250, share=0.999)
OBJECTIVES = (PLAN, TILL)


def _end(number: int, minute: int, *, slow_from: int) -> metrics.RequestEnd:
    """Returns one request; from a minute on, target e2 answers late."""
    is_slow = minute >= slow_from and number % 2
    is_refused = is_slow and number % 10 == 9
    return metrics.RequestEnd(
        service="pantry-llm",
        request_kind="plan",
        outcome=(
            metrics.Outcome.REFUSED if is_refused else metrics.Outcome.FINISHED
        ),
        cause="overloaded" if is_refused else "",
        availability_zone="scot-a" if number % 2 else "scot-b",
        target_id="" if is_refused else ("e2" if number % 2 else "e1"),
        latency_ms=4_000 if is_slow else 300,
    )


def _till(number: int) -> metrics.RequestEnd:
    return metrics.RequestEnd(
        service="till-api",
        request_kind="deduct",
        outcome=metrics.Outcome.FINISHED,
        availability_zone="scot-a",
        target_id=f"till-{number % 4}",
        latency_ms=20,
    )


def snapshots(
    *, minutes: int, slow_from: int, requests_per_minute: int = 20
) -> tuple[events.Snapshot, ...]:
    """Returns a snapshot a minute of one instance's real metrics."""
    counted = metrics.Metrics()
    taken = []
    for minute in range(minutes):
        for number in range(requests_per_minute):
            counted.record_request_end(
                _end(number, minute, slow_from=slow_from)
            )
            counted.record_request_end(_till(number))
        text = counted.render().body.decode()
        taken.append(
            events.Snapshot(
                at_ms=START_MS + minute * STEP_MS,
                objectives=OBJECTIVES,
                instances=(
                    events.InstanceCounts(
                        instance_id="i1",
                        counts=events.read_counts(text, OBJECTIVES),
                    ),
                ),
            )
        )
    return tuple(taken)
