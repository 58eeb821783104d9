"""Tests of one attempt at an engine: stalls, and callers that read slowly."""

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
from bambooglade_standins import faults as faults_lib
from bambooglade_standins.engine import app as engine_app
from bambooglade_standins.engine import server as engine_server

TOKENS = 6
PAUSE_MS = 400
NEXT_MS = 100


class PausedClock(clocks.ManualClock):
    """A clock that also moves a little with each look."""

    def now_ms(self) -> int:
        self.advance(delta_ms=1)
        return super().now_ms()


@contextlib.contextmanager
def stream(monkeypatch, *, clock, faults=None, first_ms=10**9):
    monkeypatch.setattr(engine_stream, "NEXT_TOKEN_TIMEOUT_MS", NEXT_MS)
    monkeypatch.setattr(engine_stream, "FIRST_TOKEN_TIMEOUT_MS", first_ms)
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
        check=stream_validation.StreamValidator("a1", next_seq=0),
        on_head=lambda head: None,
        given_up=lambda: False,
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


def test_pause_of_a_slow_caller_is_not_the_engines(monkeypatch):
    clock = PausedClock()
    with stream(monkeypatch, clock=clock) as attempt:
        tokens, end = collect(
            attempt, after_token=lambda: clock.advance(delta_ms=PAUSE_MS)
        )
    assert len(tokens) == TOKENS
    assert end.usage is not None
    assert end.waited_ms < TOKENS * PAUSE_MS


@pytest.mark.parametrize(
    ("faults", "first_ms", "count"),
    [
        (faults_lib.Faults(delay_ms=2_000), 100, 0),
        (faults_lib.Faults(slow_factor=500.0), 10**9, 1),
    ],
)
def test_stalled_stream_is_given_up_as_the_engines_fault(
    monkeypatch, faults, first_ms, count
):
    clock = clocks.Clock()
    with stream(
        monkeypatch, clock=clock, faults=faults, first_ms=first_ms
    ) as attempt:
        tokens, end = collect(attempt)
    assert len(tokens) == count
    assert (end.outcome, end.sent, end.is_own_doing) == ("stalled", True, False)
