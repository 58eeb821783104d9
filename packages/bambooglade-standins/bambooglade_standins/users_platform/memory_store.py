"""In-memory emulation of the platform's key-value store, with faults.

See Also:
    bambooglade_standins.users_platform.store_server: its HTTP interface.
"""

from __future__ import annotations

from concurrent import futures
import enum
import functools

from bambooglade.core import event_log
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.store import store_api
from bambooglade.store import store_era

RESPONSE_DELAY_MS = 4
"""Response time given in the data sheet of the platform."""

PAGE_ITEMS = 500
"""Maximum items per page."""

MAX_ENTRIES = 32
"""Maximum conditions, values and removals per transaction."""


class Fault(enum.Enum):
    """Fault that applies to subsequent calls."""

    NONE = enum.auto()
    UNRESPONSIVE = enum.auto()
    BUSY = enum.auto()
    LOSE_RESPONSES = enum.auto()
    DELAY_WRITES = enum.auto()


class StoreCopy:
    """Copy of the contents of a `MemoryStore`, for `MemoryStore.restore`."""

    __slots__ = ("item_by_key", "lease_by_key", "revision", "ttl_ms_by_lease")

    def __init__(
        self,
        *,
        item_by_key: dict[str, store_api.Item],
        lease_by_key: dict[str, int],
        ttl_ms_by_lease: dict[int, int],
        revision: int,
    ) -> None:
        self.item_by_key = item_by_key
        self.lease_by_key = lease_by_key
        self.ttl_ms_by_lease = ttl_ms_by_lease
        self.revision = revision

    def __repr__(self) -> str:
        return f"StoreCopy(revision={self.revision})"


