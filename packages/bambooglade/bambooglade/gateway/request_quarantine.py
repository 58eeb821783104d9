"""Keeps quarantined requests and prompt parts away from all targets.

Each of a few crashes may be seen by another instance. Suspicions are therefore
sent to the peers at once, and written to the store, from which instances read
them that have just started or were cut off.

See Also:
    bambooglade.targets.crash_suspicions: decides what is quarantined.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import random

import msgspec

from bambooglade.core import event_log
from bambooglade.core import json_documents
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import relays as relays_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.store import dependency_monitor
from bambooglade.store import store_api
from bambooglade.targets import crash_suspicions

PATH = "/v1/crash-suspicions"
STORE_PREFIX = "bambooglade/crashes/"
TRIAL_PREFIX = "bambooglade/crash-trials/"

TRIAL_DELAYS_MS = (30_000, 300_000, 1_800_000)
"""Time from the last crash to each trial whether a suspect is sound again.

A trial that fails costs a crash and all requests that the target runs, so that
the whole fleet makes only these.
"""

FLUSH_DELAY_MS = 10
"""Time for which suspicions are collected before they are sent to peers."""

CALL_TIMEOUT_MS = 300
"""Timeout of a call to a peer; peers respond within a few milliseconds."""

SAVE_DELAY_MS = 300
"""Time for which suspicions are collected before they are written.

Most suspicions of sound requests are cleared within it. Only those are written
whose suspects were at two crashes or more: each crash cuts off many requests.
"""

CLEARING_DELAY_MS_PER_INSTANCE = 20
"""Longest delay, for each instance of the fleet, until suspects are cleared
that were completed here and are suspected elsewhere.

The delay is random, so that one or a few instances of a fleet say so.
"""

RETRY_DELAY_MS = 500
"""Mean delay after a failed call to the store."""

CLAIM_RETRY_DELAY_MS = 2_000
"""Delay after which a trial is claimed again that the store did not confirm."""

WATCH_TIMEOUT_MS = 10_000
"""Longest wait of one watch; suspicions are rare."""

CONTACT_POLL_INTERVAL_MS = 500
"""Interval at which a watch checks whether the store has become unreachable."""

WATCH_INTERVAL_MS = 200
"""Mean interval between watches, so that one call covers several changes."""

IDLE_POLL_INTERVAL_MS = 250
"""Interval at which an instance checks whether it has to watch the store.

It does not while a relay does, or while other calls find no store.
"""

MAX_WRITES = 16
"""Most writes of one transaction; the store accepts 32 entries."""


class SuspicionMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Suspicions that an instance sends to a peer."""

    suspicions: list[crash_suspicions.Suspicion]
    sender: peers_lib.Peer


