"""Selection of members to probe, and tracking of probes in flight."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import math
import random

import msgspec

from bambooglade.core import component
from bambooglade.core import identifiers

PROBE_PERIOD_MS = 1_000
DIRECT_TIMEOUT_MS = 400
PROBE_TIMEOUT_MS = 1_200
INDIRECT_FANOUT = 2
UNTRACKED_SEQUENCE = 0
"""Sequence number of pings that belong to no probe."""
MIN_SUSPICION_MS = 4_000
SUSPICION_PER_DECADE_MS = 5_000
"""Suspicion time-out per decimal order of magnitude of the fleet size.

The time until an update has reached all members is proportional to the
logarithm of their number.
"""
PAUSE_THRESHOLD_MS = 20 * component.TICK_MS
"""Interval between two ticks above which this process counts as paused."""


class Probe(msgspec.Struct, kw_only=True):
    """A probe in flight.

    Attributes:
        sequence: Number of the probe.
        subject: The member that is probed.
        started_at_ms: When the direct ping was sent.
        indirect: Whether indirect pings were requested.
    """

    sequence: int
    subject: identifiers.InstanceId
    started_at_ms: int
    indirect: bool = False


class Prober:
    """Selects the members to probe, and tracks the probes in flight.

    All members are probed once per round, in a new random order each time.
    After a pause of this process, all probes are dropped: a missing ack is then
    no evidence of a failure, since this process could not receive it.

    Args:
        instance_id: Id of this instance.
        random_source: Source of randomness; seeded in tests.

    Attributes:
        resumed_at_ms: End of the last pause of this process; 0 if none.
    """

    __slots__ = (
        "_by_sequence",
        "_id",
        "_last_tick_ms",
        "_next_probe_ms",
        "_random",
        "_remaining_subjects",
        "_sequence",
        "resumed_at_ms",
    )

    def __init__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        random_source: random.Random,
    ) -> None:
        self._id = instance_id
        self._random = random_source
        self._by_sequence: dict[int, Probe] = {}
        self._remaining_subjects: list[identifiers.InstanceId] = []
        self._sequence = UNTRACKED_SEQUENCE
        self._next_probe_ms = 0
        self._last_tick_ms: int | None = None
        self.resumed_at_ms = 0

    def reset_after_pause(self, now_ms: int) -> None:
        """Drops all probes if this process was paused since the last call."""
        last_ms = self._last_tick_ms
        self._last_tick_ms = now_ms
        if last_ms is not None and now_ms - last_ms > PAUSE_THRESHOLD_MS:
            self._by_sequence.clear()
            self.resumed_at_ms = now_ms

    def next_subject(
        self,
        peers: Callable[[], Sequence[identifiers.InstanceId]],
        now_ms: int,
    ) -> identifiers.InstanceId | None:
        """Returns the member to probe now, or None if no probe is due."""
        if now_ms < self._next_probe_ms:
            return None
        jitter_ms = self._random.randrange(PROBE_PERIOD_MS // 10)
        self._next_probe_ms = now_ms + PROBE_PERIOD_MS - jitter_ms
        current_peers = peers()
        while self._remaining_subjects:
            subject = self._remaining_subjects.pop()
            if subject in current_peers:
                return subject
        self._remaining_subjects = list(current_peers)
        self._random.shuffle(self._remaining_subjects)
        return (
            self._remaining_subjects.pop() if self._remaining_subjects else None
        )

    def start(self, subject: identifiers.InstanceId, now_ms: int) -> Probe:
        """Registers a probe that is sent now."""
        self._sequence += 1
        probe = Probe(
            sequence=self._sequence, subject=subject, started_at_ms=now_ms
        )
        self._by_sequence[probe.sequence] = probe
        return probe

    def record_ack(
        self, sequence: int, subject: identifiers.InstanceId
    ) -> None:
        """Ends a probe; an ack for another member is ignored."""
        probe = self._by_sequence.get(sequence)
        if probe is not None and probe.subject == subject:
            del self._by_sequence[sequence]

    def take_overdue(self, now_ms: int) -> Iterator[Probe]:
        """Yields, once each, the probes that now need indirect pings."""
        for probe in list(self._by_sequence.values()):
            is_overdue = now_ms - probe.started_at_ms >= DIRECT_TIMEOUT_MS
            if is_overdue and not probe.indirect:
                probe.indirect = True
                yield probe

    def take_timed_out(self, now_ms: int) -> Iterator[Probe]:
        """Ends and yields the probes that timed out."""
        for probe in list(self._by_sequence.values()):
            if now_ms - probe.started_at_ms >= PROBE_TIMEOUT_MS:
                del self._by_sequence[probe.sequence]
                yield probe

    def choose_indirect_peers(
        self,
        peers: Sequence[identifiers.InstanceId],
        subject: identifiers.InstanceId,
    ) -> list[identifiers.InstanceId]:
        """Returns up to `INDIRECT_FANOUT` random peers for indirect pings."""
        others = [peer for peer in peers if peer != subject]
        return self._random.sample(others, min(INDIRECT_FANOUT, len(others)))

    def __repr__(self) -> str:
        return f"Prober(in_flight={len(self._by_sequence)})"


def suspicion_timeout_ms(member_count: int) -> int:
    """Returns the time within which a suspicion can be refuted.

    Examples:
        >>> suspicion_timeout_ms(9)
        5000
        >>> suspicion_timeout_ms(359)
        12781
    """
    magnitude = math.log10(member_count + 1)
    return max(MIN_SUSPICION_MS, int(SUSPICION_PER_DECADE_MS * magnitude))
