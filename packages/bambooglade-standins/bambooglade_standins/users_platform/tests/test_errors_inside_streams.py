"""Tests that an error of the next target does not end up inside a stream."""

from __future__ import annotations

import pytest

from bambooglade.http1 import messages
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import platform_harness as harness_lib
from bambooglade_standins.users_platform import target_links

EVENTS = 4
DEADLINE_MS = 2_900
PROMPT = "100,50"
ERROR_TEXT = b"error-text-of-a-target"
_FORBIDDEN = (ERROR_TEXT, b"HTTP/1.1", b"X-Bambooglade", b"\x1f\x8b")


@pytest.fixture
def harness():
    built = harness_lib.PlatformHarness()
    built.has_cuttable_links = True
    built.configure(harness_lib.configuration())
    yield built
    built.close()


def send_events(call: engine_lib.Call, count: int) -> None:
    first = int(call.request.get(b"last-event-id") or 0) + 1
    call.start_stream()
    for number in range(first, first + count):
        call.event(number)


def break_by_reset(call: engine_lib.Call, count: int) -> None:
    send_events(call, count)
    call.engine.call_after_sending(call.reset)


def break_by_close(call: engine_lib.Call, count: int) -> None:
    send_events(call, count)
    call.engine.call_after_sending(call.close)


def break_inside_an_event(call: engine_lib.Call, count: int) -> None:
    send_events(call, count)
    call.send(messages.encode_chunk(b"id: 9\ndata: par"))
    call.engine.call_after_sending(call.close)


def end_inside_an_event(call: engine_lib.Call, count: int) -> None:
    send_events(call, count)
    call.send(messages.encode_chunk(b"id: 9\ndata: par"))
    call.end_stream()


def break_by_silence(call: engine_lib.Call, count: int) -> None:
    send_events(call, count)


def break_by_malformed_chunk(call: engine_lib.Call, count: int) -> None:
    send_events(call, count)
    call.engine.call_after_sending(lambda: call.send(b"zz\r\nnot a chunk\r\n"))


BREAKS = (
    break_by_reset,
    break_by_close,
    break_inside_an_event,
    end_inside_an_event,
    break_by_silence,
    break_by_malformed_chunk,
)


def respond(status: int, *, extra=(), signed: bool = True, body=ERROR_TEXT):
    """Returns a behaviour that responds with a whole body."""

    def behave(call: engine_lib.Call) -> None:
        fields = call.fields() if signed else call.fields()[:1]
        call.send(
            messages.encode_response(
                status=status, fields=[*fields, *extra], body=body
            )
        )

    return behave


def decline(status: int, *, extra=()):
    """Returns a behaviour that declines a request without running it."""

    def behave(call: engine_lib.Call) -> None:
        call.engine.declined_count += 1
        fields = [
            call.fields()[0],
            (b"X-Bambooglade-Not-Executed", b"1"),
            *extra,
        ]
        call.send(
            messages.encode_response(
                status=status, fields=fields, body=ERROR_TEXT
            )
        )

    return behave


def respond_in_chunks(call: engine_lib.Call) -> None:
    fields = [*call.fields(), (b"Transfer-Encoding", b"chunked")]
    call.send(messages.encode_response_head(status=500, fields=fields))
    for part in (ERROR_TEXT[:7], ERROR_TEXT[7:], b"\n\n"):
        call.send(messages.encode_chunk(part))
    call.end_stream()


def respond_in_pieces(call: engine_lib.Call) -> None:
    whole = messages.encode_response(
        status=500, fields=call.fields(), body=ERROR_TEXT + b"\n\n"
    )
    call.send(whole[:40])
    call.engine.call_after_sending(lambda: call.send(whole[40:]))


def respond_until_close(status: int, body: bytes):
    def behave(call: engine_lib.Call) -> None:
        fields = call.fields()
        call.send(messages.encode_response_head(status=status, fields=fields))
        call.send(body)
        call.close()

    return behave


