"""Size of the stock of unused rights that a home holds for a team.

Two failures set opposite limits. During an outage of the store, which lasts 8
to 9 s, requests can use only rights that are already held. When all instances
are killed at once, the rights that they hold are lost. For a budget that will
soon be used up, the second failure costs more, because rights that an outage
keeps from use can still be used afterwards. This module does no I/O.
"""

from __future__ import annotations

MAX_STOCK_SHARE = 0.375
"""Maximum stock as a fraction of a home's share, while the budget is plentiful.

A home's share is an equal part of the free rights plus its own stock.
"""

MAX_SCARCE_STOCK_SHARE = 0.17
"""Maximum stock as a fraction of a home's share, while the budget is scarce.

Applies once the share covers at most half of `PLENTIFUL_OUTAGES`.
"""

MIN_STOCK_SHARE = 0.2
"""Minimum stock as a fraction of a home's share, held even without demand."""

PLENTIFUL_OUTAGES = 20 / 9
"""Number of outages whose demand a plentiful share covers.

This is 20 s of demand, at 9 s per outage. A smaller budget is used up soon in
any case.
"""

REFILL_THRESHOLD = 0.86
"""Fraction of the desired stock below which the stock is refilled.

A tick of 0.5 s and a refill interval of 1.5 s later, at least 5.7 s of the 9 s
of demand are left for an outage.
"""

JOINT_REFILL_THRESHOLD = 0.97
"""Fraction of the desired stock below which the stock is refilled by a write
that is made for another team anyway.

Otherwise the stocks of a home would be refilled by one write each.
"""

SURPLUS_THRESHOLD = 1.5
"""Multiple of the desired stock above which the surplus is returned."""


class Stock:
    """Stock of one team at one home, and its desired size.

    The home's own stock counts towards its share, so that the desired size does
    not change when the home draws rights or returns them.

    Args:
        available_tokens: Unused rights that the home holds.
        free_tokens: Rights that the ledger can still grant.
        outage_demand_tokens: Expected demand during an outage.
        largest_request_tokens: Upper bound of the largest recent request.
        home_count: Number of homes of the team.
        home_share: Part of the rights that this home may count on; None for an
            equal part.

    Attributes:
        desired_tokens: Desired size of the stock.

    Examples:
        >>> stock = Stock(available_tokens=100, free_tokens=3_600,
        ...     outage_demand_tokens=300, largest_request_tokens=20,
        ...     home_count=4)
        >>> stock.desired_tokens, stock.is_low
        (300, True)
    """

    __slots__ = (
        "_available_tokens",
        "_free_tokens",
        "_largest_request_tokens",
        "desired_tokens",
    )

    def __init__(
        self,
        *,
        available_tokens: int,
        free_tokens: int,
        outage_demand_tokens: float,
        largest_request_tokens: float,
        home_count: int,
        home_share: float | None = None,
    ) -> None:
        self._available_tokens = available_tokens
        self._free_tokens = free_tokens
        self._largest_request_tokens = largest_request_tokens
        part = 1 / home_count if home_share is None else home_share
        share = free_tokens * part + available_tokens
        max_tokens = share * max_stock_share(share, outage_demand_tokens)
        min_tokens = min(max_tokens, share * MIN_STOCK_SHARE)
        self.desired_tokens = round(
            max(min_tokens, min(outage_demand_tokens, max_tokens))
        )

    @property
    def is_low(self) -> bool:
        """Whether the stock should be refilled."""
        return self._available_tokens < self.desired_tokens * REFILL_THRESHOLD

    @property
    def can_be_refilled(self) -> bool:
        """Whether a write that is made anyway should refill the stock."""
        threshold = self.desired_tokens * JOINT_REFILL_THRESHOLD
        return self._available_tokens < threshold

    @property
    def surplus_tokens(self) -> int:
        """Rights to return to the ledger."""
        return self.surplus_beyond(0)

    def surplus_beyond(self, needed_tokens: int) -> int:
        """Returns the rights to return while a request needs `needed_tokens`.

        Nothing is returned if the ledger would still lack enough rights for the
        largest request: that request would draw them again, at the cost of one
        write in each direction.
        """
        required = max(needed_tokens, self.desired_tokens)
        surplus = self._available_tokens - required
        is_above_threshold = (
            self._available_tokens > required * SURPLUS_THRESHOLD
        )
        covers_largest_request = (
            self._free_tokens + surplus >= self._largest_request_tokens
        )
        return surplus if is_above_threshold and covers_largest_request else 0

    def __repr__(self) -> str:
        return (
            f"Stock(available={self._available_tokens},"
            f" desired={self.desired_tokens})"
        )


def max_stock_share(share_tokens: float, outage_demand_tokens: float) -> float:
    """Returns the maximum stock as a fraction of a home's share.

    Args:
        share_tokens: The home's share of the rights that are left.
        outage_demand_tokens: Expected demand during an outage; 0 without
            demand.

    Examples:
        >>> [round(max_stock_share(share, 9.0), 2) for share in (9, 15, 20)]
        [0.17, 0.27, 0.38]
    """
    if not outage_demand_tokens:
        return MAX_STOCK_SHARE
    plentiful_tokens = outage_demand_tokens * PLENTIFUL_OUTAGES
    abundance = min(1.0, max(0.0, 2 * share_tokens / plentiful_tokens - 1))
    return MAX_SCARCE_STOCK_SHARE + abundance * (
        MAX_STOCK_SHARE - MAX_SCARCE_STOCK_SHARE
    )
