"""Reads the operators' keys and the targets from the store and watches them.

The operators' keys are the configuration and the evacuated zones. One watch of
their common prefix covers both.
"""

from __future__ import annotations

from concurrent import futures
import functools
import random

from bambooglade.discovery import codec as codec_lib
from bambooglade.discovery import operator_keys
from bambooglade.discovery import relays as relays_lib
from bambooglade.discovery import view as view_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.store import dependency_monitor
from bambooglade.store import store_api

WATCH_TIMEOUT_MS = 3_000
"""Maximum wait of one watch, and thus the time to detect a dead connection.

A connection fault exempts an instance from the deadline for changes for at
least 3 s, and the instance then has at least 2 s to apply a change.
"""

WATCH_INTERVAL_MS = 400
"""Mean interval between watches, so that one call covers several changes.

Without it, the number of calls while all targets register would be the product
of instances and targets.
"""

RETRY_DELAY_MS = 300
"""Mean delay after a failed call to the store."""

LARGE_FLEET_RETRY_DELAY_MS = 700
"""Mean delay after a failed call to the store in a large fleet.

There, each retry costs one call per instance, and updates that one instance
reads reach the others through the relays and peers. A call that fails is only
repeated after a renewal of the lease got a response.
"""

RELAY_WATCH_TIMEOUT_FRACTION = 0.2
"""Maximum watch wait in a large fleet, as a fraction of `stale_after_ms`.

The wait is short because other instances rely on the view of the relay.
"""

RELAY_WATCH_INTERVAL_FRACTION = 0.22
"""Mean watch interval in a large fleet, as a fraction of `stale_after_ms`.

The heartbeats of targets end each watch at once, so that the interval decides
how many watches there are. The longest one, of 1.5 times the mean, and the wait
of a watch must leave time for the wait of an instance at its relay: 0.33, 0.2
and 0.4.
"""

CATCH_UP_WAIT_MS = 1
"""Wait of a watch that returns what has changed until now."""

MIN_CATCH_UP_INTERVAL_MS = 100
"""Shortest time between two calls of `StoreWatcher.catch_up` to the store.

It limits the calls when many requests need one at the same moment.
"""

IDLE_POLL_INTERVAL_MS = 250
"""Interval at which an idle watcher checks whether it has to call the store."""


