"""Tests of `bambooglade.gateway.route_history`."""

from __future__ import annotations

import pytest

from bambooglade.gateway import configuration as configuration_lib
from bambooglade.gateway import route_history
from bambooglade.gateway import stream_origins

RETENTION_MS = stream_origins.RETENTION_MS


def configuration(services_by_prefix: dict[str, str]):
    """Returns a configuration; several services are separated by a space."""
    return configuration_lib.Configuration(
        version=1,
        routes=[
            configuration_lib.Route(
                name=prefix,
                host=b"h",
                path_prefix=prefix.encode(),
                kind=configuration_lib.RouteKind.STREAM,
                services=[
                    configuration_lib.WeightedService(service, 1)
                    for service in services.split()
                ],
                timeout_ms=1_000,
                target_latency_ms=100,
            )
            for prefix, services in services_by_prefix.items()
        ],
        services=[],
        teams=[],
    )


@pytest.mark.parametrize(
    ("configurations", "possible"),
    [
        ([{}], set()),
        ([{"/a/": "s"}], {"s"}),
        ([{"/a/": "s"}, {"/a/": "t"}], {"s", "t"}),
        ([{"/a/": "s"}, {"/a/": "t"}, {"/a/": "s"}], {"s", "t"}),
        ([{"/a/": "s"}, {"/a/": "s t"}], {"s", "t"}),
        ([{"/a/": "s t"}, {"/a/": "s"}], {"s", "t"}),
        ([{"/a/": "s"}, {}], {"s"}),
        ([{"/a/": "s"}, {}, {"/a/": "t"}], {"s", "t"}),
        ([{"/a/": "s"}, {"/a/": "s", "/a/b/": "t"}], {"s", "t"}),
        ([{"/a/": "s"}, {"/a/": "t"}, {"/a/b/": "u"}], {"s", "t", "u"}),
        ([{"/a/": "s", "/a/b/": "t"}, {"/a/": "s"}], {"s", "t"}),
        ([{"/a/": "s", "/a/b/": "t"}, {"/a/": "u", "/a/b/": "t"}], {"t"}),
        ([{"/a/b/c/": "s"}, {"/a/": "t"}], {"t"}),
        ([{"/c/": "s"}, {"/a/": "t"}], {"t"}),
    ],
)
def test_possible_services_include_those_that_the_routes_of_a_path_left(
    configurations, possible
):
    history = route_history.RouteHistory()
    for services_by_prefix in configurations:
        history.observe(configuration(services_by_prefix), now_ms=0)
    found = history.possible_services(b"h", b"/a/b/d", now_ms=RETENTION_MS)
    assert found == possible
    assert history.possible_services(b"other", b"/a/b/d", now_ms=0) == set()


@pytest.mark.parametrize("has_later_change", [False, True])
def test_services_that_routes_left_long_ago_are_forgotten(has_later_change):
    history = route_history.RouteHistory()
    for service, now_ms in (("s", 0), ("t", 10)):
        history.observe(configuration({"/a/": service}), now_ms=now_ms)
    now_ms = RETENTION_MS + 11
    if has_later_change:
        history.observe(configuration({"/a/": "u"}), now_ms=now_ms)
    found = history.possible_services(b"h", b"/a/", now_ms=now_ms)
    assert found == ({"t", "u"} if has_later_change else {"t"})


@pytest.mark.parametrize(
    ("before", "after", "has_changed"),
    [
        ({"/a/": "s"}, {"/a/": "s"}, False),
        ({"/a/": "s"}, {"/a/": "s", "/b/": "t"}, False),
        ({"/a/": "s"}, {"/a/": "s", "/a/b/": "s"}, False),
        ({"/a/": "s"}, {"/a/": "s t"}, True),
        ({"/a/": "s"}, {"/a/": "s", "/a/b/": "t"}, True),
        ({"/a/": "s"}, {"/a/": "t"}, True),
        ({"/a/": "s"}, {}, True),
    ],
)
def test_observe_tells_whether_paths_got_other_services(
    before, after, has_changed
):
    history = route_history.RouteHistory()
    assert not history.observe(configuration(before), now_ms=0)
    assert history.observe(configuration(after), now_ms=0) == has_changed
