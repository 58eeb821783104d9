"""Simulated network between availability zones, with fault injection."""

from __future__ import annotations

import dataclasses
import random

from bambooglade.core import identifiers

PLATFORM = identifiers.AvailabilityZone("platform")
"""Pseudo-zone of the platform's service, for cuts between it and a zone."""


@dataclasses.dataclass(slots=True)
class MessageFaults:
    """Faults that are injected into messages between instances.

    Attributes:
        loss: Share of messages that are lost, from 0 to 1.
        duplication: Share of messages that arrive twice, from 0 to 1.
        extra_delay_ms: Upper bound of a random delay. Messages are reordered
            if it exceeds the interval between them.
    """

    loss: float = 0.0
    duplication: float = 0.0
    extra_delay_ms: int = 0


class VirtualNetwork:
    """Determines loss, delay and duplication of each message.

    Args:
        rng: Source of all randomness.
        same_zone_delay_ms: One-way delay within a zone.
        cross_zone_delay_ms: One-way delay between zones and to the platform.
    """

    __slots__ = (
        "_cross_zone_delay_ms",
        "_cut_since_by_pair",
        "_rng",
        "_same_zone_delay_ms",
        "faults",
    )

    def __init__(
        self,
        *,
        rng: random.Random,
        same_zone_delay_ms: int = 0,
        cross_zone_delay_ms: int = 1,
    ) -> None:
        self._rng = rng
        self._same_zone_delay_ms = same_zone_delay_ms
        self._cross_zone_delay_ms = cross_zone_delay_ms
        self._cut_since_by_pair: dict[frozenset[str], int] = {}
        self.faults = MessageFaults()

    def cut(
        self,
        one: identifiers.AvailabilityZone,
        other: identifiers.AvailabilityZone,
        *,
        now_ms: int,
    ) -> None:
        """Partitions two zones, or a zone and `PLATFORM`."""
        self._cut_since_by_pair.setdefault(frozenset((one, other)), now_ms)

    def heal(self) -> None:
        """Removes all cuts."""
        self._cut_since_by_pair.clear()

    def cut_since_ms(
        self,
        one: identifiers.AvailabilityZone,
        other: identifiers.AvailabilityZone,
    ) -> int | None:
        """Returns the time at which two zones were cut off, or None."""
        return self._cut_since_by_pair.get(frozenset((one, other)))

    def is_connected(
        self,
        one: identifiers.AvailabilityZone,
        other: identifiers.AvailabilityZone,
    ) -> bool:
        """Returns whether two zones can exchange messages."""
        return self.cut_since_ms(one, other) is None

    def delay_ms(
        self,
        one: identifiers.AvailabilityZone,
        other: identifiers.AvailabilityZone,
    ) -> int:
        """Returns the one-way delay in the absence of faults."""
        if one == other:
            return self._same_zone_delay_ms
        return self._cross_zone_delay_ms

    def arrival_delays_ms(
        self,
        one: identifiers.AvailabilityZone,
        other: identifiers.AvailabilityZone,
    ) -> list[int]:
        """Returns the delay of each delivered copy; empty if all are lost."""
        if not self.is_connected(one, other):
            return []
        if self._rng.random() < self.faults.loss:
            return []
        copies = 2 if self._rng.random() < self.faults.duplication else 1
        base_ms = self.delay_ms(one, other)
        return [
            base_ms + self._rng.randint(0, self.faults.extra_delay_ms)
            for _ in range(copies)
        ]

    def __repr__(self) -> str:
        return f"VirtualNetwork(cuts={len(self._cut_since_by_pair)})"
