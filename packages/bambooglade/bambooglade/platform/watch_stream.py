"""Lines of a streamed HTTP answer, yielded as they arrive."""

from __future__ import annotations

from collections.abc import Iterator

import pycurl

_SELECT_S = 1.0
MAX_LINE_BYTES = 4_000_000


def lines(
    url: str, body: bytes, *, connect_timeout_ms: int, timeout_ms: int
) -> Iterator[bytes]:
    """Posts a body and yields the non-empty lines of the answer.

    It ends with the answer, at the time-out, after a failure, or at a line
    longer than `MAX_LINE_BYTES`.

    Args:
        url: Where to post.
        body: JSON body.
        connect_timeout_ms: Limit on the time to connect, in milliseconds.
        timeout_ms: Limit on the whole stream, in milliseconds.
    """
    chunks: list[bytes] = []
    handle = _handle(url, body, chunks, connect_timeout_ms, timeout_ms)
    multi = pycurl.CurlMulti()
    multi.add_handle(handle)
    try:
        yield from _lines(_arrivals(multi, chunks))
    finally:
        multi.remove_handle(handle)
        handle.close()
        multi.close()


def _handle(
    url: str,
    body: bytes,
    chunks: list[bytes],
    connect_timeout_ms: int,
    timeout_ms: int,
) -> pycurl.Curl:
    handle = pycurl.Curl()
    handle.setopt(pycurl.URL, url)
    handle.setopt(pycurl.POSTFIELDS, body)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.FAILONERROR, 1)
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, connect_timeout_ms)
    handle.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    handle.setopt(
        pycurl.HTTPHEADER, ["Expect:", "Content-Type: application/json"]
    )
    handle.setopt(pycurl.WRITEFUNCTION, chunks.append)
    return handle


def _arrivals(multi: pycurl.CurlMulti, chunks: list[bytes]) -> Iterator[bytes]:
    running = 1
    while running:
        _, running = multi.perform()
        arrived = b"".join(chunks)
        chunks.clear()
        if arrived:
            yield arrived
        elif running:
            multi.select(_SELECT_S)


def _lines(arrivals: Iterator[bytes]) -> Iterator[bytes]:
    buffered = b""
    for arrived in arrivals:
        *whole, buffered = (buffered + arrived).split(b"\n")
        yield from (line for line in whole if line.strip())
        if len(buffered) > MAX_LINE_BYTES:
            return
