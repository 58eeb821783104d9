"""Idempotent settlement of reservations, including those of former primaries.

A settlement is identified by epoch and sequence number. The primary of an epoch
has a record of every open reservation of that epoch, so a reservation without a
record was already settled. After a promotion, reservations above the last
number in the copy are settled from the rights held for their epoch, each number
once.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from absl import logging
import msgspec

from bambooglade.budgets import account as accounts
from bambooglade.budgets import messages
from bambooglade.budgets import records
from bambooglade.core import identifiers

RESOLVED_SEQUENCE = 1 << 62
"""`next_sequence` of an epoch whose reservations all have a record."""


@dataclasses.dataclass(slots=True, frozen=True)
class SettlementResult:
    """The result of a settlement.

    Attributes:
        number: Number of the reservation.
        tokens: Freed tokens; pending until the backup acknowledges the change.
        was_known: Whether the reservation has a record, whose change has to be
            copied.
    """

    number: records.ReservationNumber
    tokens: int
    was_known: bool


def settle(
    account: accounts.ZoneAccount, message: messages.Settle
) -> SettlementResult | None:
    """Applies a settlement; returns None if it was already applied.

    Args:
        account: The account, at the primary.
        message: The settlement; its epoch is not later than the account's.
    """
    number = records.ReservationNumber(message.epoch, message.sequence)
    record = account.remove_open(number)
    if record is not None:
        return _settle_known(account, record, message.spent_tokens)
    if message.epoch >= account.epoch:
        return None
    return _settle_unknown(account, number, message)


def settle_by_id(
    account: accounts.ZoneAccount, reservation_id: messages.ReservationId
) -> SettlementResult | None:
    """Ends an open reservation for which no tokens were spent."""
    number = account.number_by_id.get(reservation_id)
    if number is None:
        return None
    record = account.remove_open(number)
    return _settle_known(account, record, 0)


def reduce(
    account: accounts.ZoneAccount, message: messages.Reduce
) -> SettlementResult | None:
    """Lowers the bound of an open reservation of the current epoch."""
    number = records.ReservationNumber(message.epoch, message.sequence)
    record = account.open_by_number.get(number)
    if record is None or message.epoch != account.epoch:
        return None
    freed = record.bound_tokens - message.reduced_tokens
    if freed <= 0:
        return None
    account.open_by_number[number] = msgspec.structs.replace(
        record,
        version=record.version + 1,
        bound_tokens=message.reduced_tokens,
    )
    account.reserved -= freed
    account.pending_freed += freed
    account.version += 1
    return SettlementResult(number, freed, was_known=True)


def hold_inherited(
    account: accounts.ZoneAccount,
    inherited: identifiers.Epoch,
    epoch: identifiers.Epoch,
) -> None:
    """Starts a new epoch from a full copy of the previous one."""
    tokens = account.proposed_limit - account.settled - account.held_tokens
    account.set_held_rights(
        records.HeldRights(
            epoch=inherited,
            tokens=tokens,
            is_exact=True,
            next_sequence=account.next_sequence,
        )
    )
    account.reserved = 0
    account.pending_freed = 0
    account.epoch = epoch
    account.next_sequence = 1


def hold_all_unsettled(
    account: accounts.ZoneAccount, last_epoch: identifiers.Epoch
) -> None:
    """Holds all granted and unsettled rights, for a start without a copy."""
    account.set_held_rights(
        records.HeldRights(
            epoch=last_epoch,
            tokens=account.rights - account.settled,
            is_exact=False,
        )
    )


def apply_final_records(
    account: accounts.ZoneAccount,
    epoch: identifiers.Epoch,
    reported: Iterable[records.ReservationRecord],
) -> int:
    """Applies the final records of the epoch's primary.

    Returns:
        Freed tokens; pending until the backup acknowledges the change.
    """
    held = account.held.get(epoch)
    if held is None or not held.is_exact:
        return 0
    before = account.settled + account.held_tokens
    for record in reported:
        if _is_already_settled(account, held, record.number):
            continue
        if record.spent_tokens is not None:
            account.remove_open(record.number)
            account.settled += record.spent_tokens
        else:
            account.add_open(record)
    account.set_held_rights(_resolved_rights(account, held))
    freed = before - account.settled - account.held_tokens
    account.pending_freed += freed
    return freed


def _resolved_rights(
    account: accounts.ZoneAccount, held: records.HeldRights
) -> records.HeldRights:
    tokens = sum(
        record.bound_tokens
        for number, record in account.open_by_number.items()
        if number.epoch == held.epoch
    )
    return msgspec.structs.replace(
        held, tokens=tokens, next_sequence=RESOLVED_SEQUENCE, settled=()
    )


def _is_already_settled(
    account: accounts.ZoneAccount,
    held: records.HeldRights,
    number: records.ReservationNumber,
) -> bool:
    if number in held.settled:
        return True
    return (
        number.sequence < held.next_sequence
        and number not in account.open_by_number
    )


def _settle_known(
    account: accounts.ZoneAccount,
    record: records.ReservationRecord,
    spent_tokens: int,
) -> SettlementResult:
    if record.number.epoch == account.epoch:
        account.reserved -= record.bound_tokens
    else:
        _shrink_held(account, record.number, record.bound_tokens)
    _record_spent(account, record, spent_tokens)
    freed = record.bound_tokens - spent_tokens
    account.pending_freed += freed
    return SettlementResult(record.number, freed, was_known=True)


def _settle_unknown(
    account: accounts.ZoneAccount,
    number: records.ReservationNumber,
    message: messages.Settle,
) -> SettlementResult | None:
    held = account.held_rights_for(number.epoch)
    if held is None or number in held.settled:
        return None
    if held.is_exact and number.sequence < held.next_sequence:
        return None
    taken = message.bound_tokens if held.is_exact else message.spent_tokens
    if held.tokens < taken and account.releases:
        logging.warning(
            "event=settlement_after_release budget=%s number=%s spent=%s",
            account.budget_id,
            number,
            message.spent_tokens,
        )
        return None
    _shrink_held(account, number, taken)
    record = records.ReservationRecord(
        record_id=records.reservation_record_id(account.budget_id, number),
        version=1,
        budget_id=account.budget_id,
        number=number,
        reservation_id=message.reservation_id,
        bound_tokens=taken,
    )
    _record_spent(account, record, message.spent_tokens)
    freed = taken - message.spent_tokens
    account.pending_freed += freed
    return SettlementResult(number, freed, was_known=False)


def _shrink_held(
    account: accounts.ZoneAccount,
    number: records.ReservationNumber,
    tokens: int,
) -> None:
    held = account.held_rights_for(number.epoch)
    if held is None or held.tokens < tokens:
        logging.error(
            "event=held_rights_short budget=%s number=%s held=%s taken=%s",
            account.budget_id,
            number,
            held.tokens if held else 0,
            tokens,
        )
    if held is None:
        return
    settled = held.settled
    if not held.is_exact or number.sequence >= held.next_sequence:
        settled = (*held.settled, number)
    account.set_held_rights(
        msgspec.structs.replace(
            held, tokens=max(0, held.tokens - tokens), settled=settled
        )
    )


def _record_spent(
    account: accounts.ZoneAccount,
    record: records.ReservationRecord,
    spent_tokens: int,
) -> None:
    account.settled += spent_tokens
    account.version += 1
    account.settling_by_number[record.number] = msgspec.structs.replace(
        record, version=record.version + 1, spent_tokens=spent_tokens
    )
