"""Decisions of an instance on its recent requests, in a bounded buffer.

See Also:
    bambooglade_ctl.explaining: collects them from all instances.
"""

from __future__ import annotations

import collections
import threading
from typing import TypeAlias

import msgspec

from bambooglade.core import identifiers

MAX_DECISIONS_PER_KEY = 64


class DecisionBase(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all decisions.

    Attributes:
        at_ms: Time of the decision; milliseconds since the epoch.
        instance_id: The instance that recorded it.
    """

    at_ms: int
    instance_id: str


class RowsMatched(DecisionBase, frozen=True, kw_only=True):
    """The table rows that apply to the request were determined."""

    row_keys: tuple[str, ...]


class AccountDrawn(DecisionBase, frozen=True, kw_only=True):
    """An account responded to the reservation of the cost's upper bound.

    Attributes:
        outcome: `reserved`, or the reason code of the refusal.
        detail: Explanation, for instance which instance holds the rights.
    """

    budget_id: str
    bound_tokens: int
    outcome: str
    detail: str = ""


class KeyClaimed(DecisionBase, frozen=True, kw_only=True):
    """The arbiter responded to the claim of the request's key."""

    arbiter_zone: str
    outcome: str


class TargetScore(msgspec.Struct, frozen=True, kw_only=True):
    """Score of a target by the routing policy; lower is better.

    Attributes:
        reason: Why the target was excluded; empty if it was not.
    """

    target_id: str
    score: float
    reason: str = ""


class TargetChosen(DecisionBase, frozen=True, kw_only=True):
    """The routing policy chose one of the scored targets, or none."""

    target_id: str | None
    scores: tuple[TargetScore, ...]


class TargetAnswered(DecisionBase, frozen=True, kw_only=True):
    """An attempt at a target ended."""

    target_id: str
    outcome: str
    tokens: int = 0


class RequestBilled(DecisionBase, frozen=True, kw_only=True):
    """The request was billed, or its bill was voided."""

    spent_tokens: int
    voided: bool = False


class RequestRefused(DecisionBase, frozen=True, kw_only=True):
    """The request failed; `ran` is whether it may have run."""

    kind: str
    detail: str
    ran: str


Decision: TypeAlias = (
    RowsMatched
    | AccountDrawn
    | KeyClaimed
    | TargetChosen
    | TargetAnswered
    | RequestBilled
    | RequestRefused
)


class TraceRing:
    """Bounded buffer of the decisions on recent requests of this instance.

    Thread-safe. Stores at most `MAX_DECISIONS_PER_KEY` decisions per request.

    Args:
        capacity: Number of requests to store. The request whose last decision
            is the oldest is evicted first.

    Examples:
        >>> ring = TraceRing(capacity=2)
        >>> for name in ("a", "b", "c"):
        ...     ring.record(identifiers.RequestKey(name), RequestBilled(
        ...         at_ms=0, instance_id="i1", spent_tokens=5))
        >>> ring.decisions(identifiers.RequestKey("a"))
        ()
        >>> ring
        TraceRing(requests=2, capacity=2)
    """

    __slots__ = ("_capacity", "_decisions_by_key", "_lock")

    def __init__(self, *, capacity: int) -> None:
        if capacity < 1:
            raise ValueError(f"capacity is {capacity}; pass 1 or more")
        self._capacity = capacity
        self._lock = threading.Lock()
        self._decisions_by_key: collections.OrderedDict[
            identifiers.RequestKey, collections.deque[Decision]
        ] = collections.OrderedDict()

    def record(self, key: identifiers.RequestKey, decision: Decision) -> None:
        """Appends a decision on the request with this key."""
        with self._lock:
            decisions = self._decisions_by_key.get(key)
            if decisions is None:
                decisions = collections.deque(maxlen=MAX_DECISIONS_PER_KEY)
                self._decisions_by_key[key] = decisions
            decisions.append(decision)
            self._decisions_by_key.move_to_end(key)
            if len(self._decisions_by_key) > self._capacity:
                self._decisions_by_key.popitem(last=False)

    def decisions(self, key: identifiers.RequestKey) -> tuple[Decision, ...]:
        """Returns the decisions on a request, oldest first."""
        with self._lock:
            return tuple(self._decisions_by_key.get(key, ()))

    def __repr__(self) -> str:
        return (
            f"TraceRing(requests={len(self._decisions_by_key)}, "
            f"capacity={self._capacity})"
        )
