"""Share of a team's demand that one home serves; without I/O.

Homes of a team hold stocks for an outage of the store. Equal parts of what is
left leave a home short whose zone sends nearly all requests of the team: it
runs out within seconds while the parts of the other homes stay unused. Each
ledger shows how fast the whole fleet draws, so a home can tell its own part of
the demand without asking the others.
"""

from __future__ import annotations

import math

HALF_LIFE_MS = 8_000
"""Half-life of the estimated growth; that of an account's demand as well."""

MIN_WINDOW_MS = 2_000
"""Least time over which growth is averaged; single draws are far apart."""

UNEVEN_DEMAND = 1.5
"""Multiple of an equal part from which demand counts as uneven.

Below it, differences are mostly chance, and equal parts hold.
"""


class LedgerGrowth:
    """Rate at which the total of a ledger grows, from occasional reads.

    Examples:
        >>> growth = LedgerGrowth()
        >>> growth.record(1_000, now_ms=0)
        >>> growth.record(3_000, now_ms=4_000)
        >>> round(growth.expected_tokens(9_000, now_ms=4_000))
        4545
    """

    __slots__ = ("_first_ms", "_grown_tokens", "_total_tokens", "_updated_ms")

    def __init__(self) -> None:
        self._first_ms: int | None = None
        self._grown_tokens = 0.0
        self._total_tokens = 0
        self._updated_ms = 0

    def record(self, total_tokens: int, *, now_ms: int) -> None:
        """Records the total of all grants less returns in the ledger."""
        if self._first_ms is None:
            self._first_ms = now_ms
        else:
            decay = self._decay(now_ms)
            grown = max(0, total_tokens - self._total_tokens)
            self._grown_tokens = self._grown_tokens * decay + grown * (
                (1 + decay) / 2
            )
        self._total_tokens = total_tokens
        self._updated_ms = now_ms

    def _decay(self, now_ms: int) -> float:
        return math.exp2(-max(0, now_ms - self._updated_ms) / HALF_LIFE_MS)

    def expected_tokens(self, horizon_ms: int, *, now_ms: int) -> float:
        """Returns by how much the total probably grows in a time.

        Args:
            horizon_ms: The time.
            now_ms: The current time.

        Returns:
            0 before the second record.
        """
        if self._first_ms is None:
            return 0.0
        observed_ms = max(MIN_WINDOW_MS, now_ms - self._first_ms)
        mean_window_ms = (
            HALF_LIFE_MS
            / math.log(2)
            * (1.0 - math.exp2(-observed_ms / HALF_LIFE_MS))
        )
        grown_tokens = self._grown_tokens * self._decay(now_ms)
        return grown_tokens / mean_window_ms * horizon_ms

    def __repr__(self) -> str:
        return f"LedgerGrowth(total_tokens={self._total_tokens})"


def home_share(
    *, own_tokens: float, fleet_tokens: float, home_count: int
) -> float:
    """Returns the part of a budget that a home may count on.

    Args:
        own_tokens: Expected demand on this home.
        fleet_tokens: Expected demand of the fleet over the same time.
        home_count: Number of homes of the team.

    Returns:
        An equal part, or the home's part of the demand if that is clearly
        larger.

    Examples:
        >>> home_share(own_tokens=90, fleet_tokens=100, home_count=4)
        0.9
        >>> home_share(own_tokens=30, fleet_tokens=100, home_count=4)
        0.25
        >>> home_share(own_tokens=0, fleet_tokens=0, home_count=4)
        0.25
    """
    equal = 1 / home_count
    if not fleet_tokens:
        return equal
    share = min(1.0, own_tokens / fleet_tokens)
    return share if share >= UNEVEN_DEMAND * equal else equal
