"""Tests of the judge of the fleet soak, on records made by hand."""

from __future__ import annotations

import msgspec
import pytest

from bambooglade_standins.users_platform import fleet_judge
from bambooglade_standins.users_platform import fleet_records

Step = fleet_records.Step
End = fleet_records.End

BOUNDS = fleet_judge.Bounds(ratio=0.2, slack=2, window_ms=1_000)
EARLY = {"began_at_ms": 11_000, "ended_at_ms": 12_000}
BRIEFLY = {"began_at_ms": 14_500, "ended_at_ms": 15_000}


def route(*services, max_attempts=2, is_repeatable=True, timeout_ms=10_000):
    return fleet_records.RouteState(
        services=services,
        timeout_ms=timeout_ms,
        max_attempts=max_attempts,
        is_repeatable=is_repeatable,
    )


def change(at_ms=0, stream=None, plain=None):
    return fleet_records.Change(
        at_ms=at_ms,
        how="route",
        idle_timeout_ms=5_000,
        route_by_kind={
            "feedback": stream or route("jury"),
            "submit": plain
            or route("portal", max_attempts=1, is_repeatable=False),
        },
    )


def step(at_ms, what, attempt="a.1", engine="j0", service="jury"):
    return fleet_records.EngineRecord(
        at_ms=at_ms, step=what, engine=engine, service=service, attempt=attempt
    )


def runs(attempt, *engines, at_ms=0, service="jury"):
    """Returns the records of runs, each 100 ms after the one before."""
    return [
        step(at_ms + 100 * number, what, attempt, engine, service)
        for number, engine in enumerate(engines)
        for what in (Step.ARRIVED, Step.STARTED)
    ]


def events(*numbers, subject="a", service="jury", version="v1"):
    return "".join(
        f"id: {n}\ndata: {subject} {service} {version} {n}\n\n" for n in numbers
    )


def got(attempt="a.1", *, sent_at_ms=0, took_ms=500, kind="feedback", **fields):
    subject = attempt.partition(".")[0]
    is_stream = kind == "feedback"
    default = {
        "end": End.COMPLETE,
        "status": 200,
        "events": 3 if is_stream else 0,
        "body": events(1, 2, 3, subject=subject)
        if is_stream
        else f"{subject} {attempt}",
    }
    return fleet_records.CallerRecord(
        attempt=attempt,
        subject=subject,
        kind=kind,
        gateway="edge-0",
        sent_at_ms=sent_at_ms,
        ended_at_ms=sent_at_ms + took_ms,
        deadline_ms=10_000,
        **(default | fields),
    )


def rules(
    engine_records,
    caller_records,
    changes=None,
    bounds=BOUNDS,
    troubles=(),
    cold_times=(),
):
    judge = fleet_judge.Judge(
        engine_records,
        caller_records,
        changes or [change()],
        bounds,
        troubles=troubles,
        cold_times=cold_times,
    )
    return [violation.rule for violation in judge.violations()]


@pytest.mark.parametrize(
    "repeats, requests, excess",
    [
        pytest.param([], [], None, id="none"),
        pytest.param([0, 0], [], 0, id="slack"),
        pytest.param([0, 0, 0], [], 1, id="beyond the slack"),
        pytest.param([0, 500, 999], [], 1, id="in one window"),
        pytest.param([0, 500, 1_000], [], 0, id="in no window"),
        pytest.param([900, 1_000, 1_100], [], 1, id="across a second"),
        pytest.param([500] * 3, [400] * 5, 0, id="requests half before"),
        pytest.param([1_500] * 3, [600] * 5, 0, id="requests one before"),
        pytest.param([3_000] * 3, [600] * 5, 1, id="requests long before"),
        pytest.param([0] * 3, [2_500] * 5, 1, id="requests long after"),
        pytest.param([0] * 4, [0] * 4 + [-600] * 5, 1, id="the most"),
    ],
)
def test_budget_counts_in_sliding_windows(repeats, requests, excess):
    use = fleet_judge.worst_window(repeats, requests, BOUNDS)
    assert (use and use.excess) == excess


