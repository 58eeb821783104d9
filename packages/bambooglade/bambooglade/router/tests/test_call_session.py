"""Tests of the course of a call when the decisions answer late or never."""

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


class SilentPort:
    """Answers nothing until it is told to; never bills."""

    def __init__(self, clock, *, refuses_when_cancelled=False) -> None:
        self.clock = clock
        self.refuses_when_cancelled = refuses_when_cancelled
        self.begun = futures.Future()
        self.run_ends = []
        self.cancelled = []

    def begin(self, call):
        return self.begun

    def cancel(self, call) -> None:
        self.cancelled.append(call.call_id)
        if self.refuses_when_cancelled:
            failure = failures.Unavailable(detail="The caller went away.")
            self.begun.set_result(calls.Refuse(key=call.key, failure=failure))

    def finish(self, key, run_end):
        self.run_ends.append(run_end)
        return futures.Future()


def session_of(port, clock, *, gone, admit_by_ms=None, call_id="c1"):
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
    desk = call_session.Desk(
        port=port,
        gate=admission_gate.AdmissionGate(clock),
        clock=clock,
        ring=trace.TraceRing(capacity=4),
        metrics=metrics.Metrics(),
        instance_id="i1",
        availability_zone="z1",
    )
    return call_session.CallSession(desk, call=call, match=match, gone=gone)


class MovingClock(clocks.ManualClock):
    """A clock that moves with each look."""

    def now_ms(self) -> int:
        self.advance(delta_ms=500)
        return super().now_ms()


def test_caller_that_goes_away_cancels_its_call():
    clock = clocks.ManualClock(now_ms=NOW_MS)
    port = SilentPort(clock, refuses_when_cancelled=True)
    session = session_of(port, clock, gone=lambda: True)
    assert session.begin().unwrap_err().ran is failures.Ran.NO
    assert port.cancelled == ["c1"]


@pytest.mark.parametrize("late", ["permit", "refuse"])
def test_silent_decisions_are_unknown_and_a_late_permit_runs_nothing(late):
    clock = MovingClock(now_ms=NOW_MS)
    port = SilentPort(clock)
    session = session_of(
        port, clock, gone=lambda: False, admit_by_ms=NOW_MS + 5_000
    )
    failure = session.begin().unwrap_err()
    assert failure.ran is failures.Ran.UNKNOWN
    assert clock.now_ms() < NOW_MS + 60_000  # not the deadline of the run
    if late == "permit":
        port.begun.set_result(calls.Permit(key="k1"))
        (run_end,) = port.run_ends
        assert run_end.result is calls.RunResult.NOT_RUN
    else:
        port.begun.set_result(calls.Refuse(key="k1", failure=failure))
        assert port.run_ends == []


def test_call_that_gets_no_slot_is_refused_at_once_and_credited_back():
    clock = clocks.ManualClock(now_ms=NOW_MS)
    port = SilentPort(clock)
    port.begun.set_result(calls.Permit(key="k1"))
    session = session_of(port, clock, gone=lambda: True)
    first = session_of(port, clock, gone=lambda: False, call_id="c0")
    first._desk = session._desk
    first.begin().unwrap()
    assert session.begin().unwrap_err().ran is failures.Ran.NO
    (run_end,) = port.run_ends
    assert run_end.result is calls.RunResult.NOT_RUN
