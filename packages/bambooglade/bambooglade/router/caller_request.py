"""Parses and validates the headers of a caller's request."""

from __future__ import annotations

import re

import msgspec
import result
from werkzeug import wrappers

from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.router import dispatch

REQUEST_KIND_HEADER = "X-Request-Kind"
MAX_KEY_LENGTH = 128
_KEY_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]*")


class DeadlineLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the deadlines of requests, in milliseconds from their arrival.

    Attributes:
        default_ms: Default for calls of plain services; also the longest time
            that any call waits for rights and its claim.
        default_chat_ms: Default for chats; long responses take minutes.
        maximum_ms: Latest deadline that a request may set.
    """

    default_ms: int = 30_000
    default_chat_ms: int = 300_000
    maximum_ms: int = 600_000


class CallerHeaders(msgspec.Struct, frozen=True, kw_only=True):
    """The validated headers of a request.

    Attributes:
        key: Idempotency key; generated if the caller sent none.
        is_new_key: Whether the router generated the key.
        deadline_ms: Milliseconds since the epoch.
        request_kind: Kind of request set by the caller, used for models; None
            if the header is missing.
    """

    key: identifiers.RequestKey
    is_new_key: bool
    deadline_ms: int
    request_kind: str | None


def read_headers(
    request: wrappers.Request,
    *,
    limits: DeadlineLimits,
    default_ms: int,
    now_ms: int,
) -> result.Result[CallerHeaders, failures.Failure]:
    """Returns the validated headers of a request, or why they are invalid.

    Args:
        request: The request.
        limits: Limits of the deadline.
        default_ms: Time until the deadline if the request sets none.
        now_ms: Current time, in milliseconds since the epoch.
    """
    key = request.headers.get(dispatch.KEY_HEADER)
    if key is not None and not _is_valid_key(key):
        return _bad_request(
            f"{dispatch.KEY_HEADER} must consist of 1 to {MAX_KEY_LENGTH}"
            " letters, digits or any of ._:- and start with a letter or digit."
        )
    time_limit_ms = _parse_time_limit_ms(request, limits, default_ms)
    if time_limit_ms is None:
        return _bad_request(
            f"{dispatch.DEADLINE_HEADER} must be a number of milliseconds"
            f" from 1 to {limits.maximum_ms}."
        )
    return result.Ok(
        CallerHeaders(
            key=identifiers.RequestKey(key)
            if key is not None
            else identifiers.new_request_key(),
            is_new_key=key is None,
            deadline_ms=now_ms + time_limit_ms,
            request_kind=request.headers.get(REQUEST_KIND_HEADER),
        )
    )


def require_timestamped_key(
    headers: CallerHeaders,
) -> result.Result[None, failures.Failure]:
    """Returns a failure unless the caller sent a key with a timestamp.

    Calls that may not be repeated need one, since the age of their key is
    checked.
    """
    if headers.is_new_key:
        return _bad_request(
            f"This call may not be repeated, so {dispatch.KEY_HEADER} must be"
            " a UUIDv7."
        )
    if identifiers.created_at_ms(headers.key) is None:
        return result.Err(
            failures.KeyWithoutAge(
                detail=f"{dispatch.KEY_HEADER} is not a UUIDv7."
            )
        )
    return result.Ok(None)


def _is_valid_key(key: str) -> bool:
    return len(key) <= MAX_KEY_LENGTH and bool(_KEY_PATTERN.fullmatch(key))


def _parse_time_limit_ms(
    request: wrappers.Request, limits: DeadlineLimits, default_ms: int
) -> int | None:
    text = request.headers.get(dispatch.DEADLINE_HEADER)
    if text is None:
        return min(default_ms, limits.maximum_ms)
    if not (text.isascii() and text.isdigit() and len(text) < 12):
        return None
    return int(text) if 1 <= int(text) <= limits.maximum_ms else None


def _bad_request(detail: str) -> result.Err[failures.Failure]:
    return result.Err(failures.BadRequest(detail=detail))
