"""Loans of rights between instances, while the store can't help.

A lender lowers its own account before its answer leaves. A loan whose answer
is lost is therefore stranded, and never spent twice.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import random

import msgspec

from bambooglade.discovery import peers as peers_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.rights import homes as homes_lib

LOAN_PATH = "/v1/loans"
REPAYMENT_PATH = "/v1/repayments"
LOAN_TIMEOUT_MS = 250
"""Limit on one request for a loan; peers answer within a few milliseconds."""

MAX_ASKED = 12
"""Peers that one request asks; more would flood a large fleet."""

SILENT_MS = 2_000
"""How long a peer that did not answer is not asked."""

BORROW_BOUND_MS = 300
"""Time after which no further peer is asked; a request that can't be served is
to be refused early, and peers that answer do so within a few milliseconds."""

_OK = 200


class LoanRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a peer for rights.

    Attributes:
        team: Name of the team.
        tokens: How many are wanted.
        borrower: The peer that asks.
    """

    team: str
    tokens: int
    borrower: peers_lib.Peer


class LoanResponse(msgspec.Struct, frozen=True, kw_only=True):
    """What the lender gave.

    Attributes:
        tokens: How many were given.
        available_tokens: What the lender has left.
        is_exhausted: Whether the ledger had nothing left when the lender saw it
            last, which is a second ago at the most for a home.
        may_draw: Whether the lender draws from the ledger for others, and the
            store answers it.
    """

    tokens: int
    available_tokens: int
    is_exhausted: bool = False
    may_draw: bool = False


class Repayment(msgspec.Struct, frozen=True, kw_only=True):
    """Gives rights back to a home; a lost one is stranded.

    Attributes:
        tokens_by_team: Rights of each team.
        sender: The peer that gives them.
    """

    tokens_by_team: dict[str, int]
    sender: peers_lib.Peer


class BorrowResult:
    """How a round of asking ended.

    Attributes:
        tokens: What was got in all.
        request_count: Number of peers that were asked.
        response_count: Number of peers that answered.
        includes_all_homes: Whether no home of the team was left out.
        is_exhausted: Whether the first who answered, a home, said so of the
            ledger.
        may_draw: Whether that home draws for others, so that its borrower need
            not look at the ledger.
    """

    __slots__ = (
        "includes_all_homes",
        "is_exhausted",
        "may_draw",
        "request_count",
        "response_count",
        "tokens",
    )

    def __init__(self) -> None:
        self.tokens = 0
        self.request_count = 0
        self.response_count = 0
        self.includes_all_homes = False
        self.is_exhausted = False
        self.may_draw = False

    @property
    def is_complete(self) -> bool:
        """Whether all homes were asked, and all who were asked answered."""
        return (
            self.includes_all_homes
            and self.response_count == self.request_count
        )


