"""Tests that a whole fleet keeps the rate that cold targets tolerate.

The fleets are played without a network: each instance decides by its own view
of the fleet, and its requests take some time to reach the target.
"""

from __future__ import annotations

from collections.abc import Iterable
import random

import pytest

from bambooglade.core import hashing
from bambooglade.discovery import targets as targets_lib
from bambooglade.targets import cold_starts
from bambooglade.targets import request_limits

COLD_START_MS = 3_000
COLD_PER_S = 10.0
STEP_MS = 20
MAX_DELAY_MS = 150
"""Longest time that a request takes to reach its target."""

DISCOVERY_MS = 1_000
"""Time after its start for which an instance does not know the fleet."""


class Instance:
    """One instance with its own view of the fleet.

    Attributes:
        name: Name of the instance.
        known: Names of the instances that it knows; None before that.
        cold: What it knows of cold targets.
        limits: What it may send.
    """

    def __init__(self, name: str, per_s: float = COLD_PER_S) -> None:
        self.name = name
        self.known: frozenset[str] | None = None
        self.cold = cold_starts.ColdStarts(
            lambda service: cold_starts.ColdStart(COLD_START_MS, per_s)
        )
        self.limits = request_limits.RequestLimits(
            self._rank_of, find_cold=self.cold.find
        )
        self._rank_by_view: dict = {}

    def _rank_of(self, target_id: str) -> request_limits.SenderRank:
        if self.known is None:
            return request_limits.UNKNOWN_RANK
        key = target_id, self.known
        if key not in self._rank_by_view:
            names = hashing.rendezvous(target_id, self.known | {self.name})
            self._rank_by_view[key] = request_limits.SenderRank(
                names.index(self.name), len(names)
            )
        return self._rank_by_view[key]

    def observe(self, target_id: str, run: int, now_ms: int) -> None:
        target = targets_lib.RegisteredTarget(
            target_id=target_id,
            service="s",
            address=("10.0.0.1", 80),
            availability_zone="zone-a",
            slots=4,
            started_at_ms=run,
        )
        self.cold.observe(target, is_watching=True, now_ms=now_ms)


class Fleet:
    """A fleet whose callers ask for more than cold targets tolerate."""

    def __init__(
        self, size: int, *, per_s: float = COLD_PER_S, seed: int = 1
    ) -> None:
        self.random = random.Random(seed)
        self.per_s = per_s
        names = frozenset(f"edge-{n}" for n in range(size))
        self.instances = [Instance(name, per_s) for name in sorted(names)]
        for instance in self.instances:
            instance.known = names
        self.now_ms = 1_000_000
        self.received_ms_by_id: dict[str, list[int]] = {}
        self._runs_by_id: dict[str, int] = {}
        self._known_at_ms: dict[str, int] = {}

    def register(self, *target_ids: str, spread_ms: int = 0) -> None:
        """Starts targets; the instances learn of them within the spread."""
        for target_id in target_ids:
            self._runs_by_id[target_id] = self.now_ms
            for instance in self.instances:
                instance.observe(
                    target_id,
                    self.now_ms,
                    self.now_ms + self.random.randint(0, spread_ms),
                )

    def restart(self, instance: Instance) -> Instance:
        """Starts an instance again, which forgets all that it has sent."""
        restarted = Instance(instance.name, self.per_s)
        for target_id, run in self._runs_by_id.items():
            restarted.observe(target_id, run, self.now_ms)
        self._known_at_ms[instance.name] = self.now_ms + DISCOVERY_MS
        self.instances[self.instances.index(instance)] = restarted
        return restarted

    def run(self, duration_ms: int, *, demand: float = 0.5) -> None:
        """Lets instances send to any target that they may, in random order.

        Args:
            duration_ms: How long.
            demand: Chance that an instance has requests in a step. It has up
                to five then, so that they come in bursts.
        """
        names = frozenset(i.name for i in self.instances)
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.random.shuffle(self.instances)
            for instance in self.instances:
                if (
                    instance.known is None
                    and self._known_at_ms[instance.name] <= self.now_ms
                ):
                    instance.known = names
                if self.random.random() < demand:
                    for _ in range(self.random.randint(1, 5)):
                        self._send(instance)
            self.now_ms += STEP_MS

    def _send(self, instance: Instance) -> None:
        """Sends one request to a target, and repeats it at another one."""
        for target_id, run in self._runs_by_id.items():
            if not instance.limits.wait_ms(target_id, run, now_ms=self.now_ms):
                instance.limits.record_dispatch(
                    target_id, run, now_ms=self.now_ms
                )
                self.received_ms_by_id.setdefault(target_id, []).append(
                    self.now_ms + self.random.randint(0, MAX_DELAY_MS)
                )

    @property
    def most_in_a_second(self) -> int:
        return max(map(most_in_a_second, self.received_ms_by_id.values()))

    def cold_total(self, target_id: str) -> int:
        start_ms = self._runs_by_id[target_id]
        return sum(
            t < start_ms + COLD_START_MS
            for t in self.received_ms_by_id[target_id]
        )


