"""Tests of the gauges of a running instance and of the call counters."""

from __future__ import annotations

import time

from bambooglade.core import effects
from bambooglade.router import counted_store
from bambooglade.router import metrics as metrics_lib
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages
from bambooglade_standins import local_caller
from bambooglade_standins import local_fleet
from bambooglade_standins.key_value import store as key_value_store

_TIMEOUT_S = 10
_POLL_S = 0.05


def _parse_values(text: str) -> dict[str, float]:
    lines = (line for line in text.splitlines() if line[0] != "#")
    pairs = (line.rsplit(" ", 1) for line in lines)
    return {name: float(value) for name, value in pairs}


def test_gauges_report_fleet_shards_and_accounts() -> None:
    with local_fleet.LocalFleet(zones=("zone-a",)) as fleet:
        url = fleet.start_instance("zone-a").url
        fleet.wait_until_ready()
        caller = local_caller.LocalCaller(fleet.create_team("t", tokens=500))
        for _ in caller.chat(url, max_tokens=3):
            pass
        request = messages.Request(method="GET", url=f"{url}/metrics")
        value_by_name: dict[str, float] = {}
        end = time.monotonic() + _TIMEOUT_S
        while not value_by_name.get(metrics_lib.UNUSED_TOKENS):
            assert time.monotonic() < end, value_by_name
            time.sleep(_POLL_S)
            response = client_lib.HttpClient().request(request).unwrap()
            value_by_name = _parse_values(response.body.decode())
    assert value_by_name[metrics_lib.INSTANCES] == 1
    assert value_by_name[metrics_lib.SHARDS_SERVED] >= 1
    assert value_by_name[metrics_lib.HELD_TOKENS] == 0
    calls = f'{metrics_lib.PLATFORM_CALLS_TOTAL}{{call="write"'
    assert any(name.startswith(calls) for name in value_by_name)


def test_requests_that_are_given_up_are_counted() -> None:
    """Guards against refusals for lack of memory that operators can't see."""
    with local_fleet.LocalFleet(zones=("zone-a",)) as fleet:
        instance = fleet.start_instance("zone-a")
        fleet.wait_until_ready()
        budget = instance._message_budget
        share = budget.open(lambda: None)
        assert not share.resize(budget.limit_bytes + 1)
        request = messages.Request(method="GET", url=f"{instance.url}/metrics")
        name = f'{metrics_lib.GIVEN_UP_CLIENTS_TOTAL}{{reason="memory"}}'
        value_by_name: dict[str, float] = {}
        end = time.monotonic() + _TIMEOUT_S
        while name not in value_by_name:
            assert time.monotonic() < end, value_by_name
            time.sleep(_POLL_S)
            response = client_lib.HttpClient().request(request).unwrap()
            value_by_name = _parse_values(response.body.decode())
    assert value_by_name[name] == 1
    assert metrics_lib.HELD_BYTES in value_by_name


def test_store_calls_are_counted_by_kind_and_outcome() -> None:
    metrics = metrics_lib.Metrics()
    memory = key_value_store.MemoryStore()
    store = counted_store.CountedStore(memory, metrics)
    write = effects.WriteDocument(key="a", expected_revision=0, value=b"1")
    assert isinstance(store.write(write), effects.WriteApplied)
    memory.answering = key_value_store.Answering.DOWN
    assert isinstance(
        store.read(effects.ReadDocument(key="a")), effects.ReadFailed
    )
    assert store.read_prefix("a") is None
    value_by_name = _parse_values(metrics.render().body.decode())
    name = metrics_lib.PLATFORM_CALLS_TOTAL
    assert value_by_name == {
        **value_by_name,
        f'{name}{{call="write",outcome="answered"}}': 1,
        f'{name}{{call="read",outcome="lost"}}': 1,
        f'{name}{{call="read_prefix",outcome="lost"}}': 1,
    }
