"""Draws rights for one instance from the ledgers in the store.

At most one write is in flight. It updates the ledgers of all teams that need
rights in one transaction.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from concurrent import futures
import random

import msgspec

from bambooglade.core import event_log
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.rights import account as account_lib
from bambooglade.rights import demand_share
from bambooglade.rights import homes as homes_lib
from bambooglade.rights import ledger as ledger_lib
from bambooglade.rights import ledger_copies
from bambooglade.rights import ledger_recovery
from bambooglade.rights import stock_policy
from bambooglade.store import dependency_monitor
from bambooglade.store import store_api

WRITE_TIMEOUT_MS = 600
"""Timeout of one write; a slow store takes a few hundred milliseconds."""

CLOSE_POLL_INTERVAL_MS = 20
"""Interval at which `close` checks whether the last write has completed."""

FAILURE_BACKOFF_MS = 1_000
"""Time after a failed call for which requests do not wait for the store."""

MAX_LEDGERS_PER_WRITE = 14
"""Maximum number of ledgers in one write.

The store accepts at most 32 conditions and values in a transaction.
"""

MAX_COMMIT_ATTEMPTS = 8
"""Maximum attempts of one write under conflicts with other instances.

After the last one, the waiting requests continue without a draw: they borrow
from peers, or are refused and retry later.
"""

MAX_FAST_COMMIT_ATTEMPTS = 16
COMMIT_PERIOD_MS = 1_000
"""Maximum attempts if the store responds fast, and the time for them.

With 8 attempts, 11 of 24 instances that all wrote to one ledger at once got no
rights from it, since they could not reach each other.
"""

CONFLICT_BACKOFF_MS = 32
MAX_CONFLICT_BACKOFF_MS = 200
"""Longest wait after the second conflict of a write, and after later ones.

Waits are random, so that instances do not repeat their conflicts in lockstep.
A fast store takes about 4 ms for a write.
"""

MAX_SINGLE_READS = 1
"""Most ledgers that are read one by one; for more, all are read in pages.

A page of 500 ledgers costs one call, as does a single one.
"""

MIN_DRAW_INTERVAL_MS = 1_000
"""Minimum interval between draws that only refill the stock of a team."""

REFILL_INTERVAL_MS = 1_500
"""Minimum time from any write to one that only refills stocks.

All stocks of the instance are refilled by one write, so that the writes of a
home do not grow with the number of its teams.
"""

EXHAUSTED_READ_INTERVAL_MS = 1_500
"""Minimum interval between reads of the ledger of an exhausted budget.

Homes learn of rights that others have returned from copies. A read finds those
whose copies were lost.
"""

EXHAUSTED_IDLE_MS = 5_000
"""Time without demand after which a surplus returns to an exhausted ledger.

