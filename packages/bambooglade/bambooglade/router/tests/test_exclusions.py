"""Tests of targets and zones that operators exclude from new requests."""

from __future__ import annotations

from concurrent import futures
import logging as std_logging
import time

from absl import logging
import pytest

from bambooglade.core import clock as clocks
from bambooglade.core import identifiers
from bambooglade.router import target_descriptions
from bambooglade.router import target_directory
from bambooglade.router.tests import caller_api_harness
from bambooglade.router.tests import test_dispatch_chat as chats
from bambooglade.table import messages
from bambooglade.table import rows
from bambooglade.table import view
from bambooglade.targets import breaker
from bambooglade.targets import exclusions
from bambooglade_standins.virtual import control
from bambooglade_standins.virtual import network

EXCLUDED = rows.RoutingState.EXCLUDED
ACTIVE = rows.RoutingState.ACTIVE
ZONES = ("zone-a", "zone-b", "zone-c")
JOIN_MS = 15_000
CALM_MS = 2_000
OUTAGE_MS = 11_000
"""Times within which an accepted edit is in force, from the requirement."""

REFUSED_S = 2.0
"""Bound of an immediate refusal; far below the 30 s of the deadline."""


def target_row(target_id, zone, *, state=ACTIVE):
    return rows.TargetRow(
        target_id=target_id,
        service="jury",
        availability_zone=zone,
        url=f"http://{target_id}",
        state=state,
    )


TARGETS = (
    target_row("a1", "zone-a"),
    target_row("a2", "zone-a"),
    target_row("b1", "zone-b"),
)


def new_directory(table, clock=None):
    return target_directory.TargetDirectory(
        availability_zone="zone-a",
        instance_id="i1",
        table=table,
        clock=clock or clocks.ManualClock(),
    )


def chosen_ids(directory, count=12):
    chosen = set()
    for number in range(count):
        target = directory.choose("jury", blocks=(), tried=()).target
        if target is None:
            return set()
        chosen.add(target.target_id)
        directory.record_start(target.target_id, f"r{number}")
    return chosen


@pytest.mark.parametrize(
    ("edited", "chosen"),
    [
        ((), {"a1", "a2", "b1"}),
        ((target_row("a1", "zone-a", state=EXCLUDED),), {"a2", "b1"}),
        ((rows.ZoneRow(availability_zone="zone-a", state=EXCLUDED),), {"b1"}),
        (
            (rows.ZoneRow(availability_zone="zone-a", state=ACTIVE),),
            {"a1", "a2", "b1"},
        ),
        (
            (
                rows.ZoneRow(availability_zone="zone-a", state=EXCLUDED),
                target_row("b1", "zone-b", state=EXCLUDED),
            ),
            set(),
        ),
    ],
)
def test_excluded_targets_are_not_chosen(edited, chosen):
    """Guards against requests to a target or zone that is excluded."""
    directory = new_directory(view.FixedTable([*TARGETS, *edited]))
    assert chosen_ids(directory) == chosen
    assert directory.is_excluded("jury") is (not chosen)
    ready = {
        description.target_id
        for description in target_descriptions.describe(directory)
        if description.state == target_descriptions.READY
    }
    assert ready == chosen


def test_target_is_chosen_again_once_its_state_is_changed_back():
    """Guards against an exclusion that outlives the operator's edit."""
    table = caller_api_harness.EditableTable(TARGETS)
    directory = new_directory(table)
    table.put(rows.ZoneRow(availability_zone="zone-a", state=EXCLUDED))
    assert chosen_ids(directory) == {"b1"}
    table.put(rows.ZoneRow(availability_zone="zone-a"))
    assert "a1" in chosen_ids(directory)


def test_open_circuits_do_not_exclude_all_that_operators_allow():
    """Guards against a cap on open circuits that counts excluded targets.

    Of six targets two may be open. If operators exclude the other four, callers
    would be refused while both that are left may serve again.
    """
    excluded = [target_row(f"a{n}", "zone-a", state=EXCLUDED) for n in range(4)]
    allowed = [target_row(f"b{n}", "zone-b") for n in range(2)]
    directory = new_directory(view.FixedTable([*excluded, *allowed]))
    for target in allowed:
        for number in range(breaker.FAILURES_TO_OPEN):
            directory.record_start(target.target_id, f"r{number}")
            directory.record_end(
                target.target_id, f"r{number}", is_complete=False
            )
    assert chosen_ids(directory) & {"b0", "b1"}


def test_wait_of_paused_targets_does_not_count_excluded_ones():
    """Guards against a retry time of 0 while all allowed targets pause."""
    directory = new_directory(
        view.FixedTable(
            [
                target_row("a1", "zone-a", state=EXCLUDED),
                target_row("b1", "zone-b"),
            ]
        )
    )
    for target in directory.all_targets():
        if target.target_id == "b1":
            directory.record_pause(target, 20.0)
    assert directory.pause_ms("jury") >= 20_000


def edit(virtual, row, edit_id):
    """Makes an edit, and returns once it is accepted."""
    known = virtual.table("zone-a-1").record(row.row_key)
    virtual.edit(
        "zone-a-1",
        messages.edit_row(
            row,
            expected_version=known.version if known else 0,
            edit_id=identifiers.EditId(edit_id),
            edited_by="ana",
            deadline_ms=virtual.fleet.now_ms + 8_000,
        ),
    )
    while edit_id not in virtual.answer_by_edit_id:
        virtual.fleet.run_for(1)
    (outcome,) = virtual.answer_by_edit_id[edit_id].outcomes
    assert isinstance(outcome, messages.Accepted)


