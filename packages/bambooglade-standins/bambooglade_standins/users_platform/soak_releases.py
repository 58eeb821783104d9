"""Soak of releases in which all gateway processes are killed at once.

In each round, streams are under way while targets of the next software version
start and those of the former one leave. All gateways are killed at a random
moment and started again; callers then take their streams up. A stream may go on
only at the version that began it, and most must go on while targets of their
version serve.
"""

from __future__ import annotations

import collections
import random

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import settings as settings_lib
from bambooglade.http1 import messages
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import gateway_process
from bambooglade_standins.users_platform import invariants as invariants_lib
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import platform_harness as harness_lib
from bambooglade_standins.users_platform import store_server

GATEWAYS = 4
STREAMS = 6
"""Streams that begin before a release, and as many in it."""

ENGINES = 2
EVENTS_BEFORE_KILL = 2
ARCHIVED_MS = 400
"""Age from which a stream has to outlive a kill of all gateways."""

START_BOUND_MS = 10_000
MIN_RESUMED_SHARE = 0.5
"""Smallest share of old streams that go on, of those that can."""

MIN_CHECKED_STREAMS = 12


class _Stream:
    """A stream that a kill of its gateway breaks off."""

    __slots__ = ("begun_at_ms", "caller", "stream_id", "version")

    def __init__(self, stream_id: str, caller: harness_lib.Caller) -> None:
        self.stream_id = stream_id
        self.caller = caller
        self.begun_at_ms = 0
        self.version = ""


