"""Responses that the gateway gives by itself.

Statuses 408, 429 and 503 state that the request has not run and will not run;
502 and 504 leave that open.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum
import json

RETRY_SOON_MS = 300
"""When to come back after a fault that others recover from quickly."""

RETRY_ELSEWHERE_MS = 60
"""When to come back to reach another instance."""

RETRY_LATER_MS = 1_000
"""When to come back while something is out of reach."""

RETRY_AFTER_OUTAGE_MS = 4_000
"""When to come back while rights wait for the store: half a usual outage."""

_MS_PER_S = 1_000


_RETURN_LATER = "Send it again after the given time."
_RUN_UNKNOWN = "Check whether it ran before sending it again."


class ErrorKind(enum.Enum):
    """Kinds of errors: name, status, and the remedy."""

    BAD_REQUEST = "bad_request", 400, "Correct the request."
    UNKNOWN_KEY = "unknown_key", 401, "Send a key of a team that exists."
    BUDGET_EXHAUSTED = (
        "budget_exhausted",
        402,
        "Top up the budget, or ask for less output.",
    )
    NO_ROUTE = "no_route", 404, "Check host and path."
    CLIENT_TOO_SLOW = "client_too_slow", 408, "Send the request faster."
    BODY_TOO_LARGE = "body_too_large", 413, "Send a shorter body."
    HEADER_TOO_LARGE = "header_too_large", 431, "Send a shorter header."
    BROKEN = "broken", 502, _RUN_UNKNOWN
    NOT_READY = "not_ready", 503, _RETURN_LATER
    NO_TARGET = "no_target", 503, _RETURN_LATER
    OVERLOADED = "overloaded", 503, _RETURN_LATER
    CONGESTED = "congested", 503, _RETURN_LATER
    RIGHTS_UNREACHABLE = "rights_unreachable", 503, _RETURN_LATER
    OUT_OF_TIME = "out_of_time", 503, "Send it again with a later deadline."
    TIMED_OUT = "timed_out", 504, _RUN_UNKNOWN

    @property
    def status(self) -> int:
        """Status code."""
        return self.value[1]

    @property
    def remedy(self) -> str:
        """What the caller can do."""
        return self.value[2]


class ErrorResponse:
    """A response of the gateway's own.

    Attributes:
        kind: Kind of error.
        detail: What was found.
        retry_after_ms: When to come back; None for never or at will.
    """

    __slots__ = ("detail", "kind", "retry_after_ms")

    def __init__(
        self, kind: ErrorKind, detail: str, *, retry_after_ms: int | None = None
    ) -> None:
        self.kind = kind
        self.detail = detail
        self.retry_after_ms = retry_after_ms

    @property
    def status(self) -> int:
        """Status code."""
        return self.kind.status

    def fields(self) -> Iterable[tuple[bytes, bytes]]:
        """Yields the header fields."""
        yield b"Content-Type", b"application/json"
        if self.retry_after_ms is not None:
            seconds = self.retry_after_ms / _MS_PER_S
            yield b"Retry-After", b"%.2f" % seconds

    def body(self) -> bytes:
        """Returns the body: kind, detail and remedy."""
        return json.dumps(
            {
                "kind": self.kind.value[0],
                "detail": self.detail,
                "remedy": self.kind.remedy,
            }
        ).encode()

    def __repr__(self) -> str:
        return f"ErrorResponse({self.kind.name}, {self.detail!r})"


ERROR_KIND_BY_STATUS = {
    400: ErrorKind.BAD_REQUEST,
    408: ErrorKind.CLIENT_TOO_SLOW,
    413: ErrorKind.BODY_TOO_LARGE,
    431: ErrorKind.HEADER_TOO_LARGE,
}
"""Kinds of what is refused before a request was read."""
