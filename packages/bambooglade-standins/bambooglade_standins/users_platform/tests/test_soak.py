"""A short run of the soak, with seeds that are kept."""

from __future__ import annotations

import pytest

from bambooglade_standins.users_platform import promises
from bambooglade_standins.users_platform import soak

CI_DURATION_MS = 6_000
FAULT_BOUND_MS = 25_000
"""Time in which a deliberate fault has to be found; it ends the run."""
KEPT_DURATION_MS = 15_000
CAUSE_BY_KEPT_SEED = {
    107: "154 tokens too many; by reading, a prompt was counted for each run",
    110: "96 tokens too many; by reading, events were counted that were lost",
    113: "107,248 of 100,000 tokens used; not traced",
}
"""Seeds that failed once, before the faults came in their present order, with
what is known of the cause."""


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_under_faults(seed):
    statuses = soak.Soak(seed).run(CI_DURATION_MS)
    assert statuses[200] > 50


@pytest.mark.parametrize("seed", CAUSE_BY_KEPT_SEED)
def test_seeds_that_failed_once(seed):
    statuses = soak.Soak(seed).run(KEPT_DURATION_MS)
    assert statuses[200] > 100


@pytest.mark.parametrize(
    "fault",
    [
        "repeat_what_may_not_be_repeated",
        "spend_without_settling",
        "say_of_broken_requests_that_they_did_not_run",
    ],
)
def test_the_soak_finds_a_deliberate_fault(fault):
    with pytest.raises(promises.BrokenPromiseError):
        soak.Soak(7, fault=fault).run(FAULT_BOUND_MS)
