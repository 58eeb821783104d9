"""Follows the store: reads configuration and targets, and watches them."""

from __future__ import annotations

from concurrent import futures
import random

from bambooglade.discovery import codec as codec_lib
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


class StoreFollower:
    """Keeps a view in step with the store.

    Args:
        loop: The event loop.
        store: The store.
        view: What is kept in step.
        codec: Knows the keys.
        contact: Told of answers and failures.
        random_source: Spreads the pauses of the instances.
    """

    __slots__ = (
        "_codec",
        "_contact",
        "_is_stopped",
        "_loop",
        "_random",
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
        contact: contact_lib.Contact,
        random_source: random.Random,
    ) -> None:
        self._loop = loop
        self._store = store
        self._view = view
        self._codec = codec
        self._contact = contact
        self._random = random_source
        self._is_stopped = False

    def start(self) -> None:
        """Starts to follow configuration and targets."""
        tasks.spawn(self._follow(self._codec.configuration_key, False))
        tasks.spawn(self._follow(self._codec.target_prefix, True))

    def stop(self) -> None:
        """Ends after the calls that are under way."""
        self._is_stopped = True

    def _follow(self, prefix: str, is_targets: bool) -> tasks.Task:
        at_revision = 0
        while not self._is_stopped:
            if at_revision == 0:
                at_revision = yield tasks.spawn(
                    self._read_all(prefix, is_targets)
                )
            else:
                at_revision = yield tasks.spawn(
                    self._watch(prefix, at_revision, is_targets)
                )
            is_failed = self._contact.is_lost or at_revision == 0
            yield self._pause(RETRY_PAUSE_MS if is_failed else WATCH_PAUSE_MS)

    def _pause(self, mean_ms: int) -> futures.Future:
        return tasks.sleep(self._loop, mean_ms * (0.5 + self._random.random()))

    def _read_all(self, prefix: str, is_targets: bool) -> tasks.Task:
        """Reads all pages; returns the revision to go on from, 0 if none."""
        items: list[port.Item] = []
        after_key, first_revision = "", 0
        while True:
            answer = yield self._store.read_prefix(prefix, after_key=after_key)
            if not self._note(answer):
                return 0
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
        else:
            self._take_configuration(items)
        return first_revision

    def _watch(
        self, prefix: str, at_revision: int, is_targets: bool
    ) -> tasks.Task:
        """Watches once; returns the revision to go on from, 0 to read all."""
        answer = yield self._store.watch(
            prefix, after_revision=at_revision, wait_ms=WATCH_WAIT_MS
        )
        if isinstance(answer, port.HistoryLost):
            self._contact.answered(now_ms=self._loop.now_ms())
            return 0
        if not self._note(answer):
            return at_revision
        if is_targets:
            self._view.take_changes(
                answer,
                now_ms=self._loop.now_ms(),
                source="store",
                is_after_outage=self._is_just_back(),
            )
        else:
            self._take_configuration(answer.items)
        return max(at_revision, answer.at_revision)

    def _take_configuration(self, items: list[port.Item]) -> None:
        for item in items:
            if item.key == self._codec.configuration_key:
                self._view.take_configuration(item, source="store")

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
        return f"StoreFollower(contact={self._contact!r})"
