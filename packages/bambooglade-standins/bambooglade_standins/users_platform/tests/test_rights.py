"""Tests of spending rights in a simulated fleet, on virtual time."""

from __future__ import annotations

import pytest

from bambooglade.rights import account as account_lib
from bambooglade.rights import homes
from bambooglade.rights import ledger as ledger_lib
from bambooglade.rights import lending
from bambooglade.rights import manager as manager_lib
from bambooglade.rights import stock_policy
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import simulated_rights_fleet

Fault = memory_store.Fault
Reservation = manager_lib.ReservationOutcome
TEAM = simulated_rights_fleet.TEAM


@pytest.fixture(
    params=[0, homes.MAX_SMALL_FLEET_SIZE],
    ids=["one_home_per_zone", "all_homes"],
)
def fleet(request, monkeypatch):
    """Fleet with one home per zone, or with every instance as a home."""
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", request.param)
    built = simulated_rights_fleet.SimulatedRightsFleet()
    built.advance(2_000)
    return built


def read_ledger(fleet) -> ledger_lib.Ledger:
    return ledger_lib.decode(fleet.store.peek(ledger_lib.key_of(TEAM)))


def total_available_tokens(fleet) -> int:
    return sum(
        instance.rights_manager.available_tokens(TEAM)
        for instance in fleet.instance_by_name.values()
        if instance is not None
    )


def test_stock_is_drawn_before_first_request(fleet):
    assert total_available_tokens(fleet) > 0
    assert fleet.request("a", 30) is Reservation.RESERVED


def test_large_request_draws_from_ledger(fleet):
    assert fleet.request("a", 700) is Reservation.RESERVED
    fleet.assert_not_overspent()


def test_request_larger_than_budget_is_exhausted(fleet):
    assert fleet.request("a", 1_001) is Reservation.EXHAUSTED


def test_request_larger_than_budget_moves_no_rights(fleet):
    fleet.store.fault = Fault.UNRESPONSIVE
    fleet.are_peers_partitioned = True
    fleet.advance(500)
    before = total_available_tokens(fleet)
    assert fleet.request("a", 1_001) is Reservation.EXHAUSTED
    assert total_available_tokens(fleet) == before


def test_whole_budget_can_be_used(fleet):
    outcomes = [fleet.request("abc"[n % 3], 50) for n in range(25)]
    assert outcomes.count(Reservation.RESERVED) == 20
    assert outcomes[-1] is Reservation.EXHAUSTED
    fleet.assert_not_overspent()


def test_peers_lend_during_store_outage(fleet):
    available = total_available_tokens(fleet)
    fleet.store.fault = Fault.UNRESPONSIVE
    fleet.advance(500)
    assert fleet.request("a", available) is Reservation.RESERVED
    assert fleet.request("a", 1) is Reservation.UNREACHABLE
    assert fleet.request("b", 1) is Reservation.UNREACHABLE
    fleet.assert_not_overspent()


def test_top_up_is_usable(fleet):
    assert fleet.request("a", 1_000) is Reservation.RESERVED
    assert fleet.request("b", 10) is Reservation.EXHAUSTED
    fleet.prepaid_tokens = 1_100
    for instance in fleet.instance_by_name.values():
        instance.rights_manager.refresh_teams([TEAM])
    fleet.advance(1_500)
    assert fleet.request("b", 10) is Reservation.RESERVED
    fleet.assert_not_overspent()


def test_unspent_reservation_is_usable_again(fleet):
    assert fleet.request("a", 900) is Reservation.RESERVED
    fleet.settle("a", spent_share=0.1)
    assert fleet.request("b", 800) is Reservation.RESERVED
    fleet.assert_not_overspent()


def test_graceful_stop_returns_unused_rights(fleet):
    assert fleet.request("a", 100) is Reservation.RESERVED
    for name in ("a", "b", "c"):
        fleet.stop(name)
    assert read_ledger(fleet).total_tokens == fleet.used_tokens == 50


