"""Calls at their entry instance, with and without retries at another one."""

from __future__ import annotations

import pytest

from bambooglade.budgets import messages as budget_messages
from bambooglade.operations import calls
from bambooglade.operations import claim_request
from bambooglade.operations import coordinator
from bambooglade.operations import messages
from bambooglade.operations import operation
from bambooglade.operations import run_settlement
from bambooglade.operations.tests import harness

ENTRY_A = harness.ENTRY_A
ENTRY_B = harness.ENTRY_B


def _is_of_type(*types):
    return lambda message: isinstance(message, types)


def _spent_tokens(bench):
    return sum(
        sum(account.spent_by_id.values())
        for account in bench.account_by_budget.values()
    )


def _reserved_tokens(bench):
    return sum(
        sum(account.reserved_by_id.values())
        for account in bench.account_by_budget.values()
    )


@pytest.mark.parametrize("repeatable", [True, False])
def test_call_is_permitted_billed_and_replayed(repeatable):
    bench = harness.Harness()
    call = harness.make_call(repeatable=repeatable)
    bench.begin(ENTRY_A, call)
    bench.finish(ENTRY_A, call.key, answer=harness.RESPONSE)
    bench.begin(ENTRY_B, call)
    assert bench.outcome_names() == ["Permit", "Billed", "Replay"]
    assert bench.outcomes[1].bill.spent_tokens == 7
    assert bench.outcomes[2].bill.spent_tokens == 7
    assert (_spent_tokens(bench), _reserved_tokens(bench)) == (7, 0)
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
def test_refusal_by_one_account_releases_all_draws(
    reason, first_attempt, repeatable, kind, ran
):
    bench = harness.Harness()
    account = bench.account_by_budget[harness.ZONE_A, "team-2"]
    account.tokens = 5
    account.reason = budget_messages.RefusalReason(reason)
    draws = tuple(
        calls.Draw(budget_id=budget_id, bound_tokens=10)
        for budget_id in ("team-2", "team-1")
    )
    call = harness.make_call(
        draws=draws, repeatable=repeatable, first_attempt=first_attempt
    )
    bench.begin(ENTRY_A, call)
    assert bench.outcome_names() == [kind]
    assert bench.outcomes[0].failure.ran == ran
    assert (_spent_tokens(bench), _reserved_tokens(bench)) == (0, 0)
    account.tokens = 50
    bench.begin(ENTRY_B, call)
    assert bench.outcome_names() == [kind, "Permit"]


@pytest.mark.parametrize(
    ("lost", "first_attempt", "kind", "ran"),
    [
        (messages.Claim, True, "claim_unavailable", "no"),
        (messages.Claim, False, "outcome_unknown", "unknown"),
        (messages.ClaimGranted, True, "claim_unavailable", "no"),
        (messages.ClaimGranted, False, "outcome_unknown", "unknown"),
    ],
)
def test_call_without_claim_is_refused_and_never_permitted_later(
    lost, first_attempt, kind, ran
):
    bench = harness.Harness()
    bench.should_drop = _is_of_type(lost)
    call = harness.make_call(first_attempt=first_attempt)
    bench.begin(ENTRY_A, call)
    bench.advance_time(5_000)
    assert bench.outcome_names() == [kind]
    assert bench.outcomes[0].failure.ran == ran
    bench.should_drop = _is_of_type()
    late = messages.ClaimGranted(
        key=call.key, attempt=messages.Attempt(entry=ENTRY_A, number=1)
    )
    entry = bench.entry_by_id[ENTRY_A]
    assert not list(entry.handle(late, harness.ARBITER, bench.now_ms))
    bench.advance_time(5_000)
    assert entry.pending_settlement_count() == 0
    bench.begin(ENTRY_B, call)
    assert bench.outcome_names() == [kind, "Permit"]


def test_delayed_claim_after_its_withdrawal_is_not_granted():
    bench = harness.Harness()
    call = harness.make_call()
    bench.should_drop = _is_of_type(messages.Claim)
    bench.begin(ENTRY_A, call)
    delayed = bench.sent[0]
    bench.should_drop = _is_of_type()
    bench.cancel(ENTRY_A, call.key)
    assert not list(bench.registry.handle(delayed, ENTRY_A, bench.now_ms))
    bench.begin(ENTRY_B, call)
    assert bench.outcome_names()[-1] == "Permit"


def test_arbiter_without_backup_grants_only_repeatable_calls():
    bench = harness.Harness(has_backup=False)
    bench.begin(ENTRY_A, harness.make_call(first_attempt=True))
    bench.advance_time(operation.NO_BACKUP_TIMEOUT_MS)
    assert bench.outcome_names() == ["claim_unavailable"]
    bench.begin(ENTRY_A, harness.make_call(repeatable=True))
    assert bench.outcome_names()[-1] == "Permit"


