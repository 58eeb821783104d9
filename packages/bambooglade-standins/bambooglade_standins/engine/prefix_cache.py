"""Prefix cache with limited memory, whose events come late and with gaps."""

from __future__ import annotations

import collections
import random
import threading

import msgspec

from bambooglade.core import hashing

BLOCK_CHARS = 64
"""Length of the blocks that prefixes are cached by, in characters."""


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


def blocks_of(prompt: str) -> list[str]:
    """Returns the chained hashes of the whole blocks of a prompt.

    Examples:
        >>> a, b = blocks_of("x" * 128), blocks_of("x" * 128 + "tail")
        >>> a == b
        True
    """
    chain = ""
    blocks = []
    for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
        block = prompt[end - BLOCK_CHARS : end]
        chain = f"{hashing.stable_hash(chain + block):016x}"
        blocks.append(chain)
    return blocks


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
        blocks = blocks_of(prompt)
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
            visible = tuple(
                event
                for event in self._events
                if event.seq > after and event.visible_at_ms <= now_ms
            )
        last = visible[-1].seq if visible else after
        return CacheEvents(events=visible, next_after=last)

    def _leading_hits(self, blocks: list[str]) -> int:
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
