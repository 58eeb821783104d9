"""Counts the clients that a process gives up, and logs them in one line.

Clients that nobody controls may be given up thousands of times a second. The
counts are therefore compared at each round of maintenance, and a line is logged
if one of them has changed: two lines a second at most.
"""

from __future__ import annotations

from collections.abc import Sequence

from bambooglade.core import event_log
from bambooglade.eventloop import byte_budget
from bambooglade.eventloop import connection_limit
from bambooglade.router import metrics as metrics_lib


class GivenUpClients:
    """Reports who was given up since the last report, by reason.

    The reasons are `memory`, a message that was incomplete or not read;
    `no_room`, a whole request that was refused; `waiting`, a connection that
    was closed for a new one; and `refused`, a connection that was not taken.

    Args:
        budget: Bytes that the process holds.
        limits: Limits of the connections of all addresses.
        metrics: Counts by reason.
        log: The event log.
    """

    __slots__ = ("_budget", "_count_by_reason", "_limits", "_log", "_metrics")

    def __init__(
        self,
        budget: byte_budget.ByteBudget,
        limits: Sequence[connection_limit.ConnectionLimit],
        *,
        metrics: metrics_lib.Metrics,
        log: event_log.EventLog,
    ) -> None:
        self._budget = budget
        self._limits = limits
        self._metrics = metrics
        self._log = log
        self._count_by_reason = self._counts()

    @property
    def connections(self) -> int:
        """Number of accepted connections."""
        return sum(len(limit) for limit in self._limits)

    def _counts(self) -> dict[str, int]:
        return {
            "memory": self._budget.given_up_count,
            "no_room": self._budget.refused_count,
            "waiting": sum(limit.evicted_count for limit in self._limits),
            "refused": sum(limit.refused_count for limit in self._limits),
        }

    def report(self) -> None:
        """Counts and logs the clients since the last report, if any."""
        before, self._count_by_reason = self._count_by_reason, self._counts()
        count_by_reason = {
            reason: count - before[reason]
            for reason, count in self._count_by_reason.items()
            if count != before[reason]
        }
        if not count_by_reason:
            return
        for reason, count in count_by_reason.items():
            self._metrics.record_given_up_clients(count, reason=reason)
        self._log.event(
            "clients_given_up",
            held_bytes=self._budget.held_bytes,
            limit_bytes=self._budget.limit_bytes,
            connections=self.connections,
            **count_by_reason,
        )

    def __repr__(self) -> str:
        return f"GivenUpClients({self._count_by_reason})"
