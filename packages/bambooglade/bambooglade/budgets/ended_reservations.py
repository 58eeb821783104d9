"""Reservation ids that ended lately, against requests that arrive late."""

from __future__ import annotations

from bambooglade.budgets import messages
from bambooglade.core import identifiers

RETENTION_MS = 60_000
"""A request to reserve does not arrive later than this after its end."""

_Ended = tuple[messages.ReservationId, identifiers.BudgetId]


class EndedReservations:
    """Remembers ended reservations for a while.

    It only saves rights from being reserved for nobody until the entry gives
    them back; no accounting depends on it, so it is not replicated.
    """

    __slots__ = ("_ended_at_ms",)

    def __init__(self) -> None:
        self._ended_at_ms: dict[_Ended, int] = {}

    def add(
        self,
        reservation_id: messages.ReservationId,
        budget_id: identifiers.BudgetId,
        now_ms: int,
    ) -> None:
        """Notes the end of a reservation."""
        self._ended_at_ms[(reservation_id, budget_id)] = now_ms

    def contains(
        self,
        reservation_id: messages.ReservationId,
        budget_id: identifiers.BudgetId,
    ) -> bool:
        """Returns whether the reservation ended lately."""
        return (reservation_id, budget_id) in self._ended_at_ms

    def evict_expired(self, now_ms: int) -> None:
        """Forgets what ended longer ago than `KEEP_MS`."""
        for ended, ended_at_ms in list(self._ended_at_ms.items()):
            if now_ms - ended_at_ms < RETENTION_MS:
                return
            del self._ended_at_ms[ended]

    def __repr__(self) -> str:
        return f"EndedReservations({len(self._ended_at_ms)})"
