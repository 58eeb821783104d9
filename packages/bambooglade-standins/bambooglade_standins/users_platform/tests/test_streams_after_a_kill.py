"""Tests of streams that callers resume after all gateways were killed."""

from __future__ import annotations

import pytest

from bambooglade.gateway import version_archive
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import platform_harness as harness_lib

EVENTS = 4
ARCHIVED_MS = 400
"""Time after which the origin of a stream outlives a kill of all gateways."""


@pytest.fixture
def harness():
    built = harness_lib.PlatformHarness()
    built.configure(harness_lib.configuration())
    yield built
    built.close()


def add_engine(harness, name: str, version: str) -> None:
    harness.add_engine(
        name,
        "jury",
        default=engine_lib.stream_events(EVENTS),
        version=version,
    )


def start_gateways(harness, count: int = 2) -> None:
    for number in range(count):
        harness.start_gateway(f"edge-{number}")
    harness.run_until_discovered()


def wait_until_ready(harness, *names: str) -> None:
    """Waits until all gateways know that exactly these engines are ready."""
    harness.run_until(
        lambda: all(
            {t.target_id for t in gateway.view.ready_targets("jury")}
            == set(names)
            for gateway in harness.gateways
        )
    )


def replace(harness, old: str, new: str, version: str) -> None:
    """Starts an engine of a version, and lets another one leave."""
    add_engine(harness, new, version)
    wait_until_ready(harness, old, new)
    harness.store.put_now(f"servers/{old}", None)
    wait_until_ready(harness, new)


def send_two_events(call: engine_lib.Call) -> None:
    call.start_stream()
    call.event(1)
    call.event(2)


def begin_stream(harness, name: str) -> bytes:
    """Begins a stream at an engine; returns its id.

    Other engines decline the request until it reaches the engine.
    """
    for other, engine in harness.engine_by_name.items():
        engine.script.append(
            send_two_events if other == name else engine_lib.Call.decline
        )
    caller = harness.start_call("/resume/1", prompt="100,50")
    harness.run_until(lambda: engine_lib.event(2) in caller.body)
    for engine in harness.engine_by_name.values():
        engine.script.clear()
    (request,) = harness.engine_by_name[name].requests[-1:]
    caller.close()
    return request.get(b"x-bambooglade-attempt-id")


def forget_requests(harness) -> None:
    for engine in harness.engine_by_name.values():
        engine.requests.clear()


def called_engines(harness) -> set[str]:
    return {
        name
        for name, engine in harness.engine_by_name.items()
        if engine.requests
    }


def resume(harness, stream_id: bytes, *, gateway: int = 0):
    return harness.call(
        "/resume/1",
        prompt="100,50",
        gateway=gateway,
        extra=[(b"Last-Event-Id", b"2"), (b"Resumes", stream_id)],
    )


@pytest.mark.parametrize("restarted", [1, 2])
@pytest.mark.parametrize("versions", [("v1", "v2"), ("v2", "v1")])
def test_stream_does_not_go_on_at_the_version_that_replaced_its_own(
    harness, versions, restarted
):
    add_engine(harness, "j1", versions[0])
    start_gateways(harness)
    stream_id = begin_stream(harness, "j1")
    replace(harness, "j1", "j2", versions[1])
    harness.kill_gateways()
    forget_requests(harness)
    start_gateways(harness, restarted)
    for gateway in range(restarted):
        assert resume(harness, stream_id, gateway=gateway).status == 503
    assert called_engines(harness) == set()


def test_stream_does_not_go_on_at_the_second_version_after_its_own(harness):
    add_engine(harness, "j1", "v1")
    start_gateways(harness)
    stream_id = begin_stream(harness, "j1")
    replace(harness, "j1", "j2", "v2")
    replace(harness, "j2", "j3", "v3")
    harness.kill_gateways()
    forget_requests(harness)
    start_gateways(harness)
    assert resume(harness, stream_id).status == 503
    assert called_engines(harness) == set()


