"""Arrivals of the two deployments: who asks where, when and for how much."""

from __future__ import annotations

from collections.abc import Iterator
import itertools
import random

import msgspec

from bambooglade.core import identifiers

TEAM_SHARES = (0.30, 0.22, 0.14, 0.08, 0.07, 0.06, 0.05, 0.04, 0.02, 0.02)
"""Share of each team in the requests: ten teams, a few of them large."""

HOME_ZONE_SHARE = 0.55
"""Share of a team's requests that arrive in its home zone."""

DEMAND_FACTORS = (1.4, 0.5, 1.4, 1.4, 0.6, 1.4, 1.4, 1.4, 1.4, 1.4)
"""Prepaid amount of each team, as a multiple of what it asks for in all."""

SMALLEST_BUDGET_BOUNDS = 4
"""A budget covers at least this many of the largest bounds."""

_UUID_VERSION_BITS = 0x7 << 76
_UUID_VARIANT_BITS = 0x2 << 62
_UUID_TIME_SHIFT = 80
_UUID_RANDOM_MASK = ~((0xF << 76) | (0x3 << 62))


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of request; amounts in tokens, durations in milliseconds."""

    service: str
    request_kind: str
    share: float
    bound_tokens: int
    spent_tokens: tuple[int, int]
    duration_ms: tuple[int, int]
    repeatable: bool = True
    patience_ms: int = 30_000


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """Zones, instances and kinds of request of one user.

    Attributes:
        instances_by_zone: Number of entry instances of each zone.
        cross_zone_delay_ms: One-way delay; the virtual clock counts whole
            milliseconds, so half a millisecond is rounded up.
    """

    name: str
    instances_by_zone: dict[identifiers.AvailabilityZone, int]
    cross_zone_delay_ms: int
    kinds: tuple[Kind, ...]

    @property
    def zones(self) -> tuple[identifiers.AvailabilityZone, ...]:
        """The availability zones."""
        return tuple(self.instances_by_zone)


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a caller.

    Attributes:
        at_ms: When it arrives, since the start.
        duration_ms: How long its run takes.
        patience_ms: How long the caller waits.
    """

    key: identifiers.RequestKey
    at_ms: int
    zone: identifiers.AvailabilityZone
    team_id: identifiers.TeamId
    kind: Kind
    spent_tokens: int
    duration_ms: int

    @property
    def budget_id(self) -> identifiers.BudgetId:
        """The account of the team."""
        return identifiers.BudgetId(f"team/{self.team_id}")


QUETZAL = Deployment(
    name="quetzal",
    instances_by_zone={
        identifiers.AvailabilityZone("zona-antigua"): 3,
        identifiers.AvailabilityZone("zona-xela"): 2,
        identifiers.AvailabilityZone("zona-capital"): 2,
        identifiers.AvailabilityZone("zona-coban"): 2,
    },
    cross_zone_delay_ms=1,
    kinds=(
        Kind(
            service="bambooglade-jury",
            request_kind="review",
            share=0.5,
            bound_tokens=1_500,
            spent_tokens=(400, 1_400),
            duration_ms=(2_000, 8_000),
        ),
        Kind(
            service="portal-apps",
            request_kind="status",
            share=0.4,
            bound_tokens=5,
            spent_tokens=(5, 5),
            duration_ms=(20, 60),
            patience_ms=5_000,
        ),
        Kind(
            service="portal-apps",
            request_kind="fee",
            share=0.1,
            bound_tokens=20,
            spent_tokens=(20, 20),
            duration_ms=(50, 150),
            repeatable=False,
            patience_ms=10_000,
        ),
    ),
)

THISTLEBYTE = Deployment(
    name="thistlebyte",
    instances_by_zone={
        identifiers.AvailabilityZone("scot-a"): 2,
        identifiers.AvailabilityZone("scot-b"): 2,
        identifiers.AvailabilityZone("scot-c"): 2,
        identifiers.AvailabilityZone("scot-d"): 2,
    },
    cross_zone_delay_ms=1,
    kinds=(
        Kind(
            service="pantry-llm",
            request_kind="plan",
            share=0.3,
            bound_tokens=2_000,
            spent_tokens=(800, 1_900),
            duration_ms=(3_000, 8_000),
        ),
        Kind(
            service="pantry-llm",
            request_kind="question",
            share=0.3,
            bound_tokens=300,
            spent_tokens=(50, 250),
            duration_ms=(500, 1_500),
            patience_ms=10_000,
        ),
        Kind(
            service="till-api",
            request_kind="deduct",
            share=0.4,
            bound_tokens=10,
            spent_tokens=(10, 10),
            duration_ms=(20, 100),
            repeatable=False,
            patience_ms=10_000,
        ),
    ),
)

