"""Delivers the response to one request, even if several targets produce it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import received_body
from bambooglade.gateway import error_responses
from bambooglade.gateway import event_stream
from bambooglade.http1 import messages

MAX_BUFFERED_BYTES = 4_194_304
"""Longest response that is buffered until it is complete."""

REJECTION_BODY_MS = 100
"""Time within which the body of a rejection ends on a connection that is kept.
"""

MAX_REJECTION_BODY_BYTES = 65_536
"""Longest body of a rejection that is read."""


def new_body(
    loop: loop_lib.EventLoop, discard: Callable[[], None] = lambda: None
) -> received_body.ReceivedBody:
    """Returns a body of a response that is buffered until it is complete.

    Args:
        loop: The event loop, whose byte budget it draws on.
        discard: Called when the process needs its memory for others.
    """
    return received_body.ReceivedBody(
        loop.byte_budget, max_bytes=MAX_BUFFERED_BYTES, discard=discard
    )


class Responder(Protocol):
    """The part of a caller's connection that sends one response."""

    def respond(
        self,
        status: int,
        fields: messages.HeaderFields,
        body: bytes,
    ) -> None:
        """Sends a complete response."""
        ...

    def start_stream(self, status: int, fields: messages.HeaderFields) -> None:
        """Sends the head of a response of unknown length."""
        ...

    def send_part(self, data: bytes) -> None:
        """Sends a part of the body."""
        ...

    def end_stream(self) -> None:
        """Sends the end of the body."""
        ...

    def abort(self) -> None:
        """Closes the connection, so that the response is seen as incomplete."""
        ...

    def now_ms(self) -> int:
        """Returns the current time in milliseconds."""
        ...


class Delivery:
    """Response to one request, and the progress of its delivery.

    Args:
        responder: The caller's connection.

    Attributes:
        is_started: Whether the head was sent to the caller.
    """

    __slots__ = (
        "_events_before_response",
        "_first_event_at_ms",
        "_responder",
        "_splitter",
        "_stream_head",
        "is_started",
    )

    def __init__(self, responder: Responder) -> None:
        self._responder = responder
        self._splitter = event_stream.EventSplitter()
        self._first_event_at_ms: int | None = None
        self._events_before_response = 0
        self._stream_head: messages.ResponseHead | None = None
        self.is_started = False

    @property
    def event_count(self) -> int:
        """Number of complete events that were sent to the caller."""
        return self._splitter.event_count

    @property
    def last_event_id(self) -> bytes | None:
        """Id of the last event that was sent; None before the first."""
        return self._splitter.last_event_id

    @property
    def partial_event_bytes(self) -> int:
        """Number of received bytes of an event that is not complete yet."""
        return len(self._splitter.pending)

    def time_to_first_event_ms(self, request: messages.Request) -> int | None:
        """Returns the time to the first event; None before it."""
        if self._first_event_at_ms is None:
            return None
        return self._first_event_at_ms - request.received_at_ms

    def respond(self, head: messages.ResponseHead, body: bytes) -> None:
        """Sends a target's complete response; inside a stream, aborts it."""
        if self._stream_head is not None:
            self.abort()
            return
        self.is_started = True
        self._responder.respond(head.status, _forwarded_fields(head), body)

    def can_stream(self, head: messages.ResponseHead) -> bool:
        """Returns whether a target's response begins or continues the stream.

        Once the caller has the head of a stream, only a response of the same
        status and media type is a part of it.
        """
        if head.framing is messages.Framing.NONE:
            return False
        first = self._stream_head
        return first is None or (
            (head.status, _media_type(head))
            == (first.status, _media_type(first))
        )

    def start_stream(self, head: messages.ResponseHead) -> None:
        """Begins with a target's stream; the first one's head is sent."""
        self._events_before_response = self.event_count
        if not self.is_started:
            self.is_started = True
            self._stream_head = head
            self._responder.start_stream(head.status, _forwarded_fields(head))

    def send_events(self, data: bytes) -> bool:
        """Sends what the data completes; returns whether there were events.

        Comments are sent, but show no progress.
        """
        events_before = self.event_count
        complete = self._splitter.feed(data)
        if not complete:
            return False
        has_event = self.event_count > events_before
        if has_event and self._first_event_at_ms is None:
            self._first_event_at_ms = self._responder.now_ms()
        self._responder.send_part(complete)
        return has_event

    def find_truncation(self, framing: messages.Framing) -> str:
        """Returns how a target's stream was truncated; empty if it is complete.

        The end of the framing doesn't show it: a target that breaks off a
        stream may still end its chunks or close its connection regularly.

        Args:
            framing: Framing of the stream, which has ended.
        """
        if self._splitter.is_inside_event:
            return "the stream ended inside an event"
        has_events = self.event_count > self._events_before_response
        if framing is messages.Framing.UNTIL_CLOSE and not has_events:
            return "the connection was closed before the first event"
        return ""

    def end_stream(self) -> None:
        """Sends the line breaks after the last event, and the end."""
        if self._splitter.pending:
            self._responder.send_part(self._splitter.pending)
        self._responder.end_stream()

    def discard_partial_event(self) -> None:
        """Discards the part of an event that the target did not complete."""
        self._splitter.discard_pending()

    def send_error(
        self,
        error: error_responses.ErrorResponse,
        *,
        extra_fields: messages.HeaderFields = (),
    ) -> None:
        """Sends an error of the gateway itself; inside a stream, aborts it."""
        if self._stream_head is not None:
            self.abort()
            return
        self.is_started = True
        self._responder.respond(
            error.status, [*error.fields(), *extra_fields], error.body()
        )

    def abort(self) -> None:
        """Closes the connection of a response that can't be completed."""
        self._responder.abort()

    def __repr__(self) -> str:
        return f"Delivery(started={self.is_started}, events={self.event_count})"


def _media_type(head: messages.ResponseHead) -> bytes:
    return head.get(b"content-type").partition(b";")[0].strip().lower()


def _forwarded_fields(head: messages.ResponseHead) -> messages.HeaderFields:
    return [
        (name, value)
        for name, value in messages.end_to_end(head.fields)
        if name.lower() != b"content-length"
    ]
