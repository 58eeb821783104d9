"""Simulated key-value service of the platform, with fault injection."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import random

from bambooglade.core import effects

RESPONSE_TIMEOUT_MS = 1_000
"""Time after which a request to the service times out."""


@dataclasses.dataclass(slots=True)
class ServiceFaults:
    """Faults that are injected into the service.

    Attributes:
        down: Whether the service is unreachable.
        lost_answers: Share of responses lost after the request took effect,
            from 0 to 1.
        latency_ms: Processing time of a request within the service.
    """

    down: bool = False
    lost_answers: float = 0.0
    latency_ms: int = 2


@dataclasses.dataclass(slots=True)
class StoredValue:
    """A value with the revision of its last write."""

    revision: int
    value: bytes


class VirtualService:
    """Document store with compare-and-swap and one global revision.

    Args:
        rng: Source of all randomness.
        on_write: Called with the key after each successful write.
    """

    __slots__ = (
        "_on_write",
        "_revision",
        "_rng",
        "by_key",
        "faults",
        "reads",
        "writes",
    )

    def __init__(
        self, *, rng: random.Random, on_write: Callable[[str], None]
    ) -> None:
        self._rng = rng
        self._on_write = on_write
        self._revision = 0
        self.by_key: dict[str, StoredValue] = {}
        self.faults = ServiceFaults()
        self.reads = 0
        self.writes = 0

    def read(self, request: effects.ReadDocument) -> effects.DocumentRead:
        """Returns the current value of a key."""
        self.reads += 1
        return self.current(request.key)

    def write(
        self, request: effects.WriteDocument
    ) -> effects.WriteApplied | effects.WriteConflicted:
        """Writes a key if its revision equals the expected revision."""
        self.writes += 1
        if self.current(request.key).revision != request.expected_revision:
            return effects.WriteConflicted(key=request.key)
        self._revision += 1
        self.by_key[request.key] = StoredValue(self._revision, request.value)
        self._on_write(request.key)
        return effects.WriteApplied(key=request.key, revision=self._revision)

    def current(self, key: str) -> effects.DocumentRead:
        """Returns the value of a key without counting a read."""
        stored = self.by_key.get(key)
        if stored is None:
            return effects.DocumentRead(key=key, revision=0, value=None)
        return effects.DocumentRead(
            key=key, revision=stored.revision, value=stored.value
        )

    def should_lose_response(self) -> bool:
        """Returns a random decision whether the next response is lost."""
        return self._rng.random() < self.faults.lost_answers

    def __repr__(self) -> str:
        return f"VirtualService(keys={len(self.by_key)})"
