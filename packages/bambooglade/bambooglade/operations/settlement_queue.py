"""Settlements that are resent until the accounts acknowledge them.

See Also:
    bambooglade.budgets.messages: `Settle` and the responses to it.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
import dataclasses
import functools
import heapq

import msgspec

from bambooglade.budgets import messages
from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import retry
from bambooglade.operations import shard_locator as locator_module
from bambooglade.shards import assignments

MAX_SENT_PER_TICK = 200
"""Limits the burst after an outage; later ticks send the remaining ones."""


class SettlementId(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Identifies one settlement: a reservation in the account of a zone."""

    reservation_id: messages.ReservationId
    budget_id: identifiers.BudgetId
    availability_zone: identifiers.AvailabilityZone
    epoch: identifiers.Epoch
    sequence: int


@dataclasses.dataclass(slots=True)
class _QueuedSettlement:
    settle: messages.Settle
    zone_shard: assignments.ZoneShard
    timer: retry.RetryTimer


class SettlementQueue:
    """The unacknowledged settlements of one entry instance.

    Args:
        locator: Locates the primary of an account.

    Examples:
        >>> SettlementQueue(locator=None)
        SettlementQueue(pending=0)
    """

    __slots__ = ("_by_id", "_count_by_reservation", "_locator", "_retry_queue")

    def __init__(self, *, locator: locator_module.ShardLocator) -> None:
        self._locator = locator
        self._by_id: dict[SettlementId, _QueuedSettlement] = {}
        self._retry_queue: list[tuple[int, SettlementId]] = []
        self._count_by_reservation: collections.Counter[
            messages.ReservationId
        ] = collections.Counter()

    def __len__(self) -> int:
        return len(self._by_id)

    def add(
        self,
        settle: messages.Settle,
        availability_zone: identifiers.AvailabilityZone,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Queues a settlement and sends it, unless it is already queued."""
        settlement_id = _settlement_id(settle, availability_zone)
        if settlement_id in self._by_id:
            return
        queued = _QueuedSettlement(
            settle=settle,
            zone_shard=self._locator.zone_shard_of(
                settle.budget_id, availability_zone
            ),
            timer=retry.RetryTimer(),
        )
        self._by_id[settlement_id] = queued
        self._count_by_reservation[settle.reservation_id] += 1
        yield from self._send(settlement_id, queued, now_ms)

    def is_pending(self, reservation_id: messages.ReservationId) -> bool:
        """Returns whether a reservation has unacknowledged settlements."""
        return reservation_id in self._count_by_reservation

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
        message: messages.Settled,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Removes a settlement that the sender's zone acknowledged."""
        del now_ms
        zone = self._locator.zone_of(sender)
        if self._by_id.pop(_settlement_id(message, zone), None) is not None:
            self._count_by_reservation[message.reservation_id] -= 1
            if not self._count_by_reservation[message.reservation_id]:
                del self._count_by_reservation[message.reservation_id]
        yield from ()

    @handle.register
    def _(
        self,
        message: messages.SettleMisdirected,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Resends the settlement to the primary named in a redirect."""
        del now_ms
        zone = self._locator.zone_of(sender)
        queued = self._by_id.get(_settlement_id(message, zone))
        if queued is None or message.primary is None:
            return
        if queued.timer.consume_redirect():
            yield effects.Send(recipient=message.primary, message=queued.settle)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Resends settlements that are due, a bounded number per call."""
        sent = 0
        while self._retry_queue and self._retry_queue[0][0] <= now_ms:
            if sent == MAX_SENT_PER_TICK:
                return
            next_ms, settlement_id = heapq.heappop(self._retry_queue)
            queued = self._by_id.get(settlement_id)
            if queued is not None and queued.timer.next_ms == next_ms:
                yield from self._send(settlement_id, queued, now_ms)
                sent += 1

    def _send(
        self,
        settlement_id: SettlementId,
        queued: _QueuedSettlement,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        queued.timer.record_send(now_ms)
        heapq.heappush(self._retry_queue, (queued.timer.next_ms, settlement_id))
        recipient = self._locator.recipient(queued.zone_shard)
        if recipient is not None:
            yield effects.Send(recipient=recipient, message=queued.settle)

    def __repr__(self) -> str:
        return f"SettlementQueue(pending={len(self)})"


def _settlement_id(
    message: messages.Settle | messages.Settled | messages.SettleMisdirected,
    availability_zone: identifiers.AvailabilityZone,
) -> SettlementId:
    return SettlementId(
        reservation_id=message.reservation_id,
        budget_id=message.budget_id,
        availability_zone=availability_zone,
        epoch=message.epoch,
        sequence=message.sequence,
    )
