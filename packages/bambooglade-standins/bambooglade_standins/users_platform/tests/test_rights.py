"""Tests of spending rights, on virtual time."""

from __future__ import annotations

import pytest

from bambooglade.rights import account as account_lib
from bambooglade.rights import homes
from bambooglade.rights import ledger as ledger_lib
from bambooglade.rights import lending
from bambooglade.rights import manager as manager_lib
from bambooglade.rights import stock_policy
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import rights_world

Fault = memory_store.Fault
Reservation = manager_lib.ReservationOutcome
TEAM = rights_world.TEAM


@pytest.fixture(
    params=[0, homes.MAX_SMALL_FLEET_SIZE], ids=["homes", "all_homes"]
)
def world(request, monkeypatch):
    """A fleet with a home a zone, and one whose instances are all homes."""
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", request.param)
    built = rights_world.RightsWorld()
    built.advance(2_000)
    return built


def ledger(world) -> ledger_lib.Ledger:
    return ledger_lib.decode(world.store.peek(ledger_lib.key_of(TEAM)))


def total_available(world) -> int:
    return sum(
        node.keeper.available_tokens(TEAM)
        for node in world.node_by_name.values()
        if node is not None
    )


def test_a_stock_is_held_before_the_first_request(world):
    assert total_available(world) > 0
    assert world.request("a", 30) is Reservation.RESERVED


def test_a_large_request_draws_from_the_ledger(world):
    assert world.request("a", 700) is Reservation.RESERVED
    world.check()


def test_a_request_that_is_larger_than_the_budget(world):
    assert world.request("a", 1_001) is Reservation.EXHAUSTED


def test_a_request_that_is_larger_than_the_budget_moves_no_rights(world):
    world.store.fault = Fault.SILENT
    world.are_peers_cut = True
    world.advance(500)
    before = total_available(world)
    assert world.request("a", 1_001) is Reservation.EXHAUSTED
    assert total_available(world) == before


def test_the_whole_budget_can_be_used(world):
    outcomes = [world.request("abc"[n % 3], 50) for n in range(25)]
    assert outcomes.count(Reservation.RESERVED) == 20
    assert outcomes[-1] is Reservation.EXHAUSTED
    world.check()


def test_peers_lend_while_the_store_is_away(world):
    available = total_available(world)
    world.store.fault = Fault.SILENT
    world.advance(500)
    assert world.request("a", available) is Reservation.RESERVED
    assert world.request("a", 1) is Reservation.UNREACHABLE
    assert world.request("b", 1) is Reservation.UNREACHABLE
    world.check()


def test_a_top_up_is_usable(world):
    assert world.request("a", 1_000) is Reservation.RESERVED
    assert world.request("b", 10) is Reservation.EXHAUSTED
    world.prepaid = 1_100
    for node in world.node_by_name.values():
        node.keeper.refresh_teams([TEAM])
    world.advance(1_500)
    assert world.request("b", 10) is Reservation.RESERVED
    world.check()


def test_what_was_not_used_is_usable_again(world):
    assert world.request("a", 900) is Reservation.RESERVED
    world.settle("a", spent_share=0.1)
    assert world.request("b", 800) is Reservation.RESERVED
    world.check()


def test_a_planned_stop_gives_everything_back(world):
    assert world.request("a", 100) is Reservation.RESERVED
    for name in ("a", "b", "c"):
        world.stop(name)
    assert ledger(world).total_tokens == world.used == 50


@pytest.mark.parametrize("fault", [Fault.LOSE_ANSWERS, Fault.EXECUTE_LATE])
def test_writes_whose_answer_is_lost(world, fault):
    world.store.fault = fault
    for number in range(12):
        world.request("abc"[number % 3], 60)
    world.store.fault = Fault.NONE
    world.advance(6_000)
    for number in range(30):
        world.request("abc"[number % 3], 30)
    world.check()
    assert ledger(world).total_tokens <= world.prepaid
    assert world.used >= 900


def test_what_a_stopped_instance_returns_is_usable_elsewhere(world):
    assert world.request("a", 1_000) is Reservation.RESERVED
    assert world.request("b", 100) is Reservation.EXHAUSTED
    world.settle("a", spent_share=0.0)
    world.stop("a")
    world.advance(2_000)
    assert world.request("b", 900) is Reservation.RESERVED
    world.check()


def test_a_killed_instance_counts_as_having_used_its_grant(world):
    world.request("a", 40)
    granted = ledger(world).total_tokens
    home = next(iter(ledger(world).granted_by_holder)).partition("@")[0]
    world.kill(home)
    world.start(home)
    world.advance(2_000)
    after = ledger(world)
    assert after.closed_tokens > 0
    assert len(after.holders_at(f"{home}@10.0.0.1")) == 1
    assert after.total_tokens >= granted
    for number in range(40):
        world.request("abc"[number % 3], 30)
    world.check()


