"""Watches the pages of the table in the platform's service."""

from __future__ import annotations

from collections.abc import Callable

from bambooglade.core import effects
from bambooglade.platform import ports
from bambooglade.table import pages

WATCH_TIMEOUT_MS = 30_000
PAUSE_MS = 1_000
"""Pause before a watch is opened again, in milliseconds."""


class TableWatcher:
    """Opens a watch again and again, and passes on what it sees.

    What it misses while no watch is open reaches the instance by the
    comparison of pages with other instances and by refreshing reads.

    Args:
        store: The platform's key-value service.
        changed: Takes each change, as if the page had been read.
    """

    __slots__ = ("_changed", "_revision", "_store")

    def __init__(
        self,
        *,
        store: ports.KeyValueStore,
        changed: Callable[[effects.DocumentAnswer], None],
    ) -> None:
        self._store = store
        self._changed = changed
        self._revision = 0

    def watch(self) -> None:
        """Passes on changes until the watch ends."""
        changes = self._store.watch(
            f"{pages.KEY_PREFIX}/",
            after_revision=self._revision,
            timeout_ms=WATCH_TIMEOUT_MS,
        )
        for change in changes:
            self._revision = max(self._revision, change.revision)
            self._changed(
                effects.DocumentRead(
                    key=change.key, revision=change.revision, value=change.value
                )
            )

    def __repr__(self) -> str:
        return f"TableWatcher(revision={self._revision})"
