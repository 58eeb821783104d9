"""Gets rights for requests: from the own stock, the store, or peers.

A request waits for the store or for peers only if the own stock is too small.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from concurrent import futures
import enum

from bambooglade.core import event_log
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.rights import account as account_lib
from bambooglade.rights import ledger as ledger_lib
from bambooglade.rights import lending
from bambooglade.store import contact as contact_lib
from bambooglade.store import port

DRAW_TIMEOUT_MS = 400
"""Limit on one write of a draw; a request may be waiting for it."""

MAX_DRAW_ATTEMPTS = 6
"""Conflicts with other instances before a draw is given up."""

DRAW_PAUSE_MS = 1_000
"""Pause between draws that only fill the stock."""

STOCK_SHARE = 0.5
"""Part of an equal share of the free budget that each instance holds.

What all hold together has to last through an outage of the store; what an
instance holds is lost when it dies.
"""

MAX_DRAW_SHARE = 0.5
"""Part of an equal share of the free budget that one draw may take."""

REFILL_BELOW = 0.5
"""Part of the wanted stock below which it is filled up."""


class Reservation(enum.Enum):
    """How a reservation ended."""

    RESERVED = "reserved"
    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"


class RightsKeeper:
    """Accounts of all teams at one instance.

    Args:
        loop: The event loop.
        store: Where the ledgers lie.
        lenders: Asks the peers.
        holder: `instance/incarnation` of this process.
        prepaid_of: Returns what a team prepaid, in tokens; None for no limit.
        fleet_size: Returns the number of instances.
        contact: Tells whether the store answers.
        log: Told of draws and loans.
    """

    __slots__ = (
        "_account_by_team",
        "_contact",
        "_draw_by_team",
        "_drawn_at_ms_by_team",
        "_fleet_size",
        "_free_by_team",
        "_holder",
        "_item_by_team",
        "_lenders",
        "_log",
        "_loop",
        "_prepaid_of",
        "_store",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        store: port.TransactionalStore,
        lenders: lending.Lenders,
        *,
        holder: str,
        prepaid_of: Callable[[str], int | None],
        fleet_size: Callable[[], int],
        contact: contact_lib.Contact,
        log: event_log.EventLog,
    ) -> None:
        self._loop = loop
        self._store = store
        self._lenders = lenders
        self._holder = holder
        self._prepaid_of = prepaid_of
        self._fleet_size = fleet_size
        self._contact = contact
        self._log = log
        self._account_by_team: dict[str, account_lib.Account] = (
            collections.defaultdict(account_lib.Account)
        )
        self._item_by_team: dict[str, port.Item] = {}
        self._free_by_team: dict[str, int] = {}
        self._draw_by_team: dict[str, futures.Future] = {}
        self._drawn_at_ms_by_team: dict[str, int] = {}

    def account(self, team: str) -> account_lib.Account:
        """Returns the account of a team."""
        return self._account_by_team[team]

    def reserve(
        self, team: str, request_id: str, tokens: int
    ) -> futures.Future | Reservation:
        """Reserves the upper bound of a request.

        Returns:
            `RESERVED` at once if the stock suffices, else a future with how it
            ended.
        """
        account = self._account_by_team[team]
        if account.reserve(request_id, tokens, now_ms=self._loop.now_ms()):
            self._refill(team)
            return Reservation.RESERVED
        return tasks.spawn(self._reserve_later(team, request_id, tokens))

    def settle(self, team: str, request_id: str, spent_tokens: int) -> None:
        """Ends a request that was reserved."""
        self._account_by_team[team].settle(request_id, spent_tokens)

    def lend(self, team: str, wanted_tokens: int) -> int:
        """Gives rights to a peer; returns how many."""
        if self._prepaid_of(team) is None:
            return 0
        return self._account_by_team[team].lend(wanted_tokens)

    def fill_stocks(self, teams: list[str]) -> None:
        """Draws a first stock for teams, ahead of their requests."""
        for team in teams:
            self._refill(team)

    def give_back(self) -> futures.Future:
        """Closes all accounts and returns what was not used to the ledgers."""
        pending = []
        for team, account in self._account_by_team.items():
            if not account.is_closed and account.granted_tokens:
                account.close()
                pending.append(tasks.spawn(self._close(team, account)))
        return tasks.spawn(_wait_for_all(pending))

    def _reserve_later(
        self, team: str, request_id: str, tokens: int
    ) -> tasks.Task:
        account = self._account_by_team[team]
        is_exhausted = False
        if not self._contact.is_lost:
            needed = tokens - account.available_tokens
            is_exhausted = yield self._draw(team, needed)
            if account.reserve(request_id, tokens, now_ms=self._loop.now_ms()):
                return Reservation.RESERVED
        loan = yield tasks.spawn(self._borrow(team, account, tokens))
        if account.reserve(request_id, tokens, now_ms=self._loop.now_ms()):
            return Reservation.RESERVED
        is_final = is_exhausted and loan.all_answered
        return Reservation.EXHAUSTED if is_final else Reservation.UNREACHABLE

    def _borrow(
        self, team: str, account: account_lib.Account, tokens: int
    ) -> tasks.Task:
        missing = tokens - account.available_tokens
        loan = yield self._lenders.borrow(team, missing, account.borrow)
        self._log.event(
            "rights_borrowed",
            team=team,
            missing_tokens=missing,
            borrowed_tokens=loan.tokens,
            lenders_asked=loan.asked,
            lenders_answered=loan.answered,
            available_tokens=account.available_tokens,
        )
        return loan

    def _refill(self, team: str) -> None:
        account = self._account_by_team[team]
        now_ms = self._loop.now_ms()
        due_ms = self._drawn_at_ms_by_team.get(team, 0) + DRAW_PAUSE_MS
        if self._contact.is_lost or now_ms < due_ms or account.is_closed:
            return
        wanted = self._wanted_stock(team)
        if account.available_tokens >= wanted * REFILL_BELOW and wanted:
            return
        self._draw(team, 0)

    def _draw(self, team: str, needed_tokens: int) -> futures.Future:
        """Draws at least what is needed; one draw of a team at a time.

        Returns:
            A future: whether the ledger has nothing left to give.
        """
        running = self._draw_by_team.get(team)
        if running is None:
            running = tasks.spawn(self._draw_now(team, needed_tokens))
            if not running.done():
                self._draw_by_team[team] = running
                running.add_done_callback(
                    lambda _: self._draw_by_team.pop(team, None)
                )
        return running

    def _draw_now(self, team: str, needed_tokens: int) -> tasks.Task:
        self._drawn_at_ms_by_team[team] = self._loop.now_ms()
        item = self._item_by_team.pop(team, None)
        for _ in range(MAX_DRAW_ATTEMPTS):
            if item is None:
                item = yield self._store.read(ledger_lib.key_of(team))
                if not isinstance(item, port.Item):
                    self._note_failure(team, item)
                    return False
            ledger = self._decode(team, item)
            prepaid = self._prepaid_of(team)
            if ledger is None or prepaid is None:
                return False
            tokens = self._draw_size(
                team, prepaid - ledger.total_tokens, needed_tokens
            )
            if tokens <= 0:
                self._item_by_team[team] = item
                return True
            item = yield tasks.spawn(self._commit(team, item, ledger, tokens))
            if item is None:
                return False
        return False

    def _commit(
        self,
        team: str,
        item: port.Item,
        ledger: ledger_lib.Ledger,
        tokens: int,
    ) -> tasks.Task:
        """Writes a grant; returns the item to go on from after a conflict."""
        granted = ledger.granting(self._holder, tokens)
        value = ledger_lib.encode(granted)
        write = port.Write(item.key, value, expected_revision=item.revision)
        answer = yield self._store.commit([write], timeout_ms=DRAW_TIMEOUT_MS)
        if isinstance(answer, port.Committed):
            own = granted.granted_by_holder[self._holder]
            account = self._account_by_team[team]
            account.grant_total(own)
            self._item_by_team[team] = port.Item(
                item.key, value, answer.revision
            )
            self._log.event(
                "rights_drawn",
                team=team,
                tokens=tokens,
                granted_tokens=own,
                ledger_tokens=granted.total_tokens,
                revision=answer.revision,
                available_tokens=account.available_tokens,
            )
            return None
        if isinstance(answer, port.Conflicted) and answer.items:
            return answer.items[0]
        self._note_failure(team, answer)
        return None

    def _decode(self, team: str, item: port.Item) -> ledger_lib.Ledger | None:
        try:
            ledger = ledger_lib.decode(item.value)
        except ledger_lib.MalformedLedgerError as error:
            self._log.event("ledger_malformed", team=team, error=error)
            return None
        own = ledger.granted_by_holder.get(self._holder, 0)
        self._account_by_team[team].grant_total(own)
        return ledger

    def _draw_size(
        self, team: str, free_tokens: int, needed_tokens: int
    ) -> int:
        """Returns how much to draw, in tokens; 0 for nothing."""
        account = self._account_by_team[team]
        self._free_by_team[team] = free_tokens
        share = free_tokens / self._fleet_size()
        stock = min(
            self._wanted_stock(team) - account.available_tokens,
            round(share * MAX_DRAW_SHARE),
        )
        needed = max(0, needed_tokens)
        return max(0, min(free_tokens, max(needed, needed + stock)))

    def _wanted_stock(self, team: str) -> int:
        """Returns how much should be available, in tokens."""
        free_tokens = self._free_by_team.get(team, 0)
        return max(
            self._account_by_team[team].wanted_stock_tokens(
                self._loop.now_ms()
            ),
            round(free_tokens / self._fleet_size() * STOCK_SHARE),
        )

    def _close(self, team: str, account: account_lib.Account) -> tasks.Task:
        item = None
        for _ in range(MAX_DRAW_ATTEMPTS):
            if item is None:
                item = yield self._store.read(ledger_lib.key_of(team))
                if not isinstance(item, port.Item):
                    self._note_failure(team, item)
                    return
            ledger = self._decode(team, item)
            if ledger is None:
                return
            closed = ledger.closing(
                self._holder, used_tokens=account.used_tokens
            )
            write = port.Write(
                item.key,
                ledger_lib.encode(closed),
                expected_revision=item.revision,
            )
            answer = yield self._store.commit(
                [write], timeout_ms=DRAW_TIMEOUT_MS
            )
            if isinstance(answer, port.Conflicted) and answer.items:
                item = answer.items[0]
                continue
            if isinstance(answer, port.Committed):
                self._log.event(
                    "rights_returned",
                    team=team,
                    used_tokens=account.used_tokens,
                    granted_tokens=account.granted_tokens,
                )
            else:
                self._note_failure(team, answer)
            return

    def _note_failure(self, team: str, answer: port.Answer) -> None:
        self._log.event(
            "ledger_unreachable", team=team, answer=type(answer).__name__
        )

    def __repr__(self) -> str:
        return f"RightsKeeper(teams={len(self._account_by_team)})"


def _wait_for_all(pending: list[futures.Future]) -> tasks.Task:
    yield from pending
