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

BUSY_HOLD_MS = 1_000
"""How long the link counts as busy after its last such wait.

Connection attempts that fail within it began while it was full.
"""

_BYTES_PER_MS_PER_MBPS = 125


class LinkBudget:
    """Estimates how long sent bytes wait for the link of an instance.

    Args:
        link_mbps: Capacity of the link in Mbit/s; 0 if it is unknown, which
            means that no request ever waits.

    Examples:
        >>> link = LinkBudget(8.0)
        >>> link.record_sent(89_934, now_ms=0)
        >>> link.wait_ms(now_ms=0), link.wait_ms(now_ms=40)
        (100, 60)
        >>> link.may_admit(max_wait_ms=50, now_ms=40)
        False
    """

    __slots__ = (
        "_busy_until_ms",
        "_bytes_per_ms",
        "_queued_bytes",
        "_updated_at_ms",
    )

    def __init__(self, link_mbps: float = 0.0) -> None:
        self._bytes_per_ms = (
            link_mbps * _BYTES_PER_MS_PER_MBPS * USABLE_FRACTION
        )
        self._queued_bytes = 0.0
        self._updated_at_ms = 0
        self._busy_until_ms = 0

    def record_sent(self, size_bytes: int, *, now_ms: int) -> None:
        """Records bytes that the system took over for sending."""
        if not self._bytes_per_ms:
            return
        self._drain(now_ms)
        self._queued_bytes += size_bytes + PACKET_OVERHEAD_BYTES
        if self._queued_bytes >= BUSY_WAIT_MS * self._bytes_per_ms:
            self._busy_until_ms = now_ms + BUSY_HOLD_MS

    def _drain(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._updated_at_ms)
        self._updated_at_ms = max(now_ms, self._updated_at_ms)
        self._queued_bytes = max(
            0.0, self._queued_bytes - elapsed_ms * self._bytes_per_ms
        )

    def wait_ms(self, now_ms: int) -> int:
        """Returns how long a byte that is sent now waits for the link."""
        if not self._bytes_per_ms:
            return 0
        self._drain(now_ms)
        return round(self._queued_bytes / self._bytes_per_ms)

    def may_admit(self, *, max_wait_ms: float, now_ms: int) -> bool:
        """Returns whether a request would not wait for longer than it may."""
        return self.wait_ms(now_ms) <= max_wait_ms

    def is_busy(self, now_ms: int) -> bool:
        """Returns whether the link was full a moment ago.

        Connections that open slowly, or not at all, then say nothing about
        targets and peers.
        """
        return now_ms < self._busy_until_ms

    def __repr__(self) -> str:
        return f"LinkBudget(queued_bytes={self._queued_bytes:.0f})"


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
