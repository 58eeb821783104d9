"""Prefix cache with limited memory, whose events come late and with gaps."""

from __future__ import annotations

import collections
from collections.abc import Sequence
import itertools
import random
import threading

import msgspec

from bambooglade.targets import affinity


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A block was stored or evicted; `seq` has gaps when events are lost."""

    seq: int
    stored: bool
    block: str
    visible_at_ms: int


class CacheEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of the events end point; `next_after` continues it."""

    events: tuple[CacheEvent, ...]
    next_after: int


class PrefixCache:
    """Least recently used blocks, and the events about them.

    Args:
        capacity_blocks: Blocks that fit.
        event_delay_ms: How late an event becomes visible.
        event_loss: Share of events that are lost, from 0 to 1.
        seed: Seed of the losses.
    """

    __slots__ = (
        "_blocks",
        "_capacity_blocks",
        "_event_delay_ms",
        "_event_loss",
        "_events",
        "_lock",
        "_random",
        "_seq",
    )

    def __init__(
        self,
        *,
        capacity_blocks: int = 512,
        event_delay_ms: int = 200,
        event_loss: float = 0.05,
        seed: int = 0,
    ) -> None:
        self._capacity_blocks = capacity_blocks
        self._event_delay_ms = event_delay_ms
        self._event_loss = event_loss
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=4_096
        )
        self._seq = 0

    def use(self, prompt: str, now_ms: int) -> int:
        """Stores a prompt's blocks; returns how many were there in a row."""
        return self.use_blocks(affinity.block_hashes(prompt), now_ms)

    def use_blocks(self, blocks: Sequence[str], now_ms: int) -> int:
        """Stores the blocks; returns how many were there in a row."""
        with self._lock:
            hits = self._leading_hits(blocks)
            for block in blocks:
                if block not in self._blocks:
                    self._publish(True, block, now_ms)
                self._blocks[block] = None
                self._blocks.move_to_end(block)
            while len(self._blocks) > self._capacity_blocks:
                evicted, _ = self._blocks.popitem(last=False)
                self._publish(False, evicted, now_ms)
        return hits

    def events(self, *, after: int, now_ms: int) -> CacheEvents:
        """Returns the events that are visible by now."""
        with self._lock:
            newer = itertools.takewhile(
                lambda event: event.seq > after, reversed(self._events)
            )
            visible = [e for e in newer if e.visible_at_ms <= now_ms]
        visible.reverse()
        last = visible[-1].seq if visible else after
        return CacheEvents(events=tuple(visible), next_after=last)

    def _leading_hits(self, blocks: Sequence[str]) -> int:
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            hits += 1
        return hits

    def _publish(self, stored: bool, block: str, now_ms: int) -> None:
        self._seq += 1
        if self._random.random() < self._event_loss:
            return
        self._events.append(
            CacheEvent(
                seq=self._seq,
                stored=stored,
                block=block,
                visible_at_ms=now_ms + self._event_delay_ms,
            )
        )

    def __repr__(self) -> str:
        return f"PrefixCache(blocks={len(self._blocks)})"
