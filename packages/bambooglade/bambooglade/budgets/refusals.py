"""Decides whether a waiting request can still be served or is refused."""

from __future__ import annotations

from typing import NamedTuple

from bambooglade.budgets import account_state
from bambooglade.budgets import messages
from bambooglade.core import identifiers

RETRY_AFTER_MS = 2_000
"""Delay before a retry when rights could not be reached."""

MAX_SERVICE_FAILURES = 3
"""Consecutive failed requests after which the service counts as down."""


class Refusal(NamedTuple):
    """The refusal of a waiting request."""

    reason: messages.RefusalReason
    detail: str
    retry_after_ms: int | None


class RefusalContext(NamedTuple):
    """State outside an account that a refusal depends on.

    Attributes:
        own_zone: Zone of the account.
        service_failures: Consecutive failed requests to the platform's
            service.
        limit_pending: Whether a spend limit of the table has yet to be
            written to the document.
    """

    own_zone: identifiers.AvailabilityZone
    service_failures: int
    limit_pending: bool = False


def refusal(
    state: account_state.AccountState,
    waiter: account_state.Waiter,
    context: RefusalContext,
    now_ms: int,
) -> Refusal | None:
    """Returns the refusal of a request, or None while it may wait.

    A request is refused at its deadline, or as soon as no further rights can
    become available for it.
    """
    is_past_deadline = now_ms >= waiter.request.deadline_ms
    if not is_past_deadline and _can_be_served_later(
        state, waiter, context, now_ms
    ):
        return None
    if state.ledger is None:
        return _refusal_without_ledger(state, waiter, context)
    return _refusal_with_ledger(state, waiter, context, now_ms)


def _can_be_served_later(
    state: account_state.AccountState,
    waiter: account_state.Waiter,
    context: RefusalContext,
    now_ms: int,
) -> bool:
    is_service_available = context.service_failures < MAX_SERVICE_FAILURES
    if is_service_available and (
        context.limit_pending or not state.has_fresh_ledger(waiter.since_ms)
    ):
        return True
    if state.ledger is None:
        return False
    bound = waiter.request.bound_tokens
    account = state.account
    own = account.unused + state.reclaimable_tokens
    if own + _held_open_tokens(state) >= bound:
        return True
    if bound > _max_attainable_tokens(state):
        return False
    obtainable = state.ledger.free_tokens if is_service_available else 0
    obtainable += _tokens_in_other_zones(state, context.own_zone)
    is_recall_pending = any(
        recall.is_pending(now_ms) for recall in state.recall_by_zone.values()
    )
    return (
        is_recall_pending
        or own + _held_open_tokens(state) + max(0, obtainable) >= bound
    )


def _held_open_tokens(state: account_state.AccountState) -> int:
    account = state.account
    return sum(
        record.bound_tokens
        for number, record in account.open_by_number.items()
        if number.epoch != account.epoch
        and not state.is_suspected(record.reservation_id.entry)
    )


def _max_attainable_tokens(state: account_state.AccountState) -> int:
    return max(state.remaining_tokens, state.account.rights)


def _tokens_in_other_zones(
    state: account_state.AccountState, own_zone: identifiers.AvailabilityZone
) -> int:
    recalls = (
        state.recall_by_zone.get(zone)
        for zone in state.other_zones_with_rights(own_zone)
    )
    return sum(
        recall.response.returned_tokens
        + recall.response.reserved_tokens
        + recall.response.unused_tokens
        for recall in recalls
        if recall is not None and recall.response is not None
    )


def _refusal_without_ledger(
    state: account_state.AccountState,
    waiter: account_state.Waiter,
    context: RefusalContext,
) -> Refusal:
    if state.has_fresh_ledger(waiter.since_ms):
        return Refusal(
            messages.RefusalReason.UNKNOWN_BUDGET,
            f"The budget {waiter.request.budget_id} was never topped up.",
            None,
        )
    return Refusal(
        messages.RefusalReason.UNREACHABLE,
        f"The zone {context.own_zone} has no rights of "
        f"{waiter.request.budget_id}, and the platform's service does not "
        "respond.",
        RETRY_AFTER_MS,
    )


def _refusal_with_ledger(
    state: account_state.AccountState,
    waiter: account_state.Waiter,
    context: RefusalContext,
    now_ms: int,
) -> Refusal:
    bound = waiter.request.bound_tokens
    reasons = list(_unavailability_reasons(state, context, now_ms))
    if bound <= state.remaining_tokens and reasons:
        return Refusal(
            messages.RefusalReason.UNREACHABLE,
            f"{bound} tokens are requested and {state.account.free} are free "
            f"in {context.own_zone}; " + "; ".join(reasons) + ".",
            RETRY_AFTER_MS,
        )
    reserved = state.reclaimable_tokens + _tokens_in_other_zones(
        state, context.own_zone
    )
    return Refusal(
        messages.RefusalReason.EXHAUSTED,
        f"{bound} tokens are requested; {state.remaining_tokens} remain, of "
        f"which {reserved} are reserved by requests in progress.",
        RETRY_AFTER_MS if reserved >= bound else None,
    )


def _unavailability_reasons(
    state: account_state.AccountState, context: RefusalContext, now_ms: int
) -> list[str]:
    reasons = []
    if context.service_failures >= MAX_SERVICE_FAILURES:
        reasons.append("the platform's service does not respond")
    orphaned = state.orphaned_tokens
    if orphaned > 0:
        reasons.append(f"{orphaned} are reserved by unresponsive instances")
    held = state.account.held_tokens
    if held > 0:
        reasons.append(f"{held} are held in this zone for a former primary")
    for zone in state.other_zones_with_rights(context.own_zone):
        recall = state.recall_by_zone.get(zone)
        if recall is None or recall.response is None:
            reasons.append(f"the zone {zone} does not respond")
        elif recall.response.held_tokens > 0:
            reasons.append(f"{recall.response.held_tokens} are held in {zone}")
    return reasons
