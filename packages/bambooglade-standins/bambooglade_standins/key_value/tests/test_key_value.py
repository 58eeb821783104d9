"""Tests of the stand-in store, and of the product's adapter against it."""

from __future__ import annotations

import threading

import msgspec
import pytest

from bambooglade.core import effects
from bambooglade.store import key_value
from bambooglade.transport import client as http_client
from bambooglade.transport import messages
from bambooglade_standins import platform_server
from bambooglade_standins.key_value import server
from bambooglade_standins.key_value import store as stores

TIMEOUT_MS = 5_000


@pytest.fixture(name="running")
def _running():
    application = server.KeyValueApplication(stores.MemoryStore())
    http = platform_server.make_server(application, host="127.0.0.1", port=0)
    thread = threading.Thread(target=http.serve_forever)
    thread.start()
    yield application, f"http://127.0.0.1:{http.port}"
    http.shutdown()
    thread.join()
    http.server_close()


@pytest.fixture(name="ports")
def _ports(running):
    """The adapter over HTTP, with the store behind it."""
    application, url = running
    adapter = key_value.HttpKeyValueStore(url=url, timeout_ms=TIMEOUT_MS)
    return adapter, application.store


def _read(key):
    return effects.ReadDocument(key=key)


def _write(key, value, expected):
    return effects.WriteDocument(
        key=key, expected_revision=expected, value=value
    )


def test_the_adapter_behaves_as_the_store_does(ports):
    adapter, _ = ports
    pure = stores.MemoryStore()
    requests = [
        _read("a"),
        _write("a", b"1", 0),
        _write("a", b"2", 0),
        _write("a", b"\x00\xff", 1),
        _read("a"),
        _write("b", b"", 0),
        _write("b", b"3", 7),
        _read("b"),
    ]
    for request in requests:
        if isinstance(request, effects.ReadDocument):
            assert adapter.read(request) == pure.read(request)
        else:
            assert adapter.write(request) == pure.write(request)
    assert adapter.read_prefix("a") == pure.read_prefix("a")


def test_a_lost_answer_is_uncertain_and_the_write_took_effect(ports):
    adapter, store = ports
    store.answering = stores.Answering.LOSE_ANSWERS
    assert adapter.write(_write("a", b"1", 0)) == effects.WriteUncertain(
        key="a"
    )
    assert adapter.read(_read("a")) == effects.ReadFailed(key="a")
    store.answering = stores.Answering.NORMAL
    assert adapter.read(_read("a")) == effects.DocumentRead(
        key="a", revision=1, value=b"1"
    )


def test_a_service_that_is_down_is_uncertain_and_nothing_is_written(ports):
    adapter, store = ports
    store.answering = stores.Answering.DOWN
    assert adapter.write(_write("a", b"1", 0)) == effects.WriteUncertain(
        key="a"
    )
    assert adapter.read_prefix("a") is None
    assert list(adapter.watch("a", after_revision=0, timeout_ms=500)) == []
    assert store.revision == 0


def test_a_slow_service_is_given_up_at_the_time_out(running):
    application, url = running
    application.store.delay_ms = 1_000
    adapter = key_value.HttpKeyValueStore(url=url, timeout_ms=100)
    assert adapter.write(_write("a", b"1", 0)) == effects.WriteUncertain(
        key="a"
    )


def test_nothing_listening_is_uncertain():
    adapter = key_value.HttpKeyValueStore(
        url="http://127.0.0.1:9", timeout_ms=500
    )
    assert adapter.write(_write("a", b"1", 0)) == effects.WriteUncertain(
        key="a"
    )
    assert adapter.read(_read("a")) == effects.ReadFailed(key="a")


def test_a_watch_yields_past_and_coming_changes(ports):
    adapter, _ = ports
    adapter.write(_write("t/1", b"1", 0))
    adapter.write(_write("u/1", b"no", 0))
    watch = adapter.watch("t/", after_revision=0, timeout_ms=TIMEOUT_MS)
    assert next(watch).value == b"1"
    adapter.write(_write("t/1", b"2", 1))
    change = next(watch)
    assert (change.key, change.revision, change.value) == ("t/1", 3, b"2")
    watch.close()


def test_a_restore_goes_back_and_ends_the_watches(ports):
    adapter, store = ports
    adapter.write(_write("t/1", b"1", 0))
    snapshot = store.snapshot()
    adapter.write(_write("t/1", b"2", 1))
    watch = adapter.watch("t/", after_revision=1, timeout_ms=2 * TIMEOUT_MS)
    assert next(watch).value == b"2"
    store.restore(snapshot)
    rest = []
    reader = threading.Thread(target=lambda: rest.extend(watch))
    reader.start()
    reader.join(timeout=TIMEOUT_MS / 1_000)
    assert not reader.is_alive()
    assert rest == []
    assert adapter.read(_read("t/1")) == effects.DocumentRead(
        key="t/1", revision=1, value=b"1"
    )


def test_a_value_over_a_megabyte_is_not_stored():
    store = stores.MemoryStore()
    assert store.put("a", b"x" * 1_000_001, expected_revision=0) is None
    assert store.put("a", b"x" * 1_000_000, expected_revision=0) == 1


def test_a_lease_that_is_not_renewed_takes_its_keys_with_it():
    store = stores.MemoryStore()
    lease_id = store.grant_lease(1_000, now_ms=0)
    store.put("a", b"1", lease_id=lease_id)
    assert store.keep_alive(lease_id, now_ms=900) == 1_000
    store.expire(now_ms=1_899)
    assert store.get("a") is not None
    store.expire(now_ms=1_900)
    assert store.get("a") is None
    assert store.keep_alive(lease_id, now_ms=1_901) == 0


def _post(url, body):
    client = http_client.HttpClient()
    answer = client.request(messages.Request(method="POST", url=url, body=body))
    return answer.unwrap()


def test_leases_and_faults_over_http(running):
    application, url = running
    granted = _post(f"{url}/v3/lease/grant", b'{"TTL": 5}')
    lease_id = msgspec.json.decode(granted.body)["ID"]
    body = msgspec.json.encode({"ID": lease_id})
    renewed = _post(f"{url}/v3/lease/keepalive", body)
    assert msgspec.json.decode(renewed.body)["result"]["TTL"] == "5"
    assert _post(f"{url}/v3/lease/revoke", body).head.status == 200
    _post(f"{url}/control/faults", b'{"answering": "down"}')
    assert application.store.answering is stores.Answering.DOWN
    refused = _post(f"{url}/v3/kv/range", b'{"key": "YQ=="}')
    assert refused.head.status == 503
    assert _post(f"{url}/v3/nothing", b"{}").head.status == 404
