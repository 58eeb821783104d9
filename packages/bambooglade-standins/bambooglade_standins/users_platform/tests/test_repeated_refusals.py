"""Tests of engines that write an earlier response once more, later."""

from __future__ import annotations

import pytest

from bambooglade.http1 import messages
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import platform_harness as harness_lib

EVENTS = 3
DELAYS_MS = (0, 5)
KINDS = {
    "unsafe": ("/plain/1", "portal", None),
    "safe": ("/status/1", "portal", None),
    "stream": ("/stream/1", "jury", "100,50"),
    "resumable": ("/resume/1", "jury", "100,50"),
}


@pytest.fixture
def harness():
    built = harness_lib.PlatformHarness()
    built.configure(harness_lib.configuration())
    yield built
    built.close()


def refusal(attempt_id: bytes | None) -> bytes:
    """Returns a response that says that a request was not executed."""
    fields = [(b"X-Bambooglade-Not-Executed", b"1")]
    if attempt_id is not None:
        fields.append((engine_lib.ATTEMPT_ID, attempt_id))
    return messages.encode_response(status=503, fields=fields)


class RepeatingEngine:
    """Refuses a request, and writes that again before the next response.

    Attributes:
        engine: The engine.
        executed_ids: Ids of the requests that it ran, in order.
    """

    def __init__(
        self, harness, name: str, service: str, *, copy_has_id=True
    ) -> None:
        self._loop = harness.loop
        self._copy_has_id = copy_has_id
        self._copy_by_connection: dict[object, bytes] = {}
        self.delay_ms = 0
        self.executed_ids: list[bytes] = []
        self._run = (
            engine_lib.stream_events(EVENTS)
            if service == "jury"
            else engine_lib.respond_with_name
        )
        self.engine = harness.add_engine(name, service, default=self._execute)

    def refuse_next(self, *, has_id: bool) -> None:
        """Refuses the next request, and repeats that on its connection."""

        def refuse(call: engine_lib.Call) -> None:
            attempt_id = call.request.get(engine_lib.ATTEMPT_ID.lower())
            self._copy_by_connection[call.connection] = refusal(
                attempt_id if self._copy_has_id else None
            )
            call.send(refusal(attempt_id if has_id else None))

        self.engine.script.append(refuse)

    def _execute(self, call: engine_lib.Call) -> None:
        self.executed_ids.append(
            call.request.get(engine_lib.ATTEMPT_ID.lower())
        )
        copy = self._copy_by_connection.pop(call.connection, None)
        if copy is None:
            self._run(call)
            return
        self._loop.call_later(self.delay_ms, call.send, copy)
        self._loop.call_later(self.delay_ms + 20, self._run, call)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    ("has_id", "copy_has_id"), [(True, True), (True, False), (False, False)]
)
@pytest.mark.parametrize("delay_ms", DELAYS_MS)
def test_refusal_of_an_earlier_request_says_nothing_of_the_next_one(
    harness, kind, has_id, copy_has_id, delay_ms
):
    path, service, prompt = KINDS[kind]
    engines = [
        RepeatingEngine(harness, name, service, copy_has_id=copy_has_id)
        for name in ("e1", "e2")
    ]
    harness.start_gateway()
    for _ in range(3):
        for engine in engines:
            engine.delay_ms = delay_ms
            engine.refuse_next(has_id=has_id)
        refused = harness.call(path, prompt=prompt)
        is_proved = has_id or kind in ("unsafe", "stream")
        assert refused.status == 503 if is_proved else refused.status >= 500
        for _ in range(2):
            caller = harness.call(path, prompt=prompt)
            assert caller.status == 200
            assert caller.is_complete
    executed = [i for engine in engines for i in engine.executed_ids]
    assert len(executed) == len(set(executed)) == 6


@pytest.mark.parametrize("kind", ["unsafe", "stream"])
def test_engine_that_omits_ids_is_told_apart_by_a_connection_for_each_request(
    harness, kind
):
    path, service, prompt = KINDS[kind]
    engine = harness.add_engine("e1", service)
    harness.start_gateway()
    statuses = []
    for _ in range(4):
        engine.script.append(lambda call: call.send(refusal(None)))
        statuses.append(harness.call(path, prompt=prompt).status)
    assert statuses == [503] * 4
    assert engine.connection_count == 4


def test_connections_of_engines_that_state_ids_stay_in_use(harness):
    engine = harness.add_engine("e1", "portal")
    harness.start_gateway()
    for _ in range(10):
        assert harness.call("/plain/1").status == 200
    assert engine.connection_count == 1


def test_request_is_not_repeated_on_the_connection_of_its_first_run(harness):
    """A copy of a response bears the id of both requests."""
    engine = RepeatingEngine(harness, "e1", "portal")
    harness.start_gateway()
    same_id = [(b"X-Bambooglade-Attempt-Id", b"same")]
    for _ in range(2):
        engine.refuse_next(has_id=True)
        assert call_with_id(harness, same_id).status == 503
        assert call_with_id(harness, same_id).status == 200


def call_with_id(harness, fields):
    request = messages.encode_request(
        method=b"POST",
        target=b"/plain/1",
        fields=[
            (b"Host", harness_lib.HOST),
            (b"Authorization", b"Token " + harness_lib.KEY),
            (b"X-Bambooglade-Deadline-Ms", b"2000"),
            *fields,
        ],
        body=b"body",
    )
    caller = harness.connect().send(request)
    harness.run_until(lambda: caller.is_finished)
    return caller


@pytest.mark.parametrize(
    "fields",
    [
        [(b"Server-Limit", b"1")],
        [(b"Retry-After", b"30")],
        [(b"Server-Leaving", b"1")],
        [(b"Server-Brittle", b"1")],
    ],
)
def test_response_that_belongs_to_no_request_changes_nothing(harness, fields):
    engine = harness.add_engine("e1", "portal")
    harness.start_gateway()
    stray = messages.encode_response(
        status=503, fields=[(b"X-Bambooglade-Not-Executed", b"1"), *fields]
    )

    def respond_after_stray(call: engine_lib.Call) -> None:
        call.send(stray)
        engine_lib.respond_with_name(call)

    assert harness.call("/plain/1").status == 200
    engine.script.append(respond_after_stray)
    for _ in range(4):
        assert harness.call("/plain/1").status == 200
    assert len(engine.requests) == 5
