"""Replication effects of changes to an account."""

from __future__ import annotations

from collections.abc import Iterator

from bambooglade.budgets import account as accounts
from bambooglade.budgets import records
from bambooglade.budgets import replication_notices
from bambooglade.budgets import settlement
from bambooglade.core import effects
from bambooglade.shards import registry as registries


def account_changed(
    account: accounts.ZoneAccount,
) -> Iterator[effects.Effects]:
    """Yields the effect that copies the account's record to the backup."""
    record_id = records.account_record_id(account.budget_id)
    yield registries.RecordChanged(record_id=record_id)


def settlement_effects(
    account: accounts.ZoneAccount, result: settlement.SettlementResult | None
) -> Iterator[effects.Effects]:
    """Yields the effects of a settlement; none for a repeated settlement.

    The freed rights can be reused when the backup has acknowledged the change.
    """
    if result is None:
        return
    if result.was_known:
        record_id = records.reservation_record_id(
            account.budget_id, result.number
        )
        yield registries.RecordChanged(record_id=record_id)
    yield from account_changed(account)
    notice = replication_notices.RightsFreed(
        budget_id=account.budget_id,
        tokens=result.tokens,
        number=result.number,
    )
    yield registries.AfterReplication(then=(notice,))