def test_only_the_homes_hold_stocks(world):
    world.advance(4_000)
    holders = {h[0] for h in ledger(world).granted_by_holder}
    owners = {n for n in world.node_by_name if world.homes(n).is_local(TEAM)}
    assert holders <= owners
    assert total_available(world) > 0


def test_idle_rights_go_back_to_the_home(monkeypatch):
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", 0)
    world = rights_world.RightsWorld()
    world.advance(2_000)
    names = sorted(world.node_by_name)
    other = next(n for n in names if world.homes(n).of(TEAM)[0].name != n)
    assert world.request(other, 400) is Reservation.RESERVED
    world.settle(other, spent_share=0.1)
    idle = world.node_by_name[other].keeper
    assert idle.available_tokens(TEAM) >= 360
    world.advance(2_000)
    assert idle.available_tokens(TEAM) == 0
    assert world.request("c", 900) is Reservation.RESERVED
    world.check()


def test_nothing_is_drawn_once_an_instance_stops(world):
    home = next(iter(ledger(world).granted_by_holder)).partition("@")[0]
    keeper = world.node_by_name[home].keeper
    drawing = keeper.lend(TEAM, 500)
    returned = keeper.return_unused()
    refused = keeper.lend(TEAM, 500)
    world.loop.advance(1_000)
    assert drawing.done()
    assert returned.done()
    assert refused.result() == 0
    assert not ledger(world).holders_at(f"{home}@10.0.0.1")


def test_a_stop_while_the_store_is_away_hands_over(world):
    before = total_available(world)
    world.store.fault = Fault.SILENT
    world.advance(500)
    home = next(iter(ledger(world).granted_by_holder)).partition("@")[0]
    world.stop(home)
    assert total_available(world) == before
    other = next(n for n, node in world.node_by_name.items() if node)
    assert world.request(other, before) is Reservation.RESERVED
    world.check()


def test_a_kill_of_all_leaves_most_of_the_budget(world):
    for number in range(10):
        world.request("abc"[number % 3], 10)
    for name in "abc":
        world.kill(name)
    for name in "abc":
        world.start(name)
    world.advance(2_000)
    free = world.prepaid - ledger(world).total_tokens + total_available(world)
    held = stock_policy.MAX_STOCK_SHARE
    assert free >= world.prepaid * (1 - held)


def test_a_restart_alone_writes_to_no_ledger(monkeypatch):
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", 0)
    world = rights_world.RightsWorld()
    world.advance(2_000)
    for name in "abc":
        world.request(name, 10)
        world.kill(name)
    other = next(n for n in "ab" if world.homes(n).of(TEAM)[0].name != n)
    before = world.store.revision
    for _ in range(5):
        world.start(other)
        world.advance(2_000)
    assert world.store.revision == before


def test_a_loan_whose_answer_is_lost_is_not_spent_twice(world):
    world.store.fault = Fault.SILENT
    world.are_loans_lost = True
    world.advance(500)
    world.request("a", 400)
    world.are_loans_lost = False
    for number in range(40):
        world.request("abc"[number % 3], 30)
    world.check()


def test_a_ledger_that_can_not_be_read(world):
    world.store.put_now(ledger_lib.key_of(TEAM), b"torn")
    world.advance(5_000)
    assert world.request("a", 900) is Reservation.UNREACHABLE
    world.check()


