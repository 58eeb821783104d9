"""Registers this instance under a lease and reads the registered peers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import random

import msgspec

from bambooglade.core import json_documents
from bambooglade.discovery import peers as peers_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.store import dependency_monitor
from bambooglade.store import store_api

PEER_PREFIX = "bambooglade/instances/"

LEASE_TTL_MS = 15_000
"""Time after which the entry of an instance that is gone expires."""

RENEW_INTERVAL_MS = 4_000
"""Mean interval between renewals.

The lease outlasts two lost renewals.
"""

RENEWALS_PER_READ = 3
"""Number of renewals per read of the registered instances."""

INITIAL_READS = 2
"""Reads until instances that started together know each other.

The first one finds those that run already and may return an older state. The
last one must be current, as the others may be starting at the same time.
"""

INITIAL_READ_INTERVAL_MS = 1_000
"""Mean interval between the initial reads.

Instances start within a few hundred milliseconds of each other.
"""

RETRY_DELAY_MS = 700
"""Mean delay after a failed call to the store."""

OUTAGE_POLL_INTERVAL_MS = 250
"""Interval at which an instance checks whether it has to probe the store.

It is part of the time until a store that is back is noticed.
"""

MAX_PROBING_MS = 10_000
"""Time of failed renewals after which other calls are tried nevertheless.

Renewals may fail while reads succeed.
"""


class Registration:
    """Keeps this instance registered and the peer list up to date.

    Args:
        loop: The event loop.
        store: The store.
        local_instance: Entry of this instance, to be registered.
        peers: Peer list that receives the registered instances.
        contact: Tracks whether the store is reachable. During an outage, it
            receives that a renewal of the lease got a response, or that other
            calls have to be tried without one.
        must_probe: Returns whether renewals of the lease detect the end of an
            outage, as in large fleets. They cost a tenth of other calls.
        random_source: Source of the jitter in the intervals.

    Attributes:
        has_initial_peers: Whether the initial reads are complete, so that
            instances that started together have found each other.
    """

    __slots__ = (
        "_contact",
        "_is_stopped",
        "_lease_id",
        "_local_instance",
        "_loop",
        "_must_probe",
        "_peers",
        "_probing_since_ms",
        "_random",
        "_store",
        "has_initial_peers",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        store: store_api.TransactionalStore,
        *,
        local_instance: peers_lib.Peer,
        peers: peers_lib.PeerList,
        contact: dependency_monitor.DependencyMonitor,
        must_probe: Callable[[], bool],
        random_source: random.Random,
    ) -> None:
        self._loop = loop
        self._store = store
        self._local_instance = local_instance
        self._peers = peers
        self._contact = contact
        self._must_probe = must_probe
        self._random = random_source
        self._lease_id = 0
        self._probing_since_ms: int | None = None
        self._is_stopped = False
        self.has_initial_peers = False
        store.era.listeners.append(self._forget_lease)

    def _forget_lease(self) -> None:
        """Forgets a lease of an earlier era; its id may be another's now."""
        self._lease_id = 0

    def start(self) -> None:
        """Starts to register this instance and to renew the lease."""
        tasks.keep_running(self._loop, self._run)

    def stop(self) -> None:
        """Stops renewals and ends the lease, which removes the registration."""
        self._is_stopped = True
        if self._lease_id:
            self._store.revoke_lease(self._lease_id)

    def _run(self) -> tasks.Task:
        completed_rounds = 0
        while not self._is_stopped:
            is_successful = yield from self._register_or_renew()
            if is_successful and (
                completed_rounds % RENEWALS_PER_READ == 0
                or completed_rounds < INITIAL_READS
            ):
                is_successful = yield from self._read_peers(
                    may_lag=completed_rounds != INITIAL_READS - 1
                )
            completed_rounds += is_successful
            self.has_initial_peers = completed_rounds >= INITIAL_READS
            delay_ms = RETRY_DELAY_MS
            if is_successful:
                delay_ms = (
                    RENEW_INTERVAL_MS
                    if self.has_initial_peers
                    else INITIAL_READ_INTERVAL_MS
                )
            yield from self._sleep(
                delay_ms * (0.75 + self._random.random() / 2),
                can_probe_early=is_successful and self.has_initial_peers,
            )

    def _sleep(self, delay_ms: float, *, can_probe_early: bool) -> tasks.Task:
        """Sleeps until the next call, or until the store has to be probed.

        A first probe follows at once when other calls find the store
        unreachable, as only some of these may have failed.
        """
        due_ms = self._loop.now_ms() + round(delay_ms)
        while (remaining_ms := due_ms - self._loop.now_ms()) > 0:
            if can_probe_early and self._is_probe_due:
                return
            yield tasks.sleep(
                self._loop, min(remaining_ms, OUTAGE_POLL_INTERVAL_MS)
            )

    @property
    def _is_probe_due(self) -> bool:
        return (
            self._contact.is_unavailable
            and not self._contact.has_probe_response
            and self._must_probe()
        )

    def _register_or_renew(self) -> tasks.Task:
        if self._lease_id:
            response = yield self._store.renew_lease(self._lease_id)
            self._record_probe(response, is_renewal=True)
            if isinstance(response, store_api.NotFound):
                self._lease_id = 0
            elif self._lease_id:
                return isinstance(response, store_api.Committed)
        response = yield self._store.grant_lease(ttl_ms=LEASE_TTL_MS)
        self._record_probe(response, is_renewal=False)
        if not isinstance(response, store_api.LeaseGranted):
            return False
        era = self._store.era.number
        write = store_api.Write(
            PEER_PREFIX + self._local_instance.name,
            msgspec.json.encode(self._local_instance),
            lease_id=response.lease_id,
        )
        committed = yield self._store.commit([write], timeout_ms=1_000)
        if (
            isinstance(committed, store_api.Committed)
            and era == self._store.era.number
        ):
            self._lease_id = response.lease_id
        return bool(self._lease_id)

    def _record_probe(
        self, response: store_api.Response, *, is_renewal: bool
    ) -> None:
        """Records what a call says of the store.

        Without a lease, a failed call says nothing of the reads: the store may
        refuse writes only.
        """
        now_ms = self._loop.now_ms()
        if is_renewal and isinstance(
            response, (store_api.NoResponse, store_api.Refused)
        ):
            if self._probing_since_ms is None:
                self._probing_since_ms = now_ms
            if now_ms - self._probing_since_ms < MAX_PROBING_MS:
                return
        self._probing_since_ms = None
        self._contact.record_probe_response()

    def _read_peers(self, *, may_lag: bool) -> tasks.Task:
        response = yield self._store.read_prefix(
            PEER_PREFIX, allow_stale=may_lag
        )
        if not isinstance(response, store_api.Items):
            return False
        now_ms = self._loop.now_ms()
        self._peers.mark_seen(_decode_peers(response.items), now_ms=now_ms)
        self._peers.forget_unseen(now_ms=now_ms)
        return True

    def __repr__(self) -> str:
        return f"Registration(local_instance={self._local_instance.name!r})"


def _decode_peers(items: list[store_api.Item]) -> Iterator[peers_lib.Peer]:
    for item in items:
        try:
            yield json_documents.decode(item.value, peers_lib.Peer)
        except msgspec.DecodeError:
            continue
