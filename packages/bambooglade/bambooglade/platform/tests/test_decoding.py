"""Tests of the decoders for formats of the users' platform."""

from __future__ import annotations

import socket

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from bambooglade.gateway import configuration
from bambooglade.gateway import settings
from bambooglade.http1 import messages
from bambooglade.platform import engine_entries
from bambooglade.platform import headers
from bambooglade.platform import node_file
from bambooglade.platform import operator_configuration

ROUTE = {
    "name": "r",
    "hostname": "API.example",
    "pathPrefix": "/a/",
    "routeType": "streaming",
    "timeoutMs": 12_000,
    "targetLatencyMs": 400,
    "priority": 0,
    "service": "jury",
    "maxAttempts": 2,
    "sessionAffinity": True,
    "streamResumption": True,
    "targetGapMs": 400,
}
ENGINE = {"slots": 64, "kvCapacityTokens": 524_542, "stride": 6}


def decode_configuration(**changes) -> configuration.Configuration:
    value = {
        "version": 7,
        "routes": [ROUTE],
        "services": [{"name": "jury", "maxConnections": 9, "engine": ENGINE}],
        "tenants": [{"name": "t", "apiKeys": ["k"], "prepaid": 5}],
        "limits": {"maxHeaderBytes": 100},
        **changes,
    }
    return operator_configuration.decode(msgspec.json.encode(value))


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, set()),
        ({"allowedRegions": []}, set()),
        ({"allowedRegions": ["north", "south"]}, {"north", "south"}),
    ],
)
def test_decodes_regions_of_a_route(changes, expected):
    decoded = decode_configuration(routes=[ROUTE | changes])
    route = decoded.find_route(b"api.example", b"/a/b")
    assert route.allowed_regions == expected


@pytest.mark.parametrize(
    ("zone", "is_valid"),
    [
        ("scot-a", True),
        ("Zone 1", True),
        ("z" * 200, True),
        ("z" * 201, False),
        ("", False),
        ("a/b", False),
        (" a", False),
        ("a\n", False),
        ("a\x00", False),
    ],
)
def test_decodes_zones_that_targets_may_have_only(zone, is_valid):
    key = operator_configuration.EVACUATION_PREFIX + zone
    if is_valid:
        assert operator_configuration.evacuated_zone(key) == zone
    else:
        with pytest.raises(operator_configuration.MalformedEvacuationError):
            operator_configuration.evacuated_zone(key)


def test_decodes_configuration():
    decoded = decode_configuration()
    route = decoded.find_route(b"api.example", b"/a/b")
    assert decoded.version == 7
    assert route.kind is configuration.RouteKind.STREAM
    assert route.is_idempotent
    assert route.has_prompt
    assert [s.service for s in route.services] == ["jury"]
    assert decoded.service_by_name["jury"].engine.tokens_per_event == 6
    assert decoded.team_by_key[b"k"].prepaid_tokens == 5
    assert decoded.limits.max_header_bytes == 100
    assert decoded.limits.idle_timeout_ms == 15_000


# Bad values must not keep the rest of a configuration from being applied.
@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, None),
        ({"coldStartS": 3}, None),
        ({"coldStartS": 3, "coldPerS": 0}, None),
        ({"coldStartS": 3, "coldPerS": None}, None),
        ({"coldStartS": 3, "coldPerS": -1}, None),
        ({"coldStartS": 3, "coldPerS": 10}, (3_000, 10.0)),
        ({"coldStartS": 2.5, "coldPerS": 0.5}, (2_500, 0.5)),
        ({"coldPerS": 10}, (0, 10.0)),
        ({"coldStartS": -3, "coldPerS": 10}, (0, 10.0)),
        ({"coldStartS": 1e300, "coldPerS": 10}, (86_400_000, 10.0)),
    ],
)
def test_decodes_how_targets_start(fields, expected):
    service = {"name": "jury", "maxConnections": 9, **fields}
    decoded = decode_configuration(services=[service])
    cold_start = decoded.service("jury").cold_start
    assert expected == (
        cold_start and (cold_start.duration_ms, cold_start.max_requests_per_s)
    )


def test_decodes_traffic_split():
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    route = {k: v for k, v in ROUTE.items() if k != "service"}
    decoded = decode_configuration(routes=[{**route, "trafficSplit": split}])
    services = decoded.find_route(b"api.example", b"/a/").services
    assert [(s.service, s.weight) for s in services] == [("a", 90), ("b", 10)]


@pytest.mark.parametrize(
    "changes",
    [
        {"version": "seven"},
        {"routes": [{**ROUTE, "routeType": "sometimes"}]},
        {"routes": [{"name": "r"}]},
        {"routes": None},
        {"tenants": [{"apiKeys": ["k"]}]},
        {"limits": {"maxBodyBytes": "many"}},
    ],
)
def test_malformed_configuration_is_rejected(changes):
    with pytest.raises(operator_configuration.MalformedConfigurationError):
        decode_configuration(**changes)