class MemoryStore:
    """A linearizable key-value store on an event loop.

    Args:
        loop: Event loop that schedules the responses.

    Attributes:
        fault: The active fault.
        write_delay_ms: Delay of writes under `Fault.DELAY_WRITES`.
        response_delay_ms: Response time.
        stale_ms: Age of what reads return that may be stale.
        call_count: Number of calls so far.
        revision: Revision of the latest change.
        era_number: Era of the store; each restore begins one.
    """

    def __init__(self, loop: loop_lib.EventLoop) -> None:
        self._loop = loop
        self._item_by_key: dict[str, store_api.Item] = {}
        self._lease_by_key: dict[str, int] = {}
        self._ttl_ms_by_lease: dict[int, int] = {}
        self._expiry_timer_by_lease: dict[int, loop_lib.Timer] = {}
        self._history: list[store_api.Item] = []
        self._history_start_revision = 0
        self._watches: list[tuple[str, int, futures.Future]] = []
        self.era_number = 1
        self.fault = Fault.NONE
        self.write_delay_ms = 3_000
        self.response_delay_ms = RESPONSE_DELAY_MS
        self.stale_ms = 0
        self.call_count = 0
        self.revision = 10
        # All changes with their times, for reads that may be stale.
        self._changes: list[tuple[int, store_api.Item]] = []

    def put_now(self, key: str, value: bytes | None) -> int:
        """Writes a key synchronously, for operators and engines.

        Returns the new revision.
        """
        self.revision += 1
        self._apply(store_api.Write(key, value))
        self._notify()
        return self.revision

    def peek(self, key: str) -> bytes | None:
        """Returns the value of a key, or None if the key does not exist."""
        item = self._item_by_key.get(key)
        return item.value if item else None

    def list_keys(self) -> list[str]:
        """Returns the keys that exist."""
        return list(self._item_by_key)

    def compact_history(self) -> None:
        """Drops the history and ends all watches with `HistoryLost`."""
        self._history.clear()
        self._history_start_revision = self.revision
        watches, self._watches = self._watches, []
        for _, _, future in watches:
            tasks.complete(future, store_api.HistoryLost())

    def copy(self) -> StoreCopy:
        """Returns a copy of the contents, with the leases that exist."""
        return StoreCopy(
            item_by_key=dict(self._item_by_key),
            lease_by_key=dict(self._lease_by_key),
            ttl_ms_by_lease={
                lease: self._ttl_ms_by_lease[lease]
                for lease in self._expiry_timer_by_lease
            },
            revision=self.revision,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Returns to an older copy: all writes since are lost, leases too.

        Revisions and leases are given out again. Watches are cut.
        """
        for timer in self._expiry_timer_by_lease.values():
            timer.cancel()
        self._expiry_timer_by_lease.clear()
        self._item_by_key = dict(copy.item_by_key)
        self._lease_by_key = dict(copy.lease_by_key)
        self._ttl_ms_by_lease = dict(copy.ttl_ms_by_lease)
        self.revision = copy.revision
        self._history = [
            item for item in self._history if item.revision <= copy.revision
        ]
        self.era_number += 1
        for lease_id in copy.ttl_ms_by_lease:
            self._extend(lease_id)
        watches, self._watches = self._watches, []
        for _, _, future in watches:
            tasks.complete(future, store_api.NoResponse())

    def read(self, key: str) -> futures.Future:
        """Reads one key."""
        return self._respond(
            lambda: self._item_by_key.get(key) or store_api.Item(key, None, 0)
        )

    def read_prefix(
        self, prefix: str, *, after_key: str = "", allow_stale: bool = False
    ) -> futures.Future:
        """Reads a page of keys with a prefix."""

        def page() -> store_api.Items:
            item_by_key, revision = self._item_by_key, self.revision
            if allow_stale and self.stale_ms:
                item_by_key, revision = self._state_at(
                    self._loop.now_ms() - self.stale_ms
                )
            keys = sorted(
                key
                for key in item_by_key
                if key.startswith(prefix) and key > after_key
            )
            items = [item_by_key[key] for key in keys[:PAGE_ITEMS]]
            return store_api.Items(
                items, at_revision=revision, has_more=len(keys) > PAGE_ITEMS
            )

        return self._respond(page)

    def _state_at(self, at_ms: int) -> tuple[dict[str, store_api.Item], int]:
        """Returns the items and the revision as of a time."""
        item_by_key: dict[str, store_api.Item] = {}
        revision = 0
        for changed_at_ms, item in self._changes:
            if changed_at_ms > at_ms:
                break
            revision = item.revision
            item_by_key.pop(item.key, None)
            if item.value is not None:
                item_by_key[item.key] = item
        return item_by_key, revision

    def watch(
        self, prefix: str, *, after_revision: int, wait_ms: int
    ) -> futures.Future:
        """Waits for changes of keys with a prefix."""
        if self.fault in (Fault.UNRESPONSIVE, Fault.BUSY):
            return self._respond(store_api.NotFound)
        self.call_count += 1
        future: futures.Future = futures.Future()
        if not self._history_start_revision <= after_revision <= self.revision:
            tasks.complete(future, store_api.HistoryLost())
            return future
        self._watches.append((prefix, after_revision, future))
        self._loop.call_later(
            wait_ms, self._complete_watch, prefix, after_revision, future
        )
        self._loop.call_later(self.response_delay_ms, self._notify)
        return future

    def commit(
        self, writes: list[store_api.Write], *, timeout_ms: int
    ) -> futures.Future:
        """Applies all writes atomically if their conditions hold."""
        del timeout_ms
        conditions = [w for w in writes if w.expected_revision is not None]
        assert len(writes) + len(conditions) <= MAX_ENTRIES
        return self._respond(lambda: self._commit_now(writes), is_write=True)

    def grant_lease(self, *, ttl_ms: int) -> futures.Future:
        """Grants a lease."""

        def grant() -> store_api.LeaseGranted:
            lease_id = max(self._ttl_ms_by_lease, default=0) + 1
            self._ttl_ms_by_lease[lease_id] = ttl_ms
            self._extend(lease_id)
            return store_api.LeaseGranted(lease_id, ttl_ms)

        return self._respond(grant, is_write=True)

    def renew_lease(self, lease_id: int) -> futures.Future:
        """Renews a lease."""

        def renew() -> store_api.Response:
            if lease_id not in self._expiry_timer_by_lease:
                return store_api.NotFound()
            self._extend(lease_id)
            return store_api.Committed()

        return self._respond(renew)

    def revoke_lease(self, lease_id: int) -> futures.Future:
        """Revokes a lease and deletes its keys."""

        def revoke() -> store_api.Response:
            self._expire(lease_id)
            return store_api.Committed()

        return self._respond(revoke, is_write=True)

    def _respond(self, execute, *, is_write: bool = False) -> futures.Future:
        self.call_count += 1
        future: futures.Future = futures.Future()
        if self.fault is Fault.UNRESPONSIVE:
            tasks.complete(future, store_api.NoResponse())
        elif self.fault is Fault.BUSY:
            tasks.complete(future, store_api.Refused(503))
        elif is_write and self.fault is Fault.LOSE_RESPONSES:
            execute()
            self._loop.call_later(
                self.response_delay_ms,
                tasks.complete,
                future,
                store_api.NoResponse(),
            )
        elif is_write and self.fault is Fault.DELAY_WRITES:
            self._loop.call_later(self.write_delay_ms, execute)
            tasks.complete(future, store_api.NoResponse())
        else:
            self._loop.call_later(
                self.response_delay_ms,
                lambda: tasks.complete(future, execute()),
            )
        return future

    def _commit_now(self, writes: list[store_api.Write]) -> store_api.Response:
        for write in writes:
            current = self._item_by_key.get(write.key)
            revision = current.revision if current else 0
            if write.expected_revision not in (None, revision):
                return store_api.Conflicted(
                    [
                        self._item_by_key.get(w.key)
                        or store_api.Item(w.key, None, 0)
                        for w in writes
                        if w.expected_revision is not None
                    ]
                )
        self.revision += 1
        for write in writes:
            self._apply(write)
        self._notify()
        return store_api.Committed(self.revision)

    def _apply(self, write: store_api.Write) -> None:
        item = store_api.Item(write.key, write.value, self.revision)
        self._history.append(item)
        self._changes.append((self._loop.now_ms(), item))
        self._lease_by_key.pop(write.key, None)
        if write.value is None:
            self._item_by_key.pop(write.key, None)
            return
        self._item_by_key[write.key] = item
        if write.lease_id:
            self._lease_by_key[write.key] = write.lease_id

    def _extend(self, lease_id: int) -> None:
        timer = self._expiry_timer_by_lease.get(lease_id)
        if timer is not None:
            timer.cancel()
        self._expiry_timer_by_lease[lease_id] = self._loop.call_later(
            self._ttl_ms_by_lease[lease_id], self._expire, lease_id
        )

    def _expire(self, lease_id: int) -> None:
        self._expiry_timer_by_lease.pop(lease_id, None)
        for key, lease in list(self._lease_by_key.items()):
            if lease == lease_id:
                self.put_now(key, None)

    def _changes_after(
        self, prefix: str, after_revision: int
    ) -> store_api.Items:
        items = [
            item
            for item in self._history
            if item.key.startswith(prefix) and item.revision > after_revision
        ]
        return store_api.Items(items, at_revision=self.revision)

    def _notify(self) -> None:
        for prefix, after_revision, future in list(self._watches):
            if self._changes_after(prefix, after_revision).items:
                self._complete_watch(prefix, after_revision, future)

    def _complete_watch(
        self, prefix: str, after_revision: int, future: futures.Future
    ) -> None:
        watch = (prefix, after_revision, future)
        if watch in self._watches:
            self._watches.remove(watch)
            if self.fault is Fault.UNRESPONSIVE:
                tasks.complete(future, store_api.NoResponse())
            else:
                tasks.complete(
                    future, self._changes_after(prefix, after_revision)
                )

    def __repr__(self) -> str:
        return f"MemoryStore(revision={self.revision}, fault={self.fault})"


class StoreClient:
    """In-process client of a `MemoryStore` with the interface of the store.

    Args:
        store: The store.
        log: Receives an event when the era changes.

    Attributes:
        era: Era of the store that this client has observed.
    """

    def __init__(self, store: MemoryStore, log: event_log.EventLog) -> None:
        self._store = store
        self.era = store_era.StoreEra(log)

    def __getattr__(self, name: str):
        """Returns a call of the store that observes the era at its end."""
        return functools.partial(self._call, getattr(self._store, name))

    def _call(self, call, *args, **kwargs) -> futures.Future:
        response = call(*args, **kwargs)
        response.add_done_callback(self._observe_era)
        return response

    def _observe_era(self, done: futures.Future) -> None:
        if not isinstance(done.result(), store_api.NoResponse):
            self.era.observe(self._store.era_number, source="store")

    def __repr__(self) -> str:
        return f"StoreClient({self._store!r})"
