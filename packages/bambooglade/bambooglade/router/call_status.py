"""Turns the arbiter's knowledge of a key into the answer for its caller."""

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
    """Returns what a look-up found out.

    Args:
        effect: The answer of the look-up.
        key: The key that was asked for.
        team_id: Who asks; another team's call is absent.
    """
    raise TypeError(f"{effect!r} does not answer a look-up of {key}")


@status_of.register
def _(
    effect: look_ups.OutcomeFound,
    *,
    key: identifiers.RequestKey,
    team_id: identifiers.TeamId,
) -> calls_port.CallStatus:
    found = effect.outcome
    if found.fingerprint and not calls_port.is_of_team(
        found.fingerprint, team_id
    ):
        return calls_port.CallStatus(key=key, state=calls_port.CallState.ABSENT)
    state = _STATE_BY_OUTCOME[found.state]
    bill = None
    if state is calls_port.CallState.FINISHED:
        bill = calls.Bill(key=key, spent_tokens=found.spent_tokens)
    return calls_port.CallStatus(
        key=key,
        state=state,
        bill=bill,
        answer=found.answer,
        explanation=(f"target={found.target_id}",) if found.target_id else (),
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
        explanation=("The arbiter of the key did not answer; ask again.",),
    )
