"""What callers get, and what engines run, fault by fault."""

from __future__ import annotations

import pytest

from bambooglade.http1 import messages
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import scene as scene_lib


@pytest.fixture
def scene():
    built = scene_lib.Scene()
    built.configure(scene_lib.configuration())
    for name in ("p1", "p2"):
        built.add_engine(name, "portal")
    for name in ("j1", "j2"):
        built.add_engine(name, "jury", default=engine_lib.stream_events(4))
    built.start_gateway()
    yield built
    built.close()


def runs(scene, names) -> int:
    """Requests that engines may have run."""
    engines = [scene.engine_by_name[name] for name in names]
    return sum(len(e.requests) - e.declined for e in engines)


def script(scene, names, behaviour) -> None:
    for name in names:
        scene.engine_by_name[name].script.append(behaviour)


PORTAL, JURY = ("p1", "p2"), ("j1", "j2")

_POST = b"POST /plain/1 HTTP/1.1\r\nHost: a\r\n"


def truncate(call: engine_lib.Call) -> None:
    whole = messages.encode_response(
        status=200, fields=call.fields(), body=b"whole body"
    )
    call.send(whole[:-4])
    call.close()


def reset_unframed(call: engine_lib.Call) -> None:
    call.send(
        messages.encode_response_head(status=200, fields=call.fields())
        + b"part"
    )
    call.engine.loop_later(call.reset)


def send_unsigned(call: engine_lib.Call) -> None:
    attempt_id = call.fields()[:1]
    call.send(
        messages.encode_response(status=200, fields=attempt_id, body=b"x")
    )


def send_encoded(call: engine_lib.Call) -> None:
    call.respond(b"x", extra=[(b"Content-Encoding", b"gzip")])


def send_garbage(call: engine_lib.Call) -> None:
    call.send(b"\x00\x01 not http\r\n\r\n")


def reset(call: engine_lib.Call) -> None:
    call.reset()


def stay_mute(call: engine_lib.Call) -> None:
    del call


def fail(call: engine_lib.Call) -> None:
    call.respond(b"failed", status=500)


def double(call: engine_lib.Call) -> None:
    call.respond(b"first")
    call.respond(b"second")


def send_late_extra(call: engine_lib.Call) -> None:
    """Answers another request first, as a doubled late answer does."""
    fields = [
        (engine_lib.ATTEMPT_ID, b"of-another-request"),
        (engine_lib.SIGNATURE, b"sig-other"),
    ]
    call.send(messages.encode_response(status=200, fields=fields, body=b"no"))
    call.respond(b"mine")


def decline(call: engine_lib.Call) -> None:
    call.decline()


def misdirect(call: engine_lib.Call) -> None:
    call.engine.declined += 1
    call.send(messages.encode_response(status=421, fields=()))


def answer_unframed(call: engine_lib.Call) -> None:
    call.send(
        messages.encode_response_head(status=200, fields=call.fields())
        + b"until the end"
    )
    call.close()


@pytest.mark.parametrize(
    ("behaviour", "status", "body", "max_runs"),
    [
        (engine_lib.answer_plainly, 200, None, 1),
        (truncate, 502, None, 1),
        (send_unsigned, 502, None, 1),
        (send_encoded, 502, None, 1),
        (send_garbage, 502, None, 1),
        (reset, 502, None, 1),
        (fail, 500, b"failed", 1),
        (double, 200, b"first", 1),
        (send_late_extra, 200, b"mine", 1),
        (answer_unframed, 200, b"until the end", 1),
        (decline, 200, None, 1),
        (misdirect, 200, None, 1),
    ],
)
def test_a_call_that_may_not_be_repeated(
    scene, behaviour, status, body, max_runs
):
    script(scene, PORTAL[:1], behaviour)
    script(scene, PORTAL[1:], behaviour)
    if behaviour in (decline, misdirect):
        scene.engine_by_name["p2"].script.clear()
    caller = scene.call("/plain/1")
    assert caller.status == status
    assert caller.is_whole
    if body is not None:
        assert caller.body == body
    assert runs(scene, PORTAL) <= max_runs


