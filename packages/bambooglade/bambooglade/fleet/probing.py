"""Which member to probe next, and what became of the probes."""

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
"""Sequence of pings whose answers end no probe."""
MIN_SUSPICION_MS = 4_000
SUSPICION_PER_DECADE_MS = 5_000
"""Spreading takes time in proportion to the logarithm of the members."""
PAUSE_THRESHOLD_MS = 20 * component.TICK_MS
"""Two ticks further apart mean that this process was paused."""


class Probe(msgspec.Struct, kw_only=True):
    """A probe on its way."""

    sequence: int
    subject: identifiers.InstanceId
    started_at_ms: int
    indirect: bool = False


class Prober:
    """Probes all members in turn, in a new random order each round.

    After a pause of this process it starts afresh: silence that it slept
    through says nothing about the others.
    """

    __slots__ = (
        "_by_sequence",
        "_id",
        "_last_tick_ms",
        "_next_probe_ms",
        "_random",
        "_round",
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
        self._round: list[identifiers.InstanceId] = []
        self._sequence = UNTRACKED_SEQUENCE
        self._next_probe_ms = 0
        self._last_tick_ms: int | None = None
        self.resumed_at_ms = 0

    def reset_after_pause(self, now_ms: int) -> None:
        """Drops the probes if this process was paused since the last call."""
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
        """Returns whom to probe now; None when no probe is due."""
        if now_ms < self._next_probe_ms:
            return None
        jitter_ms = self._random.randrange(PROBE_PERIOD_MS // 10)
        self._next_probe_ms = now_ms + PROBE_PERIOD_MS - jitter_ms
        known = peers()
        while self._round:
            subject = self._round.pop()
            if subject in known:
                return subject
        self._round = list(known)
        self._random.shuffle(self._round)
        return self._round.pop() if self._round else None

    def start(self, subject: identifiers.InstanceId, now_ms: int) -> Probe:
        """Notes a probe that is sent now."""
        self._sequence += 1
        probe = Probe(
            sequence=self._sequence, subject=subject, started_at_ms=now_ms
        )
        self._by_sequence[probe.sequence] = probe
        return probe

    def record_ack(
        self, sequence: int, subject: identifiers.InstanceId
    ) -> None:
        """Ends a probe; an answer of another member is ignored."""
        probe = self._by_sequence.get(sequence)
        if probe is not None and probe.subject == subject:
            del self._by_sequence[sequence]

    def take_overdue(self, now_ms: int) -> Iterator[Probe]:
        """Yields, once each, the probes that need the help of others."""
        for probe in list(self._by_sequence.values()):
            late = now_ms - probe.started_at_ms >= DIRECT_TIMEOUT_MS
            if late and not probe.indirect:
                probe.indirect = True
                yield probe

    def take_failed(self, now_ms: int) -> Iterator[Probe]:
        """Ends and yields the probes that nobody answered."""
        for probe in list(self._by_sequence.values()):
            if now_ms - probe.started_at_ms >= PROBE_TIMEOUT_MS:
                del self._by_sequence[probe.sequence]
                yield probe

    def choose_indirect_peers(
        self,
        peers: Sequence[identifiers.InstanceId],
        subject: identifiers.InstanceId,
    ) -> list[identifiers.InstanceId]:
        """Returns a few members that shall probe the subject too."""
        others = [peer for peer in peers if peer != subject]
        return self._random.sample(others, min(INDIRECT_FANOUT, len(others)))

    def __repr__(self) -> str:
        return f"Prober(in_progress={len(self._by_sequence)})"


def suspicion_timeout_ms(members: int) -> int:
    """Returns how long a member may refute a suspicion, in milliseconds.

    Examples:
        >>> suspicion_timeout_ms(9)
        5000
        >>> suspicion_timeout_ms(359)
        12781
    """
    decades = math.log10(members + 1)
    return max(MIN_SUSPICION_MS, int(SUSPICION_PER_DECADE_MS * decades))
