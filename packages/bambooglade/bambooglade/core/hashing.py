"""Stable hashing: mapping of keys to shards, and rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable
import hashlib
from typing import TypeVar

from bambooglade.core import identifiers

_DIGEST_BYTES = 8

Node = TypeVar("Node", bound=str)


def stable_hash(text: str) -> int:
    """Returns a 64-bit hash that does not differ between processes.

    Examples:
        >>> stable_hash("a") == stable_hash("a")
        True
    """
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def shard_of(key: str, *, shard_count: int) -> identifiers.ShardId:
    """Returns the shard of a budget id or a request key.

    Args:
        key: The budget id or request key.
        shard_count: Number of shards of the deployment; 1 or more.

    Examples:
        >>> 0 <= shard_of("team-1", shard_count=64) < 64
        True
    """
    return identifiers.ShardId(stable_hash(key) % shard_count)


def rendezvous(key: str, nodes: Iterable[Node]) -> list[Node]:
    """Returns the nodes ranked for a key by rendezvous hashing.

    The node with the lowest hash ranks first. A node that joins or leaves
    changes the first node of only those keys for which it ranks first itself.

    Examples:
        >>> order = rendezvous("shard-1", ["a", "b", "c"])
        >>> [node for node in order if node != "a"] == rendezvous(
        ...     "shard-1", ["b", "c"])
        True
    """
    return sorted(nodes, key=lambda node: (stable_hash(f"{key}/{node}"), node))
