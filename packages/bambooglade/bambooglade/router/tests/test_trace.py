"""Tests of the buffer of decisions."""

from __future__ import annotations

import msgspec
import pytest

from bambooglade.core import identifiers
from bambooglade.router import trace

_KEY = identifiers.RequestKey("k1")


def _billed(spent_tokens: int) -> trace.RequestBilled:
    return trace.RequestBilled(
        at_ms=1, instance_id="i1", spent_tokens=spent_tokens
    )


def test_decisions_of_a_key_are_bounded_and_in_order() -> None:
    ring = trace.TraceRing(capacity=1)
    count = trace.MAX_DECISIONS_PER_KEY + 5
    for number in range(count):
        ring.record(_KEY, _billed(number))
    spent = [decision.spent_tokens for decision in ring.decisions(_KEY)]
    assert spent == list(range(5, count))


def test_decisions_keep_their_types_in_json() -> None:
    decision = trace.TargetChosen(
        at_ms=1,
        instance_id="i1",
        target_id="e1",
        scores=(trace.TargetScore(target_id="e1", score=0.5),),
    )
    encoded = msgspec.json.encode(decision)
    assert msgspec.json.decode(encoded, type=trace.Decision) == decision


def test_capacity_must_be_positive() -> None:
    with pytest.raises(ValueError, match="pass 1 or more"):
        trace.TraceRing(capacity=0)
