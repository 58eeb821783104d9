"""Detects congestion of this instance's own link or processor; without I/O.

One caller or one team can send a small instance more than its link carries,
while other instances are idle. A congested instance reports that it is not
ready and rejects requests immediately; retries reach other instances.
"""

from __future__ import annotations

import collections
import statistics

SAMPLE_COUNT = 9
"""Number of recent connections whose median connect time is evaluated."""

MIN_SAMPLED_TARGETS = 3
"""Least number of targets among the samples.

Fewer slow targets may be at fault themselves.
"""

SAMPLE_MAX_AGE_MS = 2_000
"""Age above which a sample is ignored."""

CONGESTED_CONNECT_TIME_MS = 60
"""Median connect time within the availability zone that means congestion.

On an uncongested link, connecting takes 1 ms.
"""

CONGESTION_HOLD_MS = 1_000
"""How long the instance is taken for congested after the last slow median."""


class CongestionDetector:
    """Detects congestion by the connect times within an availability zone.

    Examples:
        >>> detector = CongestionDetector()
        >>> for number in range(SAMPLE_COUNT):
        ...     detector.record_connect_time(f"t{number}", 200, now_ms=0)
        >>> detector.is_congested(now_ms=10), detector.is_congested(5_000)
        (True, False)
    """

    __slots__ = ("_congested_until_ms", "_samples")

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[int, str, int]] = (
            collections.deque(maxlen=SAMPLE_COUNT)
        )
        self._congested_until_ms = 0

    def record_connect_time(
        self, target_id: str, took_ms: int, *, now_ms: int
    ) -> None:
        """Records the time that a connection took to open or to time out.

        Args:
            target_id: A target in the availability zone of this instance.
            took_ms: Duration in milliseconds.
            now_ms: The current time.
        """
        self._samples.append((now_ms, target_id, took_ms))
        recent = [
            sample
            for sample in self._samples
            if now_ms - sample[0] <= SAMPLE_MAX_AGE_MS
        ]
        targets = {target for _, target, _ in recent}
        if len(recent) < SAMPLE_COUNT or len(targets) < MIN_SAMPLED_TARGETS:
            return
        median_ms = statistics.median(took for _, _, took in recent)
        if median_ms >= CONGESTED_CONNECT_TIME_MS:
            self._congested_until_ms = now_ms + CONGESTION_HOLD_MS

    def reset(self) -> None:
        """Forgets the samples; their slow connections had another cause."""
        self._samples.clear()
        self._congested_until_ms = 0

    def is_congested(self, now_ms: int) -> bool:
        """Returns whether new requests should go to other instances."""
        return now_ms < self._congested_until_ms

    def __repr__(self) -> str:
        return f"CongestionDetector(samples={len(self._samples)})"
