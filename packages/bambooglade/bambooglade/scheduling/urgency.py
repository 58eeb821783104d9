"""Ranks the routes of each service by their urgency; without I/O.

Priorities are comparable within a service only: two services do not compete
for the same targets.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Protocol


class RankedRoute(Protocol):
    """What a route states about its urgency.

    Attributes:
        name: Name of the route.
        priority: 0 is the highest.
        service_names: Services that receive its requests.
        target_latency_ms: Objective for the time to the first byte.
    """

    name: str
    priority: int
    target_latency_ms: int

    @property
    def service_names(self) -> Sequence[str]:
        """Services that receive its requests."""
        ...


class Urgency:
    """Urgency of a route within its service.

    Attributes:
        rank: Number of higher priorities that routes of the service have.
        target_latency_ms: Shortest target latency among the routes that are at
            least as urgent. It never grows with urgency, so that a less urgent
            route is not treated better for its long target latency.
    """

    __slots__ = ("rank", "target_latency_ms")

    def __init__(self, *, rank: int, target_latency_ms: int) -> None:
        self.rank = rank
        self.target_latency_ms = target_latency_ms

    def __repr__(self) -> str:
        return (
            f"Urgency(rank={self.rank},"
            f" target_latency_ms={self.target_latency_ms})"
        )


def rank_routes(
    routes: Iterable[RankedRoute],
) -> dict[tuple[str, int], Urgency]:
    """Returns the urgency by service and priority.

    Args:
        routes: All routes of a configuration.
    """
    latency_by_priority_by_service: dict[str, dict[int, int]] = {}
    for route in routes:
        for service in route.service_names:
            latency_by_priority = latency_by_priority_by_service.setdefault(
                service, {}
            )
            latency_by_priority[route.priority] = min(
                route.target_latency_ms,
                latency_by_priority.get(
                    route.priority, route.target_latency_ms
                ),
            )
    return {
        (service, priority): urgency
        for service, latencies in latency_by_priority_by_service.items()
        for priority, urgency in _ranked(latencies)
    }


def _ranked(
    latency_by_priority: dict[int, int],
) -> Iterable[tuple[int, Urgency]]:
    shortest_ms: int | None = None
    for rank, priority in enumerate(sorted(latency_by_priority)):
        latency_ms = latency_by_priority[priority]
        shortest_ms = (
            latency_ms if shortest_ms is None else min(shortest_ms, latency_ms)
        )
        yield priority, Urgency(rank=rank, target_latency_ms=shortest_ms)
