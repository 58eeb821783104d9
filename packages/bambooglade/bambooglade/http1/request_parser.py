"""Parses the requests of one connection, strictly and within limits.

What could be read in two ways is rejected: conflicting or repeated lengths,
bare line feeds, spaces in names, other transfer codings than chunked.

See Also:
    bambooglade.http1.response_parser: the other direction.
"""

from __future__ import annotations

from collections.abc import Iterator

import httptools

from bambooglade.http1 import messages

MAX_PIPELINED = 16
"""Whole requests of one connection that wait for their turn."""


class RejectedRequestError(Exception):
    """A request that can't be accepted; the connection has to be closed.

    Attributes:
        status: Status of the response.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class RequestLimits:
    """Sizes that a request may have, in bytes."""

    __slots__ = ("max_body_bytes", "max_header_bytes")

    def __init__(self, *, max_header_bytes: int, max_body_bytes: int) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes


class RequestParser:
    r"""Turns the bytes of one connection into requests.

    Args:
        limits: Sizes that are accepted.

    Examples:
        >>> parser = RequestParser(RequestLimits(max_header_bytes=1_000,
        ...     max_body_bytes=10))
        >>> list(parser.feed(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", now_ms=5))
        [Request(b'GET', b'/a')]
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_complete",
        "_fields",
        "_header_bytes",
        "_is_head_done",
        "_is_in_head",
        "_parser",
        "_rejected",
        "_started_at_ms",
        "_target",
        "_unparsed_bytes",
        "limits",
    )

    def __init__(self, limits: RequestLimits) -> None:
        self.limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._complete: list[messages.Request] = []
        self._rejected: RejectedRequestError | None = None
        self._started_at_ms: int | None = None
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._fields: messages.HeaderFields = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._header_bytes = 0
        self._unparsed_bytes = 0
        self._is_head_done = False
        self._is_in_head = False

    @property
    def started_at_ms(self) -> int | None:
        """When the request that is being read began; None between two."""
        return self._started_at_ms

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for leave to send the body."""
        return self._is_head_done and any(
            name.lower() == b"expect" for name, _ in self._fields
        )

    def feed(self, data: bytes, *, now_ms: int) -> Iterator[messages.Request]:
        """Yields the requests that these bytes complete.

        Args:
            data: The next bytes of the connection.
            now_ms: The time.

        Raises:
            RejectedRequestError: The bytes are no acceptable request. Requests
                that were complete before are yielded first.
        """
        if self._started_at_ms is None:
            self._started_at_ms = now_ms
        failure = self._parse(data)
        for request in self._complete:
            request.received_at_ms = self._started_at_ms
            self._started_at_ms = now_ms
            yield request
        if self._complete and not self._fields and not self._target:
            self._started_at_ms = None
        self._complete.clear()
        if failure is not None:
            raise failure

    def _parse(self, data: bytes) -> RejectedRequestError | None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return None
        except httptools.HttpParserError as error:
            return self._rejected or RejectedRequestError(400, str(error))
        if self._is_in_head:
            self._unparsed_bytes += len(data)
            if self._unparsed_bytes > self.limits.max_header_bytes:
                return RejectedRequestError(431, "the header is too long")
        return self._rejected

    def on_message_begin(self) -> None:
        """Starts the next request."""
        self._reset()
        self._is_in_head = True

    def on_url(self, target: bytes) -> None:
        """Takes a part of the target."""
        self._target += target
        self._count_header(len(target))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a field; those after the body are dropped."""
        self._count_header(len(name) + len(value) + 4)
        if not self._is_head_done:
            self._fields.append((name, value))

    def _count_header(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        if self._header_bytes > self.limits.max_header_bytes:
            self._reject(431, "the header is too long")

    def on_headers_complete(self) -> None:
        """Checks what the parser leaves to its user."""
        self._is_head_done = True
        self._is_in_head = False
        names = [name.lower() for name, _ in self._fields]
        if names.count(b"host") != 1:
            self._reject(400, "there has to be one Host field")
        if not self._target.startswith(b"/"):
            self._reject(400, "the target has to be a path")
        head = messages.Head(self._fields)
        codings = head.get(b"transfer-encoding").strip().lower()
        if codings not in (b"", b"chunked"):
            self._reject(400, "the transfer coding has to be chunked")
        if (head.integer(b"content-length") or 0) > self.limits.max_body_bytes:
            self._reject(413, "the body is too long")

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        self._body.append(bytes(data))
        self._body_bytes += len(data)
        if self._body_bytes > self.limits.max_body_bytes:
            self._reject(413, "the body is too long")

    def on_message_complete(self) -> None:
        """Takes the end of a request."""
        if len(self._complete) >= MAX_PIPELINED:
            self._reject(400, "too many requests were sent ahead")
        self._complete.append(
            messages.Request(
                method=self._parser.get_method(),
                target=self._target,
                fields=self._fields,
                body=b"".join(self._body),
                expects_close=not self._parser.should_keep_alive()
                or self._parser.should_upgrade(),
            )
        )
        self._reset()

    def _reject(self, status: int, detail: str) -> None:
        self._rejected = RejectedRequestError(status, detail)
        raise self._rejected

    def __repr__(self) -> str:
        return f"RequestParser(complete={len(self._complete)})"
