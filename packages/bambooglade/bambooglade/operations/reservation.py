"""Entry side of one reservation over several accounts, all or nothing."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import functools

import msgspec

from bambooglade.budgets import messages
from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.operations import directory as directory_module
from bambooglade.operations import retry
from bambooglade.operations import settlement_queue

ZONE_TIMEOUT_MS = 400
"""After this time without an answer the next zone's pair is asked as well."""

MAX_RESERVE_RETRY_MS = 1_000
_NEVER_MS = 1 << 62


@dataclasses.dataclass(slots=True)
class _AccountDraw:
    """The draw on one account.

    Attributes:
        draw: The account and the bound.
        zones: Zones in the order in which they are asked.
        asked: How many of them were asked so far.
        next_zone_ms: When the next zone is asked.
        reserved: The first acknowledgement.
    """

    draw: calls.Draw
    zones: list[identifiers.AvailabilityZone]
    timer: retry.RetryTimer
    asked: int = 0
    next_zone_ms: int = 0
    reserved: messages.Reserved | None = None


class Reservation:
    """Reserves each draw in turn, in sorted order, and settles them together.

    Args:
        reservation_id: Identifies the reservation in all accounts.
        draws: Accounts with the bounds to reserve.
        deadline_ms: Until when the accounts may let the request wait.
        directory: Finds the primaries.
        queue: Takes over the settlements.

    Attributes:
        refused: The refusal that ended it; None while there is none.
    """

    __slots__ = (
        "_accounts",
        "_deadline_ms",
        "_directory",
        "_queue",
        "_reservation_id",
        "_settled",
        "refused",
    )

    def __init__(
        self,
        *,
        reservation_id: messages.ReservationId,
        draws: tuple[calls.Draw, ...],
        deadline_ms: int,
        directory: directory_module.Directory,
        queue: settlement_queue.SettlementQueue,
    ) -> None:
        self._reservation_id = reservation_id
        self._deadline_ms = deadline_ms
        self._directory = directory
        self._queue = queue
        self._settled = False
        self.refused: messages.ReserveRefused | None = None
        self._accounts = [
            _AccountDraw(
                draw=draw,
                zones=directory.zones_for(draw.budget_id),
                timer=retry.RetryTimer(max_pause_ms=MAX_RESERVE_RETRY_MS),
            )
            for draw in sorted(draws, key=lambda draw: draw.budget_id)
        ]

    @property
    def reservation_id(self) -> messages.ReservationId:
        """The id of the reservation."""
        return self._reservation_id

    @property
    def is_complete(self) -> bool:
        """Whether all draws are reserved."""
        return self._current() is None

    @property
    def is_settled(self) -> bool:
        """Whether the settlements were handed to the queue."""
        return self._settled

    def start(self, now_ms: int) -> Iterator[effects.Effects]:
        """Asks for the first draw."""
        yield from self.tick(now_ms)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Repeats what is due, and asks the next zone after a time-out."""
        account = self._current()
        if account is None or self.refused or self._settled:
            return
        if now_ms >= account.next_zone_ms:
            yield from self._ask_next_zone(account, now_ms)
        elif account.timer.is_due(now_ms):
            account.timer.sent(now_ms)
            for zone in account.zones[: account.asked]:
                yield from self._send(account, zone)

    @functools.singledispatchmethod
    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Takes an answer of an account; others are ignored."""
        del message, sender, now_ms
        yield from ()

    @handle.register
    def _(
        self,
        message: messages.Reserved,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Takes the first acknowledgement, and credits any other back."""
        del sender
        account = self._account(message.budget_id)
        if account is None or account.reserved == message:
            return
        if account.reserved or self._settled:
            yield from self._queue.add(
                release_of(message, account.draw.bound_tokens),
                message.availability_zone,
                now_ms,
            )
            return
        account.reserved = message
        yield from self._release_other_zones(account, now_ms)
        yield from self.tick(now_ms)

    @handle.register
    def _(
        self,
        message: messages.ReserveRefused,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del now_ms
        account = self._account(message.budget_id)
        if account is None or account.reserved or self._settled:
            return
        if message.reason == messages.RefusalReason.NOT_PRIMARY:
            yield from self._redirect(account, message)
        elif self._directory.zone_of(sender) == account.zones[0]:
            self.refused = message

    def reduce(self, spent_tokens: int) -> Iterator[effects.Effects]:
        """Lowers the reserved bounds to the actual cost."""
        for account in self._accounts:
            reserved = account.reserved
            recipient = self._directory.recipient(
                self._directory.place_of(
                    account.draw.budget_id, reserved.availability_zone
                )
            )
            if recipient is None:
                continue
            yield effects.Send(
                recipient=recipient,
                message=messages.Reduce(
                    reservation_id=self._reservation_id,
                    budget_id=account.draw.budget_id,
                    epoch=reserved.epoch,
                    sequence=reserved.sequence,
                    bound_tokens=account.draw.bound_tokens,
                    reduced_tokens=min(spent_tokens, account.draw.bound_tokens),
                ),
            )

    def settle(
        self, spent_tokens: int, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Bills the cost on each account; 0 releases whatever was asked."""
        if self._settled:
            return
        self._settled = True
        for account in self._accounts:
            if account.reserved is None:
                for zone in account.zones[: account.asked]:
                    yield from self._release_unanswered(account, zone, now_ms)
                continue
            bound_tokens = account.draw.bound_tokens
            yield from self._queue.add(
                msgspec.structs.replace(
                    release_of(account.reserved, bound_tokens),
                    spent_tokens=min(spent_tokens, bound_tokens),
                ),
                account.reserved.availability_zone,
                now_ms,
            )

    def _current(self) -> _AccountDraw | None:
        return next(
            (account for account in self._accounts if account.reserved is None),
            None,
        )

    def _account(self, budget_id: identifiers.BudgetId) -> _AccountDraw | None:
        return next(
            (
                account
                for account in self._accounts
                if account.draw.budget_id == budget_id
            ),
            None,
        )

    def _ask_next_zone(
        self, account: _AccountDraw, now_ms: int
    ) -> Iterator[effects.Effects]:
        zone = account.zones[account.asked]
        account.asked += 1
        account.timer.sent(now_ms)
        is_last = account.asked == len(account.zones)
        account.next_zone_ms = (
            _NEVER_MS if is_last else now_ms + ZONE_TIMEOUT_MS
        )
        yield from self._send(account, zone)

    def _send(
        self, account: _AccountDraw, zone: identifiers.AvailabilityZone
    ) -> Iterator[effects.Effects]:
        place = self._directory.place_of(account.draw.budget_id, zone)
        recipient = self._directory.recipient(place)
        if recipient is not None:
            yield effects.Send(
                recipient=recipient, message=self._reserve(account)
            )

    def _reserve(self, account: _AccountDraw) -> messages.Reserve:
        return messages.Reserve(
            reservation_id=self._reservation_id,
            budget_id=account.draw.budget_id,
            bound_tokens=account.draw.bound_tokens,
            deadline_ms=self._deadline_ms,
        )

    def _redirect(
        self, account: _AccountDraw, message: messages.ReserveRefused
    ) -> Iterator[effects.Effects]:
        if message.primary is not None and account.timer.may_follow():
            yield effects.Send(
                recipient=message.primary, message=self._reserve(account)
            )

    def _release_other_zones(
        self, account: _AccountDraw, now_ms: int
    ) -> Iterator[effects.Effects]:
        for zone in account.zones[: account.asked]:
            if zone != account.reserved.availability_zone:
                yield from self._release_unanswered(account, zone, now_ms)

    def _release_unanswered(
        self,
        account: _AccountDraw,
        zone: identifiers.AvailabilityZone,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        settle = messages.Settle(
            reservation_id=self._reservation_id,
            budget_id=account.draw.budget_id,
            epoch=messages.UNKNOWN_EPOCH,
            sequence=0,
            bound_tokens=account.draw.bound_tokens,
            spent_tokens=0,
        )
        yield from self._queue.add(settle, zone, now_ms)

    def __repr__(self) -> str:
        reserved = sum(
            account.reserved is not None for account in self._accounts
        )
        return f"Reservation(reserved={reserved}, of={len(self._accounts)})"


def release_of(
    reserved: messages.Reserved, bound_tokens: int
) -> messages.Settle:
    """Returns the settlement that credits a reservation back."""
    return messages.Settle(
        reservation_id=reserved.reservation_id,
        budget_id=reserved.budget_id,
        epoch=reserved.epoch,
        sequence=reserved.sequence,
        bound_tokens=bound_tokens,
        spent_tokens=0,
    )
