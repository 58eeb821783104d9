"""Soak in which sound engines fall silent while the configuration changes.

Gateways, engines and callers are processes of their own. Engines are stopped
and continued by signals, alone or with most of their service, soon after the
operator has changed the idle time-out, time-outs of routes, or the services of
a route. What callers got and engines received is judged after the run.

The soak ends only processes that it started, by process id.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
from collections.abc import Sequence
import math
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile

import msgspec

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import settings as settings_lib
from bambooglade_standins.users_platform import caller_process
from bambooglade_standins.users_platform import engine_process
from bambooglade_standins.users_platform import gateway_process
from bambooglade_standins.users_platform import invariants as invariants_lib
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import pause_judge
from bambooglade_standins.users_platform import pause_records
from bambooglade_standins.users_platform import platform_harness as harness_lib
from bambooglade_standins.users_platform import store_server

ENGINE_SERVICES = ("jury", "panel")
"""Services of model engines, between which routes move."""

PLAIN_SERVICE = "portal"
VERSION = "v1"
IDLE_TIMEOUTS_MS = (2_500, 4_000, 6_000, 10_000, 15_000)
PAUSE_DELAY_MS = 600
"""Time from a change of the configuration until engines are stopped."""

PAUSES_MS = (1_000, 1_300)
"""Shortest and longest pause."""

CHANGE_PERIOD_MS = 6_000
OVERLAP_DELAY_MS = 700
"""Time after a change until another one, which falls into the pause."""

OVERLAP_SHARE = 0.4
FIRST_CHANGE_MS = 4_000
PAUSED_SHARES = (0.6, 1.0)
CHANGES = ("idle", "timeout", "route")
START_BOUND_MS = 20_000
DISCOVERY_MS = 4_000
"""Time that gateways have to find each other before callers begin."""

END_BOUND_MS = 25_000
"""Time that callers have to end their last requests."""

RATE_PER_CALLER_PROCESS = 90
"""Most requests per second of one process of callers."""

MAX_ATTEMPTS_BY_KIND = {
    "critique": 1,
    "feedback": 2,
    "tag": 1,
    "submit": 1,
    "check": 2,
}
"""Numbers of engines at which a request of each kind may run."""

REPEATABLE_KINDS = ("feedback", "check")
TIMEOUT_MS_BY_KIND = {
    "critique": 15_000,
    "feedback": 12_000,
    "tag": 3_000,
    "submit": 1_200,
    "check": 1_200,
}
TIMEOUT_FACTORS = (0.7, 1.0, 1.4)
MOVED_KINDS = ("critique", "feedback", "feedback", "tag")
"""Kinds whose routes move to other services, the resumable one more often."""

ROUTE_CHOICES = (("jury",), ("panel",), ("jury", "panel"))

KINDS = [
    caller_process.Kind(
        name="critique",
        weight=13.1,
        events=(30, 64),
        pace_ms=(20, 50),
        deadline_ms=15_000,
        max_gap_ms=4_000,
    ),
    caller_process.Kind(
        name="feedback",
        weight=21.1,
        events=(20, 64),
        pace_ms=(20, 50),
        deadline_ms=12_000,
        max_gap_ms=3_200,
        is_repeatable=True,
    ),
    caller_process.Kind(
        name="tag",
        weight=19.4,
        events=(4, 8),
        pace_ms=(20, 50),
        deadline_ms=3_000,
        max_gap_ms=3_200,
    ),
    caller_process.Kind(
        name="submit", weight=13.4, pace_ms=(20, 60), deadline_ms=2_500
    ),
    caller_process.Kind(
        name="check",
        weight=8.0,
        method="GET",
        pace_ms=(20, 60),
        deadline_ms=2_500,
        is_repeatable=True,
    ),
]
"""Kinds of requests, with the mix of the deployments."""


class FleetSize(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of processes, and the load.

    Attributes:
        gateways: Number of gateways.
        engines_by_service: Number of engines of each service.
        rate_per_s: Requests per second.
        slack: Slack of the retry budget.
        slots: Slots of a model engine.
        queue: Requests that may wait at a model engine.
        backlog: Size of the accept queue of an engine.
        max_connections: Most connections of a model engine.
        idle_timeout_s: Time after which engines close idle connections.
        zones: Number of availability zones.
        dropped_share: Share of streams that may be resumed whose connection to
            the caller breaks once.
    """

    gateways: int
    engines_by_service: dict[str, int]
    rate_per_s: float
    slack: float
    slots: int = 64
    queue: int = 192
    backlog: int = 128
    max_connections: int = 360
    idle_timeout_s: int = 8
    zones: int = 4
    dropped_share: float = 0.1


