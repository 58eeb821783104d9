"""Tests of `bambooglade.gateway.placement`, and of the retry allowance."""

from __future__ import annotations

import collections
import random

import pytest

from bambooglade.discovery import targets as targets_lib
from bambooglade.gateway import event_stream
from bambooglade.gateway import facts
from bambooglade.gateway import placement as placement_lib
from bambooglade.gateway import retry_allowance


def target(name: str, zone: str = "z1", **kwargs):
    return targets_lib.RegisteredTarget(
        target_id=name,
        service="s",
        address=("10.0.0.1", 1),
        availability_zone=zone,
        slots=8,
        **kwargs,
    )


def prompt(session: str, tokens: int = 6_000) -> facts.Prompt:
    return facts.Prompt(
        input_tokens=tokens + 1_000,
        max_output_tokens=100,
        parts=(
            facts.PromptPart("common", 500),
            facts.PromptPart(session, tokens - 500),
            facts.PromptPart(f"own-{session}", 1_000),
        ),
    )


def choose(placement, ready, asked=None, excluded=frozenset(), now_ms=0):
    return placement.choose(
        ready, prompt=asked, excluded=excluded, now_ms=now_ms
    )


@pytest.mark.parametrize(
    ("ready", "excluded", "expected"),
    [
        ([], (), None),
        ([target("a", "z2"), target("b", "z1")], (), "b"),
        ([target("a", "z2"), target("b", "z1")], ("b",), "a"),
        ([target("a"), target("b", cold_remaining_ms=9)], (), "a"),
        ([target("a")], ("a",), None),
    ],
)
def test_a_plain_service(ready, excluded, expected):
    placement = placement_lib.Placement("z1")
    choice = choose(placement, ready, excluded=frozenset(excluded))
    chosen = choice.target.target_id if choice.target else None
    assert chosen == expected


def test_all_instances_place_a_session_alike():
    ready = [target(name) for name in "abcde"]
    for session in range(50):
        asked = prompt(f"s{session}")
        chosen = {
            choose(placement_lib.Placement(zone), ready, asked).target.target_id
            for zone in ("z1", "z2")
        }
        assert len(chosen) == 1


def test_sessions_spread_over_the_targets():
    ready = [target(name) for name in "abcde"]
    placement = placement_lib.Placement("z1")
    counts = collections.Counter(
        choose(placement, ready, prompt(f"s{n}")).target.target_id
        for n in range(500)
    )
    assert min(counts.values()) > 60


@pytest.mark.parametrize(
    ("long_prompts", "target_latency_ms", "stays"),
    [(0, 400, True), (1, 400, True), (6, 400, False), (6, 3_000, True)],
)
def test_a_session_stays_until_its_first_token_would_be_late(
    long_prompts, target_latency_ms, stays
):
    ready = [target(name) for name in "abc"]
    placement = placement_lib.Placement("z1")
    preferred = choose(placement, ready, prompt("s")).target.target_id
    for number in range(long_prompts):
        placement.started(
            preferred,
            f"r{number}",
            choice=placement_lib.Choice(None),
            prompt=prompt(f"other{number}"),
            now_ms=0,
        )
    choice = placement.choose(
        ready,
        prompt=prompt("s"),
        excluded=frozenset(),
        now_ms=0,
        target_latency_ms=target_latency_ms,
    )
    assert (choice.target.target_id == preferred) is stays


@pytest.mark.parametrize(
    ("failures", "expected"), [(0, {"a", "b", "c"}), (3, {"b", "c"})]
)
def test_a_failing_target_is_shut_out(failures, expected):
    ready = [target(name) for name in "abc"]
    placement = placement_lib.Placement("z1")
    for _ in range(failures):
        placement.failed("a", now_ms=0)
    chosen = {
        choose(placement, ready, prompt(f"s{n}"), now_ms=10).target.target_id
        for n in range(60)
    }
    assert chosen == expected


def test_the_last_target_is_tried_even_if_it_fails():
    placement = placement_lib.Placement("z1")
    for _ in range(9):
        placement.failed("a", now_ms=0)
    assert choose(placement, [target("a")], now_ms=1).target.target_id == "a"


