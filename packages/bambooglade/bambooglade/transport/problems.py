"""Failures as `application/problem+json` answers.

See Also:
    bambooglade.core.failures: the typed failures.
"""

from __future__ import annotations

import msgspec
from werkzeug import exceptions
from werkzeug import wrappers

from bambooglade.core import failures

CONTENT_TYPE = "application/problem+json"
_MS_PER_S = 1_000


class PayloadTooLarge(failures.Failure, frozen=True, kw_only=True):
    """The body or the headers of the request are larger than allowed."""

    kind = "payload_too_large"
    http_status = 413
    remedy = "Send a smaller request."


class HeadTooLarge(PayloadTooLarge, frozen=True, kw_only=True):
    """The request line and the headers are larger than allowed."""

    kind = "head_too_large"
    http_status = 431


class ClientTooSlow(failures.Failure, frozen=True, kw_only=True):
    """The request did not arrive within the allowed time."""

    kind = "client_too_slow"
    http_status = 408
    remedy = "Send the request again, at once and whole."


class MethodNotAllowed(failures.Failure, frozen=True, kw_only=True):
    """The path does not take this method."""

    kind = "method_not_allowed"
    http_status = 405
    remedy = "Use the method that the detail names."


class TooManyConnections(failures.Unavailable, frozen=True, kw_only=True):
    """The server has as many connections as it may have."""

    kind = "too_many_connections"


class InternalFault(failures.Failure, frozen=True, kw_only=True):
    """A fault of the router itself; what ran is not known."""

    kind = "internal_fault"
    ran = failures.Ran.UNKNOWN


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of a refusal.

    Attributes:
        kind: Kind of the failure.
        status: HTTP status.
        ran: `no`, or `unknown` when the request may have run.
        detail: What was passed or found.
        remedy: What the caller can do.
        key: Idempotency key of the request, when it has one.
        retry_after_ms: When to come back, in milliseconds.
    """

    kind: str
    status: int
    ran: str
    detail: str
    remedy: str
    key: str | None = None
    retry_after_ms: int | None = None


def problem_of(failure: failures.Failure, *, key: str | None = None) -> Problem:
    """Returns the body that tells a caller of the failure."""
    return Problem(
        kind=failure.kind,
        status=failure.http_status,
        ran=failure.ran.value,
        detail=failure.detail,
        remedy=failure.remedy,
        key=key,
        retry_after_ms=failure.retry_after_ms,
    )


def response_of(
    failure: failures.Failure, *, key: str | None = None
) -> wrappers.Response:
    """Returns the whole answer, with `Retry-After` where waiting helps.

    Examples:
        >>> response = response_of(
        ...     failures.Overloaded(detail="Full.", retry_after_ms=1_200))
        >>> response.status_code, response.headers["Retry-After"]
        (429, '2')
    """
    response = wrappers.Response(
        msgspec.json.encode(problem_of(failure, key=key)),
        status=failure.http_status,
        content_type=CONTENT_TYPE,
    )
    if failure.retry_after_ms is not None:
        seconds = -(-failure.retry_after_ms // _MS_PER_S)
        response.headers["Retry-After"] = str(seconds)
    if key is not None:
        response.headers["Idempotency-Key"] = key
    return response


_FAILURE_BY_STATUS: dict[int, type[failures.Failure]] = {
    404: failures.NotFound,
    405: MethodNotAllowed,
    408: ClientTooSlow,
    413: PayloadTooLarge,
    414: HeadTooLarge,
    431: HeadTooLarge,
}


def failure_of_status(status: int, detail: str) -> failures.Failure:
    """Returns the failure for an HTTP status that a library reported."""
    return _FAILURE_BY_STATUS.get(status, failures.BadRequest)(detail=detail)


def failure_of_exception(error: exceptions.HTTPException) -> failures.Failure:
    """Returns the failure for an exception of the HTTP library."""
    return failure_of_status(error.code or 400, error.description or "")
