"""Ids of recently ended reservations, used to drop late requests."""

from __future__ import annotations

from bambooglade.budgets import messages
from bambooglade.core import identifiers

RETENTION_MS = 60_000
"""Requests to reserve do not arrive later than this after the end."""

_Ended = tuple[messages.ReservationId, identifiers.BudgetId]


class EndedReservations:
    """Tracks recently ended reservations.

    A late request would otherwise reserve rights that no request uses until
    the entry instance settles them. Accounting does not depend on this, so the
    ids are not replicated.
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
        """Records the end of a reservation."""
        self._ended_at_ms[(reservation_id, budget_id)] = now_ms

    def contains(
        self,
        reservation_id: messages.ReservationId,
        budget_id: identifiers.BudgetId,
    ) -> bool:
        """Returns whether the reservation ended recently."""
        return (reservation_id, budget_id) in self._ended_at_ms

    def evict_expired(self, now_ms: int) -> None:
        """Evicts reservations that ended at least `RETENTION_MS` ago."""
        for ended, ended_at_ms in list(self._ended_at_ms.items()):
            if now_ms - ended_at_ms < RETENTION_MS:
                return
            del self._ended_at_ms[ended]

    def __repr__(self) -> str:
        return f"EndedReservations({len(self._ended_at_ms)})"