def test_a_lender_answers_in_time_while_the_store_is_slow(world):
    world.store.answer_ms = 500
    keeper = world.node_by_name["a"].keeper
    available = keeper.available_tokens(TEAM)
    loan = keeper.lend(TEAM, 900)
    world.loop.advance(lending.LOAN_TIMEOUT_MS // 2)
    assert loan.done()
    assert loan.result() == available


def test_requests_do_not_wait_for_a_store_that_just_failed(world):
    world.store.fault = Fault.SILENT
    assert world.request("a", 900) is Reservation.UNREACHABLE
    calls = world.store.calls
    assert world.request("a", 900) is Reservation.UNREACHABLE
    assert world.store.calls == calls


def test_stocks_cost_few_calls(world):
    before = world.store.calls
    for _ in range(20):
        for name in "abc":
            world.request(name, 1)
        world.advance(1_000)
    assert world.store.calls - before <= 2 * 20 * 3


@pytest.mark.parametrize(
    ("interval_ms", "tokens"), [(1_000, 10), (250, 40), (4_000, 400)]
)
def test_the_wanted_stock_follows_the_demand(interval_ms, tokens):
    account = account_lib.Account()
    account.record_granted_total(10_000_000)
    now_ms = 0
    for number in range(200):
        account.reserve(f"r{number}", tokens, now_ms=now_ms)
        now_ms += interval_ms
    wanted = account.outage_demand_tokens(now_ms=now_ms, home_count=4)
    rate = tokens / interval_ms * account_lib.STOCK_HORIZON_MS
    assert rate * 0.8 <= wanted - tokens / 4 <= rate * 1.2


@pytest.mark.parametrize("is_demand", [True, False])
def test_loans_count_as_demand_only_where_the_stock_covers_them(is_demand):
    account = account_lib.Account()
    account.record_granted_total(10_000)
    account.lend(1_000, now_ms=0, counts_as_demand=is_demand)
    wanted = account.outage_demand_tokens(now_ms=0, home_count=1)
    assert (wanted > 0) is is_demand


def test_young_demand_is_not_underestimated():
    account = account_lib.Account()
    account.record_granted_total(10_000)
    for number in range(6):
        account.reserve(f"r{number}", 10, now_ms=number * 1_000)
    wanted = account.outage_demand_tokens(now_ms=6_000, home_count=10)
    assert wanted >= 0.8 * 10 * account_lib.STOCK_HORIZON_MS / 1_000


@pytest.mark.parametrize(
    "fault", [Fault.NONE, Fault.LOSE_ANSWERS, Fault.EXECUTE_LATE]
)
def test_a_stock_for_demand_that_has_ended_goes_back(world, fault):
    assert world.request("a", 900) is Reservation.RESERVED
    world.settle("a", spent_share=0.0)
    world.store.fault = fault
    world.advance(4_000)
    world.store.fault = Fault.NONE
    world.advance(8_000)
    free_tokens = world.prepaid - ledger(world).total_tokens
    assert free_tokens >= world.prepaid // 2
    assert total_available(world) + free_tokens == world.prepaid
    world.kill("a")
    assert world.request("b", free_tokens) is Reservation.RESERVED
    world.check()


def test_little_is_held_of_a_budget_that_is_used_up_soon(world):
    for number in range(16):
        name = "abc"[number % 3]
        assert world.request(name, 50) is Reservation.RESERVED
        world.settle(name, spent_share=1.0)
        world.advance(1_000)
    free_tokens = world.prepaid - ledger(world).total_tokens
    assert total_available(world) + free_tokens == world.prepaid - world.used
    assert total_available(world) <= 0.6 * (world.prepaid - world.used)


def test_an_instance_that_is_no_home_draws_only_what_a_request_needs(
    monkeypatch,
):
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", 0)
    world = rights_world.RightsWorld()
    world.advance(2_000)
    other = next(
        name
        for name in ("a", "b")
        if world.homes(name).of(TEAM)[0].name != name
    )
    world.are_peers_cut = True
    for _ in range(4):
        assert world.request(other, 20) is Reservation.RESERVED
    assert world.node_by_name[other].keeper.available_tokens(TEAM) == 0
    world.check()


def test_only_homes_look_at_a_ledger_that_is_used_up(monkeypatch):
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", 0)
    world = rights_world.RightsWorld()
    world.advance(2_000)
    other = next(
        name
        for name in ("a", "b")
        if world.homes(name).of(TEAM)[0].name != name
    )
    assert world.request(other, 1_000) is Reservation.RESERVED
    before = world.store.calls
    for _ in range(40):
        assert world.request(other, 20) is Reservation.EXHAUSTED
    seconds = 40 * 100 / 1_000
    assert world.store.calls - before <= 2 * (seconds + 1)


def test_the_rest_of_a_budget_does_not_go_back_and_forth(world):
    for number in range(19):
        name = "abc"[number % 3]
        assert world.request(name, 50) is Reservation.RESERVED
        world.settle(name, spent_share=1.0)
    world.advance(2_000)
    before = world.store.revision
    for number in range(20):
        assert world.request("abc"[number % 3], 60) is Reservation.EXHAUSTED
        world.advance(500)
    assert world.store.revision - before <= 3


def test_an_instance_that_is_no_home_draws_nothing_for_peers(monkeypatch):
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", 0)
    world = rights_world.RightsWorld()
    world.advance(2_000)
    other = next(n for n in "ab" if world.homes(n).of(TEAM)[0].name != n)
    before = world.store.calls
    for _ in range(4):
        lent = world.node_by_name[other].keeper.lend(TEAM, 50)
        world.loop.advance(1_100)
        assert lent.result() == 0
    assert world.store.calls == before
