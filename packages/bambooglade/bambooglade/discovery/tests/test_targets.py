"""Tests of the entries of targets."""

from __future__ import annotations

import pytest

from bambooglade.discovery import targets as targets_lib


def make_target(cold_remaining_ms: int) -> targets_lib.RegisteredTarget:
    return targets_lib.RegisteredTarget(
        target_id="e1",
        service="s",
        address=("10.0.0.1", 80),
        availability_zone="zone-a",
        slots=4,
        cold_remaining_ms=cold_remaining_ms,
    )


# Guards against members of a relay that take a target for warm which has become
# cold again: a relay passes on only entries that are not equivalent.
@pytest.mark.parametrize(
    ("before_ms", "after_ms", "is_equivalent"),
    [
        (0, 0, True),
        (3_000, 2_000, True),
        (3_000, 0, False),
        (0, 3_000, False),
        (1_000, 3_000, False),
        (3_000, 3_000, False),
    ],
)
def test_entry_that_is_cold_for_longer_is_a_change(
    before_ms, after_ms, is_equivalent
):
    before, after = make_target(before_ms), make_target(after_ms)
    assert after.is_equivalent_to(before) is is_equivalent
    assert not after.is_equivalent_to(None)
