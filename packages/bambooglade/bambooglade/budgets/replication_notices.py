"""Notices that an account book gives itself once the backup has a copy."""

from __future__ import annotations

import functools

from bambooglade.budgets import account as accounts
from bambooglade.budgets import records
from bambooglade.core import identifiers
from bambooglade.shards import registry as books


class AccountNotice(books.ReplicationNotice, frozen=True, kw_only=True):
    """Base of the notices of one account."""

    budget_id: identifiers.BudgetId


class MarkRaised(AccountNotice, frozen=True, kw_only=True):
    """The backup knows of a raised opened mark."""

    mark: int
    generation: int


class MarkLowered(AccountNotice, frozen=True, kw_only=True):
    """The backup knows of a lowered opened mark.

    Attributes:
        writes_document: Whether rights below it are to be returned.
    """

    mark: int
    generation: int
    writes_document: bool


class RightsFreed(AccountNotice, frozen=True, kw_only=True):
    """The backup knows that a settlement or an operator freed rights."""

    tokens: int
    number: records.ReservationNumber | None = None


@functools.singledispatch
def apply(
    notice: books.ReplicationNotice, account: accounts.ZoneAccount
) -> None:
    """Changes the account that a notice is about."""


@apply.register
def _(notice: MarkRaised, account: accounts.ZoneAccount) -> None:
    account.open_acknowledged(notice.mark, notice.generation)


@apply.register
def _(notice: MarkLowered, account: accounts.ZoneAccount) -> None:
    account.close_acknowledged(notice.mark, notice.generation)


@apply.register
def _(notice: RightsFreed, account: accounts.ZoneAccount) -> None:
    account.unreleased -= notice.tokens
    if notice.number is not None:
        account.settling_by_number.pop(notice.number, None)