After 0.8 s, the last rights of a small fleet moved to the ledger and back all
the time, with a write for each.
"""


class LedgerClient:
    """Draws rights for the accounts of an instance and returns unused ones.

    Args:
        loop: The event loop.
        store: Store that holds the ledgers.
        instance_address: `instance@address` of this instance, the same for all
            its processes.
        incarnation: Id of this process.
        accounts: Accounts by team.
        prepaid_of: Returns the prepaid tokens of a team; None for no limit.
        homes: Selects the homes of a team.
        contact: Tracks whether the store is reachable.
        copy_ledgers: Called with the ledgers of each write, to keep copies of
            them at peers.
        log: Receives an event for each write and failure.
    """

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        store: store_api.TransactionalStore,
        *,
        instance_address: str,
        incarnation: str,
        accounts: dict[str, account_lib.Account],
        prepaid_of: Callable[[str], int | None],
        homes: homes_lib.HomeSelector,
        contact: dependency_monitor.DependencyMonitor,
        copy_ledgers: Callable[[list[ledger_copies.LedgerCopy]], None],
        log: event_log.EventLog,
    ) -> None:
        self._loop = loop
        self._store = store
        self._instance_address = instance_address
        self._incarnation = incarnation
        self._holder = f"{instance_address}/{incarnation}"
        self._random = random.Random(self._holder)
        self._account_by_team = accounts
        self._prepaid_of = prepaid_of
        self._homes = homes
        self._contact = contact
        self._copy_ledgers = copy_ledgers
        self._log = log
        self._recovery = ledger_recovery.LedgerRecovery()
        self._ledger_item_by_team: dict[str, store_api.Item] = {}
        self._seen_item_by_team: dict[str, store_api.Item] = {}
        self._outages_before_items = 0
        self._last_pending_count = 0
        self._free_tokens_by_team: dict[str, int] = {}
        self._growth_by_team: dict[str, demand_share.LedgerGrowth] = (
            collections.defaultdict(demand_share.LedgerGrowth)
        )
        self._own_growth_by_team: dict[str, demand_share.LedgerGrowth] = (
            collections.defaultdict(demand_share.LedgerGrowth)
        )
        self._committed_returns_by_team: dict[str, int] = {}
        self._exhausted_teams: set[str] = set()
        self._needed_tokens_by_team: collections.Counter[str] = (
            collections.Counter()
        )
        self._waiting_futures: list[futures.Future] = []
        self._last_draw_ms_by_team: dict[str, int] = {}
        self._last_needed_ms_by_team: dict[str, int] = {}
        self._last_current_ms_by_team: dict[str, int] = {}
        self._last_commit_ms: int | None = None
        self._backoff_until_ms = 0
        self._is_writing = False
        self._is_closed = False
        store.era.listeners.append(self._begin_era)

    def _begin_era(self) -> None:
        """Begins to write back what the store has lost."""
        self._recovery.begin_era(
            self._store.era.number,
            seen_by_team=self._seen_item_by_team,
            teams=[
                team
                for team, account in self._account_by_team.items()
                if account.granted_tokens
            ],
            now_ms=self._loop.now_ms(),
        )
        self._seen_item_by_team = {}
        self._ledger_item_by_team.clear()
        self._committed_returns_by_team.clear()
        self._exhausted_teams.clear()
        self._log.event(
            "ledger_recovery_began",
            era=self._store.era.number,
            teams=len(self._recovery.pending_teams),
        )
        self.schedule_write()

    def is_exhausted(self, team: str) -> bool:
        """Returns whether the ledger had no free rights when last read."""
        return team in self._exhausted_teams

    def should_request(self, team: str) -> bool:
        """Returns whether a draw has a chance of success.

        The ledger of a budget that was found exhausted is not read again for
        every request, but only after `EXHAUSTED_READ_INTERVAL_MS`.
        """
        is_backing_off = self._loop.now_ms() < self._backoff_until_ms
        if self._contact.is_unavailable or is_backing_off or self._is_closed:
            return False
        if not self._recovery.may_draw(team, now_ms=self._loop.now_ms()):
            return False
        return team not in self._exhausted_teams or self._is_read_due(team)

    def _is_read_due(self, team: str) -> bool:
        last_current_ms = self._last_current_ms_by_team.get(team)
        return (
            last_current_ms is None
            or self._loop.now_ms() - last_current_ms
            >= EXHAUSTED_READ_INTERVAL_MS
        )

    def request_draw(self, team: str, tokens: int) -> futures.Future:
        """Requests a draw for a request that the account does not cover.

        Args:
            team: Name of the team.
            tokens: Upper bound of the waiting request.

        Returns:
            A future that completes when the next write has ended, whether or
            not it succeeded.
        """
        done: futures.Future = futures.Future()
        self._needed_tokens_by_team[team] += tokens
        self._waiting_futures.append(done)
        self.schedule_write()
        return done

    def schedule_write(self) -> None:
        """Starts a write, unless one is in flight or the client is closed."""
        if not self._is_writing and not self._is_closed:
            self._is_writing = True
            tasks.spawn(self._run_writes())

    def tick(self) -> None:
        """Schedules a write if a stock or a ledger needs one.

        That is a stock that is low or has a surplus, or a ledger of which the
        store has lost writes.
        """
        if not self._contact.is_unavailable and (
            self._recovery.pending_teams
            or (self._is_refill_due and self._teams_to_rebalance())
        ):
            self.schedule_write()

    @property
    def _is_refill_due(self) -> bool:
        return (
            self._last_commit_ms is None
            or self._loop.now_ms() - self._last_commit_ms >= REFILL_INTERVAL_MS
        )

    def refresh_team(self, team: str) -> None:
        """Marks the ledger of a team whose budget is new or changed for a draw.

        The next `tick` or `schedule_write` then draws for its stock.
        """
        _ = self._account_by_team[team]
        self._exhausted_teams.discard(team)
        self._free_tokens_by_team.pop(team, None)

    def _run_writes(self) -> tasks.Task:
        """Writes until no request is waiting."""
        try:
            yield tasks.sleep(self._loop, 0)
            yield from self._write_batch()
            while self._waiting_futures or self._has_recovered_more():
                yield from self._write_batch()
        finally:
            self._is_writing = False

    def _has_recovered_more(self) -> bool:
        """Returns whether the last write left fewer ledgers to recover."""
        pending = len(self._recovery.pending_teams)
        previous, self._last_pending_count = self._last_pending_count, pending
        return 0 < pending < previous

    def _write_batch(self) -> tasks.Task:
        waiting, self._waiting_futures = self._waiting_futures, []
        needed = self._needed_tokens_by_team
        self._needed_tokens_by_team = collections.Counter()
        try:
            if not self._contact.is_unavailable:
                yield from self._update_ledgers(needed)
        finally:
            for future in waiting:
                tasks.complete(future, None)

    def _update_ledgers(self, needed: collections.Counter[str]) -> tasks.Task:
        end_ms = self._loop.now_ms() + COMMIT_PERIOD_MS
        for attempt in range(MAX_FAST_COMMIT_ATTEMPTS):
            if attempt and attempt % 2 == 0:
                yield tasks.sleep(self._loop, self._conflict_wait_ms(attempt))
            is_late = self._loop.now_ms() >= end_ms
            if self._is_closed or (is_late and attempt >= MAX_COMMIT_ATTEMPTS):
                return
            teams = self._teams_to_update(needed)[:MAX_LEDGERS_PER_WRITE]
            if not teams:
                return
            era = self._store.era.number
            is_read = yield from self._read_ledgers(teams)
            if not is_read:
                return
            if self._is_closed:
                return
            self._recovery.record_first_era(
                self._store.era.number, now_ms=self._loop.now_ms()
            )
            if era not in (0, self._store.era.number):
                continue
            is_finished = yield from self._commit(teams, needed)
            if is_finished:
                return

    def _conflict_wait_ms(self, attempt: int) -> int:
        """Returns the wait before an attempt of a write that had conflicts.

        There is one before every second attempt: the first write after a wait
        mostly gets the ledger as others have left it, and the next follows at
        once, before it changes again.
        """
        bound_ms = CONFLICT_BACKOFF_MS * 2 ** (attempt // 2 - 1)
        return round(
            self._random.random() * min(bound_ms, MAX_CONFLICT_BACKOFF_MS)
        )

    def _read_ledgers(self, teams: list[str]) -> tasks.Task:
        """Reads the ledgers that are not cached or were exhausted.

        Other instances may have returned rights to an exhausted ledger. One
        call reads all exhausted ledgers of which rights were needed lately.
        Other cached ledgers need no read: the write conflicts if one is out of
        date.

        After an outage all are read: the store may have returned from an older
        copy and given their revisions to other contents.

        Returns:
            Whether all reads succeeded.
        """
        if self._outages_before_items != self._contact.outage_count:
            self._outages_before_items = self._contact.outage_count
            self._ledger_item_by_team.clear()
        unread = {t for t in teams if t not in self._ledger_item_by_team}
        unread.update(
            t
            for t in self._exhausted_teams.intersection(teams)
            if self._is_read_due(t)
        )
        if unread:
            unread |= self._exhausted_teams_with_demand
        uncached = sorted(unread)
        if len(uncached) > MAX_SINGLE_READS:
            return (yield from self._read_all_ledgers(uncached))
        reads = [self._store.read(ledger_lib.key_of(team)) for team in uncached]
        for future in reads:
            item = yield future
            if not isinstance(item, store_api.Item):
                self._handle_failure("read ledger", item)
                return False
            self._keep_read_item(item)
        return True

    @property
    def _exhausted_teams_with_demand(self) -> set[str]:
        now_ms = self._loop.now_ms()
        return {
            team
            for team in self._exhausted_teams
            if now_ms - self._last_needed_ms_by_team.get(team, 0)
            < EXHAUSTED_IDLE_MS
        }

    def _keep_read_item(self, item: store_api.Item) -> None:
        """Keeps a ledger that was read, and whether it is still exhausted."""
        self._keep_item(item)
        self._reconsider_exhausted(ledger_lib.team_of(item.key), item)

    def _reconsider_exhausted(self, team: str, item: store_api.Item) -> None:
        """Takes a team for exhausted no more if its ledger has free rights."""
        prepaid_tokens = self._prepaid_of(team)
        if team not in self._exhausted_teams or prepaid_tokens is None:
            return
        try:
            ledger = ledger_lib.decode(item.value)
        except ledger_lib.MalformedLedgerError:
            return
        if ledger.total_tokens < prepaid_tokens:
            self._exhausted_teams.discard(team)

    def _read_all_ledgers(self, teams: list[str]) -> tasks.Task:
        """Reads the ledgers of all teams; returns whether that succeeded.

        What is cached of other teams is replaced too.
        """
        after_key = ""
        item_by_team: dict[str, store_api.Item] = {}
        while True:
            page = yield self._store.read_prefix(
                ledger_lib.KEY_PREFIX, after_key=after_key
            )
            if not isinstance(page, store_api.Items):
                self._handle_failure("read ledgers", page)
                return False
            item_by_team |= {ledger_lib.team_of(i.key): i for i in page.items}
            if not page.has_more or not page.items:
                break
            after_key = page.items[-1].key
        for team in {*teams, *self._ledger_item_by_team}:
            self._keep_read_item(
                item_by_team.get(team)
                or store_api.Item(ledger_lib.key_of(team), None, 0)
            )
        return True

    def _keep_item(self, item: store_api.Item) -> None:
        team = ledger_lib.team_of(item.key)
        self._ledger_item_by_team[team] = item
        self._seen_item_by_team[team] = item
        self._last_current_ms_by_team[team] = self._loop.now_ms()

    def _teams_to_rebalance(self) -> list[str]:
        now_ms = self._loop.now_ms()
        return [
            team
            for team, account in self._account_by_team.items()
            if not account.is_closed
            and self._homes.is_local(team)
            and now_ms - self._last_draw_ms_by_team.get(team, 0)
            >= MIN_DRAW_INTERVAL_MS
            and self._needs_rebalancing(team, account)
        ]

    def _needs_rebalancing(
        self, team: str, account: account_lib.Account
    ) -> bool:
        """Returns whether a stock should be refilled or reduced.

        The stock of an exhausted budget is reduced only without demand.
        """
        if team in self._exhausted_teams:
            now_ms = self._loop.now_ms()
            idle_tokens = account.idle_tokens(
                now_ms=now_ms, timeout_ms=EXHAUSTED_IDLE_MS
            )
            needed_ms = self._last_needed_ms_by_team.get(team, 0)
            return (
                idle_tokens > 0
                and now_ms - needed_ms >= EXHAUSTED_IDLE_MS
                and self._stock(team).surplus_tokens > 0
            )
        has_unwritten_returns = account.returned_tokens > (
            self._committed_returns_by_team.get(team, 0)
        )
        if team not in self._free_tokens_by_team or has_unwritten_returns:
            return True
        stock = self._stock(team)
        return stock.is_low or stock.surplus_tokens > 0

    def _stock(self, team: str) -> stock_policy.Stock:
        account = self._account_by_team[team]
        home_count, now_ms = self._homes.count(), self._loop.now_ms()
        demand_tokens = account.outage_demand_tokens(
            now_ms=now_ms, home_count=home_count
        )
        return stock_policy.Stock(
            available_tokens=account.available_tokens,
            free_tokens=self._free_tokens_by_team.get(team, 0),
            outage_demand_tokens=demand_tokens,
            largest_request_tokens=account.largest_request_tokens,
            home_count=home_count,
            home_share=self._home_share(team, home_count, now_ms),
        )

    def _home_share(self, team: str, home_count: int, now_ms: int) -> float:
        """Returns the part of the budget of a team that this home may count on.

        What it draws is compared with what the fleet draws, since both are
        read together and without what requests reserve but do not use. Its
        demand bounds that: a stock that is filled is no demand.

        Where every instance is a home, their parts of the demand change within
        seconds, and a larger stock would mostly be lost at a kill.
        """
        if self._homes.is_every_instance_home:
            return 1 / home_count
        horizon_ms = account_lib.STOCK_HORIZON_MS
        drawn_tokens, fleet_tokens = (
            growth_by_team[team].expected_tokens(horizon_ms, now_ms=now_ms)
            for growth_by_team in (
                self._own_growth_by_team,
                self._growth_by_team,
            )
        )
        demand_tokens = self._account_by_team[team].expected_demand_tokens(
            horizon_ms, now_ms=now_ms
        )
        return demand_share.home_share(
            own_tokens=min(drawn_tokens, demand_tokens),
            fleet_tokens=fleet_tokens,
            home_count=home_count,
        )

    def _teams_to_update(self, needed: collections.Counter[str]) -> list[str]:
        underfunded = [
            team
            for team, tokens in needed.items()
            if self._account_by_team[team].available_tokens < tokens
        ]
        pending = self._recovery.pending_teams
        return list(
            dict.fromkeys(pending + underfunded + self._teams_to_rebalance())
        )

    def _teams_to_refill_jointly(self) -> list[str]:
        """Returns the teams that a write which is made anyway refills too.

        Their ledgers are cached, so that they cause no read.
        """
        return [
            team
            for team, account in self._account_by_team.items()
            if team not in self._exhausted_teams
            and team in self._ledger_item_by_team
            and not account.is_closed
            and self._homes.is_local(team)
            and self._stock(team).can_be_refilled
        ]

    def _commit(
        self, teams: list[str], needed: collections.Counter[str]
    ) -> tasks.Task:
        """Writes the ledgers; returns False to retry at once."""
        ledger_by_team = self._ledgers_after_draw(teams, needed)
        if not ledger_by_team:
            return True
        others = [
            team
            for team in self._teams_to_refill_jointly()
            if team not in teams
        ][: MAX_LEDGERS_PER_WRITE - len(ledger_by_team)]
        ledger_by_team |= self._ledgers_after_draw(others, needed)
        writes = [
            store_api.Write(
                self._ledger_item_by_team[team].key,
                ledger_lib.encode(ledger),
                expected_revision=self._ledger_item_by_team[team].revision,
            )
            for team, ledger in ledger_by_team.items()
        ]
        response = yield self._store.commit(writes, timeout_ms=WRITE_TIMEOUT_MS)
        if isinstance(response, store_api.Conflicted):
            self._apply_conflict(response)
            for team in ledger_by_team:
                # Nothing was drawn, so that the next draw need not wait.
                self._last_draw_ms_by_team.pop(team, None)
            # Homes that refill their stocks at the same moment would conflict
            # again at once; the next tick retries.
            return not needed and not self._recovery.pending_teams
        self._last_commit_ms = self._loop.now_ms()
        if isinstance(response, store_api.Committed):
            self._apply_commit(writes, response.revision, ledger_by_team)
            return True
        for team in ledger_by_team:
            self._ledger_item_by_team.pop(team, None)
        self._handle_failure("write", response)
        return True

    def _ledgers_after_draw(
        self, teams: list[str], needed: collections.Counter[str]
    ) -> dict[str, ledger_lib.Ledger]:
        """Returns the ledgers that a draw changes, by team."""
        return {
            team: ledger
            for team in teams
            if (ledger := self._ledger_after_draw(team, needed[team]))
            is not None
        }

    def _ledger_after_draw(
        self, team: str, needed_tokens: int
    ) -> ledger_lib.Ledger | None:
        """Returns the ledger after a draw; None if it does not change."""
        item = self._ledger_item_by_team[team]
        self._last_draw_ms_by_team[team] = self._loop.now_ms()
        if needed_tokens:
            self._last_needed_ms_by_team[team] = self._loop.now_ms()
        prepaid = self._prepaid_of(team)
        try:
            ledger = ledger_lib.decode(item.value)
        except ledger_lib.MalformedLedgerError as error:
            self._log.event("ledger_malformed", team=team, error=error)
            prepaid = None
        if prepaid is None:
            self._recovery.record_recovered(team)
            self._free_tokens_by_team[team] = 0
            return None
        account = self._account_by_team[team]
        account.record_granted_total(
            ledger.granted_by_holder.get(self._holder, 0)
        )
        now_ms = self._loop.now_ms()
        self._growth_by_team[team].record(ledger.total_tokens, now_ms=now_ms)
        self._own_growth_by_team[team].record(
            ledger.held_tokens(self._holder), now_ms=now_ms
        )
        if not self._recovery.may_draw(team, now_ms=now_ms):
            return self._ledger_after_recovery(team, ledger, prepaid)
        if self._recovery.is_unconfirmed(
            ledger, revision=item.revision, now_ms=now_ms
        ):
            return None
        self._return_surplus(team, needed_tokens)
        returned = ledger.with_returned_total(
            self._holder, total_tokens=account.returned_tokens
        )
        free_tokens = prepaid - returned.total_tokens
        self._free_tokens_by_team[team] = free_tokens
        tokens = self._tokens_to_draw(team, free_tokens, needed_tokens)
        if free_tokens > 0:
            self._exhausted_teams.discard(team)
        else:
            self._exhausted_teams.add(team)
        if tokens <= 0 and returned == ledger:
            return None
        closed = self._with_predecessors_closed(team, returned)
        return msgspec.structs.replace(
            closed.with_grant(self._holder, max(0, tokens)),
            era=self._store.era.number,
            recovered_revision=0,
        )

    def _ledger_after_recovery(
        self, team: str, ledger: ledger_lib.Ledger, prepaid_tokens: int
    ) -> ledger_lib.Ledger | None:
        """Returns the ledger with what the store has lost; None if nothing."""
        item = self._ledger_item_by_team[team]
        recovered = self._recovery.recover(team, ledger, revision=item.revision)
        account = self._account_by_team[team]
        if account.granted_tokens:
            recovered = recovered.with_totals(
                self._holder,
                granted_tokens=account.granted_tokens,
                returned_tokens=account.returned_tokens,
            )
        self._free_tokens_by_team[team] = (
            prepaid_tokens - recovered.total_tokens
        )
        if recovered == ledger:
            self._recovery.record_recovered(team)
            return None
        self._log.event(
            "ledger_recovered",
            team=team,
            era=self._store.era.number,
            copied_tokens=ledger.total_tokens,
            ledger_tokens=recovered.total_tokens,
        )
        return recovered

    def _with_predecessors_closed(
        self, team: str, ledger: ledger_lib.Ledger
    ) -> ledger_lib.Ledger:
        """Returns the ledger with earlier processes of this instance closed.

        All their rights count as used. Closing them frees no rights and so
        does not justify a write of its own: after a kill of all instances,
        every instance would write to every ledger at once.
        """
        for holder in ledger.holders_at(self._instance_address):
            if holder == self._holder:
                continue
            used = ledger.held_tokens(holder)
            self._log.event(
                "predecessor_closed",
                team=team,
                holder=holder,
                used_tokens=used,
            )
            ledger = ledger.with_holder_closed(holder, used_tokens=used)
        return ledger

    def _return_surplus(self, team: str, needed_tokens: int) -> None:
        """Deducts the surplus of a stock from the account, to be returned."""
        if team not in self._free_tokens_by_team or not self._homes.is_local(
            team
        ):
            return
        surplus_tokens = self._stock(team).surplus_beyond(needed_tokens)
        self._account_by_team[team].return_tokens(surplus_tokens)

    def _tokens_to_draw(
        self, team: str, free_tokens: int, needed_tokens: int
    ) -> int:
        """Returns the number of tokens to draw.

        An instance that is not a home holds no stock. It draws only for a
        waiting request when no home could lend.
        """
        account = self._account_by_team[team]
        desired_tokens = needed_tokens
        if self._homes.is_local(team):
            desired_tokens = max(
                desired_tokens, self._stock(team).desired_tokens
            )
        return max(
            0, min(free_tokens, desired_tokens - account.available_tokens)
        )

    def _apply_commit(
        self,
        writes: list[store_api.Write],
        revision: int,
        ledger_by_team: dict[str, ledger_lib.Ledger],
    ) -> None:
        for write in writes:
            team = ledger_lib.team_of(write.key)
            self._keep_item(store_api.Item(write.key, write.value, revision))
            self._recovery.record_recovered(team)
            account = self._account_by_team[team]
            previous_tokens = account.granted_tokens
            granted = ledger_by_team[team].granted_by_holder.get(
                self._holder, 0
            )
            account.record_granted_total(granted)
            self._committed_returns_by_team[team] = ledger_by_team[
                team
            ].returned_by_holder.get(self._holder, 0)
            if (
                self._free_tokens_by_team.get(team, 0)
                <= granted - previous_tokens
            ):
                self._exhausted_teams.add(team)
            self._log.event(
                "rights_drawn",
                team=team,
                tokens=granted - previous_tokens,
                granted_tokens=granted,
                returned_tokens=account.returned_tokens or None,
                ledger_tokens=ledger_by_team[team].total_tokens,
                free_tokens=self._free_tokens_by_team.get(team),
                revision=revision,
            )

        self._send_copies(writes, revision)

    def _send_copies(
        self, writes: Iterable[store_api.Write], revision: int
    ) -> None:
        self._copy_ledgers(
            [
                ledger_copies.LedgerCopy(
                    ledger_lib.team_of(write.key),
                    ledger_lib.decode(write.value),
                    revision,
                    self._store.era.number,
                )
                for write in writes
            ]
        )

    def record_copies(self, copies: Iterable[ledger_copies.LedgerCopy]) -> None:
        """Records ledgers that a peer has written.

        They are kept for a later recovery, and spare the next write a conflict.
        Copies of another era and of unknown teams are ignored.
        """
        for copy in copies:
            is_known_team = self._prepaid_of(copy.team) is not None
            if copy.store_era != self._store.era.number or not is_known_team:
                continue
            seen = self._seen_item_by_team.get(copy.team)
            if seen is None or seen.revision < copy.revision:
                item = store_api.Item(
                    ledger_lib.key_of(copy.team),
                    ledger_lib.encode(copy.ledger),
                    copy.revision,
                )
                self._seen_item_by_team[copy.team] = item
                self._replace_cached_item(copy, item)

    def _replace_cached_item(
        self, copy: ledger_copies.LedgerCopy, item: store_api.Item
    ) -> None:
        """Replaces a cached ledger with the newer one that a peer has written.

        Without a known era, the copy may be of the contents before a restore,
        at a revision that the store has given out again.
        """
        cached = self._ledger_item_by_team.get(copy.team)
        if (
            copy.store_era
            and cached is not None
            and cached.revision < item.revision
        ):
            self._ledger_item_by_team[copy.team] = item
            self._last_current_ms_by_team[copy.team] = self._loop.now_ms()
            self._reconsider_exhausted(copy.team, item)

    def _apply_conflict(self, response: store_api.Conflicted) -> None:
        for item in response.items:
            self._keep_item(item)

    def close(self) -> futures.Future:
        """Closes all accounts and returns their unused rights to the ledgers.

        Returns:
            A future that completes when the writes have ended.
        """
        for account in self._account_by_team.values():
            account.close()
        self._is_closed = True
        return tasks.spawn(self._close())

    def _close(self) -> tasks.Task:
        while self._is_writing:
            yield tasks.sleep(self._loop, CLOSE_POLL_INTERVAL_MS)
        teams_with_rights = [
            team
            for team, account in self._account_by_team.items()
            if account.granted_tokens or account.used_tokens
        ]
        for first in range(0, len(teams_with_rights), MAX_LEDGERS_PER_WRITE):
            teams = teams_with_rights[first : first + MAX_LEDGERS_PER_WRITE]
            for _ in range(MAX_COMMIT_ATTEMPTS):
                is_read = yield from self._read_ledgers(teams)
                if not is_read:
                    return
                writes = list(self._closing_writes(teams))
                response = yield self._store.commit(
                    writes, timeout_ms=WRITE_TIMEOUT_MS
                )
                if isinstance(response, store_api.Committed):
                    self._send_copies(writes, response.revision)
                if not isinstance(response, store_api.Conflicted):
                    self._log.event(
                        "rights_returned",
                        teams=len(teams),
                        answer=type(response).__name__,
                    )
                    break
                self._apply_conflict(response)

    def _closing_writes(self, teams: list[str]) -> Iterator[store_api.Write]:
        """Yields the writes that close this holder in the ledgers.

        A write that got no response must not be repeated: borrowed rights are
        recorded under no holder and would be returned twice.
        """
        for team in teams:
            item = self._ledger_item_by_team[team]
            ledger = self._recovery.recover(
                team, ledger_lib.decode(item.value), revision=item.revision
            )
            used = self._account_by_team[team].used_tokens
            closed = ledger.with_holder_closed(self._holder, used_tokens=used)
            yield store_api.Write(
                item.key,
                ledger_lib.encode(closed),
                expected_revision=item.revision,
            )

    def _handle_failure(self, call: str, response: store_api.Response) -> None:
        now_ms = self._loop.now_ms()
        self._backoff_until_ms = now_ms + FAILURE_BACKOFF_MS
        if isinstance(response, store_api.NoResponse):
            self._contact.record_failure(now_ms=now_ms, reason=call)
        self._log.event(
            "ledger_unreachable", call=call, answer=type(response).__name__
        )

    def __repr__(self) -> str:
        return f"LedgerClient(holder={self._holder!r})"
