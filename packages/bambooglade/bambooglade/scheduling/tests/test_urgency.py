"""A less urgent route is never ranked before a more urgent one."""

from __future__ import annotations

import pytest

from bambooglade.gateway import configuration
from bambooglade.scheduling import urgency


def _route(name, priority, latency_ms, service="s"):
    return configuration.Route(
        name=name,
        host=b"h",
        path_prefix=f"/{name}/".encode(),
        kind=configuration.RouteKind.SAFE,
        services=[configuration.WeightedService(service)],
        timeout_ms=1_000,
        target_latency_ms=latency_ms,
        priority=priority,
    )


ROUTES = [
    _route("a", 0, 400),
    _route("b", 3, 1_500),
    _route("c", 1, 500),
    _route("d", 2, 150, service="t"),
    _route("e", 1, 900),
]


@pytest.mark.parametrize(
    ("service", "priority", "rank", "target_latency_ms"),
    [
        ("s", 0, 0, 400),
        ("s", 1, 1, 400),
        ("s", 3, 2, 400),
        ("t", 2, 0, 150),
    ],
)
def test_rank_counts_higher_priorities_of_the_service(
    service, priority, rank, target_latency_ms
):
    found = urgency.rank_routes(ROUTES)[service, priority]
    assert (found.rank, found.target_latency_ms) == (rank, target_latency_ms)
