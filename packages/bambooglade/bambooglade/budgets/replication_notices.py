"""Notices that an account book gives itself once the backup has a copy."""

from __future__ import annotations

import functools

from bambooglade.budgets import account as accounts
from bambooglade.budgets import records
from bambooglade.core import identifiers
from bambooglade.shards import registry as registries


class AccountNotice(registries.ReplicationNotice, frozen=True, kw_only=True):
    """Base of the notices of one account."""

    budget_id: identifiers.BudgetId


class LimitRaised(AccountNotice, frozen=True, kw_only=True):
    """The backup knows of a raised opened mark."""

    limit: int
    generation: int


class LimitLowered(AccountNotice, frozen=True, kw_only=True):
    """The backup knows of a lowered opened mark.

    Attributes:
        writes_document: Whether rights below it are to be returned.
    """

    limit: int
    generation: int
    writes_document: bool


class RightsFreed(AccountNotice, frozen=True, kw_only=True):
    """The backup knows that a settlement or an operator freed rights."""

    tokens: int
    number: records.ReservationNumber | None = None


@functools.singledispatch
def apply(
    notice: registries.ReplicationNotice, account: accounts.ZoneAccount
) -> None:
    """Changes the account that a notice is about."""


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
