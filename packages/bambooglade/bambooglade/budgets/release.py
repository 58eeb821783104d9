"""Frees rights that failed instances may have spent, for an operator."""

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
    """The result of a release.

    Attributes:
        tokens: Freed tokens; pending until the backup acknowledges the change.
        evicted: Reservations that were removed.
    """

    tokens: int = 0
    evicted: list[records.ReservationRecord] = dataclasses.field(
        default_factory=list
    )


REMEMBERED_RELEASES = 32
"""Number of releases stored per account to make releases idempotent."""


def release_once(
    account: accounts.ZoneAccount, message: inspection.ReleaseHeld
) -> tuple[records.Release, ReleaseResult | None]:
    """Releases rights unless the same edit was already applied.

    Returns:
        The release and its result; the result is None for a repeated edit.
    """
    for recorded in account.releases:
        if recorded.edit_id == message.question_id:
            return recorded, None
    released = release(
        account, tokens=message.tokens, dead_instances=message.gone
    )
    recorded = records.Release(
        edit_id=message.question_id, tokens=released.tokens
    )
    account.releases = (*account.releases, recorded)[-REMEMBERED_RELEASES:]
    return recorded, released


def release(
    account: accounts.ZoneAccount,
    *,
    tokens: int,
    dead_instances: Collection[identifiers.InstanceId],
) -> ReleaseResult:
    """Frees held rights, then reservations for requests of dead instances.

    Reservations of live instances are kept, since these instances will settle
    them.

    Args:
        account: The account, at the primary.
        tokens: Maximum number of tokens to free.
        dead_instances: Instances considered dead.
    """
    released = ReleaseResult()
    for held in sorted(account.held.values(), key=lambda each: each.epoch):
        _free_unknown(account, held, released, tokens)
    for record in list(account.open_by_number.values()):
        if record.reservation_id.entry in dead_instances:
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
    known_tokens = sum(
        record.bound_tokens
        for number, record in account.open_by_number.items()
        if number.epoch == held.epoch
    )
    freed = min(held.tokens - known_tokens, tokens - released.tokens)
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
