"""Tests that the oracle of the table fuzz test detects faults.

A short, fixed run of the same state machine has to fail for each fault that is
injected into the implementation.
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


def _install_without_merging(monkeypatch):
    monkeypatch.setattr(pages, "merge", lambda left, right: right)


def _skip_version_check(monkeypatch):
    monkeypatch.setattr(
        page_draft, "_check_version", lambda change, current: result.Ok(None)
    )


def _treat_uncertain_write_as_applied(monkeypatch):
    def applied(self, response, page, state, now_ms):
        confirmed = effects.WriteApplied(key=response.key, revision=0)
        yield from dispatch(confirmed).__get__(self)(
            confirmed, page, state, now_ms
        )

    dispatcher = editor.Editor.__dict__["_apply_response"].dispatcher
    dispatch = lambda response: dispatcher.dispatch(type(response))  # noqa: E731
    original = dispatcher.dispatch(effects.WriteUncertain)
    dispatcher.register(effects.WriteUncertain, applied)
    return lambda: dispatcher.register(effects.WriteUncertain, original)


def _write_without_revision_check(monkeypatch):
    def write(self, request):
        self._revision += 1
        self.by_key[request.key] = service.StoredValue(
            self._revision, request.value
        )
        return effects.WriteApplied(key=request.key, revision=self._revision)

    monkeypatch.setattr(service.VirtualService, "write", write)


def _refuse_edits_with_uncertain_outcome(monkeypatch):
    original = editor._expired_outcome
    monkeypatch.setattr(
        editor,
        "_expired_outcome",
        lambda row_key, is_uncertain: original(row_key, is_uncertain=False),
    )


def _run(machine):
    """Runs races, lost responses, an outage and a restore, in fixed order."""
    for number in range(3):
        machine.edit(index=number, team="t1", stale=False)
        machine.edit(index=number + 1, team="t1", stale=False)
        machine.wait(400)
        _check_invariants(machine)
    machine.edit(index=0, team="t2", stale=False)
    machine.wait(5)
    machine.disturb_service(lost=1.0, down=False, latency_ms=2)
    machine.wait(9_000)
    machine.disturb_service(lost=0.0, down=False, latency_ms=2)
    _check_invariants(machine)
    machine.cut(one="zone-b", other="zone-a")
    machine.cut(one="zone-b", other="zone-c")
    machine.edit(index=1, team="t3", stale=False)
    machine.wait(5)
    machine.disturb_service(lost=0.0, down=True, latency_ms=2)
    machine.wait(2_000)
    _check_invariants(machine)
    machine.replace(index=1, zone="zone-b")
    machine.wait(9_000)
    _check_invariants(machine)
    machine.restore_service(age=2)
    machine.wait(9_000)
    _check_invariants(machine)
    machine.edit(index=2, team="t1", stale=True)
    machine.wait(2_000)
    _check_invariants(machine)
    machine.teardown()


def _check_invariants(machine):
    machine.accepted_edit_increments_its_expected_version()
    machine.accepted_edits_have_distinct_versions()


def test_run_passes_without_a_fault():
    _run(test_table_fuzz.TableMachine())


@pytest.mark.parametrize(
    "fault",
    [
        _install_without_merging,
        _skip_version_check,
        _treat_uncertain_write_as_applied,
        _write_without_revision_check,
        _refuse_edits_with_uncertain_outcome,
    ],
)
def test_injected_fault_is_detected(fault, monkeypatch):
    undo = fault(monkeypatch)
    try:
        with pytest.raises(AssertionError):
            _run(test_table_fuzz.TableMachine())
    finally:
        if undo is not None:
            undo()
