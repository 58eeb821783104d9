"""Tests of the product's adapters against list and weight store."""

from __future__ import annotations

import contextlib
import threading

import msgspec
import pytest
from werkzeug import test as werkzeug_test

from bambooglade.core import clock as clocks
from bambooglade.store import platform_http
from bambooglade.store import services
from bambooglade.transport.tests import raw_server
from bambooglade_standins import platform_server
from bambooglade_standins.instance_list import app as instance_list
from bambooglade_standins.weight_store import app as weight_store

ENTRY = services.ListedInstance(
    name="x1", availability_zone="scot-a", url="http://10.0.0.1:1", leaving=True
)


@contextlib.contextmanager
def _serving(application):
    http = platform_server.make_server(application, host="127.0.0.1", port=0)
    thread = threading.Thread(target=http.serve_forever)
    thread.start()
    try:
        yield f"http://127.0.0.1:{http.port}"
    finally:
        http.shutdown()
        thread.join()
        http.server_close()


def test_the_list_lags_and_may_be_down():
    clock = clocks.ManualClock(now_ms=0)
    application = instance_list.InstanceListApplication(clock=clock)
    control = werkzeug_test.Client(application)
    with _serving(application) as url:
        adapter = platform_http.HttpInstanceList(url=url)
        control.post("/control/faults", json={"lag_ms": 5_000})
        control.post(
            "/control/targets",
            json={
                "entries": [
                    {
                        "name": "x1",
                        "availability_zone": "scot-a",
                        "url": "http://10.0.0.1:1",
                        "leaving": True,
                    }
                ]
            },
        )
        clock.advance(delta_ms=4_999)
        assert adapter.targets() == []
        clock.advance(delta_ms=1)
        assert adapter.targets() == [ENTRY]
        assert adapter.instances() == []
        control.post("/control/faults", json={"down": True})
        assert adapter.targets() is None


def test_the_weight_store_refuses_calls_above_its_rate():
    clock = clocks.ManualClock(now_ms=0)
    application = weight_store.WeightStoreApplication(
        calls_per_s=1, clock=clock
    )
    control = werkzeug_test.Client(application)
    control.post("/control/weights", json={"weight_by_target": {"x1": 2.0}})
    with _serving(application) as url:
        adapter = platform_http.HttpWeightStore(url=url)
        assert adapter.weights() == {"x1": 2.0}
        assert adapter.weights() is None
        clock.advance(delta_ms=1_000)
        assert adapter.weights() == {"x1": 2.0}


def test_an_unreachable_list_is_none():
    adapter = platform_http.HttpInstanceList(url="http://127.0.0.1:9")
    assert adapter.instances() is None


@pytest.mark.parametrize(
    "odd",
    [
        b"null",
        b"[]",
        b'{"name":"x2"}',
        b'{"name":"x2","availability_zone":"z","url":5,"leaving":true}',
        b'{"name":"\xff","availability_zone":"z","url":"u","leaving":true}',
        b"9" * 5_000,
    ],
)
def test_odd_entry_of_the_list_costs_no_other_entry(odd, caplog):
    body = b'{"entries":[%s,%s]}' % (odd, msgspec.json.encode(ENTRY))
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
    with raw_server.listening(
        raw_server.respond_then_close(data % (len(body), body))
    ) as (url, _):
        adapter = platform_http.HttpInstanceList(url=url)
        assert [adapter.targets() for _ in range(3)] == [[ENTRY]] * 3
    lines = [r for r in caplog.records if "list_entry" in r.getMessage()]
    assert len(lines) == 1


@pytest.mark.parametrize(
    "odd",
    [
        b"[" * 60_000 + b"]" * 60_000,
        b'{"x":' + b'{"a":' * 60_000 + b"1" + b"}" * 60_001,
        b'["]}\\"", ' + b"[" * 60_000 + b'"["' + b"]" * 60_000 + b"]",
    ],
    ids=["lists", "objects", "lists_with_brackets_in_strings"],
)
def test_deeply_nested_entry_of_the_list_costs_no_other_entry(odd):
    body = b'{"entries":[%s,%s]}' % (odd, msgspec.json.encode(ENTRY))
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
    with raw_server.listening(
        raw_server.respond_then_close(data % (len(body), body))
    ) as (url, _):
        adapter = platform_http.HttpInstanceList(url=url)
        assert adapter.targets() == [ENTRY]