def test_retry_at_another_entry_waits_for_the_run_and_replays_it():
    bench = harness.Harness()
    call = harness.make_call()
    bench.begin(ENTRY_A, call)
    bench.begin(ENTRY_B, call)
    bench.advance_time(1_000)
    assert bench.outcome_names() == ["Permit"]
    bench.finish(ENTRY_A, call.key, answer=harness.RESPONSE)
    bench.advance_time(claim_request.HELD_POLL_MS)
    assert bench.outcome_names() == ["Permit", "Billed", "Replay"]
    assert _spent_tokens(bench) == 7


@pytest.mark.parametrize(
    ("repeatable", "expected"),
    [(True, "Permit"), (False, "outcome_unknown")],
)
def test_retry_after_failure_of_the_first_entry_runs_only_if_repeatable(
    repeatable, expected
):
    bench = harness.Harness()
    call = harness.make_call(repeatable=repeatable)
    bench.begin(ENTRY_A, call)
    bench.restart(ENTRY_A)
    bench.begin(ENTRY_B, call)
    assert bench.outcome_names() == ["Permit"]
    bench.fleet.suspected.add(ENTRY_A)
    bench.advance_time(500)
    assert bench.outcome_names() == ["Permit", expected]


def test_second_run_of_a_repeatable_call_is_not_billed():
    bench = harness.Harness()
    call = harness.make_call(repeatable=True)
    bench.begin(ENTRY_A, call)
    bench.should_drop = _is_of_type(messages.Claim)
    bench.begin(ENTRY_B, call)
    bench.advance_time(200)
    assert bench.outcome_names() == ["Permit", "Permit"]
    bench.should_drop = _is_of_type()
    bench.finish(ENTRY_B, call.key)
    bench.finish(ENTRY_A, call.key)
    bench.advance_time(claim_request.PENDING_DECISION_POLL_MS + 1_000)
    bills = [
        outcome.bill for outcome in bench.outcomes if hasattr(outcome, "bill")
    ]
    assert [(bill.undecided, bill.voided) for bill in bills] == [
        (False, False),
        (True, False),
    ]
    assert (_spent_tokens(bench), _reserved_tokens(bench)) == (7, 0)


def test_retry_is_billed_after_failure_of_the_claim_holder():
    bench = harness.Harness()
    call = harness.make_call(repeatable=True)
    bench.begin(ENTRY_A, call)
    bench.restart(ENTRY_A)
    bench.fleet.suspected.add(ENTRY_A)
    bench.begin(ENTRY_B, call)
    bench.finish(ENTRY_B, call.key)
    bench.advance_time(60_000)
    assert _spent_tokens(bench) == 7


def test_calls_of_one_key_at_one_entry_wait_for_the_first():
    bench = harness.Harness()
    call = harness.make_call(call_id="1")
    bench.begin(ENTRY_A, call)
    bench.begin(ENTRY_A, harness.make_call(call.key, call_id="2"))
    bench.begin(
        ENTRY_A, harness.make_call(call.key, call_id="3", fingerprint="g")
    )
    bench.finish(ENTRY_A, call.key, answer=harness.RESPONSE)
    assert bench.outcome_names() == ["Permit", "key_reused", "Billed", "Replay"]
    assert [outcome.call_id for outcome in bench.outcomes] == [
        "1",
        "3",
        "1",
        "2",
    ]


def test_settlement_is_retried_after_the_call_is_billed():
    bench = harness.Harness()
    call = harness.make_call()
    bench.begin(ENTRY_A, call)
    bench.should_drop = _is_of_type(budget_messages.Settle, messages.ReportRun)
    bench.finish(ENTRY_A, call.key)
    assert bench.outcome_names() == ["Permit"]
    bench.advance_time(500)
    assert bench.outcome_names() == ["Permit", "Billed"]
    entry = bench.entry_by_id[ENTRY_A]
    assert entry.pending_settlement_count() > 0
    bench.should_drop = _is_of_type()
    bench.advance_time(5_000)
    assert entry.pending_settlement_count() == 0
    assert (_spent_tokens(bench), _reserved_tokens(bench)) == (7, 0)


def test_unknown_outcome_keeps_the_bound_reserved_until_resolved():
    bench = harness.Harness()
    call = harness.make_call()
    bench.begin(ENTRY_A, call)
    bench.finish(
        ENTRY_A, call.key, result=calls.RunResult.UNKNOWN, spent_tokens=0
    )
    bench.advance_time(20_000)
    assert bench.outcomes[-1].bill.undecided
    assert (_spent_tokens(bench), _reserved_tokens(bench)) == (0, 10)
    bench.begin(ENTRY_B, call)
    assert bench.outcome_names()[-1] == "outcome_unknown"
    resolve = messages.ResolveOutcome(
        key=call.key, spent_tokens=4, operator="ann", look_up_id="1"
    )
    entry = bench.entry_by_id[ENTRY_B]
    bench.apply_effects(ENTRY_B, entry.resolve(resolve, bench.now_ms))
    bench.advance_time(claim_request.PENDING_DECISION_POLL_MS)
    assert bench.outcome_names()[-1] == "OutcomeFound"
    assert (_spent_tokens(bench), _reserved_tokens(bench)) == (4, 0)


