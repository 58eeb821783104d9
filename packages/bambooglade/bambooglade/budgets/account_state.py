"""An account together with those that wait for it and what may still come."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from bambooglade.budgets import account as accounts
from bambooglade.budgets import messages
from bambooglade.budgets import refill_policy
from bambooglade.core import identifiers
from bambooglade.shards import document as documents

RECALL_TIMEOUT_MS = 500
"""A zone that did not answer a recall within this time is not waited for."""

RECALL_RETRY_MS = 400
"""Pause before the same zone is asked again."""

LEDGER_MAX_AGE_MS = 200
"""A ledger seen this long before a request is new enough to refuse it."""


@dataclasses.dataclass(slots=True)
class Waiter:
    """A request whose reservation waits, in the order of arrival."""

    request: messages.Reserve
    sender: identifiers.InstanceId
    since_ms: int


@dataclasses.dataclass(slots=True)
class Recall:
    """What another zone was asked to return, and what it answered.

    Attributes:
        requested_at_ms: When it was asked.
        least_tokens: What the smallest waiting request lacked then.
        answer: The answer; None as long as there is none.
    """

    requested_at_ms: int
    least_tokens: int
    response: messages.RecallAnswered | None = None

    def is_pending(self, now_ms: int) -> bool:
        """Returns whether an answer may still come."""
        return (
            self.response is None
            and now_ms - self.requested_at_ms < RECALL_TIMEOUT_MS
        )

    def should_resend(self, least_tokens: int, now_ms: int) -> bool:
        """Returns whether it is time to ask, or a smaller request came."""
        if self.response is None:
            return now_ms - self.requested_at_ms >= RECALL_TIMEOUT_MS
        return (
            least_tokens < self.least_tokens
            or now_ms - self.requested_at_ms >= RECALL_RETRY_MS
        )


@dataclasses.dataclass(slots=True)
class PendingReturn:
    """What this zone returns for another one.

    Attributes:
        returned_target: Cumulative counter to be seen in the document.
    """

    sender: identifiers.InstanceId
    tokens: int
    returned_target: int


def _never_suspected(instance_id: identifiers.InstanceId) -> bool:
    return False


@dataclasses.dataclass(slots=True)
class AccountState:
    """One account at its zone's primary.

    Attributes:
        account: The rights and their use.
        ledger: The account in the newest document; None if it has none.
        ledger_read_ms: When the document was last seen.
        waiters: Requests that wait for rights.
        recall_by_zone: What the other zones were asked for.
        pending_return_by_zone: What other zones asked of this one.
        meter: Recent demand.
        is_suspected: Whether an entry instance is believed to be gone, so that its
            reservations are not waited for.
    """

    account: accounts.ZoneAccount
    ledger: documents.Account | None = None
    ledger_read_ms: int = -LEDGER_MAX_AGE_MS
    waiters: list[Waiter] = dataclasses.field(default_factory=list)
    recall_by_zone: dict[identifiers.AvailabilityZone, Recall] = (
        dataclasses.field(default_factory=dict)
    )
    pending_return_by_zone: dict[
        identifiers.AvailabilityZone, PendingReturn
    ] = dataclasses.field(default_factory=dict)
    meter: refill_policy.DemandMeter = dataclasses.field(
        default_factory=refill_policy.DemandMeter
    )

    is_suspected: Callable[[identifiers.InstanceId], bool] = _never_suspected

    @property
    def orphaned_tokens(self) -> int:
        """Bounds of this epoch that instances which are gone reserved."""
        return sum(
            record.bound_tokens
            for number, record in self.account.open_by_number.items()
            if number.epoch == self.account.epoch
            and self.is_suspected(record.reservation_id.entry)
        )

    @property
    def reclaimable_tokens(self) -> int:
        """Reserved or freed rights that may become unused here."""
        account = self.account
        return account.reserved - self.orphaned_tokens + account.pending_freed

    def has_fresh_ledger(self, since_ms: int) -> bool:
        """Returns whether the ledger is new enough for a request."""
        return self.ledger_read_ms + LEDGER_MAX_AGE_MS >= since_ms

    @property
    def waiting_tokens(self) -> int:
        """Sum of the bounds of the waiting requests."""
        return sum(waiter.request.bound_tokens for waiter in self.waiters)

    @property
    def smallest_shortfall(self) -> int:
        """What the smallest waiting request lacks here; 0 if none waits."""
        smallest = min(
            (waiter.request.bound_tokens for waiter in self.waiters), default=0
        )
        return max(0, smallest - max(0, self.account.unused))

    @property
    def remaining_tokens(self) -> int:
        """Prepaid, less what all zones reported as spent."""
        if self.ledger is None:
            return 0
        return self.ledger.prepaid_tokens - sum(
            counters.settled
            for counters in self.ledger.counters_by_availability_zone.values()
        )

    def refill_inputs(
        self, *, reserve_share: float, zone_count: int
    ) -> refill_policy.RefillInputs:
        """Returns what the refill goes by."""
        return refill_policy.RefillInputs(
            waiting=self.waiting_tokens,
            smallest_shortfall=self.smallest_shortfall,
            demand_share=self._demand_share(),
            unused=self.account.unused,
            free=self.ledger.free_tokens if self.ledger else 0,
            remaining=self.remaining_tokens,
            tokens_per_s=self.meter.tokens_per_s,
            reserve_share=reserve_share,
            zone_count=zone_count,
        )

    def _demand_share(self) -> float | None:
        if self.ledger is None:
            return None
        spent = sum(
            counters.settled
            for counters in self.ledger.counters_by_availability_zone.values()
        )
        own = min(self.account.settled, spent)
        return own / spent if spent > 0 else None

    def other_zones_with_rights(
        self, own_zone: identifiers.AvailabilityZone
    ) -> Iterator[identifiers.AvailabilityZone]:
        """Yields the other zones that may have unspent rights."""
        if self.ledger is None:
            return
        by_zone = self.ledger.counters_by_availability_zone
        for zone, counters in sorted(by_zone.items()):
            if zone != own_zone and counters.outstanding > counters.settled:
                yield zone

    def is_waiting(self, reservation_id: messages.ReservationId) -> bool:
        """Returns whether a request with this id waits."""
        return any(
            waiter.request.reservation_id == reservation_id
            for waiter in self.waiters
        )

    def stop_waiting(self, reservation_id: messages.ReservationId) -> None:
        """Removes a waiting request."""
        self.waiters = [
            waiter
            for waiter in self.waiters
            if waiter.request.reservation_id != reservation_id
        ]
