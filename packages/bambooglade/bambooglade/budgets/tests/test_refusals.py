"""Tests of requests that wait for rights reserved by other requests."""

from __future__ import annotations

import pytest

from bambooglade.budgets import account as accounts
from bambooglade.budgets import account_state
from bambooglade.budgets import messages
from bambooglade.budgets import refusals
from bambooglade.shards import document as documents

NOW_MS = 10_000


def _reservation_id(entry):
    return messages.ReservationId(key=f"key of {entry}", entry=entry)


@pytest.mark.parametrize(
    ("entry", "reason"),
    [("alive", None), ("suspected", messages.RefusalReason.UNREACHABLE)],
)
def test_request_does_not_wait_for_rights_of_suspected_entry(entry, reason):
    account = accounts.ZoneAccount(budget_id="team/t1", epoch=1)
    account.granted = 100
    account.reserve(_reservation_id(entry), 80)
    ledger = documents.Account(
        prepaid_tokens=100,
        counters_by_availability_zone={
            "scot-a": documents.ZoneCounters(granted=100)
        },
    )
    state = account_state.AccountState(
        account=account,
        ledger=ledger,
        ledger_read_ms=NOW_MS,
        is_suspected=lambda instance_id: instance_id == "suspected",
    )
    request = messages.Reserve(
        reservation_id=_reservation_id("other"),
        budget_id="team/t1",
        bound_tokens=50,
        deadline_ms=NOW_MS + 30_000,
    )
    refusal = refusals.refusal(
        state,
        account_state.Waiter(request, "other", NOW_MS),
        refusals.RefusalContext("scot-a", 0),
        NOW_MS,
    )
    assert (refusal and refusal.reason) == reason
