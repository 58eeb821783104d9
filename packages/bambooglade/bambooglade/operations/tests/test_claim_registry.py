"""Grants and bills of the claim registry, also after a loss of copies."""

from __future__ import annotations

import pytest

from bambooglade.core import effects
from bambooglade.operations import bill_decision
from bambooglade.operations import calls
from bambooglade.operations import claim_registry
from bambooglade.operations import messages
from bambooglade.operations import retention
from bambooglade.operations.tests import harness
from bambooglade.shards import assignments

ENTRY_A = harness.ENTRY_A
ENTRY_B = harness.ENTRY_B
START_MS = harness.START_MS
RETENTION = retention.Retention()
DAY_MS = RETENTION.non_repeatable_ms
HOUR_MS = RETENTION.repeatable_ms


@pytest.mark.parametrize(
    ("key", "expected"),
    [
        ("order-17", "key_without_age"),
        (harness.make_key(START_MS), "Permit"),
        (harness.make_key(START_MS + RETENTION.max_clock_skew_ms), "Permit"),
        (
            harness.make_key(START_MS + RETENTION.max_clock_skew_ms + 1),
            "key_without_age",
        ),
        (harness.make_key(START_MS - DAY_MS), "Permit"),
        (harness.make_key(START_MS - DAY_MS - 1), "key_expired"),
    ],
)
def test_non_repeatable_call_requires_a_key_of_valid_age(key, expected):
    bench = harness.Harness()
    bench.begin(ENTRY_A, harness.make_call(key))
    assert bench.outcome_names() == [expected]


@pytest.mark.parametrize("key", ["order-17", harness.make_key(0)])
def test_repeatable_call_accepts_any_key(key):
    bench = harness.Harness()
    bench.begin(ENTRY_A, harness.make_call(key, repeatable=True))
    assert bench.outcome_names() == ["Permit"]


def test_evicted_key_never_runs_again():
    bench = harness.Harness()
    call = harness.make_call()
    bench.begin(ENTRY_A, call)
    bench.finish(ENTRY_A, call.key)
    sent_types = []
    for age_ms in range(0, 2 * DAY_MS, HOUR_MS):
        now_ms = START_MS + age_ms
        bench.registry.tick(now_ms)
        list(bench.registry.tick(now_ms))
        claim = _claim(call, number=99, entry=ENTRY_B)
        for effect in bench.registry.handle(claim, ENTRY_B, now_ms):
            sent_types += [type(send.message) for send in _sends(effect)]
    assert messages.ClaimGranted not in sent_types
    assert messages.ClaimRefused in sent_types
    assert bench.registry.record(call.key) is None


@pytest.mark.parametrize(
    ("created_after_loss_ms", "first_attempt", "expected"),
    [
        (-1, False, "outcome_unknown"),
        (2 * RETENTION.max_clock_skew_ms, False, "outcome_unknown"),
        (2 * RETENTION.max_clock_skew_ms + 1, False, "Permit"),
        (-1, True, "Permit"),
    ],
)
def test_only_keys_newer_than_a_loss_of_both_copies_run(
    created_after_loss_ms, first_attempt, expected
):
    bench = harness.Harness()
    bench.promote_without_records()
    lost_at_ms = bench.now_ms
    bench.now_ms += 3 * RETENTION.max_clock_skew_ms
    key = harness.make_key(lost_at_ms + created_after_loss_ms)
    call = harness.make_call(
        key, deadline_ms=bench.now_ms + 9_000, first_attempt=first_attempt
    )
    bench.begin(ENTRY_A, call)
    assert bench.outcome_names() == [expected]


