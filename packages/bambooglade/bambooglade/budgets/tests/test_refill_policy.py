"""Who gets the last rights of a budget, when several zones lack some."""

from __future__ import annotations

import pytest

from bambooglade.budgets import account as accounts
from bambooglade.budgets import refill_policy


def _situation(**changes):
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
def test_rights_that_serve_nobody_stay_free(
    waiting, unused, smallest_shortfall, free, granted
):
    situation = _situation(
        waiting=waiting,
        unused=unused,
        smallest_shortfall=smallest_shortfall,
        free=free,
    )
    assert refill_policy.grant(situation) == granted


@pytest.mark.parametrize("unused_here", [100, 900])
@pytest.mark.parametrize("unused_there", [100, 900, 1_400])
def test_two_zones_that_lack_rights_never_give_to_each_other(
    unused_here, unused_there
):
    bound = 1_500
    least_here, least_there = bound - unused_here, bound - unused_there
    there_first = (least_there, "there") < (least_here, "here")
    given = refill_policy.surplus(
        unused=unused_here,
        waiting=bound,
        wanted=least_there,
        has_precedence=there_first,
    )
    taken = refill_policy.surplus(
        unused=unused_there,
        waiting=bound,
        wanted=least_here,
        has_precedence=not there_first,
    )
    assert (given > 0) != (taken > 0)


@pytest.mark.parametrize(
    ("demand_share", "target"),
    [(None, 250), (0.25, 250), (0.0, 75), (1.0, 775)],
)
def test_reserve_follows_what_the_zones_spent(demand_share, target):
    situation = _situation(
        remaining=1_000, reserve_share=1.0, demand_share=demand_share
    )
    assert refill_policy.desired_unused(situation) == target


def test_lowered_mark_replaces_a_raise_on_its_way():
    """Rights above the acknowledged mark must not stay closed for good."""
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
