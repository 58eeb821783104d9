"""Property tests of the parser with requests that do not end."""

from __future__ import annotations

import sys

import hypothesis
from hypothesis import strategies
import pytest

from bambooglade.http1 import messages
from bambooglade.http1 import request_parser

MAX_HEADER_BYTES = 2_000
MAX_BODY_BYTES = 6_000
READ_BYTES = 4_096
"""Longest random piece."""

GATEWAY_READ_BYTES = 65_536
"""Longest read of the gateway, in which requests are least split.

Bytes besides the content are not counted in the read that ends the head, so
that payloads without end are longer than their limit by more than one read.
"""

MAX_HELD_BYTES = (
    request_parser.FREE_OVERHEAD_BYTES
    + 2 * READ_BYTES
    + MAX_HEADER_BYTES * (1 + request_parser.FIELD_OVERHEAD_BYTES // 4)
    + MAX_BODY_BYTES
)
"""Most memory that one connection may take: all limits together.

A field takes four bytes of a header at least.
"""

HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
HOSTILE = {
    "short body": HEAD + b"Content-Length: 6000\r\n\r\n" + 5_999 * b"x",
    "one-byte chunks": CHUNKED + 5_999 * b"1\r\nx\r\n",
    "two-byte chunks": CHUNKED + 2_999 * b"2\r\nxy\r\n",
    "mixed chunks": CHUNKED
    + 5 * (messages.encode_chunk(1_030 * b"x") + 3 * b"1\r\nx\r\n"),
    "chunk extension": CHUNKED + b"1;" + 200_000 * b"x",
    "chunk extensions": CHUNKED + 5_000 * (b"1;" + 60 * b"e" + b"\r\nx\r\n"),
    "trailer line": CHUNKED + b"1\r\nx\r\n0\r\nX: " + 200_000 * b"x",
    "trailer lines": CHUNKED + b"0\r\n" + 900 * b"ab:c\r\n",
    "header line": HEAD + b"X: " + 9_000 * b"x",
    "header lines": HEAD + 900 * b"a:\r\n",
    "short head": HEAD + 400 * b"a:\r\n",
    "long target": b"POST /" + 9_000 * b"x",
    "announced too long": HEAD + b"Content-Length: 6001\r\n\r\n" + 9 * b"x",
    "sent too long": CHUNKED + 9 * messages.encode_chunk(700 * b"x"),
    "pipelined": 5 * (HEAD + b"Content-Length: 900\r\n\r\n" + 900 * b"x"),
    "pipelined fields": 4 * (HEAD + 300 * b"a:b\r\n" + b"\r\n"),
}


class Result:
    """What a parser made of the pieces of a connection."""

    def __init__(self, pieces) -> None:
        self.requests: list[tuple[bytes, bytes, bytes, list]] = []
        self.status: int | None = None
        self.peak_bytes = 0
        self.real_bytes = 0
        parser = request_parser.RequestParser(
            request_parser.RequestLimits(
                max_header_bytes=MAX_HEADER_BYTES, max_body_bytes=MAX_BODY_BYTES
            )
        )
        try:
            for piece in pieces:
                for request in parser.feed(piece, now_ms=0):
                    self.requests.append(
                        (
                            request.method,
                            request.target,
                            request.body,
                            request.fields,
                        )
                    )
                self.peak_bytes = max(self.peak_bytes, parser.held_bytes)
                self._check_count(parser)
        except request_parser.RejectedRequestError as error:
            self.status = error.status

    def _check_count(self, parser: request_parser.RequestParser) -> None:
        """Compares the count with the objects that the parser refers to."""
        real_bytes = sys.getsizeof(parser._body) + sum(
            sys.getsizeof(part) for part in parser._body
        )
        real_bytes += sum(
            sys.getsizeof(field) + sum(map(sys.getsizeof, field))
            for field in parser._fields
        )
        assert real_bytes <= 1.2 * parser.held_bytes + 400


def split(data: bytes, sizes: list[int]):
    """Yields pieces of the given sizes in turn."""
    begin, number = 0, 0
    while begin < len(data):
        size = sizes[number % len(sizes)]
        yield data[begin : begin + size]
        begin += size
        number += 1


@pytest.mark.parametrize("name", HOSTILE)
@hypothesis.settings(max_examples=25, deadline=None)
@hypothesis.given(
    sizes=strategies.lists(
        strategies.integers(1, READ_BYTES), min_size=1, max_size=12
    )
)
def test_split_hostile_request_is_counted_and_parsed_as_unsplit(name, sizes):
    """Guards against memory that is not counted, however reads fall."""
    expected = Result(split(HOSTILE[name], [GATEWAY_READ_BYTES]))
    found = Result(split(HOSTILE[name], sizes))
    assert found.peak_bytes <= MAX_HELD_BYTES
    assert found.status == expected.status
    assert found.requests == expected.requests
