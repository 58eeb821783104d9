"""What the headers of a caller's request ask for, checked."""

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
    """Deadlines that requests may have, in milliseconds from their arrival.

    Attributes:
        default_ms: Of a call of a plain service that names none; also the
            longest wait of any call for rights and its claim.
        default_chat_ms: Of a chat that names none; long answers take minutes.
        maximum_ms: The latest that may be named.
    """

    default_ms: int = 30_000
    default_chat_ms: int = 300_000
    maximum_ms: int = 600_000


class CallerHeaders(msgspec.Struct, frozen=True, kw_only=True):
    """The checked headers.

    Attributes:
        key: Idempotency key; a new one when the caller sent none.
        is_new_key: Whether the router made the key.
        deadline_ms: Milliseconds since the epoch.
        request_kind: Kind that the caller names, for models; None for none.
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
    """Checks the headers of a request.

    Args:
        request: The request.
        limits: Deadlines that are accepted.
        default_ms: Time until the deadline when the caller names none.
        now_ms: The time.
    """
    key = request.headers.get(dispatch.KEY_HEADER)
    if key is not None and not _is_key(key):
        return _bad(
            f"{dispatch.KEY_HEADER} has to be 1 to {MAX_KEY_LENGTH} letters,"
            " digits or any of ._:-"
        )
    wait_ms = _wait_ms(request, limits, default_ms)
    if wait_ms is None:
        return _bad(
            f"{dispatch.DEADLINE_HEADER} has to be a number of milliseconds"
            f" from 1 to {limits.maximum_ms}."
        )
    return result.Ok(
        CallerHeaders(
            key=identifiers.RequestKey(key)
            if key is not None
            else identifiers.new_request_key(),
            is_new_key=key is None,
            deadline_ms=now_ms + wait_ms,
            request_kind=request.headers.get(REQUEST_KIND_HEADER),
        )
    )


def check_key_has_age(
    headers: CallerHeaders,
) -> result.Result[None, failures.Failure]:
    """Refuses a key without an age, for calls that may not be repeated."""
    if headers.is_new_key:
        return _bad(
            f"This call may not be repeated, so it needs {dispatch.KEY_HEADER}"
            " with a UUIDv7."
        )
    if identifiers.created_at_ms(headers.key) is None:
        return result.Err(
            failures.KeyWithoutAge(
                detail=f"{dispatch.KEY_HEADER} is no UUIDv7."
            )
        )
    return result.Ok(None)


def _is_key(key: str) -> bool:
    return len(key) <= MAX_KEY_LENGTH and bool(_KEY_PATTERN.fullmatch(key))


def _wait_ms(
    request: wrappers.Request, limits: DeadlineLimits, default_ms: int
) -> int | None:
    text = request.headers.get(dispatch.DEADLINE_HEADER)
    if text is None:
        return min(default_ms, limits.maximum_ms)
    if not (text.isascii() and text.isdigit() and len(text) < 12):
        return None
    return int(text) if 1 <= int(text) <= limits.maximum_ms else None


def _bad(detail: str) -> result.Err[failures.Failure]:
    return result.Err(failures.BadRequest(detail=detail))
