"""Tests of the commands against an in-memory instance over HTTP."""

from __future__ import annotations

from collections.abc import Iterator
import json
import pathlib

import msgspec
import pytest

from bambooglade.router import operator_messages as messages
from bambooglade.router import trace
from bambooglade.table import rows
from bambooglade_ctl import client
from bambooglade_ctl import connection
from bambooglade_ctl import main
from bambooglade_ctl import outcomes
from bambooglade_ctl.tests import memory_instance

_TEAM = rows.TeamRow(team_id="hall-3", key_hash="$argon2id$hidden")


@pytest.fixture(name="port")
def fixture_port() -> memory_instance.MemoryPort:
    return memory_instance.MemoryPort()


@pytest.fixture(name="url", autouse=True)
def fixture_url(
    port: memory_instance.MemoryPort, monkeypatch: pytest.MonkeyPatch
) -> Iterator[str]:
    with memory_instance.serve(port) as url:
        monkeypatch.setenv(connection.URL_VARIABLE, url)
        monkeypatch.setenv(
            connection.KEY_VARIABLE, memory_instance.BOOTSTRAP_KEY
        )
        yield url


class _CommandRunner:
    """Runs commands, and captures their output."""

    def __init__(self, capsys: pytest.CaptureFixture) -> None:
        self._capsys = capsys
        self.out = ""
        self.err = ""

    def __call__(self, *arguments: str) -> outcomes.ExitCode:
        code = main.run(arguments)
        self.out, self.err = self._capsys.readouterr()
        return code


@pytest.fixture(name="run")
def fixture_run(capsys: pytest.CaptureFixture) -> _CommandRunner:
    return _CommandRunner(capsys)


@pytest.fixture(autouse=True)
def _shorten_request_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reduces the wait for a dropped response from 12 s to 3 s."""
    monkeypatch.setattr(client, "REQUEST_TIMEOUT_MS", 3_000)


def test_team_is_created_and_topped_up_once(
    run: _CommandRunner, port: memory_instance.MemoryPort
) -> None:
    assert run("teams", "create", "7", "--tokens", "500", "--json") == 0
    shown = json.loads(run.out)
    assert shown["key"].startswith("bg_7_")
    assert shown["prepaid_tokens"] == 500
    assert shown["key"].rpartition("_")[2] not in repr(port.rows_by_key)
    for _ in range(2):
        assert run("budgets", "top-up", "7", "20", "--edit-id", "e1") == 0
    assert port.prepaid_by_id == {"team/7": 520}


def test_lost_response_is_retried_with_the_same_edit_id(
    run: _CommandRunner, port: memory_instance.MemoryPort
) -> None:
    port.responses_to_drop = 2
    assert run("budgets", "top-up", "hall-3", "20") == 0
    assert port.prepaid_by_id == {"team/hall-3": 20}


def test_uncertain_change_prints_the_edit_id_for_a_retry(
    run: _CommandRunner, port: memory_instance.MemoryPort
) -> None:
    port.responses_to_drop = 100
    code = run("budgets", "top-up", "hall-3", "20", "--json")
    assert code is outcomes.ExitCode.UNCERTAIN
    edit_id = json.loads(run.err)["edit_id"]
    port.responses_to_drop = 0
    assert run("budgets", "top-up", "hall-3", "20", "--edit-id", edit_id) == 0
    assert port.prepaid_by_id == {"team/hall-3": 20}


def test_repeated_creation_does_not_print_a_key_that_is_not_in_force(
    run: _CommandRunner,
) -> None:
    assert run("teams", "create", "hall-3", "--edit-id", "e1") == 0
    code = run("teams", "create", "hall-3", "--edit-id", "e1")
    assert code is outcomes.ExitCode.CONFLICT
    assert "bg_" not in run.out + run.err


def test_rotation_retains_the_previous_key_until_it_is_ended(
    run: _CommandRunner, port: memory_instance.MemoryPort
) -> None:
    port.put(_TEAM, _TEAM.row_key, 4, "ana")
    assert run("teams", "rotate-key", "hall-3") == 0
    rotated = port.rows_by_key[_TEAM.row_key].row
    assert rotated.previous_key_hash == _TEAM.key_hash != rotated.key_hash
    assert run("teams", "rotate-key", "hall-3", "--end-previous") == 0
    ended = port.rows_by_key[_TEAM.row_key].row
    assert ended.previous_key_hash is None
    assert ended.key_hash == rotated.key_hash


@pytest.mark.parametrize("form", ["csv", "toml"])
def test_zone_is_excluded_and_made_active_again(
    run: _CommandRunner,
    port: memory_instance.MemoryPort,
    tmp_path: pathlib.Path,
    form: str,
) -> None:
    """Guards against a state that commands or sheets can't set."""
    assert run("rows", "set", "zone/scot-a", "state=excluded") == 0
    excluded = port.rows_by_key["zone/scot-a"].row
    assert excluded.state is rows.RoutingState.EXCLUDED
    assert run("rows", "export", "--form", form) == 0
    path = tmp_path / f"rows.{form}"
    path.write_text(run.out.replace("excluded", "active"))
    assert run("rows", "import", str(path)) == 0
    active = port.rows_by_key["zone/scot-a"].row
    assert active.state is rows.RoutingState.ACTIVE
    assert run("rows", "set", "zone/scot-a", "state=off") != 0


