"""Threads that call an action periodically until they are stopped."""

from __future__ import annotations

from collections.abc import Callable
import threading

from absl import logging

_MS_PER_S = 1_000


class Ticker:
    """Calls an action periodically on a thread of its own.

    An exception of the action is logged, and the action is called again after
    the pause. The components retry whatever a failed call left undone.

    Args:
        action: Called periodically; should return within a few pauses.
        pause_ms: Pause between two calls, in milliseconds.
        name: Name of the thread, which also appears in log lines.
    """

    __slots__ = ("_action", "_name", "_pause_ms", "_stopped", "_thread")

    def __init__(
        self, *, action: Callable[[], None], pause_ms: int, name: str
    ) -> None:
        self._action = action
        self._pause_ms = pause_ms
        self._name = name
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self, *, timeout_ms: int) -> None:
        """Stops the thread and waits for its current call to end."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join(timeout_ms / _MS_PER_S)

    @property
    def is_stopped(self) -> bool:
        """Whether `stop` has been called."""
        return self._stopped.is_set()

    def _run(self) -> None:
        while not self._stopped.wait(self._pause_ms / _MS_PER_S):
            try:
                self._action()
            except Exception:  # noqa: BLE001 - the thread must survive
                logging.exception("event=ticker_failed ticker=%s", self._name)

    def __repr__(self) -> str:
        return f"Ticker(name={self._name!r}, pause_ms={self._pause_ms})"
