"""Tests of the call budget and the queue, on virtual time."""

from __future__ import annotations

import random

import pytest

from bambooglade.core import effects
from bambooglade.store import call_budget
from bambooglade.store import call_queue


def _queue(*, reads_per_s=100.0, writes_per_s=100.0):
    budget = call_budget.CallBudget(
        random_source=random.Random(5),
        now_ms=0,
        limit=call_budget.CallRate(
            reads_per_s=reads_per_s, writes_per_s=writes_per_s
        ),
    )
    return call_queue.CallQueue(budget)


def _read(key):
    return effects.ReadDocument(key=key)


def _write(key, expected):
    return effects.WriteDocument(key=key, expected_revision=expected, value=b"")


def _put(queue, *requests, now_ms=0):
    return [
        answer for request in requests for answer in queue.put(request, now_ms)
    ]


def test_waiting_reads_of_a_key_are_one_call():
    queue = _queue()
    _put(queue, _read("a"), _read("b"), _read("a"))
    assert list(queue.pop_due(0)) == [_read("a"), _read("b")]


def test_a_read_after_one_was_sent_is_a_call_of_its_own():
    queue = _queue()
    _put(queue, _read("a"))
    list(queue.pop_due(0))
    _put(queue, _read("a"))
    assert list(queue.pop_due(0)) == [_read("a")]


def test_writes_of_a_key_go_one_after_the_other():
    queue = _queue()
    _put(queue, _write("a", 1), _write("a", 1), _write("a", 9))
    assert list(queue.pop_due(0)) == [_write("a", 1)]
    assert list(queue.pop_due(0)) == []
    applied = effects.WriteApplied(key="a", revision=9)
    conflicted = effects.WriteConflicted(key="a")
    assert list(queue.complete(applied, 1)) == [applied, conflicted]
    assert list(queue.pop_due(1)) == [_write("a", 9)]


def test_after_an_uncertain_write_the_next_is_asked_of_the_service():
    queue = _queue()
    _put(queue, _write("a", 1), _write("a", 1))
    list(queue.pop_due(0))
    uncertain = effects.WriteUncertain(key="a")
    assert list(queue.complete(uncertain, 0)) == [uncertain]
    assert list(queue.pop_due(call_budget.MAX_BACKOFF_MS)) == [_write("a", 1)]


@pytest.mark.parametrize(
    ("request_", "answer"),
    [
        (_read("z"), effects.ReadFailed(key="z")),
        (_write("z", 0), effects.WriteUncertain(key="z")),
    ],
)
def test_what_waits_too_long_or_finds_no_room_is_answered(request_, answer):
    queue = _queue(reads_per_s=1, writes_per_s=1)
    _put(queue, request_)
    assert list(queue.pop_expired(call_queue.QUEUE_TIMEOUT_MS - 1)) == []
    assert list(queue.pop_expired(call_queue.QUEUE_TIMEOUT_MS)) == [answer]
    fillers = map(_read, map(str, range(call_queue.MAX_QUEUED)))
    assert _put(queue, *fillers) == []
    assert _put(queue, request_) == [answer]


def test_the_rate_is_kept_with_bursts_of_at_most_a_second():
    queue = _queue(reads_per_s=10)
    sent = 0
    for now_ms in range(0, 10_000, 50):
        _put(queue, *map(_read, map(str, range(50))), now_ms=now_ms)
        sent += len(list(queue.pop_due(now_ms)))
    assert 100 <= sent <= 110


def test_failures_pause_all_calls_and_one_answer_ends_the_pause():
    queue = _queue()
    sent_at_ms = []
    for now_ms in range(0, 60_000, 50):
        _put(queue, _read("a"), _read("b"), now_ms=now_ms)
        for request in list(queue.pop_due(now_ms)):
            sent_at_ms.append(now_ms)
            failed = effects.ReadFailed(key=request.key)
            list(queue.complete(failed, now_ms))
    assert len(sent_at_ms) <= 60_000 // (call_budget.MAX_BACKOFF_MS // 2)
    _put(queue, _read("a"), _read("b"), now_ms=65_000)
    (probe,) = list(queue.pop_due(65_000))
    read = effects.DocumentRead(key=probe.key, revision=1, value=b"")
    list(queue.complete(read, 65_001))
    assert len(list(queue.pop_due(65_001))) == 1


def test_the_share_shrinks_as_the_fleet_grows():
    nine, many = (
        call_budget.rate_per_instance(9),
        call_budget.rate_per_instance(360),
    )
    assert nine.reads_per_s * 9 == pytest.approx(many.reads_per_s * 360)
    assert many.writes_per_s * 360 <= call_budget.WRITES_PER_S
