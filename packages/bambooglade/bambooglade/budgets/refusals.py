"""Whether rights may still come for a waiting request, and why not."""

from __future__ import annotations

from typing import NamedTuple

from bambooglade.budgets import account_state
from bambooglade.budgets import messages
from bambooglade.core import identifiers

RETRY_AFTER_MS = 2_000
"""When to ask again for rights that could not be reached."""

SERVICE_FAILURES = 3
"""Failed requests to the service after which it is not waited for."""


class Refusal(NamedTuple):
    """Why a waiting request is refused."""

    reason: messages.RefusalReason
    detail: str
    retry_after_ms: int | None


class Surroundings(NamedTuple):
    """What an account can't know by itself.

    Attributes:
        own_zone: Zone of the account.
        service_failures: Requests to the platform's service that failed in a
            row.
        limit_pending: Whether a spend limit of the table is still to be
            written to the document.
    """

    own_zone: identifiers.AvailabilityZone
    service_failures: int
    limit_pending: bool = False


def refusal(
    state: account_state.AccountState,
    waiter: account_state.Waiter,
    around: Surroundings,
    now_ms: int,
) -> Refusal | None:
    """Returns why a request is refused now, or None while it may wait.

    It is refused at its deadline, or as soon as nothing more can come.
    """
    is_over = now_ms >= waiter.request.deadline_ms
    if not is_over and _may_come(state, waiter, around, now_ms):
        return None
    if state.ledger is None:
        return _without_ledger(state, waiter, around)
    return _with_ledger(state, waiter, around, now_ms)


def _may_come(
    state: account_state.AccountState,
    waiter: account_state.Waiter,
    around: Surroundings,
    now_ms: int,
) -> bool:
    service_answers = around.service_failures < SERVICE_FAILURES
    if service_answers and (
        around.limit_pending or not state.is_fresh(waiter.since_ms)
    ):
        return True
    if state.ledger is None:
        return False
    bound = waiter.request.bound_tokens
    account = state.account
    own = account.unused + state.coming_back_tokens
    if own + _open_held(state) >= bound:
        return True
    if bound > _ever_possible(state):
        return False
    coming = state.ledger.free_tokens if service_answers else 0
    coming += _reported_elsewhere(state, around.own_zone)
    pending = any(
        recall.is_pending(now_ms) for recall in state.recall_by_zone.values()
    )
    return pending or own + _open_held(state) + max(0, coming) >= bound


def _open_held(state: account_state.AccountState) -> int:
    account = state.account
    return sum(
        record.bound_tokens
        for number, record in account.open_by_number.items()
        if number.epoch != account.epoch
        and not state.is_gone(record.reservation_id.entry)
    )


def _ever_possible(state: account_state.AccountState) -> int:
    return max(state.remaining_tokens, state.account.rights)


def _reported_elsewhere(
    state: account_state.AccountState, own_zone: identifiers.AvailabilityZone
) -> int:
    recalls = (
        state.recall_by_zone.get(zone)
        for zone in state.zones_with_rights(own_zone)
    )
    return sum(
        recall.answer.returned_tokens
        + recall.answer.reserved_tokens
        + recall.answer.unused_tokens
        for recall in recalls
        if recall is not None and recall.answer is not None
    )


def _without_ledger(
    state: account_state.AccountState,
    waiter: account_state.Waiter,
    around: Surroundings,
) -> Refusal:
    if state.is_fresh(waiter.since_ms):
        return Refusal(
            messages.RefusalReason.UNKNOWN_BUDGET,
            f"The budget {waiter.request.budget_id} was never topped up.",
            None,
        )
    return Refusal(
        messages.RefusalReason.UNREACHABLE,
        f"The zone {around.own_zone} has no rights of "
        f"{waiter.request.budget_id}, and the platform's service does not "
        "answer.",
        RETRY_AFTER_MS,
    )


def _with_ledger(
    state: account_state.AccountState,
    waiter: account_state.Waiter,
    around: Surroundings,
    now_ms: int,
) -> Refusal:
    bound = waiter.request.bound_tokens
    reasons = list(_out_of_reach(state, around, now_ms))
    if bound <= state.remaining_tokens and reasons:
        return Refusal(
            messages.RefusalReason.UNREACHABLE,
            f"{bound} tokens are asked for and {state.account.free} are free "
            f"in {around.own_zone}; " + "; ".join(reasons) + ".",
            RETRY_AFTER_MS,
        )
    reserved = state.coming_back_tokens + _reported_elsewhere(
        state, around.own_zone
    )
    return Refusal(
        messages.RefusalReason.EXHAUSTED,
        f"{bound} tokens are asked for; {state.remaining_tokens} are left, of "
        f"which {reserved} are reserved by requests in progress.",
        RETRY_AFTER_MS if reserved >= bound else None,
    )


def _out_of_reach(
    state: account_state.AccountState, around: Surroundings, now_ms: int
) -> list[str]:
    reasons = []
    if around.service_failures >= SERVICE_FAILURES:
        reasons.append("the platform's service does not answer")
    abandoned = state.abandoned_tokens
    if abandoned > 0:
        reasons.append(f"{abandoned} are reserved by instances that are gone")
    held = state.account.held_tokens
    if held > 0:
        reasons.append(f"{held} are held here for an earlier primary")
    for zone in state.zones_with_rights(around.own_zone):
        recall = state.recall_by_zone.get(zone)
        if recall is None or recall.answer is None:
            reasons.append(f"the zone {zone} does not answer")
        elif recall.answer.held_tokens > 0:
            reasons.append(f"{recall.answer.held_tokens} are held in {zone}")
    return reasons
