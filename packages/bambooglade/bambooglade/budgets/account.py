"""The rights of one budget in one zone, as counted by the zone's primary.

    used = settled + reserved + held + pending_freed
    used <= limit <= granted - returned

The usage limit takes effect when the backup has acknowledged it; without a
backup, all granted rights may be used. Tokens that a settlement or an operator
frees are counted as `pending_freed` until the backup has acknowledged the
change: a promoted backup would otherwise count them as held for a request that
can still settle.
"""

from __future__ import annotations

from bambooglade.budgets import messages
from bambooglade.budgets import records
from bambooglade.core import identifiers
from bambooglade.shards import document as documents


class ZoneAccount:
    """The rights of one budget in one zone; all amounts are in tokens.

    Args:
        budget_id: The budget.
        epoch: Epoch of the primary.

    Attributes:
        granted: Rights moved to the zone in the document, cumulative.
        returned: Rights returned by the zone, cumulative; changed here first
            and written to the document afterwards.
        proposed_limit: Usage limit sent to the backup; it takes effect when
            the backup acknowledges it.
        acknowledged_limit: Usage limit that the backup acknowledged.
        max_backup_limit: Highest usage limit that the backup may still apply.
        generation: Incremented when the limit is lowered; notices of earlier
            generations are ignored.
        settled: Tokens spent by settled requests, cumulative.
        pending_freed: Freed tokens that the backup has not acknowledged.
        reserved: Sum of the bounds of this epoch's open reservations.
        held: Rights held for earlier epochs, keyed by the last such epoch.
        releases: The most recent releases of held rights.
        open_by_number: Known open reservations of all epochs.
        settling_by_number: Settled reservations whose settlement the backup
            has not acknowledged.
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
        """The rights that are spent, reserved, held or pending release."""
        return (
            self.settled + self.reserved + self.held_tokens + self.pending_freed
        )

    @property
    def rights(self) -> int:
        """The rights present in the zone, including spent ones."""
        return self.granted - self.returned

    @property
    def unused(self) -> int:
        """The unused rights, inside or outside the usage limit."""
        return self.rights - self.used

    @property
    def limit(self) -> int:
        """The usage limit that is currently in effect."""
        if not self.needs_backup:
            return self.rights
        return min(self.proposed_limit, self.acknowledged_limit)

    @property
    def free(self) -> int:
        """The tokens that can be reserved immediately."""
        return self.limit - self.used

    @property
    def can_write_returned(self) -> bool:
        """Whether the backup can no longer use the returned rights."""
        return not self.needs_backup or self.max_backup_limit <= self.rights

    @property
    def replicated_settled(self) -> int:
        """Tokens spent by settlements that the backup has acknowledged."""
        return self.settled - sum(
            record.spent_tokens for record in self.settling_by_number.values()
        )

    def reserve(
        self, reservation_id: messages.ReservationId, bound_tokens: int
    ) -> records.ReservationRecord:
        """Records a reservation; the caller must have checked `free`."""
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
        """Stores an open reservation without changing the counters."""
        self.open_by_number[record.number] = record
        self.number_by_id[record.reservation_id] = record.number

    def remove_open(
        self, number: records.ReservationNumber
    ) -> records.ReservationRecord | None:
        """Removes an open reservation without changing the counters."""
        record = self.open_by_number.pop(number, None)
        if record is not None:
            current_number = self.number_by_id.get(record.reservation_id)
            if current_number == number:
                del self.number_by_id[record.reservation_id]
        return record

    def raise_limit(self, limit: int) -> None:
        """Raises the proposed limit, at most to all rights of the zone."""
        self.proposed_limit = max(self.proposed_limit, min(limit, self.rights))
        self.max_backup_limit = max(self.max_backup_limit, self.proposed_limit)
        self.version += 1

    def acknowledge_raised_limit(self, limit: int, generation: int) -> None:
        """Applies the backup's acknowledgement of a raised limit."""
        if generation == self.generation:
            self.acknowledged_limit = max(self.acknowledged_limit, limit)

    def lower_limit(self, limit: int) -> None:
        """Lowers the proposed limit, but not below the used rights."""
        self.proposed_limit = max(self.used, min(limit, self.proposed_limit))
        self.acknowledged_limit = min(
            self.acknowledged_limit, self.proposed_limit
        )
        self.generation += 1
        self.version += 1

    def acknowledge_lowered_limit(self, limit: int, generation: int) -> None:
        """Applies the backup's acknowledgement of a lowered limit.

        It also replaces the acknowledgement of a raised limit that was in
        flight when the limit was lowered.
        """
        if generation == self.generation:
            self.max_backup_limit = self.proposed_limit
            self.acknowledged_limit = max(self.acknowledged_limit, limit)

    def set_backup_required(self, *, required: bool) -> None:
        """Sets whether the limit depends on a backup's acknowledgement."""
        if required and not self.needs_backup:
            self.proposed_limit = self.acknowledged_limit = (
                self.max_backup_limit
            ) = self.used
            self.generation += 1
            self.version += 1
        self.needs_backup = required

    def return_rights(self, tokens: int) -> None:
        """Returns rights; also lowers the limit if it exceeds the rest.

        The returned rights are written to the document when
        `can_write_returned` is true.
        """
        self.returned += tokens
        if self.needs_backup and self.max_backup_limit > self.rights:
            self.lower_limit(self.rights)

    def merge_counters(self, counters: documents.ZoneCounters) -> None:
        """Merges the zone's counters of the document; they never decrease."""
        self.granted = max(self.granted, counters.granted)
        self.returned = max(self.returned, counters.returned)
        self.settled = max(self.settled, counters.settled)

    def set_held_rights(self, held: records.HeldRights) -> None:
        """Replaces the rights held for an epoch; removes an empty entry."""
        if held.tokens > 0:
            self.held[held.epoch] = held
        else:
            self.held.pop(held.epoch, None)
        self.version += 1

    def held_rights_for(
        self, epoch: identifiers.Epoch
    ) -> records.HeldRights | None:
        """Returns the held rights that a settlement of an epoch reduces."""
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
        """Installs a copied account record; called at the backup."""
        self.version = record.version
        self.proposed_limit = record.opened
        self.settled = record.settled
        self.next_sequence = record.next_sequence
        self.held = {held.epoch: held for held in record.held}
        self.releases = record.releases

    def record(self) -> records.AccountRecord:
        """Returns the record to copy to the backup."""
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
