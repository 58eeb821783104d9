"""Converts the arbiter's record of a key into its status for the caller."""

from __future__ import annotations

import functools

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.operations import look_ups
from bambooglade.operations import messages
from bambooglade.router import calls_port

_STATE_BY_OUTCOME = {
    messages.OutcomeState.NOT_RECORDED: calls_port.CallState.ABSENT,
    messages.OutcomeState.IN_PROGRESS: calls_port.CallState.IN_PROGRESS,
    messages.OutcomeState.FINISHED: calls_port.CallState.FINISHED,
    messages.OutcomeState.UNKNOWN: calls_port.CallState.UNKNOWN,
}


@functools.singledispatch
def status_of(
    effect: effects.Effect,
    *,
    key: identifiers.RequestKey,
    team_id: identifiers.TeamId,
) -> calls_port.CallStatus:
    """Returns the status of a key from the result of its look-up.

    Args:
        effect: The result of the look-up.
        key: The key that was looked up.
        team_id: The requesting team; a call of another team is reported as
            absent.

    Raises:
        TypeError: If the effect is not the result of a look-up.
    """
    raise TypeError(f"{effect!r} is not the result of a look-up of {key}")


@status_of.register
def _(
    effect: look_ups.OutcomeFound,
    *,
    key: identifiers.RequestKey,
    team_id: identifiers.TeamId,
) -> calls_port.CallStatus:
    outcome = effect.outcome
    if outcome.fingerprint and not calls_port.belongs_to_team(
        outcome.fingerprint, team_id
    ):
        return calls_port.CallStatus(key=key, state=calls_port.CallState.ABSENT)
    state = _STATE_BY_OUTCOME[outcome.state]
    bill = None
    if state is calls_port.CallState.FINISHED:
        bill = calls.Bill(key=key, spent_tokens=outcome.spent_tokens)
    return calls_port.CallStatus(
        key=key,
        state=state,
        bill=bill,
        response=outcome.answer,
        explanation=(f"target={outcome.target_id}",)
        if outcome.target_id
        else (),
    )


@status_of.register
def _(
    effect: look_ups.OutcomeUnavailable,
    *,
    key: identifiers.RequestKey,
    team_id: identifiers.TeamId,
) -> calls_port.CallStatus:
    del team_id
    return calls_port.CallStatus(
        key=key,
        state=calls_port.CallState.UNKNOWN,
        explanation=(
            "The arbiter of the key did not respond; repeat the request.",
        ),
    )
