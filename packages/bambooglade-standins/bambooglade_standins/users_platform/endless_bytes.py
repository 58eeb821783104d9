"""Bytes that are no response, which a faulty engine sends without end."""

from __future__ import annotations

PIECE_BYTES = 65_536
"""Bytes that are sent at a time."""

_IDENTIFIED = (
    b"HTTP/1.1 200 OK\r\nX-Bambooglade-Engine-Signature: s\r\n"
    b"X-Bambooglade-Attempt-Id: %s\r\n"
)
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_STREAM = b"Content-Type: text/event-stream\r\n\r\n"

BY_NAME: dict[str, tuple[bytes, bytes]] = {
    "zeros": (b"", b"\0"),
    "letters": (b"", b"x"),
    "line ends": (b"", b"\r\n"),
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-A: 1\r\n"),
    "header value": (b"HTTP/1.1 200 OK\r\nX-A: ", b"x"),
    "interim responses": (b"", b"HTTP/1.1 103 Early\r\nX-A: 1\r\n\r\n"),
    "other responses": (
        b"",
        (
            b"HTTP/1.1 200 OK\r\nX-Bambooglade-Attempt-Id: other\r\n"
            b"Content-Length: 1\r\n\r\nx"
        ),
    ),
    "body": (_IDENTIFIED + b"\r\n", b"x"),
    "huge body": (_IDENTIFIED + b"Content-Length: 99999999999\r\n\r\n", b"x"),
    "chunks": (_IDENTIFIED + _CHUNKED, b"400\r\n" + 1_024 * b"x" + b"\r\n"),
    "tiny chunks": (_IDENTIFIED + _CHUNKED, b"1\r\nx\r\n"),
    "chunk extension": (_IDENTIFIED + _CHUNKED + b"1;a=", b"x"),
    "chunk size": (_IDENTIFIED + _CHUNKED, b"0"),
    "trailers": (_IDENTIFIED + _CHUNKED + b"0\r\n", b"X-A: 1\r\n"),
    "event": (_IDENTIFIED + _STREAM + b"id: 1\ndata: ", b"x"),
    "comments": (_IDENTIFIED + _STREAM, b": x\n\n"),
    "rejection": (
        (
            b"HTTP/1.1 503 Unavailable\r\nX-Bambooglade-Not-Executed: 1\r\n"
            b"X-Bambooglade-Attempt-Id: %s\r\n\r\n"
        ),
        b"x",
    ),
}
"""Head, which may name the request, and what follows it without end."""


def head(name: str, request_id: bytes) -> bytes:
    """Returns what comes first.

    Args:
        name: A key of `BY_NAME`.
        request_id: Id of the request that gets it.

    Examples:
        >>> head("status line", b"a.1")
        b'HTTP/1.1 200 '
    """
    return BY_NAME[name][0].replace(b"%s", request_id)


def piece(name: str) -> bytes:
    """Returns the bytes that are sent again and again.

    Args:
        name: A key of `BY_NAME`.
    """
    repeated = BY_NAME[name][1]
    return repeated * max(1, PIECE_BYTES // len(repeated))
