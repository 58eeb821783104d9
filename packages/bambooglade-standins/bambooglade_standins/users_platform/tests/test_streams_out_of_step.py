"""Tests of streams that callers resume at an instance that is out of step."""

from __future__ import annotations

import msgspec
import pytest

from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import platform_harness as harness_lib

EVENTS = 4
RESUMED_AT = 0
"""Number of the gateway that is out of step."""

BEGUN_AT = 1
"""Number of the gateway at which streams begin."""

NOTICED_MS = 5_000
"""Time within which a gateway notices a cut, and writes what it knows."""


@pytest.fixture
def harness():
    built = harness_lib.PlatformHarness()
    built.configure(harness_lib.configuration(prepaid=None))
    yield built
    built.close()


def add_engine(
    harness, name: str, version: str = "v1", *, service: str = "jury"
) -> None:
    harness.add_engine(
        name,
        service,
        default=engine_lib.stream_events(EVENTS),
        version=version,
    )


def start_gateways(harness, count: int) -> None:
    for number in range(count):
        harness.start_gateway(f"edge-{number}")
    harness.run_until_discovered()


def wait_until_ready(harness, gateways, *names: str) -> None:
    """Waits until these gateways know that exactly these engines are ready."""
    harness.run_until(
        lambda: all(
            {
                target.target_id
                for target in harness.gateways[number].view.ready_targets(
                    "jury"
                )
            }
            == set(names)
            for number in gateways
        )
    )


def send_two_events(call: engine_lib.Call) -> None:
    call.start_stream()
    call.event(1)
    call.event(2)


def begin_stream(harness, name: str, *, gateway: int = BEGUN_AT) -> bytes:
    """Begins a stream at an engine; returns its id."""
    for other, engine in harness.engine_by_name.items():
        engine.script.append(
            send_two_events if other == name else engine_lib.Call.decline
        )
    caller = harness.start_call("/resume/1/x", prompt="100,50", gateway=gateway)
    harness.run_until(lambda: engine_lib.event(2) in caller.body)
    (request,) = harness.engine_by_name[name].requests[-1:]
    for engine in harness.engine_by_name.values():
        engine.script.clear()
        engine.requests.clear()
    caller.close()
    return request.get(b"x-bambooglade-attempt-id")


def resume(harness, stream_id: bytes, *, gateway: int = RESUMED_AT):
    return harness.call(
        "/resume/1/x",
        prompt="100,50",
        gateway=gateway,
        extra=[(b"Last-Event-Id", b"2"), (b"Resumes", stream_id)],
    )


def called_engines(harness) -> set[str]:
    return {
        name
        for name, engine in harness.engine_by_name.items()
        if engine.requests
    }


def assert_refused_at_once(harness, stream_id: bytes) -> None:
    started_ms = harness.loop.now_ms()
    caller = resume(harness, stream_id)
    assert (caller.status, called_engines(harness)) == (503, set())
    assert float(caller.header(b"retry-after")) > 0
    assert harness.loop.now_ms() - started_ms < 800


@pytest.mark.parametrize("is_back", [False, True])
@pytest.mark.parametrize("cut_for_ms", [0, NOTICED_MS])
@pytest.mark.parametrize("also_cut", [False, True])
@pytest.mark.parametrize("is_replaced", [False, True])
def test_stream_is_not_joined_at_an_instance_that_missed_its_version(
    harness, is_replaced, also_cut, cut_for_ms, is_back
):
    """The instance at which it began is gone; a peer may be out of step too."""
    add_engine(harness, "j1")
    start_gateways(harness, 3)
    harness.cut_off(RESUMED_AT)
    if also_cut:
        harness.cut_off(2)
        harness.restore_links_between(RESUMED_AT, 2)
    add_engine(harness, "j2", "v2")
    in_touch = [BEGUN_AT] if also_cut else [BEGUN_AT, 2]
    wait_until_ready(harness, in_touch, "j1", "j2")
    if is_replaced:
        harness.store.put_now("servers/j1", None)
        wait_until_ready(harness, in_touch, "j2")
    stream_id = begin_stream(harness, "j2")
    harness.gateways[BEGUN_AT].close()
    harness.run_for(cut_for_ms)
    if is_back:
        harness.restore_links()
        caller = resume(harness, stream_id)
        assert (caller.status == 200) == (called_engines(harness) == {"j2"})
        assert called_engines(harness) <= {"j2"}
    else:
        assert_refused_at_once(harness, stream_id)


