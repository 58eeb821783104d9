"""Reserves rights for requests from the local account, the store, or peers.

A request waits for the store or for peers only if the local account does not
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
from bambooglade.rights import ledger_client as ledger_client_lib
from bambooglade.rights import ledger_copies
from bambooglade.rights import lending
from bambooglade.store import dependency_monitor
from bambooglade.store import store_api

LEND_TIMEOUT_MS = 120
"""Time that a lender waits for a draw before it responds.

It has to be shorter than the borrower's `lending.LOAN_TIMEOUT_MS`: the rights
of a response that arrives after that timeout are stranded.
"""


class ReservationOutcome(enum.Enum):
    """Outcome of a reservation.

    Attributes:
        RESERVED: The rights are reserved.
        EXHAUSTED: The budget does not cover the request.
        UNREACHABLE: Not enough rights were found, but some sources did not
            respond, so that the budget may still cover the request.
    """

    RESERVED = "reserved"
    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"


class RightsManager:
    """Manages the rights of one instance for all teams.

    Args:
        loop: The event loop.
        store: Store that holds the ledgers.
        lending_client: Borrows rights from peers.
        instance_address: `instance@address` of this instance.
        incarnation: Id of this process.
        prepaid_of: Returns the prepaid tokens of a team; None for no limit.
        homes: Selects the homes of a team.
        contact: Tracks whether the store is reachable.
        copy_ledgers: Called with the ledgers of each write, to keep copies of
            them at peers.
        log: Receives an event for each draw, loan and repayment.
    """

    __slots__ = (
        "_account_by_team",
        "_contact",
        "_homes",
        "_ledger_client",
        "_lending_client",
        "_log",
        "_loop",
        "_prepaid_of",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        store: store_api.TransactionalStore,
        lending_client: lending.LendingClient,
        *,
        instance_address: str,
        incarnation: str,
        prepaid_of: Callable[[str], int | None],
        homes: homes_lib.HomeSelector,
        contact: dependency_monitor.DependencyMonitor,
        copy_ledgers: Callable[[list[ledger_copies.LedgerCopy]], None],
        log: event_log.EventLog,
    ) -> None:
        self._loop = loop
        self._lending_client = lending_client
        self._homes = homes
        self._contact = contact
        self._prepaid_of = prepaid_of
        self._log = log
        self._account_by_team: dict[str, account_lib.Account] = (
            collections.defaultdict(account_lib.Account)
        )
        self._ledger_client = ledger_client_lib.LedgerClient(
            loop,
            store,
            instance_address=instance_address,
            incarnation=incarnation,
            accounts=self._account_by_team,
            prepaid_of=prepaid_of,
            homes=homes,
            contact=contact,
            copy_ledgers=copy_ledgers,
            log=log,
        )

    def account(self, team: str) -> account_lib.Account:
        """Returns the account of a team."""
        return self._account_by_team[team]

    def is_exhausted(self, team: str) -> bool:
        """Returns whether the ledger had no free rights when last read."""
        return self._ledger_client.is_exhausted(team)

    def can_draw_for_peers(self, team: str) -> bool:
        """Returns whether this instance draws rights for loans to its peers.

        Only homes do, and only while the store is reachable. A request that
        cannot be served queries many instances, and each of them would
        otherwise read the ledger.
        """
        return (
            not self._homes.is_every_instance_home
            and self._homes.is_local(team)
            and not self._contact.is_unavailable
        )

    def available_tokens(self, team: str) -> int:
        """Returns the tokens that can be reserved without a draw or a loan."""
        return self._account_by_team[team].available_tokens

    def reserve(
        self, team: str, request_id: str, tokens: int
    ) -> futures.Future | ReservationOutcome:
        """Reserves the upper bound of a request.

        Returns:
            `RESERVED` if the account covers the request, `EXHAUSTED` if the
            whole budget would not cover it, else a future with the
            `ReservationOutcome`.
        """
        if self._try_reserve(team, request_id, tokens):
            return ReservationOutcome.RESERVED
        prepaid_tokens = self._prepaid_of(team)
        if prepaid_tokens is not None and tokens > prepaid_tokens:
            return ReservationOutcome.EXHAUSTED
        return tasks.spawn(self._acquire_and_reserve(team, request_id, tokens))

    def settle(self, team: str, request_id: str, spent_tokens: int) -> None:
        """Settles a request with a reservation; idempotent.

        Args:
            team: Name of the team.
            request_id: The request.
            spent_tokens: Tokens that the request used; 0 if it did not run.
        """
        self._account_by_team[team].settle(request_id, spent_tokens)

    def lend(
        self, team: str, requested_tokens: int, *, ahead_tokens: int = 0
    ) -> futures.Future:
        """Lends rights to a peer, after a draw if the account has too few.

        Args:
            team: Name of the team.
            requested_tokens: Tokens that a request waits for.
            ahead_tokens: Further tokens, if there is plenty.

        Returns:
            A future with the number of tokens lent.
        """
        return tasks.spawn(self._lend(team, requested_tokens, ahead_tokens))

    def _lend(
        self, team: str, requested_tokens: int, ahead_tokens: int
    ) -> tasks.Task:
        if self._prepaid_of(team) is None:
            return 0
        account = self._account_by_team[team]
        is_insufficient = account.available_tokens < requested_tokens
        if (
            is_insufficient
            and self.can_draw_for_peers(team)
            and self._ledger_client.should_request(team)
        ):
            draw = self._ledger_client.request_draw(team, requested_tokens)
            yield tasks.with_timeout(self._loop, draw, LEND_TIMEOUT_MS)
        now_ms = self._loop.now_ms()
        counts_as_demand = not self._homes.is_every_instance_home
        lent = account.lend(
            requested_tokens, now_ms=now_ms, counts_as_demand=counts_as_demand
        )
        if lent < requested_tokens:
            return lent
        return lent + account.lend_ahead(
            ahead_tokens, now_ms=now_ms, counts_as_demand=counts_as_demand
        )

    def refresh_teams(self, teams: list[str]) -> None:
        """Schedules draws for teams that are new or whose budget changed."""
        for team in teams:
            self._ledger_client.refresh_team(team)
        if teams:
            self._ledger_client.schedule_write()

    def tick(self) -> None:
        """Adjusts the stocks and repays idle rights to the homes."""
        self._ledger_client.tick()
        self._repay_idle_tokens()

    def apply_repayment(self, tokens_by_team: dict[str, int]) -> None:
        """Adds rights that a peer has repaid."""
        for team, tokens in tokens_by_team.items():
            self._account_by_team[team].borrow(tokens)

    def record_ledger_copies(
        self, copies: Iterable[ledger_copies.LedgerCopy]
    ) -> None:
        """Records ledgers that a peer has written, for a later recovery."""
        self._ledger_client.record_copies(copies)

    def _repay_idle_tokens(self) -> None:
        now_ms = self._loop.now_ms()
        self._send_repayments(
            (
                team,
                account.idle_tokens(now_ms=now_ms),
                self._lending_client.repayment_home(team),
            )
            for team, account in self._account_by_team.items()
        )

    def _send_repayments(
        self, repayments: Iterable[tuple[str, int, peers_lib.Peer | None]]
    ) -> None:
        """Sends rights to peers in one message per peer.

        Args:
            repayments: Team, tokens, and receiving peer; entries without a
                peer are skipped.
        """
        tokens_by_peer: dict[peers_lib.Peer, dict[str, int]] = {}
        for team, tokens, peer in repayments:
            if peer is not None and tokens > 0:
                self._account_by_team[team].repay(tokens)
                tokens_by_peer.setdefault(peer, {})[team] = tokens
        for peer, tokens_by_team in tokens_by_peer.items():
            self._lending_client.repay(peer, tokens_by_team)
            self._log.event(
                "rights_repaid",
                peer=peer.name,
                teams=len(tokens_by_team),
                tokens=sum(tokens_by_team.values()),
            )

    def return_unused(self) -> futures.Future:
        """Closes all accounts and returns the unused rights.

        They are returned to the ledgers, or to peers while the store is
        unreachable.

        Returns:
            A future that completes when the ledger writes have ended.
        """
        if self._contact.is_unavailable:
            self._send_repayments(
                (
                    team,
                    account.available_tokens,
                    self._lending_client.successor(team),
                )
                for team, account in self._account_by_team.items()
            )
        return self._ledger_client.close()

    def _try_reserve(self, team: str, request_id: str, tokens: int) -> bool:
        return self._account_by_team[team].reserve(
            request_id,
            tokens,
            now_ms=self._loop.now_ms(),
        )

    def _acquire_and_reserve(
        self, team: str, request_id: str, tokens: int
    ) -> tasks.Task:
        is_exhausted = can_home_draw = False
        if not self._homes.is_local(team):
            result = yield from self._borrow(team, tokens, only_homes=True)
            if self._try_reserve(team, request_id, tokens):
                return ReservationOutcome.RESERVED
            is_exhausted, can_home_draw = (
                result.is_exhausted,
                result.may_draw,
            )
        if not can_home_draw and self._ledger_client.should_request(team):
            yield self._ledger_client.request_draw(team, tokens)
            if self._try_reserve(team, request_id, tokens):
                return ReservationOutcome.RESERVED
        result = yield from self._borrow(team, tokens)
        if self._try_reserve(team, request_id, tokens):
            return ReservationOutcome.RESERVED
        is_exhausted = is_exhausted or self._ledger_client.is_exhausted(team)
        is_final = is_exhausted and result.is_complete
        return (
            ReservationOutcome.EXHAUSTED
            if is_final
            else ReservationOutcome.UNREACHABLE
        )

    def _borrow(
        self, team: str, tokens: int, *, only_homes: bool = False
    ) -> tasks.Task:
        account = self._account_by_team[team]
        missing_tokens = tokens - self.available_tokens(team)
        result = yield self._lending_client.borrow(
            team,
            missing_tokens,
            account.borrow,
            only_homes=only_homes,
            ahead_tokens=account.ahead_tokens(now_ms=self._loop.now_ms()),
        )
        self._log.event(
            "rights_borrowed",
            team=team,
            missing_tokens=missing_tokens,
            borrowed_tokens=result.tokens,
            lenders_asked=result.request_count,
            lenders_answered=result.response_count,
            available_tokens=self.available_tokens(team),
        )
        return result

    def __repr__(self) -> str:
        return f"RightsManager(teams={len(self._account_by_team)})"
