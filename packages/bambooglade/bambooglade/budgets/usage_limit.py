"""Adjustment of an account's usage limit to the demand.

A request whose bound fits below the limit does not have to wait for the backup.
Unused rights below the limit are held if the primary fails, so the limit
exceeds the used rights only by a small headroom.
"""

from __future__ import annotations

from collections.abc import Iterator

from bambooglade.budgets import account_effects
from bambooglade.budgets import account_state
from bambooglade.budgets import refill_policy
from bambooglade.budgets import replication_notices
from bambooglade.core import effects
from bambooglade.shards import registry as registries


def adjust(state: account_state.AccountState) -> Iterator[effects.Effects]:
    """Raises or lowers the limit if the account depends on a backup."""
    account = state.account
    if not account.needs_backup:
        return
    headroom = refill_policy.headroom(
        state.meter.tokens_per_s, state.meter.last_bound, account.unused
    )
    wanted = state.waiting_tokens + headroom // 2
    unused_limit = account.proposed_limit - account.used
    if unused_limit > state.waiting_tokens + 2 * headroom:
        yield from _lower(state, headroom)
    if unused_limit >= wanted or account.proposed_limit >= account.rights:
        return
    account.raise_limit(account.used + state.waiting_tokens + headroom)
    notice = replication_notices.LimitRaised(
        budget_id=account.budget_id,
        limit=account.proposed_limit,
        generation=account.generation,
    )
    yield from account_effects.account_changed(account)
    yield registries.AfterReplication(then=(notice,))


def _lower(
    state: account_state.AccountState, headroom: int
) -> Iterator[effects.Effects]:
    """Lowers the limit, so that few rights are held if this primary fails."""
    account = state.account
    account.lower_limit(account.used + state.waiting_tokens + headroom)
    notice = replication_notices.LimitLowered(
        budget_id=account.budget_id,
        limit=account.proposed_limit,
        generation=account.generation,
        writes_document=False,
    )
    yield from account_effects.account_changed(account)
    yield registries.AfterReplication(then=(notice,))
