"""Tests of `bambooglade.eventloop.connection_limit`."""

from __future__ import annotations

import pytest

from bambooglade.eventloop import connection_limit


@pytest.mark.parametrize(
    ("served", "ended", "closed"),
    [
        ("", "", "a"),
        ("a", "", "b"),
        ("a", "a", "b"),
        ("abc", "cb", "c"),
        ("abc", "", None),
    ],
)
def test_oldest_connection_without_a_request_is_closed(served, ended, closed):
    """Guards against clients that shut others out by opening connections."""
    limit = connection_limit.ConnectionLimit(3)
    for name in "abc":
        limit.add(name)
    for name in served:
        limit.start_request(name)
    for name in ended:
        limit.end_request(name)
    found = []

    def close(name: str) -> None:
        found.append(name)
        limit.remove(name)

    assert limit.try_make_room(close) is (closed is not None)
    assert found == ([closed] if closed else [])
    assert (limit.evicted_count, limit.refused_count) == (
        len(found),
        1 - len(found),
    )


def test_no_connection_is_closed_below_the_limits():
    """Guards against closing connections of clients inside the limits."""
    is_short = False
    limit = connection_limit.ConnectionLimit(3, is_short=lambda: is_short)
    limit.add("a")
    assert limit.try_make_room(lambda name: pytest.fail(name))
    is_short = True
    assert limit.try_make_room(limit.remove)
    assert len(limit) == 0


def test_ended_response_of_a_closed_connection_is_ignored():
    """Guards against records of connections that are gone."""
    limit = connection_limit.ConnectionLimit(3)
    limit.add("a")
    limit.start_request("a")
    limit.remove("a")
    limit.end_request("a")
    assert len(limit) == 0