@pytest.mark.parametrize("fault", [Fault.LOSE_RESPONSES, Fault.DELAY_WRITES])
def test_lost_write_responses_neither_overspend_nor_leak_rights(fleet, fault):
    fleet.store.fault = fault
    for number in range(12):
        fleet.request("abc"[number % 3], 60)
    fleet.store.fault = Fault.NONE
    fleet.advance(6_000)
    for number in range(30):
        fleet.request("abc"[number % 3], 30)
    fleet.assert_not_overspent()
    assert read_ledger(fleet).total_tokens <= fleet.prepaid_tokens
    assert fleet.used_tokens >= 900


def test_rights_returned_on_stop_are_usable_elsewhere(fleet):
    assert fleet.request("a", 1_000) is Reservation.RESERVED
    assert fleet.request("b", 100) is Reservation.EXHAUSTED
    fleet.settle("a", spent_share=0.0)
    fleet.stop("a")
    fleet.advance(2_000)
    assert fleet.request("b", 900) is Reservation.RESERVED
    fleet.assert_not_overspent()


def test_grant_of_killed_instance_counts_as_used(fleet):
    fleet.request("a", 40)
    granted = read_ledger(fleet).total_tokens
    home = next(iter(read_ledger(fleet).granted_by_holder)).partition("@")[0]
    fleet.kill(home)
    fleet.start(home)
    fleet.advance(2_000)
    after = read_ledger(fleet)
    assert after.closed_tokens > 0
    assert len(after.holders_at(f"{home}@10.0.0.1")) == 1
    assert after.total_tokens >= granted
    for number in range(40):
        fleet.request("abc"[number % 3], 30)
    fleet.assert_not_overspent()


def test_only_homes_hold_stocks(fleet):
    fleet.advance(4_000)
    holders = {h[0] for h in read_ledger(fleet).granted_by_holder}
    owners = {
        n for n in fleet.instance_by_name if fleet.homes(n).is_local(TEAM)
    }
    assert holders <= owners
    assert total_available_tokens(fleet) > 0


def test_idle_rights_return_to_home(monkeypatch):
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", 0)
    fleet = simulated_rights_fleet.SimulatedRightsFleet()
    fleet.advance(2_000)
    names = sorted(fleet.instance_by_name)
    other = next(n for n in names if fleet.homes(n).of(TEAM)[0].name != n)
    assert fleet.request(other, 400) is Reservation.RESERVED
    fleet.settle(other, spent_share=0.1)
    idle = fleet.instance_by_name[other].rights_manager
    assert idle.available_tokens(TEAM) >= 360
    fleet.advance(2_000)
    assert idle.available_tokens(TEAM) == 0
    assert fleet.request("c", 900) is Reservation.RESERVED
    fleet.assert_not_overspent()


def test_stopping_instance_draws_no_rights(fleet):
    home = next(iter(read_ledger(fleet).granted_by_holder)).partition("@")[0]
    rights_manager = fleet.instance_by_name[home].rights_manager
    drawing = rights_manager.lend(TEAM, 500)
    returned = rights_manager.return_unused()
    refused = rights_manager.lend(TEAM, 500)
    fleet.loop.advance(1_000)
    assert drawing.done()
    assert returned.done()
    assert refused.result() == 0
    assert not read_ledger(fleet).holders_at(f"{home}@10.0.0.1")


def test_stop_during_store_outage_hands_rights_to_peer(fleet):
    before = total_available_tokens(fleet)
    fleet.store.fault = Fault.UNRESPONSIVE
    fleet.advance(500)
    home = next(iter(read_ledger(fleet).granted_by_holder)).partition("@")[0]
    fleet.stop(home)
    assert total_available_tokens(fleet) == before
    other = next(
        n for n, instance in fleet.instance_by_name.items() if instance
    )
    assert fleet.request(other, before) is Reservation.RESERVED
    fleet.assert_not_overspent()