@pytest.mark.parametrize(
    "engine_records, is_broken",
    [
        pytest.param(runs("a.1", "j0", "j1"), False, id="one repeat"),
        pytest.param(
            [
                step(at_ms, Step.ARRIVED, "a.1", f"j{at_ms}")
                for at_ms in range(4)
            ],
            True,
            id="three repeats",
        ),
        pytest.param(
            [
                step(at_ms, what, "a.1", f"j{at_ms}")
                for at_ms in range(4)
                for what in (Step.ARRIVED, Step.DECLINED)
            ],
            True,
            id="declined ones count",
        ),
        pytest.param(
            [step(0, Step.ARRIVED, f"a.{n}") for n in range(4)],
            False,
            id="own retries of the caller",
        ),
        pytest.param(
            [step(0, Step.ARRIVED, "a.1", f"x{n}", f"s{n}") for n in range(4)],
            False,
            id="first arrivals at several services",
        ),
    ],
)
def test_budget_counts_arrivals_beyond_the_first(engine_records, is_broken):
    assert ("BUDGET" in rules(engine_records, [])) == is_broken


@pytest.mark.parametrize("count, is_broken", [(3, False), (4, True)])
def test_few_requests_may_run_on_more_engines(count, is_broken):
    attempts = [f"{letter}.1" for letter in "abcd"[:count]]
    engine_records = [
        record
        for attempt in attempts
        for record in runs(attempt, "j0", "j1", "j2")
    ]
    wide = fleet_judge.Bounds(ratio=0, slack=100, window_ms=1_000)
    caller_records = [got(attempt) for attempt in attempts]
    found = rules(engine_records, caller_records, bounds=wide)
    assert found == (["BUDGET"] if is_broken else [])


@pytest.mark.parametrize(
    "kind, status, engines, expected",
    [
        ("submit", 200, ["p0"], []),
        ("submit", 200, ["p0", "p1"], ["TWICE"]),
        ("submit", 502, ["p0"], []),
        ("submit", 503, [], []),
        ("submit", 503, ["p0"], ["REFUSED"]),
        ("submit", 421, ["p0"], ["REFUSED"]),
        ("feedback", 503, ["j0"], []),
    ],
)
def test_requests_that_may_run_once(kind, status, engines, expected):
    service = "jury" if kind == "feedback" else "portal"
    record = got("a.1", kind=kind, status=status)
    assert rules(runs("a.1", *engines, service=service), [record]) == expected


@pytest.mark.parametrize(
    "idle_ms, status, is_passed_on, count, is_broken",
    [
        (100, None, True, 4, True),
        (100, None, True, 3, False),
        (100, None, False, 4, False),
        (None, None, True, 4, False),
        (100, 200, True, 4, False),
    ],
)
def test_requests_from_kept_connections_are_answered(
    idle_ms, status, is_passed_on, count, is_broken
):
    attempts = [f"{letter}.1" for letter in "abcd"[:count]]
    caller_records = [
        got(a, end=End.CLOSED, status=status, idle_ms=idle_ms, body="")
        for a in attempts
    ]
    engine_records = [r for a in attempts for r in runs(a, "j0")]
    found = rules(engine_records if is_passed_on else [], caller_records)
    assert ("LOST" in found) == is_broken


