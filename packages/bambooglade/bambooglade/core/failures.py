"""Typed failures, returned as `result.Err` values.

Every failure states whether the request may have run, and what the caller can
do. The other packages declare their own kinds next to the code that returns
them.

See Also:
    bambooglade.transport.problems: renders a failure as problem+json.
"""

from __future__ import annotations

import enum
from typing import ClassVar

import msgspec


class Ran(enum.StrEnum):
    """Whether a refused request may have run at a target."""

    NO = "no"
    UNKNOWN = "unknown"


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all typed failures.

    Attributes:
        kind: Stable code of the failure.
        http_status: Status of the HTTP response that reports the failure.
        ran: Whether the request may have run at a target.
        remedy: What the caller can do, as prose.
        detail: The observed and the expected values, as prose.
        retry_after_ms: Time in milliseconds after which a retry may succeed;
            None if waiting does not help.
    """

    kind: ClassVar[str] = "failure"
    http_status: ClassVar[int] = 500
    ran: ClassVar[Ran] = Ran.NO
    remedy: ClassVar[str] = "Report this as a bug."

    detail: str
    retry_after_ms: int | None = None

    def __str__(self) -> str:
        return f"{self.kind}: {self.detail} {self.remedy}"


class Unavailable(Failure, frozen=True, kw_only=True):
    """A dependency of the request is temporarily unreachable."""

    kind: ClassVar[str] = "unavailable"
    http_status: ClassVar[int] = 503
    remedy: ClassVar[str] = "Send the request again with the same key."


class DeadlineTooClose(Failure, frozen=True, kw_only=True):
    """The request was shed because it could not finish before its deadline."""

    kind: ClassVar[str] = "deadline_too_close"
    http_status: ClassVar[int] = 503
    remedy: ClassVar[str] = (
        "Send the request again with the same key and a later deadline."
    )


class BadRequest(Failure, frozen=True, kw_only=True):
    """The request is malformed."""

    kind: ClassVar[str] = "bad_request"
    http_status: ClassVar[int] = 400
    remedy: ClassVar[str] = "Correct the request as described in the detail."


class NotAuthorized(Failure, frozen=True, kw_only=True):
    """The credentials are missing, unknown, or lack the required role."""

    kind: ClassVar[str] = "not_authorized"
    http_status: ClassVar[int] = 401
    remedy: ClassVar[str] = "Send a valid key in the Authorization header."


class NotFound(Failure, frozen=True, kw_only=True):
    """No resource exists under the given name."""

    kind: ClassVar[str] = "not_found"
    http_status: ClassVar[int] = 404
    remedy: ClassVar[str] = (
        "Check the name; list the rows to see the existing ones."
    )


class OutcomeUnknown(Failure, frozen=True, kw_only=True):
    """The request may have run, but its outcome is unknown."""

    kind: ClassVar[str] = "outcome_unknown"
    http_status: ClassVar[int] = 504
    ran: ClassVar[Ran] = Ran.UNKNOWN
    remedy: ClassVar[str] = (
        "Query GET /v1/requests/<key> for the outcome before sending it again."
    )


class BudgetExhausted(Failure, frozen=True, kw_only=True):
    """The remaining prepaid tokens do not cover the request's upper bound."""

    kind: ClassVar[str] = "budget_exhausted"
    http_status: ClassVar[int] = 402
    remedy: ClassVar[str] = "Top up the budget, or request fewer output tokens."


class RightsUnreachable(Failure, frozen=True, kw_only=True):
    """The budget has rights left, but only at unreachable instances."""

    kind: ClassVar[str] = "rights_unreachable"
    http_status: ClassVar[int] = 503
    remedy: ClassVar[str] = (
        "Send the request again after the time in retry_after_ms."
    )


class KeyReused(Failure, frozen=True, kw_only=True):
    """The idempotency key was already used for a different request."""

    kind: ClassVar[str] = "key_reused"
    http_status: ClassVar[int] = 422
    remedy: ClassVar[str] = "Use a new key for a new request."


class KeyWithoutAge(Failure, frozen=True, kw_only=True):
    """The age of the key can't be derived, or the key lies in the future."""

    kind: ClassVar[str] = "key_without_age"
    http_status: ClassVar[int] = 422
    remedy: ClassVar[str] = "Use a newly created UUIDv7 key."


class KeyExpired(Failure, frozen=True, kw_only=True):
    """The key is older than the retention period of request outcomes."""

    kind: ClassVar[str] = "key_expired"
    http_status: ClassVar[int] = 422
    ran: ClassVar[Ran] = Ran.UNKNOWN
    remedy: ClassVar[str] = (
        "Use a new UUIDv7 key, after checking that the old request did not run."
    )


class ClaimUnavailable(Unavailable, frozen=True, kw_only=True):
    """The arbiter of the key is unreachable, so the request did not run."""

    kind: ClassVar[str] = "claim_unavailable"


class NoTarget(Unavailable, frozen=True, kw_only=True):
    """No target of the service can accept the request."""

    kind: ClassVar[str] = "no_target"


class PromptQuarantined(Unavailable, frozen=True, kw_only=True):
    """Targets crashed on prompts that begin like this one."""

    kind: ClassVar[str] = "prompt_quarantined"
    remedy: ClassVar[str] = "Change the prompt; operators: examine the targets."


class RequestQuarantined(Unavailable, frozen=True, kw_only=True):
    """Targets crashed on this request."""

    kind: ClassVar[str] = "request_quarantined"
    remedy: ClassVar[str] = (
        "Change the request; operators: examine the targets."
    )


class Overloaded(Unavailable, frozen=True, kw_only=True):
    """The queue for this kind of request is full."""

    kind: ClassVar[str] = "overloaded"
    http_status: ClassVar[int] = 429
