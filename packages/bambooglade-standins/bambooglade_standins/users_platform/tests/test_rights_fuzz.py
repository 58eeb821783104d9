"""Stateful fuzz test of spending rights: kills, lost writes, loans, top-ups."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from bambooglade.rights import account as account_lib
from bambooglade.rights import homes
from bambooglade.rights import ledger as ledger_lib
from bambooglade.rights import ledger_client
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import simulated_rights_fleet

NAMES = ("a", "b", "c")
names = strategies.sampled_from(NAMES)
SETTINGS = hypothesis.settings(
    max_examples=100,
    stateful_step_count=30,
    phases=[hypothesis.Phase.generate],
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

FAULT_SETTINGS = hypothesis.settings(SETTINGS, max_examples=1_000)
"""The run ends at the first failure, so that more examples cost little."""


class RightsMachine(stateful.RuleBasedStateMachine):
    """Runs requests and faults in any order; the oracle checks each step."""

    def __init__(self):
        super().__init__()
        self.fleet = simulated_rights_fleet.SimulatedRightsFleet(NAMES)

    def _is_running(self, name: str) -> bool:
        return self.fleet.instance_by_name[name] is not None

    @stateful.rule(name=names, tokens=strategies.integers(20, 400))
    def request(self, name, tokens):
        if self._is_running(name):
            self.fleet.request(name, tokens)

    @stateful.rule(tokens=strategies.integers(30, 90))
    def use_remaining_budget(self, tokens):
        for number in range(2 * self.fleet.prepaid_tokens // tokens):
            name = NAMES[number % len(NAMES)]
            if self._is_running(name):
                self.fleet.request(name, tokens)

    @stateful.rule(name=names, share=strategies.floats(0, 1))
    def settle(self, name, share):
        if self._is_running(name):
            self.fleet.settle(name, spent_share=share)

    @stateful.rule(name=names, tokens=strategies.integers(200, 900))
    def create_short_demand(self, name, tokens):
        if self._is_running(name):
            self.fleet.request(name, tokens)
            while self.fleet.instance_by_name[name].open_requests:
                self.fleet.settle(name, spent_share=0.0)
            self.fleet.advance(2_500)

    @stateful.rule(name=names)
    def kill_and_restart(self, name):
        self.fleet.kill(name)
        self.fleet.start(name)

    @stateful.rule(name=names)
    def stop_and_restart(self, name):
        if self._is_running(name):
            self.fleet.stop(name)
        self.fleet.start(name)

    @stateful.rule(
        fault=strategies.sampled_from(list(memory_store.Fault)),
        tokens=strategies.integers(20, 200),
    )
    def request_during_store_fault(self, fault, tokens):
        self.fleet.store.fault = fault
        for name in NAMES:
            self.request(name, tokens)
        self.fleet.advance(1_000)
        self.fleet.store.fault = memory_store.Fault.NONE
        self.fleet.update_store_monitors()

    @stateful.rule(
        tokens=strategies.integers(20, 300),
        requests=strategies.integers(1, 6),
        away_ms=strategies.sampled_from([500, 2_000]),
    )
    def restore_store_from_copy(self, tokens, requests, away_ms):
        copy = self.fleet.store.copy()
        for number in range(requests):
            self.request(NAMES[number % len(NAMES)], tokens)
            self.fleet.advance(500)
        self.fleet.store.fault = memory_store.Fault.UNRESPONSIVE
        self.fleet.advance(away_ms)
        self.fleet.store.fault = memory_store.Fault.NONE
        self.fleet.store.restore(copy)
        self.fleet.update_store_monitors()

    @stateful.rule(
        are_peers_cut=strategies.booleans(),
        are_responses_lost=strategies.booleans(),
    )
    def change_peer_faults(self, are_peers_cut, are_responses_lost):
        self.fleet.are_peers_partitioned = are_peers_cut
        self.fleet.are_loan_responses_lost = are_responses_lost

    @stateful.rule(duration_ms=strategies.sampled_from([500, 4_000]))
    def wait(self, duration_ms):
        self.fleet.advance(duration_ms)

    @stateful.rule(tokens=strategies.integers(1, 300))
    def top_up(self, tokens):
        self.fleet.prepaid_tokens += tokens
        for instance in self.fleet.instance_by_name.values():
            if instance is not None:
                instance.rights_manager.refresh_teams(
                    [simulated_rights_fleet.TEAM]
                )

    @stateful.invariant()
    def budget_is_not_overspent(self):
        self.fleet.assert_not_overspent()


@pytest.fixture(
    autouse=True,
    params=[0, homes.MAX_SMALL_FLEET_SIZE],
    ids=["one_home_per_zone", "all_homes"],
)
def _home_selection(request, monkeypatch):
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", request.param)


def run_machine(settings=SETTINGS) -> None:
    stateful.run_state_machine_as_test(RightsMachine, settings=settings)


def test_budget_is_never_overspent():
    run_machine()


def settle_twice(monkeypatch):
    settle = account_lib.Account.settle

    def settle_again(self, request_id, spent_tokens):
        reserved = self._reserved_by_request.get(request_id, 0)
        settle(self, request_id, spent_tokens)
        self.reserved_tokens -= reserved

    monkeypatch.setattr(account_lib.Account, "settle", settle_again)


def count_failed_writes_as_granted(monkeypatch):
    def handle_failure(self, call, response):
        del response
        if call == "write":
            for account in self._account_by_team.values():
                account.record_granted_total(account.granted_tokens + 100)

    monkeypatch.setattr(
        ledger_client.LedgerClient, "_handle_failure", handle_failure
    )


def recover_nothing(monkeypatch):
    monkeypatch.setattr(
        ledger_client.LedgerClient, "_begin_era", lambda self: None
    )


def lend_without_reducing_rights(monkeypatch):
    def lend(self, requested_tokens, *, now_ms, counts_as_demand):
        del now_ms, counts_as_demand
        return max(0, min(requested_tokens, self.available_tokens))

    monkeypatch.setattr(account_lib.Account, "lend", lend)


def write_without_condition(monkeypatch):
    commit = memory_store.MemoryStore.commit

    def unconditional(self, writes, *, timeout_ms):
        for write in writes:
            write.expected_revision = None
        return commit(self, writes, timeout_ms=timeout_ms)

    monkeypatch.setattr(memory_store.MemoryStore, "commit", unconditional)


def return_reserved_rights(monkeypatch):
    def used(self):
        return self.spent_tokens + self.lent_tokens - self.borrowed_tokens

    monkeypatch.setattr(account_lib.Account, "used_tokens", property(used))


def close_predecessors_as_unused(monkeypatch):
    def with_predecessors_unused(self, team, ledger):
        del team
        for holder in ledger.holders_at(self._instance_address):
            if holder != self._holder:
                ledger = ledger.with_holder_closed(holder, used_tokens=0)
        return ledger

    monkeypatch.setattr(
        ledger_client.LedgerClient,
        "_with_predecessors_closed",
        with_predecessors_unused,
    )


def reserve_more_than_available(monkeypatch):
    monkeypatch.setattr(
        account_lib.Account,
        "available_tokens",
        property(lambda self: self.granted_tokens - self.used_tokens + 200),
    )


def return_rights_and_keep_account_open(monkeypatch):
    monkeypatch.setattr(account_lib.Account, "close", lambda self: None)
    with_holder_closed = ledger_lib.Ledger.with_holder_closed

    def close_all(self, holder, *, used_tokens):
        return with_holder_closed(self, holder, used_tokens=min(0, used_tokens))

    monkeypatch.setattr(ledger_lib.Ledger, "with_holder_closed", close_all)


def return_surplus_and_keep_it(monkeypatch):
    with_returned_total = ledger_lib.Ledger.with_returned_total

    def return_more(self, holder, *, total_tokens):
        return with_returned_total(self, holder, total_tokens=total_tokens + 60)

    monkeypatch.setattr(ledger_lib.Ledger, "with_returned_total", return_more)


def count_returned_rights_twice(monkeypatch):
    def add(self, holder, *, total_tokens):
        returned = dict(self.returned_by_holder)
        returned[holder] = returned.get(holder, 0) + total_tokens
        return ledger_lib.Ledger(
            self.closed_tokens, self.granted_by_holder, returned
        )

    monkeypatch.setattr(ledger_lib.Ledger, "with_returned_total", add)


@pytest.mark.parametrize(
    "fault",
    [
        settle_twice,
        count_failed_writes_as_granted,
        lend_without_reducing_rights,
        write_without_condition,
        return_reserved_rights,
        close_predecessors_as_unused,
        reserve_more_than_available,
        return_rights_and_keep_account_open,
        return_surplus_and_keep_it,
        count_returned_rights_twice,
        recover_nothing,
    ],
)
def test_oracle_detects_injected_fault(monkeypatch, fault):
    fault(monkeypatch)
    with pytest.raises(AssertionError):
        run_machine(FAULT_SETTINGS)
