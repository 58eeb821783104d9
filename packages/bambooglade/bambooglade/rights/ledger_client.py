"""Draws rights of one instance from the ledgers in the store.

One write is under way at a time. It carries the ledgers of all teams that need
more, all or nothing.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures

from bambooglade.core import event_log
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.rights import account as account_lib
from bambooglade.rights import homes as homes_lib
from bambooglade.rights import ledger as ledger_lib
from bambooglade.rights import stock_policy
from bambooglade.store import contact as contact_lib
from bambooglade.store import port

WRITE_TIMEOUT_MS = 600
"""Limit on one write; a slow store takes some hundred milliseconds."""

CLOSE_POLL_MS = 20
"""Time between two looks at whether the last write has ended."""

FAILURE_PAUSE_MS = 1_000
"""Time for which requests do not wait for the store after a call failed."""

MAX_LEDGERS_PER_WRITE = 14
"""Ledgers in one write; the store takes 32 conditions and values."""

MAX_CONFLICTS = 8
"""Conflicts with other instances before requests are told to wait."""

DRAW_PAUSE_MS = 1_000
"""Pause between two draws of a team that only fill its stock."""


class LedgerClient:
    """Keeps accounts supplied with rights.

    Args:
        loop: The event loop.
        store: Where the ledgers lie.
        instance_address: `instance@address` of this instance; outlives the
            process.
        incarnation: This process.
        accounts: Accounts by team.
        prepaid_of: Returns what a team prepaid, in tokens; None for no limit.
        homes: Knows whose stocks are held here.
        contact: Tells whether the store answers.
        log: Told of writes.
    """

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        store: port.TransactionalStore,
        *,
        instance_address: str,
        incarnation: str,
        accounts: dict[str, account_lib.Account],
        prepaid_of: Callable[[str], int | None],
        homes: homes_lib.HomeSelector,
        contact: contact_lib.Contact,
        log: event_log.EventLog,
    ) -> None:
        self._loop = loop
        self._store = store
        self._instance_address = instance_address
        self._incarnation = incarnation
        self._holder = f"{instance_address}/{incarnation}"
        self._account_by_team = accounts
        self._prepaid_of = prepaid_of
        self._homes = homes
        self._contact = contact
        self._log = log
        self._ledger_item_by_team: dict[str, port.Item] = {}
        self._free_by_team: dict[str, int] = {}
        self._returned_by_team: dict[str, int] = {}
        self._exhausted: set[str] = set()
        self._needed_by_team: collections.Counter[str] = collections.Counter()
        self._waiting: list[futures.Future] = []
        self._drawn_at_ms_by_team: dict[str, int] = {}
        self._paused_until_ms = 0
        self._is_writing = False
        self._is_closed = False

    def is_exhausted(self, team: str) -> bool:
        """Returns whether the ledger had nothing left when last seen."""
        return team in self._exhausted

    def is_worth_asking(self, team: str) -> bool:
        """Returns whether a draw may bring something.

        A budget that was used up a moment ago is not looked at again for every
        request that comes.
        """
        is_paused = self._loop.now_ms() < self._paused_until_ms
        if self._contact.is_lost or is_paused or self._is_closed:
            return False
        drawn_at_ms = self._drawn_at_ms_by_team.get(team)
        return (
            team not in self._exhausted
            or drawn_at_ms is None
            or self._loop.now_ms() - drawn_at_ms >= DRAW_PAUSE_MS
        )

    def request(self, team: str, tokens: int) -> futures.Future:
        """Asks for rights beyond what is available.

        Args:
            team: Name of the team.
            tokens: Upper bound of the request that waits.

        Returns:
            A future that completes when a write has ended, whatever came of it.
        """
        done: futures.Future = futures.Future()
        self._needed_by_team[team] += tokens
        self._waiting.append(done)
        self.wake()
        return done

    def wake(self) -> None:
        """Writes soon, unless a write is under way or the store is away."""
        if not self._is_writing and not self._is_closed:
            self._is_writing = True
            tasks.spawn(self._write_all())

    def tick(self) -> None:
        """Draws if a stock is low."""
        if not self._contact.is_lost and self._stocks_to_change():
            self.wake()

    def watch_team(self, team: str) -> None:
        """Starts to hold a stock for a team."""
        _ = self._account_by_team[team]
        self._exhausted.discard(team)
        self._free_by_team.pop(team, None)

    def _write_all(self) -> tasks.Task:
        """Writes until no request waits."""
        try:
            yield tasks.sleep(self._loop, 0)
            yield from self._write_round()
            while self._waiting:
                yield from self._write_round()
        finally:
            self._is_writing = False

    def _write_round(self) -> tasks.Task:
        waiting, self._waiting = self._waiting, []
        needed = self._needed_by_team
        self._needed_by_team = collections.Counter()
        try:
            if not self._contact.is_lost:
                yield from self._write(needed)
        finally:
            for future in waiting:
                tasks.complete(future, None)

    def _write(self, needed: collections.Counter[str]) -> tasks.Task:
        for _ in range(MAX_CONFLICTS):
            if self._is_closed:
                return
            teams = self._teams_to_draw(needed)[:MAX_LEDGERS_PER_WRITE]
            is_read = yield from self._read_ledgers(teams)
            if not is_read:
                return
            if self._is_closed:
                return
            is_done = yield from self._commit(teams, needed)
            if is_done:
                return

    def _read_ledgers(self, teams: list[str]) -> tasks.Task:
        """Reads the ledgers that are not known, or that were used up.

        Others may have given rights back since; a ledger that is not used up
        shows it by a conflict.
        """
        for team in self._exhausted.intersection(teams):
            self._ledger_item_by_team.pop(team, None)
        missing = [t for t in teams if t not in self._ledger_item_by_team]
        reads = [self._store.read(ledger_lib.key_of(team)) for team in missing]
        for team, future in zip(missing, reads, strict=True):
            item = yield future
            if not isinstance(item, port.Item):
                self._handle_failure("read ledger", item)
                return False
            self._ledger_item_by_team[team] = item
        return True

    def _stocks_to_change(self) -> list[str]:
        now_ms = self._loop.now_ms()
        return [
            team
            for team, account in self._account_by_team.items()
            if team not in self._exhausted
            and not account.is_closed
            and self._homes.is_local(team)
            and now_ms - self._drawn_at_ms_by_team.get(team, 0) >= DRAW_PAUSE_MS
            and self._is_stock_off(team, account)
        ]

    def _is_stock_off(self, team: str, account: account_lib.Account) -> bool:
        """Returns whether a stock is to be filled up or reduced."""
        is_unwritten = account.returned_tokens > (
            self._returned_by_team.get(team, 0)
        )
        if team not in self._free_by_team or is_unwritten:
            return True
        stock = self._stock(team)
        return stock.is_low or stock.surplus_tokens > 0

    def _stock(self, team: str) -> stock_policy.Stock:
        account = self._account_by_team[team]
        home_count = self._homes.count()
        return stock_policy.Stock(
            available_tokens=account.available_tokens,
            free_tokens=self._free_by_team.get(team, 0),
            outage_tokens=account.desired_stock_tokens(
                now_ms=self._loop.now_ms(), home_count=home_count
            ),
            largest_tokens=account.largest_tokens,
            home_count=home_count,
        )

    def _teams_to_draw(self, needed: collections.Counter[str]) -> list[str]:
        short = [
            team
            for team, tokens in needed.items()
            if self._account_by_team[team].available_tokens < tokens
        ]
        return list(dict.fromkeys(short + self._stocks_to_change()))

    def _commit(
        self, teams: list[str], needed: collections.Counter[str]
    ) -> tasks.Task:
        """Writes the ledgers; returns whether to leave it at that."""
        ledger_by_team = {
            team: ledger
            for team in teams
            if (ledger := self._drawn(team, needed[team])) is not None
        }
        if not ledger_by_team:
            return True
        writes = [
            port.Write(
                self._ledger_item_by_team[team].key,
                ledger_lib.encode(ledger),
                expected_revision=self._ledger_item_by_team[team].revision,
            )
            for team, ledger in ledger_by_team.items()
        ]
        answer = yield self._store.commit(writes, timeout_ms=WRITE_TIMEOUT_MS)
        if isinstance(answer, port.Committed):
            self._committed(writes, answer.revision, ledger_by_team)
            return True
        if isinstance(answer, port.Conflicted):
            self._conflicted(answer)
            return False
        for team in ledger_by_team:
            self._ledger_item_by_team.pop(team, None)
        self._handle_failure("write", answer)
        return True

    def _drawn(self, team: str, needed_tokens: int) -> ledger_lib.Ledger | None:
        """Returns the ledger after a draw; None if it stays as it is."""
        item = self._ledger_item_by_team[team]
        self._drawn_at_ms_by_team[team] = self._loop.now_ms()
        prepaid = self._prepaid_of(team)
        try:
            ledger = ledger_lib.decode(item.value)
        except ledger_lib.MalformedLedgerError as error:
            self._log.event("ledger_malformed", team=team, error=error)
            prepaid = None
        if prepaid is None:
            self._free_by_team[team] = 0
            return None
        account = self._account_by_team[team]
        account.record_granted_total(
            ledger.granted_by_holder.get(self._holder, 0)
        )
        self._give_back_surplus(team, needed_tokens)
        returned = ledger.with_returned_total(
            self._holder, total_tokens=account.returned_tokens
        )
        free_tokens = prepaid - returned.total_tokens
        self._free_by_team[team] = free_tokens
        tokens = self._draw_size(team, free_tokens, needed_tokens)
        if free_tokens > 0:
            self._exhausted.discard(team)
        else:
            self._exhausted.add(team)
        if tokens <= 0 and returned == ledger:
            return None
        closed = self._with_predecessors_closed(team, returned)
        return closed.with_grant(self._holder, max(0, tokens))

    def _with_predecessors_closed(
        self, team: str, ledger: ledger_lib.Ledger
    ) -> ledger_lib.Ledger:
        """Closes what earlier processes of this place held, all as used.

        That frees nothing, and so is no reason for a write by itself: after a
        kill of all, every instance would write to every ledger at once.
        """
        for holder in ledger.holders_at(self._instance_address):
            if holder == self._holder:
                continue
            used = ledger.held_by(holder)
            self._log.event(
                "predecessor_closed",
                team=team,
                holder=holder,
                used_tokens=used,
            )
            ledger = ledger.with_holder_closed(holder, used_tokens=used)
        return ledger

    def _give_back_surplus(self, team: str, needed_tokens: int) -> None:
        """Takes rights out of use that were drawn for more demand."""
        if team not in self._free_by_team or not self._homes.is_local(team):
            return
        surplus = self._stock(team).surplus_beyond(needed_tokens)
        self._account_by_team[team].return_tokens(surplus)

    def _draw_size(
        self, team: str, free_tokens: int, needed_tokens: int
    ) -> int:
        """Returns how much to draw, in tokens; 0 for nothing.

        An instance that is no home draws for a request that waits, when no
        home could lend; the stock is not its own.
        """
        account = self._account_by_team[team]
        wanted = needed_tokens
        if self._homes.is_local(team):
            wanted = max(wanted, self._stock(team).wanted_tokens)
        return max(0, min(free_tokens, wanted - account.available_tokens))

    def _committed(
        self,
        writes: list[port.Write],
        revision: int,
        ledger_by_team: dict[str, ledger_lib.Ledger],
    ) -> None:
        for write in writes:
            team = ledger_lib.team_of(write.key)
            self._ledger_item_by_team[team] = port.Item(
                write.key, write.value, revision
            )
            account = self._account_by_team[team]
            before = account.granted_tokens
            granted = ledger_by_team[team].granted_by_holder[self._holder]
            account.record_granted_total(granted)
            self._returned_by_team[team] = ledger_by_team[
                team
            ].returned_by_holder.get(self._holder, 0)
            if self._free_by_team.get(team, 0) <= granted - before:
                self._exhausted.add(team)
            self._log.event(
                "rights_drawn",
                team=team,
                tokens=granted - before,
                granted_tokens=granted,
                returned_tokens=account.returned_tokens or None,
                ledger_tokens=ledger_by_team[team].total_tokens,
                free_tokens=self._free_by_team.get(team),
                revision=revision,
            )

    def _conflicted(self, answer: port.Conflicted) -> None:
        for item in answer.items:
            self._ledger_item_by_team[ledger_lib.team_of(item.key)] = item

    def close(self) -> futures.Future:
        """Gives back what was not used; nothing may be reserved after it."""
        for account in self._account_by_team.values():
            account.close()
        self._is_closed = True
        return tasks.spawn(self._close())

    def _close(self) -> tasks.Task:
        while self._is_writing:
            yield tasks.sleep(self._loop, CLOSE_POLL_MS)
        held = [
            team
            for team, account in self._account_by_team.items()
            if account.granted_tokens or account.used_tokens
        ]
        for first in range(0, len(held), MAX_LEDGERS_PER_WRITE):
            teams = held[first : first + MAX_LEDGERS_PER_WRITE]
            for _ in range(MAX_CONFLICTS):
                is_read = yield from self._read_ledgers(teams)
                if not is_read:
                    return
                answer = yield self._store.commit(
                    list(self._closing_writes(teams)),
                    timeout_ms=WRITE_TIMEOUT_MS,
                )
                if not isinstance(answer, port.Conflicted):
                    self._log.event(
                        "rights_returned",
                        teams=len(teams),
                        answer=type(answer).__name__,
                    )
                    break
                self._conflicted(answer)

    def _closing_writes(self, teams: list[str]) -> Iterator[port.Write]:
        """Yields the ledgers without this holder.

        A write without an answer is not sent again: what was borrowed stands
        under no holder, and would be given back twice.
        """
        for team in teams:
            item = self._ledger_item_by_team[team]
            ledger = ledger_lib.decode(item.value)
            used = self._account_by_team[team].used_tokens
            closed = ledger.with_holder_closed(self._holder, used_tokens=used)
            yield port.Write(
                item.key,
                ledger_lib.encode(closed),
                expected_revision=item.revision,
            )

    def _handle_failure(self, call: str, answer: port.Answer) -> None:
        now_ms = self._loop.now_ms()
        self._paused_until_ms = now_ms + FAILURE_PAUSE_MS
        if isinstance(answer, port.Unanswered):
            self._contact.failed(now_ms=now_ms, reason=call)
        self._log.event(
            "ledger_unreachable", call=call, answer=type(answer).__name__
        )

    def __repr__(self) -> str:
        return f"LedgerClient(holder={self._holder!r})"
