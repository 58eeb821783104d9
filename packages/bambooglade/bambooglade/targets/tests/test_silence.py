"""Tests of the decision when a request gives up a silent target."""

from __future__ import annotations

import pytest

from bambooglade.targets import silence

BOUNDS = silence.SilenceBounds(
    hung_ms=1_200, unreached_ms=1_600, silent_ms=2_000
)


@pytest.mark.parametrize(
    ("silent_ms", "target_silent_ms", "has_begun", "is_unreached", "expected"),
    [
        pytest.param(1_199, 0, True, True, False, id="too early"),
        pytest.param(1_200, 1_200, True, False, False, id="target stopped"),
        pytest.param(
            1_999, 1_999, True, False, False, id="target stopped longer"
        ),
        pytest.param(
            2_000, 2_000, True, False, True, id="target stopped for good"
        ),
        pytest.param(
            1_599, 1_599, True, True, False, id="target accepts nothing"
        ),
        pytest.param(1_600, 1_600, True, True, True, id="target gone"),
        pytest.param(1_200, 100, True, False, True, id="request hangs"),
        pytest.param(1_500, 100, False, False, False, id="request waits"),
        pytest.param(2_000, 100, False, False, True, id="request waits long"),
        pytest.param(
            1_300, 700, True, False, False, id="target silent for a while"
        ),
    ],
)
def test_sound_target_is_not_given_up_for_a_second_of_silence(
    silent_ms, target_silent_ms, has_begun, is_unreached, expected
):
    assert expected is silence.should_give_up(
        BOUNDS,
        silent_ms=silent_ms,
        target_silent_ms=target_silent_ms,
        has_begun=has_begun,
        is_unreached=is_unreached,
    )


@pytest.mark.parametrize(
    ("target_latency_ms", "max_event_gap_ms", "expected_ms"),
    [
        (400, None, 1_600),
        (400, 250, 1_600),
        (400, 400, 1_600),
        (419, 500, 2_000),
        (419, 600, 2_400),
        (1_000, 400, 2_000),
    ],
)
def test_silent_stream_is_given_up_before_its_caller_leaves(
    target_latency_ms, max_event_gap_ms, expected_ms
):
    bounds = silence.stream_bounds(
        target_latency_ms=target_latency_ms, max_event_gap_ms=max_event_gap_ms
    )
    patience_ms = max(2_000, 4 * target_latency_ms, 8 * (max_event_gap_ms or 0))
    assert bounds.silent_ms == expected_ms
    assert bounds.hung_ms <= bounds.unreached_ms <= bounds.silent_ms
    assert bounds.silent_ms < patience_ms


def test_target_with_several_requests_is_silent_since_its_last_response():
    activity = silence.TargetActivity()
    activity.record_dispatch("e1", now_ms=0)
    activity.record_dispatch("e1", now_ms=300)
    activity.record_response("e1", "r1", now_ms=500)
    activity.record_end("e1", "r2")
    assert activity.silent_ms("e1", now_ms=900) == 400
    assert activity.stopped_ms("e1", now_ms=900) == 400
    activity.record_end("e1", "r1")
    activity.record_dispatch("e1", now_ms=2_000)
    assert activity.silent_ms("e1", now_ms=2_100) == 100
    assert activity.stopped_ms("e1", now_ms=2_100) == 0


def test_target_with_only_a_hung_request_does_not_count_as_stopped():
    activity = silence.TargetActivity()
    activity.record_dispatch("e1", now_ms=0)
    activity.record_dispatch("e1", now_ms=100)
    activity.record_response("e1", "r2", now_ms=150)
    activity.record_end("e1", "r2")
    assert activity.stopped_ms("e1", now_ms=1_500) == 0


def leave_unanswered(activity, *, from_ms: int, until_ms: int) -> None:
    activity.record_dispatch("e1", now_ms=from_ms)
    activity.record_unanswered("e1", now_ms=until_ms)
    activity.record_end("e1", "r1")


@pytest.mark.parametrize(
    ("now_ms", "expected_ms", "is_remembered"),
    [
        (1_600, 1_600, True),
        (3_199, 1_600, True),
        (3_200, 0, True),
        (61_599, 0, True),
        (61_600, 0, False),
    ],
)
def test_target_is_expected_to_be_silent_for_as_long_again(
    now_ms, expected_ms, is_remembered
):
    activity = silence.TargetActivity()
    leave_unanswered(activity, from_ms=0, until_ms=1_600)
    assert (
        activity.expected_silence_ms("e1", now_ms=now_ms),
        activity.has_left_unanswered("e1", now_ms=now_ms),
    ) == (expected_ms, is_remembered)
    assert activity.unanswered_count(now_ms=now_ms) == is_remembered


def test_silence_of_a_target_lasts_over_several_requests():
    activity = silence.TargetActivity()
    leave_unanswered(activity, from_ms=0, until_ms=1_600)
    leave_unanswered(activity, from_ms=3_200, until_ms=4_800)
    assert activity.expected_silence_ms("e1", now_ms=9_599) == 4_800
    assert activity.expected_silence_ms("e1", now_ms=9_600) == 0


def test_only_one_request_at_a_time_tries_a_target_that_was_silent():
    activity = silence.TargetActivity()
    leave_unanswered(activity, from_ms=0, until_ms=1_600)
    activity.record_dispatch("e1", now_ms=4_000)
    assert activity.expected_silence_ms("e1", now_ms=5_599) == 1_600
    # The caller has left, so that the trial has shown nothing.
    activity.record_end("e1", "r2")
    assert activity.expected_silence_ms("e1", now_ms=5_600) == 0


def test_anything_that_a_target_sends_ends_its_silence():
    activity = silence.TargetActivity()
    leave_unanswered(activity, from_ms=0, until_ms=1_600)
    activity.record_dispatch("e1", now_ms=1_700)
    activity.record_response("e1", "r2", now_ms=1_800)
    assert activity.expected_silence_ms("e1", now_ms=1_800) == 0
    assert not activity.has_left_unanswered("e1", now_ms=1_800)
