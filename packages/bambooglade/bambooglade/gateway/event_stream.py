"""Splits the body of a stream into server-sent events; without I/O."""

from __future__ import annotations

from bambooglade.transport import sse

_DELIMITERS = (b"\n\n", b"\r\n\r\n")


class EventTooLargeError(ValueError):
    """A server-sent event exceeds the size limit."""


class EventSplitter:
    r"""Buffers bytes until they make up complete server-sent events.

    Attributes:
        event_count: Number of complete events so far.
        last_event_id: Id of the last complete event; None before the first.
        pending: Bytes of an incomplete event.

    Examples:
        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 7\ndata: a\n\nid: 8\nda")
        b'id: 7\ndata: a\n\n'
        >>> splitter.last_event_id, splitter.pending
        (b'7', b'id: 8\nda')
        >>> splitter.is_inside_event
        True
    """

    __slots__ = ("event_count", "last_event_id", "pending")

    def __init__(self) -> None:
        self.event_count = 0
        self.last_event_id: bytes | None = None
        self.pending = b""

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event.

        Line breaks after the last event belong to no event.
        """
        return bool(self.pending.strip(b"\r\n"))

    def feed(self, data: bytes) -> bytes:
        """Adds bytes, and returns the events that are now complete.

        Raises:
            EventTooLargeError: An incomplete event exceeds the size limit.
        """
        self.pending += data
        end = max(map(self._end_after_last, _DELIMITERS))
        complete, self.pending = self.pending[:end], self.pending[end:]
        if len(self.pending) > sse.MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"an event exceeds the limit of {sse.MAX_EVENT_BYTES} bytes"
            )
        self._count_events(complete)
        return complete

    def _end_after_last(self, delimiter: bytes) -> int:
        position = self.pending.rfind(delimiter)
        return 0 if position < 0 else position + len(delimiter)

    def discard_pending(self) -> None:
        """Discards the bytes of an event that will not be completed."""
        self.pending = b""

    def _count_events(self, complete: bytes) -> None:
        """Counts the events; comments are none, and are not paid for."""
        for event in complete.replace(b"\r\n", b"\n").split(b"\n\n"):
            names_and_values = [
                (name, value)
                for name, _, value in (
                    line.partition(b":") for line in event.split(b"\n")
                )
                if name
            ]
            self.event_count += bool(names_and_values)
            for name, value in names_and_values:
                if name == b"id":
                    self.last_event_id = value.strip()

    def __repr__(self) -> str:
        return f"EventSplitter(events={self.event_count})"
