"""Chooses the target of a request, and explains the choice.

The score of a target is the work that would be ahead of the request there, in
requests of a target of weight 1: its estimated load by its capacity weight and
its speed, less what its prefix cache saves, plus a cost for another zone. The
lowest score wins.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence

import msgspec

from bambooglade.core import identifiers
from bambooglade.targets import target as target_lib

CROSS_ZONE_COST = 0.5
"""Load by which the own zone may exceed another before requests spill.

Below 1, so that a target of another zone takes the next request as soon as it
has one less; among equals the own zone goes first.
"""

CACHED_PROMPT_BONUS = 2.0
"""Load that a wholly cached prompt makes up for."""

MAX_AFFINITY_LOAD_RATIO = 1.5
"""A target above this multiple of the mean load gets no gain by its cache."""


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """A target with what is known of it now.

    Attributes:
        target: The target.
        weight: Its capacity weight in force.
        load: About how many requests it has.
        slowness: Its time per unit of work relative to the others; 1 or more.
        cached_share: Share of the prompt that is cached there, from 0 to 1.
        excluded: Why it can't be chosen; empty if it can.
    """

    target: target_lib.Target
    weight: float = 1.0
    load: float = 0.0
    slowness: float = 1.0
    cached_share: float = 0.0
    excluded: str = ""


class Score(msgspec.Struct, frozen=True, kw_only=True):
    """How a candidate was rated; lower is better.

    Attributes:
        reason: Why it was left out, or what the score is made of.
    """

    target_id: identifiers.TargetId
    score: float
    reason: str


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """The chosen target, or None, and all scores."""

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
        availability_zone: The own zone.
        turn: Number of the choice; equal scores take turns.

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
        scores=scores + tuple(_left_out(candidates)),
    )


def _mean_load(usable: Sequence[Candidate]) -> float:
    capacity = sum(c.weight / c.slowness for c in usable)
    return sum(c.load + 1 for c in usable) / capacity if capacity else 0.0


def _load(candidate: Candidate) -> float:
    return (candidate.load + 1) * candidate.slowness / candidate.weight


def _score(
    candidate: Candidate,
    availability_zone: identifiers.AvailabilityZone,
    mean: float,
) -> Score:
    is_local = candidate.target.availability_zone == availability_zone
    spill = 0.0 if is_local else CROSS_ZONE_COST
    load = _load(candidate)
    is_within_bound = load <= MAX_AFFINITY_LOAD_RATIO * max(1.0, mean)
    gain = (
        CACHED_PROMPT_BONUS * candidate.cached_share if is_within_bound else 0.0
    )
    return Score(
        target_id=candidate.target.target_id,
        score=load + spill - gain,
        reason=f"load={load:.2f} spill={spill:.2f} cache={gain:.2f}",
    )


def _left_out(candidates: Sequence[Candidate]) -> Iterator[Score]:
    for candidate in candidates:
        if candidate.excluded or candidate.weight <= 0:
            yield Score(
                target_id=candidate.target.target_id,
                score=float("inf"),
                reason=candidate.excluded or "weight 0",
            )
