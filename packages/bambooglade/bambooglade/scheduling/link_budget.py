"""Admits requests while this instance's network link has room; without I/O.

A load balancer that selects instances by a hash of the caller sends all the
requests of a large caller to one instance, even if its link carries only a few
Mbit/s, while other instances are idle. Every byte of a request leaves that link
once more on the way to a target. If more is sent than the link carries,
connections time out, requests are repeated, and nothing is served. So what the
link is still sending is estimated, and requests that would wait for it for too
long are rejected at once; the caller's retry reaches another instance.

See Also:
    bambooglade.gateway.congestion: notices a full link by slow connections,
        which is too late to keep it usable.
"""

from __future__ import annotations

PACKET_OVERHEAD_BYTES = 66
"""Ethernet, IP and TCP headers of a packet; most events are a packet each."""

USABLE_FRACTION = 0.9
"""Part of the link's capacity that is counted on.

Acknowledgements and new connections take the rest.
"""

MAX_WAIT_FRACTION = 0.5
"""Part of a target latency that a request may wait for the link."""

BUSY_WAIT_MS = 60
"""Wait from which slow connections are explained by the own link."""

OVERLOAD_WAIT_MS = 150
"""Wait from which the instance should not get new callers."""

BUSY_HOLD_MS = 1_000
"""How long the link counts as busy after its last such wait.

Connection attempts that fail within it began while it was full.
"""

_BYTES_PER_MS_PER_MBPS = 125


class LinkBudget:
    """Estimates how long bytes wait for the link of an instance.

    Both directions count. What waits to be received can't be seen here, but a
    link that receives more than the usable part of its capacity for some time
    is full.

    Args:
        link_mbps: Capacity of the link in Mbit/s in each direction; 0 if it is
            unknown, which means that no request ever waits.

    Examples:
        >>> link = LinkBudget(8.0)
        >>> link.record_sent(89_934, now_ms=0)
        >>> link.wait_ms(now_ms=0), link.wait_ms(now_ms=40)
        (100, 60)
        >>> link.may_admit(max_wait_ms=50, now_ms=40)
        False
    """

    __slots__ = ("_busy_until_ms", "_bytes_per_ms", "_received", "_sent")

    def __init__(self, link_mbps: float = 0.0) -> None:
        self._bytes_per_ms = (
            link_mbps * _BYTES_PER_MS_PER_MBPS * USABLE_FRACTION
        )
        self._sent = _Direction()
        self._received = _Direction()
        self._busy_until_ms = 0

    def record_sent(self, size_bytes: int, *, now_ms: int) -> None:
        """Records bytes that the system took over for sending."""
        self._record(self._sent, size_bytes, now_ms)

    def record_received(self, size_bytes: int, *, now_ms: int) -> None:
        """Records bytes that have arrived."""
        self._record(self._received, size_bytes, now_ms)

    def _record(
        self, direction: _Direction, size_bytes: int, now_ms: int
    ) -> None:
        if not self._bytes_per_ms:
            return
        direction.drain(self._bytes_per_ms, now_ms)
        direction.queued_bytes += size_bytes + PACKET_OVERHEAD_BYTES
        if direction.queued_bytes >= BUSY_WAIT_MS * self._bytes_per_ms:
            self._busy_until_ms = now_ms + BUSY_HOLD_MS

    def wait_ms(self, now_ms: int) -> int:
        """Returns how long a byte waits for the link now."""
        return self._wait_ms(now_ms, arrived_bytes=0)

    def _wait_ms(self, now_ms: int, *, arrived_bytes: int) -> int:
        if not self._bytes_per_ms:
            return 0
        for direction in (self._sent, self._received):
            direction.drain(self._bytes_per_ms, now_ms)
        longest = max(
            self._sent.queued_bytes,
            self._received.queued_bytes - arrived_bytes,
        )
        return round(longest / self._bytes_per_ms)

    def may_admit(
        self, *, max_wait_ms: float, now_ms: int, body_bytes: int = 0
    ) -> bool:
        """Returns whether a request would not wait for longer than it may.

        Its own body has arrived and does not count: a large body that arrives
        at the full speed of a small link is above the usable part for so long
        that every such instance would reject it, however idle.

        Args:
            max_wait_ms: Longest time for which it may wait.
            now_ms: Current time.
            body_bytes: Size of its body.
        """
        return self._wait_ms(now_ms, arrived_bytes=body_bytes) <= max_wait_ms

    def is_overloaded(self, now_ms: int) -> bool:
        """Returns whether so much waits that most requests come too late."""
        return self.wait_ms(now_ms) >= OVERLOAD_WAIT_MS

    def is_busy(self, now_ms: int) -> bool:
        """Returns whether the link was full a moment ago.

        Connections that open slowly, or not at all, then say nothing about
        targets and peers.
        """
        return now_ms < self._busy_until_ms

    def __repr__(self) -> str:
        return f"LinkBudget(sent={self._sent!r}, received={self._received!r})"


class _Direction:
    """Bytes of one direction beyond what the link has carried so far."""

    __slots__ = ("_updated_at_ms", "queued_bytes")

    def __init__(self) -> None:
        self._updated_at_ms = 0
        self.queued_bytes = 0.0

    def drain(self, bytes_per_ms: float, now_ms: int) -> None:
        """Removes what the link has carried since the last call."""
        elapsed_ms = max(0, now_ms - self._updated_at_ms)
        self._updated_at_ms += elapsed_ms
        self.queued_bytes = max(
            0.0, self.queued_bytes - elapsed_ms * bytes_per_ms
        )

    def __repr__(self) -> str:
        return f"_Direction(queued_bytes={self.queued_bytes:.0f})"


def max_wait_ms(*, rank: int, target_latency_ms: int) -> float:
    """Returns how long a request may wait for the link before it is rejected.

    Less urgent requests are rejected first, so that the link is left to more
    urgent ones.

    Args:
        rank: Rank of its route among those of its service; 0 is the most
            urgent.
        target_latency_ms: Shortest target latency among the routes of its
            service that are at least as urgent.

    Examples:
        >>> [max_wait_ms(rank=r, target_latency_ms=400) for r in (0, 1, 3)]
        [200.0, 100.0, 50.0]
    """
    return MAX_WAIT_FRACTION * target_latency_ms / (1 + rank)
