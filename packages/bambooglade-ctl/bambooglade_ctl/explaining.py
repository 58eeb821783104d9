"""Gathers the decisions on a request from all instances."""

from __future__ import annotations

from concurrent import futures

import result

from bambooglade.router import operator_messages as messages
from bambooglade_ctl import client
from bambooglade_ctl import outcomes

_MAX_THREADS = 16


def gather(
    operator_client: client.OperatorClient, key: str
) -> result.Result[messages.Explanation, outcomes.CommandFailure]:
    """Queries every instance, and merges the decisions in order of time.

    Args:
        operator_client: A client of any instance.
        key: Key of the request.

    Returns:
        The decisions; `seen_by` names the instances that have decisions on
        the key, and those that did not respond.
    """
    fleet = operator_client.fleet()
    if isinstance(fleet, result.Err):
        return fleet
    instances = [
        instance
        for instance in fleet.ok_value.instances
        if instance.state is not messages.InstanceState.GONE
    ]
    with futures.ThreadPoolExecutor(_MAX_THREADS) as pool:
        responses = list(
            pool.map(
                lambda instance: operator_client.for_instance(
                    instance.url
                ).explain(key),
                instances,
            )
        )
    explanations = [
        response.ok_value for response in responses if response.is_ok()
    ]
    unresponsive_ids = [
        instance.instance_id
        for instance, response in zip(instances, responses, strict=True)
        if response.is_err()
    ]
    return result.Ok(_merge(key, explanations, unresponsive_ids))


def _merge(
    key: str,
    explanations: list[messages.Explanation],
    unresponsive_ids: list[str],
) -> messages.Explanation:
    decisions = [
        decision
        for explanation in explanations
        for decision in explanation.decisions
    ]
    deciding_ids = [
        explanation.seen_by
        for explanation in explanations
        if explanation.decisions
    ]
    unresponsive = [f"{name} (no answer)" for name in unresponsive_ids]
    return messages.Explanation(
        key=key,
        seen_by=", ".join([*deciding_ids, *unresponsive]),
        decisions=tuple(sorted(decisions, key=lambda decision: decision.at_ms)),
    )
