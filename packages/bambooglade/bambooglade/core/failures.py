"""Typed failures, returned as `result.Err` values.

Every failure tells the caller whether the request ran, and how to remedy it.
The aggregates declare their own kinds next to the rules that produce them.

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
        detail: What was passed or found, for a person to read.
        retry_after_ms: When trying again is sensible; None when waiting does
            not help.
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
    """Something that the request needs can't be reached just now."""

    kind: ClassVar[str] = "unavailable"
    http_status: ClassVar[int] = 503
    remedy: ClassVar[str] = "Send the request again with the same key."


class DeadlineTooClose(Failure, frozen=True, kw_only=True):
    """The request could not finish before its deadline, so it was shed."""

    kind: ClassVar[str] = "deadline_too_close"
    http_status: ClassVar[int] = 503
    remedy: ClassVar[str] = (
        "Send the request again with the same key and a later deadline."
    )


class BadRequest(Failure, frozen=True, kw_only=True):
    """The request does not have the expected form."""

    kind: ClassVar[str] = "bad_request"
    http_status: ClassVar[int] = 400
    remedy: ClassVar[str] = "Correct the request as the detail says."


class NotAuthorized(Failure, frozen=True, kw_only=True):
    """The credentials are missing, unknown or lack the role."""

    kind: ClassVar[str] = "not_authorized"
    http_status: ClassVar[int] = 401
    remedy: ClassVar[str] = "Send a valid key in the Authorization header."


class NotFound(Failure, frozen=True, kw_only=True):
    """Nothing exists under the given name."""

    kind: ClassVar[str] = "not_found"
    http_status: ClassVar[int] = 404
    remedy: ClassVar[str] = "Check the name; list the rows to see those in use."


class OutcomeUnknown(Failure, frozen=True, kw_only=True):
    """The request may have run, and its outcome is not known here."""

    kind: ClassVar[str] = "outcome_unknown"
    http_status: ClassVar[int] = 504
    ran: ClassVar[Ran] = Ran.UNKNOWN
    remedy: ClassVar[str] = (
        "Ask GET /v1/requests/<key> for the outcome before sending it again."
    )


class BudgetExhausted(Failure, frozen=True, kw_only=True):
    """The prepaid amount does not cover the request's upper bound."""

    kind: ClassVar[str] = "budget_exhausted"
    http_status: ClassVar[int] = 402
    remedy: ClassVar[str] = "Top up the budget, or ask for less output."


class RightsUnreachable(Failure, frozen=True, kw_only=True):
    """The budget has rights left, but where they can't be reached now."""

    kind: ClassVar[str] = "rights_unreachable"
    http_status: ClassVar[int] = 503
    remedy: ClassVar[str] = "Send the request again after the given time."


class KeyReused(Failure, frozen=True, kw_only=True):
    """The key was used before for a different request."""

    kind: ClassVar[str] = "key_reused"
    http_status: ClassVar[int] = 422
    remedy: ClassVar[str] = "Use a new key for a new request."


class KeyWithoutAge(Failure, frozen=True, kw_only=True):
    """The key does not tell its age, or lies in the future."""

    kind: ClassVar[str] = "key_without_age"
    http_status: ClassVar[int] = 422
    remedy: ClassVar[str] = "Use a UUIDv7 key that was made just now."


class KeyExpired(Failure, frozen=True, kw_only=True):
    """The key is older than the retention period; what it did is forgotten."""

    kind: ClassVar[str] = "key_expired"
    http_status: ClassVar[int] = 422
    ran: ClassVar[Ran] = Ran.UNKNOWN
    remedy: ClassVar[str] = (
        "Use a new UUIDv7 key, after checking that the old request did not run."
    )


class ClaimUnavailable(Unavailable, frozen=True, kw_only=True):
    """The arbiter of the key can't be reached, so nothing was run."""

    kind: ClassVar[str] = "claim_unavailable"


class NoTarget(Unavailable, frozen=True, kw_only=True):
    """No target of the service can take the request."""

    kind: ClassVar[str] = "no_target"


class Overloaded(Unavailable, frozen=True, kw_only=True):
    """The queue for this kind of request is full."""

    kind: ClassVar[str] = "overloaded"
    http_status: ClassVar[int] = 429
