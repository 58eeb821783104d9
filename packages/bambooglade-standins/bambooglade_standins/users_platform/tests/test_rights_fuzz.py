"""Stateful fuzz of spending rights: kills, lost writes, loans, top-ups."""

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
from bambooglade_standins.users_platform import rights_world

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
"""A fault ends the run when it is found, so that more examples cost little."""


class RightsMachine(stateful.RuleBasedStateMachine):
    """Requests and faults in any order; the oracle checks after each."""

    def __init__(self):
        super().__init__()
        self.world = rights_world.RightsWorld(NAMES)

    def _running(self, name: str) -> bool:
        return self.world.node_by_name[name] is not None

    @stateful.rule(name=names, tokens=strategies.integers(20, 400))
    def request(self, name, tokens):
        if self._running(name):
            self.world.request(name, tokens)

    @stateful.rule(tokens=strategies.integers(30, 90))
    def use_what_is_left(self, tokens):
        for number in range(2 * self.world.prepaid // tokens):
            name = NAMES[number % len(NAMES)]
            if self._running(name):
                self.world.request(name, tokens)

    @stateful.rule(name=names, share=strategies.floats(0, 1))
    def settle(self, name, share):
        if self._running(name):
            self.world.settle(name, spent_share=share)

    @stateful.rule(name=names, tokens=strategies.integers(200, 900))
    def demand_that_ends(self, name, tokens):
        if self._running(name):
            self.world.request(name, tokens)
            while self.world.node_by_name[name].open:
                self.world.settle(name, spent_share=0.0)
            self.world.advance(2_500)

    @stateful.rule(name=names)
    def kill_and_restart(self, name):
        self.world.kill(name)
        self.world.start(name)

    @stateful.rule(name=names)
    def stop_and_restart(self, name):
        if self._running(name):
            self.world.stop(name)
        self.world.start(name)

    @stateful.rule(
        fault=strategies.sampled_from(list(memory_store.Fault)),
        tokens=strategies.integers(20, 200),
    )
    def request_while_the_store_fails(self, fault, tokens):
        self.world.store.fault = fault
        for name in NAMES:
            self.request(name, tokens)
        self.world.advance(1_000)
        self.world.store.fault = memory_store.Fault.NONE
        self.world.note_store()

    @stateful.rule(cut=strategies.booleans(), lost=strategies.booleans())
    def change_the_peers(self, cut, lost):
        self.world.are_peers_cut = cut
        self.world.are_loans_lost = lost

    @stateful.rule(duration_ms=strategies.sampled_from([500, 4_000]))
    def wait(self, duration_ms):
        self.world.advance(duration_ms)

    @stateful.rule(tokens=strategies.integers(1, 300))
    def top_up(self, tokens):
        self.world.prepaid += tokens
        for node in self.world.node_by_name.values():
            if node is not None:
                node.keeper.refresh_teams([rights_world.TEAM])

    @stateful.invariant()
    def nothing_is_overspent(self):
        self.world.check()


@pytest.fixture(
    autouse=True,
    params=[0, homes.MAX_SMALL_FLEET_SIZE],
    ids=["homes", "all_homes"],
)
def _fleet(request, monkeypatch):
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", request.param)


def run(settings=SETTINGS) -> None:
    stateful.run_state_machine_as_test(RightsMachine, settings=settings)


def test_nothing_is_overspent():
    run()


def settle_twice(monkeypatch):
    settle = account_lib.Account.settle

    def settle_again(self, request_id, spent_tokens):
        reserved = self._reserved_by_request.get(request_id, 0)
        settle(self, request_id, spent_tokens)
        self.reserved_tokens -= reserved

    monkeypatch.setattr(account_lib.Account, "settle", settle_again)


def count_lost_writes_as_done(monkeypatch):
    def note(self, call, answer):
        del answer
        if call == "write":
            for account in self._account_by_team.values():
                account.record_granted_total(account.granted_tokens + 100)

    monkeypatch.setattr(ledger_client.LedgerClient, "_handle_failure", note)


def lend_without_lowering(monkeypatch):
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


def give_back_what_is_reserved(monkeypatch):
    def used(self):
        return self.spent_tokens + self.lent_tokens - self.borrowed_tokens

    monkeypatch.setattr(account_lib.Account, "used_tokens", property(used))


def forget_predecessors(monkeypatch):
    def without(self, team, ledger):
        del team
        for holder in ledger.holders_at(self._instance_address):
            if holder != self._holder:
                ledger = ledger.with_holder_closed(holder, used_tokens=0)
        return ledger

    monkeypatch.setattr(
        ledger_client.LedgerClient, "_with_predecessors_closed", without
    )


def reserve_beyond(monkeypatch):
    monkeypatch.setattr(
        account_lib.Account,
        "available_tokens",
        property(lambda self: self.granted_tokens - self.used_tokens + 200),
    )


def return_rights_and_go_on(monkeypatch):
    monkeypatch.setattr(account_lib.Account, "close", lambda self: None)
    closing = ledger_lib.Ledger.with_holder_closed

    def close_all(self, holder, *, used_tokens):
        return closing(self, holder, used_tokens=min(0, used_tokens))

    monkeypatch.setattr(ledger_lib.Ledger, "with_holder_closed", close_all)


def return_surplus_and_keep_it(monkeypatch):
    returning = ledger_lib.Ledger.with_returned_total

    def return_more(self, holder, *, total_tokens):
        return returning(self, holder, total_tokens=total_tokens + 60)

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
        count_lost_writes_as_done,
        lend_without_lowering,
        write_without_condition,
        give_back_what_is_reserved,
        forget_predecessors,
        reserve_beyond,
        return_rights_and_go_on,
        return_surplus_and_keep_it,
        count_returned_rights_twice,
    ],
)
def test_the_oracle_finds_a_deliberate_fault(monkeypatch, fault):
    fault(monkeypatch)
    with pytest.raises(AssertionError):
        run(FAULT_SETTINGS)
