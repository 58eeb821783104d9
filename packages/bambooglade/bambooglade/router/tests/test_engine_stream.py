"""Tests of one attempt at an engine: stalled streams and slow callers."""

from __future__ import annotations

import contextlib

import msgspec
import pytest

from bambooglade.core import clock as clocks
from bambooglade.router import engine_stream
from bambooglade.targets import stream_validation
from bambooglade.transport import client as client_lib
from bambooglade.transport import exchange
from bambooglade.transport import messages
from bambooglade.transport import sse
from bambooglade.transport.tests import raw_server
from bambooglade_standins import faults as faults_lib
from bambooglade_standins.engine import app as engine_app
from bambooglade_standins.engine import server as engine_server

TOKENS = 6
CALLER_PAUSE_MS = 400
NEXT_TOKEN_TIMEOUT_MS = 100


class SelfAdvancingClock(clocks.ManualClock):
    """A clock that advances by 1 ms with each reading."""

    def now_ms(self) -> int:
        self.advance(delta_ms=1)
        return super().now_ms()


@contextlib.contextmanager
def running_attempt(
    monkeypatch, *, clock, faults=None, first_token_timeout_ms=10**9
):
    monkeypatch.setattr(
        engine_stream, "NEXT_TOKEN_TIMEOUT_MS", NEXT_TOKEN_TIMEOUT_MS
    )
    monkeypatch.setattr(
        engine_stream, "FIRST_TOKEN_TIMEOUT_MS", first_token_timeout_ms
    )
    monkeypatch.setattr(exchange, "CHECK_PERIOD_MS", 0)
    http, _ = engine_server.start(
        engine_app.EngineOptions(model="m", token_ms=1), faults=faults
    )
    client = client_lib.HttpClient()
    body = {
        "model": "m",
        "messages": [{"role": "user", "content": "x"}],
        "max_tokens": TOKENS,
        "stream": True,
        "request_id": "a1",
    }
    attempt = engine_stream.EngineStream(
        client=client,
        clock=clock,
        validator=stream_validation.StreamValidator("a1", next_seq=0),
        on_head=lambda head: "",
        is_abandoned=lambda: False,
    )
    yield attempt.run(
        messages.Request(
            method="POST",
            url=f"{http.url}/v1/chat/completions",
            body=msgspec.json.encode(body),
        )
    )
    client.close()
    http.stop()


def collect(attempt, *, after_token=lambda: None):
    tokens = []
    while True:
        try:
            tokens.append(next(attempt).text)
        except StopIteration as stop:
            return tokens, stop.value
        after_token()


def test_time_in_a_slow_caller_is_not_counted_as_engine_time(monkeypatch):
    clock = SelfAdvancingClock()
    with running_attempt(monkeypatch, clock=clock) as attempt:
        tokens, attempt_result = collect(
            attempt, after_token=lambda: clock.advance(delta_ms=CALLER_PAUSE_MS)
        )
    assert len(tokens) == TOKENS
    assert attempt_result.usage is not None
    assert attempt_result.waited_ms < TOKENS * CALLER_PAUSE_MS


@pytest.mark.parametrize(
    ("faults", "first_token_timeout_ms", "token_count"),
    [
        (faults_lib.Faults(delay_ms=2_000), 100, 0),
        (faults_lib.Faults(slow_factor=500.0), 10**9, 1),
    ],
)
def test_stalled_stream_is_reported_as_a_fault_of_the_engine(
    monkeypatch, faults, first_token_timeout_ms, token_count
):
    clock = clocks.Clock()
    with running_attempt(
        monkeypatch,
        clock=clock,
        faults=faults,
        first_token_timeout_ms=first_token_timeout_ms,
    ) as attempt:
        tokens, attempt_result = collect(attempt)
    assert len(tokens) == token_count
    assert (
        attempt_result.outcome,
        attempt_result.may_have_run,
        attempt_result.is_locally_cancelled,
    ) == (
        "stalled",
        True,
        False,
    )


def engine_event(seq: int, *, text: str) -> bytes:
    token = stream_validation.Message(content=text)
    return sse.encode(
        msgspec.json.encode(
            stream_validation.EngineEvent(
                id="a1",
                seq=seq,
                choices=(stream_validation.Choice(delta=token),),
            )
        )
    )


@pytest.mark.parametrize(("cut_bytes", "token_count"), [(0, 2), (1, 1), (5, 1)])
@pytest.mark.parametrize(
    ("framing", "end"),
    [(b"", b""), (b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n")],
)
def test_stream_cut_with_a_regular_end_is_not_complete(
    cut_bytes, token_count, framing, end
):
    events = engine_event(0, text="a") + engine_event(1, text="b")
    body = events[: len(events) - cut_bytes]
    if end:
        body = b"%x\r\n%s\r\n" % (len(body), body)
    data = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n" + body + end
    with raw_server.listening(raw_server.respond_then_close(data)) as (url, _):
        attempt = engine_stream.EngineStream(
            client=client_lib.HttpClient(),
            clock=clocks.Clock(),
            validator=stream_validation.StreamValidator("a1", next_seq=0),
            on_head=lambda head: "",
            is_abandoned=lambda: False,
        )
        request = messages.Request(method="POST", url=url, body=b"{}")
        tokens, attempt_result = collect(attempt.run(request))
    assert len(tokens) == token_count
    assert attempt_result.outcome == "truncated response"
    assert not attempt_result.has_all_tokens


@pytest.mark.parametrize(
    "event",
    [
        b'{"id":"a1","seq":1,"x":' + b"[" * 60_000 + b"]" * 60_000 + b"}",
        b'{"id":"a1","seq":' + b"9" * 5_000 + b"}",
        b'{"id":"\xff","seq":1}',
        b"HTTP/1.1 500 Internal Server Error",
    ],
    ids=["nested_too_deeply", "too_large_number", "no_utf8", "no_json"],
)
def test_event_that_cannot_be_decoded_ends_the_attempt(event):
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    data = b"".join((head, engine_event(0, text="a"), sse.encode(event)))
    with raw_server.listening(raw_server.respond_then_close(data)) as (url, _):
        attempt = engine_stream.EngineStream(
            client=client_lib.HttpClient(),
            clock=clocks.Clock(),
            validator=stream_validation.StreamValidator("a1", next_seq=0),
            on_head=lambda head: "",
            is_abandoned=lambda: False,
        )
        request = messages.Request(method="POST", url=url, body=b"{}")
        tokens, attempt_result = collect(attempt.run(request))
    assert len(tokens) == 1
    assert attempt_result.outcome.startswith("malformed event")
    assert not attempt_result.has_all_tokens
