"""Follows the store: reads configuration and targets, and watches them."""

from __future__ import annotations

from concurrent import futures
import functools
import random

from bambooglade.discovery import codec as codec_lib
from bambooglade.discovery import relays as relays_lib
from bambooglade.discovery import view as view_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.store import contact as contact_lib
from bambooglade.store import port

WATCH_WAIT_MS = 3_000
"""Longest wait of one watch; bounds how long a silent connection is trusted.

A fault of connections excuses an instance for 3 s and more, and a change has
to be in force 2 s later at the earliest.
"""

WATCH_PAUSE_MS = 400
"""Mean pause between two watches, so that changes in a row cost one call.

Instances times targets calls would be made while all targets register.
"""

RETRY_PAUSE_MS = 300
"""Mean pause after a failure of the store."""

LARGE_FLEET_RETRY_PAUSE_MS = 700
"""The same in a large fleet, where each try costs as many calls as there are
instances; what one of them learns reaches the others by itself."""

RELAY_WATCH_SHARE = 0.2
"""Longest wait of one watch in a large fleet, as a part of the age at which a
view is stale: others rely on its answer."""

RELAY_PAUSE_SHARE = 0.15
"""Mean pause between two watches in a large fleet, as a part of that age."""

IDLE_PAUSE_MS = 250
"""Time between two looks at whether the store has to be followed."""


class StoreWatcher:
    """Keeps a view in step with the store.

    Args:
        loop: The event loop.
        store: The store.
        view: What is kept in step.
        codec: Knows the keys.
        relays: Tells whether another instance follows on behalf of this one.
        contact: Told of answers and failures.
        random_source: Spreads the pauses of the instances.
    """

    __slots__ = (
        "_codec",
        "_contact",
        "_is_stopped",
        "_loop",
        "_random",
        "_relays",
        "_store",
        "_view",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        store: port.TransactionalStore,
        view: view_lib.FleetView,
        *,
        codec: codec_lib.ItemCodec,
        relays: relays_lib.RelaySelector,
        contact: contact_lib.Contact,
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

    def start(self) -> None:
        """Starts to follow configuration and targets."""
        for prefix, is_targets in (
            (self._codec.configuration_key, False),
            (self._codec.target_prefix, True),
        ):
            tasks.keep_running(
                self._loop, functools.partial(self._follow, prefix, is_targets)
            )

    def stop(self) -> None:
        """Ends after the calls that are under way."""
        self._is_stopped = True

    def read_configuration(self) -> futures.Future:
        """Reads the configuration; the future completes when that ended."""
        return tasks.spawn(self._read_all(self._codec.configuration_key, False))

    def _follow(self, prefix: str, is_targets: bool) -> tasks.Task:
        """Watches; after a failure it reads what is in force now.

        A watch would bring every version since, which may be more than the
        link carries before the next time-out.
        """
        is_answered = False
        while not self._is_stopped:
            if not self._is_needed(is_targets):
                yield tasks.sleep(self._loop, IDLE_PAUSE_MS)
                continue
            view = self._view
            revision = (
                view.targets_revision
                if is_targets
                else view.configuration_revision
            )
            if revision == 0 or not is_answered:
                is_answered = yield tasks.spawn(
                    self._read_all(prefix, is_targets)
                )
            else:
                is_answered = yield tasks.spawn(
                    self._watch(prefix, revision, is_targets)
                )
            yield self._pause(self._pause_ms(is_answered))

    def _is_needed(self, is_targets: bool) -> bool:
        """Returns whether to call the store.

        While it is lost, one of the two loops of each instance of a large
        fleet suffices to find it again.
        """
        if self._contact.is_lost:
            return not (is_targets and self._relays.is_fleet_large())
        return self._relays.must_watch_store(
            now_ms=self._loop.now_ms(), checked_at_ms=self._view.checked_at_ms
        )

    def _pause_ms(self, is_answered: bool) -> int:
        if self._relays.is_fleet_large():
            return (
                round(RELAY_PAUSE_SHARE * self._relays.stale_ms)
                if is_answered
                else LARGE_FLEET_RETRY_PAUSE_MS
            )
        return WATCH_PAUSE_MS if is_answered else RETRY_PAUSE_MS

    def _pause(self, mean_ms: int) -> futures.Future:
        return tasks.sleep(self._loop, mean_ms * (0.5 + self._random.random()))

    def _read_all(self, prefix: str, is_targets: bool) -> tasks.Task:
        """Reads all pages; returns whether the store answered."""
        items: list[port.Item] = []
        after_key, first_revision = "", 0
        while True:
            answer = yield self._store.read_prefix(prefix, after_key=after_key)
            if not self._note(answer):
                return False
            items += answer.items
            first_revision = first_revision or answer.at_revision
            if not answer.has_more or not answer.items:
                break
            after_key = answer.items[-1].key
        if is_targets:
            self._view.take_all_targets(
                items,
                at_revision=first_revision,
                now_ms=self._loop.now_ms(),
                source="store",
                is_after_outage=self._is_just_back(),
            )
            self._view.targets_checked_at_ms = self._loop.now_ms()
        else:
            self._take_configuration(items, first_revision)
        return True

    def _watch(
        self, prefix: str, revision: int, is_targets: bool
    ) -> tasks.Task:
        """Watches once; returns whether the store answered."""
        wait_ms = WATCH_WAIT_MS
        if self._relays.is_fleet_large():
            wait_ms = round(RELAY_WATCH_SHARE * self._relays.stale_ms)
        answer = yield self._store.watch(
            prefix,
            after_revision=revision,
            wait_ms=wait_ms,
        )
        if isinstance(answer, port.HistoryLost):
            self._contact.answered(now_ms=self._loop.now_ms())
            return (yield tasks.spawn(self._read_all(prefix, is_targets)))
        if not self._note(answer):
            return False
        if is_targets:
            self._view.take_changes(
                answer,
                now_ms=self._loop.now_ms(),
                source="store",
                is_after_outage=self._is_just_back(),
            )
            self._view.targets_checked_at_ms = self._loop.now_ms()
        else:
            self._take_configuration(answer.items, answer.at_revision)
        return True

    def _take_configuration(
        self, items: list[port.Item], at_revision: int
    ) -> None:
        for item in items:
            if item.key == self._codec.configuration_key:
                self._view.apply_configuration(item, source="store")
        self._view.configuration_is_as_of(
            at_revision, now_ms=self._loop.now_ms()
        )

    def _is_just_back(self) -> bool:
        return self._contact.is_just_back(now_ms=self._loop.now_ms())

    def _note(self, answer: port.Answer) -> bool:
        now_ms = self._loop.now_ms()
        if isinstance(answer, port.Items):
            self._contact.answered(now_ms=now_ms)
            return True
        reason = type(answer).__name__.lower()
        if isinstance(answer, port.Refused):
            reason = f"status_{answer.status}"
        self._contact.failed(now_ms=now_ms, reason=reason)
        return False

    def __repr__(self) -> str:
        return f"StoreWatcher(contact={self._contact!r})"
