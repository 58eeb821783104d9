"""How many rights a zone asks for, keeps and opens.

More rights in a zone let it serve longer when it is cut off; fewer leave less
stranded when another zone needs them. The row of the team sets the share.
"""

from __future__ import annotations

import dataclasses

REFILL_DEMAND_S = 10
"""Demand for which rights are asked at a refill, in seconds."""

LOW_WATER_S = 3
"""A refill is asked for when the rights left cover less, in seconds."""

HEADROOM_S = 2
"""Demand for which rights are opened at once, in seconds."""

MIN_HEADROOM_BOUNDS = 2
"""A tranche covers at least this many of the latest bounds."""

MAX_HEADROOM_SHARE = 0.05
"""A tranche is at most this share of the zone's unused rights."""

EQUAL_SHARE = 0.3
"""Part of the reserve that is divided equally among the zones."""

_SMOOTHING = 0.3
_WINDOW_MS = 1_000


class DemandMeter:
    """Estimates the recent demand of one account in one zone.

    Examples:
        >>> meter = DemandMeter()
        >>> meter.add(500)
        >>> meter.tick(now_ms=1_000)
        >>> meter.tokens_per_s
        150.0
    """

    __slots__ = (
        "_window_start_ms",
        "_window_tokens",
        "last_bound",
        "tokens_per_s",
    )

    def __init__(self) -> None:
        self._window_start_ms = 0
        self._window_tokens = 0
        self.last_bound = 0
        self.tokens_per_s = 0.0

    def add(self, bound_tokens: int) -> None:
        """Counts a request's upper bound, in tokens."""
        self._window_tokens += bound_tokens
        self.last_bound = bound_tokens

    def tick(self, now_ms: int) -> None:
        """Ends the window when it is over."""
        if now_ms - self._window_start_ms < _WINDOW_MS:
            return
        self.tokens_per_s += _SMOOTHING * (
            self._window_tokens - self.tokens_per_s
        )
        self._window_tokens = 0
        self._window_start_ms = now_ms

    def __repr__(self) -> str:
        return f"DemandMeter(tokens_per_s={self.tokens_per_s:.1f})"


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RefillInputs:
    """What the refill of one account in one zone goes by, in tokens.

    Attributes:
        waiting: Bounds of the requests that wait here.
        unused: Rights in the zone that nothing uses.
        smallest_shortfall: What the smallest waiting request lacks.
        free: Rights that are granted to no zone.
        remaining: Prepaid, less what all zones reported as spent.
        tokens_per_s: Recent demand of the zone.
        reserve_share: Share of the remaining budget that is to lie in the
            zones in advance, from 0 to 1.
        zone_count: Number of zones; 1 or more.
        demand_share: Share of the zone in what was spent so far, from 0 to 1;
            None before anything was.
    """

    waiting: int
    unused: int
    free: int
    remaining: int
    tokens_per_s: float
    reserve_share: float
    zone_count: int
    smallest_shortfall: int = 0
    demand_share: float | None = None


def desired_unused(inputs: RefillInputs) -> int:
    """Returns how many unused rights the zone is to have after a refill."""
    reserve = inputs.reserve_share * inputs.remaining
    reserve *= _zone_weight(inputs)
    return round(max(inputs.tokens_per_s * REFILL_DEMAND_S, reserve))


def _zone_weight(inputs: RefillInputs) -> float:
    """Returns the zone's part of the reserve, from 0 to 1.

    It follows what the zones spent so far, and leaves each zone something:
    demand may move.
    """
    equal = 1 / inputs.zone_count
    if inputs.demand_share is None:
        return equal
    return EQUAL_SHARE * equal + (1 - EQUAL_SHARE) * inputs.demand_share


def is_low(inputs: RefillInputs) -> bool:
    """Returns whether the zone should ask for a refill."""
    if inputs.free <= 0:
        return False
    if inputs.waiting > inputs.unused:
        return True
    low_mark = max(
        inputs.tokens_per_s * LOW_WATER_S, desired_unused(inputs) / 2
    )
    return inputs.unused - inputs.waiting < low_mark


def grant(inputs: RefillInputs) -> int:
    """Returns how many rights to move to the zone now.

    What the waiting requests lack comes first. What is asked beyond it leaves
    the other zones their part of the free rights. Rights that do not suffice
    for any waiting request stay free, where every zone can add to them.

    Examples:
        >>> grant(RefillInputs(waiting=30, unused=0, free=100, remaining=100,
        ...     tokens_per_s=0, reserve_share=0.4, zone_count=4))
        40
    """
    if not is_low(inputs):
        return 0
    if inputs.smallest_shortfall > inputs.free:
        return 0
    shortfall = max(0, inputs.waiting - inputs.unused)
    needed = min(shortfall, inputs.free)
    left = inputs.free - needed
    spare = max(0, inputs.unused - inputs.waiting)
    extra = max(0, desired_unused(inputs) - spare)
    return needed + min(extra, _fair_share(left, inputs.zone_count))


def headroom(tokens_per_s: float, last_bound: int, unused: int) -> int:
    """Returns how many rights to open beyond those that are asked for.

    What is open when a primary dies is held, so that a small budget opens
    little and waits for its backup more often.

    Examples:
        >>> headroom(tokens_per_s=500.0, last_bound=100, unused=100_000)
        1000
        >>> headroom(tokens_per_s=500.0, last_bound=100, unused=2_000)
        100
    """
    wanted = max(tokens_per_s * HEADROOM_S, last_bound * MIN_HEADROOM_BOUNDS)
    return int(min(wanted, max(0, unused) * MAX_HEADROOM_SHARE))


def surplus(
    *, unused: int, waiting: int, wanted: int, has_precedence: bool
) -> int:
    """Returns how many rights a zone gives up when another one lacks some.

    A request that waits elsewhere comes before requests that may come here.
    Where both zones lack rights, all go to the one whose smallest request
    lacks less, so that two zones never wait for each other's part.

    Args:
        unused: Rights in the zone that nothing uses.
        waiting: Bounds of the requests that wait here.
        wanted: What the other zone lacks.
        has_precedence: Whether the other zone lacks less than this one.

    Examples:
        >>> surplus(unused=100, waiting=10, wanted=200, has_precedence=False)
        90
        >>> surplus(unused=100, waiting=150, wanted=60, has_precedence=True)
        60
        >>> surplus(unused=100, waiting=150, wanted=60, has_precedence=False)
        0
    """
    if waiting <= unused:
        return min(wanted, unused - waiting)
    return min(wanted, unused) if has_precedence else 0


def _fair_share(left: int, zone_count: int) -> int:
    return -(-left // max(1, min(zone_count, 2)))
