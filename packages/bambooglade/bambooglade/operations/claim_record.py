"""The record of one key at its arbiter, and how it changes."""

from __future__ import annotations

import enum

import msgspec

from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.operations import messages
from bambooglade.shards import registry

HISTORY_RECORD = ""
"""Id of the record that tells when the other records were last lost."""

_NEVER_MS = 1 << 62


class RecordState(enum.StrEnum):
    """What is known of a key.

    `FREE`: nobody holds it. `HELD`: a run may be in progress. `FINISHED`: run
    and billed. `UNKNOWN`: a run that may not be repeated and has no outcome.
    """

    FREE = "free"
    HELD = "held"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class Surcharge(msgspec.Struct, frozen=True, kw_only=True):
    """What a later run of a key is billed beyond the bill of the first one.

    Attributes:
        attempt: The attempt that ran.
        tokens: What it delivered beyond what was billed until then.
    """

    attempt: messages.Attempt
    tokens: int


class ClaimRecord(registry.Record, frozen=True, kw_only=True):
    """What the arbiter keeps of one key.

    Attributes:
        repeatable: Whether running the request twice does no harm.
        changed_at_ms: When it last changed.
        evict_at_ms: When it may be forgotten.
        fingerprint: Hash of the request; empty while only withdrawals came.
        state: What is known.
        holder: Who holds the claim, or ran the key.
        expires_at_ms: When the run of the holder has ended at the latest.
        withdrawn_by_entry: Highest attempt of each entry that never ran.
        spent_tokens: What the holder was billed.
        surcharges: What later runs were billed.
        target_id: The target that answered.
        answer: The kept answer.
        may_have_run: Whether the claim was taken over from a holder whose run
            was never reported.
    """

    repeatable: bool
    changed_at_ms: int
    evict_at_ms: int
    fingerprint: str = ""
    state: RecordState = RecordState.FREE
    holder: messages.Attempt | None = None
    expires_at_ms: int = 0
    withdrawn_by_entry: dict[identifiers.InstanceId, int] = msgspec.field(
        default_factory=dict
    )
    spent_tokens: int = 0
    surcharges: tuple[Surcharge, ...] = ()
    target_id: identifiers.TargetId | None = None
    answer: calls.KeptAnswer | None = None
    may_have_run: bool = False

    @property
    def billed_tokens(self) -> int:
        """The bill of the key: as much as its largest run delivered."""
        return self.spent_tokens + sum(s.tokens for s in self.surcharges)

    def share_of(self, attempt: messages.Attempt) -> int | None:
        """Returns what an attempt is billed; None if it is on no bill."""
        if attempt == self.holder:
            return self.spent_tokens
        return next(
            (s.tokens for s in self.surcharges if s.attempt == attempt), None
        )

    def is_withdrawn(self, attempt: messages.Attempt) -> bool:
        """Returns whether an attempt said that it never ran."""
        highest = self.withdrawn_by_entry.get(attempt.entry, 0)
        return attempt.number <= highest

    def is_older_attempt(self, attempt: messages.Attempt) -> bool:
        """Returns whether the holder is a later attempt of the same entry."""
        return (
            self.holder is not None
            and self.holder.entry == attempt.entry
            and attempt.number < self.holder.number
        )

    def is_superseded_by(self, attempt: messages.Attempt) -> bool:
        """Returns whether the attempt replaces the holder.

        An entry makes a new attempt only after it gave up the one before.
        """
        return (
            self.holder is not None
            and self.holder.entry == attempt.entry
            and attempt.number > self.holder.number
        )

    def is_expired(self, now_ms: int) -> bool:
        """Returns whether the holder's run has ended without a report."""
        return self.state is RecordState.HELD and now_ms >= self.expires_at_ms

    def held_by(
        self, claim: messages.Claim, *, expires_at_ms: int
    ) -> ClaimRecord:
        """Returns the record with the claim granted."""
        return msgspec.structs.replace(
            self,
            state=RecordState.HELD,
            fingerprint=claim.fingerprint,
            repeatable=claim.repeatable,
            holder=claim.attempt,
            expires_at_ms=expires_at_ms,
            may_have_run=self.may_have_run or self.state is RecordState.HELD,
        )

    def without(self, attempt: messages.Attempt) -> ClaimRecord:
        """Returns the record with an attempt withdrawn."""
        withdrawn = dict(self.withdrawn_by_entry)
        withdrawn[attempt.entry] = max(
            withdrawn.get(attempt.entry, 0), attempt.number
        )
        is_holder = self.holder == attempt or self.is_superseded_by(attempt)
        if self.state is not RecordState.HELD or not is_holder:
            return msgspec.structs.replace(self, withdrawn_by_entry=withdrawn)
        return msgspec.structs.replace(
            self,
            withdrawn_by_entry=withdrawn,
            state=RecordState.FREE,
            holder=None,
        )

    def after_run(self, report: messages.ReportRun) -> ClaimRecord:
        """Returns the record with a reported run, which is the one billed."""
        is_unknown = (
            not report.repeatable
            and report.end.result is calls.RunResult.UNKNOWN
        )
        return msgspec.structs.replace(
            self,
            state=RecordState.UNKNOWN if is_unknown else RecordState.FINISHED,
            fingerprint=report.fingerprint,
            repeatable=report.repeatable,
            holder=report.attempt,
            spent_tokens=report.end.spent_tokens,
            target_id=report.end.target_id,
            answer=report.end.answer,
        )

    def after_larger_run(self, report: messages.ReportRun) -> ClaimRecord:
        """Returns the record with a run that delivered more than is billed."""
        surcharge = Surcharge(
            attempt=report.attempt,
            tokens=report.end.spent_tokens - self.billed_tokens,
        )
        return msgspec.structs.replace(
            self, surcharges=(*self.surcharges, surcharge)
        )


def history_record(lost_at_ms: int) -> ClaimRecord:
    """Returns the record of a loss of all records."""
    return ClaimRecord(
        record_id=HISTORY_RECORD,
        version=1,
        repeatable=False,
        changed_at_ms=lost_at_ms,
        evict_at_ms=_NEVER_MS,
    )