def test_conflict_reports_the_other_edit_and_its_author(
    run: _CommandRunner, port: memory_instance.MemoryPort
) -> None:
    port.put(_TEAM, _TEAM.row_key, 1, "ana")
    heavier = msgspec.structs.replace(_TEAM, weight=3.0)
    port.put(heavier, _TEAM.row_key, 2, "ben")
    code = run("rows", "set", "team/hall-3", "enabled=false", "--version", "1")
    assert code is outcomes.ExitCode.CONFLICT
    assert "version 2, edited by ben" in run.err
    assert port.rows_by_key[_TEAM.row_key].row == heavier
    assert run("rows", "set", "team/hall-3", "enabled=false") == 0
    assert port.rows_by_key[_TEAM.row_key].row == msgspec.structs.replace(
        heavier, enabled=False
    )


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (("rows", "get", "team/none"), outcomes.ExitCode.REFUSED),
        (("rows", "set", "team/x", "wait=2"), outcomes.ExitCode.REFUSED),
        (("rows", "set", "team/x", "weight"), outcomes.ExitCode.REFUSED),
        (("rows", "set", "teem/x", "weight=2"), outcomes.ExitCode.REFUSED),
        (("rows", "import", "/nonexistent"), outcomes.ExitCode.REFUSED),
        (("rows", "delete", "a/b", "--version", "0"), 3),
        (("budgets", "show", "none"), outcomes.ExitCode.REFUSED),
        (("budgets", "top-up", "t", "many"), outcomes.ExitCode.REFUSED),
        (("budgets", "top-up", "t", "-5"), outcomes.ExitCode.REFUSED),
        (("budgets", "top-up", "t", "5", "6", "7"), outcomes.ExitCode.USAGE),
        (("budgets", "top-up", "t", "5", "--edid"), outcomes.ExitCode.USAGE),
        (("operators", "create", "ana", "--role", "root"), 3),
        (("settings", "check", "/nonexistent"), outcomes.ExitCode.REFUSED),
        (("fleet", "--key-file", "/nonexistent"), outcomes.ExitCode.REFUSED),
        (("fleet", "--url", "http://127.0.0.1:1"), 6),
    ],
)
def test_invalid_command_changes_nothing_and_prints_a_remedy(
    run: _CommandRunner,
    port: memory_instance.MemoryPort,
    arguments: tuple[str, ...],
    code: int,
) -> None:
    assert run(*arguments) == code
    assert len(run.err.strip().splitlines()) >= 2
    assert not port.rows_by_key
    assert not port.prepaid_by_id


def test_wrong_key_is_rejected_and_not_printed(
    run: _CommandRunner, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv(connection.KEY_VARIABLE, "bg_bootstrap_wr0ng")
    assert run("fleet") is outcomes.ExitCode.NOT_ALLOWED
    assert "wr0ng" not in run.out + run.err


def test_key_is_read_from_a_file(
    run: _CommandRunner, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv(connection.KEY_VARIABLE)
    path = tmp_path / "key"
    path.write_text(memory_instance.BOOTSTRAP_KEY + "\n")
    assert run("fleet", "--key-file", str(path)) == 0


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (("rows", "list"), "team/hall-3  4        ana"),
        (("rows", "get", "team/hall-3"), "weight=1.0"),
        (("budgets", "show", "hall-3"), "prepaid 90, spent 7"),
        (
            ("budgets", "show", "hall-3"),
            "7      0         3     2         -        now",
        ),
        (("budgets", "release", "hall-3", "scot-a", "3"), "3 tokens"),
        (("shards",), "scot-a  2      i1       -"),
        (("targets",), "e1      pantry-llm  scot-a  ready  1.5"),
        (("--help",), "budgets"),
    ],
)
def test_output_is_printed_as_text_and_as_json(
    run: _CommandRunner,
    port: memory_instance.MemoryPort,
    arguments: tuple[str, ...],
    expected: str,
) -> None:
    port.put(_TEAM, _TEAM.row_key, 4, "ana")
    port.prepaid_by_id["team/hall-3"] = 90
    assert run(*arguments) == 0
    assert expected in run.out + run.err
    assert _TEAM.key_hash not in run.out
    if arguments != ("--help",):
        assert run(*arguments, "--json") == 0
        assert isinstance(json.loads(run.out), dict)