@pytest.mark.parametrize(
    "cut_at_ms, other_cuts_at_ms, fields, last_step, is_broken",
    [
        pytest.param(2_000, [], {}, Step.ABANDONED, True, id="after a change"),
        pytest.param(4_000, [], {}, Step.ABANDONED, True, id="in the bound"),
        pytest.param(4_200, [], {}, Step.ABANDONED, False, id="too late"),
        pytest.param(900, [], {}, Step.ABANDONED, False, id="before"),
        pytest.param(
            2_000, [9_000, 9_100], {}, Step.ABANDONED, False, id="as at others"
        ),
        pytest.param(2_000, [], {}, Step.EXPIRED, False, id="engine broke off"),
        pytest.param(
            2_000, [], {"end": End.ABANDONED}, None, False, id="caller left"
        ),
        pytest.param(
            2_000, [], {"took_ms": 7_100}, None, False, id="most time used"
        ),
    ],
)
def test_requests_are_not_cut_at_changes(
    cut_at_ms, other_cuts_at_ms, fields, last_step, is_broken
):
    changes = [change(at_ms=-9_000), change(at_ms=1_000)]
    took_ms = fields.pop("took_ms", 500)
    cut = {"end": End.CLOSED, "body": events(1)} | fields
    caller_records = [
        got("a.1", sent_at_ms=cut_at_ms - took_ms, took_ms=took_ms, **cut),
        got("b.1", sent_at_ms=2_000),
    ]
    engine_records = runs("a.1", "j0", at_ms=cut_at_ms - took_ms)
    if last_step is not None:
        engine_records.append(step(cut_at_ms, last_step))
    for number, at_ms in enumerate(other_cuts_at_ms):
        attempt = f"c{number}.1"
        body = events(1, subject=f"c{number}")
        caller_records.append(
            got(attempt, sent_at_ms=at_ms - 500, end=End.CLOSED, body=body)
        )
        engine_records += runs(attempt, "j0", at_ms=at_ms - 500)
    found = rules(engine_records, caller_records, changes)
    assert found == (["LOST"] if is_broken else [])


def killed(kind, at_ms, name, **fields):
    return kind(
        began_at_ms=at_ms, ended_at_ms=at_ms + 500, names=(name,), **fields
    )


@pytest.mark.parametrize(
    "trouble, is_broken",
    [
        pytest.param(None, True, id="nothing else"),
        pytest.param(
            killed(fleet_records.GatewaysKilled, 2_000, "edge-0"),
            False,
            id="its gateway is killed",
        ),
        pytest.param(
            killed(fleet_records.GatewaysKilled, 2_000, "edge-1"),
            True,
            id="another gateway is killed",
        ),
        pytest.param(
            killed(fleet_records.GatewaysKilled, 0, "edge-0"),
            True,
            id="its gateway was killed before",
        ),
        pytest.param(
            killed(fleet_records.GatewaysReloaded, 2_000, "edge-0"),
            True,
            id="its gateway is reloaded",
        ),
        pytest.param(
            killed(fleet_records.EnginesKilled, 2_000, "j0"),
            False,
            id="its engine is killed",
        ),
        pytest.param(
            killed(fleet_records.EnginesPaused, 2_000, "j0"),
            True,
            id="its engine pauses",
        ),
        pytest.param(
            killed(fleet_records.EnginesKilled, 2_000, "j1"),
            True,
            id="another engine is killed",
        ),
    ],
)
def test_requests_that_end_with_their_process_are_not_cut(trouble, is_broken):
    changes = [change(at_ms=-9_000), change(at_ms=1_000)]
    record = got(
        "a.1", sent_at_ms=1_500, took_ms=510, end=End.CLOSED, body=events(1)
    )
    found = rules(
        runs("a.1", "j0", at_ms=1_500),
        [record],
        changes,
        troubles=[trouble] if trouble else [],
    )
    assert found == (["LOST"] if is_broken else [])


@pytest.mark.parametrize(
    "body, end, expected",
    [
        pytest.param(events(1, 2, 3), End.COMPLETE, [], id="whole"),
        pytest.param(events(1, 2), End.CLOSED, [], id="broken off"),
        pytest.param(events(1, 2) + "id: 3\nda", End.CLOSED, [], id="partial"),
        pytest.param(events(1, 2), End.COMPLETE, ["ORDER"], id="too short"),
        pytest.param(events(1, 3), End.CLOSED, ["ORDER"], id="missing"),
        pytest.param(events(1, 2, 2), End.CLOSED, ["ORDER"], id="doubled"),
        pytest.param(events(1, 2, 1), End.CLOSED, ["ORDER"], id="goes back"),
        pytest.param(
            events(1) + events(2, service="panel"),
            End.CLOSED,
            ["ORDER"],
            id="two services",
        ),
        pytest.param(
            events(1) + events(2, version="v2"),
            End.CLOSED,
            ["ORDER"],
            id="two versions",
        ),
        pytest.param(
            events(1) + '{"kind": "overloaded"}\n\n',
            End.CLOSED,
            ["MIXED"],
            id="text of an error",
        ),
        pytest.param(
            events(1, 2, 3) + "HTTP/1.1 503",
            End.COMPLETE,
            ["MIXED"],
            id="head of an error",
        ),
        pytest.param(
            events(1, 2, 3, subject="b"),
            End.COMPLETE,
            ["MIXED"],
            id="another request",
        ),
    ],
)
def test_stream_is_whole_and_in_order(body, end, expected):
    assert rules([], [got(body=body, end=end)]) == expected


