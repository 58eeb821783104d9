"""Strict parser of the requests on one connection.

Ambiguous requests are rejected, since another parser could delimit them
differently: conflicting or repeated lengths, bare line feeds, spaces in field
names, and transfer codings other than chunked.

See Also:
    bambooglade.http1.response_parser: parser of responses.
"""

from __future__ import annotations

from collections.abc import Iterator

import httptools

from bambooglade.http1 import messages

MAX_PIPELINED = 16
"""Maximum number of pipelined requests in one read."""

FIELD_OVERHEAD_BYTES = 192
"""Memory that a header field takes besides its bytes.

These are a tuple, two objects and their entries in a list and a dictionary.
"""

REQUEST_OVERHEAD_BYTES = 1_024
"""Memory that a complete request takes besides its fields and its body."""

MIN_PART_BYTES = 1_024
"""Size from which a part of a body is kept as an object of its own.

Shorter parts are copied together: an object and its entry in a list take about
60 bytes, which is many times the size of a chunk of one byte.
"""

FREE_OVERHEAD_BYTES = 65_536
"""Bytes of a body besides its content, whatever that is.

These are chunk sizes and extensions, and trailers. As many may follow each
other without content in between.
"""

MAX_OVERHEAD_FACTOR = 32
"""Most further such bytes for each byte of content; a chunk of one byte takes
five."""

_FRAMING_FIELDS = (b"content-length", b"transfer-encoding")


