"""Bounds the bytes from outside that a process holds at a time; no I/O.

Each message has a limit of its own. Many of them at a time would still fill the
memory of the process, and end it with the requests of all others. The messages
that are being received therefore share a budget. When it is used up, the
longest of them is given up, or one at least half as long that has not changed
for a second.

Shares are grouped by size, so that giving one up takes the same time with
thousands of connections as with a few.
"""

from __future__ import annotations

from collections.abc import Callable

DEFAULT_LIMIT_BYTES = 50_331_648
"""Bytes of a process that does not know the memory of its machine."""

RESERVED_MB = 50
"""Memory that an idle process takes, with its state of a large fleet."""

MEMORY_FRACTION = 0.18
"""Part of the other memory of the machine.

Messages are copied as they pass through, and memory that was given back has
gaps.
"""

MIN_LIMIT_BYTES = 4_194_304 + 65_536
"""Least limit: the longest body and its head."""

STALLED_MS = 1_000
"""Time without a change after which a message counts as stalled."""

MIN_STALLED_FRACTION = 0.5
"""Part of the longest message that a stalled one needs to be given up first.
"""

_BUCKET_BITS = 4
"""Leading bits that tell sizes apart: neighbouring groups differ by an eighth.
"""

MAX_KEPT_FRACTION = 0.5
"""Part of the budget that complete requests may take; the rest is for what is
received while they are served.
"""

SMALL_BYTES = 32_768
"""Memory of a request that counts as small; most requests are smaller."""

MAX_KEPT_FRACTION_OF_SMALL = 0.75
"""The same as `MAX_KEPT_FRACTION` for a request that is small.

So long requests that wait for their targets do not shut out the others.
"""

_BYTES_PER_MB = 1_000_000


class ByteBudget:
    """Bytes that the messages of a process may take at a time.

    Args:
        limit_bytes: Most bytes of all messages.
        now_ms: Returns the current time; without it, no message is stalled.

    Attributes:
        given_up_count: Number of messages that were given up.
        held_bytes: Bytes that are held now.
        kept_bytes: Those of them that are not given up.
        limit_bytes: Most bytes of all messages.
        refused_count: Number of complete messages without room.

    Examples:
        >>> budget = ByteBudget(100)
        >>> long, short = budget.open(lambda: None), budget.open(lambda: None)
        >>> long.resize(90), short.resize(10)
        (True, True)
        >>> short.resize(20), long.is_discarded
        (True, True)
        >>> budget.held_bytes
        20
    """

    __slots__ = (
        "_now_ms",
        "_shares_by_bucket",
        "given_up_count",
        "held_bytes",
        "kept_bytes",
        "limit_bytes",
        "refused_count",
    )

    def __init__(
        self,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        *,
        now_ms: Callable[[], int] = lambda: 0,
    ) -> None:
        # The shares of a bucket are in the order of their last change. Empty
        # buckets stay; there are fewer than 300.
        self._shares_by_bucket: dict[int, dict[Share, None]] = {}
        self._now_ms = now_ms
        self.given_up_count = 0
        self.refused_count = 0
        self.held_bytes = 0
        self.kept_bytes = 0
        self.limit_bytes = limit_bytes

    def set_memory(self, memory_mb: float) -> None:
        """Sets the limit to a part of the memory of the machine."""
        self.limit_bytes = limit_bytes_of(memory_mb)

    def open(self, discard: Callable[[], None]) -> Share:
        """Returns the share of a message that holds no bytes yet.

        Args:
            discard: Called when the message has to be given up, possibly while
                another one is received. It lets go of the bytes, and schedules
                what follows.
        """
        return Share(self, discard)

    def apply(self, share: Share, held_bytes: int) -> None:
        """Changes the size of a share, and gives up others to make room.

        Shares that are kept are not given up.
        """
        self.held_bytes += held_bytes - share.held_bytes
        if share.is_kept:
            self.kept_bytes += held_bytes - share.held_bytes
        share.held_bytes = held_bytes
        if share.bucket is not None:
            share.bucket.pop(share, None)
            share.bucket = None
        if held_bytes and not share.is_kept:
            number = _bucket_number(held_bytes)
            bucket = self._shares_by_bucket.get(number)
            if bucket is None:
                bucket = self._shares_by_bucket[number] = {}
            bucket[share] = None
            share.bucket = bucket
            share.changed_at_ms = self._now_ms()
        while self.held_bytes > self.limit_bytes:
            victim = self._find_victim()
            if victim is None:
                return
            self.given_up_count += 1
            victim.give_up()

    def _find_victim(self) -> Share | None:
        """Returns the share to give up; None if all are kept."""
        longest: Share | None = None
        stalled_since_ms = self._now_ms() - STALLED_MS
        for number in sorted(self._shares_by_bucket, reverse=True):
            bucket = self._shares_by_bucket[number]
            if not bucket:
                continue
            oldest = next(iter(bucket))
            if longest is None:
                longest = oldest
            if oldest.held_bytes < MIN_STALLED_FRACTION * longest.held_bytes:
                break
            if oldest.changed_at_ms < stalled_since_ms:
                return oldest
        return longest

    def __repr__(self) -> str:
        return f"ByteBudget(held={self.held_bytes}, limit={self.limit_bytes})"


