"""Tests of the table on virtual time: edits, races, outages, restores."""

from __future__ import annotations

import copy

import pytest

from bambooglade.core import identifiers
from bambooglade.table import messages
from bambooglade.table import page_draft
from bambooglade.table import rows
from bambooglade_standins.virtual import control
from bambooglade_standins.virtual import network

ZONES = ("zone-a", "zone-b", "zone-c")
START_MS = 15_000
TARGET_MS = 11_000
EDIT_DEADLINE_MS = 8_000
READ_MS = 5
"""The page is read by then, and the write is on its way."""
LIMIT = "limit/t1/*/*"


@pytest.fixture(name="fleet")
def _fleet():
    control_fleet = control.ControlFleet(seed=3, seeds=("http://zone-a-1",))
    for index in range(6):
        control_fleet.start(ZONES[index % 3])
    control_fleet.fleet.run_for(START_MS)
    return control_fleet


def _edit(fleet, instance, tokens, *, expected, edit_id, by="ana"):
    row = rows.LimitRow(team_id="t1", spend_limit_tokens=tokens)
    edit = messages.edit_row(
        row,
        expected_version=expected,
        edit_id=identifiers.EditId(edit_id),
        edited_by=by,
        deadline_ms=fleet.fleet.now_ms + EDIT_DEADLINE_MS,
    )
    fleet.edit(instance, edit)


def _outcome(fleet, edit_id):
    (outcome,) = fleet.answer_by_edit_id[edit_id].outcomes
    return outcome


def _limits(fleet):
    return {
        instance_id: row.spend_limit_tokens if row else None
        for instance_id, parts in fleet.parts_by_id.items()
        if fleet.fleet.instance_by_id[instance_id].alive
        for row in [parts.table.get(LIMIT)]
    }


def test_an_accepted_edit_is_in_force_everywhere(fleet):
    _edit(fleet, "zone-a-1", 100, expected=0, edit_id="e1")
    fleet.fleet.run_for(2_000)
    accepted = messages.Accepted(row_key=LIMIT, version=1)
    assert _outcome(fleet, "e1") == accepted
    assert set(_limits(fleet).values()) == {100}


def test_a_stale_edit_says_who_changed_what_and_how_to_redo_it(fleet):
    _edit(fleet, "zone-a-1", 100, expected=0, edit_id="e1", by="ana")
    fleet.fleet.run_for(2_000)
    _edit(fleet, "zone-b-2", 200, expected=0, edit_id="e2", by="ben")
    fleet.fleet.run_for(2_000)
    failure = _outcome(fleet, "e2").failure
    assert isinstance(failure, page_draft.StaleEdit)
    assert failure.edited_by == "ana"
    assert failure.current_version == 1
    assert failure.current_row.spend_limit_tokens == 100
    assert "Read the row again" in str(failure)
    assert set(_limits(fleet).values()) == {100}


def test_of_racing_edits_exactly_one_is_accepted(fleet):
    for index, instance in enumerate(fleet.parts_by_id):
        _edit(fleet, instance, index, expected=0, edit_id=f"e{index}")
    fleet.fleet.run_for(4_000)
    outcomes = [_outcome(fleet, f"e{index}") for index in range(6)]
    accepted = [
        index
        for index, outcome in enumerate(outcomes)
        if isinstance(outcome, messages.Accepted)
    ]
    refused = [o for o in outcomes if isinstance(o, messages.Refused)]
    assert (len(accepted), len(refused)) == (1, 5)
    assert set(_limits(fleet).values()) == set(accepted)


@pytest.mark.parametrize("share", [0.3, 0.6, 0.9])
def test_a_lost_answer_is_read_back_and_nothing_is_done_twice(fleet, share):
    fleet.fleet.service.faults.lost_answers = share
    for index in range(10):
        before = fleet.table("zone-a-1").record(LIMIT)
        expected = before.version if before else 0
        _edit(fleet, "zone-a-1", index, expected=expected, edit_id=f"e{index}")
        fleet.fleet.run_for(EDIT_DEADLINE_MS + 2_000)
        outcome = _outcome(fleet, f"e{index}")
        after = fleet.table("zone-a-1").record(LIMIT)
        if isinstance(outcome, messages.Accepted):
            assert after.version == outcome.version == expected + 1
            assert after.row.spend_limit_tokens == index
        else:
            assert not isinstance(outcome, messages.Refused) or (
                after is None or after.row.spend_limit_tokens != index
            )


def test_an_edit_repeated_after_an_unknown_outcome_is_done_once(fleet):
    _edit(fleet, "zone-a-1", 7, expected=0, edit_id="e1")
    fleet.fleet.run_for(READ_MS)
    fleet.fleet.service.faults.lost_answers = 1.0
    fleet.fleet.run_for(EDIT_DEADLINE_MS + 1_000)
    assert isinstance(_outcome(fleet, "e1"), messages.Unknown)
    fleet.fleet.service.faults.lost_answers = 0.0
    _edit(fleet, "zone-b-2", 7, expected=0, edit_id="e1")
    fleet.fleet.run_for(3_000)
    assert _outcome(fleet, "e1") == messages.Accepted(row_key=LIMIT, version=1)


def test_an_edit_that_never_reached_the_service_is_refused(fleet):
    fleet.fleet.service.faults.down = True
    _edit(fleet, "zone-a-1", 7, expected=0, edit_id="e1")
    fleet.fleet.run_for(EDIT_DEADLINE_MS + 1_000)
    outcome = _outcome(fleet, "e1")
    assert isinstance(outcome, messages.Refused)
    assert isinstance(outcome.failure, page_draft.ServiceUnavailable)
    fleet.fleet.service.faults.down = False
    fleet.fleet.run_for(10_000)
    assert set(_limits(fleet).values()) == {None}


