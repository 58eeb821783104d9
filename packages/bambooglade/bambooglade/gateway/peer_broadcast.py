"""Sends an observation of one instance to the whole fleet.

In a large fleet only the relays of each zone are called, and forward it.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import relays as relays_lib
from bambooglade.eventloop import http_client
from bambooglade.store import dependency_monitor

CALL_TIMEOUT_MS = 300
"""Timeout of a call to a peer; peers respond within a few milliseconds."""


class BroadcastMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the messages that a `PeerBroadcast` sends.

    Attributes:
        sender: The instance that sends the message.
        is_forwarded: Whether no relay has to forward it within its zone.
    """

    sender: peers_lib.Peer
    is_forwarded: bool = False


class PeerBroadcast:
    """Calls the peers that spread a message to the whole fleet.

    Args:
        client: HTTP client for calls to peers.
        path: Path of the peer API that receives the messages.
        peers: Returns the other known instances.
        relays: Tells which peers to inform.
        contact: Tracks whether the store is reachable.
        local_instance: Entry of this instance.
    """

    __slots__ = (
        "_client",
        "_contact",
        "_local_instance",
        "_path",
        "_peers",
        "_relays",
    )

    def __init__(
        self,
        client: http_client.HttpClient,
        *,
        path: str,
        peers: Callable[[], list[peers_lib.Peer]],
        relays: relays_lib.RelaySelector,
        contact: dependency_monitor.DependencyMonitor,
        local_instance: peers_lib.Peer,
    ) -> None:
        self._client = client
        self._path = path
        self._peers = peers
        self._relays = relays
        self._contact = contact
        self._local_instance = local_instance

    def publish(self, message: BroadcastMessage) -> None:
        """Sends a message of this instance."""
        peers = self._relays.peers_to_inform(
            is_store_reachable=not self._contact.is_unavailable
        )
        self._send(message, peers, is_forwarded=not self._relays.uses_relays())

    def forward(self, message: BroadcastMessage) -> None:
        """Forwards a received message in the zone if a relay has to."""
        if self._relays.uses_relays() and not message.is_forwarded:
            zone = self._local_instance.availability_zone
            peers = [p for p in self._peers() if p.availability_zone == zone]
            self._send(message, peers, is_forwarded=True)

    def _send(
        self,
        message: BroadcastMessage,
        peers: Iterable[peers_lib.Peer],
        *,
        is_forwarded: bool,
    ) -> None:
        body = msgspec.json.encode(
            msgspec.structs.replace(
                message,
                sender=self._local_instance,
                is_forwarded=is_forwarded,
            )
        )
        for peer in peers:
            self._client.call(
                peer.address,
                method="POST",
                target=self._path,
                body=body,
                timeout_ms=CALL_TIMEOUT_MS,
            )

    def __repr__(self) -> str:
        return f"PeerBroadcast({self._path!r})"