@pytest.mark.parametrize("asked", [None, prompt("s")])
def test_a_zone_that_is_cut_off_is_left_after_one_attempt(asked):
    ready = [target(f"a{n}", "z2") for n in range(4)] + [target("b", "z3")]
    placement = placement_lib.Placement("z1")
    placement.unreachable(ready[0], now_ms=0)
    choice = choose(placement, ready, asked, excluded={"a0"}, now_ms=250)
    assert choice.target.target_id == "b"
    later_ms = placement_lib.SUSPECT_MS + 1
    placement.started("b", "r", choice=choice, prompt=asked, now_ms=0)
    chosen = choose(placement, ready, asked, excluded={"b"}, now_ms=later_ms)
    assert chosen.target.availability_zone == "z2"


def test_an_unreachable_target_is_the_last_resort():
    placement = placement_lib.Placement("z1")
    placement.unreachable(target("a"), now_ms=0)
    only = choose(placement, [target("a")], now_ms=10)
    assert only.target.target_id == "a"
    placement.reachable(target("a"))
    both = choose(placement, [target("a"), target("b", "z2")], now_ms=10)
    assert both.target.target_id == "a"


def test_a_burst_on_plain_services_goes_where_slots_are_free():
    placement = placement_lib.Placement("z1")
    ready = [
        target(name, zone)
        for name, zone in zip("ab", ("z1", "z2"), strict=True)
    ]
    counts = collections.Counter()
    for number in range(24):
        choice = choose(placement, ready)
        name = choice.target.target_id
        counts[name] += 1
        placement.started(
            name, f"r{number}", choice=choice, prompt=None, now_ms=0
        )
    assert max(counts.values()) - min(counts.values()) <= 2


def test_reported_load_counts_until_it_is_old():
    placement = placement_lib.Placement("z1")
    ready = [target("a"), target("b", "z2")]
    load = facts.ReportedLoad(running=8, waiting=8, slots=8)
    placement.reported("a", load, now_ms=0)
    assert choose(placement, ready, now_ms=10).target.target_id == "b"
    later = 10 + placement_lib.REPORT_LIFETIME_MS
    assert choose(placement, ready, now_ms=later).target.target_id == "a"


@pytest.mark.parametrize("fleet", [1, 3, 10])
def test_the_fleet_stays_within_its_retries(fleet):
    generator = random.Random(fleet)
    ratio, slack, window_ms = 0.2, 50, 10_000
    allowances = [
        retry_allowance.RetryAllowance(
            ratio=ratio,
            slack=slack,
            window_ms=window_ms,
            fleet_size=lambda: fleet,
        )
        for _ in range(fleet)
    ]
    requests, retries = [], []
    for now_ms in range(0, 30_000, 20):
        allowance = generator.choice(allowances)
        allowance.note_request(now_ms=now_ms)
        requests.append(now_ms)
        while allowance.take(now_ms=now_ms):
            retries.append(now_ms)
    for end_ms in range(window_ms, 30_000, 500):
        window = range(end_ms - window_ms, end_ms)
        sent = sum(time_ms in window for time_ms in retries)
        asked = sum(time_ms in window for time_ms in requests)
        assert sent <= ratio * asked + slack


@pytest.mark.parametrize("size", [1, 3, 100])
@pytest.mark.parametrize("delimiter", [b"\n\n", b"\r\n\r\n"])
def test_only_whole_events_pass(size, delimiter):
    splitter = event_stream.EventSplitter()
    stream = b"".join(b"id: %d\ndata: x%s" % (n, delimiter) for n in range(5))
    cut = stream + b"id: 5\nda"
    out = b""
    for first in range(0, len(cut), size):
        part = splitter.feed(cut[first : first + size])
        assert not part or part.endswith(delimiter)
        out += part
    assert out == stream
    assert (splitter.events, splitter.last_event_id) == (5, b"4")


def test_an_event_without_an_end():
    splitter = event_stream.EventSplitter()
    with pytest.raises(event_stream.EventTooLargeError):
        for _ in range(300):
            splitter.feed(b"x" * 1_000)
