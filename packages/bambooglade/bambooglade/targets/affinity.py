"""Which target has which prompt prefixes in its cache, as far as known."""

from __future__ import annotations

import collections
from collections.abc import Sequence

import msgspec

from bambooglade.core import hashing
from bambooglade.core import identifiers

BLOCK_CHARS = 64
"""Length of the blocks that prefixes are cached by, in characters."""

MAX_BLOCKS = 16_384
"""Blocks that are remembered, over all targets."""

ENTRY_TTL_MS = 120_000
"""Time after which an entry without news is forgotten; events get lost."""


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A target stored or evicted a block; `seq` has gaps."""

    seq: int
    stored: bool
    block: str


def block_hashes(prompt: str) -> list[str]:
    """Returns the chained hashes of the whole blocks of a prompt.

    Examples:
        >>> a, b = block_hashes("x" * 128), block_hashes("x" * 128 + "tail")
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


class PrefixIndex:
    """Estimates how much of a prompt a target has cached.

    Own dispatches are entered at once, ahead of the late events; an eviction
    that was lost is covered by the lifetime of the entries.

    Args:
        max_blocks: Entries that are remembered.
        lifetime_ms: Time after which an entry is forgotten.

    Examples:
        >>> index = PrefixIndex()
        >>> index.record_dispatch("e1", ["b1", "b2"], now_ms=0)
        >>> index.cached_blocks("e1", ["b1", "b2", "b3"], now_ms=10)
        2
    """

    __slots__ = ("_entered_ms", "_last_seq", "_lifetime_ms", "_max_blocks")

    def __init__(
        self,
        *,
        max_blocks: int = MAX_BLOCKS,
        lifetime_ms: int = ENTRY_TTL_MS,
    ) -> None:
        self._max_blocks = max_blocks
        self._lifetime_ms = lifetime_ms
        self._last_seq: dict[identifiers.TargetId, int] = {}
        self._entered_ms: collections.OrderedDict[
            tuple[identifiers.TargetId, str], int
        ] = collections.OrderedDict()

    def record_dispatch(
        self,
        target_id: identifiers.TargetId,
        blocks: Sequence[str],
        now_ms: int,
    ) -> None:
        """Enters the blocks of a prompt that was sent to the target."""
        for block in blocks:
            self._enter(target_id, block, now_ms)

    def apply_events(
        self,
        target_id: identifiers.TargetId,
        events: Sequence[CacheEvent],
        now_ms: int,
    ) -> None:
        """Takes events of a target; those that were seen are skipped.

        A sequence that starts anew means a restart with an empty cache.
        """
        last = self._last_seq.get(target_id, 0)
        if events and events[-1].seq < last:
            self.remove_target(target_id)
            last = 0
        for event in events:
            if event.seq <= last:
                continue
            last = event.seq
            if event.stored:
                self._enter(target_id, event.block, now_ms)
            else:
                self._entered_ms.pop((target_id, event.block), None)
        self._last_seq[target_id] = last

    def last_seq(self, target_id: identifiers.TargetId) -> int:
        """Returns the number of the last event that was seen."""
        return self._last_seq.get(target_id, 0)

    def cached_blocks(
        self,
        target_id: identifiers.TargetId,
        blocks: Sequence[str],
        now_ms: int,
    ) -> int:
        """Returns how many leading blocks the target has, as far as known."""
        oldest_ms = now_ms - self._lifetime_ms
        count = 0
        for block in blocks:
            entered_ms = self._entered_ms.get((target_id, block))
            if entered_ms is None or entered_ms < oldest_ms:
                break
            count += 1
        return count

    def remove_target(self, target_id: identifiers.TargetId) -> None:
        """Drops all entries of a target, for instance after a restart."""
        for key in [key for key in self._entered_ms if key[0] == target_id]:
            del self._entered_ms[key]
        self._last_seq.pop(target_id, None)

    def _enter(
        self, target_id: identifiers.TargetId, block: str, now_ms: int
    ) -> None:
        key = (target_id, block)
        self._entered_ms[key] = now_ms
        self._entered_ms.move_to_end(key)
        if len(self._entered_ms) > self._max_blocks:
            self._entered_ms.popitem(last=False)

    def __repr__(self) -> str:
        return f"PrefixIndex(blocks={len(self._entered_ms)})"
