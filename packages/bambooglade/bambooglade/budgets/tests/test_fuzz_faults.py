"""Tests that the fuzzing oracle detects deliberate faults."""

from __future__ import annotations

import pytest

from bambooglade.budgets.tests import faults
from bambooglade_standins.virtual import fuzz_machine
from bambooglade_standins.virtual import oracle

SEEDS = (6, 7, 0, 1, 2, 3, 4, 5)

# Fault, and the pattern of the violation that the oracle reports.
CASES = [
    (faults.settlement_not_idempotent, "spent of"),
    (faults.claim_evicted_too_early, "no answer|ran for calls"),
    (faults.inherited_rights_counted_as_free, "spent of"),
    (faults.uncopied_rights_counted_as_free, "spent of"),
    (faults.effects_released_before_replication, "spent of"),
    (faults.second_bill_not_voided, "was billed 2 times"),
]


@pytest.mark.parametrize(("fault", "violation"), CASES)
def test_oracle_detects_deliberate_fault(monkeypatch, fault, violation):
    fault(monkeypatch)
    with pytest.raises(oracle.InvariantError, match=violation):
        for seed in SEEDS:
            fuzz_machine.run(
                seed=seed,
                examples=30,
                steps=8,
                shrink=False,
                machine=fuzz_machine.ScenarioMachine,
            )
