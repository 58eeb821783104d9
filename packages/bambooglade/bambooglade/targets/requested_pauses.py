"""Pauses that targets request of this instance; without I/O.

A target that rejects a request may ask the instance to send nothing for some
time. The pause holds for one run of the target and for this instance alone.
"""

from __future__ import annotations

import random

MAX_PAUSE_MS = 300_000
"""Longest pause that is kept; a target that needs more is asked again.

A malformed value must not keep a target out for days.
"""

RETURN_SPREAD = 0.1
"""Part of a pause by which its end is extended at most, at random.

A target has often rejected several instances at once.
"""


class RequestedPauses:
    """Pauses that targets have requested of this instance.

    Args:
        random_source: Source of the spread of the returns.

    Examples:
        >>> pauses = RequestedPauses(random.Random(1))
        >>> pauses.record("e1", 7, 2.0, now_ms=0)
        True
        >>> 2_000 <= pauses.wait_ms("e1", 7, now_ms=0) <= 2_200
        True
        >>> pauses.wait_ms("e1", 8, now_ms=0)  # a later run of the target
        0
    """

    __slots__ = ("_pause_by_id", "_random")

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._pause_by_id: dict[str, tuple[int, float]] = {}

    def record(
        self,
        target_id: str,
        started_at_ms: int,
        pause_s: float | None,
        *,
        now_ms: int,
    ) -> bool:
        """Records the pause that a rejection requests.

        Args:
            target_id: Id of the target.
            started_at_ms: Start of its run.
            pause_s: Requested pause in s; None if it requests none.
            now_ms: Current time.

        Returns:
            Whether the target is paused longer than before.
        """
        if not pause_s:
            return False
        pause_ms = min(MAX_PAUSE_MS, pause_s * 1_000)
        spread_ms = pause_ms * RETURN_SPREAD * self._random.random()
        ends_at_ms = now_ms + pause_ms + spread_ms
        known_start_ms, known_end_ms = self._pause_by_id.get(
            target_id, (started_at_ms, 0.0)
        )
        if known_start_ms == started_at_ms and known_end_ms >= ends_at_ms:
            return False
        self._pause_by_id[target_id] = started_at_ms, ends_at_ms
        return True

    def wait_ms(
        self, target_id: str, started_at_ms: int, *, now_ms: int
    ) -> int:
        """Returns the time for which a run of a target gets no request."""
        pause = self._pause_by_id.get(target_id)
        if pause is None or pause[0] != started_at_ms:
            return 0
        return max(0, round(pause[1] - now_ms))

    def evict_expired(self, *, now_ms: int) -> None:
        """Evicts the pauses that have ended.

        Those of targets without an entry are kept: the entry may be away for a
        moment only.
        """
        for target_id, (_, ends_at_ms) in list(self._pause_by_id.items()):
            if ends_at_ms <= now_ms:
                del self._pause_by_id[target_id]

    def __repr__(self) -> str:
        return f"RequestedPauses(targets={len(self._pause_by_id)})"
