"""A link that one large caller overloads still serves what it can carry."""

from __future__ import annotations

import random

import pytest

from bambooglade.scheduling import link_budget

LINK_MBPS = 5.0
BYTES_PER_MS = LINK_MBPS * 125
TARGET_LATENCY_MS = 400
RUN_MS = 20_000


class _Link:
    """A link with an unbounded queue, and the requests sent over it.

    Attributes:
        served_by_rank: Requests that waited no longer than the target latency.
        sent_by_rank: Requests that were sent at all.
    """

    def __init__(self) -> None:
        self._free_at_ms = 0.0
        self.served_by_rank = {0: 0, 1: 0, 2: 0}
        self.sent_by_rank = {0: 0, 1: 0, 2: 0}

    def send(self, rank: int, size_bytes: int, now_ms: int) -> None:
        self._free_at_ms = max(now_ms, self._free_at_ms)
        self._free_at_ms += size_bytes / BYTES_PER_MS
        self.sent_by_rank[rank] += 1
        if self._free_at_ms - now_ms <= TARGET_LATENCY_MS:
            self.served_by_rank[rank] += 1


def _play(requests_per_s: float, *, is_admission_on: bool) -> _Link:
    source = random.Random(3)
    budget = link_budget.LinkBudget(LINK_MBPS)
    link = _Link()
    now_ms = 0.0
    while now_ms < RUN_MS:
        now_ms += source.expovariate(requests_per_s / 1_000)
        rank = source.choices((0, 1, 2), (2, 4, 4))[0]
        size_bytes = (14_000, 4_000, 4_000)[rank]
        max_wait_ms = link_budget.max_wait_ms(
            rank=rank, target_latency_ms=TARGET_LATENCY_MS
        )
        if not is_admission_on or budget.may_admit(
            max_wait_ms=max_wait_ms, now_ms=round(now_ms)
        ):
            budget.record_sent(size_bytes, now_ms=round(now_ms))
            link.send(rank, size_bytes, round(now_ms))
    return link


def test_overloaded_link_serves_nothing_without_admission():
    link = _play(200, is_admission_on=False)
    assert sum(link.served_by_rank.values()) < 0.1 * RUN_MS / 1_000 * 200


@pytest.mark.parametrize("requests_per_s", [120, 200, 400])
def test_overloaded_link_serves_what_it_carries(requests_per_s):
    link = _play(requests_per_s, is_admission_on=True)
    served, sent = link.served_by_rank, link.sent_by_rank
    assert served == sent
    carried_bytes = 14_000 * served[0] + 4_000 * (served[1] + served[2])
    assert carried_bytes >= 0.8 * BYTES_PER_MS * RUN_MS


@pytest.mark.parametrize("requests_per_s", [120, 200, 400])
def test_less_urgent_requests_are_rejected_first(requests_per_s):
    link = _play(requests_per_s, is_admission_on=True)
    shares = [
        link.sent_by_rank[rank] / weight
        for rank, weight in ((0, 0.2), (1, 0.4), (2, 0.4))
    ]
    assert shares[0] > shares[1] > shares[2]


@pytest.mark.parametrize("requests_per_s", [10, 40])
def test_link_with_room_rejects_hardly_any(requests_per_s):
    link = _play(requests_per_s, is_admission_on=True)
    assert sum(link.sent_by_rank.values()) >= (
        0.95 * requests_per_s * RUN_MS / 1_000
    )


def test_unknown_link_rejects_nothing():
    budget = link_budget.LinkBudget(0.0)
    budget.record_sent(10**9, now_ms=0)
    assert budget.may_admit(max_wait_ms=0, now_ms=0)
    assert not budget.is_busy(now_ms=0)


def test_full_link_explains_connections_that_do_not_open():
    budget = link_budget.LinkBudget(LINK_MBPS)
    budget.record_sent(round(100 * BYTES_PER_MS), now_ms=0)
    assert budget.is_busy(now_ms=500)
    assert not budget.is_busy(now_ms=2_000)


def test_link_that_receives_without_a_pause_is_full():
    budget = link_budget.LinkBudget(LINK_MBPS)
    for now_ms in range(0, 3_000, 10):
        budget.record_received(
            round(10 * BYTES_PER_MS) - link_budget.PACKET_OVERHEAD_BYTES,
            now_ms=now_ms,
        )
    assert budget.wait_ms(now_ms=3_000) >= 200
    assert budget.wait_ms(now_ms=4_000) == 0


# Guards against a large request that is rejected by every instance with a small
# link, however idle, since its own body has just arrived.
@pytest.mark.parametrize("link_mbps", [5.0, 10.0, 20.0])
def test_body_of_a_lone_request_does_not_count_against_it(link_mbps):
    budget = link_budget.LinkBudget(link_mbps)
    body_bytes, received_bytes, now_ms = 4_194_304, 0, 0
    while received_bytes < body_bytes:
        now_ms += 10
        part_bytes = min(
            round(10 * 125 * link_mbps) - link_budget.PACKET_OVERHEAD_BYTES,
            body_bytes - received_bytes,
        )
        budget.record_received(part_bytes, now_ms=now_ms)
        received_bytes += part_bytes
    max_wait_ms = link_budget.max_wait_ms(
        rank=1, target_latency_ms=TARGET_LATENCY_MS
    )
    assert budget.may_admit(
        max_wait_ms=max_wait_ms, now_ms=now_ms, body_bytes=body_bytes
    )
    assert not budget.may_admit(max_wait_ms=max_wait_ms, now_ms=now_ms)


def test_body_of_a_request_does_not_offset_what_waits_to_be_sent():
    budget = link_budget.LinkBudget(LINK_MBPS)
    budget.record_sent(round(300 * BYTES_PER_MS), now_ms=0)
    assert not budget.may_admit(max_wait_ms=200, now_ms=0, body_bytes=10**6)
