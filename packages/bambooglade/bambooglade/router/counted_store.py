"""Counts the calls to the platform's key-value service."""

from __future__ import annotations

from collections.abc import Iterator

from bambooglade.core import effects
from bambooglade.router import metrics as metrics_lib
from bambooglade.store import services

ANSWERED = "answered"
LOST = "lost"


class CountedStore:
    """Passes calls on, and counts them in the metrics.

    Args:
        store: The service.
        metrics: Counts by kind of call and by whether an answer came.
    """

    __slots__ = ("_metrics", "_store")

    def __init__(
        self, store: services.KeyValueStore, metrics: metrics_lib.Metrics
    ) -> None:
        self._store = store
        self._metrics = metrics

    def read(self, request: effects.ReadDocument) -> effects.DocumentAnswer:
        """Reads one key."""
        answer = self._store.read(request)
        is_lost = isinstance(answer, effects.ReadFailed)
        self._count("read", is_lost=is_lost)
        return answer

    def write(self, request: effects.WriteDocument) -> effects.DocumentAnswer:
        """Writes one key by compare-and-swap."""
        answer = self._store.write(request)
        is_lost = isinstance(answer, effects.WriteUncertain)
        self._count("write", is_lost=is_lost)
        return answer

    def read_prefix(self, prefix: str) -> list[effects.DocumentRead] | None:
        """Reads all keys below a prefix; None when there is no answer."""
        values = self._store.read_prefix(prefix)
        self._count("read_prefix", is_lost=values is None)
        return values

    def watch(
        self, prefix: str, *, after_revision: int, timeout_ms: int
    ) -> Iterator[services.DocumentChange]:
        """Yields changes below a prefix, until the time-out or a failure."""
        self._count("watch", is_lost=False)
        return self._store.watch(
            prefix, after_revision=after_revision, timeout_ms=timeout_ms
        )

    def _count(self, call: str, *, is_lost: bool) -> None:
        outcome = LOST if is_lost else ANSWERED
        self._metrics.platform_called(call=call, outcome=outcome)

    def __repr__(self) -> str:
        return f"CountedStore({self._store!r})"