@pytest.mark.parametrize(
    "behaviour",
    [truncate, send_unsigned, send_garbage, reset, fail, stay_mute, decline],
)
def test_a_repeatable_call_succeeds_at_the_other_target(scene, behaviour):
    first = scene.call("/status/1", method="GET", body=b"")
    name = first.body.decode().partition(":")[0]
    scene.engine_by_name[name].script.append(behaviour)
    other = "p2" if name == "p1" else "p1"
    scene.engine_by_name[other].script.append(behaviour)
    scene.engine_by_name[other].script.clear()
    caller = scene.call("/status/2", method="GET", body=b"")
    assert caller.status == 200
    assert runs(scene, PORTAL) <= 3


def test_all_targets_decline(scene):
    for name in PORTAL:
        scene.engine_by_name[name].default = decline
    caller = scene.call("/plain/1")
    assert caller.status == 503
    assert float(caller.header(b"retry-after")) > 0
    assert runs(scene, PORTAL) == 0


@pytest.mark.parametrize("path", ["/plain/1", "/status/1", "/stream/1"])
def test_a_target_that_was_not_reached_draws_on_no_retry_allowance(scene, path):
    scene.gateways[0].settings.retry_slack = 0
    scene.gateways[0].settings.retry_ratio = 0
    scene.engine_by_name["p1"].close()
    scene.engine_by_name["j1"].close()
    statuses = {
        scene.call(path, prompt="10,5" if "stream" in path else None).status
        for _ in range(4)
    }
    assert statuses == {200}


def test_a_target_that_declined_draws_on_the_retry_allowance(scene):
    scene.gateways[0].settings.retry_slack = 0
    scene.gateways[0].settings.retry_ratio = 0
    for name in PORTAL:
        scene.engine_by_name[name].default = decline
    assert scene.call("/plain/1").status == 503
    engines = [scene.engine_by_name[name] for name in PORTAL]
    assert sum(len(engine.requests) for engine in engines) == 1


def test_a_mute_target_of_a_call_that_may_not_be_repeated(scene):
    script(scene, PORTAL, stay_mute)
    caller = scene.call("/plain/1", deadline_ms=400)
    assert caller.status == 504
    assert runs(scene, PORTAL) == 1


def test_the_connection_to_a_target_is_kept_but_not_after_extra_bytes(scene):
    engine = scene.engine_by_name["p1"]
    scene.engine_by_name["p2"].close()
    scene.store.put_now("servers/p2", None)
    scene.run_for(scene_lib.APPLY_BOUND_MS)
    for _ in range(3):
        assert scene.call("/plain/1").status == 200
    assert engine.connections == 1
    engine.script.append(double)
    assert scene.call("/plain/1").body == b"first"
    assert scene.call("/plain/1").status == 200
    assert engine.connections == 2


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/plain/1", b"unknown", 401),
        ("/plain/1", None, 401),
        ("/nowhere/1", scene_lib.KEY, 404),
        ("/plain", scene_lib.KEY, 404),
    ],
)
def test_what_the_configuration_does_not_allow(scene, path, key, status):
    assert scene.call(path, key=key).status == status
    assert runs(scene, PORTAL) == 0


def test_what_a_target_gets(scene):
    caller = scene.call(
        "/plain/a?b=%20c",
        body=b"x" * 5_000,
        extra=[
            (b"X-Bambooglade-Tenant", b"another"),
            (b"X-Bambooglade-Kv-Backup", b"1.2.3.4:5"),
            (b"Kv-From", b"1.2.3.4:5/h"),
            (b"X-Custom", b"kept"),
            (b"X-Hop", b"dropped"),
            (b"Connection", b"X-Hop, Host, X-Bambooglade-Attempt-Id"),
        ],
    )
    assert caller.status == 200
    engines = [scene.engine_by_name[name] for name in PORTAL]
    (request,) = [r for e in engines for r in e.requests]
    assert request.target == b"/plain/a?b=%20c"
    assert request.body == b"x" * 5_000
    assert request.get(b"x-bambooglade-tenant") == scene_lib.TEAM.encode()
    assert request.get(b"x-bambooglade-attempt-id") == b"attempt-1"
    assert request.get(b"x-custom") == b"kept"
    assert request.get(b"host") == scene_lib.HOST
    assert 0 < request.integer(b"x-bambooglade-deadline-ms") <= 2_000
    for name in (b"authorization", b"kv-from", b"x-hop", b"connection"):
        assert not request.has(name)
    assert not request.has(b"x-bambooglade-kv-backup")


