"""The oracle of the fuzzing finds deliberate faults of the product."""

from __future__ import annotations

import pytest

from bambooglade.budgets.tests import faults
from bambooglade_standins.virtual import fuzz_machine
from bambooglade_standins.virtual import oracle

SEEDS = range(8)
EXAMPLES = 50
STEPS = 25

# Fault, the first seed to try, and what the oracle has to say of it.
CASES = [
    (faults.no_epoch_check_on_promotion, 2, "spent of"),
    (faults.settlement_not_idempotent, 0, "spent of"),
    (faults.lost_answer_taken_for_success, 2, "spent of|not in force"),
    (faults.evicted_claim_run_again, 3, "ran for calls"),
    (faults.opened_rights_taken_as_free, 0, "spent of"),
    (faults.lost_copies_taken_as_free, 0, "spent of"),
    (faults.nothing_waits_for_the_backup, 1, "spent of"),
    (faults.final_report_frees_what_is_open, 3, "spent of"),
    (faults.second_bill_not_voided, 0, "was billed 2 times"),
]


@pytest.mark.parametrize(("fault", "first", "says"), CASES)
def test_the_oracle_finds_a_deliberate_fault(monkeypatch, fault, first, says):
    fault(monkeypatch)
    with pytest.raises(oracle.BrokenError, match=says):
        for seed in SEEDS:
            fuzz_machine.run(
                seed=(first + seed) % len(SEEDS),
                examples=EXAMPLES,
                steps=STEPS,
                shrink=False,
            )
