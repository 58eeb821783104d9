"""Futures of the calls whose threads wait for the coordinator."""

from __future__ import annotations

from concurrent import futures
import threading

from bambooglade.core import identifiers
from bambooglade.operations import calls


class PendingCalls:
    """Delivers the effects of calls to the threads that wait for them.

    Thread-safe. Each future completes once. Effects of calls for which no
    thread waits are ignored.
    """

    __slots__ = ("_begin_by_call_id", "_finish_by_key", "_lock")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._begin_by_call_id: dict[
            str, futures.Future[calls.Permit | calls.Refuse | calls.Replay]
        ] = {}
        self._finish_by_key: dict[
            identifiers.RequestKey, futures.Future[calls.Billed]
        ] = {}

    def register_begin(self, call_id: str) -> futures.Future:
        """Returns the future of the decision on a new call."""
        future: futures.Future = futures.Future()
        with self._lock:
            self._begin_by_call_id[call_id] = future
        return future

    def register_finish(self, key: identifiers.RequestKey) -> futures.Future:
        """Returns the future of the bill of a call whose run has ended."""
        future: futures.Future = futures.Future()
        with self._lock:
            self._finish_by_key[key] = future
        return future

    def complete_begin(
        self, effect: calls.Permit | calls.Refuse | calls.Replay
    ) -> None:
        """Completes the future of the decision on a call."""
        with self._lock:
            future = self._begin_by_call_id.pop(effect.call_id, None)
        if future is not None:
            future.set_result(effect)

    def complete_finish(self, effect: calls.Billed) -> None:
        """Completes the future of the bill of a call."""
        with self._lock:
            future = self._finish_by_key.pop(effect.key, None)
        if future is not None:
            future.set_result(effect)

    def __len__(self) -> int:
        with self._lock:
            return len(self._begin_by_call_id) + len(self._finish_by_key)

    def __repr__(self) -> str:
        return f"PendingCalls({len(self)})"
