"""Collection of the metrics of all instances."""

from __future__ import annotations

from concurrent import futures

import result

from bambooglade.router import operator_messages as messages
from bambooglade.table import rows
from bambooglade_ctl import client
from bambooglade_ctl import outcomes
from bambooglade_ctl.burn import events

_MAX_THREADS = 16


def take_snapshot(
    operator_client: client.OperatorClient, *, at_ms: int
) -> result.Result[events.Snapshot, outcomes.CommandFailure]:
    """Returns the objectives, and the counters of every instance.

    Args:
        operator_client: A client of any instance.
        at_ms: Time of the snapshot; milliseconds since the epoch.
    """
    row_list = operator_client.rows("objective/")
    if isinstance(row_list, result.Err):
        return row_list
    fleet = operator_client.fleet()
    if isinstance(fleet, result.Err):
        return fleet
    objectives = tuple(
        versioned.row
        for versioned in row_list.ok_value.rows
        if isinstance(versioned.row, rows.ObjectiveRow)
    )
    return result.Ok(
        _read_counters(
            operator_client, fleet.ok_value, objectives=objectives, at_ms=at_ms
        )
    )


def _read_counters(
    operator_client: client.OperatorClient,
    fleet: messages.FleetDescription,
    *,
    objectives: tuple[rows.ObjectiveRow, ...],
    at_ms: int,
) -> events.Snapshot:
    instances = [
        instance
        for instance in fleet.instances
        if instance.state is not messages.InstanceState.GONE
    ]
    with futures.ThreadPoolExecutor(_MAX_THREADS) as pool:
        responses = list(
            pool.map(
                lambda instance: operator_client.for_instance(
                    instance.url
                ).metrics(),
                instances,
            )
        )
    instance_responses = list(zip(instances, responses, strict=True))
    return events.Snapshot(
        at_ms=at_ms,
        objectives=objectives,
        instances=tuple(
            events.InstanceCounts(
                instance_id=instance.instance_id,
                counts=events.read_counts(response.ok_value, objectives),
            )
            for instance, response in instance_responses
            if isinstance(response, result.Ok)
        ),
        unreachable=tuple(
            instance.instance_id
            for instance, response in instance_responses
            if response.is_err()
        ),
    )
