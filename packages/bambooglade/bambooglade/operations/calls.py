"""Calls, their results, and the effects that control their threads.

The coordinator of the entry instance receives a `Call`, reserves tokens and
claims the idempotency key for it, and yields exactly one of `Permit`, `Refuse`
and `Replay`. After a `Permit` the thread of the call sends it to targets and
reports a `RunEnd`; the coordinator then settles the call and yields `Billed`.

See Also:
    bambooglade.operations.coordinator: the state machine over these types.
"""

from __future__ import annotations

import enum

import msgspec

from bambooglade.core import effects
from bambooglade.core import failures
from bambooglade.core import identifiers


class Draw(msgspec.Struct, frozen=True, kw_only=True):
    """Upper bound of the tokens that a call may spend from one account."""

    budget_id: identifiers.BudgetId
    bound_tokens: int


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a caller, with the fields that decisions depend on.

    Times are in milliseconds since the epoch.

    Attributes:
        key: Idempotency key.
        fingerprint: Hash of team, service, path and body; a call that reuses a
            key with another fingerprint is refused.
        team_id: The authenticated team.
        service: The called service.
        request_kind: Kind of request, as named in the table.
        repeatable: Whether the request is safe to run more than once.
        draws: Accounts to draw on; either all draws succeed or none.
        deadline_ms: When the caller stops waiting.
        admit_by_ms: Until when the call may wait for rights and its claim; None
            for the deadline.
        call_id: Distinguishes calls with the same key at one instance; the
            effects of a call carry it.
        first_attempt: Whether the key is certainly new, since the router
            generated it or the caller declared it so. Only then may a refusal
            state that the request did not run without a response from
            the arbiter.
    """

    key: identifiers.RequestKey
    fingerprint: str
    team_id: identifiers.TeamId
    service: identifiers.ServiceName
    request_kind: str
    repeatable: bool
    draws: tuple[Draw, ...]
    deadline_ms: int
    admit_by_ms: int | None = None
    call_id: str = ""
    first_attempt: bool = False

    @property
    def admission_deadline_ms(self) -> int:
        """Latest time at which the call is permitted or refused."""
        if self.admit_by_ms is None:
            return self.deadline_ms
        return min(self.admit_by_ms, self.deadline_ms)


class StoredResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response that is stored for retries of the same key."""

    http_status: int
    content_type: str
    body: bytes


class RunResult(enum.StrEnum):
    """Result of the run of a call at the targets.

    `FINISHED`: it ran to its end. `NOT_RUN`: no target executed it. `UNKNOWN`:
    it may have run, in part or completely.
    """

    FINISHED = "finished"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RunEnd(msgspec.Struct, frozen=True, kw_only=True):
    """How the run of a call ended.

    Attributes:
        result: Whether the run finished, never started, or is unknown.
        spent_tokens: Actual cost, at most the bound of the draws; 0 unless the
            call ran.
        target_id: The target that responded, if any.
        answer: The complete response, if it is short enough to be stored.
    """

    result: RunResult
    spent_tokens: int
    target_id: identifiers.TargetId | None = None
    answer: StoredResponse | None = None


class Bill(msgspec.Struct, frozen=True, kw_only=True):
    """Bill of a call; each of its accounts is charged the same amount.

    Attributes:
        key: Idempotency key.
        spent_tokens: The amount charged to each account.
        voided: Whether another run of the same key is billed instead.
        undecided: Whether the bill is not final: the outcome of the run is
            unknown, or the arbiter has not responded yet.
    """

    key: identifiers.RequestKey
    spent_tokens: int
    voided: bool = False
    undecided: bool = False


class Permit(effects.Effect, frozen=True, kw_only=True):
    """Allows the call to be dispatched; all of its draws are reserved."""

    key: identifiers.RequestKey
    call_id: str = ""


class Refuse(effects.Effect, frozen=True, kw_only=True):
    """Ends the call with a failure, which states whether the request ran."""

    key: identifiers.RequestKey
    failure: failures.Failure
    call_id: str = ""


class Replay(effects.Effect, frozen=True, kw_only=True):
    """Ends the call with the response stored by an earlier call of its key."""

    key: identifiers.RequestKey
    response: StoredResponse
    bill: Bill
    call_id: str = ""


class Billed(effects.Effect, frozen=True, kw_only=True):
    """Reports the bill, so that the response to the caller may be completed.

    The bill is settled, or its settlement is retried until acknowledged.
    """

    key: identifiers.RequestKey
    bill: Bill
    call_id: str = ""
