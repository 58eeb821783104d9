"""Rendering of failures as `application/problem+json` responses.

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
    """A part of the request exceeds its size limit."""

    kind = "payload_too_large"
    http_status = 413
    remedy = "Send a smaller request."


class HeadTooLarge(PayloadTooLarge, frozen=True, kw_only=True):
    """The request line and the headers exceed the size limit."""

    kind = "head_too_large"
    http_status = 431


class ClientTooSlow(failures.Failure, frozen=True, kw_only=True):
    """The request was not received within the time-out."""

    kind = "client_too_slow"
    http_status = 408
    remedy = "Send the complete request again without pauses."


class MethodNotAllowed(failures.Failure, frozen=True, kw_only=True):
    """The path does not support this method."""

    kind = "method_not_allowed"
    http_status = 405
    remedy = "Use the method that is named in the detail."


class TooManyConnections(failures.Unavailable, frozen=True, kw_only=True):
    """The server has reached its limit of open connections."""

    kind = "too_many_connections"


class Stopping(failures.Unavailable, frozen=True, kw_only=True):
    """The instance stops; another one may serve the request."""

    kind = "stopping"


class InternalFault(failures.Failure, frozen=True, kw_only=True):
    """An internal error of the router; the request may have run."""

    kind = "internal_fault"
    ran = failures.Ran.UNKNOWN


NO_ROOM = failures.Overloaded(
    detail="The process needs its memory for other requests.",
    retry_after_ms=500,
)
"""Refusal of a request that was not begun."""


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of a response that reports a failure.

    Attributes:
        kind: Stable code of the failure.
        status: HTTP status.
        ran: `no`, or `unknown` when the request may have run.
        detail: The observed and the expected values.
        remedy: What the caller can do.
        key: Idempotency key of the request, if it has one.
        retry_after_ms: Time in milliseconds after which a retry may succeed.
    """

    kind: str
    status: int
    ran: str
    detail: str
    remedy: str
    key: str | None = None
    retry_after_ms: int | None = None


def problem_of(failure: failures.Failure, *, key: str | None = None) -> Problem:
    """Returns the body of the response that reports a failure."""
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
    """Returns the response that reports a failure.

    The response has `Retry-After` if a retry may succeed.

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
