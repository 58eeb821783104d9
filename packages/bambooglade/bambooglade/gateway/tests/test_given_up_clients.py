"""Tests of `bambooglade.gateway.given_up_clients`."""

from __future__ import annotations

from bambooglade.eventloop import byte_budget
from bambooglade.eventloop import connection_limit
from bambooglade.gateway import given_up_clients
from bambooglade.router import metrics as metrics_lib


class RecordingLog:
    def __init__(self) -> None:
        self.events: list[tuple[str, dict]] = []

    def event(self, name: str, **fields: object) -> None:
        self.events.append((name, fields))


def test_clients_are_logged_once_for_each_change():
    """Guards against a line for each client, and against lost counts."""
    budget = byte_budget.ByteBudget(100)
    limit = connection_limit.ConnectionLimit(1)
    log, metrics = RecordingLog(), metrics_lib.Metrics()
    given_up = given_up_clients.GivenUpClients(
        budget, [limit], metrics=metrics, log=log
    )
    given_up.report()
    assert log.events == []
    for _ in range(3):
        budget.open(lambda: None).resize(101)
    limit.add("a")
    limit.start_request("a")
    assert not limit.try_make_room(limit.remove)
    assert budget.open(lambda: None).try_keep(40)
    assert not budget.open(lambda: None).try_keep(60)
    given_up.report()
    given_up.report()
    ((name, fields),) = log.events
    assert name == "clients_given_up"
    assert fields == {
        "memory": 3,
        "no_room": 1,
        "refused": 1,
        "held_bytes": 40,
        "limit_bytes": 100,
        "connections": 1,
    }
    page = metrics.render().body
    assert b'given_up_clients_total{reason="memory"} 3' in page
