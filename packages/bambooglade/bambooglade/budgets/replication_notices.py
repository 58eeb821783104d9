"""Notices to an account registry that the backup has copied its changes."""

from __future__ import annotations

import functools

from bambooglade.budgets import account as accounts
from bambooglade.budgets import records
from bambooglade.core import identifiers
from bambooglade.shards import registry as registries


class AccountNotice(registries.ReplicationNotice, frozen=True, kw_only=True):
    """Base of the notices about one account."""

    budget_id: identifiers.BudgetId


class LimitRaised(AccountNotice, frozen=True, kw_only=True):
    """The backup acknowledged a raised usage limit."""

    limit: int
    generation: int


class LimitLowered(AccountNotice, frozen=True, kw_only=True):
    """The backup acknowledged a lowered usage limit.

    Attributes:
        limit: The lowered limit.
        generation: Generation of the account's limit.
        writes_document: Whether the document is to be written, since rights
            are returned.
    """

    limit: int
    generation: int
    writes_document: bool


class RightsFreed(AccountNotice, frozen=True, kw_only=True):
    """The backup acknowledged that a settlement or an operator freed rights."""

    tokens: int
    number: records.ReservationNumber | None = None


@functools.singledispatch
def apply(
    notice: registries.ReplicationNotice, account: accounts.ZoneAccount
) -> None:
    """Applies a notice to its account."""


@apply.register
def _(notice: LimitRaised, account: accounts.ZoneAccount) -> None:
    account.acknowledge_raised_limit(notice.limit, notice.generation)


@apply.register
def _(notice: LimitLowered, account: accounts.ZoneAccount) -> None:
    account.acknowledge_lowered_limit(notice.limit, notice.generation)


@apply.register
def _(notice: RightsFreed, account: accounts.ZoneAccount) -> None:
    account.pending_freed -= notice.tokens
    if notice.number is not None:
        account.settling_by_number.pop(notice.number, None)
