"""Requests, answers and failures of HTTP exchanges with targets and peers."""

from __future__ import annotations

from urllib import parse

import msgspec

from bambooglade.core import failures

DEFAULT_CONNECT_TIMEOUT_MS = 1_000
DEFAULT_FIRST_BYTE_TIMEOUT_MS = 10_000
DEFAULT_TOTAL_TIMEOUT_MS = 60_000
MAX_RESPONSE_BYTES = 16_777_216


class Header(msgspec.Struct, frozen=True):
    """One header field."""

    name: str
    value: str


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A request to a target, a peer or a service of the platform.

    Attributes:
        method: HTTP method.
        url: Whole URL, with an IP number.
        headers: Header fields.
        body: The body; None for none.
        may_be_resent: Whether the library may send it again by itself when a
            reused connection turns out to be closed. False gives it a
            connection of its own, on which it is sent at most once.
        connect_timeout_ms: Time to connect, with TLS.
        first_byte_timeout_ms: Time to the head of the answer, in all.
        total_timeout_ms: Time for the whole exchange.
        max_response_bytes: Longest body that is accepted.
    """

    method: str
    url: str
    headers: tuple[Header, ...] = ()
    body: bytes | None = None
    may_be_resent: bool = True
    connect_timeout_ms: int = DEFAULT_CONNECT_TIMEOUT_MS
    first_byte_timeout_ms: int = DEFAULT_FIRST_BYTE_TIMEOUT_MS
    total_timeout_ms: int = DEFAULT_TOTAL_TIMEOUT_MS
    max_response_bytes: int = MAX_RESPONSE_BYTES


class ResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: tuple[Header, ...] = ()

    def header(self, name: str, default: str = "") -> str:
        """Returns the value of a header by its lower-case name.

        Examples:
            >>> head = ResponseHead(status=200, headers=(Header("a", "b"),))
            >>> head.header("a"), head.header("c")
            ('b', '')
        """
        values = (h.value for h in self.headers if h.name == name)
        return next(values, default)


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer."""

    head: ResponseHead
    body: bytes


class TransferFailure(failures.Unavailable, frozen=True, kw_only=True):
    """An exchange did not end whole.

    Attributes:
        sent: Whether a byte of the request may have reached the other side.
    """

    kind = "transfer_failed"
    sent: bool


class TransferTimeout(TransferFailure, frozen=True, kw_only=True):
    """An exchange took longer than allowed."""

    kind = "transfer_timeout"


class TransferCancelled(TransferFailure, frozen=True, kw_only=True):
    """An exchange was given up by its own side."""

    kind = "transfer_cancelled"


def origin_of(url: str) -> str:
    """Returns scheme, host and port of a URL.

    Examples:
        >>> origin_of("http://127.0.0.1:80/a?b")
        'http://127.0.0.1:80'
    """
    parts = parse.urlsplit(url)
    return f"{parts.scheme}://{parts.netloc}"
