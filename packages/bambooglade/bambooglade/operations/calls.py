"""A call, the answers that end it, and the effects that steer its thread.

The coordinator of the entry instance takes a `Call`, reserves and claims for
it, and yields exactly one of `Permit`, `Refuse` and `Replay`. After a permit
the thread runs the call at targets and reports a `RunEnd`; the coordinator
settles and yields `Billed`.

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
    """Upper bound that a call may spend from one account, in tokens."""

    budget_id: identifiers.BudgetId
    bound_tokens: int


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a caller, as the decisions need to know it.

    Attributes:
        key: Idempotency key.
        fingerprint: Hash of team, service, path and body; a key that comes
            back with another fingerprint is refused.
        team_id: The authenticated team.
        service: The service that is called.
        request_kind: Kind of request, as the table names it.
        repeatable: Whether running it twice does no harm.
        draws: Accounts to draw on; all or nothing.
        deadline_ms: When the caller gives up; milliseconds since the epoch.
        admit_by_ms: Until when the call may wait for rights and its claim; the
            deadline when it is None.
        call_id: Tells calls of the same key at one instance apart; the effects
            that answer a call carry it.
        first_attempt: Whether no call with this key can have been made before:
            the router made the key, or the caller says so. Only then may a
            refusal say "not run" without the arbiter's word.
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
        """Returns when the call has to be permitted or refused."""
        if self.admit_by_ms is None:
            return self.deadline_ms
        return min(self.admit_by_ms, self.deadline_ms)


class StoredResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A finished answer that is kept for retries of the same key."""

    http_status: int
    content_type: str
    body: bytes


class RunResult(enum.StrEnum):
    """What is known of the run of a call at the targets."""

    FINISHED = "finished"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RunEnd(msgspec.Struct, frozen=True, kw_only=True):
    """How the run of a call ended.

    Attributes:
        result: Finished whole, not run at all, or unknown.
        spent_tokens: Actual cost, at most the bound of the draws; 0 unless the
            call ran.
        target_id: The target that gave the answer, if any.
        answer: The whole answer, when it is short enough to be kept.
    """

    result: RunResult
    spent_tokens: int
    target_id: identifiers.TargetId | None = None
    answer: StoredResponse | None = None


class Bill(msgspec.Struct, frozen=True, kw_only=True):
    """What a call was billed, the same amount on each of its accounts.

    Attributes:
        key: Idempotency key.
        spent_tokens: The amount, in tokens.
        voided: Whether another run of the same key is billed instead.
        undecided: Whether the bill is not final: the outcome of the run is
            unknown, or the arbiter did not answer yet.
    """

    key: identifiers.RequestKey
    spent_tokens: int
    voided: bool = False
    undecided: bool = False


class Permit(effects.Effect, frozen=True, kw_only=True):
    """The call may be dispatched; everything it needs is reserved."""

    key: identifiers.RequestKey
    call_id: str = ""


class Refuse(effects.Effect, frozen=True, kw_only=True):
    """The call ends here; the failure says whether it ran, and why."""

    key: identifiers.RequestKey
    failure: failures.Failure
    call_id: str = ""


class Replay(effects.Effect, frozen=True, kw_only=True):
    """The call finished before; its kept answer is returned again."""

    key: identifiers.RequestKey
    answer: StoredResponse
    bill: Bill
    call_id: str = ""


class Billed(effects.Effect, frozen=True, kw_only=True):
    """The bill is settled, or durably queued; the answer may be completed."""

    key: identifiers.RequestKey
    bill: Bill
    call_id: str = ""
