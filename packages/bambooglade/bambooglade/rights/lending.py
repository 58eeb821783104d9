"""Loans of rights between instances, for when a draw from the store fails.

A lender deducts a loan from its account before it sends the response. If the
response is lost, the rights are stranded but never spent twice.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import random

import msgspec

from bambooglade.core import json_documents
from bambooglade.discovery import peers as peers_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.rights import homes as homes_lib

LOAN_PATH = "/v1/loans"
REPAYMENT_PATH = "/v1/repayments"
LOAN_TIMEOUT_MS = 250
"""Timeout of one loan request; peers respond within a few milliseconds."""

MAX_LENDERS_PER_REQUEST = 12
"""Maximum number of peers queried per request.

More would flood a large fleet with loan requests.
"""

UNRESPONSIVE_BACKOFF_MS = 2_000
"""Time for which a peer that did not respond is not queried again."""

BORROW_TIMEOUT_MS = 300
"""Time after which no further peer is queried.

A request that cannot be served should be refused early. Peers that respond do
so within a few milliseconds.
"""

_OK = 200


class LoanRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to a peer for a loan of rights.

    Attributes:
        team: Name of the team.
        tokens: Number of tokens requested.
        borrower: The requesting instance.
        ahead_tokens: Further tokens for requests that the borrower expects
            soon; 0 from an instance of an earlier build.
    """

    team: str
    tokens: int
    borrower: peers_lib.Peer
    ahead_tokens: int = 0


class LoanResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response of a lender.

    Attributes:
        tokens: Number of tokens lent.
        available_tokens: Tokens still available at the lender.
        is_exhausted: Whether the ledger had no free rights when the lender last
            read it; for a home, at most 1.5 s ago.
        may_draw: Whether the lender draws from the ledger for its peers and can
            reach the store.
    """

    tokens: int
    available_tokens: int
    is_exhausted: bool = False
    may_draw: bool = False


class Repayment(msgspec.Struct, frozen=True, kw_only=True):
    """Repayment of rights to a home.

    If the message is lost, the rights are stranded.

    Attributes:
        tokens_by_team: Repaid tokens by team.
        sender: The repaying instance.
    """

    tokens_by_team: dict[str, int]
    sender: peers_lib.Peer


class BorrowResult:
    """Result of a series of loan requests.

    Attributes:
        tokens: Total number of tokens borrowed.
        request_count: Number of peers queried.
        response_count: Number of peers that responded.
        includes_all_homes: Whether all homes of the team were queried.
        is_exhausted: Whether the first peer that responded, usually a home,
            reported the ledger as exhausted.
        may_draw: Whether that peer draws from the ledger for others, so that
            the borrower need not read the ledger itself.
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
        """Whether all homes were queried and all queried peers responded."""
        return (
            self.includes_all_homes
            and self.response_count == self.request_count
        )


