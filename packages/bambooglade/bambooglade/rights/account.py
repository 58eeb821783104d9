"""Rights of one instance to spend of one team's budget; pure."""

from __future__ import annotations

import math

DEMAND_HALF_LIFE_MS = 8_000
"""Time after which demand counts half; about as long as an outage."""

MIN_KNOWN_MS = 2_000
"""Least time that demand is taken to have been observed for."""

IDLE_AFTER_MS = 800
"""Time without a request after which rights are of more use at a home."""

LARGEST_FADING = 0.9
"""Part that is kept of the largest request at each new one."""

STOCK_HORIZON_MS = 9_000
"""Demand that the stock should cover; outages of the store last 8 to 9 s."""


class Account:
    """What an instance may spend of a budget, and what it spent.

        used = spent + reserved + lent - borrowed
        available = granted - returned - used

    `available` never falls below 0. All amounts are tokens.

    Attributes:
        granted_tokens: Granted by the ledger, as far as that is confirmed.
        borrowed_tokens: Got from peers.
        lent_tokens: Given to peers.
        returned_tokens: Given back to the ledger, or on the way there.
        reserved_tokens: Upper bounds of requests that have not ended.
        spent_tokens: Used by requests that have ended.
        is_closed: Whether the rest was given back; nothing may be reserved.

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
        "_demand_since_ms",
        "_demand_tokens",
        "_demand_updated_ms",
        "_largest_tokens",
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
        self._demand_since_ms: int | None = None
        self._largest_tokens = 0.0

    @property
    def available_tokens(self) -> int:
        """Rights that are neither used nor reserved."""
        if self.is_closed:
            return 0
        return self.granted_tokens - self.returned_tokens - self.used_tokens

    @property
    def used_tokens(self) -> int:
        """What must not be handed out again, open requests at their most."""
        return (
            self.spent_tokens
            + self.reserved_tokens
            + self.lent_tokens
            - self.borrowed_tokens
        )

    @property
    def largest_tokens(self) -> float:
        """Upper bound of the largest of the last requests."""
        return self._largest_tokens

    def record_granted_total(self, tokens: int) -> None:
        """Notes the total that the ledger grants; it only grows here."""
        self.granted_tokens = max(self.granted_tokens, tokens)

    def reserve(self, request_id: str, tokens: int, *, now_ms: int) -> bool:
        """Reserves the upper bound of a request; False if it does not fit."""
        if tokens > self.available_tokens:
            return False
        self._reserved_by_request[request_id] = tokens
        self.reserved_tokens += tokens
        self._note_demand(tokens, now_ms)
        return True

    def settle(self, request_id: str, spent_tokens: int) -> None:
        """Ends a request; doing so again has no effect.

        Args:
            request_id: The request.
            spent_tokens: What it used; 0 if it did not run.
        """
        reserved = self._reserved_by_request.pop(request_id, None)
        if reserved is not None:
            self.reserved_tokens -= reserved
            self.spent_tokens += min(spent_tokens, reserved)

    def lend(
        self, wanted_tokens: int, *, now_ms: int, counts_as_demand: bool
    ) -> int:
        """Gives rights to a peer; returns how many.

        All that is wanted is given if it is there, else all that is there:
        a request that waits goes before requests that may come.

        Args:
            wanted_tokens: What the peer asks for.
            now_ms: The time.
            counts_as_demand: Whether the stock here is to cover the peer's
                demand.
        """
        lent = max(0, min(wanted_tokens, self.available_tokens))
        self.lent_tokens += lent
        if lent and counts_as_demand:
            self._note_demand(lent, now_ms)
        return lent

    def idle_tokens(self, *, now_ms: int) -> int:
        """Returns what is available and was not asked for lately.

        Args:
            now_ms: The time.
        """
        if now_ms - self._demand_updated_ms < IDLE_AFTER_MS:
            return 0
        return max(0, self.available_tokens)

    def repay(self, tokens: int) -> None:
        """Gives rights back to where they came from; no demand."""
        self.lent_tokens += tokens

    def return_tokens(self, tokens: int) -> None:
        """Takes rights out of use that the next write returns to the ledger."""
        self.returned_tokens += max(0, min(tokens, self.available_tokens))

    def borrow(self, tokens: int) -> None:
        """Takes rights that a peer has given."""
        self.borrowed_tokens += tokens

    def close(self) -> None:
        """Ends the use of these rights."""
        self.is_closed = True

    def desired_stock_tokens(self, *, now_ms: int, home_count: int) -> int:
        """Returns what should be available, by the recent demand.

        Large requests are rare in one zone; the fleet keeps one in all, and
        the homes lend.

        Args:
            now_ms: The time.
            home_count: Number of instances that hold stocks of the team.
        """
        demand = self._demand_within(STOCK_HORIZON_MS, now_ms)
        return round(demand + self._largest_tokens / home_count)

    def _demand_within(self, horizon_ms: int, now_ms: int) -> float:
        """Returns the expected demand of the time to come, in tokens."""
        if self._demand_since_ms is None:
            return 0.0
        known_ms = max(MIN_KNOWN_MS, now_ms - self._demand_since_ms)
        weight = 1.0 - math.exp2(-known_ms / DEMAND_HALF_LIFE_MS)
        per_ms = self._faded_demand(now_ms) * math.log(2) / DEMAND_HALF_LIFE_MS
        return per_ms / weight * horizon_ms

    def _note_demand(self, tokens: int, now_ms: int) -> None:
        if self._demand_since_ms is None:
            self._demand_since_ms = now_ms
        self._demand_tokens = self._faded_demand(now_ms) + tokens
        self._demand_updated_ms = now_ms
        self._largest_tokens = max(
            self._largest_tokens * LARGEST_FADING, tokens
        )

    def _faded_demand(self, now_ms: int) -> float:
        age_ms = max(0, now_ms - self._demand_updated_ms)
        return self._demand_tokens * math.exp2(-age_ms / DEMAND_HALF_LIFE_MS)

    def __repr__(self) -> str:
        return (
            f"Account(granted={self.granted_tokens}, used={self.used_tokens})"
        )
