"""Tests of slots, fair queueing and shedding."""

from __future__ import annotations

import collections

import pytest

from bambooglade.core import failures
from bambooglade.targets import admission

KIND = admission.KindKey(service="jury", request_kind="critique")
STATUS = admission.KindKey(service="till", request_kind="status")
LATE_MS = 10**9


def ticket(name, team="t1", *, kind=KIND, slots=1, **options):
    options = {"deadline_ms": LATE_MS, **options}
    return admission.Ticket(
        ticket_id=name, kind=kind, team_id=team, slots=slots, **options
    )


def admitted(decisions):
    return [d.ticket_id for d in decisions if isinstance(d, admission.Admitted)]


def serve_all(gate, now_ms=0):
    """Finishes what runs until nothing waits; returns the order."""
    order = []
    running = collections.deque(["first"])
    while running:
        done = running.popleft()
        order.append(done)
        running.extend(admitted(gate.finish(done, now_ms)))
    return order[1:]


TEAMS = {
    "equal": ({"big": 1.0, "small": 1.0}, {"big": 1, "small": 1}),
    "double": ({"big": 2.0, "small": 1.0}, {"big": 2, "small": 1}),
    "half": ({"big": 1.0, "small": 2.0}, {"big": 1, "small": 2}),
}


@pytest.mark.parametrize("name", TEAMS)
def test_teams_share_by_weight_whatever_they_ask_for(name):
    weight_by_team, expected = TEAMS[name]
    gate = admission.AdmissionController()
    list(gate.submit(ticket("first"), 0))
    asked = ["big-0", "big-1", "small-0", "small-1"]  # the big team first
    for ticket_id in asked:
        team = ticket_id.partition("-")[0]
        weight = weight_by_team[team]
        list(gate.submit(ticket(ticket_id, team, team_weight=weight), 0))
    first = serve_all(gate)[: sum(expected.values())]
    counts = collections.Counter(name.partition("-")[0] for name in first)
    assert counts == expected


def test_higher_priority_goes_first():
    gate = admission.AdmissionController()
    list(gate.submit(ticket("first"), 0))
    for name, priority in (("low", 0), ("high", 5), ("middle", 3)):
        list(gate.submit(ticket(name, priority=priority), 0))
    assert serve_all(gate) == ["high", "middle", "low"]


def test_kinds_do_not_wait_for_each_other():
    gate = admission.AdmissionController()
    for number in range(3):
        list(gate.submit(ticket(f"plan-{number}"), 0))
    assert admitted(gate.submit(ticket("s", kind=STATUS), 0)) == ["s"]


def full_gate(slots, service_ms):
    """Returns a gate with a known service time and a running request."""
    gate = admission.AdmissionController()
    list(gate.submit(ticket("known", slots=slots), 0))
    list(gate.finish("known", service_ms))
    for number in range(slots):
        list(gate.submit(ticket(f"run-{number}", slots=slots), service_ms))
    return gate


@pytest.mark.parametrize(
    ("left_ms", "is_shed"), [(40, True), (149, True), (151, False)]
)
def test_sheds_at_once_what_cannot_make_its_deadline(left_ms, is_shed):
    gate = full_gate(slots=1, service_ms=100)
    now_ms = 100
    (*decisions,) = gate.submit(
        ticket("x", deadline_ms=now_ms + left_ms), now_ms
    )
    assert bool(decisions) is is_shed
    if is_shed:
        failure = decisions[0].failure
        assert isinstance(failure, failures.DeadlineTooClose)
        assert failure.ran is failures.Ran.NO
        assert failure.retry_after_ms >= 100
        assert gate.waiting_count(KIND) == 0


def test_full_queue_refuses_with_the_time_to_come_back():
    gate = full_gate(slots=2, service_ms=1_000)
    for number in range(2 * admission.MAX_WAITING_PER_SLOT):
        assert not list(gate.submit(ticket(f"w-{number}", slots=2), 1_000))
    (shed,) = gate.submit(ticket("x", slots=2), 1_000)
    assert isinstance(shed.failure, failures.Overloaded)
    assert shed.failure.retry_after_ms == 4_500


def test_waiting_request_is_shed_when_its_deadline_passes():
    gate = admission.AdmissionController()
    list(gate.submit(ticket("run"), 0))
    list(gate.submit(ticket("wait", deadline_ms=500), 0))
    assert list(gate.tick(499)) == []
    (shed,) = gate.tick(500)
    assert shed.ticket_id == "wait"
    assert admitted(gate.finish("run", 600)) == []


def test_give_up_frees_the_place_once():
    gate = admission.AdmissionController()
    list(gate.submit(ticket("run"), 0))
    list(gate.submit(ticket("gone"), 0))
    list(gate.submit(ticket("next"), 0))
    assert admitted(gate.cancel("gone", 1)) == []
    assert admitted(gate.finish("run", 2)) == ["next"]
    assert admitted(gate.finish("run", 3)) == []
    assert gate.running_count(KIND) == 1
