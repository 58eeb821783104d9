"""Reserves rights for requests: from the own account, the store, or peers.

A request waits for the store or for peers only if the own account does not
cover it.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import enum

from bambooglade.core import event_log
from bambooglade.discovery import peers as peers_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.rights import account as account_lib
from bambooglade.rights import homes as homes_lib
from bambooglade.rights import ledger_client as bookkeeper_lib
from bambooglade.rights import lending
from bambooglade.store import contact as contact_lib
from bambooglade.store import port

LEND_BOUND_MS = 120
"""Longest wait of a borrower for a draw; its own time-out has to come later.

A loan that arrives too late is stranded.
"""


class ReservationOutcome(enum.Enum):
    """How a reservation ended."""

    RESERVED = "reserved"
    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"


class RightsManager:
    """Accounts of all teams at one instance.

    Args:
        loop: The event loop.
        store: Where the ledgers lie.
        lenders: Asks the peers.
        instance_address: `instance@address` of this instance.
        incarnation: This process.
        prepaid_of: Returns what a team prepaid, in tokens; None for no limit.
        homes: Knows which instance holds a team's stock.
        contact: Tells whether the store answers.
        log: Told of draws and loans.
    """

    __slots__ = (
        "_account_by_team",
        "_bookkeeper",
        "_contact",
        "_homes",
        "_lenders",
        "_log",
        "_loop",
        "_prepaid_of",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        store: port.TransactionalStore,
        lenders: lending.LendingClient,
        *,
        instance_address: str,
        incarnation: str,
        prepaid_of: Callable[[str], int | None],
        homes: homes_lib.HomeSelector,
        contact: contact_lib.Contact,
        log: event_log.EventLog,
    ) -> None:
        self._loop = loop
        self._lenders = lenders
        self._homes = homes
        self._contact = contact
        self._prepaid_of = prepaid_of
        self._log = log
        self._account_by_team: dict[str, account_lib.Account] = (
            collections.defaultdict(account_lib.Account)
        )
        self._bookkeeper = bookkeeper_lib.LedgerClient(
            loop,
            store,
            instance_address=instance_address,
            incarnation=incarnation,
            accounts=self._account_by_team,
            prepaid_of=prepaid_of,
            homes=homes,
            contact=contact,
            log=log,
        )

    def account(self, team: str) -> account_lib.Account:
        """Returns the account of a team."""
        return self._account_by_team[team]

    def is_exhausted(self, team: str) -> bool:
        """Returns whether the ledger had nothing left when last seen."""
        return self._bookkeeper.is_exhausted(team)

    def can_draw_for_peers(self, team: str) -> bool:
        """Returns whether rights are drawn for peers, and the store answers.

        Only homes do: a request that can't be served asks many instances, and
        each of them would look at the ledger.
        """
        return (
            not self._homes.are_all
            and self._homes.is_local(team)
            and not self._contact.is_lost
        )

    def available_tokens(self, team: str) -> int:
        """Returns what may be reserved at once."""
        return self._account_by_team[team].available_tokens

    def reserve(
        self, team: str, request_id: str, tokens: int
    ) -> futures.Future | ReservationOutcome:
        """Reserves the upper bound of a request.

        Returns:
            `RESERVED` at once if the account covers it, `EXHAUSTED` if not even
            the whole budget would, else a future with how it ended.
        """
        if self._try_reserve(team, request_id, tokens):
            return ReservationOutcome.RESERVED
        prepaid_tokens = self._prepaid_of(team)
        if prepaid_tokens is not None and tokens > prepaid_tokens:
            return ReservationOutcome.EXHAUSTED
        return tasks.spawn(self._reserve_later(team, request_id, tokens))

    def settle(self, team: str, request_id: str, spent_tokens: int) -> None:
        """Ends a request that was reserved."""
        self._account_by_team[team].settle(request_id, spent_tokens)

    def lend(self, team: str, wanted_tokens: int) -> futures.Future:
        """Gives rights to a peer; draws them first if they are missing.

        Returns:
            A future with how many were given.
        """
        return tasks.spawn(self._lend(team, wanted_tokens))

    def _lend(self, team: str, wanted_tokens: int) -> tasks.Task:
        if self._prepaid_of(team) is None:
            return 0
        account = self._account_by_team[team]
        is_short = account.available_tokens < wanted_tokens
        if (
            is_short
            and self.can_draw_for_peers(team)
            and self._bookkeeper.is_worth_asking(team)
        ):
            drawing = self._bookkeeper.request(team, wanted_tokens)
            yield tasks.within(self._loop, drawing, LEND_BOUND_MS)
        return account.lend(
            wanted_tokens,
            now_ms=self._loop.now_ms(),
            counts_as_demand=not self._homes.are_all,
        )

    def refresh_teams(self, teams: list[str]) -> None:
        """Holds stocks for teams that are new or whose budget changed."""
        for team in teams:
            self._bookkeeper.watch_team(team)
        if teams:
            self._bookkeeper.wake()

    def tick(self) -> None:
        """Keeps the stocks filled, and gives idle rights back to the homes."""
        self._bookkeeper.tick()
        self._repay_idle()

    def apply_repayment(self, tokens_by_team: dict[str, int]) -> None:
        """Takes rights that a peer gives back."""
        for team, tokens in tokens_by_team.items():
            self._account_by_team[team].borrow(tokens)

    def _repay_idle(self) -> None:
        now_ms = self._loop.now_ms()
        self._repay(
            (
                team,
                account.idle_tokens(now_ms=now_ms),
                self._lenders.repayment_home(team),
            )
            for team, account in self._account_by_team.items()
        )

    def _repay(
        self, shares: Iterable[tuple[str, int, peers_lib.Peer | None]]
    ) -> None:
        """Sends rights to peers, one message each.

        Args:
            shares: Team, tokens, and who gets them; None for nobody.
        """
        tokens_by_peer: dict[peers_lib.Peer, dict[str, int]] = {}
        for team, tokens, peer in shares:
            if peer is not None and tokens > 0:
                self._account_by_team[team].repay(tokens)
                tokens_by_peer.setdefault(peer, {})[team] = tokens
        for peer, tokens_by_team in tokens_by_peer.items():
            self._lenders.repay(peer, tokens_by_team)
            self._log.event(
                "rights_repaid",
                peer=peer.name,
                teams=len(tokens_by_team),
                tokens=sum(tokens_by_team.values()),
            )

    def return_unused(self) -> futures.Future:
        """Closes all accounts and returns what was not used.

        It goes to the ledgers, or to peers while the store is away.
        """
        if self._contact.is_lost:
            self._repay(
                (team, account.available_tokens, self._lenders.successor(team))
                for team, account in self._account_by_team.items()
            )
        return self._bookkeeper.close()

    def _try_reserve(self, team: str, request_id: str, tokens: int) -> bool:
        return self._account_by_team[team].reserve(
            request_id,
            tokens,
            now_ms=self._loop.now_ms(),
        )

    def _reserve_later(
        self, team: str, request_id: str, tokens: int
    ) -> tasks.Task:
        is_exhausted = may_home_draw = False
        if not self._homes.is_local(team):
            loan = yield from self._borrow(team, tokens, only_homes=True)
            if self._try_reserve(team, request_id, tokens):
                return ReservationOutcome.RESERVED
            is_exhausted, may_home_draw = loan.is_exhausted, loan.may_draw
        if not may_home_draw and self._bookkeeper.is_worth_asking(team):
            yield self._bookkeeper.request(team, tokens)
            if self._try_reserve(team, request_id, tokens):
                return ReservationOutcome.RESERVED
        loan = yield from self._borrow(team, tokens)
        if self._try_reserve(team, request_id, tokens):
            return ReservationOutcome.RESERVED
        is_exhausted = is_exhausted or self._bookkeeper.is_exhausted(team)
        is_final = is_exhausted and loan.is_complete
        return (
            ReservationOutcome.EXHAUSTED
            if is_final
            else ReservationOutcome.UNREACHABLE
        )

    def _borrow(
        self, team: str, tokens: int, *, only_homes: bool = False
    ) -> tasks.Task:
        account = self._account_by_team[team]
        missing = tokens - self.available_tokens(team)
        loan = yield self._lenders.borrow(
            team, missing, account.borrow, only_homes=only_homes
        )
        self._log.event(
            "rights_borrowed",
            team=team,
            missing_tokens=missing,
            borrowed_tokens=loan.tokens,
            lenders_asked=loan.request_count,
            lenders_answered=loan.response_count,
            available_tokens=self.available_tokens(team),
        )
        return loan

    def __repr__(self) -> str:
        return f"RightsManager(teams={len(self._account_by_team)})"
