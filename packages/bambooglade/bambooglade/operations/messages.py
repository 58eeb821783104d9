"""Messages between an entry instance and the arbiter of a request's key.

The arbiter is the primary of the key's shard in the key's arbiter zone. An
entry repeats each message until it is answered; the attempt makes that
idempotent.
"""

from __future__ import annotations

import enum

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import calls


class Attempt(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One attempt of an entry instance to run a key.

    Attributes:
        entry: The instance that took the call.
        number: Grows with each attempt of the entry, over all keys; a higher
            one of the same key says that the lower ones were given up before
            anything was dispatched.
    """

    entry: identifiers.InstanceId
    number: int


class Claim(effects.Message, frozen=True, kw_only=True):
    """Asks for the exclusive right to run and bill a key.

    Attributes:
        key: The idempotency key.
        attempt: The attempt that asks.
        fingerprint: Hash of the request, to detect a key that is reused.
        repeatable: Whether running the request twice does no harm.
        deadline_ms: When the run ends at the latest; milliseconds since the
            epoch.
        first_attempt: Whether no call with the key can have been made before.
    """

    key: identifiers.RequestKey
    attempt: Attempt
    fingerprint: str
    repeatable: bool
    deadline_ms: int
    first_attempt: bool = False


class ClaimGranted(effects.Message, frozen=True, kw_only=True):
    """The attempt holds the claim, on primary and backup.

    Attributes:
        key: The idempotency key.
        attempt: The attempt that asked.
        first: Whether no earlier run of the key can have been billed; False
            where the records may have been lost.
        never_ran: Whether no earlier run of the key is on record or in doubt.
    """

    key: identifiers.RequestKey
    attempt: Attempt
    first: bool = True
    never_ran: bool = True


class ClaimHeld(effects.Message, frozen=True, kw_only=True):
    """Another entry holds the claim, and its run may be in progress."""

    key: identifiers.RequestKey
    attempt: Attempt
    holder: identifiers.InstanceId


class ClaimFinished(effects.Message, frozen=True, kw_only=True):
    """The key was run and billed before.

    Attributes:
        key: The idempotency key.
        attempt: The attempt that asked.
        spent_tokens: What was billed.
        answer: The kept answer; None when it was too long or is gone.
    """

    key: identifiers.RequestKey
    attempt: Attempt
    spent_tokens: int
    answer: calls.StoredResponse | None


class ClaimRefusal(enum.StrEnum):
    """Why a claim was refused."""

    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    KEY_WITHOUT_AGE = "key_without_age"
    HISTORY_LOST = "history_lost"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NO_BACKUP = "no_backup"


class ClaimRefused(effects.Message, frozen=True, kw_only=True):
    """The attempt must not run."""

    key: identifiers.RequestKey
    attempt: Attempt
    reason: ClaimRefusal
    detail: str


class Withdraw(effects.Message, frozen=True, kw_only=True):
    """Says that the attempt and the earlier ones of its entry never ran.

    Nothing of them was dispatched, and nothing ever will be.
    """

    key: identifiers.RequestKey
    attempt: Attempt


class Withdrawn(effects.Message, frozen=True, kw_only=True):
    """The withdrawal is recorded."""

    key: identifiers.RequestKey
    attempt: Attempt


class ReportRun(effects.Message, frozen=True, kw_only=True):
    """Reports how the run of an attempt ended, and asks who is billed.

    Attributes:
        key: The idempotency key.
        attempt: The attempt that ran.
        fingerprint: Hash of the request.
        repeatable: Whether running the request twice does no harm.
        is_first_holder: Whether the attempt was granted the claim, and no
            earlier run can have been billed then.
        first_attempt: Whether no call with the key can have been made before.
        begun_at_ms: When the attempt began; milliseconds since the epoch.
        deadline_ms: When the run had to end at the latest.
        end: How the run ended.
    """

    key: identifiers.RequestKey
    attempt: Attempt
    fingerprint: str
    repeatable: bool
    is_first_holder: bool
    begun_at_ms: int
    deadline_ms: int
    end: calls.RunEnd
    first_attempt: bool = False


class Decision(enum.StrEnum):
    """What the arbiter decided on the bill of a run."""

    BILLED = "billed"
    VOIDED = "voided"
    PENDING = "pending"


class RunRecorded(effects.Message, frozen=True, kw_only=True):
    """The report is recorded.

    Attributes:
        key: The idempotency key.
        attempt: The attempt that reported.
        decision: `PENDING` asks the entry to report again later.
        spent_tokens: What the attempt is billed.
    """

    key: identifiers.RequestKey
    attempt: Attempt
    decision: Decision
    spent_tokens: int


class ResolveOutcome(effects.Message, frozen=True, kw_only=True):
    """Closes a key whose outcome is unknown, after an operator looked it up.

    Attributes:
        key: The idempotency key.
        spent_tokens: What it is billed; 0 if it did not run.
        operator: Who says so.
        look_up_id: Identifies the question; answered by `LookedUp`.
    """

    key: identifiers.RequestKey
    spent_tokens: int
    operator: str
    look_up_id: str


class LookUp(effects.Message, frozen=True, kw_only=True):
    """Asks what became of a key."""

    key: identifiers.RequestKey
    look_up_id: str


class OutcomeState(enum.StrEnum):
    """What the arbiter knows of a key.

    `NOT_RECORDED` says that no run was recorded up to now; an attempt that is
    under way may still be dispatched.
    """

    NOT_RECORDED = "not_recorded"
    IN_PROGRESS = "in_progress"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class LookedUp(effects.Message, frozen=True, kw_only=True):
    """Answer to `LookUp` and to `ResolveOutcome`.

    Attributes:
        key: The idempotency key.
        look_up_id: The id of the question.
        state: What is known.
        holder: The entry that holds the claim or ran the key.
        spent_tokens: What was billed.
        target_id: The target that gave the answer.
        answer: The kept answer.
        fingerprint: Hash of the request; empty when none is recorded.
    """

    key: identifiers.RequestKey
    look_up_id: str
    state: OutcomeState
    holder: identifiers.InstanceId | None = None
    spent_tokens: int = 0
    target_id: identifiers.TargetId | None = None
    answer: calls.StoredResponse | None = None
    fingerprint: str = ""


class ArbiterMisdirected(effects.Message, frozen=True, kw_only=True):
    """The receiver is not the primary of the key's place.

    Attributes:
        key: The idempotency key.
        primary: Where to ask instead; None if unknown.
    """

    key: identifiers.RequestKey
    primary: identifiers.InstanceId | None


TO_ARBITER: tuple[type[effects.Message], ...] = (
    Claim,
    Withdraw,
    ReportRun,
    ResolveOutcome,
    LookUp,
)
"""Messages for the claim book; each has a `key` that tells its shard."""

TO_ENTRY: tuple[type[effects.Message], ...] = (
    ClaimGranted,
    ClaimHeld,
    ClaimFinished,
    ClaimRefused,
    Withdrawn,
    RunRecorded,
    LookedUp,
    ArbiterMisdirected,
)
"""Messages for the coordinator."""
