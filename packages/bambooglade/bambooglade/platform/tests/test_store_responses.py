"""Tests of responses of the users' store that can't be decoded."""

from __future__ import annotations

from concurrent import futures

import msgspec
import pytest

from bambooglade.core import clock as clock_lib
from bambooglade.core import event_log
from bambooglade.eventloop import http_client
from bambooglade.platform import store as store_lib
from bambooglade.store import store_api

_DEPTH = 100_000
ODD_BODIES = {
    "nested_lists": b"[" * _DEPTH + b"]" * _DEPTH,
    "nested_in_a_field": b'{"x":' + b"[" * _DEPTH + b"]" * _DEPTH + b"}",
    "nested_items": b'{"entries":[' + b"[" * _DEPTH + b"]" * _DEPTH + b"]}",
    "no_json": b"\xff\x00",
    "empty": b"",
    "list": b"[]",
    "null": b"null",
}


class RespondingClient:
    """A client of a server that always sends the same body."""

    def __init__(self, status: int, body: bytes) -> None:
        self._response = http_client.Response(status, body)

    def call(self, address, **request) -> futures.Future:
        del address, request
        done: futures.Future = futures.Future()
        done.set_result(self._response)
        return done


def new_store(body: bytes, status: int = 200) -> store_lib.PlatformStore:
    return store_lib.PlatformStore(
        client=RespondingClient(status, body),
        address=("127.0.0.1", 1),
        log=event_log.EventLog(clock_lib.ManualClock()),
    )


CALLS = {
    "read": lambda store: store.read("k"),
    "read_prefix": lambda store: store.read_prefix("servers/"),
    "watch": lambda store: store.watch(
        "servers/", after_revision=1, wait_ms=10
    ),
    "commit": lambda store: store.commit([store_api.Write("k", b"v")]),
    "grant_lease": lambda store: store.grant_lease(ttl_ms=1_000),
}


@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
@pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES)
def test_response_that_cannot_be_read_ends_the_call(call, body):
    done = call(new_store(body))
    assert isinstance(done.result(timeout=0), store_api.NoResponse)


@pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES)
def test_conflict_that_cannot_be_read_ends_the_call(body):
    done = new_store(body, status=412).commit([store_api.Write("k", b"v")])
    assert isinstance(done.result(timeout=0), store_api.NoResponse)


@pytest.mark.parametrize("odd", ["not base64", "a", "====", "\u00e9", "YQ="])
@pytest.mark.parametrize("call", [CALLS["read_prefix"], CALLS["watch"]])
def test_value_that_is_no_base64_costs_no_other_item(call, odd):
    items = [
        {"key": "servers/a", "revision": 1, "value": odd},
        {"key": "servers/b", "revision": 2, "value": "YQ=="},
    ]
    body = msgspec.json.encode({"entries": items, "events": items, "at": 2})
    response = call(new_store(body)).result(timeout=0)
    assert [(item.key, item.value) for item in response.items] == [
        ("servers/a", b""),
        ("servers/b", b"a"),
    ]
