"""Tests of `bambooglade.eventloop.byte_budget`."""

from __future__ import annotations

import pytest

from bambooglade.eventloop import byte_budget


class ManualClock:
    def __init__(self) -> None:
        self.time_ms = 0

    def now_ms(self) -> int:
        return self.time_ms


@pytest.mark.parametrize(
    ("stalled_bytes", "is_stalled_given_up"),
    [(60, True), (40, True), (20, False)],
)
def test_message_that_stands_still_is_given_up_first(
    stalled_bytes, is_stalled_given_up
):
    """Guards against giving up an upload that goes on for one that stopped."""
    clock = ManualClock()
    budget = byte_budget.ByteBudget(100, now_ms=clock.now_ms)
    stalled, active = budget.open(lambda: None), budget.open(lambda: None)
    stalled.resize(stalled_bytes)
    clock.time_ms += byte_budget.STALLED_MS + 1
    active.resize(70)
    active.resize(101 - stalled_bytes if stalled_bytes > 30 else 90)
    assert stalled.is_discarded is is_stalled_given_up
    assert active.is_discarded is not is_stalled_given_up


def test_small_requests_have_room_beside_long_ones():
    """Guards against long requests that shut out all others."""
    budget = byte_budget.ByteBudget(1_000_000)
    long = [budget.open(lambda: None) for _ in range(6)]
    kept = [share.try_keep(100_000) for share in long]
    assert kept == [True] * 5 + [False]
    assert budget.open(lambda: None).try_keep(byte_budget.SMALL_BYTES)
    assert budget.refused_count == 1


def test_lone_request_is_kept_whatever_the_memory():
    """Guards against refusing a request inside the limits in calm."""
    budget = byte_budget.ByteBudget(1_000)
    share = budget.open(lambda: None)
    assert share.try_keep(900)
    share.release()
    assert (budget.held_bytes, budget.kept_bytes) == (0, 0)


@pytest.mark.parametrize(
    ("memory_mb", "limit_bytes"),
    [(300, 45_000_000), (80, 5_400_000), (10, byte_budget.MIN_LIMIT_BYTES)],
)
def test_limit_is_a_part_of_the_memory_beyond_the_reserve(
    memory_mb, limit_bytes
):
    """Guards against a budget that a small machine does not have."""
    budget = byte_budget.ByteBudget()
    budget.set_memory(memory_mb)
    assert budget.limit_bytes == limit_bytes


def test_shares_of_a_full_budget_are_counted():
    """Guards against counts that drift, so that the budget never recovers."""
    budget = byte_budget.ByteBudget(10_000)
    shares = [budget.open(lambda: None) for _ in range(50)]
    for round_number in range(1, 40):
        for number, share in enumerate(shares):
            share.resize((number * 37 + round_number * 11) % 500)
    assert budget.held_bytes == sum(share.held_bytes for share in shares)
    assert budget.held_bytes <= 10_000
    assert budget.given_up_count > 0
    for share in shares:
        share.close()
    assert budget.held_bytes == 0
