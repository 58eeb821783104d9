"""Chooses the target of a request, with the scores that led to the choice.

The score of a target estimates the work ahead of the request, in units of
requests at a target of weight 1. It is the estimated number of requests at the
target, including the new one, divided by the capacity weight and multiplied by
the slowness, plus a cost if the target is in another availability zone, minus a
bonus for the cached part of the prompt. The lowest score wins.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence

import msgspec

from bambooglade.core import identifiers
from bambooglade.targets import target as target_lib

CROSS_ZONE_COST = 0.5
"""Score added to targets outside this instance's availability zone.

It is below 1, so that a target in another zone is chosen as soon as it has one
request less. Among equally loaded targets, the local zone is preferred.
"""

CACHED_PROMPT_BONUS = 2.0
"""Score subtracted from a target that has the entire prompt cached."""

MAX_AFFINITY_LOAD_RATIO = 1.5
"""A target loaded above this multiple of the mean gets no cache bonus."""


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """A target with its current estimates.

    Attributes:
        target: The target.
        weight: Capacity weight that currently applies.
        load: Estimated number of requests at the target.
        slowness: Time per unit of work relative to the median of the service's
            targets; 1 or more.
        cached_share: Fraction of the prompt that the target has cached, from 0
            to 1.
        excluded: Why the target must not be chosen; empty if it may be.
    """

    target: target_lib.Target
    weight: float = 1.0
    load: float = 0.0
    slowness: float = 1.0
    cached_share: float = 0.0
    excluded: str = ""


class Score(msgspec.Struct, frozen=True, kw_only=True):
    """Score of a candidate; lower is better.

    Attributes:
        target_id: The candidate.
        score: The score; infinite if the candidate was excluded.
        reason: Why the candidate was excluded, or the terms of the score.
    """

    target_id: identifiers.TargetId
    score: float
    reason: str


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """The chosen target, or None if there is none, and all scores."""

    target: target_lib.Target | None
    scores: tuple[Score, ...]


def choose(
    candidates: Sequence[Candidate],
    availability_zone: identifiers.AvailabilityZone,
    *,
    turn: int = 0,
) -> Choice:
    """Chooses the candidate with the lowest score.

    Args:
        candidates: All targets of the service.
        availability_zone: Zone of this instance.
        turn: Counter of choices, for round-robin among equal scores.

    Examples:
        >>> def candidate(name, zone, load):
        ...     return Candidate(load=load, target=target_lib.Target(
        ...         target_id=name, service="s", availability_zone=zone,
        ...         url="http://127.0.0.1"))
        >>> choose([candidate("e1", "z1", 1), candidate("e2", "z2", 1)],
        ...     "z1").target.target_id
        'e1'
        >>> choose([candidate("e1", "z1", 9), candidate("e2", "z2", 1)],
        ...     "z1").target.target_id
        'e2'
    """
    usable = [c for c in candidates if not c.excluded and c.weight > 0]
    mean = _mean_load(usable)
    scored = [(_score(c, availability_zone, mean), c) for c in usable]
    first = turn % len(scored) if scored else 0
    scored = scored[first:] + scored[:first]
    scored.sort(key=lambda pair: pair[0].score)
    scores = tuple(score for score, _ in scored)
    return Choice(
        target=scored[0][1].target if scored else None,
        scores=scores + tuple(_excluded_scores(candidates)),
    )


def _mean_load(usable: Sequence[Candidate]) -> float:
    capacity = sum(c.weight / c.slowness for c in usable)
    return sum(c.load + 1 for c in usable) / capacity if capacity else 0.0


def _weighted_load(candidate: Candidate) -> float:
    return (candidate.load + 1) * candidate.slowness / candidate.weight


def _score(
    candidate: Candidate,
    availability_zone: identifiers.AvailabilityZone,
    mean: float,
) -> Score:
    is_local = candidate.target.availability_zone == availability_zone
    zone_cost = 0.0 if is_local else CROSS_ZONE_COST
    load = _weighted_load(candidate)
    is_within_bound = load <= MAX_AFFINITY_LOAD_RATIO * max(1.0, mean)
    bonus = (
        CACHED_PROMPT_BONUS * candidate.cached_share if is_within_bound else 0.0
    )
    return Score(
        target_id=candidate.target.target_id,
        score=load + zone_cost - bonus,
        reason=f"load={load:.2f} spill={zone_cost:.2f} cache={bonus:.2f}",
    )


def _excluded_scores(candidates: Sequence[Candidate]) -> Iterator[Score]:
    for candidate in candidates:
        if candidate.excluded or candidate.weight <= 0:
            yield Score(
                target_id=candidate.target.target_id,
                score=float("inf"),
                reason=candidate.excluded or "weight 0",
            )
