"""Gathers the decisions on a request from all instances that know it."""

from __future__ import annotations

from concurrent import futures

import result

from bambooglade.router import operator_messages as messages
from bambooglade_ctl import client
from bambooglade_ctl import outcomes

_MAX_THREADS = 16


def gather(
    ctl: client.OperatorClient, key: str
) -> result.Result[messages.Explanation, outcomes.CommandFailed]:
    """Asks every instance, and puts what they know in order of time.

    Args:
        ctl: A client of any instance.
        key: Key of the request.

    Returns:
        The decisions; `seen_by` names the instances that knew the key and
        those that did not answer.
    """
    fleet = ctl.fleet()
    if isinstance(fleet, result.Err):
        return fleet
    instances = [
        one
        for one in fleet.ok_value.instances
        if one.state is not messages.InstanceState.GONE
    ]
    with futures.ThreadPoolExecutor(_MAX_THREADS) as pool:
        answers = list(
            pool.map(lambda one: ctl.at(one.url).explain(key), instances)
        )
    explanations = [one.ok_value for one in answers if one.is_ok()]
    silent = [
        one.instance_id
        for one, answer in zip(instances, answers, strict=True)
        if answer.is_err()
    ]
    return result.Ok(_merge(key, explanations, silent))


def _merge(
    key: str,
    explanations: list[messages.Explanation],
    silent: list[str],
) -> messages.Explanation:
    decisions = [
        decision
        for explanation in explanations
        for decision in explanation.decisions
    ]
    knowing = [one.seen_by for one in explanations if one.decisions]
    unheard = [f"{name} (no answer)" for name in silent]
    return messages.Explanation(
        key=key,
        seen_by=", ".join([*knowing, *unheard]),
        decisions=tuple(sorted(decisions, key=lambda one: one.at_ms)),
    )
