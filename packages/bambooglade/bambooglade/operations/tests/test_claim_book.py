"""Which keys may run, who is billed, and what survives lost copies."""

from __future__ import annotations

import pytest

from bambooglade.core import effects
from bambooglade.operations import bill_decision
from bambooglade.operations import calls
from bambooglade.operations import claim_book
from bambooglade.operations import messages
from bambooglade.operations import retention
from bambooglade.operations.tests import harness
from bambooglade.shards import assignments

ENTRY_A = harness.ENTRY_A
ENTRY_B = harness.ENTRY_B
START_MS = harness.START_MS
RETENTION = retention.Retention()
DAY_MS = RETENTION.once_ms
HOUR_MS = RETENTION.repeatable_ms


@pytest.mark.parametrize(
    ("key", "told"),
    [
        ("order-17", "key_without_age"),
        (harness.make_key(START_MS), "Permit"),
        (harness.make_key(START_MS + RETENTION.skew_ms), "Permit"),
        (harness.make_key(START_MS + RETENTION.skew_ms + 1), "key_without_age"),
        (harness.make_key(START_MS - DAY_MS), "Permit"),
        (harness.make_key(START_MS - DAY_MS - 1), "key_expired"),
    ],
)
def test_age_of_a_key_that_may_not_be_repeated(key, told):
    bench = harness.Harness()
    bench.begin(ENTRY_A, harness.make_call(key))
    assert bench.names() == [told]


@pytest.mark.parametrize("key", ["order-17", harness.make_key(0)])
def test_repeatable_call_takes_any_key(key):
    bench = harness.Harness()
    bench.begin(ENTRY_A, harness.make_call(key, repeatable=True))
    assert bench.names() == ["Permit"]


def test_evicted_key_never_runs_again():
    bench = harness.Harness()
    call = harness.make_call()
    bench.begin(ENTRY_A, call)
    bench.finish(ENTRY_A, call.key)
    told = []
    for age_ms in range(0, 2 * DAY_MS, HOUR_MS):
        now_ms = START_MS + age_ms
        bench.book.tick(now_ms)
        list(bench.book.tick(now_ms))
        claim = _claim(call, number=99, entry=ENTRY_B)
        for effect in bench.book.handle(claim, ENTRY_B, now_ms):
            told += [type(send.message) for send in _sends(effect)]
    assert messages.ClaimGranted not in told
    assert messages.ClaimRefused in told
    assert bench.book.record(call.key) is None


@pytest.mark.parametrize(
    ("made_after_loss_ms", "first_attempt", "told"),
    [
        (-1, False, "outcome_unknown"),
        (2 * RETENTION.skew_ms, False, "outcome_unknown"),
        (2 * RETENTION.skew_ms + 1, False, "Permit"),
        (-1, True, "Permit"),
    ],
)
def test_keys_older_than_the_loss_of_both_copies_never_run(
    made_after_loss_ms, first_attempt, told
):
    bench = harness.Harness()
    bench.promote_empty()
    lost_at_ms = bench.now_ms
    bench.now_ms += 3 * RETENTION.skew_ms
    key = harness.make_key(lost_at_ms + made_after_loss_ms)
    call = harness.make_call(
        key, deadline_ms=bench.now_ms + 9_000, first_attempt=first_attempt
    )
    bench.begin(ENTRY_A, call)
    assert bench.names() == [told]


def test_loss_counts_from_the_moment_that_the_new_primary_knew():
    """The write that promoted it took a minute; a copy of it knows, too."""
    books = [claim_book.ClaimBook(retention=RETENTION) for _ in range(2)]
    assignment = assignments.Assignment(
        epoch=2, primary="p", backup=None, history_lost_at_ms=START_MS
    )
    list(books[0].promote(assignment, START_MS + 60_000))
    for record in books[0].records():
        books[1].install(record)
    list(books[1].promote(assignment, START_MS + 70_000))
    call = harness.make_call(harness.make_key(START_MS + 50_000))
    for book in books:
        (refused,) = book.handle(
            _claim(call, entry=ENTRY_A), ENTRY_A, START_MS + 90_000
        )
        assert refused.message.reason is messages.ClaimRefusal.HISTORY_LOST


@pytest.mark.parametrize("repeatable", [True, False])
def test_finished_key_survives_the_primary(repeatable):
    bench = harness.Harness()
    call = harness.make_call(repeatable=repeatable)
    bench.begin(ENTRY_A, call)
    bench.finish(ENTRY_A, call.key, answer=harness.ANSWER)
    bench.promote_backup()
    bench.begin(ENTRY_B, call)
    assert bench.names() == ["Permit", "Billed", "Replay"]


def test_held_key_survives_the_primary():
    bench = harness.Harness()
    call = harness.make_call()
    bench.begin(ENTRY_A, call)
    bench.promote_backup()
    bench.begin(ENTRY_B, call)
    bench.pass_time(1_000)
    assert bench.names() == ["Permit"]