def respond_to_another_request(call: engine_lib.Call) -> None:
    fields = [
        (engine_lib.ATTEMPT_ID, b"other"),
        (engine_lib.SIGNATURE, b"sig-other"),
    ]
    call.send(
        messages.encode_response(status=200, fields=fields, body=ERROR_TEXT)
    )


def respond_after_an_interim_response(call: engine_lib.Call) -> None:
    call.send(b"HTTP/1.1 103 Early Hints\r\nX-Bambooglade-A: b\r\n\r\n")
    engine_lib.stream_events(EVENTS)(call)


def send_malformed_head(call: engine_lib.Call) -> None:
    call.send(b"HTP/9 " + ERROR_TEXT + b"\r\n\r\n")


JSON = (b"Content-Type", b"application/json")
EVENT_STREAM = (b"Content-Type", b"text/event-stream")


def send_json_in_chunks(call: engine_lib.Call) -> None:
    fields = [*call.fields(), JSON, (b"Transfer-Encoding", b"chunked")]
    call.send(messages.encode_response_head(status=200, fields=fields))
    call.send(messages.encode_chunk(ERROR_TEXT + b"\n\n"))
    call.end_stream()


def send_encoded_stream(call: engine_lib.Call) -> None:
    fields = [
        *call.fields(),
        (b"Content-Type", b"text/event-stream"),
        (b"Content-Encoding", b"gzip"),
        (b"Transfer-Encoding", b"chunked"),
    ]
    call.send(messages.encode_response_head(status=200, fields=fields))
    call.send(messages.encode_chunk(b"\x1f\x8b" + ERROR_TEXT + b"\n\n"))
    call.end_stream()


def reset(call: engine_lib.Call) -> None:
    call.reset()


NEXT_RESPONSES = {
    "500": respond(500),
    "500_unsigned": respond(500, signed=False),
    "500_with_line_breaks": respond(500, body=ERROR_TEXT + b"\n\n"),
    "500_in_chunks": respond_in_chunks,
    "500_in_pieces": respond_in_pieces,
    "500_until_close": respond_until_close(500, ERROR_TEXT + b"\n\n"),
    "503_not_executed": decline(503),
    "503_not_executed_pause": decline(503, extra=[(b"Retry-After", b"0.1")]),
    "503": respond(503),
    "429_not_executed": decline(429),
    "429": respond(429),
    "421": decline(421),
    "404": respond(404),
    "400": respond(400),
    "302": respond(302, extra=[(b"Location", b"/elsewhere")]),
    "204": respond(204, body=b""),
    "200_json": respond(200, extra=[JSON], body=ERROR_TEXT + b"\n\n"),
    "200_json_in_chunks": send_json_in_chunks,
    "200_without_type": respond_until_close(200, ERROR_TEXT + b"\n\n"),
    "200_empty": respond(200, body=b""),
    "206": respond(206, extra=[EVENT_STREAM], body=engine_lib.event(9)),
    "206_unsigned": respond(206, signed=False),
    "200_unsigned": respond(200, signed=False),
    "200_encoded": send_encoded_stream,
    "200_until_close_and_empty": respond_until_close(200, b""),
    "200_to_another_request": respond_to_another_request,
    "103_then_200": respond_after_an_interim_response,
    "malformed_head": send_malformed_head,
    "reset": reset,
}


def assert_stream_is_sound(caller: harness_lib.Caller) -> None:
    """Asserts that a caller got whole events in order, and no false end."""
    assert not any(text in caller.body for text in _FORBIDDEN)
    events = b"".join(map(engine_lib.event, range(1, EVENTS + 1)))
    assert events.startswith(caller.body)
    assert caller.body.endswith(b"\n\n") or not caller.body
    if caller.is_complete and caller.status == 200:
        assert caller.body == events
    elif caller.body:
        assert caller.is_closed


