"""Transfer of unused rights between zones through the document."""

from __future__ import annotations

from collections.abc import Iterator

from bambooglade.budgets import account_state
from bambooglade.budgets import messages
from bambooglade.budgets import refill_policy
from bambooglade.core import effects
from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.shards import assignments


def send_recalls(
    state: account_state.AccountState,
    zone_shard: assignments.ZoneShard,
    assignment_map: assignments.AssignmentMap,
    now_ms: int,
) -> Iterator[effects.Effects]:
    """Sends recalls for the waiters' shortfall to zones with unspent rights."""
    ledger = state.ledger
    shortfall = state.waiting_tokens - max(0, state.account.unused)
    if ledger is None or shortfall <= max(0, ledger.free_tokens):
        return
    for zone in state.other_zones_with_rights(zone_shard.availability_zone):
        recall = state.recall_by_zone.get(zone)
        if recall and not recall.should_resend(
            state.smallest_shortfall, now_ms
        ):
            continue
        primary = assignment_map.primary(
            assignments.ZoneShard(
                shard=zone_shard.shard, availability_zone=zone
            )
        )
        state.recall_by_zone[zone] = account_state.Recall(
            requested_at_ms=now_ms, least_tokens=state.smallest_shortfall
        )
        if primary is not None:
            yield effects.Send(
                recipient=primary,
                message=messages.RecallRights(
                    budget_id=state.account.budget_id,
                    availability_zone=zone_shard.availability_zone,
                    wanted_tokens=shortfall - max(0, ledger.free_tokens),
                    least_tokens=state.smallest_shortfall,
                ),
            )


def start_return(
    state: account_state.AccountState,
    message: messages.RecallRights,
    sender: identifiers.InstanceId,
    own_zone: identifiers.AvailabilityZone,
) -> int:
    """Starts to return rights that the zone does not need.

    Returns:
        Tokens that are being returned; 0 if the zone has no surplus.
    """
    if message.availability_zone in state.pending_return_by_zone:
        return state.pending_return_by_zone[message.availability_zone].tokens
    tokens = refill_policy.surplus(
        unused=max(0, state.account.unused),
        waiting=state.waiting_tokens,
        wanted=message.wanted_tokens,
        has_precedence=_has_precedence(message, state, own_zone),
    )
    if tokens > 0:
        state.account.return_rights(tokens)
        state.pending_return_by_zone[message.availability_zone] = (
            account_state.PendingReturn(
                sender=sender,
                tokens=tokens,
                returned_target=state.account.returned,
            )
        )
    return tokens


def complete_returns(
    state: account_state.AccountState,
    own_zone: identifiers.AvailabilityZone,
) -> Iterator[effects.Effects]:
    """Responds to the recalls whose return is written to the document."""
    if state.ledger is None:
        return
    written = state.ledger.counters(own_zone).returned
    for zone, pending in list(state.pending_return_by_zone.items()):
        if pending.returned_target <= written:
            del state.pending_return_by_zone[zone]
            yield recall_response(
                state, own_zone, pending.sender, pending.tokens
            )


def recall_response(
    state: account_state.AccountState,
    own_zone: identifiers.AvailabilityZone,
    recipient: identifiers.InstanceId,
    tokens: int,
) -> effects.Send:
    """Returns the response to a recall."""
    account = state.account
    being_returned = sum(
        pending.tokens for pending in state.pending_return_by_zone.values()
    )
    return effects.Send(
        recipient=recipient,
        message=messages.RecallAnswered(
            budget_id=account.budget_id,
            availability_zone=own_zone,
            returned_tokens=tokens,
            reserved_tokens=state.reclaimable_tokens,
            held_tokens=account.held_tokens + state.orphaned_tokens,
            unused_tokens=max(0, account.unused) + being_returned,
        ),
    )


def _has_precedence(
    message: messages.RecallRights,
    state: account_state.AccountState,
    own_zone: identifiers.AvailabilityZone,
) -> bool:
    """Returns whether the other zone has the smaller shortfall.

    A rendezvous hash of the zones breaks ties.
    """
    if message.least_tokens != state.smallest_shortfall:
        return message.least_tokens < state.smallest_shortfall
    zones = (message.availability_zone, own_zone)
    return hashing.rendezvous(message.budget_id, zones)[0] != own_zone
