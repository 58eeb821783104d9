"""The course of a call at its entry, alone and with retries elsewhere."""

from __future__ import annotations

import pytest

from bambooglade.budgets import messages as budget_messages
from bambooglade.operations import calls
from bambooglade.operations import claim_request
from bambooglade.operations import closing
from bambooglade.operations import coordinator
from bambooglade.operations import messages
from bambooglade.operations import operation
from bambooglade.operations.tests import harness

ENTRY_A = harness.ENTRY_A
ENTRY_B = harness.ENTRY_B


def _loses(*types):
    return lambda message: isinstance(message, types)


def _spent(bench):
    return sum(
        sum(ledger.spent_by_id.values())
        for ledger in bench.ledger_by_budget.values()
    )


def _reserved(bench):
    return sum(
        sum(ledger.reserved_by_id.values())
        for ledger in bench.ledger_by_budget.values()
    )


@pytest.mark.parametrize("repeatable", [True, False])
def test_call_is_permitted_billed_and_replayed(repeatable):
    bench = harness.Harness()
    call = harness.make_call(repeatable=repeatable)
    bench.begin(ENTRY_A, call)
    bench.finish(ENTRY_A, call.key, answer=harness.ANSWER)
    bench.begin(ENTRY_B, call)
    assert bench.names() == ["Permit", "Billed", "Replay"]
    assert bench.ends[1].bill.spent_tokens == 7
    assert bench.ends[2].bill.spent_tokens == 7
    assert (_spent(bench), _reserved(bench)) == (7, 0)
    assert bench.entry_by_id[ENTRY_A].pending_settlement_count() == 0


@pytest.mark.parametrize(
    ("reason", "first_attempt", "repeatable", "kind", "ran"),
    [
        ("exhausted", False, False, "budget_exhausted", "no"),
        ("exhausted", True, True, "budget_exhausted", "no"),
        ("exhausted", False, True, "outcome_unknown", "unknown"),
        ("unreachable", False, False, "rights_unreachable", "no"),
        ("unreachable", True, True, "rights_unreachable", "no"),
        ("unknown_budget", True, True, "budget_exhausted", "no"),
    ],
)
def test_refusal_by_an_account_releases_all(
    reason, first_attempt, repeatable, kind, ran
):
    bench = harness.Harness()
    ledger = bench.ledger_by_budget[harness.ZONE_A, "team-2"]
    ledger.tokens = 5
    ledger.reason = budget_messages.RefusalReason(reason)
    draws = tuple(
        calls.Draw(budget_id=budget_id, bound_tokens=10)
        for budget_id in ("team-2", "team-1")
    )
    call = harness.make_call(
        draws=draws, repeatable=repeatable, first_attempt=first_attempt
    )
    bench.begin(ENTRY_A, call)
    assert bench.names() == [kind]
    assert bench.ends[0].failure.ran == ran
    assert (_spent(bench), _reserved(bench)) == (0, 0)
    ledger.tokens = 50
    bench.begin(ENTRY_B, call)
    assert bench.names() == [kind, "Permit"]


@pytest.mark.parametrize(
    ("lost", "first_attempt", "kind", "ran"),
    [
        (messages.Claim, True, "claim_unavailable", "no"),
        (messages.Claim, False, "outcome_unknown", "unknown"),
        (messages.ClaimGranted, True, "claim_unavailable", "no"),
        (messages.ClaimGranted, False, "outcome_unknown", "unknown"),
    ],
)
def test_call_without_claim_is_refused_and_can_never_run(
    lost, first_attempt, kind, ran
):
    bench = harness.Harness()
    bench.lose = _loses(lost)
    call = harness.make_call(first_attempt=first_attempt)
    bench.begin(ENTRY_A, call)
    bench.pass_time(5_000)
    assert bench.names() == [kind]
    assert bench.ends[0].failure.ran == ran
    bench.lose = _loses()
    late = messages.ClaimGranted(
        key=call.key, attempt=messages.Attempt(entry=ENTRY_A, number=1)
    )
    part = bench.entry_by_id[ENTRY_A]
    assert not list(part.handle(late, harness.ARBITER, bench.now_ms))
    bench.pass_time(5_000)
    assert part.pending_settlement_count() == 0
    bench.begin(ENTRY_B, call)
    assert bench.names() == [kind, "Permit"]


def test_delayed_claim_after_its_withdrawal_is_not_granted():
    bench = harness.Harness()
    call = harness.make_call()
    bench.lose = _loses(messages.Claim)
    bench.begin(ENTRY_A, call)
    delayed = bench.sent[0]
    bench.lose = _loses()
    bench.cancel(ENTRY_A, call.key)
    assert not list(bench.book.handle(delayed, ENTRY_A, bench.now_ms))
    bench.begin(ENTRY_B, call)
    assert bench.names()[-1] == "Permit"


