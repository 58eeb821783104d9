"""Keeps a view in step through other instances.

In a large fleet an instance waits for news at the relay of its zone. While the
store turns it away, it asks any peer for what is newer.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import random
import zlib

import msgspec

from bambooglade.core import event_log
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import relays as relays_lib
from bambooglade.discovery import view as view_lib
from bambooglade.discovery import view_messages
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.store import contact as contact_lib
from bambooglade.store import port

PULL_TIMEOUT_MS = 500
"""Limit on one pull; peers answer within a few milliseconds."""

PULL_PAUSE_MS = 400
"""Pause between two pulls while the store is away."""

IDLE_PAUSE_MS = 250
"""Time between two looks at whether the store is away."""

RELAY_WAIT_SHARE = 0.4
"""Longest wait of a relay for news, as a part of the age at which a view is
stale; the rest covers the relay's own watch and the way."""

RELAY_GRACE_SHARE = 0.25
"""Time that an answer of a relay may take beyond its wait, as a part of the
same age; then the next relay is asked."""

_OK = 200


class PeerPuller:
    """Waits at the relay, and pulls from any peer while the store is away.

    Args:
        loop: The event loop.
        client: Calls the peers.
        view: Takes what is newer.
        peers: The known peers.
        relays: Chooses the relay.
        read_configuration: Reads the configuration from the store; returns a
            future that completes when it has ended.
        local_instance: This instance, as peers know it.
        seeds: Addresses to ask while no peers are known.
        contact: Tells whether the store is away.
        log: Told of answers that can't be read.
        random_source: Chooses the peers.
    """

    __slots__ = (
        "_client",
        "_contact",
        "_is_stopped",
        "_local_instance",
        "_log",
        "_loop",
        "_peers",
        "_random",
        "_read_configuration",
        "_relays",
        "_seeds",
        "_view",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        client: http_client.HttpClient,
        view: view_lib.FleetView,
        *,
        peers: peers_lib.PeerList,
        relays: relays_lib.RelaySelector,
        read_configuration: Callable[[], futures.Future],
        local_instance: peers_lib.Peer,
        seeds: tuple[tuple[str, int], ...],
        contact: contact_lib.Contact,
        log: event_log.EventLog,
        random_source: random.Random,
    ) -> None:
        self._loop = loop
        self._client = client
        self._view = view
        self._peers = peers
        self._relays = relays
        self._read_configuration = read_configuration
        self._local_instance = local_instance
        self._seeds = seeds
        self._contact = contact
        self._log = log
        self._random = random_source
        self._is_stopped = False

    def start(self) -> None:
        """Starts to look after the view."""
        tasks.keep_running(self._loop, self._run)

    def stop(self) -> None:
        """Ends after the call that is under way."""
        self._is_stopped = True

    def _run(self) -> tasks.Task:
        while not self._is_stopped:
            relay = self._relays.select(now_ms=self._loop.now_ms())
            if self._contact.is_lost:
                yield from self._pull_from_any()
            elif relay is not None:
                yield from self._wait_at(relay)
            else:
                yield tasks.sleep(self._loop, IDLE_PAUSE_MS)

    def _pull_from_any(self) -> tasks.Task:
        address = self._pick()
        if address is not None:
            yield from self._pull(address)
        yield tasks.sleep(
            self._loop, PULL_PAUSE_MS * (0.5 + self._random.random())
        )

    def _wait_at(self, relay: peers_lib.Peer) -> tasks.Task:
        """Waits once for news; a relay that does not help is left."""
        asked_at_ms = self._loop.now_ms()
        stale_ms = self._relays.stale_ms
        wait_ms = round(RELAY_WAIT_SHARE * stale_ms)
        decoded = yield from self._ask(
            relay.address,
            wait_ms=wait_ms,
            reads_store=True,
            timeout_ms=wait_ms + round(RELAY_GRACE_SHARE * stale_ms),
        )
        age_ms = decoded.checked_ms_ago if decoded is not None else None
        if age_ms is None or age_ms > stale_ms:
            self._relays.suspect(
                relay,
                has_answered=decoded is not None,
                now_ms=self._loop.now_ms(),
            )
            self._log.event("relay_left", relay=relay.name, age_ms=age_ms)
            return
        way_ms = self._loop.now_ms() - asked_at_ms - decoded.waited_ms
        checked_at_ms = self._loop.now_ms() - age_ms - way_ms
        self._take(decoded, relay.name)
        self._view.targets_checked_at_ms = checked_at_ms
        known = self._view.configuration_item
        if known is None or known.revision < decoded.configuration_revision:
            yield self._read_configuration()
        else:
            self._view.configuration_checked_at_ms = checked_at_ms

    def _pick(self) -> tuple[str, int] | None:
        known = [
            p.address for p in self._peers.recent(now_ms=self._loop.now_ms())
        ]
        seeds = [s for s in self._seeds if s != self._local_instance.address]
        candidates = known or seeds
        return self._random.choice(candidates) if candidates else None

    def _pull(self, address: tuple[str, int]) -> tasks.Task:
        decoded = yield from self._ask(address, timeout_ms=PULL_TIMEOUT_MS)
        if decoded is not None:
            self._take(decoded, address[0])

    def _ask(
        self,
        address: tuple[str, int],
        *,
        timeout_ms: int,
        wait_ms: int = 0,
        reads_store: bool = False,
    ) -> tasks.Task:
        """Returns the answer of a peer; None if there is none."""
        item = self._view.configuration_item
        request = view_messages.ViewRequest(
            configuration_revision=item.revision if item else 0,
            targets_revision=self._view.targets_revision,
            asker=self._local_instance,
            wait_ms=wait_ms,
            reads_store=reads_store,
        )
        response: http_client.Response | None = yield self._client.call(
            address,
            method="POST",
            target=view_messages.VIEW_PATH,
            body=msgspec.json.encode(request),
            timeout_ms=timeout_ms,
        )
        if response is None or response.status != _OK:
            return None
        try:
            return msgspec.json.decode(
                response.body, type=view_messages.ViewResponse
            )
        except msgspec.DecodeError as error:
            self._log.event(
                "peer_answer_malformed", peer=address[0], error=error
            )
            return None

    def _take(self, decoded: view_messages.ViewResponse, peer: str) -> None:
        now_ms = self._loop.now_ms()
        source = f"peer:{peer}"
        self._peers.mark_seen(decoded.peers, now_ms=now_ms)
        if decoded.configuration is not None:
            self._take_configuration(decoded.configuration, source)
        if decoded.targets is None:
            return
        items = [view_messages.item_of(known) for known in decoded.targets]
        if decoded.are_all_targets:
            self._view.take_all_targets(
                items,
                at_revision=decoded.targets_revision,
                now_ms=now_ms,
                source=source,
            )
        else:
            self._view.take_changes(
                port.Items(items, at_revision=decoded.targets_revision),
                now_ms=now_ms,
                source=source,
            )

    def _take_configuration(
        self, packed: view_messages.PackedItem, source: str
    ) -> None:
        try:
            item = view_messages.unpacked(packed)
        except zlib.error as error:
            self._log.event("peer_answer_malformed", peer=source, error=error)
            return
        self._view.apply_configuration(item, source=source)

    def __repr__(self) -> str:
        return f"PeerPuller(contact={self._contact!r})"
