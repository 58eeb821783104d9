"""Tests of the model that learns how long targets take."""

from __future__ import annotations

import random

import pytest

from bambooglade.scheduling import engine_model


def first_event_ms(work, tokens_per_ms, fixed_ms=24.0, ms_per_running=0.3):
    return (
        fixed_ms
        + (work.uncached_tokens + work.ahead_tokens) / tokens_per_ms
        + ms_per_running * work.running
    )


def random_work(source):
    return engine_model.Workload(
        uncached_tokens=source.choice((600, 1_800, 6_600, 12_000)),
        ahead_tokens=source.choice((0, 0, 0, 6_000)),
        running=source.randrange(30),
        slots=64,
    )


@pytest.mark.parametrize("tokens_per_ms", [38, 57, 157])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_rate_of_an_engine_is_learned_from_a_few_dozen_responses(
    tokens_per_ms, seed
):
    # Guards against predictions with the rate of another deployment. One
    # response in ten waits for work that no report shows.
    source = random.Random(seed)
    model = engine_model.ServiceModel()
    for _ in range(60):
        work = random_work(source)
        took_ms = first_event_ms(work, tokens_per_ms)
        took_ms *= source.lognormvariate(0, 0.15)
        if source.random() < 0.1:
            took_ms += source.expovariate(1 / 300)
        model.learn(work, took_ms)
    assert model.tokens_per_ms == pytest.approx(tokens_per_ms, rel=0.25)
    work = engine_model.Workload(uncached_tokens=6_000, running=10, slots=64)
    assert model.predict_ms(work) == pytest.approx(
        first_event_ms(work, tokens_per_ms), rel=0.2
    )


@pytest.mark.parametrize(
    "took_ms", [-1, float("nan"), 10**9, float("inf"), -float("inf")]
)
def test_nonsensical_times_are_ignored(took_ms):
    model = engine_model.EngineModel()
    work = engine_model.Workload(uncached_tokens=1_000)
    before = model.predict_ms("s", "e", work, now_ms=0)
    for _ in range(50):
        model.learn("s", "e", work, took_ms=took_ms, now_ms=0)
    assert model.predict_ms("s", "e", work, now_ms=0) == before


@pytest.mark.parametrize("is_plain", [False, True])
@pytest.mark.parametrize("took_ms", [0, 1, 60_000])
def test_figures_stay_usable_after_extreme_times(is_plain, took_ms):
    # Guards against a division by zero, and against a figure of zero, with
    # which all targets would be equal.
    model = engine_model.EngineModel()
    busy = engine_model.Workload(
        uncached_tokens=4_000, running=9, waiting=20, slots=6
    )
    idle = engine_model.Workload(uncached_tokens=4_000, slots=6)
    for number in range(300):
        work = (idle, busy)[number % 2]
        model.learn(
            "s", "e", work, took_ms=took_ms, now_ms=number, is_plain=is_plain
        )
    idle_ms, busy_ms = (
        model.predict_ms("s", "new", work, now_ms=0, is_plain=is_plain)
        for work in (idle, busy)
    )
    assert 0 < idle_ms < busy_ms < 10**6


@pytest.mark.parametrize("request_ms", [22, 90])
def test_duration_of_a_plain_request_is_learned(request_ms):
    model = engine_model.PlainServiceModel()
    source = random.Random(1)
    work = engine_model.Workload(running=2, slots=6)
    for number in range(40):
        is_outlier = number % 10 == 9
        took_ms = request_ms * source.lognormvariate(0, 0.1)
        model.learn(work, 5_000 if is_outlier else took_ms)
    assert model.request_ms == pytest.approx(request_ms, rel=0.2)


def learn_times(model, took_ms_by_target, *, rounds=30, step_ms=100):
    work = engine_model.Workload(uncached_tokens=2_000)
    for number in range(rounds):
        for target_id, took_ms in took_ms_by_target.items():
            model.learn(
                "s", target_id, work, took_ms=took_ms, now_ms=number * step_ms
            )
    return rounds * step_ms


def test_slow_target_is_told_apart_and_tried_again_later():
    # Guards against a target that is slow, or was, for all later requests.
    model = engine_model.EngineModel()
    times = {"e1": 50, "e2": 50, "e3": 50, "e4": 50, "e5": 200}
    now_ms = learn_times(model, times)
    assert model.factor("e5", now_ms=now_ms) > 2.5
    assert model.factor("e1", now_ms=now_ms) == pytest.approx(1.0, abs=0.2)
    later_ms = now_ms + 6 * engine_model.FACTOR_HALF_LIFE_MS
    assert model.factor("e5", now_ms=later_ms) < 1.1


def test_restarted_target_starts_with_the_figures_of_its_service():
    model = engine_model.EngineModel()
    now_ms = learn_times(model, {"e1": 100, "e2": 100, "e3": 400})
    model.record_slowdown("e3", 5.0, now_ms=now_ms)
    model.remove_target("e3")
    work = engine_model.Workload(uncached_tokens=2_000)
    assert model.predict_ms("s", "e3", work, now_ms=now_ms) == model.predict_ms(
        "s", "new", work, now_ms=now_ms
    )
    assert "e3" not in model.target_ids()


@pytest.mark.parametrize(
    ("took_ms", "age_ms", "is_expected"),
    [
        (60, 10, False),
        (2_000, 10, True),
        (2_000, 1_500, True),
        (2_000, 40_000, False),
    ],
)
def test_long_unexplained_wait_is_expected_for_a_while(
    took_ms, age_ms, is_expected
):
    # Guards against sending to a target where prompts of other instances pile
    # up, which reports older than the pile do not show.
    model = engine_model.EngineModel()
    now_ms = learn_times(model, {"e1": 50, "e2": 50, "e3": 50})
    work = engine_model.Workload(uncached_tokens=2_000)
    model.learn("s", "e1", work, took_ms=took_ms, now_ms=now_ms)
    _, wait_ms = model.pace("e1", 50, now_ms=now_ms + age_ms)
    assert (wait_ms > 500) is is_expected


@pytest.mark.parametrize(
    ("slowdown", "usual_ms", "age_ms", "low", "high"),
    [
        (None, 20, 0, 1.0, 1.0),
        (3.0, 1, 0, 2.9, 3.0),
        (3.0, 1, 150, 1.9, 2.1),
        (3.0, 1, 2_000, 1.0, 1.01),
        (3.0, 2_000, 0, 1.1, 1.4),
        (0.5, 1, 0, 0.5, 0.51),
        (0.0, 1, 0, 1.0, 1.0),
        (1e9, 1, 0, 1.0, engine_model.MAX_SLOWDOWN),
    ],
)
def test_slowdown_counts_while_its_report_is_fresh_and_for_short_work(
    slowdown, usual_ms, age_ms, low, high
):
    model = engine_model.EngineModel()
    model.record_slowdown("e", slowdown, now_ms=1_000)
    assert low <= model.slowdown("e", usual_ms, now_ms=1_000 + age_ms) <= high


def test_services_are_bounded():
    model = engine_model.EngineModel()
    for number in range(engine_model.MAX_SERVICES + 10):
        model.service(f"s{number}")
    assert f"services={engine_model.MAX_SERVICES}," in repr(model)


def test_describes_what_is_believed():
    model = engine_model.EngineModel()
    assert "tokens_per_ms=77 " in model.describe("s")
    assert "request_ms=45 " in model.describe("s", is_plain=True)
