"""Keeps a view up to date through other instances.

In a large fleet an instance waits for updates at the relay of its zone. While
it cannot reach the store, it requests updates from random peers.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from concurrent import futures
import random
from typing import Protocol
import zlib

import msgspec

from bambooglade.core import event_log
from bambooglade.core import json_documents
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import relays as relays_lib
from bambooglade.discovery import targets as targets_lib
from bambooglade.discovery import view as view_lib
from bambooglade.discovery import view_messages
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.store import dependency_monitor
from bambooglade.store import store_api
from bambooglade.store import store_era
from bambooglade.targets import crash_suspicions

PULL_TIMEOUT_MS = 500
"""Timeout of one pull; peers respond within a few milliseconds."""

PULL_INTERVAL_MS = 400
"""Mean interval between pulls while the store is unreachable."""

IDLE_POLL_INTERVAL_MS = 250
"""Interval at which an idle puller checks whether it has to query a peer."""

RELAY_WAIT_FRACTION = 0.4
"""Maximum wait of a relay for updates, as a fraction of `stale_after_ms`.

The remaining part covers the relay's own watch and the network latency.
"""

RELAY_GRACE_FRACTION = 0.25
"""Timeout of a relay beyond its wait, as a fraction of `stale_after_ms`.

After the timeout, the next relay is queried.
"""

_OK = 200


class SuspicionExchange(Protocol):
    """The part of `RequestQuarantine` that exchanges suspicions with peers."""

    suspicions: crash_suspicions.CrashSuspicions

    def reconcile(
        self,
        received: Sequence[crash_suspicions.Suspicion],
        digest: int,
        peer_address: http_client.Address,
    ) -> None:
        """Merges the suspicions of a peer, and sends it those it lacks."""
        ...


class LeavingExchange(Protocol):
    """The part of `LeavingReplicator` that learns from peers."""

    def apply_runs(
        self, runs: list[targets_lib.TargetRun], *, source: str
    ) -> None:
        """Marks targets as leaving that a peer names."""
        ...


class PeerPuller:
    """Pulls updates from the relay, or from any peer during a store outage.

    Args:
        loop: The event loop.
        client: HTTP client for calls to peers.
        view: View that receives the updates.
        era: Era of the store, which peers may have observed first.
        peers: Known peers; receives the peers in responses.
        relays: Selects the relay.
        read_configuration: Reads the configuration from the store; returns a
            future that completes when the read has ended.
        quarantine: Receives the crash suspicions of peers.
        leaving: Receives the targets that peers know to be leaving.
        local_instance: Entry of this instance, sent to peers.
        seeds: Returns the addresses to query while no peers are known.
        contact: Tracks whether the store is reachable.
        log: Receives an event for each malformed response and each relay that
            did not respond or had a stale view.
        random_source: Source of random peers and of jitter in the intervals.
    """

    __slots__ = (
        "_client",
        "_contact",
        "_era",
        "_is_stopped",
        "_leaving",
        "_local_instance",
        "_log",
        "_loop",
        "_peers",
        "_quarantine",
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
        era: store_era.StoreEra,
        peers: peers_lib.PeerList,
        relays: relays_lib.RelaySelector,
        read_configuration: Callable[[], futures.Future],
        quarantine: SuspicionExchange,
        leaving: LeavingExchange,
        local_instance: peers_lib.Peer,
        seeds: Callable[[], tuple[tuple[str, int], ...]],
        contact: dependency_monitor.DependencyMonitor,
        log: event_log.EventLog,
        random_source: random.Random,
    ) -> None:
        self._loop = loop
        self._client = client
        self._view = view
        self._era = era
        self._peers = peers
        self._relays = relays
        self._read_configuration = read_configuration
        self._quarantine = quarantine
        self._leaving = leaving
        self._local_instance = local_instance
        self._seeds = seeds
        self._contact = contact
        self._log = log
        self._random = random_source
        self._is_stopped = False

    def start(self) -> None:
        """Starts to pull updates."""
        tasks.keep_running(self._loop, self._run)

    def stop(self) -> None:
        """Stops once the call in flight has ended."""
        self._is_stopped = True

    def _run(self) -> tasks.Task:
        while not self._is_stopped:
            relay = self._relays.select(now_ms=self._loop.now_ms())
            if self._contact.is_unavailable:
                yield from self._pull_from_random_peer()
            elif relay is not None:
                yield from self._poll_relay(relay)
            else:
                yield tasks.sleep(self._loop, IDLE_POLL_INTERVAL_MS)

    def _pull_from_random_peer(self) -> tasks.Task:
        address = self._random_peer_address()
        if address is not None:
            yield from self._pull(address)
        yield tasks.sleep(
            self._loop, PULL_INTERVAL_MS * (0.5 + self._random.random())
        )

    def _poll_relay(self, relay: peers_lib.Peer) -> tasks.Task:
        """Waits once for updates at a relay.

        A relay that does not respond or has a stale view is not queried again
        for a back-off period.
        """
        requested_at_ms = self._loop.now_ms()
        stale_after_ms = self._relays.stale_after_ms
        wait_ms = round(RELAY_WAIT_FRACTION * stale_after_ms)
        response = yield from self._request_view(
            relay.address,
            wait_ms=wait_ms,
            reads_store=True,
            timeout_ms=wait_ms + round(RELAY_GRACE_FRACTION * stale_after_ms),
        )
        age_ms = None
        if response is not None and self._is_of_newest_era(response, relay):
            age_ms = response.checked_ms_ago
        if age_ms is None or age_ms > stale_after_ms:
            self._relays.back_off(
                relay,
                has_responded=response is not None,
                now_ms=self._loop.now_ms(),
            )
            self._log.event("relay_left", relay=relay.name, age_ms=age_ms)
            return
        network_ms = self._loop.now_ms() - requested_at_ms - response.waited_ms
        checked_at_ms = self._loop.now_ms() - age_ms - network_ms
        self._apply_response(response, relay.address, is_relay=True)
        self._view.targets_checked_at_ms = checked_at_ms
        if self._lacks_configuration(response):
            yield self._read_configuration()
        elif response.evacuations is not None:
            # A relay of the previous build does not know of evacuations, so
            # that this instance watches the operators' keys itself.
            self._view.configuration_checked_at_ms = checked_at_ms

    def _is_of_newest_era(
        self, response: view_messages.ViewResponse, peer: peers_lib.Peer
    ) -> bool:
        return self._era.observe(
            response.store_era, source=f"peer:{peer.address[0]}"
        )

    def _lacks_configuration(
        self, response: view_messages.ViewResponse
    ) -> bool:
        """Returns whether the responding peer has a newer configuration."""
        known = self._view.configuration_item
        if known is None:
            return True
        if response.configuration_version is None:
            return known.revision < response.configuration_revision
        return self._view.configuration.version < response.configuration_version

    def _random_peer_address(self) -> tuple[str, int] | None:
        known = [
            p.address for p in self._peers.recent(now_ms=self._loop.now_ms())
        ]
        seeds = [s for s in self._seeds() if s != self._local_instance.address]
        candidates = known or seeds
        return self._random.choice(candidates) if candidates else None

    def introduce(self, peer: peers_lib.Peer) -> futures.Future:
        """Makes this instance known to a peer, and applies what the peer knows.

        Returns:
            A future with whether the peer responded.
        """
        return tasks.spawn(self._pull(peer.address))

    def _pull(self, address: tuple[str, int]) -> tasks.Task:
        response = yield from self._request_view(
            address, timeout_ms=PULL_TIMEOUT_MS
        )
        if response is not None:
            self._apply_response(response, address)
        return response is not None

    def _request_view(
        self,
        address: tuple[str, int],
        *,
        timeout_ms: int,
        wait_ms: int = 0,
        reads_store: bool = False,
    ) -> tasks.Task:
        """Returns the response of a peer; None if there is no valid one."""
        item = self._view.configuration_item
        request = view_messages.ViewRequest(
            configuration_revision=item.revision if item else 0,
            targets_revision=self._view.targets_revision,
            asker=self._local_instance,
            wait_ms=wait_ms,
            reads_store=reads_store,
            suspicions_digest=self._quarantine.suspicions.digest,
            store_era=self._era.number,
            configuration_version=(
                self._view.configuration.version if item else None
            ),
            evacuations=self._view.evacuations.records(
                now_ms=self._loop.now_ms()
            ),
        )
        http_response: http_client.Response | None = yield self._client.call(
            address,
            method="POST",
            target=view_messages.VIEW_PATH,
            body=msgspec.json.encode(request),
            timeout_ms=timeout_ms,
        )
        if http_response is None or http_response.status != _OK:
            return None
        try:
            return json_documents.decode(
                http_response.body, view_messages.ViewResponse
            )
        except msgspec.DecodeError as error:
            self._log.event(
                "peer_answer_malformed", peer=address[0], error=error
            )
            return None

    def _apply_response(
        self,
        response: view_messages.ViewResponse,
        address: tuple[str, int],
        *,
        is_relay: bool = False,
    ) -> None:
        """Applies what a peer knows.

        A target that comes and goes between two responses is not among the
        changes. Responses of a relay follow each other without a pause.
        """
        now_ms = self._loop.now_ms()
        source = f"peer:{address[0]}"
        is_newest_era = self._era.observe(response.store_era, source=source)
        if response.evacuations is not None:
            self._view.evacuations.merge(
                response.evacuations, now_ms=now_ms, source=source
            )
            self._view.evacuations.mark_known(now_ms=now_ms)
        self._peers.mark_seen(response.peers, now_ms=now_ms)
        self._leaving.apply_runs(response.leaving, source=source)
        if response.suspicions is not None:
            self._quarantine.reconcile(
                response.suspicions, response.suspicions_digest, address
            )
        if response.configuration is not None:
            self._apply_configuration(
                response.configuration,
                source,
                has_revision=is_newest_era,
            )
        if response.targets is None or not is_newest_era:
            return
        items = [view_messages.decode_item(known) for known in response.targets]
        if response.are_all_targets:
            self._view.apply_target_list(
                items,
                at_revision=response.targets_revision,
                now_ms=now_ms,
                source=source,
            )
        else:
            self._view.apply_target_changes(
                store_api.Items(items, at_revision=response.targets_revision),
                now_ms=now_ms,
                source=source,
                is_every_change=is_relay,
            )

    def _apply_configuration(
        self,
        compressed: view_messages.CompressedItem,
        source: str,
        *,
        has_revision: bool,
    ) -> None:
        """Applies the configuration of a peer.

        Args:
            compressed: The configuration.
            source: The peer, for the log.
            has_revision: Whether its revision is of the newest era.
        """
        try:
            item = view_messages.decompress_item(compressed)
        except zlib.error as error:
            self._log.event("peer_answer_malformed", peer=source, error=error)
            return
        if not has_revision:
            item = store_api.Item(item.key, item.value, 0)
        self._view.apply_configuration(item, source=source)

    def __repr__(self) -> str:
        return f"PeerPuller(contact={self._contact!r})"
