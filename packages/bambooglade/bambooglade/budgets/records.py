"""Records of the accounts that a primary copies to its backup."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from bambooglade.budgets import messages
from bambooglade.core import identifiers
from bambooglade.shards import registry as registries


class ReservationNumber(NamedTuple):
    """Names a reservation within the account of one zone."""

    epoch: identifiers.Epoch
    sequence: int


class HeldRights(msgspec.Struct, frozen=True, kw_only=True):
    """Rights that an earlier primary may have spent or reserved.

    Attributes:
        epoch: Last epoch of that primary; epochs before it that have no held
            rights of their own count as well when it is not exact.
        tokens: How much is held; settlements under the epoch shrink it.
        is_exact: Whether they follow from a full copy. Then a settlement frees
            the whole bound; otherwise it moves only what was spent.
        next_sequence: Reservations below this number are known one by one.
        settled: Numbers, unknown to the copy, that were settled since.
    """

    epoch: identifiers.Epoch
    tokens: int
    is_exact: bool
    next_sequence: int = 0
    settled: tuple[ReservationNumber, ...] = ()


class Release(msgspec.Struct, frozen=True, kw_only=True):
    """A release of held rights, remembered by its edit id."""

    edit_id: str
    tokens: int


class AccountRecord(registries.Record, frozen=True, kw_only=True):
    """One account of the zone.

    Attributes:
        opened: Mark up to which the primary may have reserved or spent.
        settled: Spent by settled requests, cumulative over all epochs.
        next_sequence: Number of the next reservation of the epoch.
        held: Rights held for earlier epochs.
        releases: Releases of held rights that were made, the newest last.
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
        spent_tokens: In a final report only: what a settlement that the backup
            had not acknowledged spent; None for an open reservation.
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
