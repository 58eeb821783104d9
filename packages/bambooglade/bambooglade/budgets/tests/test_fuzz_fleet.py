"""Stateful fuzzing of a simulated fleet with fixed seeds.

A longer run: `make fuzz SEED=7 EXAMPLES=2000 STEPS=80`.
"""

from __future__ import annotations

import pytest

from bambooglade_standins.virtual import fuzz_machine


@pytest.mark.parametrize("seed", range(6))
def test_invariants_hold_under_combined_faults(seed):
    fuzz_machine.run(seed=seed, examples=15, steps=25, shrink=False)


@pytest.mark.parametrize("seed", range(2))
def test_invariants_hold_in_scenarios(seed):
    fuzz_machine.run(
        seed=seed,
        examples=20,
        steps=8,
        shrink=False,
        machine=fuzz_machine.ScenarioMachine,
    )
