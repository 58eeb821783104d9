"""Client of the accounts at the entry instance, for one reservation."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import functools

import msgspec

from bambooglade.budgets import messages
from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.operations import retry
from bambooglade.operations import settlement_queue
from bambooglade.operations import shard_locator as locator_module

ZONE_TIMEOUT_MS = 400
"""Time without a response after which the next zone is queried as well."""

MAX_RESERVE_RETRY_MS = 1_000
_NEVER_MS = 1 << 62


@dataclasses.dataclass(slots=True)
class _AccountDraw:
    """The draw on one account.

    Attributes:
        draw: The account and the bound.
        zones: Zones in the order in which they are queried.
        timer: Schedule of retries to the zones queried so far.
        queried_zone_count: Number of zones queried so far.
        next_zone_ms: When to query the next zone; milliseconds since the epoch.
        reserved: The first acknowledgement.
    """

    draw: calls.Draw
    zones: list[identifiers.AvailabilityZone]
    timer: retry.RetryTimer
    queried_zone_count: int = 0
    next_zone_ms: int = 0
    reserved: messages.Reserved | None = None


class Reservation:
    """Reserves tokens in several accounts, either in all of them or in none.

    The draws are reserved one after another, in sorted order, and are settled
    together.

    Args:
        reservation_id: Identifies the reservation in all accounts.
        draws: Accounts with the bounds to reserve.
        deadline_ms: Until when the accounts may defer their responses;
            milliseconds since the epoch.
        locator: Locates the primaries.
        queue: Sends the settlements.

    Attributes:
        refused: The refusal that ended the reservation, if any.
    """

    __slots__ = (
        "_accounts",
        "_deadline_ms",
        "_locator",
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
        locator: locator_module.ShardLocator,
        queue: settlement_queue.SettlementQueue,
    ) -> None:
        self._reservation_id = reservation_id
        self._deadline_ms = deadline_ms
        self._locator = locator
        self._queue = queue
        self._settled = False
        self.refused: messages.ReserveRefused | None = None
        self._accounts = [
            _AccountDraw(
                draw=draw,
                zones=locator.zones_by_preference(draw.budget_id),
                timer=retry.RetryTimer(max_pause_ms=MAX_RESERVE_RETRY_MS),
            )
            for draw in sorted(draws, key=lambda draw: draw.budget_id)
        ]

    @property
    def reservation_id(self) -> messages.ReservationId:
        """Id of the reservation."""
        return self._reservation_id

    @property
    def is_complete(self) -> bool:
        """Whether all draws are reserved."""
        return self._next_unreserved() is None

    @property
    def is_settled(self) -> bool:
        """Whether the settlements were added to the queue."""
        return self._settled

    def start(self, now_ms: int) -> Iterator[effects.Effects]:
        """Requests the first draw."""
        yield from self.tick(now_ms)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Resends due requests, and queries the next zone after a time-out."""
        account = self._next_unreserved()
        if account is None or self.refused or self._settled:
            return
        if now_ms >= account.next_zone_ms:
            yield from self._query_next_zone(account, now_ms)
        elif account.timer.is_due(now_ms):
            account.timer.record_send(now_ms)
            for zone in account.zones[: account.queried_zone_count]:
                yield from self._send(account, zone)

    @functools.singledispatchmethod
    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Handles a response of an account; ignores other messages."""
        del message, sender, now_ms
        yield from ()

    @handle.register
    def _(
        self,
        message: messages.Reserved,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Stores the first acknowledgement, and releases any further ones."""
        del sender
        account = self._account(message.budget_id)
        if account is None or account.reserved == message:
            return
        if account.reserved or self._settled:
            yield from self._queue.add(
                release_settlement(message, account.draw.bound_tokens),
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
        elif self._locator.zone_of(sender) == account.zones[0]:
            self.refused = message

    def reduce(self, spent_tokens: int) -> Iterator[effects.Effects]:
        """Lowers the reserved bounds to the actual cost."""
        for account in self._accounts:
            reserved = account.reserved
            recipient = self._locator.recipient(
                self._locator.zone_shard_of(
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
        """Bills the cost on each account; 0 releases all requested draws."""
        if self._settled:
            return
        self._settled = True
        for account in self._accounts:
            if account.reserved is None:
                for zone in account.zones[: account.queried_zone_count]:
                    yield from self._release_unconfirmed(account, zone, now_ms)
                continue
            bound_tokens = account.draw.bound_tokens
            yield from self._queue.add(
                msgspec.structs.replace(
                    release_settlement(account.reserved, bound_tokens),
                    spent_tokens=min(spent_tokens, bound_tokens),
                ),
                account.reserved.availability_zone,
                now_ms,
            )

    def _next_unreserved(self) -> _AccountDraw | None:
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

    def _query_next_zone(
        self, account: _AccountDraw, now_ms: int
    ) -> Iterator[effects.Effects]:
        zone = account.zones[account.queried_zone_count]
        account.queried_zone_count += 1
        account.timer.record_send(now_ms)
        is_last = account.queried_zone_count == len(account.zones)
        account.next_zone_ms = (
            _NEVER_MS if is_last else now_ms + ZONE_TIMEOUT_MS
        )
        yield from self._send(account, zone)

    def _send(
        self, account: _AccountDraw, zone: identifiers.AvailabilityZone
    ) -> Iterator[effects.Effects]:
        zone_shard = self._locator.zone_shard_of(account.draw.budget_id, zone)
        recipient = self._locator.recipient(zone_shard)
        if recipient is not None:
            yield effects.Send(
                recipient=recipient, message=self._reserve_message(account)
            )

    def _reserve_message(self, account: _AccountDraw) -> messages.Reserve:
        return messages.Reserve(
            reservation_id=self._reservation_id,
            budget_id=account.draw.budget_id,
            bound_tokens=account.draw.bound_tokens,
            deadline_ms=self._deadline_ms,
        )

    def _redirect(
        self, account: _AccountDraw, message: messages.ReserveRefused
    ) -> Iterator[effects.Effects]:
        if message.primary is not None and account.timer.consume_redirect():
            yield effects.Send(
                recipient=message.primary,
                message=self._reserve_message(account),
            )

    def _release_other_zones(
        self, account: _AccountDraw, now_ms: int
    ) -> Iterator[effects.Effects]:
        for zone in account.zones[: account.queried_zone_count]:
            if zone != account.reserved.availability_zone:
                yield from self._release_unconfirmed(account, zone, now_ms)

    def _release_unconfirmed(
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


def release_settlement(
    reserved: messages.Reserved, bound_tokens: int
) -> messages.Settle:
    """Returns the settlement that releases a reservation in one account."""
    return messages.Settle(
        reservation_id=reserved.reservation_id,
        budget_id=reserved.budget_id,
        epoch=reserved.epoch,
        sequence=reserved.sequence,
        bound_tokens=bound_tokens,
        spent_tokens=0,
    )
