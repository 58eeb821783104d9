"""Tests of threads that wait for slots."""

from __future__ import annotations

from concurrent import futures
import threading

from bambooglade.core import clock as clocks
from bambooglade.core import failures
from bambooglade.router import admission_gate
from bambooglade.targets import admission

KIND = admission.KindKey(service="jury", request_kind="critique")
TIMEOUT_S = 10


def new_ticket(name, *, deadline_ms=10**15, slots=1):
    return admission.Ticket(
        ticket_id=name,
        kind=KIND,
        team_id="t1",
        deadline_ms=deadline_ms,
        slots=slots,
    )


def never_gone():
    return False


def test_concurrency_limit_holds_and_every_request_is_admitted():
    gate = admission_gate.AdmissionGate(clocks.Clock())
    lock = threading.Lock()
    running = []
    running_counts = []

    def work(number):
        worker_ticket = new_ticket(f"w{number}", slots=3)
        assert gate.acquire(worker_ticket, is_caller_gone=never_gone).is_ok()
        with lock:
            running.append(number)
            running_counts.append(len(running))
        with lock:
            running.remove(number)
        gate.release(worker_ticket)
        return number

    with futures.ThreadPoolExecutor(12) as pool:
        done = list(pool.map(work, range(60)))
    assert done == list(range(60))
    assert max(running_counts) <= 3


def test_request_of_a_disconnected_caller_leaves_the_queue():
    gate = admission_gate.AdmissionGate(clocks.Clock())
    first = new_ticket("first")
    gate.acquire(first, is_caller_gone=never_gone).unwrap()
    refused = gate.acquire(
        new_ticket("gone"), is_caller_gone=lambda: True
    ).unwrap_err()
    assert refused.ran is failures.Ran.NO
    gate.release(first)
    assert gate.acquire(new_ticket("next"), is_caller_gone=never_gone).is_ok()


def test_waiting_request_is_rejected_at_its_deadline():
    clock = clocks.Clock()
    gate = admission_gate.AdmissionGate(clock)
    gate.acquire(new_ticket("first"), is_caller_gone=never_gone).unwrap()
    late = new_ticket("late", deadline_ms=clock.now_ms() + 50)
    failure = gate.acquire(late, is_caller_gone=never_gone).unwrap_err()
    assert isinstance(failure, failures.DeadlineTooClose)
    assert failure.retry_after_ms
