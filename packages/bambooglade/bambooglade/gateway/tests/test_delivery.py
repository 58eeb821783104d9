"""Tests of responses whose delivery has begun."""

from __future__ import annotations

import pytest

from bambooglade.gateway import delivery as delivery_lib
from bambooglade.gateway import error_responses
from bambooglade.http1 import messages


class RecordingResponder:
    """Caller's connection that records what is sent, in order."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    def respond(self, status, fields, body) -> None:
        self.sent.append("response")

    def start_stream(self, status, fields) -> None:
        self.sent.append("head")

    def send_part(self, data) -> None:
        self.sent.append("part")

    def end_stream(self) -> None:
        self.sent.append("end")

    def abort(self) -> None:
        self.sent.append("abort")

    def now_ms(self) -> int:
        return 0


def head(status=200, media_type=b"text/event-stream", framing="CHUNKED"):
    return messages.ResponseHead(
        status=status,
        fields=[(b"Content-Type", media_type)],
        framing=messages.Framing[framing],
        is_persistent=True,
    )


@pytest.mark.parametrize(
    "send",
    [
        lambda delivery: delivery.respond(head(500), b"text"),
        lambda delivery: delivery.send_error(
            error_responses.ErrorResponse(
                error_responses.ErrorKind.BROKEN, "text"
            )
        ),
    ],
)
def test_whole_response_inside_a_stream_aborts_it(send):
    responder = RecordingResponder()
    delivery = delivery_lib.Delivery(responder)
    delivery.start_stream(head())
    delivery.send_events(b"id: 1\n\n")
    send(delivery)
    assert responder.sent == ["head", "part", "abort"]


@pytest.mark.parametrize(
    ("next_head", "is_continuation"),
    [
        (head(), True),
        (head(framing="UNTIL_CLOSE"), True),
        (head(media_type=b"Text/Event-Stream; charset=utf-8"), True),
        (head(media_type=b"application/json"), False),
        (head(media_type=b""), False),
        (head(206), False),
        (head(204, framing="NONE"), False),
    ],
)
def test_only_a_response_of_the_same_kind_continues_a_stream(
    next_head, is_continuation
):
    delivery = delivery_lib.Delivery(RecordingResponder())
    assert delivery.can_stream(head())
    delivery.start_stream(head())
    assert delivery.can_stream(next_head) is is_continuation