@pytest.mark.parametrize(
    ("elapsed_ms", "first_holder", "decision"),
    [
        (1_000, True, messages.Decision.BILLED),
        (1_000, False, messages.Decision.VOIDED),
        (35_000, True, messages.Decision.VOIDED),
    ],
)
def test_bill_of_a_run_that_outlives_both_copies(
    elapsed_ms, first_holder, decision
):
    bench = harness.Harness()
    call = harness.make_call(repeatable=True)
    bench.promote_empty()
    report = _report(call, entry=ENTRY_A, is_first_holder=first_holder)
    assert _decision(bench.book, report, START_MS + elapsed_ms) is decision


@pytest.mark.parametrize(
    ("elapsed_ms", "decision"),
    [
        (30_000 + bill_decision.HOLDER_GRACE_MS - 1, messages.Decision.PENDING),
        (30_000 + bill_decision.HOLDER_GRACE_MS, messages.Decision.BILLED),
        (HOUR_MS + 1, messages.Decision.VOIDED),
    ],
)
def test_run_of_another_than_the_holder(elapsed_ms, decision):
    book = claim_book.ClaimBook(retention=RETENTION)
    call = harness.make_call(repeatable=True)
    list(book.handle(_claim(call, entry=ENTRY_A), ENTRY_A, START_MS))
    report = _report(call, entry=ENTRY_B)
    assert _decision(book, report, START_MS + elapsed_ms) is decision


@pytest.mark.parametrize("repeats", [1, 2, 3])
def test_only_one_report_is_billed(repeats):
    book = claim_book.ClaimBook(retention=RETENTION)
    call = harness.make_call(repeatable=True)
    decisions = [
        _decision(book, _report(call, entry=entry), START_MS)
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
    assert bench.names() == ["Permit", "outcome_unknown"]
    bench.finish(ENTRY_A, call.key, answer=harness.ANSWER)
    bench.begin(ENTRY_B, retry)
    assert bench.names()[2:] == ["Billed", "Replay"]


def test_withdrawal_frees_an_overdue_claim_but_no_unknown_outcome():
    book = claim_book.ClaimBook(retention=RETENTION)
    call = harness.make_call()
    late_ms = call.deadline_ms + bill_decision.HOLDER_GRACE_MS
    withdraw = messages.Withdraw(key=call.key, attempt=_attempt(ENTRY_A, 2))
    list(book.handle(_claim(call, entry=ENTRY_A), ENTRY_A, START_MS))
    unknown = calls.RunEnd(result=calls.RunResult.UNKNOWN, spent_tokens=0)
    list(book.handle(withdraw, ENTRY_A, late_ms))
    assert book.record(call.key).holder is None
    claim = _claim(call, number=3, entry=ENTRY_A)
    list(book.handle(claim, ENTRY_A, START_MS))
    report = _report(call, number=3, entry=ENTRY_A, end=unknown)
    assert _decision(book, report, START_MS) is messages.Decision.PENDING
    withdraw = messages.Withdraw(key=call.key, attempt=_attempt(ENTRY_A, 4))
    list(book.handle(withdraw, ENTRY_A, START_MS))
    assert book.record(call.key).state == "unknown"


@pytest.mark.parametrize(
    ("ends_with", "state"),
    [
        (None, messages.OutcomeState.IN_PROGRESS),
        (calls.RunResult.FINISHED, messages.OutcomeState.FINISHED),
        (calls.RunResult.UNKNOWN, messages.OutcomeState.UNKNOWN),
        (calls.RunResult.NOT_RUN, messages.OutcomeState.NOT_RECORDED),
    ],
)
def test_look_up(ends_with, state):
    bench = harness.Harness()
    call = harness.make_call()
    bench.begin(ENTRY_A, call)
    if ends_with is not None:
        bench.finish(ENTRY_A, call.key, result=ends_with)
    part = bench.entry_by_id[ENTRY_B]
    bench.perform(ENTRY_B, part.look_up(call.key, "q", bench.now_ms))
    assert bench.ends[-1].found.state is state


def test_look_up_of_a_silent_arbiter_ends():
    bench = harness.Harness()
    bench.lose = lambda message: isinstance(message, messages.LookUp)
    part = bench.entry_by_id[ENTRY_B]
    bench.perform(ENTRY_B, part.look_up("key", "q", bench.now_ms))
    bench.pass_time(3_000)
    assert bench.names() == ["OutcomeUnavailable"]


def test_answers_of_repeatable_calls_are_dropped_early():
    bench = harness.Harness()
    call = harness.make_call(repeatable=True)
    bench.begin(ENTRY_A, call)
    bench.finish(ENTRY_A, call.key, answer=harness.ANSWER)
    list(bench.book.tick(START_MS + RETENTION.answer_ms))
    assert bench.book.record(call.key).answer is None


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


def _decision(book, report, now_ms):
    sent = [
        send.message
        for effect in book.handle(report, report.attempt.entry, now_ms)
        for send in _sends(effect)
    ]
    return sent[-1].decision


def _sends(effect):
    is_sent_at_once = isinstance(effect, effects.Send)
    return (effect,) if is_sent_at_once else getattr(effect, "then", ())
