"""Tests of calls to which the coordinator responds late or never."""

from __future__ import annotations

from concurrent import futures

import pytest

from bambooglade.core import clock as clocks
from bambooglade.core import failures
from bambooglade.operations import calls
from bambooglade.router import admission_gate
from bambooglade.router import call_session
from bambooglade.router import metrics
from bambooglade.router import trace
from bambooglade.table import matching
from bambooglade.table import rows

NOW_MS = 1_000_000


class UnresponsiveCoordinator:
    """Coordinator that responds only when a test completes the future.

    It never sends a bill.
    """

    def __init__(self, clock, *, refuses_when_cancelled=False) -> None:
        self.clock = clock
        self.refuses_when_cancelled = refuses_when_cancelled
        self.begin_future = futures.Future()
        self.run_ends = []
        self.cancelled_call_ids = []

    def begin(self, call):
        return self.begin_future

    def cancel(self, call) -> None:
        self.cancelled_call_ids.append(call.call_id)
        if self.refuses_when_cancelled:
            failure = failures.Unavailable(detail="The caller disconnected.")
            self.begin_future.set_result(
                calls.Refuse(key=call.key, failure=failure)
            )

    def finish(self, key, run_end):
        self.run_ends.append(run_end)
        return futures.Future()


def new_session(port, clock, *, is_caller_gone, admit_by_ms=None, call_id="c1"):
    match = matching.Match(
        team=rows.TeamRow(team_id="t1", key_hash="x"),
        service=rows.ServiceRow(service="s", form=rows.ServiceForm.PLAIN),
        kind=rows.KindRow(service="s", request_kind="k", max_concurrency=1),
        limits=(),
        budget_ids=(),
    )
    call = calls.Call(
        key="k1",
        fingerprint="t1:x",
        team_id="t1",
        service="s",
        request_kind="k",
        repeatable=False,
        draws=(),
        deadline_ms=NOW_MS + 300_000,
        admit_by_ms=admit_by_ms,
        call_id=call_id,
    )
    context = call_session.SessionContext(
        port=port,
        gate=admission_gate.AdmissionGate(clock),
        clock=clock,
        ring=trace.TraceRing(capacity=4),
        metrics=metrics.Metrics(),
        instance_id="i1",
        availability_zone="z1",
    )
    return call_session.CallSession(
        context, call=call, match=match, is_caller_gone=is_caller_gone
    )


class SelfAdvancingClock(clocks.ManualClock):
    """A clock that advances with each reading."""

    def now_ms(self) -> int:
        self.advance(delta_ms=500)
        return super().now_ms()


def test_disconnected_caller_cancels_its_call():
    clock = clocks.ManualClock(now_ms=NOW_MS)
    port = UnresponsiveCoordinator(clock, refuses_when_cancelled=True)
    session = new_session(port, clock, is_caller_gone=lambda: True)
    assert session.begin().unwrap_err().ran is failures.Ran.NO
    assert port.cancelled_call_ids == ["c1"]


@pytest.mark.parametrize("late_decision", ["permit", "refuse"])
def test_missing_decision_is_unknown_and_a_late_permit_is_not_run(
    late_decision,
):
    clock = SelfAdvancingClock(now_ms=NOW_MS)
    port = UnresponsiveCoordinator(clock)
    session = new_session(
        port, clock, is_caller_gone=lambda: False, admit_by_ms=NOW_MS + 5_000
    )
    failure = session.begin().unwrap_err()
    assert failure.ran is failures.Ran.UNKNOWN
    assert clock.now_ms() < NOW_MS + 60_000  # Well before the run deadline.
    if late_decision == "permit":
        port.begin_future.set_result(calls.Permit(key="k1"))
        (run_end,) = port.run_ends
        assert run_end.result is calls.RunResult.NOT_RUN
    else:
        port.begin_future.set_result(calls.Refuse(key="k1", failure=failure))
        assert port.run_ends == []


def test_permitted_call_without_a_slot_is_refused_and_not_run():
    clock = clocks.ManualClock(now_ms=NOW_MS)
    port = UnresponsiveCoordinator(clock)
    port.begin_future.set_result(calls.Permit(key="k1"))
    session = new_session(port, clock, is_caller_gone=lambda: True)
    first = new_session(port, clock, is_caller_gone=lambda: False, call_id="c0")
    first._context = session._context
    first.begin().unwrap()
    assert session.begin().unwrap_err().ran is failures.Ran.NO
    (run_end,) = port.run_ends
    assert run_end.result is calls.RunResult.NOT_RUN
