"""Tests of the division of targets between long and short prompts."""

from __future__ import annotations

import random

import pytest

from bambooglade.scheduling import placement as placement_lib

TARGET_IDS = [f"e{number}" for number in range(20)]
TIGHT_MS = 250
LONG = {"work_ms": 120.0, "target_latency_ms": 2_000}
SHORT = {"work_ms": 12.0, "target_latency_ms": TIGHT_MS}


def new_placement(seed=1, *, count=300, long_share=0.15, part_of=None):
    """Returns the placement of an instance that has seen some requests."""
    source = random.Random(seed)
    placement = placement_lib.Placement()
    for number in range(count):
        kind = LONG if source.random() < long_share else SHORT
        placement.record(
            "s",
            part_of(number) if part_of else f"part-{number}",
            tokens=kind["work_ms"] * 50,
            work_ms=kind["work_ms"],
            target_latency_ms=kind["target_latency_ms"],
            now_ms=number * 100,
        )
    return placement


def preferred(placement, kind, part_id="p", target_ids=TARGET_IDS):
    return placement.plan("s", target_ids, part_id=part_id, **kind)


def test_long_and_short_prompts_prefer_different_targets():
    # Guards against short prompts behind long ones.
    placement = new_placement()
    long_ids, short_ids = (
        {
            preferred(placement, kind, f"p{number}").preferred_ids[0]
            for number in range(400)
        }
        for kind in (LONG, SHORT)
    )
    assert len(long_ids & short_ids) <= 1  # the boundary
    assert len(long_ids | short_ids) == len(TARGET_IDS)
    # 15 in 100 prompts with ten times the work of a short one.
    assert 9 <= len(long_ids) <= 15


def test_instances_divide_targets_equally_without_messages():
    # Guards against instances whose short prompts go to the long ones of
    # others, also while each lists the targets in another order.
    plans = []
    for seed in range(5):
        target_ids = random.Random(seed).sample(TARGET_IDS, len(TARGET_IDS))
        placement = new_placement(seed)
        plans.append(preferred(placement, LONG, target_ids=target_ids))
    smallest = min((plan.long_ids for plan in plans), key=len)
    assert all(smallest <= plan.long_ids for plan in plans)
    assert max(len(plan.long_ids) for plan in plans) - len(smallest) <= 4


@pytest.mark.parametrize(
    ("long_share", "count", "target_ids"),
    [
        (0.0, 300, TARGET_IDS),
        (1.0, 300, TARGET_IDS),
        (0.15, 10, TARGET_IDS),
        (0.15, 300, ["e1"]),
    ],
)
@pytest.mark.parametrize("kind", [LONG, SHORT])
def test_targets_are_not_divided_without_need(
    kind, long_share, count, target_ids
):
    placement = new_placement(count=count, long_share=long_share)
    plan = preferred(placement, kind, target_ids=target_ids)
    assert not plan.long_ids
    assert plan.preferred_ids
    first_ids = {
        preferred(placement, kind, f"p{n}", target_ids).preferred_ids[0]
        for n in range(400)
    }
    assert first_ids == set(target_ids)


@pytest.mark.parametrize("size", [2, 3, 4, 60])
@pytest.mark.parametrize("kind", [LONG, SHORT])
@pytest.mark.parametrize("long_share", [0.01, 0.15, 0.9])
def test_each_prompt_has_a_target_at_any_size(kind, size, long_share):
    placement = new_placement(long_share=long_share)
    target_ids = [f"e{number}" for number in range(size)]
    for number in range(50):
        plan = preferred(placement, kind, f"p{number}", target_ids)
        assert plan.preferred_ids
        assert set(plan.preferred_ids) <= set(target_ids)
    assert placement.plan("s", target_ids, part_id=None, **kind).preferred_ids


@pytest.mark.parametrize(
    ("work_ms", "target_latency_ms", "is_long"),
    [
        (12, 250, False),
        (100, 250, False),
        (100, 500, False),
        (100, 2_000, True),
        (250, 250, True),
        (1_000, 500, True),
    ],
)
def test_prompt_with_a_tight_objective_has_to_be_longer_to_count_as_long(
    work_ms, target_latency_ms, is_long
):
    # Guards against requests that are nearly as urgent among long prompts.
    plan = new_placement().plan(
        "s",
        TARGET_IDS,
        part_id="p",
        work_ms=work_ms,
        target_latency_ms=target_latency_ms,
    )
    assert plan.is_long is is_long


def test_common_part_goes_to_as_many_targets_as_its_load_needs():
    # Guards against all instances sending a common part to one target.
    common = new_placement(
        long_share=0.0, part_of=lambda n: "common" if n % 2 else f"p{n}"
    )
    plan = preferred(common, SHORT, "common")
    assert 20 <= plan.cached_count + 1 <= 40
    assert len(plan.preferred_ids) == len(TARGET_IDS)
    assert preferred(common, SHORT, "p0").cached_count == 1


@pytest.mark.parametrize(
    ("shared_work_ms", "count"), [(0.0, 2), (3.0, 2), (100.0, 1)]
)
def test_session_stays_on_its_target_if_its_part_is_worth_it(
    shared_work_ms, count
):
    plan = new_placement().plan(
        "s",
        TARGET_IDS,
        part_id="session",
        shared_work_ms=shared_work_ms,
        **SHORT,
    )
    assert plan.first_count == count


def test_targets_outside_the_own_group_cost_the_delay_of_others():
    placement = new_placement()
    long_plan, short_plan = (preferred(placement, k) for k in (LONG, SHORT))
    inside = next(iter(long_plan.long_ids))
    (outside, *_) = set(TARGET_IDS) - long_plan.long_ids
    assert long_plan.delay_caused_ms(inside, 120) == 120
    assert long_plan.delay_caused_ms(outside, 120) == 240
    assert short_plan.delay_caused_ms(outside, 12) == 12
    assert short_plan.delay_caused_ms(inside, 12) == pytest.approx(72)


def test_state_is_bounded_and_evicted():
    placement = new_placement(count=5_000, part_of=lambda n: f"p{n % 2_000}")
    preferred(placement, SHORT)
    assert placement.target_ids() == set(TARGET_IDS)
    placement.evict_missing({"e1"})
    assert placement.target_ids() == {"e1"}
    for number in range(placement_lib.MAX_SERVICES + 10):
        placement.describe(f"s{number}")
    assert f"services={placement_lib.MAX_SERVICES}" in repr(placement)


def test_division_follows_the_prompts():
    # Guards against targets kept for long prompts that no longer come.
    placement = new_placement()
    for number in range(2_000):
        placement.record(
            "s",
            f"later-{number}",
            tokens=600,
            work_ms=12.0,
            target_latency_ms=TIGHT_MS,
            now_ms=30_000 + number,
        )
    assert not preferred(placement, SHORT).long_ids