class Share:
    """What one message takes of a budget.

    Attributes:
        bucket: Shares of about the same size, if it is one of them.
        changed_at_ms: Time at which it was put there.
        held_bytes: Bytes that it holds.
        is_discarded: Whether it was given up.
        is_kept: Whether it is complete and in use, so that it is not given up.
    """

    __slots__ = (
        "_budget",
        "_discard",
        "bucket",
        "changed_at_ms",
        "held_bytes",
        "is_discarded",
        "is_kept",
    )

    def __init__(self, budget: ByteBudget, discard: Callable[[], None]) -> None:
        self._budget = budget
        self._discard: Callable[[], None] | None = discard
        self.bucket: dict[Share, None] | None = None
        self.changed_at_ms = 0
        self.held_bytes = 0
        self.is_discarded = False
        self.is_kept = False

    def resize(self, held_bytes: int) -> bool:
        """Records how many bytes the message holds now.

        Returns:
            Whether it may go on; False once it was given up, or is closed.
        """
        if self._discard is not None and held_bytes != self.held_bytes:
            self._budget.apply(self, held_bytes)
        return self._discard is not None

    def try_keep(self, held_bytes: int | None = None) -> bool:
        """Records that the message is complete and in use.

        There is always room for one, so that no limit of the memory refuses a
        message that its own limit allows.

        Args:
            held_bytes: Bytes that it holds; by default those recorded before.

        Returns:
            Whether there is room for it until it is released.
        """
        budget = self._budget
        if held_bytes is None:
            held_bytes = self.held_bytes
        kept_bytes = budget.kept_bytes + held_bytes
        fraction = (
            MAX_KEPT_FRACTION_OF_SMALL
            if held_bytes <= SMALL_BYTES
            else MAX_KEPT_FRACTION
        )
        if budget.kept_bytes and kept_bytes > fraction * budget.limit_bytes:
            budget.refused_count += 1
            return False
        budget.kept_bytes += self.held_bytes
        self.is_kept = True
        budget.apply(self, held_bytes)
        return True

    def release(self) -> None:
        """Records that the message is in use no more, and holds nothing."""
        self._budget.apply(self, 0)
        self.is_kept = False

    def give_up(self) -> None:
        """Lets go of the bytes, and tells the owner of the message."""
        discard = self._discard
        self.is_discarded = True
        self.close()
        if discard is not None:
            discard()

    def close(self) -> None:
        """Ends the share of a message that is complete or not kept."""
        self._discard = None
        if self.held_bytes:
            self._budget.apply(self, 0)

    def __repr__(self) -> str:
        return f"Share(held={self.held_bytes})"


def limit_bytes_of(memory_mb: float) -> int:
    """Returns the limit of a process with this memory.

    Examples:
        >>> limit_bytes_of(300)
        45000000
    """
    free_bytes = (memory_mb - RESERVED_MB) * _BYTES_PER_MB
    return max(MIN_LIMIT_BYTES, round(MEMORY_FRACTION * free_bytes))


def _bucket_number(size_bytes: int) -> int:
    """Returns a number that grows with the size, by its leading bits.

    Examples:
        >>> [_bucket_number(size) for size in (7, 50, 60, 4_000_000)]
        [7, 44, 47, 303]
    """
    dropped_bits = max(0, size_bytes.bit_length() - _BUCKET_BITS)
    return (dropped_bits << _BUCKET_BITS) + (size_bytes >> dropped_bits)
