"""Tests of targets that state in their responses that they leave."""

from __future__ import annotations

import pytest

from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import platform_harness as harness_lib
from bambooglade_standins.users_platform import simulated_relay_fleet

LEAVING = (b"Server-Leaving", b"1")
PREFIX = (b"X-Bambooglade-Prefix-Hash", b"aa:50,bb:50")


@pytest.fixture
def harness():
    built = harness_lib.PlatformHarness()
    built.configure(harness_lib.configuration(prepaid=None))
    for number in range(3):
        built.add_engine(f"p{number}", "portal")
        built.add_engine(
            f"j{number}", "jury", default=engine_lib.stream_events(3)
        )
    built.start_gateway()
    yield built
    built.close()


def send(harness, path: str, count: int = 12, gateway: int = 0) -> list[int]:
    has_prompt = not path.startswith(("/plain", "/status"))
    return [
        harness.call(
            path,
            prompt="100,50" if has_prompt else None,
            extra=[PREFIX] if has_prompt else (),
            gateway=gateway,
        ).status
        for _ in range(count)
    ]


def engines_of(harness, path: str) -> list[engine_lib.Engine]:
    prefix = "p" if path.startswith(("/plain", "/status")) else "j"
    return [
        engine
        for name, engine in harness.engine_by_name.items()
        if name.startswith(prefix)
    ]


def respond_normally(engine) -> None:
    del engine


def decline_all(engine) -> None:
    engine.default = lambda call: call.decline()


def fail_all(engine) -> None:
    engine.default = lambda call: call.respond(b"broken", 500)


def let_next_target_leave(engines, response) -> list[engine_lib.Engine]:
    """Lets whichever engine gets the next request say that it leaves.

    Which of several equal targets gets a request is random.

    Returns:
        A list that will contain the engine.
    """
    leaving: list[engine_lib.Engine] = []

    def leave(call: engine_lib.Call) -> None:
        for engine in engines:
            engine.script.clear()
        leaving.append(call.engine)
        call.engine.extra_fields = [LEAVING]
        response(call.engine)
        call.engine.default(call)

    for engine in engines:
        engine.script.append(leave)
    return leaving


@pytest.mark.parametrize(
    "path, attempts",
    [("/plain/1", 1), ("/status/1", 2), ("/stream/1", 1), ("/resume/1", 2)],
)
@pytest.mark.parametrize("response", [respond_normally, decline_all, fail_all])
def test_no_request_reaches_a_target_that_said_it_leaves(
    harness, path, attempts, response
):
    send(harness, path, 3)
    engines = engines_of(harness, path)
    leaving = let_next_target_leave(engines, response)
    (first_status,) = send(harness, path, 1)
    (target,) = leaving
    count = len(target.requests)
    assert send(harness, path, 30) == [200] * 30
    assert len(target.requests) == count
    # A failure reaches the caller only where the route allows no second run.
    is_failure_passed_on = response is fail_all and attempts == 1
    assert first_status == (500 if is_failure_passed_on else 200)


def test_request_is_refused_at_once_if_all_targets_leave(harness):
    for engine in engines_of(harness, "/status/1"):
        engine.extra_fields = [LEAVING]
    send(harness, "/status/1", 3)
    started_ms = harness.loop.now_ms()
    assert send(harness, "/status/1", 1) == [503]
    assert harness.loop.now_ms() - started_ms < 200


def test_new_run_of_a_target_that_left_is_used(harness):
    engines = engines_of(harness, "/status/1")
    for engine in engines:
        engine.extra_fields = [LEAVING]
    send(harness, "/status/1", 3)
    engines[0].extra_fields = []
    harness.restart_engine(engines[0])
    assert send(harness, "/status/1", 3) == [200] * 3


@pytest.mark.parametrize("value", [b"0", b"", b"true", b"11", b"\xff"])
def test_other_values_of_the_notice_are_ignored(harness, value):
    engines = engines_of(harness, "/status/1")
    for engine in engines:
        engine.extra_fields = [(b"Server-Leaving", value)]
    assert send(harness, "/status/1", 6) == [200] * 6


def test_another_target_at_the_address_does_not_speak_for_this_one(harness):
    for engine in engines_of(harness, "/status/1"):
        engine.script.append(
            lambda call: call.respond(b"", 421, extra=[LEAVING])
        )
    send(harness, "/status/1", 3)
    for engine in engines_of(harness, "/status/1"):
        harness.register(engine.name, "portal", version="v2")
    harness.run_for(1_500)
    assert send(harness, "/status/1", 3) == [200] * 3


def test_notice_reaches_an_instance_cut_off_from_the_store(harness):
    harness.seeds = (harness.gateways[0].settings.peer_address,)
    harness.start_gateway("edge-2")
    engines = engines_of(harness, "/status/1")
    harness.run_for(500)
    harness.refuse_store_connections(1)
    for engine in engines:
        engine.extra_fields = [LEAVING]
    send(harness, "/status/1", 3, gateway=0)
    harness.run_for(4_500)
    counts = [len(engine.requests) for engine in engines]
    assert send(harness, "/status/1", 3, gateway=1) == [503] * 3
    assert [len(engine.requests) for engine in engines] == counts


@pytest.mark.parametrize("instances", [6, 24, 60])
@pytest.mark.parametrize("is_store_away", [False, True])
def test_all_instances_learn_that_a_target_leaves(instances, is_store_away):
    fleet = simulated_relay_fleet.SimulatedRelayFleet(instances)
    fleet.register("a", state="ready", started_at_ms=5)
    fleet.loop.advance(simulated_relay_fleet.CHANGE_BOUND_MS)
    if is_store_away:
        fleet.store.fault = memory_store.Fault.UNRESPONSIVE
        fleet.loop.advance(4_000)
    told = fleet.instances[3]
    (target,) = told.view.ready_targets("s")
    told.leaving.record(target, request_id="r")
    fleet.loop.advance(100)
    assert not any(i.view.ready_targets("s") for i in fleet.instances)
