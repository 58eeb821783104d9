"""Whether this instance's own link or processor is congested; pure.

Answers one caller, or one team, that sends a small instance more than its link
carries, while the instances beside it are idle. A congested instance takes
itself out of the rotation and turns requests away at once; retries reach other
instances.
"""

from __future__ import annotations

import collections
import statistics

SAMPLES = 9
"""Connections to targets that are looked at together."""

MIN_TARGETS = 3
"""Targets that the samples have to come from; fewer may be at fault."""

SAMPLE_LIFETIME_MS = 2_000
"""Age from which a sample says nothing any more."""

CONGESTED_CONNECT_MS = 60
"""Median time to connect within the zone; on a free link it takes 1 ms."""

HOLD_MS = 1_000
"""Time for which congestion is assumed after the last sign of it."""


class Congestion:
    """Judges by the time that connections within the own zone take.

    Examples:
        >>> congestion = Congestion()
        >>> for number in range(SAMPLES):
        ...     congestion.connected(f"t{number}", 200, now_ms=0)
        >>> congestion.is_congested(now_ms=10), congestion.is_congested(5_000)
        (True, False)
    """

    __slots__ = ("_congested_until_ms", "_samples")

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[int, str, int]] = (
            collections.deque(maxlen=SAMPLES)
        )
        self._congested_until_ms = 0

    def connected(self, target_id: str, took_ms: int, *, now_ms: int) -> None:
        """Notes how long a connection took, or when it was given up.

        Args:
            target_id: A target of the own zone.
            took_ms: Duration in milliseconds.
            now_ms: The time.
        """
        self._samples.append((now_ms, target_id, took_ms))
        recent = [
            sample
            for sample in self._samples
            if now_ms - sample[0] <= SAMPLE_LIFETIME_MS
        ]
        targets = {target for _, target, _ in recent}
        if len(recent) < SAMPLES or len(targets) < MIN_TARGETS:
            return
        median_ms = statistics.median(took for _, _, took in recent)
        if median_ms >= CONGESTED_CONNECT_MS:
            self._congested_until_ms = now_ms + HOLD_MS

    def is_congested(self, now_ms: int) -> bool:
        """Returns whether new requests should go elsewhere."""
        return now_ms < self._congested_until_ms

    def __repr__(self) -> str:
        return f"Congestion(samples={len(self._samples)})"