def test_lone_arbiter_grants_nothing_that_may_not_be_repeated():
    bench = harness.Harness(has_backup=False)
    bench.begin(ENTRY_A, harness.make_call(first_attempt=True))
    bench.pass_time(operation.NO_BACKUP_TIMEOUT_MS)
    assert bench.names() == ["claim_unavailable"]
    bench.begin(ENTRY_A, harness.make_call(repeatable=True))
    assert bench.names()[-1] == "Permit"


def test_retry_waits_for_the_run_elsewhere_and_replays_it():
    bench = harness.Harness()
    call = harness.make_call()
    bench.begin(ENTRY_A, call)
    bench.begin(ENTRY_B, call)
    bench.pass_time(1_000)
    assert bench.names() == ["Permit"]
    bench.finish(ENTRY_A, call.key, answer=harness.ANSWER)
    bench.pass_time(claim_request.HELD_POLL_MS)
    assert bench.names() == ["Permit", "Billed", "Replay"]
    assert _spent(bench) == 7


@pytest.mark.parametrize(
    ("repeatable", "ended"),
    [(True, "Permit"), (False, "outcome_unknown")],
)
def test_retry_after_the_entry_died(repeatable, ended):
    bench = harness.Harness()
    call = harness.make_call(repeatable=repeatable)
    bench.begin(ENTRY_A, call)
    bench.restart(ENTRY_A)
    bench.begin(ENTRY_B, call)
    assert bench.names() == ["Permit"]
    bench.fleet.suspected.add(ENTRY_A)
    bench.pass_time(500)
    assert bench.names() == ["Permit", ended]


def test_second_run_of_a_repeatable_call_is_voided_and_credited():
    bench = harness.Harness()
    call = harness.make_call(repeatable=True)
    bench.begin(ENTRY_A, call)
    bench.lose = _loses(messages.Claim)
    bench.begin(ENTRY_B, call)
    bench.pass_time(200)
    assert bench.names() == ["Permit", "Permit"]
    bench.lose = _loses()
    bench.finish(ENTRY_B, call.key)
    bench.finish(ENTRY_A, call.key)
    bench.pass_time(claim_request.UNDECIDED_POLL_MS + 1_000)
    bills = [end.bill for end in bench.ends if hasattr(end, "bill")]
    assert [(bill.undecided, bill.voided) for bill in bills] == [
        (False, False),
        (True, False),
    ]
    assert (_spent(bench), _reserved(bench)) == (7, 0)


def test_run_of_a_dead_holder_leaves_the_bill_to_the_retry():
    bench = harness.Harness()
    call = harness.make_call(repeatable=True)
    bench.begin(ENTRY_A, call)
    bench.restart(ENTRY_A)
    bench.fleet.suspected.add(ENTRY_A)
    bench.begin(ENTRY_B, call)
    bench.finish(ENTRY_B, call.key)
    bench.pass_time(60_000)
    assert _spent(bench) == 7


def test_calls_of_one_key_at_one_entry_wait_for_the_first():
    bench = harness.Harness()
    call = harness.make_call(call_id="1")
    bench.begin(ENTRY_A, call)
    bench.begin(ENTRY_A, harness.make_call(call.key, call_id="2"))
    bench.begin(
        ENTRY_A, harness.make_call(call.key, call_id="3", fingerprint="g")
    )
    bench.finish(ENTRY_A, call.key, answer=harness.ANSWER)
    assert bench.names() == ["Permit", "key_reused", "Billed", "Replay"]
    assert [end.call_id for end in bench.ends] == ["1", "3", "1", "2"]


def test_settlement_is_repeated_behind_the_answer():
    bench = harness.Harness()
    call = harness.make_call()
    bench.begin(ENTRY_A, call)
    bench.lose = _loses(budget_messages.Settle, messages.ReportRun)
    bench.finish(ENTRY_A, call.key)
    assert bench.names() == ["Permit"]
    bench.pass_time(500)
    assert bench.names() == ["Permit", "Billed"]
    part = bench.entry_by_id[ENTRY_A]
    assert part.pending_settlement_count() > 0
    bench.lose = _loses()
    bench.pass_time(5_000)
    assert part.pending_settlement_count() == 0
    assert (_spent(bench), _reserved(bench)) == (7, 0)


def test_unknown_outcome_keeps_the_bound_until_it_is_resolved():
    bench = harness.Harness()
    call = harness.make_call()
    bench.begin(ENTRY_A, call)
    bench.finish(
        ENTRY_A, call.key, result=calls.RunResult.UNKNOWN, spent_tokens=0
    )
    bench.pass_time(20_000)
    assert bench.ends[-1].bill.undecided
    assert (_spent(bench), _reserved(bench)) == (0, 10)
    bench.begin(ENTRY_B, call)
    assert bench.names()[-1] == "outcome_unknown"
    resolve = messages.ResolveOutcome(
        key=call.key, spent_tokens=4, operator="ann", look_up_id="1"
    )
    part = bench.entry_by_id[ENTRY_B]
    bench.perform(ENTRY_B, part.resolve(resolve, bench.now_ms))
    bench.pass_time(claim_request.UNDECIDED_POLL_MS)
    assert bench.names()[-1] == "OutcomeFound"
    assert (_spent(bench), _reserved(bench)) == (4, 0)