def test_stream_does_not_go_on_elsewhere_if_its_version_left_unseen(harness):
    add_engine(harness, "j1", "v1")
    start_gateways(harness)
    stream_id = begin_stream(harness, "j1")
    harness.run_for(ARCHIVED_MS)
    harness.kill_gateways()
    add_engine(harness, "j2", "v2")
    harness.store.put_now("servers/j1", None)
    forget_requests(harness)
    start_gateways(harness)
    assert resume(harness, stream_id).status == 503
    assert called_engines(harness) == set()


@pytest.mark.parametrize("has_started_alone", [False, True])
@pytest.mark.parametrize("name", ["j1", "j2"])
def test_stream_goes_on_at_its_version_after_all_gateways_were_killed(
    harness, name, has_started_alone
):
    add_engine(harness, "j1", "v1")
    start_gateways(harness)
    if has_started_alone:
        stream_id = begin_stream(harness, "j1")
        add_engine(harness, "j2", "v2")
        wait_until_ready(harness, "j1", "j2")
        name = "j1"
    else:
        add_engine(harness, "j2", "v2")
        wait_until_ready(harness, "j1", "j2")
        stream_id = begin_stream(harness, name)
    harness.run_for(ARCHIVED_MS)
    harness.kill_gateways()
    forget_requests(harness)
    start_gateways(harness)
    for gateway in range(2):
        caller = resume(harness, stream_id, gateway=gateway)
        assert caller.status == 200
        assert caller.body.startswith(engine_lib.event(3))
    assert called_engines(harness) == {name}


def test_stream_goes_on_if_only_one_version_ever_served(harness):
    add_engine(harness, "j1", "v1")
    start_gateways(harness)
    stream_id = begin_stream(harness, "j1")
    harness.run_until(lambda: version_archive.KEY in harness.store.list_keys())
    harness.kill_gateways()
    start_gateways(harness)
    for gateway in range(2):
        assert resume(harness, stream_id, gateway=gateway).status == 200


@pytest.mark.parametrize(
    ("is_replaced", "is_recorded", "status"),
    [(False, True, 200), (True, True, 503), (False, False, 503)],
)
def test_instance_that_restarts_alone_guesses_no_version(
    harness, is_replaced, is_recorded, status
):
    """Its peers, which lost the store, know the past but not its last part."""
    add_engine(harness, "j1", "v1")
    start_gateways(harness)
    if is_replaced:
        replace(harness, "j1", "j2", "v2")
    harness.run_until(lambda: version_archive.KEY in harness.store.list_keys())
    harness.stop_answering_store_calls()
    harness.gateways[0].close()
    if not is_recorded:
        harness.store.put_now(version_archive.KEY, None)
    restarted = harness.start_gateway("edge-0")
    harness.run_until(lambda: restarted.known_peers())
    forget_requests(harness)
    caller = resume(harness, b"unknown", gateway=2)
    assert caller.status == status
    assert bool(called_engines(harness)) is (status == 200)


def test_store_that_does_not_answer_lets_nothing_be_guessed(harness):
    add_engine(harness, "j1", "v1")
    start_gateways(harness)
    stream_id = begin_stream(harness, "j1")
    replace(harness, "j1", "j2", "v2")
    harness.kill_gateways()
    forget_requests(harness)
    start_gateways(harness)
    harness.stop_answering_store_calls()
    for gateway in range(2):
        assert resume(harness, stream_id, gateway=gateway).status == 503
    assert called_engines(harness) == set()


def test_nothing_is_archived_of_streams_while_one_version_serves(harness):
    add_engine(harness, "j1", "v1")
    start_gateways(harness)
    for _ in range(3):
        begin_stream(harness, "j1")
    harness.run_for(ARCHIVED_MS)
    assert not [k for k in harness.store.list_keys() if "stream-origins" in k]
