"""Effects of a changed account: what to copy to the backup, and what waits."""

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
    """Yields that the record of the account has to be copied."""
    record_id = records.account_record_id(account.budget_id)
    yield registries.RecordChanged(record_id=record_id)


def settlement_effects(
    account: accounts.ZoneAccount, settled: settlement.SettlementResult | None
) -> Iterator[effects.Effects]:
    """Yields what follows from a settlement; nothing for a repeated one.

    What it freed may be used again once the backup knows of it.
    """
    if settled is None:
        return
    if settled.was_known:
        record_id = records.reservation_record_id(
            account.budget_id, settled.number
        )
        yield registries.RecordChanged(record_id=record_id)
    yield from account_changed(account)
    notice = replication_notices.RightsFreed(
        budget_id=account.budget_id,
        tokens=settled.tokens,
        number=settled.number,
    )
    yield registries.AfterReplication(then=(notice,))