@pytest.mark.parametrize(
    "after_event, body, expected",
    [
        pytest.param(1, events(2, 3), [], id="goes on"),
        pytest.param(0, events(1, 2, 3, service="panel"), [], id="anew"),
        pytest.param(1, events(2, 3, service="panel"), ["ORDER"], id="service"),
        pytest.param(1, events(2, 3, version="v2"), ["ORDER"], id="version"),
        pytest.param(1, events(1, 2, 3), ["ORDER"], id="from the start"),
        pytest.param(1, events(3), ["ORDER"], id="one missing"),
    ],
)
def test_resumed_stream_goes_on_where_it_began(after_event, body, expected):
    caller_records = [
        got("a.1", body=events(1), end=End.DROPPED),
        got(
            "a.2",
            sent_at_ms=1_000,
            body=body,
            after_event=after_event,
            resumes="a.1" if after_event else "",
        ),
    ]
    assert rules([], caller_records) == expected


@pytest.mark.parametrize(
    "body, end, expected",
    [
        ("a a.1", End.COMPLETE, []),
        ("a a", End.CLOSED, []),
        ("a a", End.COMPLETE, ["MIXED"]),
        ("b b.1", End.COMPLETE, ["MIXED"]),
        ("a a.1 ", End.COMPLETE, ["MIXED"]),
    ],
)
def test_plain_response_is_that_of_the_request(body, end, expected):
    record = got(kind="submit", body=body, end=end)
    assert rules([], [record]) == expected


@pytest.mark.parametrize(
    "sent_at_ms, service, seen_at_ms, expected",
    [
        pytest.param(1_500, "jury", None, [], id="not applied yet"),
        pytest.param(2_900, "panel", None, [], id="applied"),
        pytest.param(3_100, "jury", None, ["CONFIG"], id="applied too late"),
        pytest.param(900, "panel", None, ["ROUTE"], id="never allowed"),
        pytest.param(1_500, "jury", 1_300, [], id="just seen"),
        pytest.param(1_600, "jury", 1_300, ["CONFIG"], id="undone"),
    ],
)
def test_configuration_is_applied_and_not_undone(
    sent_at_ms, service, seen_at_ms, expected
):
    changes = [change(), change(at_ms=1_000, stream=route("panel"))]
    caller_records = [got("a.1", sent_at_ms=sent_at_ms)]
    engine_records = runs("a.1", "x0", at_ms=sent_at_ms, service=service)
    if seen_at_ms is not None:
        caller_records.append(got("b.1", sent_at_ms=seen_at_ms))
        engine_records += runs("b.1", "p0", at_ms=seen_at_ms, service="panel")
    assert rules(engine_records, caller_records, changes) == expected


STOP = fleet_records.GatewaysStopped(
    began_at_ms=10_000, ended_at_ms=18_500, names=("edge-0",)
)
"""Planned stop with a grace of 8 s, whose last sixth begins at 16,667 ms."""


