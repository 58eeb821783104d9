"""The other instances of the fleet, registered in the store or seen directly.

This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
import itertools

import msgspec

from bambooglade.core import hashing

PEER_TTL_MS = 60_000
"""Time for which a peer is kept after it was last seen.

It is longer than usual outages of the store.
"""

UNREGISTERED_PEER_TTL_MS = 5_000
"""Time for which a peer that is not registered is kept after its last call."""

MAX_READ_GAP_MS = 30_000
"""Time between two reads of the registered peers from which an outage of the
store may lie between them."""


class Peer(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of an instance, as registered in the store and sent to peers.

    Attributes:
        name: Name of the instance.
        incarnation: Distinguishes successive processes of the same name.
        host: IP address.
        port: Port of the peer API.
        availability_zone: Availability zone that the instance runs in.
        link_mbps: Bandwidth of its network link in Mbit/s; 0 if unknown.
        forwarding_port: Port on which it takes requests of peers; 0 if none.
        archives_streams: Whether it writes versions and origins of streams to
            the store when that is up to it; earlier builds don't.
    """

    name: str
    incarnation: str
    host: str
    port: int
    availability_zone: str
    link_mbps: float = 0.0
    forwarding_port: int = 0
    archives_streams: bool = False

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port."""
        return self.host, self.port

    @property
    def forwarding_address(self) -> tuple[str, int] | None:
        """IP address and port for requests of peers; None if there is none."""
        return (
            (self.host, self.forwarding_port) if self.forwarding_port else None
        )


def rank_by_zone(key: str, instances: Iterable[Peer]) -> dict[str, list[Peer]]:
    """Returns the instances of each availability zone, ranked for a key.

    Instances with the same view rank them equally.

    Args:
        key: Key of the rendezvous hashing.
        instances: The instances to rank.
    """
    by_zone: dict[str, dict[str, Peer]] = {}
    for instance in instances:
        members = by_zone.setdefault(instance.availability_zone, {})
        members[instance.name] = instance
    return {
        zone: [members[name] for name in hashing.rendezvous(key, members)]
        for zone, members in by_zone.items()
    }


def rank_across_zones(key: str, instances: Iterable[Peer]) -> list[Peer]:
    """Returns instances ranked for a key, with the zones taking turns.

    Instances with the same view rank them equally.

    Args:
        key: Key of the rendezvous hashing.
        instances: The instances to rank.

    Examples:
        >>> def peer(name, zone):
        ...     return Peer(name=name, incarnation="1", host="10.0.0.1", port=1,
        ...         availability_zone=zone)
        >>> ranked = rank_across_zones("k", [peer("a", "x"), peer("b", "x"),
        ...     peer("c", "x"), peer("d", "y")])
        >>> sorted(instance.availability_zone for instance in ranked[:2])
        ['x', 'y']
    """
    by_zone = rank_by_zone(key, instances)
    zones = hashing.rendezvous(key, by_zone)
    turns = itertools.zip_longest(*(by_zone[zone] for zone in zones))
    return [
        instance for turn in turns for instance in turn if instance is not None
    ]


class PeerList:
    """List of the peers that were seen recently.

    Args:
        local_name: Name of this instance, which is excluded.

    Examples:
        >>> peers = PeerList("a")
        >>> peers.mark_seen([Peer(name="b", incarnation="1", host="10.0.0.2",
        ...     port=1, availability_zone="z")], now_ms=0)
        >>> [peer.name for peer in peers.recent(now_ms=0)], peers.fleet_size(0)
        (['b'], 2)
    """

    __slots__ = (
        "_last_seen_ms_by_name",
        "_local_name",
        "_peer_by_name",
        "_read_at_ms",
        "_recent",
        "_recent_until_ms",
    )

    def __init__(self, local_name: str) -> None:
        self._local_name = local_name
        self._peer_by_name: dict[str, Peer] = {}
        self._last_seen_ms_by_name: dict[str, int] = {}
        self._read_at_ms = 0
        self._recent: list[Peer] | None = None
        self._recent_until_ms = 0

    def mark_seen(self, peers: Iterable[Peer], *, now_ms: int) -> None:
        """Records that these peers are registered or have called."""
        for peer in peers:
            if peer.name == self._local_name:
                continue
            last_seen_ms = self._last_seen_ms_by_name.get(peer.name)
            is_recent = (
                last_seen_ms is not None
                and now_ms - last_seen_ms <= PEER_TTL_MS
            )
            if not is_recent or self._peer_by_name[peer.name] != peer:
                self._recent = None
            self._peer_by_name[peer.name] = peer
            self._last_seen_ms_by_name[peer.name] = now_ms

    def apply_registered(self, peers: Iterable[Peer], *, now_ms: int) -> None:
        """Applies a complete list of the registered peers.

        Other peers are removed unless they called within
        `UNREGISTERED_PEER_TTL_MS`.
        """
        listed = list(peers)
        names = {peer.name for peer in listed}
        for name, last_seen_ms in list(self._last_seen_ms_by_name.items()):
            if (
                name not in names
                and now_ms - last_seen_ms > UNREGISTERED_PEER_TTL_MS
            ):
                del self._last_seen_ms_by_name[name]
                del self._peer_by_name[name]
                self._recent = None
        self.mark_seen(listed, now_ms=now_ms)

    def forget_unseen(self, *, now_ms: int) -> None:
        """Forgets peers that were not seen within `PEER_TTL_MS`.

        Call it each time that the registered peers were read: an instance that
        hears nothing of its peers can't tell whether they are gone. The first
        read after an outage forgets nobody, since others may not have
        registered again yet.
        """
        is_first_read = now_ms - self._read_at_ms > MAX_READ_GAP_MS
        self._read_at_ms = now_ms
        if is_first_read:
            return
        for name, last_seen_ms in list(self._last_seen_ms_by_name.items()):
            if now_ms - last_seen_ms > PEER_TTL_MS:
                del self._last_seen_ms_by_name[name]
                del self._peer_by_name[name]
                self._recent = None

    @property
    def max_fleet_size(self) -> int:
        """Number of instances that may be serving, this one included."""
        return len(self._peer_by_name) + 1

    def has_incarnation(self, name: str, incarnation: str) -> bool:
        """Returns whether a peer is known by this name and incarnation."""
        peer = self._peer_by_name.get(name)
        return peer is not None and peer.incarnation == incarnation

    def recent(self, *, now_ms: int) -> list[Peer]:
        """Returns the peers seen within `PEER_TTL_MS`, sorted by name.

        The list is the same object until a peer joins, changes or may have
        left, so that what is derived from it can be kept; it must not be
        changed.
        """
        if self._recent is None or now_ms > self._recent_until_ms:
            self._recent = [
                self._peer_by_name[name]
                for name in sorted(self._peer_by_name)
                if now_ms - self._last_seen_ms_by_name[name] <= PEER_TTL_MS
            ]
            seen_at_ms = [
                self._last_seen_ms_by_name[peer.name] for peer in self._recent
            ]
            self._recent_until_ms = (
                min(seen_at_ms, default=now_ms) + PEER_TTL_MS
            )
        return self._recent

    def fleet_size(self, now_ms: int) -> int:
        """Returns the number of instances, this one included."""
        return len(self.recent(now_ms=now_ms)) + 1

    def __repr__(self) -> str:
        return f"PeerList(peers={len(self._peer_by_name)})"
