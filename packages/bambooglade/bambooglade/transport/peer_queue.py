"""Bounded queues of messages, one per peer, without I/O."""

from __future__ import annotations

import collections

from bambooglade.core import effects
from bambooglade.core import identifiers

MAX_QUEUED = 2_000
"""Queued messages per peer; the oldest are dropped beyond this number."""
MAX_BATCH = 200
"""Messages per batch."""
MAX_PEERS = 1_000
"""Peers with a queue; idle queues are evicted beyond this number."""
BASE_PAUSE_MS = 100
"""Base of the exponential backoff; the first pause is twice as long."""
MAX_PAUSE_MS = 1_000


class _PeerQueue:
    """Queue of one peer, with its consecutive failures and its pause."""

    __slots__ = ("failures", "in_flight", "messages", "paused_until_ms")

    def __init__(self) -> None:
        self.messages: collections.deque[effects.Message] = collections.deque(
            maxlen=MAX_QUEUED
        )
        self.in_flight = False
        self.failures = 0
        self.paused_until_ms = 0


class PeerQueues:
    """Queues of all peers; limits each peer to one batch in flight.

    Examples:
        >>> queues = PeerQueues()
        >>> queues.put("i2", effects.Message(), now_ms=0)
        True
        >>> queues.put("i2", effects.Message(), now_ms=0)
        False
        >>> len(queues.pop_batch("i2"))
        2
    """

    __slots__ = ("_by_peer", "dropped")

    def __init__(self) -> None:
        self._by_peer: collections.OrderedDict[
            identifiers.InstanceId, _PeerQueue
        ] = collections.OrderedDict()
        self.dropped = 0

    def put(
        self,
        peer: identifiers.InstanceId,
        message: effects.Message,
        now_ms: int,
    ) -> bool:
        """Queues a message, or drops it while the peer is paused.

        Returns:
            Whether the caller has to start sending batches to this peer.
        """
        queue = self._queue(peer)
        if now_ms < queue.paused_until_ms:
            self.dropped += 1
            return False
        self.dropped += len(queue.messages) == MAX_QUEUED
        queue.messages.append(message)
        start = not queue.in_flight
        queue.in_flight = True
        return start

    def pop_batch(self, peer: identifiers.InstanceId) -> list[effects.Message]:
        """Removes and returns the next batch.

        With an empty batch the caller has to stop sending to this peer.
        """
        queue = self._queue(peer)
        count = min(MAX_BATCH, len(queue.messages))
        batch = [queue.messages.popleft() for _ in range(count)]
        queue.in_flight = bool(batch)
        return batch

    def record_outcome(
        self, peer: identifiers.InstanceId, *, delivered: bool, now_ms: int
    ) -> None:
        """Records the outcome of a batch.

        After a failure all queued messages of the peer are dropped, and the
        peer is paused.
        """
        queue = self._queue(peer)
        if delivered:
            queue.failures = 0
            return
        queue.failures += 1
        queue.in_flight = False
        pause_ms = BASE_PAUSE_MS * 2 ** min(queue.failures, 10)
        queue.paused_until_ms = now_ms + min(MAX_PAUSE_MS, pause_ms)
        self.dropped += len(queue.messages)
        queue.messages.clear()

    def _queue(self, peer: identifiers.InstanceId) -> _PeerQueue:
        queue = self._by_peer.setdefault(peer, _PeerQueue())
        self._by_peer.move_to_end(peer)
        if len(self._by_peer) > MAX_PEERS:
            self._evict()
        return queue

    def _evict(self) -> None:
        idle = [
            peer for peer, queue in self._by_peer.items() if not queue.in_flight
        ]
        for peer in idle[: MAX_PEERS // 10]:
            del self._by_peer[peer]

    def __repr__(self) -> str:
        queued = sum(len(each.messages) for each in self._by_peer.values())
        return f"PeerQueues(peers={len(self._by_peer)}, queued={queued})"