@pytest.mark.parametrize("repeatable", [True, False])
def test_run_that_did_not_happen_is_not_billed_and_may_be_retried(repeatable):
    bench = harness.Harness()
    call = harness.make_call(repeatable=repeatable)
    bench.begin(ENTRY_A, call)
    bench.finish(
        ENTRY_A, call.key, result=calls.RunResult.NOT_RUN, spent_tokens=0
    )
    bench.begin(ENTRY_B, call)
    assert bench.outcome_names() == ["Permit", "Billed", "Permit"]
    assert _spent_tokens(bench) == 0


def test_next_zone_is_queried_when_a_zone_does_not_respond():
    bench = harness.Harness()
    call = harness.make_call(repeatable=True, first_attempt=True)
    bench.should_drop = _is_of_type(budget_messages.Reserve)
    bench.begin(ENTRY_A, call)
    bench.advance_time(1_000)
    bench.should_drop = _is_of_type()
    bench.advance_time(1_000)
    assert bench.outcome_names() == ["Permit"]


def test_message_of_another_type_raises_type_error():
    bench = harness.Harness()
    with pytest.raises(TypeError, match="TO_ARBITER"):
        list(bench.registry.handle(budget_messages.Settled, "x", 0))


def test_message_types_include_all_responses_of_the_arbiter():
    types = coordinator.Coordinator.message_types
    assert set(messages.TO_ENTRY) < set(types)


def test_withdrawals_are_bounded_in_time_and_per_tick():
    bench = harness.Harness()
    bench.should_drop = _is_of_type(messages.Claim, messages.Withdraw)
    count = coordinator.MAX_ENDED_PER_TICK + 50
    for tail in range(count):
        bench.begin(ENTRY_A, harness.make_call(harness.make_key(tail=tail)))
    bench.advance_time(6_000)
    entry = bench.entry_by_id[ENTRY_A]
    assert len(bench.outcomes) == entry.pending_settlement_count() == count
    before = len(bench.sent)
    bench.advance_time(50)
    assert len(bench.sent) - before <= coordinator.MAX_ENDED_PER_TICK
    bench.now_ms += claim_request.WITHDRAWAL_TIMEOUT_MS
    bench.advance_time(10_000)
    assert entry.pending_settlement_count() == 0


def test_long_response_of_a_repeatable_call_is_not_stored():
    bench = harness.Harness()
    body = b"x" * (run_settlement.MAX_REPEATABLE_RESPONSE_BYTES + 1)
    response = calls.StoredResponse(http_status=200, content_type="", body=body)
    for repeatable, expected in ((True, "Permit"), (False, "Replay")):
        key = harness.make_key(tail=int(repeatable) + 1)
        call = harness.make_call(key, repeatable=repeatable)
        bench.begin(ENTRY_A, call)
        bench.finish(ENTRY_A, key, answer=response)
        bench.begin(ENTRY_B, call)
        assert bench.outcome_names()[-1] == expected


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
def test_resent_stream_is_billed_as_much_as_its_largest_run(
    delivered, billed, lost, entries
):
    bench = harness.Harness()
    call = harness.make_call(
        repeatable=True, deadline_ms=harness.START_MS + 300_000
    )
    for number, tokens in enumerate(delivered):
        entry = entries[number % 2]
        bench.begin(entry, call)
        bench.should_drop = _is_of_type(*lost)
        bench.finish(entry, call.key, spent_tokens=tokens)
        bench.should_drop = _is_of_type()
        bench.advance_time(40_000)
    assert (_spent_tokens(bench), _reserved_tokens(bench)) == (billed, 0)
    billed_outcomes = [
        outcome
        for outcome in bench.outcomes
        if isinstance(outcome, calls.Billed)
    ]
    assert len(billed_outcomes) == len(delivered)
    assert bench.registry.record(call.key).billed_tokens == billed


def test_bill_of_a_resent_stream_survives_failover():
    bench = harness.Harness()
    call = harness.make_call(repeatable=True)
    for entry, tokens in ((ENTRY_A, 3), (ENTRY_B, 9), (ENTRY_A, 8)):
        bench.begin(entry, call)
        bench.finish(entry, call.key, spent_tokens=tokens)
        bench.promote_backup()
    assert _spent_tokens(bench) == 9
