"""The oracle of the fuzzing finds deliberate faults of the product."""

from __future__ import annotations

import pytest

from bambooglade.budgets.tests import faults
from bambooglade_standins.virtual import fuzz_machine
from bambooglade_standins.virtual import oracle

SEEDS = (6, 7, 0, 1, 2, 3, 4, 5)

# Fault, and what the oracle has to say of it.
CASES = [
    (faults.settlement_not_idempotent, "spent of"),
    (faults.evicted_claim_run_again, "no answer|ran for calls"),
    (faults.opened_rights_taken_as_free, "spent of"),
    (faults.lost_copies_taken_as_free, "spent of"),
    (faults.nothing_waits_for_the_backup, "spent of"),
    (faults.second_bill_not_voided, "was billed 2 times"),
]


@pytest.mark.parametrize(("fault", "says"), CASES)
def test_the_oracle_finds_a_deliberate_fault(monkeypatch, fault, says):
    fault(monkeypatch)
    with pytest.raises(oracle.BrokenError, match=says):
        for seed in SEEDS:
            fuzz_machine.run(
                seed=seed,
                examples=30,
                steps=8,
                shrink=False,
                machine=fuzz_machine.ScenarioMachine,
            )