@pytest.mark.parametrize("form", ["csv", "toml"])
def test_exported_sheet_can_be_imported(
    run: _CommandRunner,
    port: memory_instance.MemoryPort,
    tmp_path: pathlib.Path,
    form: str,
) -> None:
    limits = [
        rows.LimitRow(team_id=f"t{number}", spend_limit_tokens=number)
        for number in range(250)
    ]
    for row in (_TEAM, *limits):
        port.put(row, row.row_key, 2, "ana")
    assert run("rows", "export", "--form", form) == 0
    path = tmp_path / f"table.{form}"
    path.write_text(run.out)
    rows_before_import = dict(port.rows_by_key)
    assert run("rows", "import", str(path), "--json") == 0
    assert json.loads(run.out)["unchanged"] == 251
    assert port.rows_by_key == rows_before_import
    port.rows_by_key["limit/t7/*/*"] = messages.VersionedRow(
        row_key="limit/t7/*/*",
        row=rows.LimitRow(team_id="t7", spend_limit_tokens=1),
        version=2,
        edited_by="ben",
        edited_at_ms=0,
    )
    assert run("rows", "import", str(path)) == 0
    assert port.rows_by_key["limit/t7/*/*"].row == limits[7]


def test_import_writes_the_other_rows_if_some_are_stale(
    run: _CommandRunner,
    port: memory_instance.MemoryPort,
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "table.csv"
    path.write_text(
        "type,version,team_id,key_hash,weight\n"
        "team,,new,h,2\n"
        "team,1,hall-3,h,2\n"
    )
    port.put(_TEAM, _TEAM.row_key, 4, "ana")
    code = run("rows", "import", str(path), "--edit-id", "e1", "--json")
    assert code is outcomes.ExitCode.PARTIAL
    imported = json.loads(run.out)
    assert imported["accepted"] == 1
    assert imported["refused"][0]["row_key"] == "team/hall-3"
    assert port.rows_by_key[_TEAM.row_key].row == _TEAM
    assert "2 of 2 rows" in run.err


@pytest.mark.parametrize(
    "text",
    [
        "type,team_id,key_hash\nteam,t,h,extra\n",
        "type,team_id,key_hash\nteam,t,h\nteem,t,h\n",
        "type,team_id,key_hash,weight\nteam,t,h,heavy\n",
    ],
)
def test_sheet_with_an_invalid_row_is_refused_entirely(
    run: _CommandRunner,
    port: memory_instance.MemoryPort,
    tmp_path: pathlib.Path,
    text: str,
) -> None:
    path = tmp_path / "table.csv"
    path.write_text(text)
    assert run("rows", "import", str(path)) is outcomes.ExitCode.REFUSED
    assert "line " in run.err
    assert not port.rows_by_key


def test_explanation_is_gathered_from_all_instances(
    run: _CommandRunner, port: memory_instance.MemoryPort, url: str
) -> None:
    other = memory_instance.MemoryPort()
    other.instance_id = "i2"
    bill = trace.RequestBilled(at_ms=9, instance_id="i1", spent_tokens=5)
    claim = trace.KeyClaimed(
        at_ms=4, instance_id="i2", arbiter_zone="scot-b", outcome="claimed"
    )
    port.decisions = (bill,)
    other.decisions = (claim,)
    with memory_instance.serve(other) as other_url:
        port.instances = tuple(
            memory_instance.alive_instance(name, instance_url)
            for name, instance_url in (
                ("i1", url),
                ("i2", other_url),
                ("i3", "http://127.0.0.1:1"),
            )
        )
        assert run("explain", "k1") == 0
    lines = run.out.splitlines()
    assert "claim at scot-b: claimed" in lines[0]
    assert "billed 5 tokens" in lines[1]
    assert "i3 (no answer)" in run.out
