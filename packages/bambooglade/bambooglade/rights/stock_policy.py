"""How much of a team's budget a home holds unused; pure.

Answers two loads that pull apart. In an outage of the store, which lasts 8 to
9 s, only what is held can be used. When all instances are killed at once, what
is held is lost. A budget that is used up soon loses more by the second: what an
outage refuses can still be used after it.
"""

from __future__ import annotations

MAX_STOCK_SHARE = 0.375
"""Most of an equal share of what is left that a home holds, if it is plenty."""

SCARCE_SHARE = 0.17
"""The same once what is left covers half of the scarce horizon or less."""

MIN_SHARE = 0.2
"""Least of an equal share of what is left that is held without demand."""

SCARCE_OUTAGES = 20 / 9
"""Outages that what is left has to cover to be plenty: 20 s against 9 s.

Below it the budget is used up soon in any case.
"""

REFILL_BELOW = 0.8
"""Part of the wanted stock below which it is filled up."""

SURPLUS_ABOVE = 1.5
"""Part of the wanted stock above which the rest goes back to the ledger."""


class Stock:
    """The stock of one team at one home, and how large it should be.

    The own stock counts as left, so that what is wanted stays the same while
    rights go to the ledger and come from it.

    Args:
        available_tokens: What is held unused.
        free_tokens: What the ledger has left.
        outage_tokens: What covers an outage, by the recent demand.
        largest_tokens: Upper bound of the largest of the last requests.
        home_count: Number of homes that hold stocks of the team.

    Attributes:
        wanted_tokens: How much should be held.

    Examples:
        >>> stock = Stock(available_tokens=100, free_tokens=3_600,
        ...     outage_tokens=300, largest_tokens=20, home_count=4)
        >>> stock.wanted_tokens, stock.is_low
        (300, True)
    """

    __slots__ = (
        "_available_tokens",
        "_free_tokens",
        "_largest_tokens",
        "wanted_tokens",
    )

    def __init__(
        self,
        *,
        available_tokens: int,
        free_tokens: int,
        outage_tokens: float,
        largest_tokens: float,
        home_count: int,
    ) -> None:
        self._available_tokens = available_tokens
        self._free_tokens = free_tokens
        self._largest_tokens = largest_tokens
        share = free_tokens / home_count + available_tokens
        at_most = share * holdable_part(share, outage_tokens)
        at_least = min(at_most, share * MIN_SHARE)
        self.wanted_tokens = round(max(at_least, min(outage_tokens, at_most)))

    @property
    def is_low(self) -> bool:
        """Whether it is to be filled up."""
        return self._available_tokens < self.wanted_tokens * REFILL_BELOW

    @property
    def surplus_tokens(self) -> int:
        """What is to go back to the ledger."""
        return self.surplus_beyond(0)

    def surplus_beyond(self, needed_tokens: int) -> int:
        """Returns what is to go back if a request waits for so many tokens.

        It stays if the ledger would not have enough for one request then: it
        would come back with the next one, a write each way.
        """
        wanted = max(needed_tokens, self.wanted_tokens)
        surplus = self._available_tokens - wanted
        is_large = self._available_tokens > wanted * SURPLUS_ABOVE
        is_useful = self._free_tokens + surplus >= self._largest_tokens
        return surplus if is_large and is_useful else 0

    def __repr__(self) -> str:
        return (
            f"Stock(available={self._available_tokens},"
            f" wanted={self.wanted_tokens})"
        )


def holdable_part(share_tokens: float, outage_tokens: float) -> float:
    """Returns which part of a share of the budget may be held.

    Args:
        share_tokens: The share of what is left.
        outage_tokens: What covers an outage; 0 without demand.

    Examples:
        >>> [round(holdable_part(share, 9.0), 2) for share in (9, 15, 20)]
        [0.17, 0.27, 0.38]
    """
    if not outage_tokens:
        return MAX_STOCK_SHARE
    plentiful_tokens = outage_tokens * SCARCE_OUTAGES
    plenty = min(1.0, max(0.0, 2 * share_tokens / plentiful_tokens - 1))
    return SCARCE_SHARE + plenty * (MAX_STOCK_SHARE - SCARCE_SHARE)