class LendingClient:
    """Asks peers for rights: the homes of the team, then those with most left.

    Args:
        loop: The event loop.
        client: Calls the peers.
        peers: Returns the peers that are known.
        homes: Knows which peers hold a team's stock.
        local_instance: This instance, as peers know it.
        random_source: Orders peers of which nothing is known.
    """

    __slots__ = (
        "_available_by_team_and_peer",
        "_client",
        "_homes",
        "_local_instance",
        "_loop",
        "_peers",
        "_random",
        "_silent_until_ms_by_peer",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        client: http_client.HttpClient,
        *,
        peers: Callable[[], list[peers_lib.Peer]],
        homes: homes_lib.HomeSelector,
        local_instance: peers_lib.Peer,
        random_source: random.Random,
    ) -> None:
        self._loop = loop
        self._client = client
        self._peers = peers
        self._homes = homes
        self._local_instance = local_instance
        self._random = random_source
        self._available_by_team_and_peer: dict[tuple[str, str], int] = {}
        self._silent_until_ms_by_peer: dict[str, int] = {}

    def borrow(
        self,
        team: str,
        tokens: int,
        received: Callable[[int], None],
        *,
        only_homes: bool = False,
    ) -> futures.Future:
        """Asks peers, one after the other, until enough was got.

        Args:
            team: Name of the team.
            tokens: How many rights are missing.
            received: Takes what each peer gives.
            only_homes: Whether only the homes of the team are asked.

        Returns:
            A future with a `BorrowResult`.
        """
        return tasks.spawn(self._borrow(team, tokens, received, only_homes))

    def repay(self, home: peers_lib.Peer, tokens_by_team: dict[str, int]):
        """Gives rights back; they were taken from the accounts before."""
        self._client.call(
            home.address,
            method="POST",
            target=REPAYMENT_PATH,
            body=msgspec.json.encode(
                Repayment(
                    tokens_by_team=tokens_by_team, sender=self._local_instance
                )
            ),
            timeout_ms=LOAN_TIMEOUT_MS,
        )

    def repayment_home(self, team: str) -> peers_lib.Peer | None:
        """Returns the home of the own zone; None if it is here or silent."""
        home = self._homes.of(team)[0]
        if home.name == self._local_instance.name or self._is_silent(home):
            return None
        return home

    def successor(self, team: str) -> peers_lib.Peer | None:
        """Returns who takes the rights of this instance when it stops."""
        for home in self._homes.of(team):
            if home.name != self._local_instance.name and not self._is_silent(
                home
            ):
                return home
        others = [peer for peer in self._peers() if not self._is_silent(peer)]
        return self._random.choice(others) if others else None

    def _borrow(
        self,
        team: str,
        tokens: int,
        received: Callable[[int], None],
        only_homes: bool,
    ) -> tasks.Task:
        loan = BorrowResult()
        ranked = self._ranked(team, only_homes)
        asked = ranked[:MAX_ASKED]
        loan.includes_all_homes = len(asked) >= self._homes.count() - 1
        due_ms = self._loop.now_ms() + BORROW_BOUND_MS
        for peer in asked:
            if self._is_silent(peer) or self._loop.now_ms() >= due_ms:
                loan.includes_all_homes = False
                continue
            loan.request_count += 1
            answer = yield self._ask(peer, team, tokens - loan.tokens)
            self._note(team, peer, answer, loan, received)
            if loan.tokens >= tokens:
                break
        return loan

    def _note(
        self,
        team: str,
        peer: peers_lib.Peer,
        answer: LoanResponse | None,
        loan: BorrowResult,
        received: Callable[[int], None],
    ) -> None:
        known = (team, peer.name)
        if answer is None:
            self._silent_until_ms_by_peer[peer.name] = (
                self._loop.now_ms() + SILENT_MS
            )
            return
        if not loan.response_count:
            loan.is_exhausted = answer.is_exhausted
            loan.may_draw = answer.may_draw
        loan.response_count += 1
        loan.tokens += answer.tokens
        self._available_by_team_and_peer[known] = answer.available_tokens
        if answer.tokens:
            received(answer.tokens)

    def _ranked(self, team: str, only_homes: bool) -> list[peers_lib.Peer]:
        homes = [
            home
            for home in self._homes.of(team)
            if home.name != self._local_instance.name
        ]
        if only_homes:
            return [home for home in homes if not self._is_silent(home)]
        names = {home.name for home in homes}
        others = [peer for peer in self._peers() if peer.name not in names]
        self._random.shuffle(others)
        known = self._available_by_team_and_peer
        for group in (homes, others):
            group.sort(key=lambda peer: -known.get((team, peer.name), 0))
        return sorted(homes + others, key=self._is_silent)

    def _is_silent(self, peer: peers_lib.Peer) -> bool:
        until_ms = self._silent_until_ms_by_peer.get(peer.name, 0)
        return until_ms > self._loop.now_ms()

    def _ask(
        self, peer: peers_lib.Peer, team: str, tokens: int
    ) -> futures.Future:
        response: futures.Future = futures.Future()
        request = LoanRequest(
            team=team, tokens=tokens, borrower=self._local_instance
        )

        def finish(done: futures.Future) -> None:
            tasks.complete(response, _decode(done.result()))

        self._client.call(
            peer.address,
            method="POST",
            target=LOAN_PATH,
            body=msgspec.json.encode(request),
            timeout_ms=LOAN_TIMEOUT_MS,
        ).add_done_callback(finish)
        return response

    def __repr__(self) -> str:
        return f"LendingClient(peers={len(self._peers())})"


def _decode(response: http_client.Response | None) -> LoanResponse | None:
    if response is None or response.status != _OK:
        return None
    try:
        return msgspec.json.decode(response.body, type=LoanResponse)
    except msgspec.DecodeError:
        return None