def most_in_a_second(times_ms: Iterable[int]) -> int:
    times_ms = sorted(times_ms)
    first = most = 0
    for last, time_ms in enumerate(times_ms):
        while time_ms - times_ms[first] >= 1_000:
            first += 1
        most = max(most, last - first + 1)
    return most


def tolerated(per_s: float = COLD_PER_S) -> float:
    return per_s * 1.5 + 5


SIZES = pytest.mark.parametrize("size", [6, 71, 195])
COLD_MS = COLD_START_MS - STEP_MS


@SIZES
@pytest.mark.parametrize("demand", [0.02, 0.5])
def test_bursts_do_not_exceed_the_rate_of_cold_targets(size, demand):
    fleet = Fleet(size)
    fleet.register("e1", "e2", "e3")
    fleet.run(COLD_MS, demand=demand)
    assert fleet.most_in_a_second <= tolerated()


@SIZES
def test_cold_targets_are_used(size):
    fleet = Fleet(size)
    fleet.register("e1")
    fleet.run(COLD_MS)
    # Three windows of ten requests each fit into the cold start.
    assert fleet.cold_total("e1") >= 28


@SIZES
@pytest.mark.parametrize("seed", range(3))
def test_restarted_instances_do_not_exceed_the_rate(size, seed):
    fleet = Fleet(size, seed=seed)
    fleet.register("e1", "e2")
    for _ in range(3):
        fleet.run(600)
        for instance in fleet.random.sample(fleet.instances, size // 2):
            fleet.restart(instance)
    fleet.run(1_100)
    assert fleet.most_in_a_second <= tolerated()


@SIZES
def test_fleet_that_starts_as_a_whole_serves_once_it_knows_itself(size):
    fleet = Fleet(size)
    fleet.register("e1")
    for instance in list(fleet.instances):
        fleet.restart(instance)
    fleet.run(DISCOVERY_MS - STEP_MS)
    assert not fleet.received_ms_by_id
    fleet.run(1_500)
    assert fleet.cold_total("e1") >= 10
    assert fleet.most_in_a_second <= tolerated()


# Half of the instances that were there before have an older view, in which the
# newer ones are missing, and in which instances are left that are gone.
@SIZES
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("missing", [0.1, 0.5, 0.9])
def test_instances_with_older_views_do_not_exceed_the_rate(size, seed, missing):
    fleet = Fleet(size, seed=seed)
    names = sorted(fleet.instances[0].known)
    before = [name for name in names if fleet.random.random() >= missing]
    for instance in fleet.instances:
        if instance.name in before[::2]:
            instance.known = frozenset(before) | {"gone-1", "gone-2"}
    fleet.register("e1", "e2", "e3")
    fleet.run(COLD_MS)
    assert fleet.most_in_a_second <= tolerated()


@SIZES
def test_two_halves_that_do_not_know_each_other_do_not_exceed_the_rate(size):
    fleet = Fleet(size)
    names = sorted(fleet.instances[0].known)
    halves = frozenset(names[: size // 2]), frozenset(names[size // 2 :])
    for instance in fleet.instances:
        instance.known = halves[instance.name in halves[1]]
    fleet.register("e1", "e2", "e3")
    fleet.run(COLD_MS)
    assert fleet.most_in_a_second <= tolerated()


# Each instance lacks a few others of its own, as after lost messages.
@SIZES
@pytest.mark.parametrize("seed", range(3))
def test_partial_views_do_not_exceed_the_rate(size, seed):
    fleet = Fleet(size, seed=seed)
    for instance in fleet.instances:
        instance.known = frozenset(
            name for name in instance.known if fleet.random.random() < 0.9
        )
    fleet.register("e1", "e2", "e3")
    fleet.run(COLD_MS)
    assert fleet.most_in_a_second <= tolerated()


@SIZES
def test_views_that_change_do_not_exceed_the_rate(size):
    fleet = Fleet(size)
    names = sorted(fleet.instances[0].known)
    fleet.register("e1", "e2")
    for _ in range(5):
        newer = frozenset(n for n in names if fleet.random.random() < 0.8)
        for instance in fleet.instances:
            if fleet.random.random() < 0.5:
                instance.known = newer
        fleet.run(500)
    assert fleet.most_in_a_second <= tolerated()


@SIZES
def test_engines_that_come_back_together_are_spared(size):
    fleet = Fleet(size)
    targets = [f"e{n}" for n in range(5)]
    fleet.register(*targets)
    fleet.run(COLD_MS)
    # They start again under their ids while requests are under way.
    fleet.register(*targets)
    for instance in fleet.random.sample(fleet.instances, size // 3):
        fleet.restart(instance)
    fleet.run(COLD_MS)
    assert fleet.most_in_a_second <= tolerated()


@SIZES
@pytest.mark.parametrize("per_s", [0.3, 1.0, 2.5, 4.0, 30.0])
def test_other_rates_are_kept(size, per_s):
    fleet = Fleet(size, per_s=per_s)
    fleet.register("e1", "e2")
    names = sorted(fleet.instances[0].known)
    halves = frozenset(names[: size // 2]), frozenset(names[size // 2 :])
    for instance in fleet.instances:
        instance.known = halves[instance.name in halves[1]]
    fleet.run(COLD_MS)
    assert fleet.most_in_a_second <= tolerated(per_s)


@pytest.mark.parametrize("per_s", [0.01, 0.3, 1.0, 2.5, 4.0, 9.9, 10.0, 500.0])
def test_two_sets_of_senders_stay_within_what_a_target_tolerates(per_s):
    requests = request_limits.cold_window_requests(per_s)
    window_ms = request_limits.cold_window_ms(per_s)
    assert window_ms >= 1_000 + MAX_DELAY_MS
    assert 2 * requests <= max(2, tolerated(per_s))
    assert requests <= max(1, per_s * window_ms / 1_000)


def new_limits(rank: request_limits.SenderRank):
    cold = cold_starts.ColdStarts(
        lambda service: cold_starts.ColdStart(COLD_START_MS, COLD_PER_S)
    )
    instance = Instance("a")
    instance.cold = cold
    instance.limits = request_limits.RequestLimits(
        lambda target_id: rank, find_cold=cold.find
    )
    instance.observe("e1", 1, 0)
    return instance.limits


# Rank, stated limit, and how many requests the instance may send at once.
@pytest.mark.parametrize(
    ("rank", "stated", "expected"),
    [
        ((0, 6), None, 2),
        ((5, 6), None, 1),
        ((9, 71), None, 1),
        ((10, 71), None, 0),
        ((0, 1), None, 10),
        ((0, 6), 1.0, 1),
        ((0, 71), 100.0, 1),
        ((10, 71), 100.0, 0),
    ],
)
def test_lower_of_the_stated_limit_and_the_cold_rate_holds(
    rank, stated, expected
):
    limits = new_limits(request_limits.SenderRank(*rank))
    limits.record("e1", 1, stated, now_ms=0)
    sent = 0
    while not limits.wait_ms("e1", 1, now_ms=0) and sent < 100:
        limits.record_dispatch("e1", 1, now_ms=0)
        sent += 1
    assert sent == expected


# Guards against callers that are held back after the end of a cold start, by a
# ramp or by the pace of the senders.
@pytest.mark.parametrize("rank", [0, 10, 70])
def test_warm_target_gets_requests_at_once(rank):
    limits = new_limits(request_limits.SenderRank(rank, 71))
    limits.record_dispatch("e1", 1, now_ms=COLD_START_MS - 1)
    assert limits.wait_ms("e1", 1, now_ms=COLD_START_MS - 1) == 1
    for _ in range(100):
        assert limits.wait_ms("e1", 1, now_ms=COLD_START_MS) == 0
        limits.record_dispatch("e1", 1, now_ms=COLD_START_MS)


@pytest.mark.parametrize(("rank", "wait_ms"), [(0, 1_200), (70, 3_000)])
def test_retry_after_is_the_pace_of_the_fleet(rank, wait_ms):
    limits = new_limits(request_limits.SenderRank(rank, 71))
    limits.record_dispatch("e1", 1, now_ms=0)
    assert limits.wait_ms("e1", 1, now_ms=0) == wait_ms
    assert limits.retry_after_ms("e1", 1, now_ms=0) == 120


def test_requests_to_cold_targets_are_evicted():
    limits = new_limits(request_limits.SenderRank(0, 1))
    limits.record_dispatch("e1", 1, now_ms=0)
    for now_ms, kept in ((4_999, 1), (5_000, 0)):
        limits.evict_missing({"e1"}, now_ms=now_ms)
        assert len(limits._cold_sent_ms_by_id) == kept