ENTRY = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "slots": 4,
    "state": "ready",
    "born": 1_700_000_000_000,
    "sequence": 9,
    "version": "v1.1",
    "unknown": {"x": 1},
}


@pytest.mark.parametrize(
    ("changes", "is_draining"), [({}, False), ({"state": "draining"}, True)]
)
def test_decodes_engine_entry(changes, is_draining):
    value = msgspec.json.encode({**ENTRY, **changes})
    target = engine_entries.decode("servers/i-1", value)
    assert target.target_id == "i-1"
    assert target.address == ("10.0.0.9", 8080)
    assert target.started_at_ms == 1_700_000_000_000
    assert target.software_version == "v1.1"
    assert target.is_draining is is_draining


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\x00",
        b"[]",
        *(
            msgspec.json.encode({**ENTRY, **changes})
            for changes in (
                {"state": "asleep"},
                {"slots": 0},
                {"slots": "four"},
                {"address": "nowhere"},
                {"address": ":80"},
                {"version": 1.1},
                {"service": 5},
                {"zone": None},
            )
        ),
    ],
)
def test_malformed_engine_entry_is_rejected(value):
    with pytest.raises(engine_entries.MalformedEntryError):
        engine_entries.decode("servers/i-1", value)


NODE_FILE = b"""
nodeName = "edge-1"
ip = "10.1.0.40"
zone = "zona-antigua"
internalPortRange = [7340, 7355]
seeds = ["10.2.0.29:8229"]
somethingNew = { a = 1 }
[listen]
frontend = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
controlPlane = "10.1.0.40:8229"
[limits]
maxFds = 4100
[bounds]
graceS = 8
retryBudgetSlack = 52
[platform]
address = "10.200.1.7:8223"
[zones]
zona-antigua = "north"
"""


_JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda values: (
        strategies.lists(values)
        | strategies.dictionaries(strategies.text(), values)
    ),
    max_leaves=8,
)
_ANY_FIELDS = strategies.dictionaries(
    strategies.sampled_from([*ENTRY, "coldRemainingMs"]), _JSON_VALUES
)
_FIELDS_OF_RIGHT_TYPE = strategies.fixed_dictionaries(
    {},
    optional={
        "address": strategies.from_regex(
            r"[0-9.:]{1,16}:-?[0-9]{1,6}", fullmatch=True
        ),
        "slots": strategies.integers(),
        "born": strategies.integers(),
        "coldRemainingMs": strategies.floats(
            allow_nan=False, allow_infinity=False
        ),
        "service": strategies.text(),
        "version": strategies.text(),
    },
)


def assert_usable_or_malformed(key: str, value: bytes) -> None:
    try:
        target = engine_entries.decode(key, value)
    except engine_entries.MalformedEntryError:
        return
    socket.inet_aton(target.address[0])
    assert 0 < target.address[1] < 65_536
    assert 0 < target.slots / 2 < 1e9
    assert target.run.started_at_ms < 2**63
    assert 0 <= target.cold_remaining_ms < 1e9
    assert b"\n" not in target.target_id.encode()


@hypothesis.settings(deadline=None, max_examples=300)
@hypothesis.given(
    changes=_ANY_FIELDS | _FIELDS_OF_RIGHT_TYPE,
    target_id=strategies.text(
        strategies.characters(blacklist_categories=["Cs"])
    ),
)
def test_any_entry_is_usable_or_malformed(changes, target_id):
    value = msgspec.json.encode({**ENTRY, **changes})
    assert_usable_or_malformed(f"servers/{target_id}", value)


@hypothesis.settings(deadline=None, max_examples=300)
@hypothesis.given(
    start=strategies.integers(0, 150),
    removed_bytes=strategies.integers(0, 20),
    inserted=strategies.binary(max_size=30),
)
def test_entry_with_any_damage_is_usable_or_malformed(
    start, removed_bytes, inserted
):
    value = msgspec.json.encode(ENTRY)
    damaged = value[:start] + inserted + value[start + removed_bytes :]
    assert_usable_or_malformed("servers/i-1", damaged)


def test_decodes_node_file():
    decoded = node_file.decode(NODE_FILE)
    assert decoded.region_by_zone == {"zona-antigua": "north"}
    assert decoded.instance == "edge-1"
    assert decoded.caller_address == ("10.1.0.40", 8227)
    assert decoded.metrics_address == ("10.1.0.40", 7340)
    assert decoded.seed_addresses == (("10.2.0.29", 8229),)
    assert decoded.stop_timeout_ms == 8_000
    assert decoded.retry_slack == 52


@pytest.mark.parametrize(
    ("original", "replacement", "message"),
    [
        (b'nodeName = "edge-1"', b"", "nodeName"),
        (b'"10.1.0.40:8227"', b'"front"', "front"),
        (b"graceS = 8", b'graceS = "long"', "graceS"),
        (b'address = "10.200.1.7:8223"', b"", "address"),
        (b"[listen]", b"[listen", "line"),
    ],
)
def test_invalid_node_file_error_names_the_cause(
    original, replacement, message
):
    with pytest.raises(settings.InvalidSettingsError, match=message):
        node_file.decode(NODE_FILE.replace(original, replacement))


