"""HTTP/1.1 requests and responses, and their encoding.

Targets, header values and bodies are bytes, since they are forwarded unchanged.
See RFC 9112 for the format.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import enum

from bambooglade.http1 import reasons

HeaderFields = list[tuple[bytes, bytes]]

MAX_INTEGER_DIGITS = 20
"""Most digits of a number in a field; the largest length of a body has as many.
"""

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class Framing(enum.Enum):
    """How the end of a body is determined."""

    NONE = enum.auto()
    LENGTH = enum.auto()
    CHUNKED = enum.auto()
    UNTIL_CLOSE = enum.auto()


class Head:
    """Header fields of a message, in order.

    Attributes:
        fields: Pairs of a name, in its original case, and a value.
    """

    __slots__ = ("_value_by_name", "fields")

    def __init__(self, fields: HeaderFields) -> None:
        self.fields = fields
        self._value_by_name: dict[bytes, bytes] = {}
        for name, value in fields:
            self._value_by_name.setdefault(name.lower(), value)

    def get(self, name: bytes, default: bytes = b"") -> bytes:
        """Returns the first value of a field.

        Args:
            name: Name in lower case.
            default: Returned if there is no such field.
        """
        return self._value_by_name.get(name, default)

    def has(self, name: bytes) -> bool:
        """Returns whether a field exists; the name has to be in lower case."""
        return name in self._value_by_name

    def tokens(self, name: bytes) -> set[bytes]:
        """Returns the comma-separated tokens of a field, in lower case."""
        return {
            token.strip().lower()
            for field, value in self.fields
            if field.lower() == name
            for token in value.split(b",")
        }

    def integer(self, name: bytes) -> int | None:
        """Returns the value of a field as an integer; None if it isn't one.

        A number with too many digits isn't one either.
        """
        value = self.get(name).strip()
        is_number = value.isdigit() and len(value) <= MAX_INTEGER_DIGITS
        return int(value) if is_number else None


class Request(Head):
    """A complete request.

    Attributes:
        method: HTTP method, for instance `POST`.
        target: Path and query, exactly as received.
        body: The body, without its framing.
        received_at_ms: Time at which the first byte was read, in milliseconds.
        expects_close: Whether the connection is closed after the response.
        expects_continue: Whether the client waits for `100 Continue`.
        held_bytes: Memory that it takes; 0 if it was not received.
    """

    __slots__ = (
        "body",
        "expects_close",
        "expects_continue",
        "held_bytes",
        "method",
        "received_at_ms",
        "target",
    )

    def __init__(
        self,
        *,
        method: bytes,
        target: bytes,
        fields: HeaderFields,
        body: bytes = b"",
        received_at_ms: int = 0,
        expects_close: bool = False,
        held_bytes: int = 0,
    ) -> None:
        super().__init__(fields)
        self.held_bytes = held_bytes
        self.method = method
        self.target = target
        self.body = body
        self.received_at_ms = received_at_ms
        self.expects_close = expects_close
        self.expects_continue = self.get(b"expect").lower() == b"100-continue"

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]

    @property
    def host(self) -> bytes:
        """Host name in lower case, without the port."""
        return self.get(b"host").strip().lower().partition(b":")[0]

    def __repr__(self) -> str:
        return f"Request({self.method!r}, {self.target!r})"


class ResponseHead(Head):
    """Status and header fields of a response.

    Attributes:
        status: Status code.
        framing: How the end of the body is determined.
        is_persistent: Whether the connection may be reused.
    """

    __slots__ = ("framing", "is_persistent", "status")

    def __init__(
        self,
        *,
        status: int,
        fields: HeaderFields,
        framing: Framing,
        is_persistent: bool,
    ) -> None:
        super().__init__(fields)
        self.status = status
        self.framing = framing
        self.is_persistent = is_persistent

    def __repr__(self) -> str:
        return f"ResponseHead(status={self.status}, {self.framing})"


def end_to_end(fields: HeaderFields) -> Iterator[tuple[bytes, bytes]]:
    """Returns an iterator over the fields without the hop-by-hop fields.

    Fields that are listed in `Connection` are omitted as well.

    Examples:
        >>> list(end_to_end([(b"Connection", b"X-Hop"), (b"X-Hop", b"1"),
        ...     (b"Accept", b"*/*")]))
        [(b'Accept', b'*/*')]
    """
    connection_options = {
        token.strip().lower()
        for name, value in fields
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = _HOP_BY_HOP | connection_options
    return (field for field in fields if field[0].lower() not in dropped)


def encode_request(
    *,
    method: bytes,
    target: bytes,
    fields: Iterable[tuple[bytes, bytes]],
    body: bytes = b"",
    has_body: bool | None = None,
) -> bytes:
    r"""Returns the bytes of a request.

    Args:
        method: HTTP method, for instance `GET`.
        target: Path and query.
        fields: Header fields without `Content-Length`.
        body: The body.
        has_body: Whether `Content-Length` is sent. The default is to send it
            if the body is not empty.

    Examples:
        >>> encode_request(method=b"GET", target=b"/", fields=[(b"A", b"1")])
        b'GET / HTTP/1.1\r\nA: 1\r\n\r\n'
    """
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in fields]
    if has_body or (has_body is None and body):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response(
    *,
    status: int,
    fields: Iterable[tuple[bytes, bytes]] = (),
    body: bytes = b"",
) -> bytes:
    """Returns the bytes of a response with its complete body."""
    length = (b"Content-Length", b"%d" % len(body))
    return encode_response_head(status=status, fields=[*fields, length]) + body


def encode_response_head(
    *, status: int, fields: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Returns the bytes of the status line and the header fields."""
    reason = reasons.REASON_BY_STATUS.get(status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [name + b": " + value for name, value in fields]
    return b"\r\n".join(lines) + b"\r\n\r\n"


LAST_CHUNK = b"0\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    r"""Returns one chunk of a chunked body, or no bytes for empty data.

    Examples:
        >>> encode_chunk(b"abc")
        b'3\r\nabc\r\n'
    """
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""