DEPLOYMENTS = (QUETZAL, THISTLEBYTE)


def arrivals(
    deployment: Deployment,
    *,
    seed: int,
    duration_ms: int,
    requests_per_s: float,
    epoch_ms: int,
    names_arbiter: bool = True,
    home_zone_share: float = HOME_ZONE_SHARE,
) -> list[Arrival]:
    """Returns the arrivals of one run, in the order of their times.

    Args:
        deployment: Zones and kinds of request.
        seed: The same seed gives the same arrivals to every policy.
        duration_ms: How long requests arrive.
        requests_per_s: Mean rate of a Poisson process.
        epoch_ms: Start of the run, for the time in the keys.
        names_arbiter: Whether the keys of calls that may not be repeated name
            the caller's zone as their arbiter, as callers are advised to do.
        home_zone_share: Share of a team's requests in its home zone.
    """
    rng = random.Random(seed)
    return [
        _arrival(
            deployment,
            rng,
            at_ms,
            epoch_ms,
            names_arbiter=names_arbiter,
            home_zone_share=home_zone_share,
        )
        for at_ms in _times(rng, duration_ms, requests_per_s)
    ]


def prepaid_by_budget(
    all_arrivals: list[Arrival], factors: tuple[float, ...] = DEMAND_FACTORS
) -> dict[identifiers.BudgetId, int]:
    """Returns what each team prepays, from what it asks for in all."""
    asked = dict.fromkeys(map(_budget_of_team, range(len(TEAM_SHARES))), 0)
    largest = max(arrival.kind.bound_tokens for arrival in all_arrivals)
    for arrival in all_arrivals:
        asked[arrival.budget_id] += arrival.spent_tokens
    smallest = SMALLEST_BUDGET_BOUNDS * largest
    return {
        budget_id: max(int(asked[budget_id] * factor), smallest)
        for budget_id, factor in zip(asked, factors, strict=True)
    }


def _times(
    rng: random.Random, duration_ms: int, requests_per_s: float
) -> Iterator[int]:
    gaps_ms = (
        rng.expovariate(requests_per_s / 1_000) for _ in itertools.count()
    )
    times_ms = map(int, itertools.accumulate(gaps_ms))
    return itertools.takewhile(lambda at_ms: at_ms < duration_ms, times_ms)


def _arrival(
    deployment: Deployment,
    rng: random.Random,
    at_ms: int,
    epoch_ms: int,
    *,
    names_arbiter: bool,
    home_zone_share: float,
) -> Arrival:
    team = rng.choices(range(len(TEAM_SHARES)), TEAM_SHARES)[0]
    kind = rng.choices(
        deployment.kinds, [kind.share for kind in deployment.kinds]
    )[0]
    zones = deployment.zones
    zone = zones[team % len(zones)]
    if rng.random() >= home_zone_share:
        zone = rng.choice(zones)
    key = _key(rng, epoch_ms + at_ms)
    if names_arbiter and not kind.repeatable:
        key = identifiers.RequestKey(f"{zone}:{key}")
    return Arrival(
        key=key,
        at_ms=at_ms,
        zone=zone,
        team_id=_team(team),
        kind=kind,
        spent_tokens=rng.randint(*kind.spent_tokens),
        duration_ms=rng.randint(*kind.duration_ms),
    )


def _team(number: int) -> identifiers.TeamId:
    return identifiers.TeamId(f"team-{number}")


def _budget_of_team(number: int) -> identifiers.BudgetId:
    return identifiers.BudgetId(f"team/{_team(number)}")


def _key(rng: random.Random, made_at_ms: int) -> identifiers.RequestKey:
    """Returns a UUIDv7 with a time of the virtual clock."""
    random_bits = rng.getrandbits(_UUID_TIME_SHIFT) & _UUID_RANDOM_MASK
    number = made_at_ms << _UUID_TIME_SHIFT
    number |= random_bits | _UUID_VERSION_BITS | _UUID_VARIANT_BITS
    text = f"{number:032x}"
    ends = (0, 8, 12, 16, 20, 32)
    parts = (text[start:end] for start, end in itertools.pairwise(ends))
    return identifiers.RequestKey("-".join(parts))
