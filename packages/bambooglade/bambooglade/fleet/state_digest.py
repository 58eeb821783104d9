"""Incrementally updated digests of a set of versioned items."""

from __future__ import annotations

import array
from collections.abc import Iterator
import sys

from bambooglade.core import hashing

BUCKET_COUNT = 256
_DIGEST_MASK = 0xFFFF_FFFF


class StateDigest:
    """One digest per bucket; equal contents have equal digests.

    Items are assigned to buckets by the hash of their key. The digest of a
    bucket is the exclusive or of the hashes of its items, so that replacing an
    item does not require the other items.

    Examples:
        >>> left, right = StateDigest(), StateDigest()
        >>> left.set("i1", "alive")
        >>> left.root == right.root
        False
        >>> right.set("i1", "alive")
        >>> left.root == right.root
        True
    """

    __slots__ = ("_digest_by_bucket", "_hash_by_key", "_root")

    def __init__(self) -> None:
        self._digest_by_bucket = array.array("I", [0] * BUCKET_COUNT)
        self._hash_by_key: dict[str, int] = {}
        self._root = 0

    @property
    def root(self) -> int:
        """Digest of all items."""
        return self._root

    def set(self, key: str, version: str) -> None:
        """Adds an item or replaces its version."""
        digest = hashing.stable_hash(f"{key}={version}") & _DIGEST_MASK
        self._update_digests(key, self._hash_by_key.get(key, 0) ^ digest)
        self._hash_by_key[key] = digest

    def remove(self, key: str) -> None:
        """Removes an item if it is present."""
        self._update_digests(key, self._hash_by_key.pop(key, 0))

    def encode(self) -> bytes:
        """Returns the digests of all buckets, as big-endian 32-bit numbers."""
        digests = array.array("I", self._digest_by_bucket)
        if sys.byteorder == "little":
            digests.byteswap()
        return digests.tobytes()

    def differing_buckets(self, encoded: bytes) -> Iterator[int]:
        """Yields the buckets whose digests differ from the encoded ones.

        Yields nothing if `encoded` has a different number of buckets.
        """
        other_digests = array.array("I")
        if len(encoded) != BUCKET_COUNT * other_digests.itemsize:
            return
        other_digests.frombytes(encoded)
        if sys.byteorder == "little":
            other_digests.byteswap()
        for bucket, (own_digest, other_digest) in enumerate(
            zip(self._digest_by_bucket, other_digests, strict=True)
        ):
            if own_digest != other_digest:
                yield bucket

    def _update_digests(self, key: str, difference: int) -> None:
        self._digest_by_bucket[bucket_of(key)] ^= difference
        self._root ^= difference

    def __repr__(self) -> str:
        return f"StateDigest(items={len(self._hash_by_key)}, root={self._root})"


def bucket_of(key: str) -> int:
    """Returns the bucket of an item."""
    return hashing.shard_of(key, shard_count=BUCKET_COUNT)