def test_loss_is_dated_to_the_notification_of_the_new_primary():
    """Guards against granting keys that the former primary may have granted.

    The write that promotes the new primary takes a minute, during which the
    former one still grants claims. A later primary that received a copy of the
    loss record must refuse the same keys.
    """
    registries = [
        claim_registry.ClaimRegistry(retention=RETENTION) for _ in range(2)
    ]
    assignment = assignments.Assignment(
        epoch=2, primary="p", backup=None, history_lost_at_ms=START_MS
    )
    list(registries[0].promote(assignment, START_MS + 60_000))
    for record in registries[0].records():
        registries[1].install(record)
    list(registries[1].promote(assignment, START_MS + 70_000))
    call = harness.make_call(harness.make_key(START_MS + 50_000))
    for registry in registries:
        (refused,) = registry.handle(
            _claim(call, entry=ENTRY_A), ENTRY_A, START_MS + 90_000
        )
        assert refused.message.reason is messages.ClaimRefusal.HISTORY_LOST


@pytest.mark.parametrize("repeatable", [True, False])
def test_finished_key_survives_failover(repeatable):
    bench = harness.Harness()
    call = harness.make_call(repeatable=repeatable)
    bench.begin(ENTRY_A, call)
    bench.finish(ENTRY_A, call.key, answer=harness.RESPONSE)
    bench.promote_backup()
    bench.begin(ENTRY_B, call)
    assert bench.outcome_names() == ["Permit", "Billed", "Replay"]


def test_held_key_survives_failover():
    bench = harness.Harness()
    call = harness.make_call()
    bench.begin(ENTRY_A, call)
    bench.promote_backup()
    bench.begin(ENTRY_B, call)
    bench.advance_time(1_000)
    assert bench.outcome_names() == ["Permit"]


@pytest.mark.parametrize(
    ("elapsed_ms", "is_first_holder", "decision"),
    [
        (1_000, True, messages.Decision.BILLED),
        (1_000, False, messages.Decision.VOIDED),
        (35_000, True, messages.Decision.VOIDED),
    ],
)
def test_bill_of_a_run_reported_after_the_loss_of_both_copies(
    elapsed_ms, is_first_holder, decision
):
    bench = harness.Harness()
    call = harness.make_call(repeatable=True)
    bench.promote_without_records()
    report = _report(call, entry=ENTRY_A, is_first_holder=is_first_holder)
    assert _decision(bench.registry, report, START_MS + elapsed_ms) is decision


@pytest.mark.parametrize(
    ("elapsed_ms", "decision"),
    [
        (30_000 + bill_decision.HOLDER_GRACE_MS - 1, messages.Decision.PENDING),
        (30_000 + bill_decision.HOLDER_GRACE_MS, messages.Decision.BILLED),
        (HOUR_MS + 1, messages.Decision.VOIDED),
    ],
)
def test_run_of_another_entry_is_billed_after_the_claim_expires(
    elapsed_ms, decision
):
    registry = claim_registry.ClaimRegistry(retention=RETENTION)
    call = harness.make_call(repeatable=True)
    list(registry.handle(_claim(call, entry=ENTRY_A), ENTRY_A, START_MS))
    report = _report(call, entry=ENTRY_B)
    assert _decision(registry, report, START_MS + elapsed_ms) is decision


@pytest.mark.parametrize("repeats", [1, 2, 3])
def test_only_the_first_entry_to_report_is_billed(repeats):
    registry = claim_registry.ClaimRegistry(retention=RETENTION)
    call = harness.make_call(repeatable=True)
    decisions = [
        _decision(registry, _report(call, entry=entry), START_MS)
        for entry in (ENTRY_A, ENTRY_B)
        for _ in range(repeats)
    ]
    billed = [messages.Decision.BILLED] * repeats
    assert decisions == billed + [messages.Decision.VOIDED] * repeats


def test_holder_that_never_reports_leaves_the_outcome_unknown():
    bench = harness.Harness()
    call = harness.make_call()
    bench.begin(ENTRY_A, call)
    bench.now_ms = call.deadline_ms + bill_decision.HOLDER_GRACE_MS
    retry = harness.make_call(call.key, deadline_ms=bench.now_ms + 9_000)
    bench.begin(ENTRY_B, retry)
    assert bench.outcome_names() == ["Permit", "outcome_unknown"]
    bench.finish(ENTRY_A, call.key, answer=harness.RESPONSE)
    bench.begin(ENTRY_B, retry)
    assert bench.outcome_names()[2:] == ["Billed", "Replay"]


