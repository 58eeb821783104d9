"""Holds the spreading of edits to the stated targets."""

from __future__ import annotations

import pytest

from benchmarks import edit_propagation

EDITS = 3
SEED = 11


@pytest.mark.parametrize("case", list(edit_propagation.Case))
def test_an_accepted_edit_is_in_force_within_the_target(case):
    measured = edit_propagation.measure(case, seed=SEED, edits=EDITS)
    calm = case is edit_propagation.Case.CALM
    target_ms = (
        edit_propagation.TARGET_CALM_MS if calm else edit_propagation.TARGET_MS
    )
    assert measured.missing == 0
    assert max(measured.times_ms) <= target_ms
