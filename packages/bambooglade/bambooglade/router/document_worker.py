"""Carries out reads and writes of the platform's service on threads."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import functools

from absl import logging

from bambooglade.core import effects
from bambooglade.platform import ports

THREADS = 4
"""Calls to the service in progress at a time, for one instance."""


class DocumentWorker:
    """Takes document effects and gives their answers back, one for each.

    Args:
        store: The platform's key-value service.
        answered: Takes each answer; called on a worker thread.
    """

    __slots__ = ("_answered", "_executor", "_store")

    def __init__(
        self,
        *,
        store: ports.KeyValueStore,
        answered: Callable[[effects.DocumentAnswer], None],
    ) -> None:
        self._store = store
        self._answered = answered
        self._executor = futures.ThreadPoolExecutor(
            max_workers=THREADS, thread_name_prefix="documents"
        )

    def submit(
        self, request: effects.ReadDocument | effects.WriteDocument
    ) -> None:
        """Starts a read or a write; returns at once."""
        try:
            self._executor.submit(self._serve, request)
        except RuntimeError:
            logging.info("event=document_call_dropped key=%s", request.key)

    def close(self) -> None:
        """Finishes the calls in progress and stops the threads."""
        self._executor.shutdown(wait=True)

    def _serve(self, request) -> None:
        self._answered(_call(request, self._store))

    def __repr__(self) -> str:
        return f"DocumentWorker({self._store!r})"


@functools.singledispatch
def _call(request, store: ports.KeyValueStore) -> effects.DocumentAnswer:
    raise TypeError(f"{request!r} is not a read or a write of a document")


@_call.register
def _(
    request: effects.ReadDocument, store: ports.KeyValueStore
) -> effects.DocumentAnswer:
    return store.read(request)


@_call.register
def _(
    request: effects.WriteDocument, store: ports.KeyValueStore
) -> effects.DocumentAnswer:
    return store.write(request)
