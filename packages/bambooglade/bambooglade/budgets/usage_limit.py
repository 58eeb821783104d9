"""How far an account is opened: ahead of the demand, but not by much.

A request that finds its bound below the mark need not wait for the backup;
what is opened but unused is held when the primary dies.
"""

from __future__ import annotations

from collections.abc import Iterator

from bambooglade.budgets import account_state
from bambooglade.budgets import book_notices
from bambooglade.budgets import changes
from bambooglade.budgets import refill_policy
from bambooglade.core import effects
from bambooglade.shards import registry as books


def adjust(state: account_state.AccountState) -> Iterator[effects.Effects]:
    """Raises or lowers the mark, if the account depends on a backup."""
    account = state.account
    if not account.needs_backup:
        return
    tranche = refill_policy.tranche(
        state.meter.tokens_per_s, state.meter.last, account.unused
    )
    wanted = state.waiting_tokens + tranche // 2
    opened = account.opened - account.used
    if opened > state.waiting_tokens + 2 * tranche:
        yield from _lower(state, tranche)
    if opened >= wanted or account.opened >= account.rights:
        return
    account.open_up_to(account.used + state.waiting_tokens + tranche)
    notice = book_notices.MarkRaised(
        budget_id=account.budget_id,
        mark=account.opened,
        generation=account.generation,
    )
    yield from changes.account_changed(account)
    yield books.AfterReplication(then=(notice,))


def _lower(
    state: account_state.AccountState, tranche: int
) -> Iterator[effects.Effects]:
    """Lowers the mark, so that little is held if this primary dies."""
    account = state.account
    account.close_down_to(account.used + state.waiting_tokens + tranche)
    notice = book_notices.MarkLowered(
        budget_id=account.budget_id,
        mark=account.opened,
        generation=account.generation,
        writes_document=False,
    )
    yield from changes.account_changed(account)
    yield books.AfterReplication(then=(notice,))
