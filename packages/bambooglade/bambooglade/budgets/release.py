"""Frees rights that lost instances may have spent, when an operator says so."""

from __future__ import annotations

from collections.abc import Collection
import dataclasses

import msgspec

from bambooglade.budgets import account as accounts
from bambooglade.budgets import inspection
from bambooglade.budgets import records
from bambooglade.core import identifiers


@dataclasses.dataclass(slots=True)
class ReleaseResult:
    """What a release freed.

    Attributes:
        tokens: Freed, pending_freed until the backup knows.
        evicted: Reservations that exist no more.
    """

    tokens: int = 0
    evicted: list[records.ReservationRecord] = dataclasses.field(
        default_factory=list
    )


REMEMBERED_RELEASES = 32
"""Releases that an account remembers, so that repeating one does nothing."""


def release_once(
    account: accounts.ZoneAccount, message: inspection.ReleaseHeld
) -> tuple[records.Release, ReleaseResult | None]:
    """Releases unless the same edit was made before.

    Returns:
        The release, and what it freed; None when it was made before.
    """
    for made in account.releases:
        if made.edit_id == message.question_id:
            return made, None
    released = release(account, tokens=message.tokens, gone=message.gone)
    made = records.Release(edit_id=message.question_id, tokens=released.tokens)
    account.releases = (*account.releases, made)[-REMEMBERED_RELEASES:]
    return made, released


def release(
    account: accounts.ZoneAccount,
    *,
    tokens: int,
    gone: Collection[identifiers.InstanceId],
) -> ReleaseResult:
    """Frees held rights, then reservations for requests of dead instances.

    Reservations of live instances stay, since those still settle them.

    Args:
        account: The account, at the primary.
        tokens: How much to free at most.
        gone: Instances that are believed dead.
    """
    released = ReleaseResult()
    for held in sorted(account.held.values(), key=lambda each: each.epoch):
        _free_unknown(account, held, released, tokens)
    for record in list(account.open_by_number.values()):
        if record.reservation_id.entry in gone:
            _free_reservation(account, record, released, tokens)
    account.pending_freed += released.tokens
    account.version += 1
    return released


def _free_unknown(
    account: accounts.ZoneAccount,
    held: records.HeldRights,
    released: ReleaseResult,
    tokens: int,
) -> None:
    known = sum(
        record.bound_tokens
        for number, record in account.open_by_number.items()
        if number.epoch == held.epoch
    )
    freed = min(held.tokens - known, tokens - released.tokens)
    _shrink(account, held, freed)
    released.tokens += freed


def _free_reservation(
    account: accounts.ZoneAccount,
    record: records.ReservationRecord,
    released: ReleaseResult,
    tokens: int,
) -> None:
    if record.bound_tokens > tokens - released.tokens:
        return
    account.remove_open(record.number)
    if record.number.epoch == account.epoch:
        account.reserved -= record.bound_tokens
    else:
        held = account.held_rights_for(record.number.epoch)
        _shrink(account, held, record.bound_tokens)
    released.tokens += record.bound_tokens
    released.evicted.append(record)


def _shrink(
    account: accounts.ZoneAccount, held: records.HeldRights, tokens: int
) -> None:
    shrunk = msgspec.structs.replace(held, tokens=held.tokens - tokens)
    account.set_held_rights(shrunk)
