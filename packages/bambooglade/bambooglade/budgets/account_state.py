"""An account with its waiting requests, recalls and recent demand."""

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
"""Requests stop waiting for a zone that has not responded in this time."""

RECALL_RETRY_MS = 400
"""Pause before a recall is sent to the same zone again."""

LEDGER_MAX_AGE_MS = 200
"""Maximum age, at the arrival of a request, of a ledger used to refuse it."""


@dataclasses.dataclass(slots=True)
class Waiter:
    """A request that waits for its reservation."""

    request: messages.Reserve
    sender: identifiers.InstanceId
    since_ms: int


@dataclasses.dataclass(slots=True)
class Recall:
    """A request to another zone to return rights, and its response.

    Attributes:
        requested_at_ms: Time of the request.
        least_tokens: Shortfall of the smallest waiting request at that time.
        response: The response; None until it arrives.
    """

    requested_at_ms: int
    least_tokens: int
    response: messages.RecallAnswered | None = None

    def is_pending(self, now_ms: int) -> bool:
        """Returns whether a response may still arrive."""
        return (
            self.response is None
            and now_ms - self.requested_at_ms < RECALL_TIMEOUT_MS
        )

    def should_resend(self, least_tokens: int, now_ms: int) -> bool:
        """Returns whether the retry is due or a smaller request arrived."""
        if self.response is None:
            return now_ms - self.requested_at_ms >= RECALL_TIMEOUT_MS
        return (
            least_tokens < self.least_tokens
            or now_ms - self.requested_at_ms >= RECALL_RETRY_MS
        )


@dataclasses.dataclass(slots=True)
class PendingReturn:
    """Rights that this zone returns on behalf of another zone.

    Attributes:
        sender: Instance to notify when the return is written.
        tokens: Number of rights.
        returned_target: Value that the cumulative `returned` counter of the
            document has to reach.
    """

    sender: identifiers.InstanceId
    tokens: int
    returned_target: int


def _never_suspected(instance_id: identifiers.InstanceId) -> bool:
    return False


@dataclasses.dataclass(slots=True)
class AccountState:
    """The state of one account at the primary of its zone.

    Attributes:
        account: The rights and their use.
        ledger: The account in the newest document; None if it is absent.
        ledger_read_ms: When the document was last read.
        waiters: Requests that wait for rights, in order of arrival.
        recall_by_zone: The latest recall sent to each other zone.
        pending_return_by_zone: Returns requested by other zones that are not
            yet written to the document.
        meter: Recent demand.
        is_suspected: Whether an entry instance is suspected to have failed;
            waiting requests do not count on its reservations.
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
        """Bounds reserved in this epoch by suspected instances."""
        return sum(
            record.bound_tokens
            for number, record in self.account.open_by_number.items()
            if number.epoch == self.account.epoch
            and self.is_suspected(record.reservation_id.entry)
        )

    @property
    def reclaimable_tokens(self) -> int:
        """Reserved or freed rights that may become available in this zone."""
        account = self.account
        return account.reserved - self.orphaned_tokens + account.pending_freed

    def has_fresh_ledger(self, since_ms: int) -> bool:
        """Returns whether the ledger is recent enough for a request."""
        return self.ledger_read_ms + LEDGER_MAX_AGE_MS >= since_ms

    @property
    def waiting_tokens(self) -> int:
        """Sum of the bounds of the waiting requests."""
        return sum(waiter.request.bound_tokens for waiter in self.waiters)

    @property
    def smallest_shortfall(self) -> int:
        """Shortfall of the smallest waiting request; 0 if none waits."""
        smallest = min(
            (waiter.request.bound_tokens for waiter in self.waiters), default=0
        )
        return max(0, smallest - max(0, self.account.unused))

    @property
    def remaining_tokens(self) -> int:
        """Prepaid tokens minus those that all zones reported as spent."""
        if self.ledger is None:
            return 0
        return self.ledger.prepaid_tokens - sum(
            counters.settled
            for counters in self.ledger.counters_by_availability_zone.values()
        )

    def refill_inputs(
        self, *, reserve_share: float, zone_count: int
    ) -> refill_policy.RefillInputs:
        """Returns the inputs of the refill policy."""
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
        """Returns whether a request with this id is waiting."""
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
