"""The oracle of the fuzzing finds deliberate faults of the product."""

from __future__ import annotations

import pytest

from bambooglade.budgets.tests import faults
from bambooglade_standins.virtual import fuzz_machine
from bambooglade_standins.virtual import oracle

ALL_RULES = (fuzz_machine.FleetMachine, 50, 25)
SCENARIOS = (fuzz_machine.ScenarioMachine, 30, 8)

# Fault, rules, a seed that finds it, and what the oracle has to say of it.
CASES = [
    (faults.no_epoch_check_on_promotion, SCENARIOS, 2, "spent of"),
    (faults.settlement_not_idempotent, SCENARIOS, 2, "spent of"),
    (faults.lost_answer_taken_for_success, ALL_RULES, 1, "not in force"),
    (faults.evicted_claim_run_again, SCENARIOS, 0, "no answer|ran for calls"),
    (faults.opened_rights_taken_as_free, SCENARIOS, 0, "spent of"),
    (faults.lost_copies_taken_as_free, SCENARIOS, 0, "spent of"),
    (faults.nothing_waits_for_the_backup, SCENARIOS, 0, "spent of"),
    (faults.second_bill_not_voided, SCENARIOS, 0, "was billed 2 times"),
]


@pytest.mark.parametrize(("fault", "rules", "seed", "says"), CASES)
def test_the_oracle_finds_a_deliberate_fault(
    monkeypatch, fault, rules, seed, says
):
    machine, examples, steps = rules
    fault(monkeypatch)
    with pytest.raises(oracle.BrokenError, match=says):
        fuzz_machine.run(
            seed=seed,
            examples=examples,
            steps=steps,
            shrink=False,
            machine=machine,
        )
