"""Orders to an engine: load a model, an adapter or a version, change role."""

from __future__ import annotations

import threading

import msgspec


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """The state that the engine is ordered into.

    Attributes:
        epoch: Fencing number of the sender.
        model: Model to be loaded.
        adapter: Adapter to be loaded on it, or None.
        version: Version of the model.
        role: Role of the engine.
    """

    epoch: int
    model: str
    adapter: str | None = None
    version: str = "1"
    role: str = "mixed"


class OrderDesk:
    """Keeps the order in force; callable from any thread.

    Args:
        initial: The state at the start.
        checks_fencing: Whether an order with an old epoch is refused.
    """

    __slots__ = ("_checks_fencing", "_current", "_lock")

    def __init__(self, initial: Order, *, checks_fencing: bool) -> None:
        self._current = initial
        self._checks_fencing = checks_fencing
        self._lock = threading.Lock()

    @property
    def current(self) -> Order:
        """Returns the order in force."""
        return self._current

    def place(self, order: Order) -> bool:
        """Takes an order; returns whether it was accepted."""
        with self._lock:
            if self._checks_fencing and order.epoch < self._current.epoch:
                return False
            self._current = order
            return True

    def __repr__(self) -> str:
        return f"OrderDesk(current={self._current!r})"
