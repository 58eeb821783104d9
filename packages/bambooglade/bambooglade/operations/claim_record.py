"""The record of one idempotency key at its arbiter, and its transitions."""

from __future__ import annotations

import enum

import msgspec

from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.operations import messages
from bambooglade.shards import registry

HISTORY_RECORD_ID = ""
"""Id of the record with the time at which all other records were lost."""

_NEVER_MS = 1 << 62


class RecordState(enum.StrEnum):
    """State of a key.

    `FREE`: no attempt holds the claim. `HELD`: the holder's run may be in
    progress. `FINISHED`: the request ran and was billed. `UNKNOWN`: the request
    is not safe to repeat, and whether it ran is not known.
    """

    FREE = "free"
    HELD = "held"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class Surcharge(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens that a later run of a key is billed in addition to earlier bills.

    Attributes:
        attempt: The attempt that ran.
        tokens: Tokens that it delivered beyond those billed before.
    """

    attempt: messages.Attempt
    tokens: int


class ClaimRecord(registry.Record, frozen=True, kw_only=True):
    """The record of one key, replicated from the arbiter to its backup.

    Times are in milliseconds since the epoch.

    Attributes:
        repeatable: Whether the request is safe to run more than once.
        changed_at_ms: Time of the last change.
        evict_at_ms: Earliest time of eviction.
        fingerprint: Hash of the request; empty as long as only withdrawals
            have been received.
        state: State of the key.
        holder: The attempt that holds the claim or ran the request.
        expires_at_ms: When the claim of the holder expires, some time after
            the latest end of its run.
        withdrawn_by_entry: Highest withdrawn attempt number of each entry.
        spent_tokens: Tokens billed for the run of the holder.
        surcharges: Tokens billed for later runs.
        target_id: The target that responded.
        answer: The stored response.
        may_have_run: Whether the claim was taken over from a holder that never
            reported its run.
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
    answer: calls.StoredResponse | None = None
    may_have_run: bool = False

    @property
    def billed_tokens(self) -> int:
        """Tokens billed for the key, as many as its largest run delivered."""
        return self.spent_tokens + sum(s.tokens for s in self.surcharges)

    def billed_tokens_of(self, attempt: messages.Attempt) -> int | None:
        """Returns the tokens billed for an attempt; None if unbilled."""
        if attempt == self.holder:
            return self.spent_tokens
        return next(
            (s.tokens for s in self.surcharges if s.attempt == attempt), None
        )

    def is_withdrawn(self, attempt: messages.Attempt) -> bool:
        """Returns whether an attempt has been withdrawn."""
        highest = self.withdrawn_by_entry.get(attempt.entry, 0)
        return attempt.number <= highest

    def is_stale_attempt(self, attempt: messages.Attempt) -> bool:
        """Returns whether the holder is a later attempt of the same entry."""
        return (
            self.holder is not None
            and self.holder.entry == attempt.entry
            and attempt.number < self.holder.number
        )

    def is_superseded_by(self, attempt: messages.Attempt) -> bool:
        """Returns whether the attempt is a later one of the holder's entry.

        An entry starts a new attempt only after it abandoned the previous one.
        """
        return (
            self.holder is not None
            and self.holder.entry == attempt.entry
            and attempt.number > self.holder.number
        )

    def is_expired(self, now_ms: int) -> bool:
        """Returns whether the holder's run has ended without a report."""
        return self.state is RecordState.HELD and now_ms >= self.expires_at_ms

    def with_holder(
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

    def with_withdrawal(self, attempt: messages.Attempt) -> ClaimRecord:
        """Returns the record after the withdrawal of an attempt."""
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

    def with_billed_run(self, report: messages.ReportRun) -> ClaimRecord:
        """Returns the record after a reported run, which is the billed one."""
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

    def with_surcharge(self, report: messages.ReportRun) -> ClaimRecord:
        """Returns the record with a surcharge for the unbilled tokens."""
        surcharge = Surcharge(
            attempt=report.attempt,
            tokens=report.end.spent_tokens - self.billed_tokens,
        )
        return msgspec.structs.replace(
            self, surcharges=(*self.surcharges, surcharge)
        )


def history_loss_record(lost_at_ms: int) -> ClaimRecord:
    """Returns the record that holds the time of the loss of all others."""
    return ClaimRecord(
        record_id=HISTORY_RECORD_ID,
        version=1,
        repeatable=False,
        changed_at_ms=lost_at_ms,
        evict_at_ms=_NEVER_MS,
    )