def test_an_edit_crosses_into_a_zone_that_the_service_cannot_reach(fleet):
    fleet.fleet.network.cut(
        "zone-c", network.PLATFORM, now_ms=fleet.fleet.now_ms
    )
    _edit(fleet, "zone-a-1", 5, expected=0, edit_id="e1")
    fleet.fleet.run_for(TARGET_MS)
    assert set(_limits(fleet).values()) == {5}


def test_a_new_instance_starts_from_its_peers_while_the_service_is_down(fleet):
    _edit(fleet, "zone-a-1", 5, expected=0, edit_id="e1")
    fleet.fleet.run_for(2_000)
    fleet.fleet.service.faults.down = True
    fresh = fleet.start("zone-b")
    fleet.fleet.run_for(TARGET_MS)
    assert fleet.table(fresh).loaded
    assert _limits(fleet)[fresh] == 5


def test_an_empty_instance_without_peers_or_service_is_not_loaded():
    lonely = control.ControlFleet(seed=1, seeds=())
    lonely.fleet.service.faults.down = True
    alone = lonely.start("zone-a")
    lonely.fleet.run_for(START_MS)
    assert not lonely.table(alone).loaded


def test_a_restored_service_reverts_nothing_and_is_brought_up_to_date(fleet):
    _edit(fleet, "zone-a-1", 1, expected=0, edit_id="e1")
    fleet.fleet.run_for(2_000)
    service = fleet.fleet.service
    backup = copy.deepcopy(service.by_key)
    _edit(fleet, "zone-a-1", 2, expected=1, edit_id="e2")
    fleet.fleet.run_for(2_000)
    service.by_key = backup
    for _ in range(60):
        fleet.fleet.run_for(500)
        assert set(_limits(fleet).values()) == {2}
    assert all(
        parts.table.pages_behind == 0 for parts in fleet.parts_by_id.values()
    )
    for instance_id in tuple(fleet.parts_by_id):
        fleet.fleet.kill(instance_id)
    fresh = fleet.start("zone-a")
    fleet.fleet.run_for(START_MS)
    assert _limits(fleet)[fresh] == 2


def test_an_edit_on_a_restored_service_is_based_on_what_is_in_force(fleet):
    _edit(fleet, "zone-a-1", 1, expected=0, edit_id="e1")
    fleet.fleet.run_for(2_000)
    service = fleet.fleet.service
    backup = copy.deepcopy(service.by_key)
    _edit(fleet, "zone-a-1", 2, expected=1, edit_id="e2")
    fleet.fleet.run_for(2_000)
    service.by_key = backup
    _edit(fleet, "zone-b-2", 3, expected=1, edit_id="e3")
    _edit(fleet, "zone-c-3", 4, expected=2, edit_id="e4")
    fleet.fleet.run_for(5_000)
    assert isinstance(_outcome(fleet, "e3"), messages.Refused)
    assert isinstance(_outcome(fleet, "e4"), messages.Accepted)
    assert set(_limits(fleet).values()) == {4}


def test_a_paused_instance_does_not_bring_old_rows_back(fleet):
    _edit(fleet, "zone-a-1", 1, expected=0, edit_id="e1")
    fleet.fleet.run_for(2_000)
    fleet.fleet.pause("zone-b-2")
    _edit(fleet, "zone-a-1", 2, expected=1, edit_id="e2")
    fleet.fleet.run_for(60_000)
    fleet.fleet.wake("zone-b-2")
    for _ in range(22):
        fleet.fleet.run_for(500)
        others = {k: v for k, v in _limits(fleet).items() if k != "zone-b-2"}
        assert set(others.values()) == {2}
    assert _limits(fleet)["zone-b-2"] == 2


def test_a_deleted_row_stays_deleted_and_can_be_made_again(fleet):
    _edit(fleet, "zone-a-1", 1, expected=0, edit_id="e1")
    fleet.fleet.run_for(2_000)
    fleet.edit(
        "zone-b-2",
        messages.delete_row(
            LIMIT,
            expected_version=1,
            edit_id=identifiers.EditId("e2"),
            edited_by="ben",
            deadline_ms=fleet.fleet.now_ms + EDIT_DEADLINE_MS,
        ),
    )
    fleet.fleet.run_for(2_000)
    assert set(_limits(fleet).values()) == {None}
    _edit(fleet, "zone-c-3", 9, expected=0, edit_id="e3")
    fleet.fleet.run_for(2_000)
    assert _outcome(fleet, "e3") == messages.Accepted(row_key=LIMIT, version=3)
    assert set(_limits(fleet).values()) == {9}


def test_a_batch_answers_each_row_and_needs_one_write_a_page(fleet):
    writes_before = fleet.fleet.service.writes
    batch = messages.EditRows(
        edit_id=identifiers.EditId("import"),
        edited_by="ana",
        changes=tuple(
            messages.RowChange(
                row_key=f"limit/t{index}/*/*",
                expected_version=1 if index == 7 else 0,
                row=rows.LimitRow(
                    team_id=f"t{index}", spend_limit_tokens=index
                ),
            )
            for index in range(200)
        ),
        deadline_ms=fleet.fleet.now_ms + EDIT_DEADLINE_MS,
    )
    fleet.edit("zone-a-1", batch)
    fleet.fleet.run_for(4_000)
    outcomes = fleet.answer_by_edit_id["import"].outcomes
    refused = [o for o in outcomes if isinstance(o, messages.Refused)]
    assert len(outcomes) == 200
    assert [each.row_key for each in refused] == ["limit/t7/*/*"]
    assert fleet.fleet.service.writes - writes_before == 4
    for parts in fleet.parts_by_id.values():
        assert len(list(parts.table.of_type(rows.LimitRow))) == 199