class RequestQuarantine:
    """Suspicions and quarantines of one instance, shared with the fleet.

    Args:
        loop: The event loop.
        client: HTTP client for calls to peers.
        store: The key-value service.
        relays: Tells which peers to inform.
        must_watch_store: Returns whether this instance watches the store
            itself, and not through a relay.
        contact: Tracks whether the store is reachable.
        local_instance: Entry of this instance.
        log: Receives an event for each suspicion and each quarantine.
        random_source: Source of the jitter in the intervals.

    Attributes:
        suspicions: The suspicions that this instance knows.
        listeners: Called after each change of the suspicions.
    """

    __slots__ = (
        "_client",
        "_contact",
        "_granted_trials",
        "_is_claiming_trial",
        "_is_saving",
        "_is_stopped",
        "_local_instance",
        "_log",
        "_loop",
        "_must_watch_store",
        "_next_trial_ms_by_id",
        "_own_ids",
        "_quarantined_suspects",
        "_random",
        "_relays",
        "_saved_ids",
        "_store",
        "_trials_by_id",
        "_unsaved_ids",
        "_unsent",
        "listeners",
        "suspicions",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        client: http_client.HttpClient,
        store: store_api.TransactionalStore,
        *,
        relays: relays_lib.RelaySelector,
        must_watch_store: Callable[[], bool],
        contact: dependency_monitor.DependencyMonitor,
        local_instance: peers_lib.Peer,
        log: event_log.EventLog,
        random_source: random.Random,
    ) -> None:
        self._loop = loop
        self._client = client
        self._store = store
        self._relays = relays
        self._must_watch_store = must_watch_store
        self._contact = contact
        self._local_instance = local_instance
        self._log = log
        self._random = random_source
        self._unsent: dict[str, crash_suspicions.Suspicion] = {}
        self._unsaved_ids: dict[str, None] = {}
        self._own_ids: set[str] = set()
        self._saved_ids: set[str] = set()
        self._quarantined_suspects: set[frozenset[str]] = set()
        self._trials_by_id: dict[str, int] = {}
        self._next_trial_ms_by_id: dict[str, int] = {}
        self._granted_trials: set[str] = set()
        self._is_claiming_trial = False
        self._is_saving = False
        self._is_stopped = False
        self.suspicions = crash_suspicions.CrashSuspicions()
        self.listeners: list[Callable[[], None]] = []

    def start(self) -> None:
        """Starts to watch the store for suspicions of other instances."""
        tasks.keep_running(self._loop, self._watch_forever)

    def stop(self) -> None:
        """Stops once the calls in flight have ended."""
        self._is_stopped = True

    def find(
        self, suspects: Sequence[str]
    ) -> crash_suspicions.Quarantine | None:
        """Returns the quarantine of a request; None if it may be sent.

        Args:
            suspects: Identity of the request, and shared parts of its prompt.
        """
        return self.suspicions.find_quarantine(suspects)

    def retry_after_ms(self, quarantine: crash_suspicions.Quarantine) -> int:
        """Returns the time until the next trial of a quarantined request."""
        due_ms = self._trial_due_ms(quarantine)
        if due_ms is None:
            due_ms = quarantine.last_crash_ms + crash_suspicions.RETENTION_MS
        return max(1_000, due_ms - self._loop.now_ms())

    def acquire_trial(self, quarantine: crash_suspicions.Quarantine) -> bool:
        """Returns whether this request is the trial of a quarantine.

        The first request after a trial is due only claims it in the store, so
        that no request waits for the store.
        """
        trial_id = quarantine.first_suspicion_id
        if trial_id in self._granted_trials:
            self._granted_trials.discard(trial_id)
            return True
        due_ms = self._trial_due_ms(quarantine)
        is_due = due_ms is not None and self._loop.now_ms() >= due_ms
        if is_due and not self._is_claiming_trial:
            self._is_claiming_trial = True
            tasks.spawn(self._claim_trial(trial_id))
        return False

    def record_crash(
        self,
        target_run: crash_suspicions.TargetRun,
        request_id: str,
        suspects: Sequence[str],
        *,
        sent_at_ms: int | None = None,
        event_count: int | None = None,
    ) -> None:
        """Records a request that was cut off when a target crashed.

        Args:
            target_run: The process that crashed, as of the dispatch.
            request_id: Id of the request.
            suspects: Its identity, and the suspected parts of its prompt.
            sent_at_ms: Time at which it was sent; None if it is unknown.
            event_count: Events that the target had sent, for the log.
        """
        suspicion = self.suspicions.record_crash(
            target_run,
            request_id,
            suspects,
            now_ms=self._loop.now_ms(),
            sent_at_ms=sent_at_ms,
        )
        if suspicion is None:
            return
        self._own_ids.add(suspicion.suspicion_id)
        self._log.event(
            "crash_suspected",
            request=request_id,
            target=target_run.target_id,
            target_started_ms=target_run.started_at_ms,
            target_crashes=target_run.crash_count + 1,
            suspicion=suspicion.suspicion_id,
            prompt_parts=",".join(suspicion.suspects),
            sent_ms_ago=None
            if sent_at_ms is None
            else suspicion.crashed_at_ms - sent_at_ms,
            attempt_events=event_count,
        )
        self._share([suspicion])

    def record_progress(self, request_id: str, suspects: Sequence[str]) -> None:
        """Records that a response to a prompt with these parts goes well."""
        self.suspicions.record_progress(
            request_id, suspects, now_ms=self._loop.now_ms()
        )

    def record_success(self, suspects: Sequence[str]) -> None:
        """Clears the suspects of a request whose response was completed."""
        changed = self.suspicions.record_success(
            suspects, now_ms=self._loop.now_ms()
        )
        if changed:
            self._log.event(
                "prompt_parts_cleared",
                prompt_parts=",".join(suspects[:8]),
                suspicions=len(changed),
            )
            self._share(changed)

    def apply_message(self, message: SuspicionMessage) -> None:
        """Merges the suspicions that a peer sent."""
        self.merge(message.suspicions, source=f"peer:{message.sender.name}")

    def merge(
        self, received: Iterable[crash_suspicions.Suspicion], *, source: str
    ) -> None:
        """Merges suspicions of other instances, without sending them on."""
        changed = self.suspicions.merge(received, now_ms=self._loop.now_ms())
        if not changed:
            return
        # The other instances drop the same ones; only one deletes their keys.
        dropped_ids = set(self.suspicions.pop_dropped_ids())
        self._delete_stored(self._own_ids & dropped_ids)
        self._forget(dropped_ids)
        self._handle_change(source)
        ids = [suspicion.suspicion_id for suspicion in changed]
        stored_own_ids = self._own_ids & self._saved_ids
        self._unsaved_ids.update(
            dict.fromkeys(stored_own_ids.intersection(ids))
        )
        self._save_later(SAVE_DELAY_MS)
        instances = len(self._relays.known_peers()) + 1
        delay_ms = CLEARING_DELAY_MS_PER_INSTANCE * instances
        self._loop.call_later(
            delay_ms * self._random.random(), self._clear_completed, ids
        )

    def _clear_completed(self, suspicion_ids: Sequence[str]) -> None:
        """Shares which suspects of received suspicions were completed here."""
        changed = self.suspicions.clear_completed(
            suspicion_ids, now_ms=self._loop.now_ms()
        )
        if changed:
            self._share(changed)

    def reconcile(
        self,
        received: Sequence[crash_suspicions.Suspicion],
        digest: int,
        peer_address: http_client.Address,
    ) -> None:
        """Merges all suspicions of a peer, and sends it those that it lacks.

        Args:
            received: All suspicions of the peer.
            digest: Digest of these.
            peer_address: Address of the peer API.
        """
        self.merge(received, source=f"peer:{peer_address[0]}")
        if self.suspicions.digest != digest:
            self._send(self.suspicions.all_suspicions(), [peer_address])

    def evict_expired(self) -> None:
        """Evicts old suspicions, here and in the store."""
        expired = self.suspicions.evict_expired(now_ms=self._loop.now_ms())
        if expired:
            self._handle_change("expired")
            ids = {suspicion.suspicion_id for suspicion in expired}
            self._delete_stored(ids)
            self._forget(ids)
            self._save_later(SAVE_DELAY_MS)

    def _delete_stored(self, suspicion_ids: set[str]) -> None:
        """Deletes the keys of suspicions that are not kept any more."""
        self._unsaved_ids.update(dict.fromkeys(self._saved_ids & suspicion_ids))

    def _forget(self, suspicion_ids: set[str]) -> None:
        """Forgets what is recorded of suspicions that are not kept."""
        self._own_ids -= suspicion_ids
        self._saved_ids -= suspicion_ids
        self._granted_trials -= suspicion_ids
        for suspicion_id in suspicion_ids:
            self._trials_by_id.pop(suspicion_id, None)
            self._next_trial_ms_by_id.pop(suspicion_id, None)

    def _share(self, changed: list[crash_suspicions.Suspicion]) -> None:
        if not self._unsent:
            self._loop.call_later(FLUSH_DELAY_MS, self._flush)
        self._unsent.update((s.suspicion_id, s) for s in changed)
        self._unsaved_ids.update(
            (s.suspicion_id, None)
            for s in changed
            if s.suspicion_id in self._saved_ids
        )
        dropped_ids = set(self.suspicions.pop_dropped_ids())
        self._delete_stored(dropped_ids)
        self._forget(dropped_ids)
        self._save_later(SAVE_DELAY_MS)
        self._handle_change("local")

    def _handle_change(self, source: str) -> None:
        """Logs quarantines that begin or end, and notifies the listeners."""
        quarantined = {q.suspects for q in self.suspicions.quarantines}
        for quarantine in self.suspicions.quarantines:
            if quarantine.suspects not in self._quarantined_suspects:
                self._log.event(
                    "prompt_quarantined",
                    prompt_parts=",".join(sorted(quarantine.suspects)),
                    crashes=quarantine.crash_count,
                    last_crash_age_ms=self._loop.now_ms()
                    - quarantine.last_crash_ms,
                    quarantine=quarantine.first_suspicion_id,
                    source=source,
                )
        for suspects in self._quarantined_suspects - quarantined:
            self._log.event(
                "prompt_quarantine_ended",
                prompt_parts=",".join(sorted(suspects)),
                source=source,
            )
        self._quarantined_suspects = quarantined
        for listener in self.listeners:
            listener()

    def _flush(self) -> None:
        unsent, self._unsent = list(self._unsent.values()), {}
        peers = self._relays.peers_to_inform(
            is_store_reachable=not self._contact.is_unavailable
        )
        self._send(unsent, [peer.address for peer in peers])

    def _send(
        self,
        suspicions: list[crash_suspicions.Suspicion],
        addresses: Iterable[http_client.Address],
    ) -> None:
        message = SuspicionMessage(
            suspicions=suspicions, sender=self._local_instance
        )
        body = msgspec.json.encode(message)
        for address in addresses:
            self._client.call(
                address,
                method="POST",
                target=PATH,
                body=body,
                timeout_ms=CALL_TIMEOUT_MS,
            )

    def _save_later(self, delay_ms: int) -> None:
        if not self._is_saving:
            self._is_saving = True
            self._loop.call_later(delay_ms, lambda: tasks.spawn(self._save()))

    def _save(self) -> tasks.Task:
        """Writes what has changed to the store; tries again after a failure.

        Own suspicions are written once a suspect was at several crashes.
        """
        due = self.suspicions.corroborated(self._own_ids - self._saved_ids)
        self._unsaved_ids.update(dict.fromkeys(due))
        if not self._unsaved_ids:
            self._is_saving = False
            return
        known = {s.suspicion_id: s for s in self.suspicions.all_suspicions()}
        batch = list(self._unsaved_ids)[:MAX_WRITES]
        for suspicion_id in batch:
            del self._unsaved_ids[suspicion_id]
        self._saved_ids &= known.keys()
        writes = [
            store_api.Write(
                STORE_PREFIX + suspicion_id,
                msgspec.json.encode(known[suspicion_id])
                if suspicion_id in known and known[suspicion_id].suspects
                else None,
            )
            for suspicion_id in batch
        ]
        response = yield self._store.commit(writes, timeout_ms=1_000)
        self._is_saving = False
        is_saved = isinstance(response, store_api.Committed)
        if is_saved:
            self._saved_ids.update(known.keys() & batch)
        else:
            self._unsaved_ids.update(dict.fromkeys(batch))
        if self._unsaved_ids and not self._is_stopped:
            self._save_later(FLUSH_DELAY_MS if is_saved else RETRY_DELAY_MS)

    def _trial_due_ms(
        self, quarantine: crash_suspicions.Quarantine
    ) -> int | None:
        """Returns when a trial is due; None if there will be no more."""
        trial_id = quarantine.first_suspicion_id
        trials = self._trials_by_id.get(trial_id, 0)
        if trials >= len(TRIAL_DELAYS_MS):
            return None
        return max(
            quarantine.last_crash_ms + TRIAL_DELAYS_MS[trials],
            self._next_trial_ms_by_id.get(trial_id, 0),
        )

    def _claim_trial(self, trial_id: str) -> tasks.Task:
        """Claims the next trial for this instance, unless a peer has it."""
        trials = self._trials_by_id.get(trial_id, 0)
        local = self._local_instance
        owner = f"{local.name} {local.incarnation}".encode()
        response = yield self._store.commit(
            [
                store_api.Write(
                    f"{TRIAL_PREFIX}{trial_id}-{trials}",
                    owner,
                    expected_revision=0,
                )
            ],
            timeout_ms=1_000,
        )
        self._is_claiming_trial = False
        # A claim without a response may have been written.
        is_own = isinstance(response, store_api.Conflicted) and any(
            item.value == owner for item in response.items
        )
        is_granted = is_own or isinstance(response, store_api.Committed)
        if not is_granted and not isinstance(response, store_api.Conflicted):
            self._next_trial_ms_by_id[trial_id] = (
                self._loop.now_ms() + CLAIM_RETRY_DELAY_MS
            )
            return
        self._trials_by_id[trial_id] = trials + 1
        self._next_trial_ms_by_id[trial_id] = (
            self._loop.now_ms() + TRIAL_DELAYS_MS[trials]
        )
        if is_granted:
            self._granted_trials.add(trial_id)
        self._log.event(
            "quarantine_trial_claimed",
            quarantine=trial_id,
            trial=trials + 1,
            is_granted=is_granted,
        )

    def _watch_forever(self) -> tasks.Task:
        """Reads all suspicions, then watches; reads again after a failure.

        Also in a new era of the store, which may have lost the latest ones.
        """
        revision, era = 0, self._store.era.number
        while not self._is_stopped:
            if self._contact.is_unavailable or not self._must_watch_store():
                yield tasks.sleep(self._loop, IDLE_POLL_INTERVAL_MS)
                revision = 0
                continue
            is_listing = revision == 0
            if is_listing:
                response = yield self._store.read_prefix(STORE_PREFIX)
            else:
                response = yield from self._watch(revision)
            delay_ms = RETRY_DELAY_MS
            is_new_era = era not in (0, self._store.era.number)
            era = self._store.era.number
            if is_new_era:
                revision = 0
            elif isinstance(response, store_api.Items):
                if is_listing:
                    self._save_missing(response.items)
                self._apply_items(response.items)
                revision = response.at_revision
                delay_ms = WATCH_INTERVAL_MS
            else:
                revision = 0
            yield tasks.sleep(
                self._loop, delay_ms * (0.5 + self._random.random())
            )

    def _watch(self, revision: int) -> tasks.Task:
        """Watches once; gives up when other calls find the store unreachable.

        These wait for shorter times, so that a dead connection of the watch is
        noticed sooner.
        """
        watch = self._store.watch(
            STORE_PREFIX, after_revision=revision, wait_ms=WATCH_TIMEOUT_MS
        )
        while not watch.done() and not self._contact.is_unavailable:
            yield tasks.with_timeout(
                self._loop, watch, CONTACT_POLL_INTERVAL_MS
            )
        return watch.result() if watch.done() else store_api.NoResponse()

    def _save_missing(self, items: Iterable[store_api.Item]) -> None:
        """Writes the known suspicions that a list from the store lacks."""
        listed = {item.key.removeprefix(STORE_PREFIX) for item in items}
        missing = [
            suspicion.suspicion_id
            for suspicion in self.suspicions.all_suspicions()
            if suspicion.suspicion_id not in listed and suspicion.suspects
        ]
        due = self.suspicions.corroborated(missing)
        if due:
            self._unsaved_ids.update(dict.fromkeys(due))
            self._save_later(SAVE_DELAY_MS)

    def _apply_items(self, items: Iterable[store_api.Item]) -> None:
        received = []
        known = {s.suspicion_id: s for s in self.suspicions.all_suspicions()}
        for item in items:
            suspicion_id = item.key.removeprefix(STORE_PREFIX)
            if item.value is not None:
                try:
                    suspicion = json_documents.decode(
                        item.value, crash_suspicions.Suspicion
                    )
                except msgspec.DecodeError as error:
                    self._log.event(
                        "suspicion_malformed", key=item.key, error=error
                    )
                    continue
                self._saved_ids.add(suspicion_id)
                received.append(suspicion)
                continue
            self._saved_ids.discard(suspicion_id)
            if suspicion_id in known:
                # An instance has cleared all suspects.
                received.append(
                    msgspec.structs.replace(known[suspicion_id], suspects=())
                )
        self.merge(received, source="store")
        self._forget_what_is_not_kept(received)

    def _forget_what_is_not_kept(
        self, stored: Iterable[crash_suspicions.Suspicion]
    ) -> None:
        """Forgets stored suspicions beyond the limit, and deletes expired ones.

        The instance that wrote them may be gone.
        """
        known_ids = {s.suspicion_id for s in self.suspicions.all_suspicions()}
        unkept = [s for s in stored if s.suspicion_id not in known_ids]
        now_ms = self._loop.now_ms()
        expired_ids = {
            s.suspicion_id
            for s in unkept
            if now_ms - s.crashed_at_ms > crash_suspicions.RETENTION_MS
        }
        if expired_ids:
            self._delete_stored(expired_ids)
            self._save_later(SAVE_DELAY_MS)
        self._forget({s.suspicion_id for s in unkept})

    def __repr__(self) -> str:
        return f"RequestQuarantine({self.suspicions!r})"