@pytest.mark.parametrize(
    ("trouble", "in_force_ms"),
    [
        ("none", CALM_MS),
        ("service goes down with the edit", OUTAGE_MS),
        ("zone is cut off from the service", OUTAGE_MS),
    ],
)
@pytest.mark.parametrize("state", [EXCLUDED, ACTIVE])
def test_accepted_edit_is_in_force_at_all_instances(
    trouble, in_force_ms, state
):
    """Guards against instances that still send to an excluded zone."""
    goes_down = trouble == "service goes down with the edit"
    virtual = control.ControlFleet(
        seed=3, seeds=("http://zone-a-1",), watches=not goes_down
    )
    for index in range(6):
        virtual.start(ZONES[index % 3])
    virtual.fleet.run_for(JOIN_MS)
    for target in TARGETS:
        edit(virtual, target, target.target_id)
    if state is ACTIVE:
        row = rows.ZoneRow(availability_zone="zone-a", state=EXCLUDED)
        edit(virtual, row, "first")
    virtual.fleet.run_for(OUTAGE_MS)
    if trouble == "zone is cut off from the service":
        virtual.fleet.network.cut(
            "zone-c", network.PLATFORM, now_ms=virtual.fleet.now_ms
        )
    edit(virtual, rows.ZoneRow(availability_zone="zone-a", state=state), "last")
    virtual.fleet.service.faults.down = goes_down
    virtual.fleet.run_for(in_force_ms)
    expected = {"b1"} if state is EXCLUDED else {"a1", "a2", "b1"}
    for instance_id in virtual.parts_by_id:
        directory = new_directory(virtual.table(instance_id))
        assert chosen_ids(directory) == expected, instance_id


def start_engines():
    return {
        target_id: chats.start_engine(target_id, token_ms=20)
        for target_id in ("e1", "e2")
    }


def exclude(harness, *zones):
    for zone in zones:
        harness.table.put(rows.ZoneRow(availability_zone=zone, state=EXCLUDED))


def send_chat(harness, key, **options):
    return harness.send(
        "POST",
        "/v1/chat/completions",
        body=chats.chat_body(**options),
        Idempotency_Key=key,
    )


def wait_until(condition):
    end_s = time.monotonic() + caller_api_harness.TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.01)


def test_request_in_flight_ends_normally_and_new_ones_go_elsewhere():
    """Guards against streams that break as their zone is excluded."""
    engines = start_engines()
    with (
        caller_api_harness.running_harness(
            {name: server for name, (server, _) in engines.items()},
            caller_api_harness.MODEL,
        ) as harness,
        futures.ThreadPoolExecutor() as pool,
    ):
        first = pool.submit(send_chat, harness, "k0")
        wait_until(lambda: engines["e1"][1].batch.running)
        exclude(harness, caller_api_harness.ZONE)
        for number in range(1, 4):
            response = send_chat(harness, f"k{number}")
            assert chats.text_of(response.body) == chats.COMPLETE_TEXT
        assert chats.text_of(first.result().body) == chats.COMPLETE_TEXT
        targets = [
            harness.port.wait_for_run_end(f"k{number}").target_id
            for number in range(4)
        ]
    assert targets == ["e1", "e2", "e2", "e2"]


def test_call_is_refused_at_once_if_all_targets_are_excluded():
    """Guards against callers that wait for a slot behind running streams."""
    engines = start_engines()
    with (
        caller_api_harness.running_harness(
            {name: server for name, (server, _) in engines.items()},
            caller_api_harness.MODEL,
            max_concurrency=1,
        ) as harness,
        futures.ThreadPoolExecutor() as pool,
    ):
        send_chat(harness, "k0")
        running = pool.submit(send_chat, harness, "k1", max_tokens=200)
        wait_until(
            lambda: any(app.batch.running for _, app in engines.values())
        )
        waiting = pool.submit(send_chat, harness, "k2")
        time.sleep(0.2)
        excluded_s = time.monotonic()
        exclude(harness, caller_api_harness.ZONE, caller_api_harness.OTHER_ZONE)
        refused = [waiting.result(), send_chat(harness, "k3")]
        refused_s = time.monotonic() - excluded_s
        is_running = not running.done()
        replayed = send_chat(harness, "k0")
        assert running.result().head.status == 200
    assert is_running
    for response in refused:
        assert response.head.status == 503
        assert b"no_target" in response.body
        assert b'"ran":"no"' in response.body
        assert response.head.header("retry-after")
    assert refused_s < REFUSED_S
    assert replayed.head.status == 200


def test_changes_of_the_state_are_logged_once(caplog):
    """Guards against exclusions that operators can't see in the log."""
    logging.get_absl_logger().setLevel(std_logging.INFO)
    table = caller_api_harness.EditableTable(TARGETS)
    log = exclusions.ExclusionLog(table)
    assert log.refresh() == (0, 0)
    table.put(rows.ZoneRow(availability_zone="zone-a", state=EXCLUDED))
    table.put(target_row("b1", "zone-b", state=EXCLUDED))
    with caplog.at_level(std_logging.INFO, logger="absl"):
        assert log.refresh() == (1, 1)
        assert log.refresh() == (1, 1)
        table.put(rows.ZoneRow(availability_zone="zone-a"))
        assert log.refresh() == (0, 1)
    events = [
        record.getMessage()
        for record in caplog.records
        if "event=exclu" in record.getMessage()
    ]
    assert events == [
        "event=excluded row=target/b1",
        "event=excluded row=zone/zone-a",
        "event=exclusion_ended row=zone/zone-a",
    ]