def test_a_chunked_body_arrives_whole(scene):
    head = (
        b"POST /plain/1 HTTP/1.1\r\nHost: api.example\r\n"
        b"X-Bambooglade-Attempt-Id: c1\r\nAuthorization: Token "
        + scene_lib.KEY
        + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    caller = scene.connect()
    caller.send(head + b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
    scene.run_until(lambda: caller.is_over)
    assert caller.status == 200
    assert caller.body.endswith(b":7")


def test_several_requests_on_one_connection(scene):
    caller = scene.connect()
    for number in range(3):
        caller.send(
            b"GET /status/%d HTTP/1.1\r\nHost: api.example\r\n" % number
            + b"X-Bambooglade-Attempt-Id: k%d\r\n" % number
            + b"Authorization: Token "
            + scene_lib.KEY
            + b"\r\n\r\n"
        )
        scene.run_until(lambda: caller.is_over)
        assert caller.status == 200
    assert not caller.is_closed


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /status/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"GET /status/1 HTTP/1.1\r\n\r\n", 400),
        (b"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET /status/1 HTTP/1.1\nHost: a\n\n", 400),
        (b"GET /" + b"x" * 5_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n", 431),
        (_POST + b"Content-Length: 100001\r\n\r\n", 413),
        (
            _POST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            400,
        ),
        (_POST + b"Content-Length: 9\r\n\r\n", 408),
    ],
)
def test_a_request_that_is_not_acceptable(scene, data, status):
    caller = scene.connect()
    caller.send(data)
    scene.run_until(lambda: caller.is_over)
    assert caller.status == status
    assert runs(scene, PORTAL) == 0


def test_events_arrive_one_by_one(scene):
    calls: list[engine_lib.Call] = []
    script(scene, JURY, calls.append)
    caller = scene.begin("/stream/1", prompt="100,50")
    scene.run_until(lambda: calls)
    (call,) = calls
    call.start_stream()
    for number in (1, 2):
        call.event(number)
        scene.run_until(lambda n=number: engine_lib.event(n) in caller.body)
    assert not caller.is_over
    call.end_stream()
    scene.run_until(lambda: caller.is_over)
    assert caller.is_whole


def break_after_part_of_an_event(call: engine_lib.Call) -> None:
    call.start_stream()
    call.event(1)
    call.event(2)
    call.send(messages.encode_chunk(engine_lib.event(3)[:7]))
    call.close()


def test_a_broken_stream_looks_broken(scene):
    script(scene, JURY, break_after_part_of_an_event)
    caller = scene.call("/stream/1", prompt="100,50")
    assert not caller.is_whole
    assert caller.body == engine_lib.event(1) + engine_lib.event(2)
    assert runs(scene, JURY) == 1


def test_a_resumable_stream_goes_on_elsewhere(scene):
    script(scene, JURY, break_after_part_of_an_event)
    caller = scene.begin("/resume/1", prompt="100,50")
    scene.run_until(lambda: runs(scene, JURY) == 1)
    for name in JURY:
        scene.engine_by_name[name].script.clear()
    scene.run_until(lambda: caller.is_over)
    assert caller.is_whole
    assert caller.body == b"".join(map(engine_lib.event, range(1, 5)))
    assert runs(scene, JURY) == 2


def test_a_caller_that_leaves_ends_the_work(scene):
    calls: list[engine_lib.Call] = []
    script(scene, JURY, calls.append)
    caller = scene.begin("/stream/1", prompt="100,50")
    scene.run_until(lambda: calls)
    calls[0].start_stream()
    calls[0].event(1)
    scene.run_until(lambda: caller.body)
    caller.close()
    scene.run_until(lambda: not calls[0].is_open)
    account = scene.gateways[0].rights.account(scene_lib.TEAM)
    scene.run_until(lambda: account.reserved_tokens == 0)
    assert account.spent_tokens == 102
