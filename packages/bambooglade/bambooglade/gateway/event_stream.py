"""Splits the body of a stream into whole server-sent events; pure."""

from __future__ import annotations

from bambooglade.transport import sse

_DELIMITERS = (b"\n\n", b"\r\n\r\n")


class EventTooLargeError(ValueError):
    """An event is longer than what is accepted."""


class EventSplitter:
    r"""Keeps back what does not make up a whole event yet.

    Attributes:
        events: Number of whole events so far.
        last_event_id: Id of the last whole event; None before the first.

    Examples:
        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 7\ndata: a\n\nid: 8\nda")
        b'id: 7\ndata: a\n\n'
        >>> splitter.last_event_id, splitter.rest
        (b'7', b'id: 8\nda')
    """

    __slots__ = ("events", "last_event_id", "rest")

    def __init__(self) -> None:
        self.events = 0
        self.last_event_id: bytes | None = None
        self.rest = b""

    def feed(self, data: bytes) -> bytes:
        """Takes the next bytes; returns those of the events they complete.

        Raises:
            EventTooLargeError: An event has no end within the limit.
        """
        self.rest += data
        end = max(map(self._end_after_last, _DELIMITERS))
        whole, self.rest = self.rest[:end], self.rest[end:]
        if len(self.rest) > sse.MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"an event has over {sse.MAX_EVENT_BYTES} bytes"
            )
        self._count(whole)
        return whole

    def _end_after_last(self, delimiter: bytes) -> int:
        position = self.rest.rfind(delimiter)
        return 0 if position < 0 else position + len(delimiter)

    def drop_rest(self) -> None:
        """Forgets a part of an event that will not be completed."""
        self.rest = b""

    def _count(self, whole: bytes) -> None:
        for event in whole.replace(b"\r\n", b"\n").split(b"\n\n"):
            if not event:
                continue
            self.events += 1
            for line in event.split(b"\n"):
                name, _, value = line.partition(b":")
                if name == b"id":
                    self.last_event_id = value.strip()

    def __repr__(self) -> str:
        return f"EventSplitter(events={self.events})"
