"""Digests over a set of versioned items, kept up to date item by item."""

from __future__ import annotations

import array
from collections.abc import Iterator
import sys

from bambooglade.core import hashing

BUCKET_COUNT = 256
_DIGEST_MASK = 0xFFFF_FFFF


class StateDigest:
    """One digest a bucket; equal contents give equal digests.

    Items are spread over the buckets by their key. The digest of a bucket is
    the exclusive or of the hashes of its items, so that an item is replaced
    without looking at the others.

    Examples:
        >>> left, right = StateDigest(), StateDigest()
        >>> left.set("i1", "alive")
        >>> left.root == right.root
        False
        >>> right.set("i1", "alive")
        >>> left.root == right.root
        True
    """

    __slots__ = ("_by_bucket", "_hash_by_key", "_root")

    def __init__(self) -> None:
        self._by_bucket = array.array("I", [0] * BUCKET_COUNT)
        self._hash_by_key: dict[str, int] = {}
        self._root = 0

    @property
    def root(self) -> int:
        """Digest of all items."""
        return self._root

    def set(self, key: str, version: str) -> None:
        """Sets the version of an item."""
        digest = hashing.stable_hash(f"{key}={version}") & _DIGEST_MASK
        self._apply(key, self._hash_by_key.get(key, 0) ^ digest)
        self._hash_by_key[key] = digest

    def remove(self, key: str) -> None:
        """Removes an item, if there is one."""
        self._apply(key, self._hash_by_key.pop(key, 0))

    def encode(self) -> bytes:
        """Returns the digests of all buckets."""
        digests = array.array("I", self._by_bucket)
        if sys.byteorder == "little":
            digests.byteswap()
        return digests.tobytes()

    def differing_buckets(self, encoded: bytes) -> Iterator[int]:
        """Yields the buckets that differ from another's digests."""
        others = array.array("I")
        if len(encoded) != BUCKET_COUNT * others.itemsize:
            return
        others.frombytes(encoded)
        if sys.byteorder == "little":
            others.byteswap()
        for bucket, (own, other) in enumerate(
            zip(self._by_bucket, others, strict=True)
        ):
            if own != other:
                yield bucket

    def _apply(self, key: str, difference: int) -> None:
        self._by_bucket[bucket_of(key)] ^= difference
        self._root ^= difference

    def __repr__(self) -> str:
        return f"StateDigest(items={len(self._hash_by_key)}, root={self._root})"


def bucket_of(key: str) -> int:
    """Returns the bucket that an item lies in."""
    return hashing.shard_of(key, shard_count=BUCKET_COUNT)