@pytest.mark.parametrize(
    "sent_at_ms, ended_at_ms, steps, expected",
    [
        pytest.param(10_100, 10_250, [], [], id="crosses the end"),
        pytest.param(10_100, 10_400, [], ["LOST"], id="read, not passed on"),
        pytest.param(
            10_100, 10_250, [Step.ARRIVED], ["LOST"], id="passed on, waits"
        ),
        pytest.param(
            12_900,
            17_100,
            [Step.ARRIVED, Step.STARTED],
            [],
            id="at work in the last sixth",
        ),
        pytest.param(
            12_900,
            16_500,
            [Step.ARRIVED, Step.STARTED],
            ["LOST"],
            id="cut before the last sixth",
        ),
        pytest.param(
            13_100,
            17_100,
            [Step.ARRIVED, Step.STARTED],
            ["LOST"],
            id="sent too late to be excused",
        ),
        pytest.param(
            12_900, 17_100, [Step.ARRIVED], ["LOST"], id="not at work"
        ),
        pytest.param(
            10_100,
            10_900,
            [Step.ARRIVED, Step.STARTED, Step.BROKEN],
            [],
            id="broken off by the engine",
        ),
    ],
)
def test_planned_stop_cuts_nothing_without_an_excuse(
    sent_at_ms, ended_at_ms, steps, expected
):
    record = got(
        kind="submit",
        sent_at_ms=sent_at_ms,
        took_ms=ended_at_ms - sent_at_ms,
        end=End.CLOSED,
        status=None,
        body="",
    )
    engine_records = [
        step(sent_at_ms + 10 * number, what, service="portal")
        for number, what in enumerate(steps)
    ]
    assert rules(engine_records, [record], troubles=[STOP]) == expected
    pause = fleet_records.EnginesPaused(
        began_at_ms=sent_at_ms - 2_000, ended_at_ms=sent_at_ms - 1_500
    )
    assert not rules(engine_records, [record], troubles=[STOP, pause])


@pytest.mark.parametrize(
    "arrivals_ms, expected",
    [
        ([100, 200, 300, 400], []),
        ([600, 700], []),
        ([600, 700, 1_900], ["BUDGET"]),
        ([600, 700, 2_000], []),
    ],
)
def test_requested_pause_is_kept(arrivals_ms, expected):
    engine_records = [
        msgspec.structs.replace(step(0, Step.DECLINED), pause_ms=2_000)
    ]
    engine_records += [
        step(at_ms, Step.ARRIVED, f"{at_ms}.1") for at_ms in arrivals_ms
    ]
    assert rules(engine_records, []) == expected


@pytest.mark.parametrize(
    "subject, crashes, late, expected",
    [
        ("a", 5, 3, []),
        ("a", 5, 4, ["BUDGET"]),
        ("a", 4, 4, []),
        ("fatal", 3, 4, ["BUDGET"]),
        ("fatal", 2, 4, []),
    ],
)
def test_fatal_requests_reach_no_engines_once_they_are_known(
    subject, crashes, late, expected
):
    times_ms = [100 * number for number in range(crashes)]
    times_ms += [20_000 + 100 * number for number in range(late)]
    engine_records, caller_records = [], []
    for number, at_ms in enumerate(times_ms):
        attempt = f"{subject}.{number}"
        steps = [Step.ARRIVED] + [Step.CRASHED] * (number < crashes)
        engine_records += [step(at_ms, what, attempt) for what in steps]
        caller_records.append(
            got(
                attempt,
                sent_at_ms=at_ms,
                end=End.CLOSED,
                status=502,
                is_fatal=True,
            )
        )
    assert rules(engine_records, caller_records) == expected


