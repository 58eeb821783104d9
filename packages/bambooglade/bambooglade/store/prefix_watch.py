"""Follows all keys below a prefix: reads them, then watches for changes."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from concurrent import futures
import random
import threading

from absl import logging

from bambooglade.core import effects
from bambooglade.store import document_client
from bambooglade.store import services

WATCH_TIMEOUT_MS = 60_000
RETRY_PAUSE_S = 1.0
_POLL_S = 0.1


class PrefixWatch:
    """Delivers the present values once, then each change, in one thread.

    After each end of a watch all keys are read again: a restored service may
    have gone back to revisions that the watch would not tell of.

    Args:
        store: The service.
        client: Says when a call may be made.
        prefix: Start of the keys, for instance `table/`.
        on_snapshot: Takes all values, of which absent keys are missing.
        on_change: Takes one changed value.
        random_source: Spreads the calls of many instances.
    """

    __slots__ = (
        "_client",
        "_executor",
        "_on_change",
        "_on_snapshot",
        "_prefix",
        "_random",
        "_stopped",
        "_store",
        "_thread",
    )

    def __init__(
        self,
        *,
        store: services.KeyValueStore,
        client: document_client.DocumentClient,
        prefix: str,
        on_snapshot: Callable[[Sequence[effects.DocumentRead]], None],
        on_change: Callable[[effects.DocumentRead], None],
        random_source: random.Random,
    ) -> None:
        self._store = store
        self._client = client
        self._prefix = prefix
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._random = random_source
        self._stopped = threading.Event()
        self._executor = futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix=f"follow-{prefix}"
        )
        self._thread = threading.Thread(
            target=self._run, name=f"watch-{prefix}", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stops the thread; the store's watches have to be ended before."""
        self._stopped.set()
        self._thread.join()
        self._executor.shutdown(wait=True)

    def _run(self) -> None:
        while not self._stopped.is_set():
            if self._wait_for_budget() and self._followed():
                continue
            self._stopped.wait(RETRY_PAUSE_S * (0.5 + self._random.random()))

    def _followed(self) -> bool:
        """Follows once; an error ends that, not the thread."""
        future = self._executor.submit(self._follow)
        if future.exception() is None:
            return future.result()
        logging.error("event=watch_failed error=%r", future.exception())
        self._client.record_outcome(answered=False)
        return False

    def _follow(self) -> bool:
        """Reads and watches once; returns whether the service answered."""
        values = self._store.read_prefix(self._prefix)
        self._client.record_outcome(answered=values is not None)
        if values is None or self._stopped.is_set():
            return False
        self._on_snapshot(values)
        if not self._wait_for_budget():
            return True
        timeout_ms = WATCH_TIMEOUT_MS - self._random.randrange(
            WATCH_TIMEOUT_MS // 4
        )
        changes = self._store.watch(
            self._prefix,
            after_revision=max((v.revision for v in values), default=0),
            timeout_ms=timeout_ms,
        )
        self._client.record_outcome(answered=True)
        for change in changes:
            if self._stopped.is_set():
                break
            self._on_change(_document(change))
        logging.debug("event=watch_ended prefix=%s", self._prefix)
        return True

    def _wait_for_budget(self) -> bool:
        while not self._stopped.is_set():
            if self._client.acquire_read():
                return True
            self._stopped.wait(_POLL_S)
        return False

    def __repr__(self) -> str:
        return f"PrefixWatch(prefix={self._prefix!r})"


def _document(change: services.DocumentChange) -> effects.DocumentRead:
    return effects.DocumentRead(
        key=change.key,
        revision=0 if change.value is None else change.revision,
        value=change.value,
    )