class LendingClient:
    """Borrows rights from peers and repays them.

    Homes of the team are queried first, then other peers, each group in
    descending order of the last known available tokens.

    Args:
        loop: The event loop.
        client: HTTP client for calls to peers.
        peers: Returns the known peers.
        homes: Selects the homes of a team.
        local_instance: Entry of this instance, sent to peers.
        random_source: Orders peers whose available tokens are not known.
    """

    __slots__ = (
        "_available_by_team_and_peer",
        "_backoff_until_ms_by_peer",
        "_client",
        "_homes",
        "_local_instance",
        "_loop",
        "_peers",
        "_random",
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
        self._backoff_until_ms_by_peer: dict[str, int] = {}

    def borrow(
        self,
        team: str,
        tokens: int,
        on_received: Callable[[int], None],
        *,
        only_homes: bool = False,
        ahead_tokens: int = 0,
    ) -> futures.Future:
        """Queries peers one after the other until enough tokens are borrowed.

        Args:
            team: Name of the team.
            tokens: Number of tokens to borrow.
            on_received: Called with the number of tokens of each loan.
            only_homes: Whether only the homes of the team are queried.
            ahead_tokens: Further tokens that a lender with plenty may add.

        Returns:
            A future with a `BorrowResult`.
        """
        return tasks.spawn(
            self._borrow(team, tokens, on_received, only_homes, ahead_tokens)
        )

    def repay(self, peer: peers_lib.Peer, tokens_by_team: dict[str, int]):
        """Sends rights to a peer.

        Args:
            peer: The receiving peer.
            tokens_by_team: Rights that are already deducted from the accounts
                of this instance.
        """
        self._client.call(
            peer.address,
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
        """Returns the home that idle rights of a team are repaid to.

        This is the home of the local zone; None if it is this instance or does
        not respond.
        """
        home = self._homes.of(team)[0]
        if home.name == self._local_instance.name or self._is_unresponsive(
            home
        ):
            return None
        return home

    def successor(self, team: str) -> peers_lib.Peer | None:
        """Returns the peer that receives this instance's rights on shutdown.

        Homes of the team are preferred. None if no peer is responsive.
        """
        for home in self._homes.of(team):
            if (
                home.name != self._local_instance.name
                and not self._is_unresponsive(home)
            ):
                return home
        others = [
            peer for peer in self._peers() if not self._is_unresponsive(peer)
        ]
        return self._random.choice(others) if others else None

    def _borrow(
        self,
        team: str,
        tokens: int,
        on_received: Callable[[int], None],
        only_homes: bool,
        ahead_tokens: int,
    ) -> tasks.Task:
        result = BorrowResult()
        ranked = self._ranked_peers(team, only_homes)
        lenders = ranked[:MAX_LENDERS_PER_REQUEST]
        result.includes_all_homes = len(lenders) >= self._homes.count() - 1
        deadline_ms = self._loop.now_ms() + BORROW_TIMEOUT_MS
        for peer in lenders:
            if (
                self._is_unresponsive(peer)
                or self._loop.now_ms() >= deadline_ms
            ):
                result.includes_all_homes = False
                continue
            result.request_count += 1
            response = yield self._request_loan(
                peer, team, tokens - result.tokens, ahead_tokens
            )
            self._record_response(team, peer, response, result, on_received)
            if result.tokens >= tokens:
                break
        return result

    def _record_response(
        self,
        team: str,
        peer: peers_lib.Peer,
        response: LoanResponse | None,
        result: BorrowResult,
        on_received: Callable[[int], None],
    ) -> None:
        cache_key = (team, peer.name)
        if response is None:
            self._backoff_until_ms_by_peer[peer.name] = (
                self._loop.now_ms() + UNRESPONSIVE_BACKOFF_MS
            )
            return
        if not result.response_count:
            result.is_exhausted = response.is_exhausted
            result.may_draw = response.may_draw
        result.response_count += 1
        result.tokens += response.tokens
        self._available_by_team_and_peer[cache_key] = response.available_tokens
        if response.tokens:
            on_received(response.tokens)

    def _ranked_peers(
        self, team: str, only_homes: bool
    ) -> list[peers_lib.Peer]:
        homes = [
            home
            for home in self._homes.of(team)
            if home.name != self._local_instance.name
        ]
        if only_homes:
            return [home for home in homes if not self._is_unresponsive(home)]
        names = {home.name for home in homes}
        others = [peer for peer in self._peers() if peer.name not in names]
        self._random.shuffle(others)
        available = self._available_by_team_and_peer
        for group in (homes, others):
            group.sort(key=lambda peer: -available.get((team, peer.name), 0))
        return sorted(homes + others, key=self._is_unresponsive)

    def _is_unresponsive(self, peer: peers_lib.Peer) -> bool:
        until_ms = self._backoff_until_ms_by_peer.get(peer.name, 0)
        return until_ms > self._loop.now_ms()

    def _request_loan(
        self, peer: peers_lib.Peer, team: str, tokens: int, ahead_tokens: int
    ) -> futures.Future:
        completion: futures.Future = futures.Future()
        request = LoanRequest(
            team=team,
            tokens=tokens,
            borrower=self._local_instance,
            ahead_tokens=ahead_tokens,
        )

        def finish(done: futures.Future) -> None:
            tasks.complete(completion, _decode_response(done.result()))

        self._client.call(
            peer.address,
            method="POST",
            target=LOAN_PATH,
            body=msgspec.json.encode(request),
            timeout_ms=LOAN_TIMEOUT_MS,
        ).add_done_callback(finish)
        return completion

    def __repr__(self) -> str:
        return f"LendingClient(peers={len(self._peers())})"


def _decode_response(
    response: http_client.Response | None,
) -> LoanResponse | None:
    if response is None or response.status != _OK:
        return None
    try:
        return json_documents.decode(response.body, LoanResponse)
    except msgspec.DecodeError:
        return None
