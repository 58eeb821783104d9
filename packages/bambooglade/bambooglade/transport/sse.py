"""Encoding and incremental parsing of server-sent events."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

MAX_EVENT_BYTES = 262_144
"""Maximum size of an event, in bytes."""

DONE = b"[DONE]"
"""Data of the event that ends a chat stream."""


class EventTooLargeError(Exception):
    """An event is longer than `MAX_EVENT_BYTES`."""


def encode(data: bytes) -> bytes:
    r"""Returns one event with the data, which must not contain line breaks.

    Examples:
        >>> encode(b"{}")
        b'data: {}\n\n'
    """
    return b"data: " + data + b"\n\n"


def parse(chunks: Iterable[bytes]) -> Iterator[bytes]:
    r"""Yields the data of each complete event.

    An event that is truncated by the end of the input is not yielded.

    Args:
        chunks: Parts of the body, split at any byte.

    Raises:
        EventTooLargeError: An event is longer than `MAX_EVENT_BYTES`.

    Examples:
        >>> list(parse([b"data: a\r\nda", b"ta: b\n\n: note\n\ndata: cut"]))
        [b'a\nb']
    """
    data: list[bytes] = []
    size_bytes = 0
    for line in _lines(chunks):
        if line:
            size_bytes += len(line)
            if size_bytes > MAX_EVENT_BYTES:
                raise EventTooLargeError(
                    f"an event exceeds {MAX_EVENT_BYTES} bytes"
                )
            data.extend(_data_of(line))
            continue
        if data:
            yield b"\n".join(data)
        data = []
        size_bytes = 0


def _data_of(line: bytes) -> Iterator[bytes]:
    field, _, value = line.partition(b":")
    if field == b"data":
        yield value.removeprefix(b" ")


def _lines(chunks: Iterable[bytes]) -> Iterator[bytes]:
    rest = b""
    for chunk in chunks:
        *lines, rest = (rest + chunk).split(b"\n")
        yield from (line.removesuffix(b"\r") for line in lines)
        if len(rest) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"a line exceeds {MAX_EVENT_BYTES} bytes")
