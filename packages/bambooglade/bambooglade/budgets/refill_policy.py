"""Policy for the rights that a zone requests, keeps and allows to be used.

A zone with more rights can serve longer when it is partitioned from the
platform's service. With fewer rights, less is stranded when another zone needs
them. The row of the team sets the share that is kept in the zones.
"""

from __future__ import annotations

import dataclasses

REFILL_DEMAND_S = 10
"""Duration of the demand that a refill covers, in seconds."""

LOW_WATER_S = 3
"""A refill is requested if the unused rights cover less time, in seconds."""

HEADROOM_S = 2
"""Duration of the demand that the headroom of the limit covers, in seconds."""

MIN_HEADROOM_BOUNDS = 2
"""The headroom covers at least this many times the latest bound."""

MAX_HEADROOM_SHARE = 0.05
"""The headroom is at most this share of the zone's unused rights."""

EQUAL_SHARE = 0.3
"""Share of the reserve that is divided equally among the zones."""

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
        """Adds the upper bound of a request, in tokens."""
        self._window_tokens += bound_tokens
        self.last_bound = bound_tokens

    def tick(self, now_ms: int) -> None:
        """Updates the estimate when the window has elapsed."""
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
    """Inputs of the refill policy for one account in one zone, in tokens.

    Attributes:
        waiting: Sum of the bounds of the requests waiting in the zone.
        unused: Unused rights of the zone.
        smallest_shortfall: Shortfall of the smallest waiting request.
        free: Rights that are not granted to any zone.
        remaining: Prepaid tokens minus those that all zones reported as spent.
        tokens_per_s: Recent demand of the zone.
        reserve_share: Share of the remaining budget to keep in the zones in
            advance, from 0 to 1.
        zone_count: Number of zones; 1 or more.
        demand_share: The zone's share of the tokens spent so far, from 0 to 1;
            None if none were spent.
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
    """Returns the number of unused rights to have after a refill."""
    reserve = inputs.reserve_share * inputs.remaining
    reserve *= _zone_weight(inputs)
    return round(max(inputs.tokens_per_s * REFILL_DEMAND_S, reserve))


def _zone_weight(inputs: RefillInputs) -> float:
    """Returns the zone's share of the reserve, from 0 to 1.

    The share follows the past spending of the zones. Each zone keeps a minimum,
    since demand may move between zones.
    """
    equal = 1 / inputs.zone_count
    if inputs.demand_share is None:
        return equal
    return EQUAL_SHARE * equal + (1 - EQUAL_SHARE) * inputs.demand_share


def is_low(inputs: RefillInputs) -> bool:
    """Returns whether the zone should request a refill."""
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

    The shortfall of the waiting requests is granted first. Additional rights
    are limited so that the other zones can obtain their share of the free
    rights. Rights that suffice for none of the waiting requests stay free, so
    that every zone can combine them with its own.

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
    """Returns how far the usage limit exceeds the rights requested now.

    Unused rights below the limit are held when a primary fails. A small budget
    therefore has little headroom and waits for its backup more often.

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
    """Returns how many rights a zone returns for another zone's shortfall.

    A request that waits in the other zone takes precedence over requests that
    may arrive in this zone. If both zones have a shortfall, all rights go to
    the zone whose smallest request has the smaller one, so that two zones never
    wait for each other's rights.

    Args:
        unused: Unused rights of this zone.
        waiting: Sum of the bounds of the requests waiting in this zone.
        wanted: Shortfall of the other zone.
        has_precedence: Whether the other zone has the smaller shortfall.

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
