"""Estimates which prompt prefixes each target holds in its cache."""

from __future__ import annotations

import collections
from collections.abc import Sequence

import msgspec

from bambooglade.core import hashing
from bambooglade.core import identifiers

BLOCK_CHARS = 64
"""Length of a block of a prompt, the unit of prefix caching, in characters."""

MAX_BLOCKS = 16_384
"""Maximum number of blocks in the index, over all targets."""

ENTRY_TTL_MS = 120_000
"""Age at which an entry expires unless it is renewed.

Eviction events can be lost, so entries without an expiry could stay forever.
"""


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A target stored or evicted a block.

    Attributes:
        seq: Sequence number at the target; grows, but may have gaps.
        stored: True if the block was stored, False if it was evicted.
        block: Chained hash of the block; see `block_hashes`.
    """

    seq: int
    stored: bool
    block: str


def block_hashes(prompt: str) -> list[str]:
    """Returns the chained hashes of the complete blocks of a prompt.

    Each hash covers the prompt from its start, so equal hashes mean equal
    prefixes. A shorter block at the end is ignored.

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
    """Estimates how much of a prompt each target has cached.

    Blocks of requests that this instance dispatches are inserted immediately,
    because the cache events of the targets arrive late. Entries expire, which
    bounds the effect of a lost eviction event.

    Args:
        max_blocks: Maximum number of entries; the least recently stored ones
            are evicted first.
        ttl_ms: Age at which an entry expires.

    Examples:
        >>> index = PrefixIndex()
        >>> index.record_dispatch("e1", ["b1", "b2"], now_ms=0)
        >>> index.cached_blocks("e1", ["b1", "b2", "b3"], now_ms=10)
        2
    """

    __slots__ = ("_last_seq", "_max_blocks", "_stored_ms", "_ttl_ms")

    def __init__(
        self,
        *,
        max_blocks: int = MAX_BLOCKS,
        ttl_ms: int = ENTRY_TTL_MS,
    ) -> None:
        self._max_blocks = max_blocks
        self._ttl_ms = ttl_ms
        self._last_seq: dict[identifiers.TargetId, int] = {}
        self._stored_ms: collections.OrderedDict[
            tuple[identifiers.TargetId, str], int
        ] = collections.OrderedDict()

    def record_dispatch(
        self,
        target_id: identifiers.TargetId,
        blocks: Sequence[str],
        now_ms: int,
    ) -> None:
        """Inserts the blocks of a prompt that was sent to the target."""
        for block in blocks:
            self._insert(target_id, block, now_ms)

    def apply_events(
        self,
        target_id: identifiers.TargetId,
        events: Sequence[CacheEvent],
        now_ms: int,
    ) -> None:
        """Applies cache events of a target; those already applied are skipped.

        Sequence numbers that start over mean that the target restarted with an
        empty cache, so its entries are removed first.
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
                self._insert(target_id, event.block, now_ms)
            else:
                self._stored_ms.pop((target_id, event.block), None)
        self._last_seq[target_id] = last

    def last_seq(self, target_id: identifiers.TargetId) -> int:
        """Returns the sequence number of the last applied event, or 0."""
        return self._last_seq.get(target_id, 0)

    def cached_blocks(
        self,
        target_id: identifiers.TargetId,
        blocks: Sequence[str],
        now_ms: int,
    ) -> int:
        """Returns the estimated number of leading blocks that are cached."""
        oldest_ms = now_ms - self._ttl_ms
        count = 0
        for block in blocks:
            stored_ms = self._stored_ms.get((target_id, block))
            if stored_ms is None or stored_ms < oldest_ms:
                break
            count += 1
        return count

    def remove_target(self, target_id: identifiers.TargetId) -> None:
        """Removes all entries of a target, for instance after a restart."""
        for key in [key for key in self._stored_ms if key[0] == target_id]:
            del self._stored_ms[key]
        self._last_seq.pop(target_id, None)

    def _insert(
        self, target_id: identifiers.TargetId, block: str, now_ms: int
    ) -> None:
        key = (target_id, block)
        self._stored_ms[key] = now_ms
        self._stored_ms.move_to_end(key)
        if len(self._stored_ms) > self._max_blocks:
            self._stored_ms.popitem(last=False)

    def __repr__(self) -> str:
        return f"PrefixIndex(blocks={len(self._stored_ms)})"
