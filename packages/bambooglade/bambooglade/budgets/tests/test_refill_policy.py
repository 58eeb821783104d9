"""Tests of the distribution of scarce rights among zones."""

from __future__ import annotations

import pytest

from bambooglade.budgets import account as accounts
from bambooglade.budgets import refill_policy


def _refill_inputs(**changes):
    values = {
        "waiting": 0,
        "unused": 0,
        "free": 0,
        "remaining": 0,
        "tokens_per_s": 0.0,
        "reserve_share": 0.0,
        "zone_count": 4,
    }
    return refill_policy.RefillInputs(**(values | changes))


@pytest.mark.parametrize(
    ("waiting", "unused", "smallest_shortfall", "free", "granted"),
    [
        (1_500, 0, 1_500, 1_600, 1_500),
        (1_500, 0, 1_500, 1_499, 0),
        (1_500, 900, 600, 600, 600),
        (1_505, 0, 5, 600, 600),
    ],
)
def test_rights_insufficient_for_every_request_stay_free(
    waiting, unused, smallest_shortfall, free, granted
):
    inputs = _refill_inputs(
        waiting=waiting,
        unused=unused,
        smallest_shortfall=smallest_shortfall,
        free=free,
    )
    assert refill_policy.grant(inputs) == granted


@pytest.mark.parametrize("unused_here", [100, 900])
@pytest.mark.parametrize("unused_there", [100, 900, 1_400])
def test_only_one_of_two_zones_with_shortfall_returns_rights(
    unused_here, unused_there
):
    bound = 1_500
    least_here, least_there = bound - unused_here, bound - unused_there
    other_first = (least_there, "there") < (least_here, "here")
    returned_here = refill_policy.surplus(
        unused=unused_here,
        waiting=bound,
        wanted=least_there,
        has_precedence=other_first,
    )
    returned_there = refill_policy.surplus(
        unused=unused_there,
        waiting=bound,
        wanted=least_here,
        has_precedence=not other_first,
    )
    assert (returned_here > 0) != (returned_there > 0)


@pytest.mark.parametrize(
    ("demand_share", "desired"),
    [(None, 250), (0.25, 250), (0.0, 75), (1.0, 775)],
)
def test_reserve_follows_past_spending_of_zones(demand_share, desired):
    inputs = _refill_inputs(
        remaining=1_000, reserve_share=1.0, demand_share=demand_share
    )
    assert refill_policy.desired_unused(inputs) == desired


def test_lowered_limit_replaces_raise_in_flight():
    """Rights below a lowered limit remain usable.

    Guards against an account that ignores the acknowledgement of a raise from
    before the limit was lowered, and then never applies the lowered limit.
    """
    account = accounts.ZoneAccount(budget_id="team/t1", epoch=1)
    account.granted = 1_000
    account.set_backup_required(required=True)
    account.raise_limit(800)
    generation_of_raise = account.generation
    account.lower_limit(300)
    account.acknowledge_raised_limit(800, generation_of_raise)
    assert account.limit == 0
    account.acknowledge_lowered_limit(
        account.proposed_limit, account.generation
    )
    assert (account.limit, account.max_backup_limit) == (300, 300)