class ReleaseSoak:
    """Runs releases with one seed.

    Args:
        seed: Seed of the moments and choices.
        fault: Name of a deliberate fault of the gateways; empty for none.
    """

    def __init__(self, seed: int, *, fault: str = "") -> None:
        self._random = random.Random(seed)
        self._loop = loop_lib.EventLoop(clock_lib.Clock())
        self._store = memory_store.MemoryStore(self._loop)
        self._server = store_server.StoreServer(self._loop, self._store)
        self._gateways = [
            gateway_process.GatewayProcess(
                f"edge-{n}",
                str(n % 2),
                self._server.address,
                fault=fault,
                is_cuttable=True,
            )
            for n in range(GATEWAYS)
        ]
        self._engines_by_version: dict[str, list[engine_lib.Engine]] = {}
        self._stream_by_id: dict[str, _Stream] = {}
        self._ids = iter(range(10**9))
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._violations: list[str] = []

    def run(self, rounds: int) -> collections.Counter:
        """Runs some releases; returns counts of what became of the streams.

        Raises:
            invariants.InvariantViolationError: A stream went on at another
                version, or too few went on.
        """
        try:
            self._store.put_now("op/config", harness_lib.configuration())
            self._add_engines("v0")
            self._start_gateways(is_first_start=True)
            for number in range(rounds):
                self._release(f"v{number}", f"v{number + 1}")
                self._check()
        finally:
            for gateway in self._gateways:
                gateway.kill()
            self._server.close()
            for engines in self._engines_by_version.values():
                for engine in engines:
                    engine.close()
            self._loop.close()
        return self._outcomes

    def _add_engines(self, version: str) -> None:
        self._engines_by_version[version] = [
            engine_lib.Engine(
                self._loop, f"{version}-{number}", default=self._stream_events
            )
            for number in range(ENGINES)
        ]
        for engine in self._engines_by_version[version]:
            self._store.put_now(
                f"servers/{engine.name}",
                harness_lib.engine_registration(
                    engine.address, "jury", version=version
                ),
            )

    def _remove_engines(self, version: str) -> None:
        for engine in self._engines_by_version.pop(version, []):
            self._store.put_now(f"servers/{engine.name}", None)
            engine.close()

    def _start_gateways(self, *, is_first_start: bool = False) -> None:
        seeds = [
            settings_lib.format_address(gateway.addresses[2])
            for gateway in self._gateways[:3]
        ]
        for gateway in self._gateways:
            gateway.write_settings(seeds, is_first_start=is_first_start)
            gateway.start(now_ms=self._loop.now_ms())
        due_ms = self._loop.now_ms() + START_BOUND_MS
        waiting = list(self._gateways)
        while waiting:
            if self._loop.now_ms() > due_ms:
                raise invariants_lib.InvariantViolationError(
                    waiting[0].log_text()
                )
            attempts = [
                (self._send(gateway)[1], gateway) for gateway in waiting
            ]
            self._run_for(300)
            waiting = [g for caller, g in attempts if caller.status != 200]
            for caller, _ in attempts:
                caller.close()
        if is_first_start:
            self._run_for(2_000)

    def _release(self, old: str, new: str) -> None:
        """Replaces a version while all gateways are killed."""
        streams = self._begin_streams()
        self._add_engines(new)
        self._run_for(self._random.randrange(600))
        streams += self._begin_streams()
        is_old_gone = self._random.random() < 0.6
        if is_old_gone:
            self._remove_engines(old)
        self._run_for(self._random.randrange(2 * ARCHIVED_MS))
        killed_at_ms = self._loop.now_ms()
        for gateway in self._gateways:
            gateway.kill()
        self._run_for(100)
        self._start_gateways()
        for stream in streams:
            self._resume(stream, killed_at_ms)
        self._remove_engines(old)
        self._run_for(300)

    def _begin_streams(self) -> list[_Stream]:
        """Begins streams that stay under way; returns those that began."""
        streams = []
        for _ in range(STREAMS):
            stream_id, caller = self._send(
                self._random.choice(self._gateways), is_held=True
            )
            stream = _Stream(stream_id, caller)
            self._stream_by_id[stream_id] = stream
            streams.append(stream)
        self._run_for(200)
        return [s for s in streams if s.version]

    def _send(
        self,
        gateway: gateway_process.GatewayProcess,
        *,
        extra: messages.HeaderFields = (),
        is_held: bool = False,
    ) -> tuple[str, harness_lib.Caller]:
        attempt = f"{'h' if is_held else 'r'}{next(self._ids)}"
        fields = [
            (b"Host", harness_lib.HOST),
            (engine_lib.ATTEMPT_ID, attempt.encode()),
            (b"X-Bambooglade-Deadline-Ms", b"9000"),
            (b"Authorization", b"Token " + harness_lib.KEY),
            (b"X-Bambooglade-Token-Usage", b"10,10"),
            *extra,
        ]
        caller = harness_lib.Caller(self._loop, gateway.addresses[0])
        caller.send(
            messages.encode_request(
                method=b"POST", target=b"/resume/x", fields=fields, body=b"b"
            )
        )
        return attempt, caller

    def _stream_events(self, call: engine_lib.Call) -> None:
        """Holds a stream after two events; completes one that goes on."""
        version = call.engine.name.partition("-")[0]
        attempt = call.request.get(engine_lib.ATTEMPT_ID.lower()).decode()
        resumed_id = call.request.get(b"resumes").decode()
        if resumed_id:
            began_at = self._stream_by_id[resumed_id].version
            if began_at != version:
                self._violations.append(
                    f"{resumed_id} began at {began_at} and goes on at {version}"
                )
        call.start_stream()
        for number in range(1, EVENTS_BEFORE_KILL + 1):
            call.event(number)
        stream = self._stream_by_id.get(attempt)
        if stream is None:
            call.end_stream()
        elif not stream.version:
            stream.version = version
            stream.begun_at_ms = self._loop.now_ms()

    def _resume(self, stream: _Stream, killed_at_ms: int) -> None:
        """Takes a stream up at a random gateway, and waits for the end."""
        stream.caller.close()
        _, caller = self._send(
            self._random.choice(self._gateways),
            extra=[
                (b"Last-Event-Id", b"%d" % EVENTS_BEFORE_KILL),
                (b"Resumes", stream.stream_id.encode()),
            ],
        )
        due_ms = self._loop.now_ms() + 3_000
        while not caller.is_finished and self._loop.now_ms() < due_ms:
            self._run_for(10)
        is_possible = stream.version in self._engines_by_version
        is_old = killed_at_ms - stream.begun_at_ms >= ARCHIVED_MS
        kind = "possible" if is_possible and is_old else "other"
        self._outcomes[f"{kind} {caller.status}"] += 1
        caller.close()

    def _check(self) -> None:
        if self._violations:
            raise invariants_lib.InvariantViolationError(
                "; ".join(self._violations)
            )
        possible = sum(
            count
            for outcome, count in self._outcomes.items()
            if outcome.startswith("possible")
        )
        resumed = self._outcomes["possible 200"]
        if (
            possible >= MIN_CHECKED_STREAMS
            and resumed < MIN_RESUMED_SHARE * possible
        ):
            raise invariants_lib.InvariantViolationError(
                f"{resumed} of {possible} streams went on that could have"
            )

    def _run_for(self, duration_ms: int) -> None:
        due_ms = self._loop.now_ms() + duration_ms
        while self._loop.now_ms() < due_ms:
            self._loop.run_once(max_wait_ms=20)

    def __repr__(self) -> str:
        return f"ReleaseSoak(outcomes={dict(self._outcomes)})"
