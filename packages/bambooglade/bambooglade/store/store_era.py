"""Era of the store, which rises each time it returns from an older copy.

Such a store has lost its latest writes, and gives their revisions and leases
out again. Nothing that orders by revision may therefore compare across eras.
This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable

from bambooglade.core import event_log

MAX_ERA = 10**15
"""Eras from this on are taken for malformed; JSON numbers are exact below."""


class StoreEra:
    """Newest era of the store that this instance knows.

    Args:
        log: Receives an event when the era changes.

    Attributes:
        number: The era; 0 as long as none is known.
        listeners: Called after each change from one known era to another.

    Examples:
        >>> from bambooglade.core import clock
        >>> era = StoreEra(event_log.EventLog(clock.ManualClock()))
        >>> era.listeners.append(lambda: print("restored"))
        >>> era.observe(3, source="store")
        True
        >>> era.observe(4, source="store")
        restored
        True
        >>> era.observe(3, source="store"), era.number
        (False, 4)
    """

    __slots__ = ("_log", "listeners", "number")

    def __init__(self, log: event_log.EventLog) -> None:
        self._log = log
        self.number = 0
        self.listeners: list[Callable[[], None]] = []

    def observe(self, number: int | None, *, source: str) -> bool:
        """Records the era that a response states.

        Args:
            number: The era; None if the response states none.
            source: Origin of the response, for the log.

        Returns:
            Whether the response is of the newest era, as far as is known.
        """
        if not number or not 0 < number < MAX_ERA:
            return True
        if number <= self.number:
            return number == self.number
        previous, self.number = self.number, number
        self._log.event(
            "store_era_changed", era=number, previous=previous, source=source
        )
        if previous:
            for listener in list(self.listeners):
                listener()
        return True

    def __repr__(self) -> str:
        return f"StoreEra({self.number})"
