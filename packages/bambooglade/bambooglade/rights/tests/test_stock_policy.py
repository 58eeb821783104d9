"""Tests of `bambooglade.rights.stock_policy`."""

from __future__ import annotations

import itertools

import pytest

from bambooglade.rights import stock_policy


def stock(available, free, outage, *, largest=10, homes=4):
    return stock_policy.Stock(
        available_tokens=available,
        free_tokens=free,
        outage_tokens=outage,
        largest_tokens=largest,
        home_count=homes,
    )


@pytest.mark.parametrize(
    ("available", "free", "outage", "wanted"),
    [
        pytest.param(0, 40_000, 900, 2_000, id="plenty: the least share"),
        pytest.param(0, 12_000, 900, 900, id="covers an outage"),
        pytest.param(0, 8_000, 900, 750, id="bounded while just plentiful"),
        pytest.param(0, 4_000, 900, 170, id="scarce: little is at risk"),
        pytest.param(500, 2_000, 900, 170, id="the own stock counts as left"),
        pytest.param(0, 8_000, 0, 400, id="without demand"),
        pytest.param(0, 0, 900, 0, id="used up"),
    ],
)
def test_wanted_stock(available, free, outage, wanted):
    assert stock(available, free, outage).wanted_tokens == wanted


def test_what_is_wanted_does_not_change_by_giving_back():
    before = stock(1_000, 1_000, 900)
    surplus = before.surplus_tokens
    assert surplus > 0
    after = stock(1_000 - surplus, 1_000 + 4 * surplus, 900)
    assert after.wanted_tokens == pytest.approx(before.wanted_tokens, abs=1)


def test_a_zone_that_gets_scarce_shrinks_its_stock_steadily():
    wanted = [
        stock(0, free, 900).wanted_tokens for free in range(8_000, 0, -200)
    ]
    steps = [before - after for before, after in itertools.pairwise(wanted)]
    assert all(0 <= step <= 60 for step in steps)


@pytest.mark.parametrize(
    ("available", "free", "needed", "largest", "surplus"),
    [
        pytest.param(1_300, 12_000, 0, 10, 0, id="within the margin"),
        pytest.param(2_000, 12_000, 0, 10, 1_000, id="after a burst"),
        pytest.param(2_000, 12_000, 1_900, 10, 0, id="a request waits"),
        pytest.param(30, 0, 0, 100, 0, id="of no use in the ledger"),
    ],
)
def test_surplus(available, free, needed, largest, surplus):
    judged = stock(available, free, 1_000, largest=largest)
    assert judged.surplus_beyond(needed) == surplus
