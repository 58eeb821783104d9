"""A short run of the soak, with seeds that are kept."""

from __future__ import annotations

import pytest

from bambooglade_standins.users_platform import soak

CI_DURATION_MS = 6_000


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_under_faults(seed):
    statuses = soak.Soak(seed).run(CI_DURATION_MS)
    assert statuses[200] > 50
