"""Tests that a fleet stays within the retry budget of a service."""

from __future__ import annotations

import random

import pytest

from bambooglade.discovery import peers as peers_lib
from bambooglade.gateway import retry_budget

RATIO = 0.2
SLACK = 50
WINDOW_MS = 10_000
DURATION_MS = 40_000
READ_INTERVAL_MS = 12_000
FAILURE_AT_MS = 12_000
"""Time at which targets begin to fail, unless they do so from the start."""


def new_budget(fleet_size, *, restarted_at_ms=None):
    return retry_budget.RetryBudget(
        ratio=RATIO,
        slack=SLACK,
        window_ms=WINDOW_MS,
        fleet_size=fleet_size,
        restarted_at_ms=restarted_at_ms,
    )


def play(budgets, restart, *, interval_ms, failure_at_ms):
    """Returns times of requests and of retries.

    All retries that are allowed are made once targets begin to fail.

    Args:
        budgets: Retry budgets of the instances.
        restart: Replaces budgets before the request at a time.
        interval_ms: Time between two requests.
        failure_at_ms: Time at which targets begin to fail.
    """
    generator = random.Random(len(budgets))
    requests, retries = [], []
    for now_ms in range(0, DURATION_MS, interval_ms):
        restart(budgets, now_ms)
        budget = generator.choice(budgets)
        budget.record_request(now_ms=now_ms)
        requests.append(now_ms)
        while now_ms >= failure_at_ms and budget.try_acquire(now_ms=now_ms):
            retries.append(now_ms)
    return requests, retries


def assert_within_budget(requests, retries):
    for end_ms in range(WINDOW_MS, DURATION_MS, 200):
        window = range(end_ms - WINDOW_MS, end_ms)
        retry_count = sum(time_ms in window for time_ms in retries)
        request_count = sum(time_ms in window for time_ms in requests)
        assert retry_count <= RATIO * request_count + SLACK


def restart_nobody(budgets, now_ms):
    del budgets, now_ms


def restart_all_once(budgets, now_ms):
    if now_ms == FAILURE_AT_MS + 1_000:
        restart(budgets, range(len(budgets)), now_ms)


def restart_all_in_turn(budgets, now_ms):
    if now_ms >= FAILURE_AT_MS and now_ms % 500 == 0:
        restart(budgets, [now_ms // 500 % len(budgets)], now_ms)


def restart(budgets, numbers, now_ms):
    """Starts instances again, which know nothing of the process before."""
    for number in numbers:
        budgets[number] = new_budget(
            lambda: len(budgets), restarted_at_ms=now_ms
        )


@pytest.mark.parametrize("failure_at_ms", [0, FAILURE_AT_MS])
@pytest.mark.parametrize("interval_ms", [4, 20, 100])
@pytest.mark.parametrize("fleet_size", [1, 3, 10, 60])
@pytest.mark.parametrize(
    "restart", [restart_nobody, restart_all_once, restart_all_in_turn]
)
def test_fleet_stays_within_its_retry_budget(
    fleet_size, restart, interval_ms, failure_at_ms
):
    budgets = [new_budget(lambda: fleet_size) for _ in range(fleet_size)]
    requests, retries = play(
        budgets,
        restart,
        interval_ms=interval_ms,
        failure_at_ms=failure_at_ms,
    )
    assert_within_budget(requests, retries)


def test_instance_that_does_not_know_its_fleet_has_no_part_of_the_slack():
    budget = new_budget(lambda: None)
    assert not budget.try_acquire(now_ms=0)
    for _ in range(10):
        budget.record_request(now_ms=0)
    assert [budget.try_acquire(now_ms=0) for _ in range(2)] == [True, False]


def peer(name: str) -> peers_lib.Peer:
    return peers_lib.Peer(
        name=name,
        incarnation="1",
        host="10.0.0.1",
        port=1,
        availability_zone="z1",
    )


@pytest.mark.parametrize(
    ("reads", "expected"),
    [
        pytest.param(0, 3, id="store away"),
        pytest.param(1, 3, id="not all may have registered again"),
        pytest.param(2, 2, id="one is not registered any more"),
    ],
)
def test_fleet_does_not_shrink_because_an_instance_hears_nothing(
    reads, expected
):
    peers = peers_lib.PeerList("a")
    peers.mark_seen([peer("b"), peer("c")], now_ms=0)
    now_ms = 2 * peers_lib.PEER_TTL_MS
    for _ in range(reads):
        now_ms += READ_INTERVAL_MS
        peers.mark_seen([peer("b")], now_ms=now_ms)
        peers.forget_unseen(now_ms=now_ms)
    assert peers.max_fleet_size == expected