@pytest.mark.parametrize(
    "at_ms, zone, disturbances, expected",
    [
        pytest.param(14_999, "zone-1", [], [], id="before the bound"),
        pytest.param(15_500, "zone-1", [], ["EVACUATE"], id="after it"),
        pytest.param(15_500, "zone-0", [], [], id="another zone"),
        pytest.param(18_001, "zone-1", [], [], id="the key was deleted"),
        pytest.param(
            15_500,
            "zone-1",
            [fleet_records.StoreDisturbed(fault="BUSY", **BRIEFLY)],
            [],
            id="cut off from the store",
        ),
        pytest.param(
            15_500,
            "zone-1",
            [fleet_records.GatewaysFrozen(names=("edge-0",), **BRIEFLY)],
            [],
            id="frozen sender",
        ),
        pytest.param(
            15_500,
            "zone-1",
            [fleet_records.GatewaysStopped(names=("edge-1",), **BRIEFLY)],
            ["EVACUATE"],
            id="another gateway is stopped",
        ),
        pytest.param(
            15_500,
            "zone-1",
            [fleet_records.EnginesPaused(names=("j0",), **BRIEFLY)],
            [],
            id="engine reads late",
        ),
        pytest.param(
            15_500,
            "zone-1",
            [fleet_records.EnginesKilled(names=("j0",), **BRIEFLY)],
            ["EVACUATE"],
            id="engine was restarted",
        ),
    ],
)
def test_evacuated_zone_gets_no_requests(at_ms, zone, disturbances, expected):
    evacuation = fleet_records.ZonesEvacuated(
        began_at_ms=10_000, ended_at_ms=18_000, names=("zone-1",)
    )
    engine_records = [
        msgspec.structs.replace(record, zone=zone, host="edge-0")
        for record in runs("a.1", "j0", at_ms=at_ms)
    ]
    troubles = [evacuation, *disturbances]
    assert rules(engine_records, [], troubles=troubles) == expected
    misdirected = [
        engine_records[0],
        msgspec.structs.replace(
            engine_records[0], step=Step.DECLINED, status=421
        ),
    ]
    assert not rules(misdirected, [], troubles=troubles)


def arrivals(count, at_ms, *, status=200):
    """Returns the records of requests that reach an engine in one second."""
    for number in range(count):
        record = msgspec.structs.replace(
            step(at_ms + number, Step.ARRIVED, f"{number}.1"),
            host="edge-0",
            zone="zone-1",
        )
        yield record
        if status != 200:
            yield msgspec.structs.replace(
                record, step=Step.DECLINED, status=status
            )


@pytest.mark.parametrize(
    "cold, disturbances, expected",
    [
        pytest.param((12_000, True), [], ["COLD"], id="just started"),
        pytest.param((12_000, False), [], [], id="not known yet"),
        pytest.param((10_000, False), [], ["COLD"], id="cold again"),
        pytest.param((8_000, True), [], [], id="warm"),
        pytest.param(
            (10_000, False),
            [fleet_records.StoreDisturbed(fault="BUSY", **EARLY)],
            [],
            id="store does not tell that it is cold again",
        ),
        pytest.param(
            (12_000, True),
            [fleet_records.StoreDisturbed(fault="BUSY", **EARLY)],
            ["COLD"],
            id="start is known with the engine",
        ),
        pytest.param(
            (12_000, True),
            [fleet_records.EnginesPaused(names=("j0",), **EARLY)],
            [],
            id="engine reads late",
        ),
        pytest.param(
            None,
            [fleet_records.ZonesEvacuated(names=("zone-1",), **EARLY)],
            ["COLD"],
            id="evacuation has ended",
        ),
        pytest.param(
            None,
            [fleet_records.ZonesEvacuated(names=("zone-0",), **EARLY)],
            [],
            id="evacuation of another zone has ended",
        ),
    ],
)
def test_cold_engine_gets_few_requests(cold, disturbances, expected):
    changes = [msgspec.structs.replace(change(), cold_start_s=3, cold_per_s=10)]
    cold_times = [
        fleet_records.ColdTime(
            engine="j0",
            began_at_ms=began_at_ms,
            ended_at_ms=began_at_ms + 4_000,
            is_start=is_start,
        )
        for began_at_ms, is_start in [cold] * bool(cold)
    ]

    def found(engine_records, changes=changes):
        return rules(
            engine_records,
            [],
            changes=changes,
            troubles=disturbances,
            cold_times=cold_times,
        )

    assert found(arrivals(21, 12_100)) == expected
    assert not found(arrivals(20, 12_100))
    assert not found(arrivals(30, 12_100, status=421))
    assert found(arrivals(30, 12_100, status=503)) == expected
    assert not found(arrivals(30, 12_100), changes=[change()])
