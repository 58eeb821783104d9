"""Settlements that are repeated until the accounts acknowledge them.

See Also:
    bambooglade.budgets.messages: `Settle` and its answers.
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
from bambooglade.operations import directory as directory_module
from bambooglade.operations import retry
from bambooglade.shards import assignments

MAX_SENT_PER_TICK = 200
"""Bounds the burst after an outage; the rest goes with the next ticks."""


class SettlementId(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Names one settlement: a numbered reservation in a zone's account."""

    reservation_id: messages.ReservationId
    budget_id: identifiers.BudgetId
    availability_zone: identifiers.AvailabilityZone
    epoch: identifiers.Epoch
    sequence: int


@dataclasses.dataclass(slots=True)
class _Queued:
    settle: messages.Settle
    place: assignments.ZoneShard
    timer: retry.RetryTimer


class SettlementQueue:
    """The settlements of one entry that are not acknowledged yet.

    Args:
        directory: Finds the primary of an account.

    Examples:
        >>> SettlementQueue(directory=None)
        SettlementQueue(pending=0)
    """

    __slots__ = ("_by_id", "_count_by_reservation", "_directory", "_due")

    def __init__(self, *, directory: directory_module.Directory) -> None:
        self._directory = directory
        self._by_id: dict[SettlementId, _Queued] = {}
        self._due: list[tuple[int, SettlementId]] = []
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
        """Queues a settlement and sends it; one that is queued is left."""
        settlement_id = _id_of(settle, availability_zone)
        if settlement_id in self._by_id:
            return
        queued = _Queued(
            settle=settle,
            place=self._directory.place_of(settle.budget_id, availability_zone),
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
        """Takes an answer of an account; others are ignored."""
        del message, sender, now_ms
        yield from ()

    @handle.register
    def _(
        self,
        message: messages.Settled,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Forgets a settlement that the sender's zone acknowledged."""
        del now_ms
        zone = self._directory.zone_of(sender)
        if self._by_id.pop(_id_of(message, zone), None) is not None:
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
        """Follows a redirect to the primary that the receiver named."""
        del now_ms
        zone = self._directory.zone_of(sender)
        queued = self._by_id.get(_id_of(message, zone))
        if queued is None or message.primary is None:
            return
        if queued.timer.may_follow():
            yield effects.Send(recipient=message.primary, message=queued.settle)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Repeats what is due, a bounded number at a time."""
        sent = 0
        while self._due and self._due[0][0] <= now_ms:
            if sent == MAX_SENT_PER_TICK:
                return
            next_ms, settlement_id = heapq.heappop(self._due)
            queued = self._by_id.get(settlement_id)
            if queued is not None and queued.timer.next_ms == next_ms:
                yield from self._send(settlement_id, queued, now_ms)
                sent += 1

    def _send(
        self, settlement_id: SettlementId, queued: _Queued, now_ms: int
    ) -> Iterator[effects.Effects]:
        queued.timer.sent(now_ms)
        heapq.heappush(self._due, (queued.timer.next_ms, settlement_id))
        recipient = self._directory.recipient(queued.place)
        if recipient is not None:
            yield effects.Send(recipient=recipient, message=queued.settle)

    def __repr__(self) -> str:
        return f"SettlementQueue(pending={len(self)})"


def _id_of(
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
