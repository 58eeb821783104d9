"""Tests of entries among those of the engines that another writer has left."""

from __future__ import annotations

import msgspec
import pytest

from bambooglade.platform import engine_entries
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import platform_harness as harness_lib

ODD_KEY = "servers/p2"
"""Between the keys of the sound engines p1 and p3."""

APPLY_BOUND_MS = 2_000
RESPONSE_BOUND_MS = 500
_DEPTH = 100_000


def entry(*, without: str = "", **changes) -> bytes:
    """Returns an entry of a sound engine, with some fields changed."""
    sound = harness_lib.engine_registration(("127.0.0.1", 9), "portal")
    fields = {**msgspec.json.decode(sound), **changes}
    fields.pop(without, None)
    return msgspec.json.encode(fields)


def with_raw(name: str, text: bytes) -> bytes:
    """Returns an entry with the text of a field as it is."""
    return entry(without=name)[:-1] + b',"%s":%s}' % (name.encode(), text)


ODD_ENTRIES = {
    "nested_lists": with_raw("x", b"[" * _DEPTH + b"]" * _DEPTH),
    "nested_objects": with_raw("x", b'{"a":' * _DEPTH + b"1" + b"}" * _DEPTH),
    "nested_without_end": with_raw("x", b"[" * _DEPTH),
    "slots_of_5000_digits": with_raw("slots", b"9" * 5_000),
    "slots_of_400_digits": with_raw("slots", b"9" * 400),
    "slots_beyond_int64": with_raw("slots", b"9" * 20),
    "slots_as_float": with_raw("slots", b"1e30"),
    "no_slots": entry(slots=0),
    "negative_slots": entry(slots=-1),
    "start_of_400_digits": with_raw("born", b"9" * 400),
    "start_beyond_int64": with_raw("born", b"9" * 20),
    "negative_start": entry(born=-1),
    "cold_time_beyond_float": with_raw("coldRemainingMs", b"1e999"),
    "cold_time_near_the_largest_float": with_raw("coldRemainingMs", b"1e300"),
    "cold_time_nan": with_raw("coldRemainingMs", b"NaN"),
    "cold_time_infinite": with_raw("coldRemainingMs", b"Infinity"),
    "port_0": entry(address="127.0.0.1:0"),
    "port_65536": entry(address="127.0.0.1:65536"),
    "negative_port": entry(address="127.0.0.1:-1"),
    "port_of_5000_digits": entry(address="127.0.0.1:" + "9" * 5_000),
    "port_with_underscore": entry(address="127.0.0.1:8_0"),
    "port_in_other_digits": entry(address="127.0.0.1:\u0668\u0660"),
    "no_port": entry(address="127.0.0.1"),
    "no_address": entry(address=""),
    "host_name": entry(address="localhost:80"),
    "host_with_null": entry(address="a\0b:80"),
    "host_that_has_no_encoding": entry(address="\u00e9" * 70 + ":80"),
    "host_of_100000_characters": entry(address="a" * 100_000 + ":80"),
    "ipv6": entry(address="[::1]:80"),
    "ipv6_without_brackets": entry(address="::1:80"),
    "octet_out_of_range": entry(address="127.0.0.256:80"),
    "unspecified_address": entry(address="0.0.0.0:80"),
    "multicast_address": entry(address="224.0.0.1:80"),
    "broadcast_address": entry(address="255.255.255.255:80"),
    "no_utf8": b"\xff\xfe\x00",
    "no_utf8_in_service": entry(service="@").replace(b"@", b"\xff"),
    "lone_surrogate": entry(service="@").replace(b"@", rb"\ud800"),
    "service_with_line_feed": entry(service="portal\r\nX: y"),
    "service_of_100000_characters": entry(service="x" * 100_000),
    "version_of_100000_characters": entry(version="x" * 100_000),
    "zone_of_100000_characters": entry(zone="x" * 100_000),
    "unknown_state": entry(state="leaving"),
    "no_service": entry(without="service"),
    "service_of_other_type": entry(service=["portal"]),
    "null": b"null",
    "list": b"[]",
    "text": b"text",
    "empty": b"",
    "megabyte_without_end": b'{"x":"' + b"a" * 1_000_000,
}


@pytest.fixture
def harness():
    built = harness_lib.PlatformHarness()
    built.configure(harness_lib.configuration())
    for name in ("p1", "p3"):
        built.add_engine(name, "portal")
    yield built
    built.close()


def known_targets(gateway) -> set[str]:
    return {t.target_id for t in gateway.view.ready_targets("portal")}


def assert_serves(harness, names: set[str], gateway: int = 0) -> None:
    """Asserts that a gateway uses these engines, and soon a new one as well."""
    process = harness.gateways[gateway]
    harness.run_until(
        lambda: known_targets(process) == names, max_wait_ms=APPLY_BOUND_MS
    )
    started_ms = harness.loop.now_ms()
    for _ in range(4):
        assert harness.call("/plain/1", gateway=gateway).status == 200
    assert harness.loop.now_ms() - started_ms < 4 * RESPONSE_BOUND_MS
    if "p4" not in harness.engine_by_name:
        harness.add_engine("p4", "portal")
    harness.run_until(
        lambda: known_targets(process) == names | {"p4"},
        max_wait_ms=APPLY_BOUND_MS,
    )


