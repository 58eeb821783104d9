"""Error responses of the gateway itself.

Statuses 408, 429 and 503 state that the request has not run and will not run.
With 502 and 504, the request may have run.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum
import json

RETRY_AFTER_FAULT_MS = 300
"""Mean retry time after a fault that usually passes quickly."""

RETRY_OTHER_INSTANCE_MS = 60
"""Mean retry time for a request that another instance can serve."""

RETRY_NOT_READY_MS = 1_000
"""Retry time while this instance has no configuration yet."""

RETRY_STORE_OUTAGE_MS = 4_000
"""Mean retry time while rights can't be drawn from the store.

It is half of the usual length of an outage.
"""

_MS_PER_S = 1_000


_RETRY_LATER = "Retry after the time in the Retry-After header."
_RESTART_OR_RETRY = (
    "Begin the stream anew, or retry after the time in the Retry-After header."
)
_CHECK_BEFORE_RETRY = "Check whether the request ran before retrying it."


class ErrorKind(enum.Enum):
    """Kinds of errors; each value holds the name, the status and the remedy."""

    BAD_REQUEST = "bad_request", 400, "Correct the request."
    UNKNOWN_KEY = "unknown_key", 401, "Send the API key of an existing team."
    BUDGET_EXHAUSTED = (
        "budget_exhausted",
        402,
        "Top up the budget, or request fewer output tokens.",
    )
    NO_ROUTE = "no_route", 404, "Correct the host or the path."
    CLIENT_TOO_SLOW = "client_too_slow", 408, "Send the request faster."
    BODY_TOO_LARGE = "body_too_large", 413, "Send a shorter body."
    HEADER_TOO_LARGE = "header_too_large", 431, "Send a shorter header."
    BROKEN = "broken", 502, _CHECK_BEFORE_RETRY
    NOT_READY = "not_ready", 503, _RETRY_LATER
    CONFIGURATION_BEHIND = "configuration_behind", 503, _RETRY_LATER
    PEER_UNKNOWN = "peer_unknown", 503, _RETRY_LATER
    NO_TARGET = "no_target", 503, _RETRY_LATER
    STREAM_ORIGIN_UNKNOWN = "stream_origin_unknown", 503, _RESTART_OR_RETRY
    PROMPT_QUARANTINED = (
        "prompt_quarantined",
        503,
        "Send the request without the prompt part, or retry it later.",
    )
    REQUEST_QUARANTINED = (
        "request_quarantined",
        503,
        "Targets crash on this request; change it, or retry it later.",
    )
    TARGETS_UNREACHABLE = "targets_unreachable", 503, _RETRY_LATER
    TARGETS_LIMITED = "targets_limited", 503, _RETRY_LATER
    NO_ROOM = "no_room", 503, _RETRY_LATER
    OVERLOADED = "overloaded", 503, _RETRY_LATER
    CONGESTED = "congested", 503, _RETRY_LATER
    RIGHTS_UNREACHABLE = "rights_unreachable", 503, _RETRY_LATER
    OUT_OF_TIME = "out_of_time", 503, "Retry with a later deadline."
    TIMED_OUT = "timed_out", 504, _CHECK_BEFORE_RETRY

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self.value[1]

    @property
    def remedy(self) -> str:
        """Advice to the caller."""
        return self.value[2]


DECLINED_KINDS = frozenset(
    (
        ErrorKind.NOT_READY,
        ErrorKind.CONFIGURATION_BEHIND,
        ErrorKind.PEER_UNKNOWN,
        ErrorKind.CONGESTED,
        ErrorKind.TARGETS_UNREACHABLE,
        ErrorKind.NO_ROOM,
        ErrorKind.RIGHTS_UNREACHABLE,
    )
)
"""Kinds that are due to one instance, so that another one may serve."""

REQUEST_KINDS = frozenset(
    (
        ErrorKind.CONFIGURATION_BEHIND,
        ErrorKind.PEER_UNKNOWN,
        ErrorKind.NO_ROOM,
        ErrorKind.RIGHTS_UNREACHABLE,
    )
)
"""Those of them that say nothing about other requests to the instance."""


class ErrorResponse:
    """An error response of the gateway itself.

    Attributes:
        kind: Kind of error.
        detail: Description of the error.
        retry_after_ms: Time after which to retry; None if none is stated.
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
        """HTTP status code."""
        return self.kind.status

    def fields(self) -> Iterable[tuple[bytes, bytes]]:
        """Yields the HTTP header fields."""
        yield b"Content-Type", b"application/json"
        if self.retry_after_ms is not None:
            seconds = self.retry_after_ms / _MS_PER_S
            yield b"Retry-After", b"%.2f" % seconds

    def body(self) -> bytes:
        """Returns the JSON body with kind, detail and remedy."""
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
    503: ErrorKind.CONGESTED,
}
"""Kind of error for each status with which requests are rejected that have not
been received completely."""
