"""The rights of one budget in one zone, as its primary counts them.

    used = settled + reserved + held + pending_freed
    used <= limit <= granted - returned

The limit is the opened mark that the backup acknowledged; without a backup it
is everything that is granted. What a settlement or an operator frees stays
pending_freed until the backup knows of it: a promoted backup would otherwise count
it as held for a request that can still settle.
"""

from __future__ import annotations

from bambooglade.budgets import messages
from bambooglade.budgets import records
from bambooglade.core import identifiers
from bambooglade.shards import document as documents


class ZoneAccount:
    """One account; all amounts are in tokens.

    Args:
        budget_id: The budget.
        epoch: Epoch of the primary.

    Attributes:
        granted: Rights that the document moved to the zone, cumulative.
        returned: Rights given back, cumulative; lowered here first, written to
            the document afterwards.
        opened: Mark below which the primary may reserve once acknowledged.
        acknowledged: Mark that the backup acknowledged.
        ceiling: Highest mark that the backup may still go by.
        generation: Grows when the mark is lowered; older notices are void.
        settled: Spent by settled requests, cumulative.
        pending_freed: Freed, but not yet known to the backup.
        reserved: Sum of the bounds of this epoch's open reservations.
        held: Rights held for earlier epochs, by the last of them.
        releases: The last releases of held rights.
        open_by_number: Open reservations that are known, of all epochs.
        settling_by_number: Settled ones that the backup does not know yet.
    """

    __slots__ = (
        "acknowledged_limit",
        "budget_id",
        "epoch",
        "generation",
        "granted",
        "held",
        "max_backup_limit",
        "needs_backup",
        "next_sequence",
        "number_by_id",
        "open_by_number",
        "pending_freed",
        "proposed_limit",
        "releases",
        "reserved",
        "returned",
        "settled",
        "settling_by_number",
        "version",
    )

    def __init__(
        self, *, budget_id: identifiers.BudgetId, epoch: identifiers.Epoch
    ) -> None:
        self.budget_id = budget_id
        self.epoch = epoch
        self.granted = 0
        self.returned = 0
        self.proposed_limit = 0
        self.acknowledged_limit = 0
        self.max_backup_limit = 0
        self.generation = 0
        self.needs_backup = False
        self.settled = 0
        self.pending_freed = 0
        self.reserved = 0
        self.next_sequence = 1
        self.version = 0
        self.releases: tuple[records.Release, ...] = ()
        self.held: dict[identifiers.Epoch, records.HeldRights] = {}
        self.open_by_number: dict[
            records.ReservationNumber, records.ReservationRecord
        ] = {}
        self.settling_by_number: dict[
            records.ReservationNumber, records.ReservationRecord
        ] = {}
        self.number_by_id: dict[
            messages.ReservationId, records.ReservationNumber
        ] = {}

    @property
    def held_tokens(self) -> int:
        """The rights held for earlier epochs."""
        return sum(held.tokens for held in self.held.values())

    @property
    def used(self) -> int:
        """What is spent, reserved, held or not yet released."""
        return (
            self.settled + self.reserved + self.held_tokens + self.pending_freed
        )

    @property
    def rights(self) -> int:
        """The rights that lie in the zone, spent ones included."""
        return self.granted - self.returned

    @property
    def unused(self) -> int:
        """The rights that nothing uses, opened or not."""
        return self.rights - self.used

    @property
    def limit(self) -> int:
        """Mark up to which the account may be used now."""
        if not self.needs_backup:
            return self.rights
        return min(self.proposed_limit, self.acknowledged_limit)

    @property
    def free(self) -> int:
        """What can be reserved at once."""
        return self.limit - self.used

    @property
    def can_write_returned(self) -> bool:
        """Whether the backup can't go by rights that were given back."""
        return not self.needs_backup or self.max_backup_limit <= self.rights

    @property
    def replicated_settled(self) -> int:
        """Spent by the settlements that a successor is sure to know."""
        return self.settled - sum(
            record.spent_tokens for record in self.settling_by_number.values()
        )

    def reserve(
        self, reservation_id: messages.ReservationId, bound_tokens: int
    ) -> records.ReservationRecord:
        """Records a reservation; the caller has checked `free`."""
        number = records.ReservationNumber(self.epoch, self.next_sequence)
        self.next_sequence += 1
        self.reserved += bound_tokens
        self.version += 1
        record = records.ReservationRecord(
            record_id=records.reservation_record_id(self.budget_id, number),
            version=1,
            budget_id=self.budget_id,
            number=number,
            reservation_id=reservation_id,
            bound_tokens=bound_tokens,
        )
        self.add_open(record)
        return record

    def add_open(self, record: records.ReservationRecord) -> None:
        """Keeps an open reservation without counting it again."""
        self.open_by_number[record.number] = record
        self.number_by_id[record.reservation_id] = record.number

    def remove_open(
        self, number: records.ReservationNumber
    ) -> records.ReservationRecord | None:
        """Forgets an open reservation without counting it."""
        record = self.open_by_number.pop(number, None)
        if record is not None:
            known = self.number_by_id.get(record.reservation_id)
            if known == number:
                del self.number_by_id[record.reservation_id]
        return record

    def raise_limit(self, mark: int) -> None:
        """Raises the opened mark, at most to all rights of the zone."""
        self.proposed_limit = max(self.proposed_limit, min(mark, self.rights))
        self.max_backup_limit = max(self.max_backup_limit, self.proposed_limit)
        self.version += 1

    def acknowledge_raised_limit(self, mark: int, generation: int) -> None:
        """Takes the backup's acknowledgement of a raised mark."""
        if generation == self.generation:
            self.acknowledged_limit = max(self.acknowledged_limit, mark)

    def lower_limit(self, mark: int) -> None:
        """Lowers the opened mark, at most to what is used."""
        self.proposed_limit = max(self.used, min(mark, self.proposed_limit))
        self.acknowledged_limit = min(
            self.acknowledged_limit, self.proposed_limit
        )
        self.generation += 1
        self.version += 1

    def acknowledge_lowered_limit(self, mark: int, generation: int) -> None:
        """Takes the backup's acknowledgement of a lowered mark.

        It stands for the acknowledgement of a raised one, too, that was on its
        way when the mark was lowered.
        """
        if generation == self.generation:
            self.max_backup_limit = self.proposed_limit
            self.acknowledged_limit = max(self.acknowledged_limit, mark)

    def set_backup_required(self, *, required: bool) -> None:
        """Starts or ends to depend on a backup's acknowledgements."""
        if required and not self.needs_backup:
            self.proposed_limit = self.acknowledged_limit = (
                self.max_backup_limit
            ) = self.used
            self.generation += 1
            self.version += 1
        self.needs_backup = required

    def return_rights(self, tokens: int) -> None:
        """Lowers the rights, and the mark with them if it is above them.

        They are written to the document once `can_write_returned` holds.
        """
        self.returned += tokens
        if self.needs_backup and self.max_backup_limit > self.rights:
            self.lower_limit(self.rights)

    def merge_counters(self, counters: documents.ZoneCounters) -> None:
        """Learns the zone's counters in the document; they never shrink."""
        self.granted = max(self.granted, counters.granted)
        self.returned = max(self.returned, counters.returned)
        self.settled = max(self.settled, counters.settled)

    def set_held_rights(self, held: records.HeldRights) -> None:
        """Replaces the rights held for an epoch; none are left out."""
        if held.tokens > 0:
            self.held[held.epoch] = held
        else:
            self.held.pop(held.epoch, None)
        self.version += 1

    def held_rights_for(
        self, epoch: identifiers.Epoch
    ) -> records.HeldRights | None:
        """Returns the held rights that a settlement of an epoch shrinks."""
        exact = self.held.get(epoch)
        if exact is not None:
            return exact
        later = [
            held
            for held in self.held.values()
            if held.epoch > epoch and not held.is_exact
        ]
        return min(later, key=lambda held: held.epoch, default=None)

    def install(self, record: records.AccountRecord) -> None:
        """Installs the primary's copy of the account, at the backup."""
        self.version = record.version
        self.proposed_limit = record.opened
        self.settled = record.settled
        self.next_sequence = record.next_sequence
        self.held = {held.epoch: held for held in record.held}
        self.releases = record.releases

    def record(self) -> records.AccountRecord:
        """Returns the record to be copied."""
        return records.AccountRecord(
            record_id=records.account_record_id(self.budget_id),
            version=self.version,
            budget_id=self.budget_id,
            opened=self.proposed_limit,
            settled=self.settled,
            next_sequence=self.next_sequence,
            held=tuple(self.held.values()),
            releases=self.releases,
        )

    def __repr__(self) -> str:
        return (
            f"ZoneAccount({self.budget_id}, rights={self.rights}, "
            f"used={self.used}, held={self.held_tokens}, limit={self.limit})"
        )
