"""Reads the metrics of all instances."""

from __future__ import annotations

from concurrent import futures

import result

from bambooglade.router import operator_messages as messages
from bambooglade.table import rows
from bambooglade_ctl import client
from bambooglade_ctl import outcomes
from bambooglade_ctl.burn import events

_MAX_THREADS = 16


def take(
    ctl: client.OperatorClient, *, at_ms: int
) -> result.Result[events.Snapshot, outcomes.CommandFailed]:
    """Reads the objectives, and the counters of every instance.

    Args:
        ctl: A client of any instance.
        at_ms: The time; milliseconds since the epoch.
    """
    listed = ctl.rows("objective/")
    if isinstance(listed, result.Err):
        return listed
    fleet = ctl.fleet()
    if isinstance(fleet, result.Err):
        return fleet
    objectives = tuple(
        versioned.row
        for versioned in listed.ok_value.rows
        if isinstance(versioned.row, rows.ObjectiveRow)
    )
    return result.Ok(
        _read_all(ctl, fleet.ok_value, objectives=objectives, at_ms=at_ms)
    )


def _read_all(
    ctl: client.OperatorClient,
    fleet: messages.FleetDescription,
    *,
    objectives: tuple[rows.ObjectiveRow, ...],
    at_ms: int,
) -> events.Snapshot:
    instances = [
        one
        for one in fleet.instances
        if one.state is not messages.InstanceState.GONE
    ]
    with futures.ThreadPoolExecutor(_MAX_THREADS) as pool:
        answers = list(
            pool.map(lambda one: ctl.at(one.url).metrics(), instances)
        )
    pairs = list(zip(instances, answers, strict=True))
    return events.Snapshot(
        at_ms=at_ms,
        objectives=objectives,
        instances=tuple(
            events.InstanceCounts(
                instance_id=one.instance_id,
                counts=events.read_counts(answer.ok_value, objectives),
            )
            for one, answer in pairs
            if isinstance(answer, result.Ok)
        ),
        unreachable=tuple(
            one.instance_id for one, answer in pairs if answer.is_err()
        ),
    )
