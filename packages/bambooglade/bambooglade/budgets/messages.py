"""Messages between an entry instance and the primary of an account's shard.

An entry instance resends each message until it receives a response; the
reservation id makes the messages idempotent.
"""

from __future__ import annotations

import enum

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers


class ReservationId(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Identifies one reservation by request key and entry instance.

    Attributes:
        key: Key of the request.
        entry: Instance that received the request.
        attempt: Incremented with each attempt of the key at the instance, so
            that late messages of earlier attempts have no effect.
    """

    key: identifiers.RequestKey
    entry: identifiers.InstanceId
    attempt: int = 0


UNKNOWN_EPOCH = identifiers.Epoch(0)
"""Epoch of a settlement whose reservation was never acknowledged.

Such a settlement ends a recorded reservation and rejects one that arrives
later under the same id. It does not reduce rights held for an epoch.
"""


class RefusalReason(enum.StrEnum):
    """Why a reservation was not granted."""

    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"
    NOT_PRIMARY = "not_primary"
    UNKNOWN_BUDGET = "unknown_budget"


class Reserve(effects.Message, frozen=True, kw_only=True):
    """Requests the zone's primary to reserve an upper bound in one account.

    Attributes:
        reservation_id: Identifies the reservation; makes it idempotent.
        budget_id: The account to draw on.
        bound_tokens: Upper bound of the cost, in tokens.
        deadline_ms: Time until which the primary may let the request wait for
            refills and settlements, in milliseconds since the epoch.
    """

    reservation_id: ReservationId
    budget_id: identifiers.BudgetId
    bound_tokens: int
    deadline_ms: int


class Reserved(effects.Message, frozen=True, kw_only=True):
    """The bound is reserved under the epoch of the responding primary.

    An entry instance that no longer waits for this response, or that already
    has one with another zone, epoch or sequence, settles this reservation with
    0 tokens.

    Attributes:
        sequence: Number of the reservation within account, zone and epoch;
            `Reduce` and `Settle` contain it together with the epoch.
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
        primary: Instance to send the request to instead, for `NOT_PRIMARY`;
            None if unknown.
        detail: Explanation for callers and operators.
        retry_after_ms: Delay after which a retry may succeed; None if only a
            top-up can help.
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

    It is sent once, without a response, since it only frees rights earlier.
    """

    reservation_id: ReservationId
    budget_id: identifiers.BudgetId
    epoch: identifiers.Epoch
    sequence: int
    bound_tokens: int
    reduced_tokens: int


class Settle(effects.Message, frozen=True, kw_only=True):
    """Bills the actual cost and ends the reservation; 0 frees the full bound.

    Attributes:
        epoch: Epoch under which the reservation was made; a later primary
            deducts the bound from the rights that it holds for that epoch.
            `UNKNOWN_EPOCH` if the reservation was never acknowledged.
        sequence: Number of the reservation from `Reserved`; 0 with
            `UNKNOWN_EPOCH`.
        bound_tokens: Bound of the reservation, for a primary without a record
            of it.
        spent_tokens: Actual cost in tokens; at most the bound.
    """

    reservation_id: ReservationId
    budget_id: identifiers.BudgetId
    epoch: identifiers.Epoch
    sequence: int
    bound_tokens: int
    spent_tokens: int


class Settled(effects.Message, frozen=True, kw_only=True):
    """The settlement is recorded at the primary and the backup."""

    reservation_id: ReservationId
    budget_id: identifiers.BudgetId
    epoch: identifiers.Epoch
    sequence: int


class SettleMisdirected(effects.Message, frozen=True, kw_only=True):
    """The receiver is not the primary and did not record the settlement."""

    reservation_id: ReservationId
    budget_id: identifiers.BudgetId
    epoch: identifiers.Epoch
    sequence: int
    primary: identifiers.InstanceId | None


class RecallRights(effects.Message, frozen=True, kw_only=True):
    """Requests another zone's primary to return rights that it does not need.

    Attributes:
        availability_zone: The zone that needs the rights.
        wanted_tokens: Shortfall of that zone for all its waiting requests.
        least_tokens: Shortfall for the smallest of them.
    """

    budget_id: identifiers.BudgetId
    availability_zone: identifiers.AvailabilityZone
    wanted_tokens: int
    least_tokens: int


class RecallAnswered(effects.Message, frozen=True, kw_only=True):
    """Response to `RecallRights` with the rights that the zone returned.

    Attributes:
        availability_zone: The responding zone.
        returned_tokens: Rights returned in the document for this recall.
        reserved_tokens: Rights reserved in the zone by requests in progress;
            a part may become free when they are settled.
        held_tokens: Rights held in the zone for an earlier epoch, or reserved
            by instances suspected to have failed.
        unused_tokens: Unused rights kept for requests that wait in the zone,
            or in transfer to another zone.
    """

    budget_id: identifiers.BudgetId
    availability_zone: identifiers.AvailabilityZone
    returned_tokens: int
    reserved_tokens: int
    held_tokens: int
    unused_tokens: int