def test_withdrawal_releases_an_expired_claim_but_no_unknown_outcome():
    registry = claim_registry.ClaimRegistry(retention=RETENTION)
    call = harness.make_call()
    late_ms = call.deadline_ms + bill_decision.HOLDER_GRACE_MS
    withdraw = messages.Withdraw(key=call.key, attempt=_attempt(ENTRY_A, 2))
    list(registry.handle(_claim(call, entry=ENTRY_A), ENTRY_A, START_MS))
    unknown = calls.RunEnd(result=calls.RunResult.UNKNOWN, spent_tokens=0)
    list(registry.handle(withdraw, ENTRY_A, late_ms))
    assert registry.record(call.key).holder is None
    claim = _claim(call, number=3, entry=ENTRY_A)
    list(registry.handle(claim, ENTRY_A, START_MS))
    report = _report(call, number=3, entry=ENTRY_A, end=unknown)
    assert _decision(registry, report, START_MS) is messages.Decision.PENDING
    withdraw = messages.Withdraw(key=call.key, attempt=_attempt(ENTRY_A, 4))
    list(registry.handle(withdraw, ENTRY_A, START_MS))
    assert registry.record(call.key).state == "unknown"


@pytest.mark.parametrize(
    ("run_result", "state"),
    [
        (None, messages.OutcomeState.IN_PROGRESS),
        (calls.RunResult.FINISHED, messages.OutcomeState.FINISHED),
        (calls.RunResult.UNKNOWN, messages.OutcomeState.UNKNOWN),
        (calls.RunResult.NOT_RUN, messages.OutcomeState.NOT_RECORDED),
    ],
)
def test_look_up_returns_the_recorded_state(run_result, state):
    bench = harness.Harness()
    call = harness.make_call()
    bench.begin(ENTRY_A, call)
    if run_result is not None:
        bench.finish(ENTRY_A, call.key, result=run_result)
    entry = bench.entry_by_id[ENTRY_B]
    bench.apply_effects(ENTRY_B, entry.look_up(call.key, "q", bench.now_ms))
    assert bench.outcomes[-1].outcome.state is state


def test_look_up_times_out_if_the_arbiter_does_not_respond():
    bench = harness.Harness()
    bench.should_drop = lambda message: isinstance(message, messages.LookUp)
    entry = bench.entry_by_id[ENTRY_B]
    bench.apply_effects(ENTRY_B, entry.look_up("key", "q", bench.now_ms))
    bench.advance_time(3_000)
    assert bench.outcome_names() == ["OutcomeUnavailable"]


def test_responses_of_repeatable_calls_are_evicted_before_their_records():
    bench = harness.Harness()
    call = harness.make_call(repeatable=True)
    bench.begin(ENTRY_A, call)
    bench.finish(ENTRY_A, call.key, answer=harness.RESPONSE)
    list(bench.registry.tick(START_MS + RETENTION.response_ms))
    assert bench.registry.record(call.key).answer is None


def _attempt(entry, number=1):
    return messages.Attempt(entry=entry, number=number)


def _claim(call, *, entry, number=1):
    return messages.Claim(
        key=call.key,
        attempt=_attempt(entry, number),
        fingerprint=call.fingerprint,
        repeatable=call.repeatable,
        deadline_ms=call.deadline_ms,
    )


def _report(call, *, entry, number=1, is_first_holder=False, end=None):
    return messages.ReportRun(
        key=call.key,
        attempt=_attempt(entry, number),
        fingerprint=call.fingerprint,
        repeatable=call.repeatable,
        is_first_holder=is_first_holder,
        begun_at_ms=START_MS,
        deadline_ms=call.deadline_ms,
        end=end
        or calls.RunEnd(result=calls.RunResult.FINISHED, spent_tokens=7),
    )


def _decision(registry, report, now_ms):
    sent = [
        send.message
        for effect in registry.handle(report, report.attempt.entry, now_ms)
        for send in _sends(effect)
    ]
    return sent[-1].decision


def _sends(effect):
    is_sent_immediately = isinstance(effect, effects.Send)
    return (effect,) if is_sent_immediately else getattr(effect, "then", ())
