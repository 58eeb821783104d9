"""Tests of waiting for slots on threads."""

from __future__ import annotations

from concurrent import futures
import threading

from bambooglade.core import clock as clocks
from bambooglade.core import failures
from bambooglade.router import admission_gate
from bambooglade.targets import admission

KIND = admission.KindKey(service="jury", request_kind="critique")
TIMEOUT_S = 10


def ticket(name, *, deadline_ms=10**15, slots=1):
    return admission.Ticket(
        ticket_id=name,
        kind=KIND,
        team_id="t1",
        deadline_ms=deadline_ms,
        slots=slots,
    )


def never():
    return False


def test_slots_are_never_overrun_and_all_get_one():
    gate = admission_gate.AdmissionGate(clocks.Clock())
    lock = threading.Lock()
    running = []
    most = []

    def work(number):
        one = ticket(f"w{number}", slots=3)
        assert gate.enter(one, gone=never).is_ok()
        with lock:
            running.append(number)
            most.append(len(running))
        with lock:
            running.remove(number)
        gate.leave(one)
        return number

    with futures.ThreadPoolExecutor(12) as pool:
        done = list(pool.map(work, range(60)))
    assert done == list(range(60))
    assert max(most) <= 3


def test_caller_that_goes_away_frees_its_place():
    gate = admission_gate.AdmissionGate(clocks.Clock())
    first = ticket("first")
    gate.enter(first, gone=never).unwrap()
    refused = gate.enter(ticket("gone"), gone=lambda: True).unwrap_err()
    assert refused.ran is failures.Ran.NO
    gate.leave(first)
    assert gate.enter(ticket("next"), gone=never).is_ok()


def test_waiting_ends_at_the_deadline():
    clock = clocks.Clock()
    gate = admission_gate.AdmissionGate(clock)
    gate.enter(ticket("first"), gone=never).unwrap()
    late = ticket("late", deadline_ms=clock.now_ms() + 50)
    failure = gate.enter(late, gone=never).unwrap_err()
    assert isinstance(failure, failures.DeadlineTooClose)
    assert failure.retry_after_ms
