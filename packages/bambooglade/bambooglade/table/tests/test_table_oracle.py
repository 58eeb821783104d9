"""Shows that the oracle of the table's fuzzing can fail.

Each deliberate fault is found by a short fixed run of the same machine.
"""

from __future__ import annotations

import pytest
import result

from bambooglade.core import effects
from bambooglade.table import editor
from bambooglade.table import page_draft
from bambooglade.table import pages
from bambooglade.table.tests import test_table_fuzz
from bambooglade_standins.virtual import service


def _install_whatever_arrives(monkeypatch):
    monkeypatch.setattr(pages, "merge", lambda known, arrived: arrived)


def _ignore_versions(monkeypatch):
    monkeypatch.setattr(
        page_draft, "_check_version", lambda change, known: result.Ok(None)
    )


def _accept_without_an_answer(monkeypatch):
    def applied(self, answer, page, work, now_ms):
        confirmed = effects.WriteApplied(key=answer.key, revision=0)
        yield from dispatch(confirmed).__get__(self)(
            confirmed, page, work, now_ms
        )

    table = editor.Editor.__dict__["_apply_response"].dispatcher
    dispatch = lambda answer: table.dispatch(type(answer))  # noqa: E731
    original = table.dispatch(effects.WriteUncertain)
    table.register(effects.WriteUncertain, applied)
    return lambda: table.register(effects.WriteUncertain, original)


def _write_without_comparing(monkeypatch):
    def write(self, request):
        self._revision += 1
        self.by_key[request.key] = service.StoredValue(
            self._revision, request.value
        )
        return effects.WriteApplied(key=request.key, revision=self._revision)

    monkeypatch.setattr(service.VirtualService, "write", write)


def _refuse_as_unreached_what_may_be_written(monkeypatch):
    late = editor._expired_outcome
    monkeypatch.setattr(
        editor,
        "_expired_outcome",
        lambda row_key, unsure: late(row_key, unsure=False),
    )


def _run(machine):
    """Lost answers, races, a pause and a restore, in a fixed order."""
    for number in range(3):
        machine.edit(index=number, team="t1", stale=False)
        machine.edit(index=number + 1, team="t1", stale=False)
        machine.wait(400)
        _check(machine)
    machine.edit(index=0, team="t2", stale=False)
    machine.wait(5)
    machine.disturb_service(lost=1.0, down=False, latency_ms=2)
    machine.wait(9_000)
    machine.disturb_service(lost=0.0, down=False, latency_ms=2)
    _check(machine)
    machine.cut(one="zone-b", other="zone-a")
    machine.cut(one="zone-b", other="zone-c")
    machine.edit(index=1, team="t3", stale=False)
    machine.wait(5)
    machine.disturb_service(lost=0.0, down=True, latency_ms=2)
    machine.wait(2_000)
    _check(machine)
    machine.replace(index=1, zone="zone-b")
    machine.wait(9_000)
    _check(machine)
    machine.restore_the_service(age=2)
    machine.wait(9_000)
    _check(machine)
    machine.edit(index=2, team="t1", stale=True)
    machine.wait(2_000)
    _check(machine)
    machine.teardown()


def _check(machine):
    machine.an_accepted_edit_follows_the_version_it_was_based_on()
    machine.no_two_accepted_edits_share_a_version()


def test_the_run_passes_without_a_fault():
    _run(test_table_fuzz.TableMachine())


@pytest.mark.parametrize(
    "fault",
    [
        _install_whatever_arrives,
        _ignore_versions,
        _accept_without_an_answer,
        _write_without_comparing,
        _refuse_as_unreached_what_may_be_written,
    ],
)
def test_a_deliberate_fault_is_found(fault, monkeypatch):
    undo = fault(monkeypatch)
    try:
        with pytest.raises(AssertionError):
            _run(test_table_fuzz.TableMachine())
    finally:
        if undo is not None:
            undo()
