"""Registers this instance under a lease, and reads who else is registered."""

from __future__ import annotations

from collections.abc import Iterator
import random

import msgspec

from bambooglade.discovery import peers as peers_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.store import contact as contact_lib
from bambooglade.store import port

PEER_PREFIX = "bambooglade/instances/"

LEASE_TTL_MS = 15_000
"""Time after which an instance that is gone is no longer registered."""

RENEW_PAUSE_MS = 4_000
"""Pause between renewals; two may be lost."""

READ_EVERY = 3
"""Renewals for each reading of the registered instances."""

FRESH_READS = 2
"""Readings after the start that may not lag; the fleet may be starting."""

FRESH_PAUSE_MS = 1_000
"""Pause between these; instances start within some hundred milliseconds."""

RETRY_PAUSE_MS = 700
"""Mean pause after a failure of the store."""


class Registration:
    """Keeps this instance registered and the list of peers in step.

    Args:
        loop: The event loop.
        store: The store.
        local_instance: This instance, as peers know it.
        peers: Told of the registered instances.
        contact: Tells whether the store answers.
        random_source: Spreads the pauses of the instances.

    Attributes:
        has_initial_peers: Whether the instances that started together know
            each other.
    """

    __slots__ = (
        "_contact",
        "_is_stopped",
        "_lease_id",
        "_local_instance",
        "_loop",
        "_peers",
        "_random",
        "_store",
        "has_initial_peers",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        store: port.TransactionalStore,
        *,
        local_instance: peers_lib.Peer,
        peers: peers_lib.PeerList,
        contact: contact_lib.Contact,
        random_source: random.Random,
    ) -> None:
        self._loop = loop
        self._store = store
        self._local_instance = local_instance
        self._peers = peers
        self._contact = contact
        self._random = random_source
        self._lease_id = 0
        self._is_stopped = False
        self.has_initial_peers = False

    def start(self) -> None:
        """Starts to keep the registration."""
        tasks.keep_running(self._loop, self._run)

    def stop(self) -> None:
        """Ends the registration."""
        self._is_stopped = True
        if self._lease_id:
            self._store.end_lease(self._lease_id)

    def _run(self) -> tasks.Task:
        rounds = 0
        while not self._is_stopped:
            is_registered = yield from self._register_or_renew()
            if is_registered and (
                rounds % READ_EVERY == 0 or rounds < FRESH_READS
            ):
                is_registered = yield from self._read_peers(
                    may_lag=rounds >= FRESH_READS
                )
            rounds += is_registered
            self.has_initial_peers = rounds >= FRESH_READS
            pause_ms = RETRY_PAUSE_MS
            if is_registered:
                pause_ms = (
                    RENEW_PAUSE_MS if self.has_initial_peers else FRESH_PAUSE_MS
                )
            yield tasks.sleep(
                self._loop, pause_ms * (0.75 + self._random.random() / 2)
            )

    def _register_or_renew(self) -> tasks.Task:
        if self._lease_id:
            answer = yield self._store.renew_lease(self._lease_id)
            if isinstance(answer, port.NotFound):
                self._lease_id = 0
            else:
                return isinstance(answer, port.Committed)
        answer = yield self._store.grant_lease(ttl_ms=LEASE_TTL_MS)
        if not isinstance(answer, port.LeaseGranted):
            return False
        write = port.Write(
            PEER_PREFIX + self._local_instance.name,
            msgspec.json.encode(self._local_instance),
            lease_id=answer.lease_id,
        )
        committed = yield self._store.commit([write], timeout_ms=1_000)
        if isinstance(committed, port.Committed):
            self._lease_id = answer.lease_id
        return bool(self._lease_id)

    def _read_peers(self, *, may_lag: bool) -> tasks.Task:
        answer = yield self._store.read_prefix(PEER_PREFIX, may_lag=may_lag)
        if not isinstance(answer, port.Items):
            return False
        self._peers.mark_seen(
            _decoded(answer.items), now_ms=self._loop.now_ms()
        )
        return True

    def __repr__(self) -> str:
        return f"Registration(local_instance={self._local_instance.name!r})"


def _decoded(items: list[port.Item]) -> Iterator[peers_lib.Peer]:
    for item in items:
        try:
            yield msgspec.json.decode(item.value, type=peers_lib.Peer)
        except msgspec.DecodeError:
            continue
