"""Account of the rights of one instance to spend from one team's budget.

This module does no I/O.
"""

from __future__ import annotations

import math

DEMAND_HALF_LIFE_MS = 8_000
"""Half-life of the demand estimate; about the length of a store outage."""

MIN_DEMAND_WINDOW_MS = 2_000
"""Minimum observation period that the demand estimate assumes.

A shorter one would overestimate the rate after the first requests.
"""

IDLE_TIMEOUT_MS = 800
"""Time without a request after which unused rights count as idle.

Idle rights are repaid to a home, where more requests can use them.
"""

LARGEST_REQUEST_DECAY = 0.9
"""Factor by which each new request reduces the recorded largest request."""

AHEAD_HORIZON_MS = 500
"""Period for whose demand a busy instance borrows ahead.

What it holds for that long is lost if it is killed.
"""

MIN_AHEAD_REQUESTS = 2
"""Expected requests in that period from which an instance borrows ahead.

Fewer would leave rights idle at many instances.
"""

MAX_AHEAD_FRACTION = 0.1
"""Largest part of what a lender has left that it lends ahead."""

STOCK_HORIZON_MS = 9_000
"""Period for which `outage_demand_tokens` estimates the demand.

Outages of the store last 8 to 9 s.
"""


class Account:
    """Rights of an instance to spend from one budget, and their use.

        used = spent + reserved + lent - borrowed
        available = granted - returned - used

    `available` never drops below 0. All amounts are in tokens.

    Attributes:
        granted_tokens: Total granted by the ledger, as far as confirmed by
            reads and commits.
        borrowed_tokens: Total received from peers.
        lent_tokens: Total transferred to peers.
        returned_tokens: Total returned to the ledger, including returns that
            are not written yet.
        reserved_tokens: Sum of the upper bounds of active requests.
        spent_tokens: Tokens used by completed requests.
        is_closed: Whether the account is closed; a closed account reserves
            nothing.

    Examples:
        >>> account = Account()
        >>> account.record_granted_total(100)
        >>> [account.reserve(r, 60, now_ms=0) for r in ("r1", "r2")]
        [True, False]
        >>> account.settle("r1", 10)
        >>> account.available_tokens
        90
    """

    __slots__ = (
        "_demand_tokens",
        "_demand_updated_ms",
        "_first_demand_ms",
        "_largest_request_tokens",
        "_reserved_by_request",
        "borrowed_tokens",
        "granted_tokens",
        "is_closed",
        "lent_tokens",
        "reserved_tokens",
        "returned_tokens",
        "spent_tokens",
    )

    def __init__(self) -> None:
        self.granted_tokens = 0
        self.borrowed_tokens = 0
        self.lent_tokens = 0
        self.returned_tokens = 0
        self.reserved_tokens = 0
        self.spent_tokens = 0
        self.is_closed = False
        self._reserved_by_request: dict[str, int] = {}
        self._demand_tokens = 0.0
        self._demand_updated_ms = 0
        self._first_demand_ms: int | None = None
        self._largest_request_tokens = 0.0

    @property
    def available_tokens(self) -> int:
        """Rights that can be reserved, lent or returned; 0 once closed."""
        if self.is_closed:
            return 0
        return self.granted_tokens - self.returned_tokens - self.used_tokens

    @property
    def used_tokens(self) -> int:
        """Rights in use, with active requests counted at their upper bounds."""
        return (
            self.spent_tokens
            + self.reserved_tokens
            + self.lent_tokens
            - self.borrowed_tokens
        )

    @property
    def largest_request_tokens(self) -> float:
        """Upper bound of the largest recent request."""
        return self._largest_request_tokens

    def record_granted_total(self, tokens: int) -> None:
        """Records the total granted by the ledger.

        A lower total than the recorded one is out of date and is ignored.
        """
        self.granted_tokens = max(self.granted_tokens, tokens)

    def reserve(self, request_id: str, tokens: int, *, now_ms: int) -> bool:
        """Reserves the upper bound of a request.

        Returns:
            Whether the available rights covered it.
        """
        if tokens > self.available_tokens:
            return False
        self._reserved_by_request[request_id] = tokens
        self.reserved_tokens += tokens
        self._record_demand(tokens, now_ms)
        return True

    def settle(self, request_id: str, spent_tokens: int) -> None:
        """Settles a request; idempotent.

        Args:
            request_id: The request.
            spent_tokens: Tokens that the request used; 0 if it did not run.
        """
        reserved = self._reserved_by_request.pop(request_id, None)
        if reserved is not None:
            self.reserved_tokens -= reserved
            self.spent_tokens += min(spent_tokens, reserved)

    def lend(
        self, requested_tokens: int, *, now_ms: int, counts_as_demand: bool
    ) -> int:
        """Transfers rights to a peer and returns the number of tokens.

        Lends the requested amount, or all available rights if they are fewer:
        a request that is waiting at the peer takes precedence over requests
        that may arrive here.

        Args:
            requested_tokens: Tokens that the peer requested.
            now_ms: Current time.
            counts_as_demand: Whether the loan counts as demand on the stock of
                this instance.
        """
        lent = max(0, min(requested_tokens, self.available_tokens))
        self.lent_tokens += lent
        if lent and counts_as_demand:
            self._record_demand(lent, now_ms)
        return lent

    def lend_ahead(
        self, requested_tokens: int, *, now_ms: int, counts_as_demand: bool
    ) -> int:
        """Transfers rights for requests that a peer expects soon.

        A lender that has little left keeps it for requests that wait.

        Args:
            requested_tokens: Tokens that the peer expects to need.
            now_ms: Current time.
            counts_as_demand: As for `lend`.

        Returns:
            The number of tokens.
        """
        most = math.floor(MAX_AHEAD_FRACTION * max(0, self.available_tokens))
        lent = max(0, min(requested_tokens, most))
        self.lent_tokens += lent
        if lent and counts_as_demand:
            largest_tokens = self._largest_request_tokens
            self._record_demand(lent, now_ms)
            self._largest_request_tokens = largest_tokens
        return lent

    def ahead_tokens(self, *, now_ms: int) -> int:
        """Returns the demand that is worth borrowing ahead.

        Returns:
            0 if few requests are expected.
        """
        expected = self.expected_demand_tokens(AHEAD_HORIZON_MS, now_ms=now_ms)
        is_busy = (
            expected >= MIN_AHEAD_REQUESTS * self._largest_request_tokens > 0
        )
        return round(expected) if is_busy else 0

    def idle_tokens(
        self, *, now_ms: int, timeout_ms: int = IDLE_TIMEOUT_MS
    ) -> int:
        """Returns the available tokens if there was no recent demand, else 0.

        Args:
            now_ms: Current time.
            timeout_ms: Time without demand after which rights are idle.
        """
        if now_ms - self._demand_updated_ms < timeout_ms:
            return 0
        return max(0, self.available_tokens)

    def repay(self, tokens: int) -> None:
        """Deducts rights repaid to another instance; records no demand."""
        self.lent_tokens += tokens

    def return_tokens(self, tokens: int) -> None:
        """Deducts rights that the next write returns to the ledger."""
        self.returned_tokens += max(0, min(tokens, self.available_tokens))

    def borrow(self, tokens: int) -> None:
        """Adds rights received from a peer."""
        self.borrowed_tokens += tokens

    def close(self) -> None:
        """Closes the account; no rights are available from now on."""
        self.is_closed = True

    def outage_demand_tokens(self, *, now_ms: int, home_count: int) -> int:
        """Returns the expected demand on this instance during a store outage.

        Large requests are rare in a single zone, so each home covers only its
        share of the largest one. The homes lend to each other when it arrives.

        Args:
            now_ms: Current time.
            home_count: Number of homes of the team.
        """
        demand = self.expected_demand_tokens(STOCK_HORIZON_MS, now_ms=now_ms)
        return round(demand + self._largest_request_tokens / home_count)

    def expected_demand_tokens(self, horizon_ms: int, *, now_ms: int) -> float:
        """Returns the expected demand in tokens over the next `horizon_ms`.

        It counts the upper bounds of requests, and goes to 0 without any.
        """
        if self._first_demand_ms is None:
            return 0.0
        observed_ms = max(MIN_DEMAND_WINDOW_MS, now_ms - self._first_demand_ms)
        weight = 1.0 - math.exp2(-observed_ms / DEMAND_HALF_LIFE_MS)
        tokens_per_ms = (
            self._decayed_demand(now_ms) * math.log(2) / DEMAND_HALF_LIFE_MS
        )
        return tokens_per_ms / weight * horizon_ms

    def _record_demand(self, tokens: int, now_ms: int) -> None:
        if self._first_demand_ms is None:
            self._first_demand_ms = now_ms
        self._demand_tokens = self._decayed_demand(now_ms) + tokens
        self._demand_updated_ms = now_ms
        self._largest_request_tokens = max(
            self._largest_request_tokens * LARGEST_REQUEST_DECAY, tokens
        )

    def _decayed_demand(self, now_ms: int) -> float:
        age_ms = max(0, now_ms - self._demand_updated_ms)
        return self._demand_tokens * math.exp2(-age_ms / DEMAND_HALF_LIFE_MS)

    def __repr__(self) -> str:
        return (
            f"Account(granted={self.granted_tokens}, used={self.used_tokens})"
        )
