"""Tests for `bambooglade.rights.stock_policy`."""

from __future__ import annotations

import itertools

import pytest

from bambooglade.rights import stock_policy


def stock(available, free, outage, *, largest=10, homes=4):
    return stock_policy.Stock(
        available_tokens=available,
        free_tokens=free,
        outage_demand_tokens=outage,
        largest_request_tokens=largest,
        home_count=homes,
    )


@pytest.mark.parametrize(
    ("available", "free", "outage", "desired"),
    [
        pytest.param(
            0, 40_000, 900, 2_000, id="plentiful budget: minimum share"
        ),
        pytest.param(
            0, 12_000, 900, 900, id="plentiful budget: covers an outage"
        ),
        pytest.param(0, 8_000, 900, 750, id="barely plentiful budget: bounded"),
        pytest.param(0, 4_000, 900, 170, id="scarce budget: little is at risk"),
        pytest.param(
            500, 2_000, 900, 170, id="own stock counts towards the share"
        ),
        pytest.param(0, 8_000, 0, 400, id="no demand"),
        pytest.param(0, 0, 900, 0, id="exhausted budget"),
    ],
)
def test_desired_stock_depends_on_budget_and_demand(
    available, free, outage, desired
):
    assert stock(available, free, outage).desired_tokens == desired


def test_returning_surplus_does_not_change_desired_stock():
    before = stock(1_000, 1_000, 900)
    surplus = before.surplus_tokens
    assert surplus > 0
    after = stock(1_000 - surplus, 1_000 + 4 * surplus, 900)
    assert after.desired_tokens == pytest.approx(before.desired_tokens, abs=1)


def test_desired_stock_shrinks_steadily_as_budget_runs_out():
    desired = [
        stock(0, free, 900).desired_tokens for free in range(8_000, 0, -200)
    ]
    steps = [before - after for before, after in itertools.pairwise(desired)]
    assert all(0 <= step <= 60 for step in steps)


@pytest.mark.parametrize(
    ("available", "free", "needed", "largest", "surplus"),
    [
        pytest.param(1_300, 12_000, 0, 10, 0, id="below the threshold"),
        pytest.param(
            2_000, 12_000, 0, 10, 1_000, id="above the threshold after a burst"
        ),
        pytest.param(
            2_000, 12_000, 1_900, 10, 0, id="needed by a waiting request"
        ),
        pytest.param(
            30, 0, 0, 100, 0, id="too small to help through the ledger"
        ),
    ],
)
def test_surplus_is_returned_only_where_useful(
    available, free, needed, largest, surplus
):
    evaluated = stock(available, free, 1_000, largest=largest)
    assert evaluated.surplus_beyond(needed) == surplus


@pytest.mark.parametrize(
    ("available_tokens", "is_low", "can_be_refilled"),
    [(250, True, True), (265, False, True), (295, False, False)],
)
def test_stock_is_refilled_earlier_by_a_write_for_another_team(
    available_tokens, is_low, can_be_refilled
):
    """Guards against one write for each stock of a home."""
    stock = stock_policy.Stock(
        available_tokens=available_tokens,
        free_tokens=3_600,
        outage_demand_tokens=300,
        largest_request_tokens=20,
        home_count=4,
    )
    assert stock.desired_tokens == 300
    assert (stock.is_low, stock.can_be_refilled) == (is_low, can_be_refilled)
