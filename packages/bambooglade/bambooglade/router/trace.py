"""The decisions of an instance on its last requests, kept in a ring.

See Also:
    bambooglade_ctl.explaining: gathers them from all instances.
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
        at_ms: When it was taken; milliseconds since the epoch.
        instance_id: The instance that took it.
    """

    at_ms: int
    instance_id: str


class RowsMatched(DecisionBase, frozen=True, kw_only=True):
    """The rows of the table that apply to the request."""

    row_keys: tuple[str, ...]


class AccountDrawn(DecisionBase, frozen=True, kw_only=True):
    """An account was asked to reserve the upper bound of the cost.

    Attributes:
        outcome: `reserved`, or the reason of the refusal.
        detail: Explanation, for instance where the rights are.
    """

    budget_id: str
    bound_tokens: int
    outcome: str
    detail: str = ""


class KeyClaimed(DecisionBase, frozen=True, kw_only=True):
    """The arbiter of the request's key answered, or did not."""

    arbiter_zone: str
    outcome: str


class TargetScore(msgspec.Struct, frozen=True, kw_only=True):
    """How the policy rated a target; lower is better.

    Attributes:
        reason: Why it was left out, or empty.
    """

    target_id: str
    score: float
    reason: str = ""


class TargetChosen(DecisionBase, frozen=True, kw_only=True):
    """The policy chose a target among the scored ones."""

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
    """The request was refused; `ran` says whether it may have run."""

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
    """Remembers the decisions on the last requests of this instance.

    It may be used from several threads.

    Args:
        capacity: Requests to remember; the oldest is forgotten first.

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

    __slots__ = ("_by_key", "_capacity", "_lock")

    def __init__(self, *, capacity: int) -> None:
        if capacity < 1:
            raise ValueError(f"capacity is {capacity}; pass 1 or more")
        self._capacity = capacity
        self._lock = threading.Lock()
        self._by_key: collections.OrderedDict[
            identifiers.RequestKey, collections.deque[Decision]
        ] = collections.OrderedDict()

    def record(self, key: identifiers.RequestKey, decision: Decision) -> None:
        """Adds a decision on the request with this key."""
        with self._lock:
            decisions = self._by_key.get(key)
            if decisions is None:
                decisions = collections.deque(maxlen=MAX_DECISIONS_PER_KEY)
                self._by_key[key] = decisions
            decisions.append(decision)
            self._by_key.move_to_end(key)
            if len(self._by_key) > self._capacity:
                self._by_key.popitem(last=False)

    def decisions(self, key: identifiers.RequestKey) -> tuple[Decision, ...]:
        """Returns the decisions on a request, oldest first."""
        with self._lock:
            return tuple(self._by_key.get(key, ()))

    def __repr__(self) -> str:
        return (
            f"TraceRing(requests={len(self._by_key)}, "
            f"capacity={self._capacity})"
        )
