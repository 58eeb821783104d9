"""Tests of the release of rights that failed instances may have spent."""

from __future__ import annotations

import pytest

from bambooglade.budgets import account as accounts
from bambooglade.budgets import inspection
from bambooglade.budgets import messages
from bambooglade.budgets import records
from bambooglade.budgets import release
from bambooglade.budgets import settlement
from bambooglade.core import identifiers
from bambooglade.shards import document as documents

BUDGET = identifiers.BudgetId("team/t1")
DEAD = identifiers.InstanceId("dead")
ALIVE = identifiers.InstanceId("alive")
BOUND = 10


def _reservation_id(entry, number):
    return messages.ReservationId(
        key=identifiers.RequestKey(f"key-{number}"), entry=entry
    )


def _account(*, promoted):
    """Returns an account with a reservation of 10 tokens per entry."""
    account = accounts.ZoneAccount(budget_id=BUDGET, epoch=identifiers.Epoch(1))
    account.merge_counters(documents.ZoneCounters(granted=100))
    account.raise_limit(60)
    reserved = [
        account.reserve(_reservation_id(entry, number), BOUND)
        for number, entry in enumerate((DEAD, ALIVE))
    ]
    if promoted:
        settlement.hold_inherited(
            account, identifiers.Epoch(1), identifiers.Epoch(2)
        )
    return account, reserved


def _settle(record, *, spent):
    return messages.Settle(
        reservation_id=record.reservation_id,
        budget_id=BUDGET,
        epoch=record.number.epoch,
        sequence=record.number.sequence,
        bound_tokens=record.bound_tokens,
        spent_tokens=spent,
    )


@pytest.mark.parametrize(
    ("promoted", "tokens", "freed", "left_used"),
    [
        (False, 1_000, 10, 10),
        (False, 9, 0, 20),
        (True, 1_000, 50, 10),
        (True, 15, 15, 45),
        (True, 0, 0, 60),
    ],
    ids=[
        "reservation of a dead entry",
        "less than the reservation",
        "all held rights except those of live entries",
        "a part of the held rights",
        "no tokens",
    ],
)
def test_release_frees_all_rights_except_those_of_live_entries(
    promoted, tokens, freed, left_used
):
    account, _ = _account(promoted=promoted)
    released = release.release(account, tokens=tokens, dead_instances={DEAD})
    assert released.tokens == freed
    assert account.used - account.pending_freed == left_used


@pytest.mark.parametrize("promoted", [False, True])
def test_settlement_after_release_is_not_billed(promoted):
    account, (dead, alive) = _account(promoted=promoted)
    message = inspection.ReleaseHeld(
        question_id="e1", budget_id=BUDGET, tokens=1_000, gone=(DEAD,)
    )
    first, _ = release.release_once(account, message)
    repeated, no_result = release.release_once(account, message)
    settlement.settle(account, _settle(dead, spent=7))
    settlement.settle(account, _settle(alive, spent=7))
    assert (repeated, no_result) == (first, None)
    assert account.settled == 7
    assert account.held_tokens == account.reserved == 0


def test_release_is_idempotent_at_the_backup():
    account, _ = _account(promoted=True)
    message = inspection.ReleaseHeld(
        question_id="e1", budget_id=BUDGET, tokens=5, gone=()
    )
    release.release_once(account, message)
    copy = accounts.ZoneAccount(budget_id=BUDGET, epoch=identifiers.Epoch(2))
    copy.install(account.record())
    recorded, released = release.release_once(copy, message)
    assert recorded == records.Release(edit_id="e1", tokens=5)
    assert released is None