@pytest.mark.parametrize("gateways", [1, 2])
def test_stream_is_not_joined_at_an_instance_that_nobody_answers(
    harness, gateways
):
    add_engine(harness, "j1")
    start_gateways(harness, gateways)
    harness.cut_off(RESUMED_AT)
    assert_refused_at_once(harness, b"unknown")


def test_stream_is_not_joined_after_its_version_came_and_went_in_a_cut(harness):
    add_engine(harness, "j1")
    start_gateways(harness, 2)
    harness.cut_off(RESUMED_AT)
    add_engine(harness, "j2", "v2")
    wait_until_ready(harness, [BEGUN_AT], "j1", "j2")
    stream_id = begin_stream(harness, "j2")
    harness.store.put_now("servers/j2", None)
    wait_until_ready(harness, [BEGUN_AT], "j1")
    harness.run_for(NOTICED_MS)
    harness.gateways[BEGUN_AT].close()
    harness.restore_links()
    harness.run_for(NOTICED_MS)
    assert resume(harness, stream_id).status == 503
    assert called_engines(harness) == set()


@pytest.mark.parametrize("cut", ["none", "begun", "peers", "store"])
@pytest.mark.parametrize("cut_for_ms", [0, NOTICED_MS])
def test_stream_of_the_only_version_goes_on_where_that_is_certain(
    harness, cut_for_ms, cut
):
    add_engine(harness, "j1")
    start_gateways(harness, 3)
    stream_id = begin_stream(harness, "j1")
    match cut:
        case "begun":
            harness.cut_off(BEGUN_AT)
        case "peers":
            harness.cut_between(RESUMED_AT, [1, 2])
        case "store":
            harness.cut_from_store(RESUMED_AT)
    harness.gateways[BEGUN_AT].close()
    harness.run_for(cut_for_ms)
    caller = resume(harness, stream_id)
    assert caller.status == 200
    assert caller.body.startswith(engine_lib.event(3))


def test_stream_that_began_here_goes_on_here_in_a_cut(harness):
    add_engine(harness, "j1")
    start_gateways(harness, 2)
    harness.cut_off(RESUMED_AT)
    stream_id = begin_stream(harness, "j1", gateway=RESUMED_AT)
    assert resume(harness, stream_id).status == 200


@pytest.mark.parametrize("begun_ms_before", [0, 2_000])
def test_stream_goes_on_elsewhere_while_the_store_answers_nobody(
    harness, begun_ms_before
):
    add_engine(harness, "j1")
    start_gateways(harness, 3)
    if begun_ms_before:
        stream_id = begin_stream(harness, "j1")
        harness.run_for(begun_ms_before)
    harness.stop_answering_store_calls()
    harness.run_for(NOTICED_MS)
    if not begun_ms_before:
        stream_id = begin_stream(harness, "j1")
        harness.run_for(100)
    harness.gateways[BEGUN_AT].close()
    assert resume(harness, stream_id).status == 200
    assert called_engines(harness) == {"j1"}


@pytest.mark.parametrize("are_recorders_back", [False, True])
def test_stream_is_not_joined_after_a_kill_if_recorders_were_turned_away(
    harness, are_recorders_back
):
    add_engine(harness, "j1")
    start_gateways(harness, 4)
    harness.run_for(1_000)
    (served,) = (
        number
        for number, gateway in enumerate(harness.gateways)
        if not gateway.records_versions
    )
    for number in {0, 1, 2, 3} - {served}:
        harness.cut_from_store(number)
    add_engine(harness, "j2", "v2")
    wait_until_ready(harness, [served], "j1", "j2")
    stream_id = begin_stream(harness, "j2", gateway=served)
    harness.store.put_now("servers/j2", None)
    wait_until_ready(harness, [served], "j1")
    harness.run_for(NOTICED_MS)
    if are_recorders_back:
        harness.restore_links()
        harness.run_for(NOTICED_MS)
    harness.kill_gateways()
    start_gateways(harness, 4)
    assert resume(harness, stream_id).status == 503
    assert called_engines(harness) == set()


