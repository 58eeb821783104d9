"""Incremental parser of the response to one request."""

from __future__ import annotations

from collections.abc import Callable
import enum

import httptools

from bambooglade.http1 import messages

MAX_HEAD_BYTES = 65_536
"""Longest head, with the interim and foreign responses before it."""

MAX_FIELDS = 512
"""Most header fields of a response; each takes far more memory than bytes."""

FREE_OVERHEAD_BYTES = 65_536
"""Bytes of a body besides its content, whatever that is.

These are chunk sizes and extensions, and trailers.
"""

MAX_OVERHEAD_FACTOR = 32
"""Most further such bytes for each byte of content."""

MAX_OVERHEAD_BYTES = 1_048_576
"""Most such bytes in all, which a hundred thousand chunks do not reach.

A chunk takes about a microsecond to parse, however short it is.
"""

_MIN_FINAL_STATUS = 200
_BODILESS_STATUSES = (204, 304)


class ResponseState(enum.Enum):
    """State of the parser of a response."""

    HEAD = enum.auto()
    BODY = enum.auto()
    COMPLETE = enum.auto()
    MALFORMED = enum.auto()


class _TooManyFieldsError(Exception):
    """A head has more fields than are kept."""


class ResponseParser:
    r"""Parses one response; skips interim and unexpected responses.

    A response with a head or overhead beyond the limits is malformed, since its
    sender may go on without end.

    Attributes:
        state: State of the parser.
        head: Status and header fields; None until they are complete.
        has_extra_bytes: Whether bytes followed the end of the response. They
            belong to no request, so the connection must not be reused.
        skipped: Number of skipped responses to other requests.

    Args:
        is_bodiless: Whether the request has the method HEAD.
        is_expected: Returns for a head whether the response belongs to the
            request. A target may send a late response to an earlier request.

    Examples:
        >>> parser = ResponseParser()
        >>> parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        b'ok'
        >>> parser.state
        <ResponseState.COMPLETE: 3>
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_fields",
        "_head_bytes",
        "_is_bodiless",
        "_is_expected",
        "_is_skipping",
        "_overhead_bytes",
        "_parser",
        "has_extra_bytes",
        "head",
        "skipped",
        "state",
    )

    def __init__(
        self,
        *,
        is_bodiless: bool = False,
        is_expected: Callable[[messages.Head], bool] | None = None,
    ) -> None:
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self._is_bodiless = is_bodiless
        self._is_expected = is_expected
        self._is_skipping = False
        self._fields: messages.HeaderFields = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._overhead_bytes = 0
        self.head: messages.ResponseHead | None = None
        self.state = ResponseState.HEAD
        self.has_extra_bytes = False
        self.skipped = 0

    def feed(self, data: bytes) -> bytes:
        """Parses the next bytes, and returns the bytes of the body in them."""
        if self.state is ResponseState.COMPLETE:
            self.has_extra_bytes = True
            return b""
        if self.state is ResponseState.MALFORMED or self._parser is None:
            return b""
        is_in_body = self.state is ResponseState.BODY
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._handle_malformed()
        body = b"".join(self._body)
        self._body.clear()
        self._check_limits(len(data), len(body), is_in_body)
        return body

    def _check_limits(
        self, received_bytes: int, body_bytes: int, is_in_body: bool
    ) -> None:
        """Treats a response as malformed whose head or overhead has no end."""
        if self.state is ResponseState.HEAD:
            self._head_bytes += received_bytes
            if self._head_bytes > MAX_HEAD_BYTES:
                self.state = ResponseState.MALFORMED
        elif self.state is ResponseState.BODY and is_in_body:
            self._body_bytes += body_bytes
            self._overhead_bytes += received_bytes - body_bytes
            allowed_bytes = (
                FREE_OVERHEAD_BYTES + MAX_OVERHEAD_FACTOR * self._body_bytes
            )
            if self._overhead_bytes > min(allowed_bytes, MAX_OVERHEAD_BYTES):
                self.state = ResponseState.MALFORMED

    def _handle_malformed(self) -> None:
        if self.state is ResponseState.COMPLETE:
            self.has_extra_bytes = True
        else:
            self.state = ResponseState.MALFORMED

    def close(self) -> None:
        """Lets go of what was received, and ignores what follows.

        The parser of httptools and this object refer to each other, so that
        their memory would wait for the garbage collector.
        """
        self._parser = None
        self._is_expected = None
        self._fields = []
        self._body.clear()

    def ended(self, *, is_clean: bool) -> None:
        """Handles the end of the connection.

        A body without a length is complete only if the connection was closed
        without a reset.
        """
        if self.state is ResponseState.COMPLETE:
            return
        is_complete = (
            is_clean
            and self.head is not None
            and self.head.framing is messages.Framing.UNTIL_CLOSE
        )
        self.state = (
            ResponseState.COMPLETE if is_complete else ResponseState.MALFORMED
        )

    def on_message_begin(self) -> None:
        """Starts a response; one after the complete response is extra bytes."""
        if self.state is ResponseState.COMPLETE:
            self.has_extra_bytes = True
        self._fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header field; trailer fields are dropped.

        Raises:
            _TooManyFieldsError: There are more than `MAX_FIELDS`.
        """
        if self.state is ResponseState.HEAD:
            if len(self._fields) >= MAX_FIELDS:
                raise _TooManyFieldsError
            self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Stores the head, unless it is interim or of another response."""
        status = self._parser.get_status_code()
        if self.state is not ResponseState.HEAD or status < _MIN_FINAL_STATUS:
            return
        if self._is_unexpected():
            self._is_skipping = True
            return
        self.head = messages.ResponseHead(
            status=status,
            fields=self._fields,
            framing=self._framing(status),
            is_persistent=self._parser.should_keep_alive(),
        )
        self.state = ResponseState.BODY
        if self._is_bodiless:
            self.state = ResponseState.COMPLETE

    def _is_unexpected(self) -> bool:
        if self._is_expected is None:
            return False
        return not self._is_expected(messages.Head(self._fields))

    def _framing(self, status: int) -> messages.Framing:
        head = messages.Head(self._fields)
        if self._is_bodiless or status in _BODILESS_STATUSES:
            return messages.Framing.NONE
        if head.has(b"transfer-encoding"):
            return messages.Framing.CHUNKED
        if head.has(b"content-length"):
            return messages.Framing.LENGTH
        return messages.Framing.UNTIL_CLOSE

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        if self.state is ResponseState.BODY:
            self._body.append(bytes(data))

    def on_message_complete(self) -> None:
        """Completes the response, or counts it as skipped."""
        if self._is_skipping:
            self._is_skipping = False
            self.skipped += 1
        elif self.state is ResponseState.BODY:
            self.state = ResponseState.COMPLETE

    def __repr__(self) -> str:
        return f"ResponseParser(state={self.state.name})"
