"""How much of a budget should lie in the zones before they are cut off.

Measured for budgets whose demand is hot in one zone, skewed towards one, and
small against the bound of one request.
"""

from __future__ import annotations

from collections.abc import Iterator
import itertools

import msgspec

from benchmarks import budget_policy
from benchmarks import cases
from benchmarks import workloads

SHARES = (0.25, 0.5, 0.75, 1.0)
DURATION_MS = 60_000
CASE_NAMES = ("service_down", "zone_cut_off")
"""Cases in which more rights in the zones help; in `zone_lost` they hurt."""


class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """How budgets and demand lie to each other; the demand always fits."""

    name: str
    home_zone_share: float
    requests_per_s: float
    demand_factor: float = 1.3


SHAPES = (
    Shape(name="hot", home_zone_share=0.95, requests_per_s=10.0),
    Shape(name="skewed", home_zone_share=0.55, requests_per_s=10.0),
    Shape(name="small", home_zone_share=0.55, requests_per_s=1.5),
)


def lines() -> Iterator[str]:
    """Yields one line for each deployment, case, shape and share."""
    chosen = [case for case in cases.CASES if case.name in CASE_NAMES]
    chosen.append(cases.ZONE_LOST)
    for deployment, case, shape, share in itertools.product(
        workloads.DEPLOYMENTS, chosen, SHAPES, SHARES
    ):
        outcome = budget_policy.run(
            budget_policy.Setting(
                deployment=deployment,
                case=case,
                policy="escrow",
                duration_ms=DURATION_MS,
                requests_per_s=shape.requests_per_s,
                cutoff_reserve_share=share,
                home_zone_share=shape.home_zone_share,
                demand_factors=(shape.demand_factor,)
                * len(workloads.TEAM_SHARES),
            )
        )
        yield (
            f"experiment=cutoff_reserve deployment={deployment.name} "
            f"case={case.name} policy=escrow budgets={shape.name} "
            f"cutoff_reserve_share={share} {outcome.text()}"
        )