class StoreWatcher:
    """Keeps a view up to date with the store.

    Args:
        loop: The event loop.
        store: The store.
        view: View that is kept up to date.
        codec: Defines the keys of the operators and the targets.
        relays: Decides whether a relay watches the store for this instance.
        contact: Records responses and failures of the store.
        random_source: Source of the jitter in the intervals.
    """

    __slots__ = (
        "_catch_up_started_at_ms",
        "_codec",
        "_contact",
        "_is_stopped",
        "_loop",
        "_next_catch_up",
        "_random",
        "_relays",
        "_store",
        "_view",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        store: store_api.TransactionalStore,
        view: view_lib.FleetView,
        *,
        codec: codec_lib.ItemCodec,
        relays: relays_lib.RelaySelector,
        contact: dependency_monitor.DependencyMonitor,
        random_source: random.Random,
    ) -> None:
        self._loop = loop
        self._store = store
        self._view = view
        self._codec = codec
        self._relays = relays
        self._contact = contact
        self._random = random_source
        self._is_stopped = False
        self._next_catch_up: futures.Future | None = None
        self._catch_up_started_at_ms = 0
        store.era.listeners.append(self._begin_era)

    def _begin_era(self) -> None:
        self._view.begin_era(now_ms=self._loop.now_ms())

    def start(self) -> None:
        """Starts to watch the operators' keys and the targets."""
        for prefix, is_targets in self._prefixes:
            tasks.keep_running(
                self._loop,
                functools.partial(self._watch_forever, prefix, is_targets),
            )

    def stop(self) -> None:
        """Stops once the calls in flight have ended."""
        self._is_stopped = True

    def read_configuration(self) -> futures.Future:
        """Reads the operators' keys, and completes when the read ends."""
        return tasks.spawn(self._read_all(self._codec.operator_prefix, False))

    def catch_up(self) -> futures.Future:
        """Reads what has changed until now, whether or not a relay does.

        Calls that have to wait share one read.

        Returns:
            A future with whether the store has responded to reads that began
            after this call.
        """
        if self._next_catch_up is None:
            self._next_catch_up = futures.Future()
            due_ms = self._catch_up_started_at_ms + MIN_CATCH_UP_INTERVAL_MS
            self._loop.call_later(
                due_ms - self._loop.now_ms(), self._start_catch_up
            )
        return self._next_catch_up

    def _start_catch_up(self) -> None:
        done, self._next_catch_up = self._next_catch_up, None
        self._catch_up_started_at_ms = self._loop.now_ms()
        tasks.spawn(self._catch_up(done))

    def _catch_up(self, done: futures.Future) -> tasks.Task:
        is_successful = False
        try:
            first, second = (
                tasks.spawn(self._read_changes(prefix, is_targets))
                for prefix, is_targets in self._prefixes
            )
            is_successful = (yield first) and (yield second)
        finally:
            tasks.complete(done, is_successful)

    def _read_changes(self, prefix: str, is_targets: bool) -> tasks.Task:
        """Reads what has changed; returns whether the store responded."""
        revision = self._revision(is_targets)
        if revision == 0:
            return (yield tasks.spawn(self._read_all(prefix, is_targets)))
        return (
            yield tasks.spawn(
                self._watch(
                    prefix, revision, is_targets, wait_ms=CATCH_UP_WAIT_MS
                )
            )
        )

    def _revision(self, is_targets: bool) -> int:
        """Returns the revision as of which a part of the view is complete."""
        view = self._view
        return (
            view.targets_revision if is_targets else view.configuration_revision
        )

    @property
    def _prefixes(self) -> tuple[tuple[str, bool], ...]:
        """The watched prefixes, and whether they hold targets."""
        return (
            (self._codec.operator_prefix, False),
            (self._codec.target_prefix, True),
        )

    def _watch_forever(self, prefix: str, is_targets: bool) -> tasks.Task:
        """Watches a prefix; after a failure, reads the current items instead.

        After a failure, a watch would return every version since the last
        revision. That may be more data than the network link transfers before
        the next timeout. In a large fleet, where calls pause during an outage,
        the failed call may have been another one.
        """
        is_successful, outage_count = False, 0
        while not self._is_stopped:
            if not self._should_call_store(is_targets):
                yield tasks.sleep(self._loop, IDLE_POLL_INTERVAL_MS)
                continue
            if self._relays.uses_relays():
                is_successful &= outage_count == self._contact.outage_count
            outage_count = self._contact.outage_count
            revision = self._revision(is_targets)
            if revision == 0 or not is_successful:
                is_successful = yield tasks.spawn(
                    self._read_all(prefix, is_targets)
                )
            else:
                is_successful = yield tasks.spawn(
                    self._watch(
                        prefix,
                        revision,
                        is_targets,
                        wait_ms=self._watch_timeout_ms,
                    )
                )
            yield self._sleep_with_jitter(self._delay_ms(is_successful))

    def _should_call_store(self, is_targets: bool) -> bool:
        """Returns whether this instance should call the store.

        While the store is unreachable, a large fleet detects by the renewals
        of its leases that it has recovered, as these cost a tenth of a read.
        One of the two loops then reads, and the other one follows if it got a
        response.
        """
        if self._contact.is_unavailable and self._relays.uses_relays():
            return not is_targets and self._contact.has_probe_response
        if self._contact.is_unavailable:
            return True
        view = self._view
        return self._relays.must_watch_store(
            now_ms=self._loop.now_ms(),
            checked_at_ms=(
                view.targets_checked_at_ms
                if is_targets
                else view.configuration_checked_at_ms
            ),
        )

    def _delay_ms(self, is_successful: bool) -> int:
        if self._relays.uses_relays():
            return (
                round(
                    RELAY_WATCH_INTERVAL_FRACTION * self._relays.stale_after_ms
                )
                if is_successful
                else LARGE_FLEET_RETRY_DELAY_MS
            )
        return WATCH_INTERVAL_MS if is_successful else RETRY_DELAY_MS

    def _sleep_with_jitter(self, mean_ms: int) -> futures.Future:
        return tasks.sleep(self._loop, mean_ms * (0.5 + self._random.random()))

    def _read_all(self, prefix: str, is_targets: bool) -> tasks.Task:
        """Reads all pages; returns whether the store responded.

        Pages of two eras don't belong together, and what was asked for in an
        earlier era is read again.
        """
        era, items, first_revision = -1, [], 0
        began_at_ms = self._loop.now_ms()
        while era != self._store.era.number:
            era = self._store.era.number
            began_at_ms = self._loop.now_ms()
            pages = yield from self._read_pages(prefix)
            if pages is None:
                return False
            items, first_revision = pages
            if era == 0:
                break
        if is_targets:
            self._view.apply_target_list(
                items,
                at_revision=first_revision,
                now_ms=self._loop.now_ms(),
                source="store",
                recovery_ends_at_ms=self._contact.recovery_ends_at_ms,
            )
            self._confirm_targets(began_at_ms)
        else:
            self._apply_operator_keys(
                items, first_revision, began_at_ms, is_list=True
            )
        return True

    def _read_pages(self, prefix: str) -> tasks.Task:
        """Returns all items and the revision of the first page; or None."""
        items: list[store_api.Item] = []
        after_key, first_revision = "", 0
        while True:
            response = yield self._store.read_prefix(
                prefix, after_key=after_key
            )
            if not self._record_response(response):
                return None
            items += response.items
            first_revision = first_revision or response.at_revision
            if not response.has_more or not response.items:
                return items, first_revision
            after_key = response.items[-1].key

    def _confirm_targets(self, began_at_ms: int) -> None:
        """Records that the targets include all that a read returned."""
        self._view.targets_checked_at_ms = self._loop.now_ms()
        self._view.targets_read_at_ms = max(
            began_at_ms, self._view.targets_read_at_ms or 0
        )

    @property
    def _watch_timeout_ms(self) -> int:
        if not self._relays.uses_relays():
            return WATCH_TIMEOUT_MS
        return round(RELAY_WATCH_TIMEOUT_FRACTION * self._relays.stale_after_ms)

    def _watch(
        self, prefix: str, revision: int, is_targets: bool, *, wait_ms: int
    ) -> tasks.Task:
        """Watches once; returns whether the store responded.

        In a new era, the revision after which was watched may exist again, so
        that the response lacks changes without any sign of it.
        """
        era, began_at_ms = self._store.era.number, self._loop.now_ms()
        response = yield self._store.watch(
            prefix,
            after_revision=revision,
            wait_ms=wait_ms,
        )
        if isinstance(response, store_api.HistoryLost):
            self._contact.record_success(now_ms=self._loop.now_ms())
            return (yield tasks.spawn(self._read_all(prefix, is_targets)))
        if not self._record_response(response):
            return False
        if era not in (0, self._store.era.number):
            return (yield tasks.spawn(self._read_all(prefix, is_targets)))
        if is_targets:
            self._view.apply_target_changes(
                response,
                now_ms=self._loop.now_ms(),
                source="store",
                recovery_ends_at_ms=self._contact.recovery_ends_at_ms,
            )
            self._confirm_targets(began_at_ms)
        else:
            self._apply_operator_keys(
                response.items,
                response.at_revision,
                began_at_ms,
                is_list=False,
            )
        return True

    def _apply_operator_keys(
        self,
        items: list[store_api.Item],
        at_revision: int,
        began_at_ms: int,
        *,
        is_list: bool,
    ) -> None:
        """Applies the evacuated zones first, as a configuration may use them.

        Args:
            items: Items that were read or that changed.
            at_revision: Revision up to which they are complete.
            began_at_ms: Time at which the call to the store began.
            is_list: Whether they are all items instead of the changes only.
        """
        evacuations, era = self._view.evacuations, self._store.era.number
        apply_zones = (
            evacuations.apply_list if is_list else evacuations.apply_changes
        )
        apply_zones(
            operator_keys.zone_records(
                items,
                codec=self._codec,
                era=era,
                record_malformed=evacuations.record_malformed,
            ),
            era=era,
            at_revision=at_revision,
            now_ms=self._loop.now_ms(),
            source="store",
        )
        for item in items:
            if item.key == self._codec.configuration_key:
                self._view.apply_configuration(item, source="store")
        self._view.confirm_configuration(
            at_revision, now_ms=self._loop.now_ms()
        )
        self._view.configuration_read_at_ms = max(
            began_at_ms, self._view.configuration_read_at_ms or 0
        )

    def _record_response(self, response: store_api.Response) -> bool:
        now_ms = self._loop.now_ms()
        if isinstance(response, store_api.Items):
            self._contact.record_success(now_ms=now_ms)
            return True
        reason = type(response).__name__.lower()
        if isinstance(response, store_api.Refused):
            reason = f"status_{response.status}"
        self._contact.record_failure(now_ms=now_ms, reason=reason)
        return False

    def __repr__(self) -> str:
        return f"StoreWatcher(contact={self._contact!r})"
