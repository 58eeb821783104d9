"""Knows which runs of targets are cold, and until when; without I/O.

A target that has just started is slow, and crashes if it gets requests well
above a certain rate. No response has to tell that first: a run is cold from the
moment at which an instance may send to it, since the instance learns both from
the same registration. How many requests it gets while it is cold is decided by
`bambooglade.targets.request_limits`.

A look-up takes constant time and happens for each target that a request may go
to. There is one record for each registered run, also of services without a cold
rate, since a later configuration may state one.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

import msgspec

from bambooglade.core import identifiers
from bambooglade.discovery import targets as targets_lib

CLOCK_SKEW_MS = 5_000
"""Most time by which the clock of a target is expected to be wrong.

It matters only for runs that registered before this instance was watching.
"""

MAX_ABSENCE_MS = 60_000
"""Time after which the record of a run without an entry is evicted.

The entry may be away for a moment only, and the same run come back warm.
"""

MAX_RECORDS = 16_384
"""Most runs that are recorded; the ones seen longest ago are evicted first."""


class ColdStart(msgspec.Struct, frozen=True):
    """How the targets of a service start.

    Attributes:
        duration_ms: Time for which a target is cold after its start.
        max_requests_per_s: Requests per second that it tolerates while cold.
    """

    duration_ms: int
    max_requests_per_s: float


class ColdRun(msgspec.Struct, frozen=True):
    """A run of a target that is cold.

    Attributes:
        run: The run.
        service: Its service.
        max_requests_per_s: Requests per second that it tolerates.
        until_ms: Time at which it is warm.
    """

    run: targets_lib.TargetRun
    service: str
    max_requests_per_s: float
    until_ms: int


class ColdStarts:
    """Which runs of targets are cold, as this instance observes them.

    Args:
        cold_start_of: Returns how the targets of a service start; None if they
            tolerate any rate.
        evacuation_ended_at_ms: Returns the time at which the last evacuation of
            a zone ended; None if there was none.

    Examples:
        >>> cold = ColdStarts(lambda service: ColdStart(3_000, 10.0))
        >>> target = targets_lib.RegisteredTarget(target_id="e1", service="s",
        ...     address=("10.0.0.1", 80), availability_zone="a", slots=4,
        ...     started_at_ms=7)
        >>> cold.observe(target, is_watching=True, now_ms=100)
        >>> cold.find("e1", now_ms=100).until_ms
        3100
        >>> cold.find("e1", now_ms=3_100) is None
        True
    """

    __slots__ = (
        "_cold_start_of",
        "_evacuation_ended_at_ms",
        "_known_cold_by_id",
        "_record_by_id",
    )

    def __init__(
        self,
        cold_start_of: Callable[[str], ColdStart | None],
        evacuation_ended_at_ms: Callable[[str], int | None] = lambda zone: None,
    ) -> None:
        self._cold_start_of = cold_start_of
        self._evacuation_ended_at_ms = evacuation_ended_at_ms
        self._record_by_id: dict[identifiers.TargetId, _Record] = {}
        self._known_cold_by_id: dict[identifiers.TargetId, ColdRun] = {}

    def observe(
        self,
        target: targets_lib.RegisteredTarget,
        *,
        is_watching: bool,
        now_ms: int,
        is_recovering: bool = False,
    ) -> None:
        """Records the registration of a target that was just read.

        Args:
            target: The target.
            is_watching: Whether registrations were read before, so that an
                unknown run has registered since.
            now_ms: Current time.
            is_recovering: Whether the store has just returned from an older
                copy, and entries may be read again that are not new.
        """
        record = self._record_by_id.get(target.target_id)
        if (
            record is not None
            and record.target.started_at_ms > target.started_at_ms > 0
        ):
            return
        if record is None or record.target.run != target.run:
            record = _Record(
                target,
                seen_at_ms=now_ms,
                # Only the first list contains runs that may be warm already.
                is_start_seen=is_watching,
            )
            self._record_by_id.pop(target.target_id, None)
            self._record_by_id[target.target_id] = record
            self._evict_oldest()
        elif is_recovering and (
            record.target.cold_remaining_ms == target.cold_remaining_ms
        ):
            return
        record.target = target
        record.stated_until_ms = now_ms + target.cold_remaining_ms

    def _evict_oldest(self) -> None:
        if len(self._record_by_id) > MAX_RECORDS:
            del self._record_by_id[next(iter(self._record_by_id))]

    def record_refusal(
        self, run: targets_lib.TargetRun, *, now_ms: int
    ) -> None:
        """Records that a connection to a target was refused.

        No process listens there. The next one may do so before this instance
        reads its registration, and is cold then.
        """
        record = self._record_by_id.get(run.target_id)
        if record is not None and record.target.run == run:
            record.refused_at_ms = now_ms

    def find(
        self, target_id: identifiers.TargetId, *, now_ms: int
    ) -> ColdRun | None:
        """Returns the newest run of a target if it is cold, else None."""
        record = self._record_by_id.get(target_id)
        if record is None:
            return None
        cold_start = self._cold_start_of(record.target.service)
        if cold_start is None:
            return None
        until_ms = max(
            record.stated_until_ms,
            record.start_ends_at_ms(cold_start.duration_ms),
            record.refusal_ends_at_ms(cold_start.duration_ms),
            self._evacuation_effect_ends_at_ms(record.target, cold_start),
        )
        if until_ms <= now_ms:
            return None
        return ColdRun(
            record.target.run,
            record.target.service,
            cold_start.max_requests_per_s,
            until_ms,
        )

    def _evacuation_effect_ends_at_ms(
        self, target: targets_lib.RegisteredTarget, cold_start: ColdStart
    ) -> int:
        ended_at_ms = self._evacuation_ended_at_ms(target.availability_zone)
        return (
            0 if ended_at_ms is None else ended_at_ms + cold_start.duration_ms
        )

    def changes(self, *, now_ms: int) -> Iterator[tuple[ColdRun, bool]]:
        """Yields the runs that became cold or warm since the last call.

        Args:
            now_ms: Current time.

        Yields:
            A run as it was found cold, and whether it is cold now.
        """
        before = self._known_cold_by_id
        self._known_cold_by_id = {
            target_id: cold
            for target_id in self._record_by_id
            if (cold := self.find(target_id, now_ms=now_ms)) is not None
        }
        for target_id, cold in before.items():
            current = self._known_cold_by_id.get(target_id)
            if current is None or current.run != cold.run:
                yield cold, False
        for target_id, cold in self._known_cold_by_id.items():
            known = before.get(target_id)
            if known is None or known.run != cold.run:
                yield cold, True

    @property
    def cold_count(self) -> int:
        """Number of runs that were cold at the last call of `changes`."""
        return len(self._known_cold_by_id)

    def evict_missing(
        self, known: set[identifiers.TargetId], *, now_ms: int
    ) -> None:
        """Evicts runs without an entry.

        Those whose start is unknown are evicted at once: they can't be told
        from the next run under their id.
        """
        for target_id, record in list(self._record_by_id.items()):
            if target_id in known:
                record.missing_since_ms = None
                continue
            if record.missing_since_ms is None:
                record.missing_since_ms = now_ms
            if (
                not record.target.started_at_ms
                or now_ms - record.missing_since_ms >= MAX_ABSENCE_MS
            ):
                del self._record_by_id[target_id]

    def __repr__(self) -> str:
        return f"ColdStarts(runs={len(self._record_by_id)})"


class _Record:
    """What is known of one run of a target.

    Attributes:
        target: Its newest registration.
        seen_at_ms: Time at which its first registration was read.
        stated_until_ms: Time until which it is cold by its registration.
        missing_since_ms: Time since which it has no entry; None if it has one.
        refused_at_ms: Time at which a connection was last refused; None if none
            was.
    """

    __slots__ = (
        "_is_start_seen",
        "missing_since_ms",
        "refused_at_ms",
        "seen_at_ms",
        "stated_until_ms",
        "target",
    )

    def __init__(
        self,
        target: targets_lib.RegisteredTarget,
        *,
        seen_at_ms: int,
        is_start_seen: bool,
    ) -> None:
        self.target = target
        self.seen_at_ms = seen_at_ms
        self.stated_until_ms = 0
        self.missing_since_ms: int | None = None
        self.refused_at_ms: int | None = None
        self._is_start_seen = is_start_seen

    def start_ends_at_ms(self, duration_ms: int) -> int:
        """Returns the time at which the run is warm after its start.

        A run that registered before this instance was watching may have
        started at any time up to then. The start that it registered bounds
        that, so that only runs that have just started are held back.
        """
        seen_end_ms = self.seen_at_ms + duration_ms
        if self._is_start_seen:
            return seen_end_ms
        latest_start_ms = self.target.started_at_ms + CLOCK_SKEW_MS
        return min(seen_end_ms, latest_start_ms + duration_ms)

    def refusal_ends_at_ms(self, duration_ms: int) -> int:
        """Returns the time at which a process is warm that has come instead."""
        if self.refused_at_ms is None:
            return 0
        return self.refused_at_ms + duration_ms