def test_most_of_budget_survives_kill_of_all_instances(fleet):
    for number in range(10):
        fleet.request("abc"[number % 3], 10)
    for name in "abc":
        fleet.kill(name)
    for name in "abc":
        fleet.start(name)
    fleet.advance(2_000)
    free = (
        fleet.prepaid_tokens
        - read_ledger(fleet).total_tokens
        + total_available_tokens(fleet)
    )
    held = stock_policy.MAX_STOCK_SHARE
    assert free >= fleet.prepaid_tokens * (1 - held)


def test_restart_without_draws_does_not_write_ledger(monkeypatch):
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", 0)
    fleet = simulated_rights_fleet.SimulatedRightsFleet()
    fleet.advance(2_000)
    for name in "abc":
        fleet.request(name, 10)
        fleet.kill(name)
    other = next(n for n in "ab" if fleet.homes(n).of(TEAM)[0].name != n)
    before = fleet.store.revision
    for _ in range(5):
        fleet.start(other)
        fleet.advance(2_000)
    assert fleet.store.revision == before


def test_loan_with_lost_response_is_not_spent_twice(fleet):
    fleet.store.fault = Fault.UNRESPONSIVE
    fleet.are_loan_responses_lost = True
    fleet.advance(500)
    fleet.request("a", 400)
    fleet.are_loan_responses_lost = False
    for number in range(40):
        fleet.request("abc"[number % 3], 30)
    fleet.assert_not_overspent()


def test_unreadable_ledger_makes_rights_unreachable(fleet):
    fleet.store.put_now(ledger_lib.key_of(TEAM), b"torn")
    fleet.advance(5_000)
    assert fleet.request("a", 900) is Reservation.UNREACHABLE
    fleet.assert_not_overspent()


