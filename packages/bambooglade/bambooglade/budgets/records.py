"""Account records that a primary copies to its backup."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from bambooglade.budgets import messages
from bambooglade.core import identifiers
from bambooglade.shards import registry as registries


class ReservationNumber(NamedTuple):
    """Identifies a reservation within an account of one zone."""

    epoch: identifiers.Epoch
    sequence: int


class HeldRights(msgspec.Struct, frozen=True, kw_only=True):
    """Rights that an earlier primary may have spent or reserved.

    Attributes:
        epoch: Last epoch of that primary. If `is_exact` is false, this also
            covers earlier epochs without held rights of their own.
        tokens: Number of held tokens; settlements under the epoch reduce it.
        is_exact: Whether the amount was derived from a full copy. A settlement
            then frees the whole bound; otherwise it deducts only the spent
            tokens.
        next_sequence: Every reservation below this number has a record.
        settled: Numbers of settled reservations that were not in the copy.
    """

    epoch: identifiers.Epoch
    tokens: int
    is_exact: bool
    next_sequence: int = 0
    settled: tuple[ReservationNumber, ...] = ()


class Release(msgspec.Struct, frozen=True, kw_only=True):
    """A release of held rights, identified by its edit id."""

    edit_id: str
    tokens: int


class AccountRecord(registries.Record, frozen=True, kw_only=True):
    """One account of the zone.

    Attributes:
        opened: Usage limit up to which the primary may have reserved or spent.
        settled: Tokens spent by settled requests, cumulative over all epochs.
        next_sequence: Number of the next reservation of the epoch.
        held: Rights held for earlier epochs.
        releases: The most recent releases of held rights, newest last.
    """

    budget_id: identifiers.BudgetId
    opened: int
    settled: int
    next_sequence: int
    held: tuple[HeldRights, ...]
    releases: tuple[Release, ...] = ()


class ReservationRecord(registries.Record, frozen=True, kw_only=True):
    """One reservation that is not settled.

    Attributes:
        spent_tokens: Only in a final report: tokens spent by a settlement that
            the backup had not acknowledged; None for an open reservation.
    """

    budget_id: identifiers.BudgetId
    number: ReservationNumber
    reservation_id: messages.ReservationId
    bound_tokens: int
    spent_tokens: int | None = None


def account_record_id(budget_id: identifiers.BudgetId) -> str:
    """Returns the id of an account's record."""
    return f"account|{budget_id}"


def reservation_record_id(
    budget_id: identifiers.BudgetId, number: ReservationNumber
) -> str:
    """Returns the id of a reservation's record.

    Examples:
        >>> reservation_record_id(identifiers.BudgetId("team/t1"),
        ...     ReservationNumber(identifiers.Epoch(2), 5))
        'reservation|2|5|team/t1'
    """
    return f"reservation|{number.epoch}|{number.sequence}|{budget_id}"
