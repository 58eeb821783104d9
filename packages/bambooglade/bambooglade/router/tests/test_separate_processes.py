"""Tests of killed, frozen and stopped processes."""

from __future__ import annotations

from concurrent import futures
import signal

import pytest

from bambooglade.router import operator_messages
from bambooglade.router.tests import separate_processes
from bambooglade_standins import local_caller
from bambooglade_standins.engine import generation

PROMPT = "Review this portfolio."
COST = 5
_GONE = operator_messages.InstanceState.GONE


@pytest.fixture
def fleet(tmp_path):
    started = separate_processes.ProcessFleet(tmp_path)
    yield started
    started.end()


def _deduct_all(caller, urls, count):
    """Sends deductions, each with a key of its own."""
    keys = [separate_processes.new_key("zone-b") for _ in range(count)]
    answers = [
        caller.deduct(urls[number % len(urls)], key=key)
        for number, key in enumerate(keys)
    ]
    return dict(zip(keys, answers, strict=True))


def test_terminated_process_ends_its_streams_whole(fleet):
    caller = local_caller.LocalCaller(fleet.create_team("t1", tokens=10_000))
    pieces = caller.chat(fleet.instances[0].url, max_tokens=300)
    first = next(pieces)
    fleet.instances[0].send_signal(signal.SIGTERM)
    text = local_caller.text_of(iter([first, b"".join(pieces)]))
    assert text == generation.text(PROMPT, 300) + "[DONE]"
    assert fleet.instances[0].wait() == 0


def test_killed_processes_neither_overspend_nor_run_twice(fleet):
    prepaid = 40 * COST
    caller = local_caller.LocalCaller(fleet.create_team("t1", tokens=prepaid))
    urls = [instance.url for instance in fleet.instances]
    before = _deduct_all(caller, urls, 12)
    fleet.instances[0].send_signal(signal.SIGKILL)
    during = _deduct_all(caller, urls[1:], 40)
    retried = {key: caller.deduct(urls[-1], key=key) for key in before}
    runs = fleet.runs_at_till()
    assert {answer.status for answer in before.values()} == {200}
    assert [answer.body for answer in retried.values()] == [
        answer.body for answer in before.values()
    ]
    assert set(runs.values()) == {1}
    assert len(runs) * COST <= prepaid
    _assert_told_the_truth(during, runs)


def test_frozen_process_neither_overspends_nor_runs_twice(fleet):
    prepaid = 30 * COST
    caller = local_caller.LocalCaller(fleet.create_team("t1", tokens=prepaid))
    urls = [instance.url for instance in fleet.instances]
    _deduct_all(caller, urls, 8)
    fleet.instances[0].send_signal(signal.SIGSTOP)
    keys = [separate_processes.new_key("zone-a") for _ in range(4)]
    with futures.ThreadPoolExecutor(len(keys)) as pool:
        stuck = [pool.submit(caller.deduct, urls[0], key=key) for key in keys]
        fleet.wait_until(
            lambda: _GONE in fleet.states_seen_by(fleet.instances[1])
        )
        _deduct_all(caller, urls[1:], 10)
        again = [caller.deduct(urls[1], key=key) for key in keys]
        fleet.instances[0].send_signal(signal.SIGCONT)
        late = [future.result() for future in stuck]
    _deduct_all(caller, urls, 30)
    runs = fleet.runs_at_till()
    assert set(runs.values()) == {1}
    assert len(runs) * COST <= prepaid
    _assert_told_the_truth(dict(zip(keys, again, strict=True)), runs)
    assert all(answer.status for answer in late)


def _assert_told_the_truth(answers, runs):
    """Checks that what was finished ran, and what was "not run" did not."""
    for key, answer in answers.items():
        if answer.status == 200:
            assert runs.get(key) == 1
        elif answer.problem["ran"] == "no":
            assert key not in runs