SIZES = {
    "small": FleetSize(
        gateways=3,
        engines_by_service={"jury": 3, "panel": 2, "portal": 2},
        rate_per_s=40,
        slack=12,
        slots=24,
        queue=8,
        backlog=8,
    ),
    "one-zone": FleetSize(
        gateways=5,
        engines_by_service={"jury": 2, "panel": 2, "portal": 1},
        rate_per_s=80,
        slack=12,
        zones=1,
        dropped_share=0.5,
    ),
    "quetzal": FleetSize(
        gateways=6,
        engines_by_service={"jury": 5, "panel": 3, "portal": 4},
        rate_per_s=75,
        slack=52,
    ),
    "quetzal-heavy": FleetSize(
        gateways=6,
        engines_by_service={"jury": 5, "panel": 3, "portal": 4},
        rate_per_s=140,
        slack=52,
        slots=24,
        queue=12,
        backlog=16,
    ),
    "thistle-meals": FleetSize(
        gateways=9,
        engines_by_service={"jury": 5, "panel": 3, "portal": 4},
        rate_per_s=82,
        slack=58,
    ),
    "grown": FleetSize(
        gateways=40,
        engines_by_service={"jury": 20, "panel": 10, "portal": 12},
        rate_per_s=250,
        slack=200,
    ),
}
"""Sizes of the deployments, and smaller ones."""

RETRY_RATIO = 0.2
BUDGET_WINDOW_S = 10