@pytest.mark.parametrize("repeatable", [True, False])
def test_run_that_did_not_happen_is_not_billed_and_may_be_retried(repeatable):
    bench = harness.Harness()
    call = harness.make_call(repeatable=repeatable)
    bench.begin(ENTRY_A, call)
    bench.finish(
        ENTRY_A, call.key, result=calls.RunResult.NOT_RUN, spent_tokens=0
    )
    bench.begin(ENTRY_B, call)
    assert bench.names() == ["Permit", "Billed", "Permit"]
    assert _spent(bench) == 0


def test_silent_zone_is_left_for_the_next():
    bench = harness.Harness()
    call = harness.make_call(repeatable=True, first_attempt=True)
    bench.lose = _loses(budget_messages.Reserve)
    bench.begin(ENTRY_A, call)
    bench.pass_time(1_000)
    bench.lose = _loses()
    bench.pass_time(1_000)
    assert bench.names() == ["Permit"]


def test_foreign_messages_are_rejected_loudly():
    bench = harness.Harness()
    with pytest.raises(TypeError, match="TO_ARBITER"):
        list(bench.book.handle(budget_messages.Settled, "x", 0))


def test_message_types_name_every_answer():
    types = coordinator.Coordinator.message_types
    assert set(messages.TO_ENTRY) < set(types)


def test_withdrawals_are_bounded_in_time_and_per_tick():
    bench = harness.Harness()
    bench.lose = _loses(messages.Claim, messages.Withdraw)
    count = coordinator.MAX_ENDED_PER_TICK + 50
    for tail in range(count):
        bench.begin(ENTRY_A, harness.make_call(harness.make_key(tail=tail)))
    bench.pass_time(6_000)
    part = bench.entry_by_id[ENTRY_A]
    assert len(bench.ends) == part.pending_settlement_count() == count
    before = len(bench.sent)
    bench.pass_time(50)
    assert len(bench.sent) - before <= coordinator.MAX_ENDED_PER_TICK
    bench.now_ms += claim_request.WITHDRAWAL_LIMIT_MS
    bench.pass_time(10_000)
    assert part.pending_settlement_count() == 0


def test_long_answer_of_a_repeatable_call_is_not_kept():
    bench = harness.Harness()
    body = b"x" * (closing.MAX_REPEATABLE_ANSWER_BYTES + 1)
    answer = calls.StoredResponse(http_status=200, content_type="", body=body)
    for repeatable, told in ((True, "Permit"), (False, "Replay")):
        key = harness.make_key(tail=int(repeatable) + 1)
        call = harness.make_call(key, repeatable=repeatable)
        bench.begin(ENTRY_A, call)
        bench.finish(ENTRY_A, key, answer=answer)
        bench.begin(ENTRY_B, call)
        assert bench.names()[-1] == told


@pytest.mark.parametrize(
    ("delivered", "billed"),
    [
        ((3, 9), 9),
        ((3, 9, 2), 9),
        ((3, 9, 10), 10),
        ((9, 3), 9),
        ((4, 4), 4),
        ((0, 5), 5),
    ],
)
@pytest.mark.parametrize(
    "lost",
    [
        (),
        (messages.RunRecorded,),
        (messages.ReportRun,),
        (budget_messages.Settled,),
    ],
)
@pytest.mark.parametrize("entries", [(ENTRY_A, ENTRY_B), (ENTRY_A, ENTRY_A)])
def test_stream_cut_by_its_caller_and_sent_again(
    delivered, billed, lost, entries
):
    bench = harness.Harness()
    call = harness.make_call(
        repeatable=True, deadline_ms=harness.START_MS + 300_000
    )
    for number, tokens in enumerate(delivered):
        entry = entries[number % 2]
        bench.begin(entry, call)
        bench.lose = _loses(*lost)
        bench.finish(entry, call.key, spent_tokens=tokens)
        bench.lose = _loses()
        bench.pass_time(40_000)
    assert (_spent(bench), _reserved(bench)) == (billed, 0)
    told = [end for end in bench.ends if isinstance(end, calls.Billed)]
    assert len(told) == len(delivered)
    assert bench.book.record(call.key).billed_tokens == billed


def test_bill_of_a_repeated_stream_survives_the_loss_of_the_primary():
    bench = harness.Harness()
    call = harness.make_call(repeatable=True)
    for entry, tokens in ((ENTRY_A, 3), (ENTRY_B, 9), (ENTRY_A, 8)):
        bench.begin(entry, call)
        bench.finish(entry, call.key, spent_tokens=tokens)
        bench.promote_backup()
    assert _spent(bench) == 9
