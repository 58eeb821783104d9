"""A home that serves most of a team's demand holds a stock for an outage."""

from __future__ import annotations

import pytest

from bambooglade.rights import demand_share
from bambooglade.rights import stock_policy

HOME_COUNT = 4
PREPAID_TOKENS = 12_000_000
TOKENS_PER_MS = 400
OUTAGE_MS = 8_000


def _stocks_after_10_s(parts: list[float]) -> list[int]:
    """Returns the stocks of homes that serve these parts of the demand."""
    growth = demand_share.LedgerGrowth()
    for second in range(11):
        growth.record(TOKENS_PER_MS * 1_000 * second, now_ms=second * 1_000)
    fleet_tokens = growth.expected_tokens(9_000, now_ms=10_000)
    free_tokens = PREPAID_TOKENS - TOKENS_PER_MS * 10_000
    return [
        stock_policy.Stock(
            available_tokens=0,
            free_tokens=free_tokens,
            outage_demand_tokens=part * TOKENS_PER_MS * 9_000,
            largest_request_tokens=60_000,
            home_count=HOME_COUNT,
            home_share=demand_share.home_share(
                own_tokens=part * TOKENS_PER_MS * 9_000,
                fleet_tokens=fleet_tokens,
                home_count=HOME_COUNT,
            ),
        ).desired_tokens
        for part in parts
    ]


def test_home_of_one_busy_zone_covers_most_of_an_outage():
    busy, *idle = _stocks_after_10_s([0.94, 0.02, 0.02, 0.02])
    assert busy >= 0.5 * TOKENS_PER_MS * OUTAGE_MS
    assert busy + sum(idle) >= 0.75 * TOKENS_PER_MS * OUTAGE_MS


def test_equal_demand_leaves_equal_parts():
    stocks = _stocks_after_10_s([0.25, 0.3, 0.2, 0.25])
    equal = stock_policy.Stock(
        available_tokens=0,
        free_tokens=PREPAID_TOKENS - TOKENS_PER_MS * 10_000,
        outage_demand_tokens=0.25 * TOKENS_PER_MS * 9_000,
        largest_request_tokens=60_000,
        home_count=HOME_COUNT,
    )
    assert stocks[0] == equal.desired_tokens


@pytest.mark.parametrize(
    "parts", [[1.0, 0, 0, 0], [0.5, 0.5, 0, 0], [0.4, 0.4, 0.1, 0.1]]
)
def test_a_kill_of_all_homes_costs_a_bounded_part_of_what_is_left(parts):
    # One home with all of the demand, and the least stock at the others.
    idle_part = stock_policy.MIN_STOCK_SHARE * (HOME_COUNT - 1) / HOME_COUNT
    bound = stock_policy.MAX_STOCK_SHARE + idle_part
    free_tokens = PREPAID_TOKENS - TOKENS_PER_MS * 10_000
    assert sum(_stocks_after_10_s(parts)) <= bound * free_tokens


@pytest.mark.parametrize("interval_ms", [250, 1_000, 4_000])
def test_growth_is_estimated_from_reads_of_any_spacing(interval_ms):
    growth = demand_share.LedgerGrowth()
    for now_ms in range(0, 40_001, interval_ms):
        growth.record(TOKENS_PER_MS * now_ms, now_ms=now_ms)
    expected = growth.expected_tokens(9_000, now_ms=40_000)
    assert expected == pytest.approx(TOKENS_PER_MS * 9_000, rel=0.15)


def test_growth_fades_while_nothing_is_drawn():
    growth = demand_share.LedgerGrowth()
    growth.record(0, now_ms=0)
    growth.record(1_000_000, now_ms=1_000)
    before = growth.expected_tokens(9_000, now_ms=1_000)
    assert growth.expected_tokens(9_000, now_ms=17_000) < 0.5 * before
