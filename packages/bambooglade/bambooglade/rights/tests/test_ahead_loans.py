"""A busy instance does not ask for a loan for each of its requests."""

from __future__ import annotations

import pytest

from bambooglade.rights import account as account_lib

REQUEST_TOKENS = 8_000
STOCK_TOKENS = 4_000_000


def _play(requests_per_s: int, *, stock_tokens: int) -> tuple[int, int, int]:
    """Returns the loans, the requests and the tokens that are left over."""
    lender, borrower = account_lib.Account(), account_lib.Account()
    lender.record_granted_total(stock_tokens)
    loans = served = 0
    for number in range(5 * requests_per_s):
        now_ms = number * 1_000 // requests_per_s
        missing = REQUEST_TOKENS - borrower.available_tokens
        if missing > 0:
            loans += 1
            lent = lender.lend(missing, now_ms=now_ms, counts_as_demand=True)
            if lent == missing:
                lent += lender.lend_ahead(
                    borrower.ahead_tokens(now_ms=now_ms),
                    now_ms=now_ms,
                    counts_as_demand=True,
                )
            borrower.borrow(lent)
        if borrower.reserve(f"r{number}", REQUEST_TOKENS, now_ms=now_ms):
            served += 1
            borrower.settle(f"r{number}", REQUEST_TOKENS)
    return loans, served, borrower.available_tokens


def test_busy_instance_borrows_for_several_requests():
    loans, served, left_tokens = _play(100, stock_tokens=STOCK_TOKENS)
    assert served == 500
    assert loans <= 0.2 * served
    assert left_tokens <= 100 * REQUEST_TOKENS * (
        account_lib.AHEAD_HORIZON_MS / 1_000
    )


def test_instance_with_few_requests_holds_nothing_ahead():
    loans, served, left_tokens = _play(3, stock_tokens=STOCK_TOKENS)
    assert (loans, left_tokens) == (served, 0)


@pytest.mark.parametrize("stock_tokens", [8_000, 80_000, 400_000])
def test_lender_that_is_short_keeps_rights_for_requests_that_wait(stock_tokens):
    _, served, left_tokens = _play(100, stock_tokens=stock_tokens)
    assert served == stock_tokens // REQUEST_TOKENS
    assert left_tokens < REQUEST_TOKENS


def test_loans_ahead_count_as_demand_of_the_lender():
    lender = account_lib.Account()
    lender.record_granted_total(STOCK_TOKENS)
    lender.lend_ahead(100_000, now_ms=1_000, counts_as_demand=True)
    assert lender.outage_demand_tokens(now_ms=1_000, home_count=4) >= 100_000
