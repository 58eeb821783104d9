"""Requests, responses and failures of HTTP exchanges with other servers."""

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
        url: Absolute URL, with an IP address as its host.
        headers: Header fields.
        body: The body, or None.
        response_id: Header that responses to this request bear; None if they
            bear none. The connection of one without it is not reused, since a
            copy of it could not be told from the next response.
        may_be_resent: Whether libcurl may resend the request when the other
            side has closed a reused connection. If False, the request is sent
            at most once, on a new connection.
        connect_timeout_ms: Time to connect, including the TLS handshake.
        first_byte_timeout_ms: Time from the start of the exchange to the head
            of the response.
        total_timeout_ms: Time for the whole exchange.
        max_response_bytes: Maximum size of the response body.
    """

    method: str
    url: str
    headers: tuple[Header, ...] = ()
    body: bytes | None = None
    response_id: Header | None = None
    may_be_resent: bool = True
    connect_timeout_ms: int = DEFAULT_CONNECT_TIMEOUT_MS
    first_byte_timeout_ms: int = DEFAULT_FIRST_BYTE_TIMEOUT_MS
    total_timeout_ms: int = DEFAULT_TOTAL_TIMEOUT_MS
    max_response_bytes: int = MAX_RESPONSE_BYTES


class ResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of a response; header names are in lower case.

    Attributes:
        status: The HTTP status.
        headers: The headers.
        is_first_on_connection: Whether nothing was received on its connection
            before, so that it can't be a copy of an earlier response.
    """

    status: int
    headers: tuple[Header, ...] = ()
    is_first_on_connection: bool = True

    def header(self, name: str, default: str = "") -> str:
        """Returns the value of the header with a lower-case name.

        Examples:
            >>> head = ResponseHead(status=200, headers=(Header("a", "b"),))
            >>> head.header("a"), head.header("c")
            ('b', '')
        """
        values = (h.value for h in self.headers if h.name == name)
        return next(values, default)


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response."""

    head: ResponseHead
    body: bytes


class TransferFailure(failures.Unavailable, frozen=True, kw_only=True):
    """An exchange ended without a complete response.

    Attributes:
        sent: Whether the other side may have received a part of the request.
    """

    kind = "transfer_failed"
    sent: bool

    @property
    def is_cut_off(self) -> bool:
        """Whether the other side ended it after it had got the request."""
        return self.sent

    @property
    def is_refused(self) -> bool:
        """Whether connecting failed otherwise than by a time-out."""
        return not self.sent


class TransferTimeout(TransferFailure, frozen=True, kw_only=True):
    """An exchange exceeded a time-out."""

    kind = "transfer_timeout"
    is_cut_off = False
    is_refused = False


class TransferCancelled(TransferFailure, frozen=True, kw_only=True):
    """An exchange was cancelled by its caller."""

    kind = "transfer_cancelled"
    is_cut_off = False
    is_refused = False


def origin_of(url: str) -> str:
    """Returns the scheme, host and port of a URL.

    Examples:
        >>> origin_of("http://127.0.0.1:80/a?b")
        'http://127.0.0.1:80'
    """
    parts = parse.urlsplit(url)
    return f"{parts.scheme}://{parts.netloc}"
