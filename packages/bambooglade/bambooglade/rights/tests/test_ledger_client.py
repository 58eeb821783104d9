"""Tests of the stocks that homes draw from a ledger that they share."""

from __future__ import annotations

import types

import pytest

from bambooglade.core import clock as clock_lib
from bambooglade.core import event_log
from bambooglade.rights import account as account_lib
from bambooglade.rights import ledger as ledger_lib
from bambooglade.rights import ledger_client
from bambooglade.rights import stock_policy
from bambooglade.store import store_api

TEAM = "t"
HOME_COUNT = 4
PREPAID_TOKENS = 4_000_000
TICK_MS = 250


class _Homes:
    def __init__(self, is_every_instance_home: bool = False) -> None:
        self.is_every_instance_home = is_every_instance_home

    def count(self) -> int:
        return HOME_COUNT

    def is_local(self, team: str) -> bool:
        del team
        return True


class _Fleet:
    """Homes of one team, without a network."""

    def __init__(self, *, is_every_instance_home: bool = False) -> None:
        self.clock = clock_lib.ManualClock()
        self.accounts = [account_lib.Account() for _ in range(HOME_COUNT)]
        self._item = store_api.Item(
            ledger_lib.key_of(TEAM), ledger_lib.encode(ledger_lib.Ledger()), 1
        )
        self._request_count = 0
        self._homes = [
            ledger_client.LedgerClient(
                types.SimpleNamespace(now_ms=self.clock.now_ms),
                types.SimpleNamespace(
                    era=types.SimpleNamespace(number=1, listeners=[])
                ),
                instance_address=f"i{number}@10.0.0.{number}",
                incarnation="1",
                accounts={TEAM: account},
                prepaid_of=lambda team: PREPAID_TOKENS,
                homes=_Homes(is_every_instance_home),
                contact=types.SimpleNamespace(is_unavailable=False),
                copy_ledgers=lambda copies: None,
                log=event_log.EventLog(self.clock),
            )
            for number, account in enumerate(self.accounts)
        ]

    @property
    def held_fraction(self) -> float:
        """Part of the unspent rights that homes hold."""
        spent = sum(account.spent_tokens for account in self.accounts)
        held = sum(account.available_tokens for account in self.accounts)
        return held / (PREPAID_TOKENS - spent)

    @property
    def write_count(self) -> int:
        """Number of writes of the ledger."""
        return self._item.revision - 1

    def run(
        self,
        duration_ms: int,
        *,
        interval_ms: int,
        reserved: int,
        spent: int,
        turns: tuple[int, ...] = tuple(range(HOME_COUNT)),
    ) -> None:
        """Sends requests to homes in turn; none if the interval is 0."""
        for elapsed_ms in range(0, duration_ms, TICK_MS):
            if interval_ms and elapsed_ms % interval_ms == 0:
                self._request_count += 1
                turn = turns[self._request_count % len(turns)]
                self._request(turn, reserved, spent)
            for number, home in enumerate(self._homes):
                if home._teams_to_rebalance():
                    self._draw(number, 0)
            self.clock.advance(delta_ms=TICK_MS)

    def _request(self, number: int, reserved: int, spent: int) -> None:
        account, now_ms = self.accounts[number], self.clock.now_ms()
        if not account.reserve("r", reserved, now_ms=now_ms):
            self._draw(number, reserved)
            assert account.reserve("r", reserved, now_ms=now_ms)
        account.settle("r", spent)

    def _draw(self, number: int, needed_tokens: int) -> None:
        home = self._homes[number]
        home._ledger_item_by_team[TEAM] = self._item
        ledger = home._ledger_after_draw(TEAM, needed_tokens)
        if ledger is None:
            return
        revision = self._item.revision + 1
        self._item = store_api.Item(
            self._item.key, ledger_lib.encode(ledger), revision
        )
        write = store_api.Write(
            self._item.key, self._item.value, expected_revision=revision - 1
        )
        home._apply_commit([write], revision, {TEAM: ledger})


# Guards against homes that each count on most of a budget although their demand
# is equal: they draw and return stocks for ever, also when nobody asks, and
# hold more than equal parts. Requests reserve upper bounds; the ledger shows
# what was spent.
@pytest.mark.parametrize(
    ("reserved", "spent", "interval_ms"),
    [(10_000, 10_000, 500), (10_000, 3_000, 500), (60_000, 5_000, 2_000)],
)
def test_homes_of_a_quiet_team_do_not_write(reserved, spent, interval_ms):
    fleet = _Fleet()
    request = {"reserved": reserved, "spent": spent}
    fleet.run(28_000, interval_ms=interval_ms, **request)
    fleet.run(20_000, interval_ms=0, **request)
    write_count = fleet.write_count
    fleet.run(100_000, interval_ms=0, **request)
    assert fleet.write_count == write_count
    idle_part = stock_policy.MIN_STOCK_SHARE * (HOME_COUNT - 1) / HOME_COUNT
    assert fleet.held_fraction <= stock_policy.MAX_STOCK_SHARE + idle_part


@pytest.mark.parametrize("reserved", [10_000, 25_000])
def test_home_of_one_busy_zone_covers_most_of_an_outage(reserved):
    fleet = _Fleet()
    fleet.run(
        20_000,
        interval_ms=250,
        reserved=reserved,
        spent=10_000,
        turns=(0,) * 15 + (1,),
    )
    outage_tokens = 10_000 * 8_000 / 250
    assert fleet.accounts[0].available_tokens >= 0.5 * outage_tokens


@pytest.mark.parametrize("is_every_instance_home", [False, True])
def test_stocks_follow_demand_only_where_homes_are_few(is_every_instance_home):
    # Guards against large stocks in small fleets, which a kill of all loses.
    fleet = _Fleet(is_every_instance_home=is_every_instance_home)
    fleet.run(
        10_000, interval_ms=250, reserved=20_000, spent=20_000, turns=(0,)
    )
    equal_part = stock_policy.MAX_STOCK_SHARE * PREPAID_TOKENS / HOME_COUNT
    is_larger = fleet.accounts[0].available_tokens > 1.2 * equal_part
    assert is_larger is not is_every_instance_home
