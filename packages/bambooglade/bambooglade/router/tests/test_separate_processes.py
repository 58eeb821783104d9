"""Tests of processes that are killed, paused or stopped."""

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
    """Sends deductions with distinct keys; returns the responses by key."""
    keys = [separate_processes.new_key("zone-b") for _ in range(count)]
    responses = [
        caller.deduct(urls[number % len(urls)], key=key)
        for number, key in enumerate(keys)
    ]
    return dict(zip(keys, responses, strict=True))


def test_terminated_process_completes_its_streams(fleet):
    caller = local_caller.LocalCaller(fleet.create_team("t1", tokens=10_000))
    pieces = caller.chat(fleet.instances[0].url, max_tokens=300)
    first = next(pieces)
    fleet.instances[0].send_signal(signal.SIGTERM)
    text = local_caller.text_of(iter([first, b"".join(pieces)]))
    assert text == generation.text(PROMPT, 300) + "[DONE]"
    assert fleet.instances[0].wait() == 0


def test_killed_process_causes_no_overspend_and_no_second_run(fleet):
    prepaid = 40 * COST
    caller = local_caller.LocalCaller(fleet.create_team("t1", tokens=prepaid))
    urls = [instance.url for instance in fleet.instances]
    before = _deduct_all(caller, urls, 12)
    fleet.instances[0].send_signal(signal.SIGKILL)
    during = _deduct_all(caller, urls[1:], 40)
    retried = {key: caller.deduct(urls[-1], key=key) for key in before}
    runs = fleet.runs_at_till()
    assert {response.status for response in before.values()} == {200}
    assert [response.body for response in retried.values()] == [
        response.body for response in before.values()
    ]
    assert set(runs.values()) == {1}
    assert len(runs) * COST <= prepaid
    _assert_reports_match_runs(during, runs)


def test_paused_process_causes_no_overspend_and_no_second_run(fleet):
    prepaid = 30 * COST
    caller = local_caller.LocalCaller(fleet.create_team("t1", tokens=prepaid))
    urls = [instance.url for instance in fleet.instances]
    _deduct_all(caller, urls, 8)
    fleet.instances[0].send_signal(signal.SIGSTOP)
    keys = [separate_processes.new_key("zone-a") for _ in range(4)]
    with futures.ThreadPoolExecutor(len(keys)) as pool:
        pending = [pool.submit(caller.deduct, urls[0], key=key) for key in keys]
        fleet.wait_until(
            lambda: _GONE in fleet.instance_states(fleet.instances[1])
        )
        _deduct_all(caller, urls[1:], 10)
        repeated = [caller.deduct(urls[1], key=key) for key in keys]
        fleet.instances[0].send_signal(signal.SIGCONT)
        late = [future.result() for future in pending]
    _deduct_all(caller, urls, 30)
    runs = fleet.runs_at_till()
    assert set(runs.values()) == {1}
    assert len(runs) * COST <= prepaid
    _assert_reports_match_runs(dict(zip(keys, repeated, strict=True)), runs)
    assert all(response.status for response in late)


def _assert_reports_match_runs(responses, runs):
    """Checks that runs match the reported outcomes of the requests."""
    for key, response in responses.items():
        if response.status == 200:
            assert runs.get(key) == 1
        elif response.problem["ran"] == "no":
            assert key not in runs
