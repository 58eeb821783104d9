"""Delivers a response to the caller, from one target or from several."""

from __future__ import annotations

from typing import Protocol

from bambooglade.gateway import error_responses
from bambooglade.gateway import event_stream
from bambooglade.http1 import messages


class Responder(Protocol):
    """A caller's connection, for one response."""

    def respond(
        self,
        status: int,
        fields: messages.HeaderFields,
        body: bytes,
    ) -> None:
        """Sends a whole response."""
        ...

    def start_stream(self, status: int, fields: messages.HeaderFields) -> None:
        """Sends the head of a response whose length is not known."""
        ...

    def send_part(self, data: bytes) -> None:
        """Sends a part of the body."""
        ...

    def end_stream(self) -> None:
        """Sends the end of the body."""
        ...

    def abort(self) -> None:
        """Closes the connection so that the response looks incomplete."""
        ...

    def now_ms(self) -> int:
        """Returns the time."""
        ...


class Delivery:
    """Response of one request, with what was delivered of it so far.

    Args:
        responder: The caller's connection.

    Attributes:
        is_started: Whether the caller has got the head.
        events: Whole events that targets have sent.
    """

    __slots__ = (
        "_first_event_at_ms",
        "_responder",
        "_splitter",
        "is_started",
    )

    def __init__(self, responder: Responder) -> None:
        self._responder = responder
        self._splitter = event_stream.EventSplitter()
        self._first_event_at_ms: int | None = None
        self.is_started = False

    @property
    def events(self) -> int:
        """Whole events that were passed on."""
        return self._splitter.events

    @property
    def last_event_id(self) -> bytes | None:
        """Id of the last event that was passed on."""
        return self._splitter.last_event_id

    def first_event_ms(self, request: messages.Request) -> int | None:
        """Returns the time to the first event, in ms; None without one."""
        if self._first_event_at_ms is None:
            return None
        return self._first_event_at_ms - request.received_at_ms

    def respond(self, head: messages.ResponseHead, body: bytes) -> None:
        """Delivers a whole response of a target."""
        self.is_started = True
        self._responder.respond(head.status, _fields(head), body)

    def start_stream(self, head: messages.ResponseHead) -> None:
        """Delivers the head of a stream, once."""
        if not self.is_started:
            self.is_started = True
            self._responder.start_stream(head.status, _fields(head))

    def stream(self, data: bytes) -> bool:
        """Delivers the whole events in the data; returns if there are any."""
        whole = self._splitter.feed(data)
        if not whole:
            return False
        if self._first_event_at_ms is None:
            self._first_event_at_ms = self._responder.now_ms()
        self._responder.send_part(whole)
        return True

    def end_stream(self) -> None:
        """Delivers what is left, and the end."""
        if self._splitter.rest:
            self._responder.send_part(self._splitter.rest)
        self._responder.end_stream()

    def break_stream(self) -> None:
        """Forgets the part of an event that will not be completed."""
        self._splitter.drop_rest()

    def refuse(self, refusal: error_responses.ErrorResponse) -> None:
        """Delivers a response of the gateway's own."""
        self.is_started = True
        self._responder.respond(
            refusal.status, list(refusal.fields()), refusal.body()
        )

    def abort(self) -> None:
        """Ends a response that can't be completed."""
        self._responder.abort()

    def __repr__(self) -> str:
        return f"Delivery(started={self.is_started}, events={self.events})"


def _fields(head: messages.ResponseHead) -> messages.HeaderFields:
    return [
        (name, value)
        for name, value in messages.end_to_end(head.fields)
        if name.lower() != b"content-length"
    ]
