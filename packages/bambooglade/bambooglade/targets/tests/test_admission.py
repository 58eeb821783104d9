"""Tests of slots, fair queueing and shedding."""

from __future__ import annotations

import collections

import pytest

from bambooglade.core import failures
from bambooglade.targets import admission

KIND = admission.KindKey(service="jury", request_kind="critique")
STATUS = admission.KindKey(service="till", request_kind="status")
FAR_DEADLINE_MS = 10**9


def make_ticket(name, team="t1", *, kind=KIND, slots=1, **options):
    options = {"deadline_ms": FAR_DEADLINE_MS, **options}
    return admission.Ticket(
        ticket_id=name, kind=kind, team_id=team, slots=slots, **options
    )


def admitted_ids(decisions):
    return [d.ticket_id for d in decisions if isinstance(d, admission.Admitted)]


def serve_queued(controller, now_ms=0):
    """Finishes running requests until the queue is empty.

    Returns the ids of the queued requests in the order of their admission.
    """
    order = []
    running = collections.deque(["first"])
    while running:
        done = running.popleft()
        order.append(done)
        running.extend(admitted_ids(controller.finish(done, now_ms)))
    return order[1:]


WEIGHT_CASES = {
    "equal": ({"big": 1.0, "small": 1.0}, {"big": 1, "small": 1}),
    "double": ({"big": 2.0, "small": 1.0}, {"big": 2, "small": 1}),
    "half": ({"big": 1.0, "small": 2.0}, {"big": 1, "small": 2}),
}


@pytest.mark.parametrize("name", WEIGHT_CASES)
def test_teams_share_slots_by_weight_not_by_demand(name):
    weight_by_team, expected = WEIGHT_CASES[name]
    controller = admission.AdmissionController()
    list(controller.submit(make_ticket("first"), 0))
    ticket_ids = [
        "big-0",
        "big-1",
        "small-0",
        "small-1",
    ]  # the larger team first
    for ticket_id in ticket_ids:
        team = ticket_id.partition("-")[0]
        weight = weight_by_team[team]
        list(
            controller.submit(
                make_ticket(ticket_id, team, team_weight=weight), 0
            )
        )
    first = serve_queued(controller)[: sum(expected.values())]
    counts = collections.Counter(name.partition("-")[0] for name in first)
    assert counts == expected


def test_higher_priority_is_served_first():
    controller = admission.AdmissionController()
    list(controller.submit(make_ticket("first"), 0))
    for name, priority in (("low", 0), ("high", 5), ("middle", 3)):
        list(controller.submit(make_ticket(name, priority=priority), 0))
    assert serve_queued(controller) == ["high", "middle", "low"]


def test_kinds_do_not_share_slots():
    controller = admission.AdmissionController()
    for number in range(3):
        list(controller.submit(make_ticket(f"plan-{number}"), 0))
    assert admitted_ids(
        controller.submit(make_ticket("s", kind=STATUS), 0)
    ) == ["s"]


def busy_controller(slots, service_ms):
    """Returns a controller with a known service time and no free slot."""
    controller = admission.AdmissionController()
    list(controller.submit(make_ticket("known", slots=slots), 0))
    list(controller.finish("known", service_ms))
    for number in range(slots):
        list(
            controller.submit(
                make_ticket(f"run-{number}", slots=slots), service_ms
            )
        )
    return controller


@pytest.mark.parametrize(
    ("left_ms", "is_shed"), [(40, True), (149, True), (151, False)]
)
def test_request_that_cannot_meet_its_deadline_is_shed_immediately(
    left_ms, is_shed
):
    controller = busy_controller(slots=1, service_ms=100)
    now_ms = 100
    (*decisions,) = controller.submit(
        make_ticket("x", deadline_ms=now_ms + left_ms), now_ms
    )
    assert bool(decisions) is is_shed
    if is_shed:
        failure = decisions[0].failure
        assert isinstance(failure, failures.DeadlineTooClose)
        assert failure.ran is failures.Ran.NO
        assert failure.retry_after_ms >= 100
        assert controller.waiting_count(KIND) == 0


def test_full_queue_sheds_with_a_retry_after():
    controller = busy_controller(slots=2, service_ms=1_000)
    for number in range(2 * admission.MAX_WAITING_PER_SLOT):
        assert not list(
            controller.submit(make_ticket(f"w-{number}", slots=2), 1_000)
        )
    (shed,) = controller.submit(make_ticket("x", slots=2), 1_000)
    assert isinstance(shed.failure, failures.Overloaded)
    assert shed.failure.retry_after_ms == 4_500


def test_queued_request_is_shed_when_its_deadline_passes():
    controller = admission.AdmissionController()
    list(controller.submit(make_ticket("run"), 0))
    list(controller.submit(make_ticket("wait", deadline_ms=500), 0))
    assert list(controller.tick(499)) == []
    (shed,) = controller.tick(500)
    assert shed.ticket_id == "wait"
    assert admitted_ids(controller.finish("run", 600)) == []


def test_cancel_and_finish_release_a_slot_only_once():
    controller = admission.AdmissionController()
    list(controller.submit(make_ticket("run"), 0))
    list(controller.submit(make_ticket("gone"), 0))
    list(controller.submit(make_ticket("next"), 0))
    assert admitted_ids(controller.cancel("gone", 1)) == []
    assert admitted_ids(controller.finish("run", 2)) == ["next"]
    assert admitted_ids(controller.finish("run", 3)) == []
    assert controller.running_count(KIND) == 1