@pytest.mark.parametrize("key", [ODD_KEY, "servers/p9"])
@pytest.mark.parametrize("value", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_at_the_start_costs_nobody_else(harness, value, key):
    harness.store.put_now(key, value)
    harness.start_gateway()
    assert_serves(harness, {"p1", "p3"})


@pytest.mark.parametrize("value", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_while_watching_costs_nobody_else(harness, value):
    harness.start_gateway()
    harness.store.put_now(ODD_KEY, value)
    assert_serves(harness, {"p1", "p3"})


@pytest.mark.parametrize("value", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_replaces_the_sound_one_of_its_engine(harness, value):
    harness.add_engine("p2", "portal")
    harness.start_gateway()
    harness.run_until(
        lambda: known_targets(harness.gateways[0]) == {"p1", "p2", "p3"}
    )
    harness.store.put_now(ODD_KEY, value)
    assert_serves(harness, {"p1", "p3"})
    harness.register("p2", "portal")
    harness.run_until(
        lambda: known_targets(harness.gateways[0]) == {"p1", "p2", "p3", "p4"},
        max_wait_ms=APPLY_BOUND_MS,
    )


@pytest.mark.parametrize(
    "name",
    [
        "nested_lists",
        "slots_beyond_int64",
        "start_of_400_digits",
        "port_65536",
        "no_utf8",
        "service_with_line_feed",
    ],
)
def test_odd_entry_that_a_peer_passes_on_costs_nobody_else(harness, name):
    harness.store.put_now(ODD_KEY, ODD_ENTRIES[name])
    harness.start_gateway("edge-0")
    harness.seeds = (harness.gateways[0].settings.peer_address,)
    harness.start_gateway("edge-1", is_store_down=True)
    assert_serves(harness, {"p1", "p3"}, gateway=1)


@pytest.mark.parametrize(
    "key", ["servers/", "servers/p2\r\nX-Injected: 1", "servers/p\u00e9 2"]
)
def test_id_that_fits_no_header_field_names_no_engine(harness, key):
    address = harness.engine_by_name["p1"].address
    harness.store.put_now(
        key, harness_lib.engine_registration(address, "portal")
    )
    harness.start_gateway()
    assert_serves(harness, {"p1", "p3"})
    for engine in harness.engine_by_name.values():
        assert not any(r.has(b"x-injected") for r in engine.requests)


@pytest.mark.parametrize("value", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_is_counted_until_it_is_replaced(harness, value):
    harness.store.put_now(ODD_KEY, value)
    gateway = harness.start_gateway()
    assert gateway.view.malformed_count == 1
    harness.add_engine("p2", "portal", default=engine_lib.respond_with_name)
    harness.run_until(
        lambda: gateway.view.malformed_count == 0, max_wait_ms=APPLY_BOUND_MS
    )
    assert known_targets(gateway) == {"p1", "p2", "p3"}


@pytest.mark.parametrize("path", ["/plain/1", "/status/1"])
@pytest.mark.parametrize(
    "odd_address", [("127.0.0.1", 65_536), ("a\0b", 80), ("\u00e9" * 70, 80)]
)
def test_target_to_which_no_connection_can_be_opened_delays_no_request(
    harness, monkeypatch, path, odd_address
):
    decode = engine_entries.decode

    def decode_with_odd_address(key, value):
        target = decode(key, value)
        if key == ODD_KEY:
            target.address = odd_address
        return target

    monkeypatch.setattr(engine_entries, "decode", decode_with_odd_address)
    harness.store.put_now(ODD_KEY, entry())
    harness.start_gateway()
    started_ms = harness.loop.now_ms()
    started = [harness.start_call(path) for _ in range(8)]
    harness.run_until(lambda: all(caller.is_finished for caller in started))
    assert [caller.status for caller in started] == [200] * 8
    assert harness.loop.now_ms() - started_ms < RESPONSE_BOUND_MS


@pytest.mark.parametrize("path", ["/plain/1", "/status/1"])
@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"X-Bambooglade-Engine-Load", b"9" * 5_000 + b",0,8"),
        (b"X-Bambooglade-Engine-Load", b"1,2," + b"9" * 400),
        (b"X-Bambooglade-Engine-Load", b"\xff,-1,1e9"),
        (b"Keep-Alive", b"timeout=" + b"9" * 5_000),
        (b"Keep-Alive", b"timeout=\xff"),
        (b"Retry-After", b"9" * 5_000),
        (b"Server-Limit", b"9" * 5_000),
        (b"Server-Brittle", b"9" * 5_000),
    ],
)
def test_response_with_a_number_too_large_is_delivered(
    harness, path, name, value
):
    for engine in harness.engine_by_name.values():
        engine.extra_fields = [(name, value)]
    harness.start_gateway()
    for _ in range(2):
        started_ms = harness.loop.now_ms()
        assert harness.call(path).status == 200
        assert harness.loop.now_ms() - started_ms < RESPONSE_BOUND_MS


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"X-Bambooglade-Token-Usage", b"9" * 2_100 + b"," + b"9" * 2_100),
        (b"X-Bambooglade-Token-Usage", b"1," + b"9" * 4_400),
        (b"X-Bambooglade-Prefix-Hash", b"\xff\x80:5"),
        (b"X-Bambooglade-Prefix-Hash", b"ab:" + b"9" * 4_400),
        (b"X-Bambooglade-Deadline-Ms", b"9" * 4_400),
        (b"X-Bambooglade-Length-Hint", b"9" * 4_400),
    ],
)
@pytest.mark.parametrize("path", ["/plain/1", "/status/1", "/resume/1"])
def test_request_with_an_odd_field_is_answered(harness, path, name, value):
    harness.configure(
        harness_lib.configuration(version=2).replace(
            b'"maxHeaderBytes":4096', b'"maxHeaderBytes":16384'
        )
    )
    harness.add_engine("j1", "jury", default=engine_lib.stream_events(2))
    harness.start_gateway()
    started_ms = harness.loop.now_ms()
    prompt = None if name.endswith(b"Token-Usage") else "1,2"
    caller = harness.call(path, prompt=prompt, extra=[(name, value)])
    assert caller.status is not None
    assert harness.loop.now_ms() - started_ms < RESPONSE_BOUND_MS
