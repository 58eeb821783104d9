"""The other instances, as registered in the store and as heard of; pure."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

PEER_LIFETIME_MS = 60_000
"""How long a peer is remembered without news; longer than usual outages."""

UNREGISTERED_MS = 5_000
"""How long a peer that is not registered is remembered since it called."""


class Peer(msgspec.Struct, frozen=True, kw_only=True):
    """Another instance.

    Attributes:
        name: Its name.
        incarnation: Distinguishes the processes that bore the name.
        host: IP number.
        port: Port of its interface for peers.
        availability_zone: Where it runs.
        link_mbps: What its network link carries, in Mbit/s; 0 if not known.
    """

    name: str
    incarnation: str
    host: str
    port: int
    availability_zone: str
    link_mbps: float = 0.0

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port."""
        return self.host, self.port


class PeerList:
    """Peers by name.

    Args:
        own_name: Name of this instance, which is left out.

    Examples:
        >>> peers = PeerList("a")
        >>> peers.mark_seen([Peer(name="b", incarnation="1", host="10.0.0.2",
        ...     port=1, availability_zone="z")], now_ms=0)
        >>> [peer.name for peer in peers.recent(now_ms=0)], peers.fleet_size(0)
        (['b'], 2)
    """

    __slots__ = ("_heard_ms_by_name", "_own_name", "_peer_by_name")

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._peer_by_name: dict[str, Peer] = {}
        self._heard_ms_by_name: dict[str, int] = {}

    def mark_seen(self, peers: Iterable[Peer], *, now_ms: int) -> None:
        """Notes that these peers are registered or have called."""
        for peer in peers:
            if peer.name != self._own_name:
                self._peer_by_name[peer.name] = peer
                self._heard_ms_by_name[peer.name] = now_ms

    def registered(self, peers: Iterable[Peer], *, now_ms: int) -> None:
        """Takes the list of all registered peers; others are forgotten."""
        listed = list(peers)
        names = {peer.name for peer in listed}
        for name, heard_ms in list(self._heard_ms_by_name.items()):
            if name not in names and now_ms - heard_ms > UNREGISTERED_MS:
                del self._heard_ms_by_name[name]
                del self._peer_by_name[name]
        self.mark_seen(listed, now_ms=now_ms)

    def recent(self, *, now_ms: int) -> list[Peer]:
        """Returns the peers that were heard of lately, sorted by name."""
        return [
            self._peer_by_name[name]
            for name in sorted(self._peer_by_name)
            if now_ms - self._heard_ms_by_name[name] <= PEER_LIFETIME_MS
        ]

    def fleet_size(self, now_ms: int) -> int:
        """Returns the number of instances, this one included."""
        return len(self.recent(now_ms=now_ms)) + 1

    def __repr__(self) -> str:
        return f"PeerList(peers={len(self._peer_by_name)})"