def test_lender_responds_in_time_when_store_is_slow(fleet):
    fleet.store.response_delay_ms = 500
    rights_manager = fleet.instance_by_name["a"].rights_manager
    available = rights_manager.available_tokens(TEAM)
    loan = rights_manager.lend(TEAM, 900)
    fleet.loop.advance(lending.LOAN_TIMEOUT_MS // 2)
    assert loan.done()
    assert loan.result() == available


def test_requests_skip_store_after_recent_failure(fleet):
    fleet.store.fault = Fault.UNRESPONSIVE
    assert fleet.request("a", 900) is Reservation.UNREACHABLE
    calls = fleet.store.call_count
    assert fleet.request("a", 900) is Reservation.UNREACHABLE
    assert fleet.store.call_count == calls


def test_stock_keeping_has_bounded_store_calls(fleet):
    before = fleet.store.call_count
    for _ in range(20):
        for name in "abc":
            fleet.request(name, 1)
        fleet.advance(1_000)
    assert fleet.store.call_count - before <= 2 * 20 * 3


@pytest.mark.parametrize(
    ("interval_ms", "tokens"), [(1_000, 10), (250, 40), (4_000, 400)]
)
def test_outage_demand_tracks_request_rate(interval_ms, tokens):
    account = account_lib.Account()
    account.record_granted_total(10_000_000)
    now_ms = 0
    for number in range(200):
        account.reserve(f"r{number}", tokens, now_ms=now_ms)
        now_ms += interval_ms
    demand_tokens = account.outage_demand_tokens(now_ms=now_ms, home_count=4)
    rate = tokens / interval_ms * account_lib.STOCK_HORIZON_MS
    assert rate * 0.8 <= demand_tokens - tokens / 4 <= rate * 1.2


@pytest.mark.parametrize("counts_as_demand", [True, False])
def test_loans_count_as_demand_only_when_flagged(counts_as_demand):
    account = account_lib.Account()
    account.record_granted_total(10_000)
    account.lend(1_000, now_ms=0, counts_as_demand=counts_as_demand)
    demand_tokens = account.outage_demand_tokens(now_ms=0, home_count=1)
    assert (demand_tokens > 0) is counts_as_demand


def test_recent_demand_is_not_underestimated():
    account = account_lib.Account()
    account.record_granted_total(10_000)
    for number in range(6):
        account.reserve(f"r{number}", 10, now_ms=number * 1_000)
    demand_tokens = account.outage_demand_tokens(now_ms=6_000, home_count=10)
    assert demand_tokens >= 0.8 * 10 * account_lib.STOCK_HORIZON_MS / 1_000


@pytest.mark.parametrize(
    "fault", [Fault.NONE, Fault.LOSE_RESPONSES, Fault.DELAY_WRITES]
)
def test_stock_is_returned_after_demand_ends(fleet, fault):
    assert fleet.request("a", 900) is Reservation.RESERVED
    fleet.settle("a", spent_share=0.0)
    fleet.store.fault = fault
    fleet.advance(4_000)
    fleet.store.fault = Fault.NONE
    fleet.advance(8_000)
    free_tokens = fleet.prepaid_tokens - read_ledger(fleet).total_tokens
    assert free_tokens >= fleet.prepaid_tokens // 2
    assert total_available_tokens(fleet) + free_tokens == fleet.prepaid_tokens
    fleet.kill("a")
    assert fleet.request("b", free_tokens) is Reservation.RESERVED
    fleet.assert_not_overspent()


def test_stocks_shrink_as_budget_runs_out(fleet):
    for number in range(16):
        name = "abc"[number % 3]
        assert fleet.request(name, 50) is Reservation.RESERVED
        fleet.settle(name, spent_share=1.0)
        fleet.advance(1_000)
    free_tokens = fleet.prepaid_tokens - read_ledger(fleet).total_tokens
    assert (
        total_available_tokens(fleet) + free_tokens
        == fleet.prepaid_tokens - fleet.used_tokens
    )
    assert total_available_tokens(fleet) <= 0.6 * (
        fleet.prepaid_tokens - fleet.used_tokens
    )


def test_non_home_instance_draws_only_requested_tokens(
    monkeypatch,
):
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", 0)
    fleet = simulated_rights_fleet.SimulatedRightsFleet()
    fleet.advance(2_000)
    other = next(
        name
        for name in ("a", "b")
        if fleet.homes(name).of(TEAM)[0].name != name
    )
    fleet.are_peers_partitioned = True
    for _ in range(4):
        assert fleet.request(other, 20) is Reservation.RESERVED
    assert (
        fleet.instance_by_name[other].rights_manager.available_tokens(TEAM) == 0
    )
    fleet.assert_not_overspent()


def test_only_homes_poll_exhausted_ledger(monkeypatch):
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", 0)
    fleet = simulated_rights_fleet.SimulatedRightsFleet()
    fleet.advance(2_000)
    other = next(
        name
        for name in ("a", "b")
        if fleet.homes(name).of(TEAM)[0].name != name
    )
    assert fleet.request(other, 1_000) is Reservation.RESERVED
    before = fleet.store.call_count
    for _ in range(40):
        assert fleet.request(other, 20) is Reservation.EXHAUSTED
    seconds = 40 * 100 / 1_000
    assert fleet.store.call_count - before <= 2 * (seconds + 1)


def test_budget_remainder_causes_few_ledger_writes(fleet):
    for number in range(19):
        name = "abc"[number % 3]
        assert fleet.request(name, 50) is Reservation.RESERVED
        fleet.settle(name, spent_share=1.0)
    fleet.advance(2_000)
    before = fleet.store.revision
    for number in range(20):
        assert fleet.request("abc"[number % 3], 60) is Reservation.EXHAUSTED
        fleet.advance(500)
    assert fleet.store.revision - before <= 3


def test_non_home_instance_draws_nothing_for_peers(monkeypatch):
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", 0)
    fleet = simulated_rights_fleet.SimulatedRightsFleet()
    fleet.advance(2_000)
    other = next(n for n in "ab" if fleet.homes(n).of(TEAM)[0].name != n)
    before = fleet.store.call_count
    for _ in range(4):
        lent = fleet.instance_by_name[other].rights_manager.lend(TEAM, 50)
        fleet.loop.advance(1_100)
        assert lent.result() == 0
    assert fleet.store.call_count == before