@pytest.mark.parametrize(
    ("usage", "prefix", "tokens", "parts"),
    [
        (b"1460,80", b"5c:800,91:410,e4:250", 1_540, 3),
        (b"1460,80", b"", 1_540, 0),
        (b"1460,80", b"5c:x,91:410", 1_540, 1),
        (b"1460", b"5c:800", None, 0),
        (b"a,b", b"5c:800", None, 0),
    ],
)
def test_decodes_prompt_size_and_parts(usage, prefix, tokens, parts):
    request = messages.Request(
        method=b"POST",
        target=b"/",
        fields=[
            (b"X-Bambooglade-Token-Usage", usage),
            (b"X-Bambooglade-Prefix-Hash", prefix),
        ],
    )
    prompt = headers.decode_request(request).prompt
    assert (prompt.max_total_tokens if prompt else None) == tokens
    assert (len(prompt.parts) if prompt else 0) == parts


@pytest.mark.parametrize(
    ("fields", "last_event_id", "stream_id"),
    [
        ([], None, None),
        ([(b"Last-Event-Id", b"7")], b"7", None),
        ([(b"Last-Event-Id", b"7"), (b"Resumes", b"a1")], b"7", "a1"),
    ],
)
def test_decodes_resumption_of_a_stream(fields, last_event_id, stream_id):
    request = messages.Request(method=b"POST", target=b"/", fields=fields)
    metadata = headers.decode_request(request)
    assert metadata.last_event_id == last_event_id
    assert metadata.stream_id == stream_id


@pytest.mark.parametrize(
    ("authorization", "key"),
    [
        (b"Token abc", b"abc"),
        (b"token  abc ", b"abc"),
        (b"Bearer abc", None),
        (b"abc", None),
        (b"", None),
    ],
)
def test_decodes_api_key(authorization, key):
    request = messages.Request(
        method=b"GET",
        target=b"/",
        fields=[(b"Authorization", authorization)],
    )
    assert headers.decode_request(request).key == key


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        (b"1", 1.0),
        (b"2.2", 2.2),
        (b" 0.5 ", 0.5),
        (b"0", 0.0),
        (b"", None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e9", None),
        (b"1, 2", None),
        (b"9" * 5_000, None),
        ("٣".encode(), None),
    ],
)
def test_decodes_request_limit_of_a_target(value, limit):
    head = messages.ResponseHead(
        status=200,
        fields=[(b"Server-Limit", value)],
        framing=messages.Framing.LENGTH,
        is_persistent=True,
    )
    assert headers.decode_response(head).max_requests_per_s == limit


@pytest.mark.parametrize(
    "values, expected",
    [
        ([], None),
        ([b"10"], 10),
        ([b" 0012 "], 12),
        ([b"0"], 0),
        ([b"-3"], 0),
        ([b"1.5"], 0),
        ([b""], 0),
        ([b"many"], 0),
        ([b"9" * 30], 0),
        ([b"\xb2"], 0),
        ([b"10", b"20"], 0),
        ([b"10, 20"], 0),
    ],
)
def test_decodes_the_rejections_that_a_brittle_target_bears(values, expected):
    head = messages.ResponseHead(
        status=200,
        fields=[(b"Server-Brittle", value) for value in values],
        framing=messages.Framing.LENGTH,
        is_persistent=True,
    )
    assert headers.decode_response(head).max_rejections_per_s == expected


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,1,8", (3, 1, 8, None)),
        (b"3,1,8,100", (3, 1, 8, 1.0)),
        (b" 3 , 1 , 8 , 250 ", (3, 1, 8, 2.5)),
        (b"0,0,8,40", (0, 0, 8, 0.4)),
        (b"3,1,8,0", (3, 1, 8, None)),
        (b"3,1,8,", (3, 1, 8, None)),
        (b"3,1,8,-5", (3, 1, 8, None)),
        (b"3,1,8,fast", (3, 1, 8, None)),
        (b"3,1,8," + b"9" * 400, (3, 1, 8, None)),
        (b"3,1,x,100", None),
        (b"3,1", None),
        (b"3,1,8,100,7", None),
        (b"", None),
    ],
)
def test_decodes_the_load_of_an_engine_with_or_without_its_speed(
    value, expected
):
    # Four figures were rejected as a whole, so that the load of such services
    # was unknown.
    head = messages.ResponseHead(
        status=200,
        fields=[(b"X-Bambooglade-Engine-Load", value)],
        framing=messages.Framing.LENGTH,
        is_persistent=True,
    )
    load = headers.decode_response(head).load
    assert expected == (
        load and (load.running, load.waiting, load.slots, load.slowdown)
    )