class RejectedRequestError(Exception):
    """The request was rejected; its connection has to be closed.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class RequestLimits:
    """Limits on the size of a request, in bytes."""

    __slots__ = ("max_body_bytes", "max_header_bytes")

    def __init__(self, *, max_header_bytes: int, max_body_bytes: int) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes


class RequestParser:
    r"""Parses the bytes of one connection into requests.

    Args:
        limits: Limits on the size of a request.

    Examples:
        >>> parser = RequestParser(RequestLimits(max_header_bytes=1_000,
        ...     max_body_bytes=10))
        >>> list(parser.feed(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", now_ms=5))
        [Request(b'GET', b'/a')]
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_completed",
        "_fields",
        "_has_declined_upgrade",
        "_header_bytes",
        "_is_continued",
        "_is_head_done",
        "_is_in_head",
        "_is_repeated_head",
        "_overhead_bytes",
        "_parser",
        "_rejected",
        "_started_at_ms",
        "_target",
        "_unparsed_bytes",
        "_without_content_bytes",
        "limits",
    )

    def __init__(self, limits: RequestLimits) -> None:
        self.limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._completed: list[messages.Request] = []
        self._rejected: RejectedRequestError | None = None
        self._started_at_ms: int | None = None
        self._is_repeated_head = False
        self._reset()

    def close(self) -> None:
        """Lets go of what was received; the parser is not used any more.

        The parser of httptools and this object refer to each other, so that
        their memory would wait for the garbage collector.
        """
        self._parser = None
        self._completed = []
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._fields: messages.HeaderFields = []
        self._body: list[bytes | bytearray] = []
        self._body_bytes = 0
        self._header_bytes = 0
        self._unparsed_bytes = 0
        self._overhead_bytes = 0
        self._without_content_bytes = 0
        self._is_continued = False
        self._is_head_done = False
        self._is_in_head = False
        self._has_declined_upgrade = False

    @property
    def started_at_ms(self) -> int | None:
        """Time of the current request's first byte; None between requests."""
        return self._started_at_ms

    @property
    def held_bytes(self) -> int:
        """Memory that the bytes of the current request take.

        Bytes that are not parsed yet, for instance those of an incomplete
        field, are held by httptools.
        """
        return (
            max(self._header_bytes, self._unparsed_bytes)
            + FIELD_OVERHEAD_BYTES * len(self._fields)
            + self._body_bytes
            + self._without_content_bytes
        )

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for `100 Continue` to send the body."""
        return self._is_head_done and any(
            name.lower() == b"expect" for name, _ in self._fields
        )

    def feed(self, data: bytes, *, now_ms: int) -> Iterator[messages.Request]:
        """Yields the requests that are complete with these bytes.

        Args:
            data: The next bytes of the connection.
            now_ms: Current time in milliseconds.

        Raises:
            RejectedRequestError: A request is malformed, ambiguous or too
                large. The complete requests before it are yielded first.
        """
        if self._started_at_ms is None:
            self._started_at_ms = now_ms
        rejection = self._parse(data)
        for request in self._completed:
            request.received_at_ms = self._started_at_ms
            self._started_at_ms = now_ms
            yield request
        if self._completed and not self._fields and not self._target:
            self._started_at_ms = None
        self._completed.clear()
        if rejection is not None:
            raise rejection

    def _parse(self, data: bytes) -> RejectedRequestError | None:
        is_continued, body_bytes = self._is_continued, self._body_bytes
        try:
            self._feed_parser(data)
        except httptools.HttpParserError as error:
            return self._rejected or RejectedRequestError(400, str(error))
        if self._is_in_head:
            return self._check_head(len(data))
        if is_continued and self._is_continued:
            return self._check_overhead(
                len(data), self._body_bytes - body_bytes
            )
        self._is_continued = self._is_head_done
        return self._rejected

    def _check_head(self, read_bytes: int) -> RejectedRequestError | None:
        """Rejects a head that has no end.

        Bytes of a read that also ends other requests belong to them, but for
        those of complete fields.
        """
        if not self._completed:
            self._unparsed_bytes += read_bytes
        if self._unparsed_bytes > self.limits.max_header_bytes:
            return RejectedRequestError(
                431, "the header exceeds the size limit"
            )
        return self._rejected

    def _check_overhead(
        self, read_bytes: int, content_bytes: int
    ) -> RejectedRequestError | None:
        """Rejects a body of which extensions or trailers have no end.

        Args:
            read_bytes: Bytes of a read within the body.
            content_bytes: Those of them that belong to its content.
        """
        self._overhead_bytes += read_bytes - content_bytes
        if content_bytes:
            self._without_content_bytes = 0
        else:
            self._without_content_bytes += read_bytes
        allowed_bytes = (
            FREE_OVERHEAD_BYTES + MAX_OVERHEAD_FACTOR * self._body_bytes
        )
        if (
            self._overhead_bytes > allowed_bytes
            or self._without_content_bytes > FREE_OVERHEAD_BYTES
        ):
            return RejectedRequestError(
                431, "the body has too many bytes besides its content"
            )
        return self._rejected

    def _feed_parser(self, data: bytes) -> None:
        """Parses bytes; an upgrade that a request offers is declined."""
        while data:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]
                self._decline_upgrade()

    def _decline_upgrade(self) -> None:
        """Goes on with the body, which httptools would leave to the caller.

        A new parser gets a head with the same method and framing.
        """
        before = self._parser
        fields = [
            (name, value)
            for name, value in self._fields
            if name.lower() in _FRAMING_FIELDS
        ]
        if not before.should_keep_alive():
            fields.append((b"Connection", b"close"))
        self._parser = httptools.HttpRequestParser(self)
        self._is_repeated_head = True
        self._has_declined_upgrade = True
        self._parser.feed_data(
            messages.encode_request(
                method=before.get_method(),
                target=b"/",
                fields=fields,
                has_body=False,
            )
        )

    def on_message_begin(self) -> None:
        """Starts the next request."""
        if self._is_repeated_head:
            return
        self._reset()
        self._is_in_head = True

    def on_url(self, target: bytes) -> None:
        """Appends a part of the target."""
        if self._is_repeated_head:
            return
        self._target += target
        self._add_header_bytes(len(target))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header field; trailer fields are dropped."""
        if self._is_repeated_head:
            return
        self._add_header_bytes(len(name) + len(value) + 4)
        if not self._is_head_done:
            self._fields.append((name, value))

    def _add_header_bytes(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        if self._header_bytes > self.limits.max_header_bytes:
            self._reject(431, "the header exceeds the size limit")

    def on_headers_complete(self) -> None:
        """Checks the rules that httptools does not enforce."""
        if self._is_repeated_head:
            self._is_repeated_head = False
            return
        self._is_head_done = True
        self._is_in_head = False
        names = [name.lower() for name, _ in self._fields]
        if names.count(b"host") != 1:
            self._reject(400, "the request must have exactly one Host field")
        if not self._target.startswith(b"/"):
            self._reject(
                400, "the target must be a path that starts with a slash"
            )
        head = messages.Head(self._fields)
        codings = head.get(b"transfer-encoding").strip().lower()
        if codings not in (b"", b"chunked"):
            self._reject(400, "the only supported transfer coding is chunked")
        if (head.integer(b"content-length") or 0) > self.limits.max_body_bytes:
            self._reject(413, "the body exceeds the size limit")

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        size_bytes = len(data)
        self._body_bytes += size_bytes
        if self._body_bytes > self.limits.max_body_bytes:
            self._reject(413, "the body exceeds the size limit")
        if size_bytes >= MIN_PART_BYTES or not self._body:
            self._body.append(data)
        elif type(self._body[-1]) is bytearray:
            self._body[-1] += data
        else:
            self._body.append(bytearray(data))

    def on_message_complete(self) -> None:
        """Appends the request to the complete ones."""
        if self._parser.should_upgrade():
            return  # its body follows, see `_decline_upgrade`
        if len(self._completed) >= MAX_PIPELINED:
            self._reject(400, "too many pipelined requests")
        self._completed.append(
            messages.Request(
                method=self._parser.get_method(),
                target=self._target,
                fields=self._fields,
                body=b"".join(self._body),
                expects_close=not self._parser.should_keep_alive()
                or self._has_declined_upgrade,
                held_bytes=self._header_bytes
                + FIELD_OVERHEAD_BYTES * len(self._fields)
                + self._body_bytes
                + REQUEST_OVERHEAD_BYTES,
            )
        )
        self._reset()

    def _reject(self, status: int, detail: str) -> None:
        self._rejected = RejectedRequestError(status, detail)
        raise self._rejected

    def __repr__(self) -> str:
        return f"RequestParser(complete={len(self._completed)})"