def begin_then_break(harness, end, events: int, response):
    """Returns a caller whose stream breaks; other engines send `response`."""
    calls: list[engine_lib.Call] = []
    for engine in harness.engine_by_name.values():
        engine.script.append(calls.append)
    caller = harness.start_call(
        "/resume/1", prompt=PROMPT, deadline_ms=DEADLINE_MS
    )
    harness.run_until(lambda: calls)
    for engine in harness.engine_by_name.values():
        engine.script.clear()
        if engine is not calls[0].engine:
            engine.default = response
    end(calls[0], events)
    harness.run_until(lambda: caller.is_finished)
    harness.run_for(30)
    return caller


@pytest.mark.parametrize("events", [0, 1, 3])
@pytest.mark.parametrize("end", BREAKS)
@pytest.mark.parametrize(
    "response", NEXT_RESPONSES.values(), ids=NEXT_RESPONSES
)
def test_error_of_the_next_target_is_not_inside_the_stream(
    harness, end, events, response
):
    for name in ("j1", "j2", "j3"):
        harness.add_engine(name, "jury")
    harness.start_gateway()
    caller = begin_then_break(harness, end, events, response)
    assert_stream_is_sound(caller)


@pytest.mark.parametrize("events", [1, 3])
@pytest.mark.parametrize(
    "response", NEXT_RESPONSES.values(), ids=NEXT_RESPONSES
)
def test_error_at_a_peer_is_not_inside_the_stream(harness, events, response):
    for name in ("j1", "j2", "j3"):
        harness.add_engine(name, "jury")
    for number in range(3):
        harness.start_gateway(f"edge-{number}")
        harness.seeds = (harness.gateways[0].settings.peer_address,)
    harness.run_until_discovered()

    def cut_links(call: engine_lib.Call, count: int) -> None:
        send_events(call, count)
        call.engine.call_after_sending(
            lambda: harness.links[0].cut(target_links.Cut.RESET)
        )

    caller = begin_then_break(harness, cut_links, events, response)
    assert_stream_is_sound(caller)


@pytest.mark.parametrize("method", ["POST", "GET"])
@pytest.mark.parametrize(
    "response", NEXT_RESPONSES.values(), ids=NEXT_RESPONSES
)
def test_error_of_a_resumed_stream_is_its_only_response(
    harness, response, method
):
    for name in ("j1", "j2"):
        harness.add_engine(name, "jury", default=response)
    harness.start_gateway()
    caller = harness.call(
        "/resume/1",
        method=method,
        body=b"body" if method == "POST" else b"",
        prompt=PROMPT,
        deadline_ms=DEADLINE_MS,
        extra=[(b"Last-Event-Id", b"2"), (b"Resumes", b"unknown")],
    )
    harness.run_for(30)
    assert caller.status is not None
    assert b"HTTP/1.1" not in caller.body
    assert b"\x1f\x8b" not in caller.body
    assert not caller.has_extra_bytes


@pytest.mark.parametrize("events", [1, 3])
@pytest.mark.parametrize("end", BREAKS)
@pytest.mark.parametrize(
    "response",
    [
        decline(503),
        decline(503, extra=[(b"Retry-After", b"0.1")]),
        decline(421),
    ],
)
def test_stream_that_the_next_target_declines_goes_on_at_a_third_one(
    harness, end, events, response
):
    for name in ("j1", "j2", "j3"):
        harness.add_engine(name, "jury")
    harness.start_gateway()
    responses = [response, engine_lib.stream_events(EVENTS)]

    def respond_next(call: engine_lib.Call) -> None:
        responses.pop(0)(call)

    caller = begin_then_break(harness, end, events, respond_next)
    assert caller.is_complete
    assert_stream_is_sound(caller)
    engines = harness.engine_by_name.values()
    assert sum(len(e.requests) - e.declined_count for e in engines) == 2


def test_second_run_that_is_declined_ends_without_a_false_promise(harness):
    for name in ("j1", "j2", "j3"):
        harness.add_engine(name, "jury")
    harness.start_gateway()
    caller = begin_then_break(harness, break_by_reset, 1, decline(503))
    assert not caller.is_complete
    assert caller.body == engine_lib.event(1)