def route_to(service: str, version: int, *, prefix: str = "/resume/") -> bytes:
    """Returns a configuration with a resumable route to a service."""
    value = msgspec.json.decode(
        harness_lib.configuration(version=version, prepaid=None)
    )
    (route,) = (r for r in value["routes"] if r["name"] == "resume")
    if prefix == route["pathPrefix"]:
        route["service"] = service
    else:
        value["routes"].append(
            {
                **route,
                "name": "longer",
                "pathPrefix": prefix,
                "service": service,
            }
        )
    jury = next(s for s in value["services"] if s["name"] == "jury")
    value["services"].append({**jury, "name": "panel"})
    return msgspec.json.encode(value)


def configure(harness, value: bytes, gateways) -> None:
    """Writes a configuration, and waits until these gateways apply it."""
    version = msgspec.json.decode(value)["version"]
    harness.configure(value)
    harness.run_until(
        lambda: all(
            harness.gateways[number].view.configuration.version == version
            for number in gateways
        )
    )


@pytest.mark.parametrize("prefix", ["/resume/", "/resume/1/"])
@pytest.mark.parametrize("changes", [1, 2])
@pytest.mark.parametrize("is_origin_gone", [False, True])
@pytest.mark.parametrize("restarted", [False, True])
def test_stream_is_not_joined_at_the_service_to_which_its_route_moved(
    harness, restarted, is_origin_gone, changes, prefix
):
    add_engine(harness, "j1")
    add_engine(harness, "p1", service="panel")
    start_gateways(harness, 3)
    stream_id = begin_stream(harness, "j1")
    for version in range(2, 2 + changes):
        value = route_to("panel", version, prefix=prefix)
        configure(harness, value, range(3))
    if is_origin_gone:
        harness.gateways[BEGUN_AT].close()
    if restarted:
        harness.gateways[RESUMED_AT].close()
        harness.start_gateway("edge-0")
        harness.run_until(lambda: harness.gateways[-1].known_peers())
    caller = resume(harness, stream_id, gateway=-1 if restarted else 0)
    assert (caller.status, called_engines(harness)) == (503, set())


@pytest.mark.parametrize("is_back", [False, True])
def test_stream_is_not_joined_at_the_service_from_which_its_route_moved(
    harness, is_back
):
    add_engine(harness, "j1")
    add_engine(harness, "p1", service="panel")
    start_gateways(harness, 2)
    harness.cut_off(RESUMED_AT)
    configure(harness, route_to("panel", 2), [BEGUN_AT])
    stream_id = begin_stream(harness, "p1")
    harness.gateways[BEGUN_AT].close()
    if is_back:
        harness.restore_links()
    caller = resume(harness, stream_id)
    assert called_engines(harness) <= {"p1"}
    assert (caller.status == 200) == bool(called_engines(harness))


def test_stream_goes_on_after_its_route_was_split(harness):
    add_engine(harness, "j1")
    add_engine(harness, "p1", service="panel")
    start_gateways(harness, 3)
    stream_id = begin_stream(harness, "j1")
    value = msgspec.json.decode(route_to("panel", 2))
    (route,) = (r for r in value["routes"] if r["name"] == "resume")
    del route["service"]
    route["trafficSplit"] = [
        {"service": service, "weight": 1} for service in ("jury", "panel")
    ]
    configure(harness, msgspec.json.encode(value), range(3))
    harness.run_for(100)
    harness.gateways[BEGUN_AT].close()
    assert resume(harness, stream_id).status == 200
    assert called_engines(harness) == {"j1"}
