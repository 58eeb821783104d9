"""Tests of chats over real HTTP, with engines that fail in each way."""

from __future__ import annotations

import msgspec
import pytest

from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.router import caller_chat
from bambooglade.router.tests import caller_bench
from bambooglade.transport import messages
from bambooglade.transport import problems
from bambooglade.transport import sse
from bambooglade_standins import faults as faults_lib
from bambooglade_standins.engine import app as engine_app
from bambooglade_standins.engine import generation
from bambooglade_standins.engine import server as engine_server

PROMPT = "A review of the bronze."
TOKENS = 12
WHOLE = generation.text(PROMPT, TOKENS)
COST = generation.prompt_tokens(PROMPT) + TOKENS


def chat(*, stream=True, max_tokens=TOKENS, prompt=PROMPT) -> bytes:
    return msgspec.json.encode(
        {
            "model": caller_bench.MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
    )


def start(target_id="e1", *, faults=None, **options):
    return engine_server.start(
        engine_app.EngineOptions(
            target_id=target_id, model=caller_bench.MODEL, **options
        ),
        faults=faults,
    )


def start_pair(faults):
    """Starts two engines; the one that is tried first has the faults."""
    return {"e1": start("e1", faults=faults)[0], "e2": start("e2")[0]}


def text_of(body: bytes) -> str:
    """Returns the text of a stream; it has to end as a whole one does."""
    events = list(sse.parse([body]))
    assert events[-1] == sse.DONE
    bodies = [
        msgspec.json.decode(event, type=caller_chat.ChatBody)
        for event in events[:-1]
    ]
    assert bodies[-1].usage.total_tokens == COST
    return "".join(
        choice.delta.content for body in bodies for choice in body.choices
    )


BREAKS = {
    "none": faults_lib.Faults(),
    "dies_before": faults_lib.Faults(die_before_answer=True, remaining=1),
    "dies_unanswered": faults_lib.Faults(die_after_run=True, remaining=1),
    "dies_at_first": faults_lib.Faults(die_at_token=0, remaining=1),
    "dies_during": faults_lib.Faults(die_at_token=5, remaining=1),
    "dies_at_last": faults_lib.Faults(die_at_token=TOKENS - 1, remaining=1),
    "crossed": faults_lib.Faults(crossed=True, remaining=1),
    "doubled": faults_lib.Faults(doubled=True, remaining=1),
    "gap": faults_lib.Faults(skip_token=4, remaining=1),
    "cut": faults_lib.Faults(truncated=True, remaining=1),
    "refused": faults_lib.Faults(refuse_status=503, remaining=1),
}


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("name", BREAKS)
def test_caller_sees_one_whole_answer(name, stream):
    engines = start_pair(BREAKS[name])
    with caller_bench.running(engines, caller_bench.MODEL) as bench:
        response = bench.send(
            "POST",
            "/v1/chat/completions",
            body=chat(stream=stream),
            Idempotency_Key="k1",
        )
        run_end = bench.port.wait_for_end("k1")
    assert response.head.status == 200
    if stream:
        assert text_of(response.body) == WHOLE
    else:
        body = msgspec.json.decode(response.body, type=caller_chat.ChatBody)
        assert body.choices[0].message.content == WHOLE
        assert body.usage.total_tokens == COST
    assert run_end.result is calls.RunResult.FINISHED
    assert run_end.spent_tokens == COST


@pytest.mark.parametrize("is_own_engine", [True, False])
def test_resumed_stream_continues_where_it_broke(is_own_engine):
    """The second attempt sends only the tokens that were missing."""
    if is_own_engine:
        engines = {"e1": start(faults=BREAKS["dies_during"])[0]}
    else:
        engines = start_pair(BREAKS["dies_during"])
    with caller_bench.running(engines, caller_bench.MODEL) as bench:
        response = bench.send(
            "POST", "/v1/chat/completions", body=chat(), Idempotency_Key="k1"
        )
        decisions = bench.ring.decisions(identifiers.RequestKey("k1"))
    tokens = [d.tokens for d in decisions if hasattr(d, "tokens")]
    assert text_of(response.body) == WHOLE
    assert tokens == [5, TOKENS - 5]


@pytest.mark.parametrize(
    ("faults", "ran"),
    [
        (faults_lib.Faults(die_after_run=True), "unknown"),
        (faults_lib.Faults(crossed=True), "unknown"),
    ],
)
def test_lost_answers_are_unknown_and_not_billed(faults, ran):
    server, _ = start(faults=faults)
    with caller_bench.running({"e1": server}, caller_bench.MODEL) as bench:
        response = bench.send(
            "POST", "/v1/chat/completions", body=chat(), Idempotency_Key="k1"
        )
        run_end = bench.port.wait_for_end("k1")
    problem = msgspec.json.decode(response.body, type=problems.Problem)
    assert problem.ran == ran
    assert problem.key == "k1"
    assert run_end.result is calls.RunResult.UNKNOWN
    assert run_end.spent_tokens == 0


def test_unreached_engine_did_not_run():
    server, app = start()
    server.stop()
    with caller_bench.running({"e1": server}, caller_bench.MODEL) as bench:
        response = bench.send(
            "POST", "/v1/chat/completions", body=chat(), Idempotency_Key="k1"
        )
        run_end = bench.port.wait_for_end("k1")
    problem = msgspec.json.decode(response.body, type=problems.Problem)
    assert (problem.kind, problem.ran) == ("no_target", "no")
    assert response.head.header("retry-after")
    assert run_end.result is calls.RunResult.NOT_RUN
    assert app.runs.by_key() == {}


def test_stream_that_cannot_be_finished_ends_with_its_refusal():
    server, _ = start(faults=faults_lib.Faults(die_at_token=3))
    with caller_bench.running({"e1": server}, caller_bench.MODEL) as bench:
        response = bench.send(
            "POST", "/v1/chat/completions", body=chat(), Idempotency_Key="k1"
        )
        run_end = bench.port.wait_for_end("k1")
    *_, last = sse.parse([response.body])
    error = msgspec.json.decode(last, type=caller_chat.StreamError).error
    assert error.kind == "outcome_unknown"
    assert run_end.spent_tokens == generation.prompt_tokens(PROMPT) + 3


def test_answer_that_was_never_delivered_is_not_billed():
    server, _ = start(faults=faults_lib.Faults(die_at_token=3))
    with caller_bench.running({"e1": server}, caller_bench.MODEL) as bench:
        response = bench.send(
            "POST",
            "/v1/chat/completions",
            body=chat(stream=False),
            Idempotency_Key="k1",
        )
        run_end = bench.port.wait_for_end("k1")
    assert (response.head.status, run_end.spent_tokens) == (504, 0)
    assert run_end.result is calls.RunResult.UNKNOWN


@pytest.mark.parametrize("stream", [True, False])
def test_caller_that_goes_away_cancels_and_pays_for_what_was_generated(stream):
    server, app = start(token_ms=20)
    body = chat(stream=stream, max_tokens=5_000)
    with caller_bench.running({"e1": server}, caller_bench.MODEL) as bench:
        request = bench.message(
            "POST", "/v1/chat/completions", body=body, Idempotency_Key="k1"
        )
        exchange = bench.client.stream(
            request, cancelled=lambda: app.batch.running
        )
        parts = list(exchange)
        run_end = bench.port.wait_for_end("k1")
    assert not any(b"[DONE]" in p for p in parts if isinstance(p, bytes))
    assert app.batch.running == 0
    assert app.cancelled_streams == 1
    assert run_end.spent_tokens < 5_000


def test_deadline_is_carried_on_and_ends_the_request_at_once():
    server, app = start(token_ms=50)
    body = chat(max_tokens=5_000)
    with caller_bench.running({"e1": server}, caller_bench.MODEL) as bench:
        response = bench.send(
            "POST",
            "/v1/chat/completions",
            body=body,
            Idempotency_Key="k1",
            X_Deadline_Ms="300",
        )
    *_, last = sse.parse([response.body])
    assert b"outcome_unknown" in last
    assert app.batch.running == 0


def test_leaving_engine_finishes_its_stream_and_gets_no_new_work():
    engines = start_pair(None)
    with caller_bench.running(engines, caller_bench.MODEL) as bench:
        told = bench.client.request(
            messages.Request(
                method="POST",
                url=f"{engines['e1'].url}/control/leave",
                body=b"",
            )
        )
        assert told.is_ok()
        for number in range(4):
            response = bench.send(
                "POST",
                "/v1/chat/completions",
                body=chat(),
                Idempotency_Key=f"k{number}",
            )
            assert text_of(response.body) == WHOLE
        targets = [
            bench.port.wait_for_end(f"k{number}").target_id
            for number in range(4)
        ]
    assert targets == ["e1", "e2", "e2", "e2"]


def test_kept_answer_is_replayed_in_the_form_asked_for():
    server, app = start()
    with caller_bench.running({"e1": server}, caller_bench.MODEL) as bench:
        for stream in (True, True, False):
            response = bench.send(
                "POST",
                "/v1/chat/completions",
                body=chat(stream=stream),
                Idempotency_Key="k1",
            )
            assert WHOLE.split()[-1].encode() in response.body
    assert app.runs.by_key() == {"k1": 1}


BAD_BODIES = {
    "no_json": b"{",
    "no_messages": b'{"model": "model-1", "messages": []}',
    "bad_type": b'{"model": 5}',
    "too_many_tokens": chat(max_tokens=10**9),
    "deep": b"[" * 100_000,
}


@pytest.mark.parametrize("name", BAD_BODIES)
def test_bad_bodies_are_refused(name):
    server, app = start()
    with caller_bench.running({"e1": server}, caller_bench.MODEL) as bench:
        response = bench.send(
            "POST", "/v1/chat/completions", body=BAD_BODIES[name]
        )
    problem = msgspec.json.decode(response.body, type=problems.Problem)
    assert (response.head.status, problem.ran) == (400, "no")
    assert app.runs.by_key() == {}
