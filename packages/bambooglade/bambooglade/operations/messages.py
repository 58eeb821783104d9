"""Messages between an entry instance and the arbiter of an idempotency key.

The entry instance is the one that received the request. The arbiter is the
primary of the key's shard in the key's arbiter zone. An entry resends each
message until the arbiter responds; the arbiter recognizes duplicates by the
attempt.
"""

from __future__ import annotations

import enum

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import calls


class Attempt(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One attempt of an entry instance to run the request of a key.

    Attributes:
        entry: The instance that received the request.
        number: Increases with each attempt of the entry, over all keys. A
            higher number for the same key implies that the entry abandoned
            the lower ones before it dispatched anything.
    """

    entry: identifiers.InstanceId
    number: int


class Claim(effects.Message, frozen=True, kw_only=True):
    """Requests the exclusive right to run and bill a key.

    Attributes:
        key: The idempotency key.
        attempt: The attempt that requests the claim.
        fingerprint: Hash of the request, to detect a reused key.
        repeatable: Whether the request is safe to run more than once.
        deadline_ms: Latest end of the run; milliseconds since the epoch.
        first_attempt: Whether the key is certainly new; see `calls.Call`.
    """

    key: identifiers.RequestKey
    attempt: Attempt
    fingerprint: str
    repeatable: bool
    deadline_ms: int
    first_attempt: bool = False


class ClaimGranted(effects.Message, frozen=True, kw_only=True):
    """Grants the claim to the attempt.

    For a request that is not safe to repeat, the grant is sent only after the
    backup has a copy, or the platform's service has confirmed the primary.

    Attributes:
        key: The idempotency key.
        attempt: The attempt that requested the claim.
        first: Whether no earlier run of the key can have been billed; False if
            records that cover the key may have been lost.
        never_ran: Whether no earlier run of the key is recorded or possible.
    """

    key: identifiers.RequestKey
    attempt: Attempt
    first: bool = True
    never_ran: bool = True


class ClaimHeld(effects.Message, frozen=True, kw_only=True):
    """Reports that another attempt holds the claim.

    The run of the holder may be in progress.
    """

    key: identifiers.RequestKey
    attempt: Attempt
    holder: identifiers.InstanceId


class ClaimFinished(effects.Message, frozen=True, kw_only=True):
    """Reports that the key has already been run and billed.

    Attributes:
        key: The idempotency key.
        attempt: The attempt that requested the claim.
        spent_tokens: Tokens billed for the key.
        answer: The stored response; None if it was too long to store or has
            been evicted.
    """

    key: identifiers.RequestKey
    attempt: Attempt
    spent_tokens: int
    answer: calls.StoredResponse | None


class ClaimRefusal(enum.StrEnum):
    """Reason for which a claim was refused."""

    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    KEY_WITHOUT_AGE = "key_without_age"
    HISTORY_LOST = "history_lost"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NO_BACKUP = "no_backup"


class ClaimRefused(effects.Message, frozen=True, kw_only=True):
    """Refuses the claim; the attempt must not run."""

    key: identifiers.RequestKey
    attempt: Attempt
    reason: ClaimRefusal
    detail: str


class Withdraw(effects.Message, frozen=True, kw_only=True):
    """Withdraws the attempt and all earlier ones of its entry for this key.

    The entry has dispatched none of them to a target and never will.
    """

    key: identifiers.RequestKey
    attempt: Attempt


class Withdrawn(effects.Message, frozen=True, kw_only=True):
    """Acknowledges that the withdrawal is recorded."""

    key: identifiers.RequestKey
    attempt: Attempt


class ReportRun(effects.Message, frozen=True, kw_only=True):
    """Reports how a run ended, and requests the decision on its bill.

    Attributes:
        key: The idempotency key.
        attempt: The attempt that ran.
        fingerprint: Hash of the request.
        repeatable: Whether the request is safe to run more than once.
        is_first_holder: Whether the attempt was granted the claim at a time
            when no earlier run can have been billed.
        first_attempt: Whether the key is certainly new; see `calls.Call`.
        begun_at_ms: Start of the attempt; milliseconds since the epoch.
        deadline_ms: Latest end of the run; milliseconds since the epoch.
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
    """Decision of the arbiter on the bill of a run.

    `BILLED`: the run is billed. `VOIDED`: the run costs nothing, since another
    run of the key is billed instead. `PENDING`: not decided yet.
    """

    BILLED = "billed"
    VOIDED = "voided"
    PENDING = "pending"


class RunRecorded(effects.Message, frozen=True, kw_only=True):
    """Acknowledges a report with the decision on the bill.

    Attributes:
        key: The idempotency key.
        attempt: The attempt that sent the report.
        decision: The decision; after `PENDING` the entry resends the report.
        spent_tokens: Tokens billed for the attempt.
    """

    key: identifiers.RequestKey
    attempt: Attempt
    decision: Decision
    spent_tokens: int


class ResolveOutcome(effects.Message, frozen=True, kw_only=True):
    """Sets the outcome of a key with an unknown outcome, for an operator.

    The response is a `LookedUp`.

    Attributes:
        key: The idempotency key.
        spent_tokens: Tokens to bill; 0 if the request did not run.
        operator: Name of the operator who determined the outcome.
        look_up_id: Identifies this request in the response.
    """

    key: identifiers.RequestKey
    spent_tokens: int
    operator: str
    look_up_id: str


class LookUp(effects.Message, frozen=True, kw_only=True):
    """Requests the recorded state of a key; the response is a `LookedUp`."""

    key: identifiers.RequestKey
    look_up_id: str


class OutcomeState(enum.StrEnum):
    """State of a key in the records of its arbiter.

    `NOT_RECORDED` means that no run has been recorded so far; an attempt in
    progress may still be dispatched.
    """

    NOT_RECORDED = "not_recorded"
    IN_PROGRESS = "in_progress"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class LookedUp(effects.Message, frozen=True, kw_only=True):
    """Response to `LookUp` and to `ResolveOutcome`.

    Attributes:
        key: The idempotency key.
        look_up_id: Id of the request that this responds to.
        state: The recorded state.
        holder: The entry that holds the claim or ran the request.
        spent_tokens: Tokens billed for the key.
        target_id: The target that responded.
        answer: The stored response.
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
    """Redirects an entry, since the receiver is not the arbiter of the key.

    Attributes:
        key: The idempotency key.
        primary: The instance to send to instead; None if unknown.
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
"""Messages that `ClaimRegistry` handles; the `key` of each gives its shard."""

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
"""Messages that `Coordinator` handles."""