class PauseSoak:
    """Runs gateways, engines and callers with one seed.

    Args:
        seed: Seed of the requests, the changes and the pauses.
        size: Name of the fleet size.
        fault: Name of a deliberate fault of the gateways; empty for none.
        changes: What the versions of the configuration change.

    Attributes:
        judge: Judge of the run; None before its end.
    """

    def __init__(
        self,
        seed: int,
        *,
        size: str = "quetzal",
        fault: str = "",
        changes: Sequence[str] = CHANGES,
    ) -> None:
        self._seed = seed
        self._kinds_of_changes = changes
        self._size = SIZES[size]
        self._random = random.Random(seed)
        self._directory = tempfile.TemporaryDirectory()
        self._path = pathlib.Path(self._directory.name)
        self._loop = loop_lib.EventLoop(clock_lib.Clock())
        self._store = memory_store.MemoryStore(self._loop)
        self._server = store_server.StoreServer(self._loop, self._store)
        self._gateways = [
            gateway_process.GatewayProcess(
                f"edge-{number}",
                str(number % self._size.zones),
                self._server.address,
                fault=fault,
                is_cuttable=bool(fault),
            )
            for number in range(self._size.gateways)
        ]
        self._engines = list(self._new_engines())
        self._callers: list[subprocess.Popen] = []
        self._changes: list[pause_records.Change] = []
        self._pauses: list[pause_records.Pause] = []
        self._max_step_ms = 0
        self.judge: pause_judge.Judge | None = None

    def _new_engines(self) -> Iterator[engine_process.EngineProcess]:
        for service, count in self._size.engines_by_service.items():
            is_plain = service == PLAIN_SERVICE
            for number in range(count):
                host, port = harness_lib.free_address()
                yield engine_process.EngineProcess(
                    engine_process.EngineSettings(
                        name=f"{service}-{number}",
                        service=service,
                        version=VERSION,
                        host=host,
                        port=port,
                        slots=6 if is_plain else self._size.slots,
                        queue=24 if is_plain else self._size.queue,
                        backlog=self._size.backlog,
                        max_connections=(
                            96 if is_plain else self._size.max_connections
                        ),
                        idle_timeout_s=self._size.idle_timeout_s,
                        record_path=str(self._path / f"{service}-{number}"),
                    )
                )

    def run(self, duration_ms: int) -> collections.Counter:
        """Runs the fleet; returns counts of how requests ended.

        Raises:
            invariants.InvariantViolationError: A rule was broken.
        """
        try:
            self._plan(duration_ms)
            self._start()
            begins_at_ms = engine_process.monotonic_ms() + DISCOVERY_MS
            self._schedule(begins_at_ms)
            self._start_callers(begins_at_ms, duration_ms)
            self._run_until_callers_end(DISCOVERY_MS + duration_ms)
        finally:
            self._close()
        return self._check()

    def _plan(self, duration_ms: int) -> None:
        """Chooses the changes and the pauses, at times from the beginning."""
        state = self._first_state()
        self._changes = [state]
        at_ms = FIRST_CHANGE_MS
        while at_ms + PAUSE_DELAY_MS + PAUSES_MS[1] < duration_ms:
            state = self._changed(state, at_ms)
            self._changes.append(state)
            self._plan_pause(at_ms + PAUSE_DELAY_MS)
            if self._random.random() < OVERLAP_SHARE:
                state = self._changed(state, at_ms + OVERLAP_DELAY_MS)
                self._changes.append(state)
            at_ms += CHANGE_PERIOD_MS

    def _plan_pause(self, at_ms: int) -> None:
        service = self._random.choice(ENGINE_SERVICES)
        share = self._random.choice(PAUSED_SHARES)
        names = [
            engine.settings.name
            for engine in self._engines
            if engine.settings.service == service
        ]
        count = math.ceil(share * len(names))
        self._pauses.append(
            pause_records.Pause(
                began_at_ms=at_ms,
                ended_at_ms=at_ms + self._random.randint(*PAUSES_MS),
                engines=tuple(sorted(self._random.sample(names, count))),
            )
        )

    def _first_state(self) -> pause_records.Change:
        return pause_records.Change(
            at_ms=0,
            how="first",
            idle_timeout_ms=self._random.choice(IDLE_TIMEOUTS_MS),
            route_by_kind={
                kind: pause_records.RouteState(
                    services=(
                        ("jury",)
                        if any(k.name == kind and k.events[1] for k in KINDS)
                        else (PLAIN_SERVICE,)
                    ),
                    timeout_ms=timeout_ms,
                    max_attempts=MAX_ATTEMPTS_BY_KIND[kind],
                    is_repeatable=kind in REPEATABLE_KINDS,
                )
                for kind, timeout_ms in TIMEOUT_MS_BY_KIND.items()
            },
        )

    def _changed(
        self, state: pause_records.Change, at_ms: int
    ) -> pause_records.Change:
        """Returns the next version of the configuration."""
        how = self._random.choice(self._kinds_of_changes)
        idle_timeout_ms = state.idle_timeout_ms
        routes = dict(state.route_by_kind)
        if how == "idle":
            idle_timeout_ms = self._random.choice(
                [t for t in IDLE_TIMEOUTS_MS if t != idle_timeout_ms]
            )
        elif how == "timeout":
            factor = self._random.choice(TIMEOUT_FACTORS)
            for kind, timeout_ms in TIMEOUT_MS_BY_KIND.items():
                routes[kind] = msgspec.structs.replace(
                    routes[kind], timeout_ms=round(factor * timeout_ms)
                )
        else:
            kind = self._random.choice(MOVED_KINDS)
            others = [s for s in ROUTE_CHOICES if s != routes[kind].services]
            routes[kind] = msgspec.structs.replace(
                routes[kind], services=self._random.choice(others)
            )
        return pause_records.Change(
            at_ms=at_ms,
            how=how,
            idle_timeout_ms=idle_timeout_ms,
            route_by_kind=routes,
        )

    def _configure(self, number: int) -> None:
        """Writes a planned version, and records when it was accepted."""
        change = self._changes[number]
        self._store.put_now("op/config", self._encode(change, number))
        self._changes[number] = msgspec.structs.replace(
            change, at_ms=engine_process.monotonic_ms()
        )

    def _encode(self, change: pause_records.Change, number: int) -> bytes:
        routes = [
            {
                "name": kind,
                "hostname": harness_lib.HOST.decode(),
                "pathPrefix": f"/{kind}/",
                "routeType": _route_type(kind),
                "timeoutMs": route.timeout_ms,
                "targetLatencyMs": 400,
                "priority": 1,
                "service": route.services[0],
                "trafficSplit": (
                    [{"service": s, "weight": 0.5} for s in route.services]
                    if len(route.services) > 1
                    else []
                ),
                "maxAttempts": route.max_attempts,
                "public": False,
                "sessionAffinity": _is_stream(kind),
                "streamResumption": _is_stream(kind) and route.is_repeatable,
                "targetGapMs": 400,
            }
            for kind, route in change.route_by_kind.items()
        ]
        services = [
            {
                "name": name,
                "maxConnections": self._size.max_connections,
                "engine": {
                    "slots": self._size.slots,
                    "kvCapacityTokens": 500_000,
                    "stride": 6,
                },
            }
            for name in ENGINE_SERVICES
        ]
        services.append({"name": PLAIN_SERVICE, "maxConnections": 96})
        return msgspec.json.encode(
            {
                "version": 2 + 3 * number,
                "routes": routes,
                "services": services,
                "limits": {
                    "maxHeaderBytes": 4_096,
                    "maxBodyBytes": 100_000,
                    "headerTimeoutMs": 3_000,
                    "idleTimeoutMs": change.idle_timeout_ms,
                },
                "tenants": [
                    {
                        "name": harness_lib.TEAM,
                        "apiKeys": [harness_lib.KEY.decode()],
                        "prepaid": 10**9,
                    }
                ],
            }
        )

    def _start(self) -> None:
        self._configure(0)
        for engine in self._engines:
            engine.start()
            settings = engine.settings
            number = int(settings.name.rpartition("-")[2])
            self._store.put_now(
                f"servers/{settings.name}",
                harness_lib.engine_registration(
                    settings.address,
                    settings.service,
                    version=settings.version,
                    zone=f"zone-{number % self._size.zones}",
                    slots=settings.slots,
                ),
            )
        seeds = [
            settings_lib.format_address(gateway.addresses[2])
            for gateway in self._gateways[:3]
        ]
        for gateway in self._gateways:
            gateway.write_settings(
                seeds,
                is_first_start=True,
                bounds={
                    "graceS": 8,
                    "drainMs": 2_000,
                    "configApplyMs": 2_000,
                    "retryBudgetRatio": RETRY_RATIO,
                    "budgetWindowS": BUDGET_WINDOW_S,
                    "retryBudgetSlack": self._size.slack,
                },
            )
            gateway.start(now_ms=self._loop.now_ms())
        self._await_gateways()

    def _await_gateways(self) -> None:
        """Waits until all gateways serve."""
        due_ms = self._loop.now_ms() + START_BOUND_MS
        for gateway in self._gateways:
            while "event=started" not in gateway.log_text():
                self._run_for(50)
                if self._loop.now_ms() > due_ms:
                    raise invariants_lib.InvariantViolationError(
                        f"{gateway} has not started: {gateway.log_text()}"
                    )

    def _start_callers(self, begins_at_ms: int, duration_ms: int) -> None:
        count = math.ceil(self._size.rate_per_s / RATE_PER_CALLER_PROCESS)
        for number in range(count):
            settings = caller_process.CallerSettings(
                name=f"{'abcdefgh'[number]}",
                seed=1_000 * self._seed + number,
                address_by_gateway={
                    gateway.name: gateway.addresses[0]
                    for gateway in self._gateways
                },
                rate_per_s=self._size.rate_per_s / count,
                kinds=KINDS,
                begins_at_ms=begins_at_ms,
                duration_ms=duration_ms,
                changes=self._changes,
                dropped_share=self._size.dropped_share,
                record_path=str(self._path / f"callers-{number}"),
            )
            self._callers.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "bambooglade_standins.users_platform.caller_process",
                        msgspec.json.encode(settings).decode(),
                    ]
                )
            )

    def _schedule(self, begins_at_ms: int) -> None:
        """Schedules the planned changes and pauses."""
        offset_ms = begins_at_ms
        delay_ms = begins_at_ms - engine_process.monotonic_ms()
        for number, change in enumerate(self._changes[1:], start=1):
            self._loop.call_later(
                delay_ms + change.at_ms, self._configure, number
            )
            self._changes[number] = msgspec.structs.replace(
                change, at_ms=offset_ms + change.at_ms
            )
        for pause in self._pauses:
            for at_ms, signal_number in (
                (pause.began_at_ms, signal.SIGSTOP),
                (pause.ended_at_ms, signal.SIGCONT),
            ):
                self._loop.call_later(
                    delay_ms + at_ms, self._signal, pause, signal_number
                )
        self._pauses = [
            msgspec.structs.replace(
                pause,
                began_at_ms=offset_ms + pause.began_at_ms,
                ended_at_ms=offset_ms + pause.ended_at_ms,
            )
            for pause in self._pauses
        ]

    def _signal(self, pause: pause_records.Pause, signal_number: int) -> None:
        for engine in self._engines:
            if engine.settings.name in pause.engines:
                engine.send_signal(signal_number)

    def _run_until_callers_end(self, duration_ms: int) -> None:
        due_ms = self._loop.now_ms() + duration_ms + END_BOUND_MS
        while any(caller.poll() is None for caller in self._callers):
            self._run_for(50)
            if self._loop.now_ms() > due_ms:
                raise invariants_lib.InvariantViolationError(
                    "callers have not ended their requests in time"
                )

    def _run_for(self, duration_ms: int) -> None:
        due_ms = self._loop.now_ms() + duration_ms
        while self._loop.now_ms() < due_ms:
            self._loop.run_once(max_wait_ms=20)

    def _close(self) -> None:
        for caller in self._callers:
            caller.kill()
            caller.wait()
        for engine in self._engines:
            engine.kill()
        for gateway in self._gateways:
            gateway.kill()
        self._server.close()
        self._loop.close()

    def _check(self) -> collections.Counter:
        caller_records = [
            record
            for path in sorted(self._path.glob("callers-*"))
            for record in pause_records.read(path, pause_records.CallerRecord)
        ]
        self.judge = pause_judge.Judge(
            (
                record
                for engine in self._engines
                for record in pause_records.read(
                    pathlib.Path(engine.settings.record_path),
                    pause_records.EngineRecord,
                )
            ),
            caller_records,
            self._changes,
            pause_judge.Bounds(
                ratio=RETRY_RATIO,
                slack=self._size.slack,
                window_ms=1_000 * BUDGET_WINDOW_S,
            ),
        )
        violations = self.judge.violations()
        if violations:
            error = invariants_lib.InvariantViolationError(
                "; ".join(map(repr, violations[:10]))
            )
            error.add_note(self._describe_plan())
            raise error
        return collections.Counter(
            f"{record.kind} {record.end.value} {record.status}"
            for record in caller_records
        )

    def _describe_plan(self) -> str:
        changes = [
            f"time_ms={change.at_ms} change={change.how}"
            for change in self._changes
        ]
        pauses = [
            f"time_ms={pause.began_at_ms} until_ms={pause.ended_at_ms}"
            f" paused={','.join(pause.engines)}"
            for pause in self._pauses
        ]
        return "\n".join(sorted(changes + pauses))

    def write_logs(self, directory: pathlib.Path) -> None:
        """Writes the gateways' outputs and all records to a directory."""
        directory.mkdir(parents=True, exist_ok=True)
        for gateway in self._gateways:
            path = directory / f"{gateway.name}.log"
            path.write_text(gateway.log_text())
        for path in self._path.iterdir():
            (directory / path.name).write_bytes(path.read_bytes())
        (directory / "changes.json").write_bytes(
            msgspec.json.encode(self._changes)
        )
        (directory / "plan.txt").write_text(
            f"load={os.getloadavg()[0]}\n{self._describe_plan()}\n"
        )

    def __repr__(self) -> str:
        return f"PauseSoak(seed={self._seed})"


def _is_stream(kind: str) -> bool:
    return any(k.name == kind and k.events[1] for k in KINDS)


def _route_type(kind: str) -> str:
    if _is_stream(kind):
        return "streaming"
    return "safe" if kind in REPEATABLE_KINDS else "unsafe"
