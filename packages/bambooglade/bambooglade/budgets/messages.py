"""Messages between an entry instance and the primary of an account's shard.

An entry repeats each of them until it is answered; the reservation id makes
that idempotent.
"""

from __future__ import annotations

import enum

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers


class ReservationId(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Names one reservation: the request's key and the instance it is for.

    Attributes:
        attempt: Grows with each attempt of the key at the instance, so that a
            late message of an earlier attempt changes nothing.
    """

    key: identifiers.RequestKey
    entry: identifiers.InstanceId
    attempt: int = 0


UNKNOWN_EPOCH = identifiers.Epoch(0)
"""Epoch of a settlement whose reservation was never acknowledged.

Such a settlement ends a recorded reservation, and refuses one that arrives
later under the same id; it takes nothing out of rights held for an epoch.
"""


class RefusalReason(enum.StrEnum):
    """Why a reservation was not granted."""

    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"
    NOT_PRIMARY = "not_primary"
    UNKNOWN_BUDGET = "unknown_budget"


class Reserve(effects.Message, frozen=True, kw_only=True):
    """Asks the zone's primary to reserve an upper bound in one account.

    Attributes:
        reservation_id: Identifies the reservation; repeating is harmless.
        budget_id: The account to draw on.
        bound_tokens: Upper bound of the cost, in tokens.
        deadline_ms: Until when the primary may let the request wait for
            refills and settlements; milliseconds since the epoch.
    """

    reservation_id: ReservationId
    budget_id: identifiers.BudgetId
    bound_tokens: int
    deadline_ms: int


class Reserved(effects.Message, frozen=True, kw_only=True):
    """The bound is reserved under an epoch of the answering primary's place.

    An entry that does not wait for this answer any more, or that already has
    one with another zone, epoch or sequence, settles this one with 0 tokens.

    Attributes:
        sequence: Number of the reservation within account, zone and epoch;
            `Reduce` and `Settle` repeat it with the epoch.
    """

    reservation_id: ReservationId
    budget_id: identifiers.BudgetId
    bound_tokens: int = 0
    availability_zone: identifiers.AvailabilityZone
    epoch: identifiers.Epoch
    sequence: int


class ReserveRefused(effects.Message, frozen=True, kw_only=True):
    """Nothing was reserved.

    Attributes:
        primary: Where to ask instead, for `NOT_PRIMARY`; None if unknown.
        detail: Explanation for callers and operators.
        retry_after_ms: When asking again is sensible; None when only a top-up
            helps.
    """

    reservation_id: ReservationId
    budget_id: identifiers.BudgetId
    bound_tokens: int = 0
    reason: RefusalReason
    detail: str
    primary: identifiers.InstanceId | None = None
    retry_after_ms: int | None = None


class Reduce(effects.Message, frozen=True, kw_only=True):
    """Lowers a reservation to the actual cost while its bill is undecided.

    It is sent once and not answered; it only gives rights back sooner.
    """

    reservation_id: ReservationId
    budget_id: identifiers.BudgetId
    epoch: identifiers.Epoch
    sequence: int
    bound_tokens: int
    reduced_tokens: int


class Settle(effects.Message, frozen=True, kw_only=True):
    """Bills the actual cost and ends the reservation; 0 credits it back.

    Attributes:
        epoch: Epoch under which the reservation was made; a later primary
            takes the bound out of the rights that it holds for that epoch.
            `UNKNOWN_EPOCH` if the reservation was never acknowledged.
        sequence: Number of the reservation, as `Reserved` gave it; 0 with
            `UNKNOWN_EPOCH`.
        bound_tokens: Bound of the reservation, for a primary without a record.
        spent_tokens: Actual cost in tokens; at most the bound.
    """

    reservation_id: ReservationId
    budget_id: identifiers.BudgetId
    epoch: identifiers.Epoch
    sequence: int
    bound_tokens: int
    spent_tokens: int


class Settled(effects.Message, frozen=True, kw_only=True):
    """The settlement is recorded on primary and backup."""

    reservation_id: ReservationId
    budget_id: identifiers.BudgetId
    epoch: identifiers.Epoch
    sequence: int


class SettleMisdirected(effects.Message, frozen=True, kw_only=True):
    """The receiver is not the primary; the settlement has to go elsewhere."""

    reservation_id: ReservationId
    budget_id: identifiers.BudgetId
    epoch: identifiers.Epoch
    sequence: int
    primary: identifiers.InstanceId | None


class RecallRights(effects.Message, frozen=True, kw_only=True):
    """Asks another zone's primary to return rights that it does not need.

    Attributes:
        availability_zone: The zone that needs them.
        wanted_tokens: How much it lacks for all requests that wait there.
        least_tokens: How much it lacks for the smallest of them.
    """

    budget_id: identifiers.BudgetId
    availability_zone: identifiers.AvailabilityZone
    wanted_tokens: int
    least_tokens: int


class RecallAnswered(effects.Message, frozen=True, kw_only=True):
    """What a zone returned to the free part of the budget, if anything.

    Attributes:
        availability_zone: The answering zone.
        returned_tokens: Returned in the document for this recall.
        reserved_tokens: Reserved there by requests in progress; a part of it
            may come back when they are settled.
        held_tokens: Held there for an earlier epoch, or reserved by instances
            that are gone.
        unused_tokens: Kept there for requests that wait there, or on their
            way to another zone.
    """

    budget_id: identifiers.BudgetId
    availability_zone: identifiers.AvailabilityZone
    returned_tokens: int
    reserved_tokens: int
    held_tokens: int
    unused_tokens: int
