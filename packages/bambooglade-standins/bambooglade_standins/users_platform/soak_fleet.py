"""Soak with gateways, engines and callers in processes of their own.

The plan disturbs them: engines pause, crash and come back under new ids, lose
responses, fail, turn slow or full, and leave; gateways are stopped, killed and
frozen; the store is gone; callers press; the configuration changes. What
callers got and engines received is judged after the run.

The soak ends only processes that it started, by process id.

See Also:
    bambooglade_standins.users_platform.fleet_plan: chooses what happens.
    bambooglade_standins.users_platform.fleet_judge: judges the run.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
from collections.abc import Sequence
import functools
import math
import os
import pathlib
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
from bambooglade_standins.users_platform import fleet_judge
from bambooglade_standins.users_platform import fleet_plan
from bambooglade_standins.users_platform import fleet_records
from bambooglade_standins.users_platform import gateway_process
from bambooglade_standins.users_platform import invariants as invariants_lib
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import platform_harness as harness_lib
from bambooglade_standins.users_platform import store_server

START_BOUND_MS = 20_000
DISCOVERY_MS = 4_000
"""Time that gateways have to find each other before callers begin."""

END_BOUND_MS = 25_000
"""Time that callers have to end their last requests."""

RATE_PER_CALLER_PROCESS = 90
"""Most requests per second of one process of callers."""

DRAIN_MS = 2_000
"""Time for which an engine that leaves still serves."""

LAPSE_MS = 3_600
"""Time after which the entry of a crashed engine is removed."""

CRASHED_MS = 2_000
"""Time after which an engine that has crashed by itself is back."""

MAX_MEMORY_MB = 300
"""Memory of a machine, on the users' deployments."""

MEMORY_CHECK_MS = 200
RETRY_RATIO = 0.2
BUDGET_WINDOW_S = 10


class FleetSoak:
    """Runs a fleet with one seed.

    Args:
        seed: Seed of the requests, the changes and the pauses.
        size: Name of the fleet size.
        fault: Name of a deliberate fault of the gateways; empty for none.
        changes: What the versions of the configuration change.
        troubles: Kinds of troubles, see `fleet_plan.Plan`.
        load: Factor of the rate of the requests.
        grace_s: Time that a gateway has to stop.

    Attributes:
        judge: Judge of the run; None before its end.
        peak_memory_mb: Most memory that a gateway has used.
    """

    def __init__(
        self,
        seed: int,
        *,
        size: str = "quetzal",
        fault: str = "",
        changes: Sequence[str] = fleet_plan.CHANGES,
        troubles: Sequence[str] = (fleet_plan.PAUSES_AT_CHANGES,),
        load: float = 1.0,
        grace_s: float = fleet_plan.GRACE_S,
    ) -> None:
        self._seed = seed
        self._kinds_of_changes = changes
        self._kinds_of_troubles = troubles
        self._grace_s = grace_s
        self._size = msgspec.structs.replace(
            fleet_plan.SIZES[size],
            rate_per_s=load * fleet_plan.SIZES[size].rate_per_s,
        )
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
                source_host=self._source_host(number),
            )
            for number in range(self._size.gateways)
        ]
        self._engine_by_name = {
            engine.settings.name: engine for engine in self._new_engines()
        }
        self._life_by_name: collections.Counter[str] = collections.Counter()
        self._evacuation_count_by_zone: collections.Counter[str] = (
            collections.Counter()
        )
        self._cold_until_ms_by_engine: collections.Counter[
            engine_process.EngineProcess
        ] = collections.Counter()
        self._cold_times: list[fleet_records.ColdTime] = []
        self._ended_engines: list[engine_process.EngineProcess] = []
        self._down: set[str] = set()
        self._crashed: set[str] = set()
        self._is_running = False
        self.peak_memory_mb = 0
        self._overdue: list[str] = []
        self._callers: list[subprocess.Popen] = []
        self._changes: list[fleet_records.Change] = []
        self._troubles: list[fleet_records.Trouble] = []
        self.judge: fleet_judge.Judge | None = None

    def _source_host(self, number: int) -> str:
        """Returns the address from which a gateway connects to engines."""
        high, low = divmod(os.getpid(), 256)
        return f"127.{1 + high % 254}.{low}.{10 + number}"

    def _new_engines(self) -> Iterator[engine_process.EngineProcess]:
        for service, count in self._size.engines_by_service.items():
            is_plain = service == fleet_plan.PLAIN_SERVICE
            for number in range(count):
                host, port = harness_lib.free_address()
                yield engine_process.EngineProcess(
                    engine_process.EngineSettings(
                        name=f"{service}-{number}",
                        service=service,
                        version=fleet_plan.VERSION,
                        zone=fleet_plan.zone_name(number % self._size.zones),
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
            plan = fleet_plan.Plan(
                self._seed,
                self._size,
                kinds_of_changes=self._kinds_of_changes,
                troubles=self._kinds_of_troubles,
                duration_ms=duration_ms,
                grace_s=self._grace_s,
            )
            self._changes, self._troubles = plan.changes, plan.troubles
            self._start()
            begins_at_ms = engine_process.monotonic_ms() + DISCOVERY_MS
            self._schedule(begins_at_ms)
            self._is_running = True
            self._watch_memory()
            if self._has_fatal_requests:
                self._watch_crashes()
            self._start_callers(begins_at_ms, duration_ms)
            self._run_until_callers_end(DISCOVERY_MS + duration_ms)
            self._check_processes()
        finally:
            self._close()
        return self._check()

    def _configure(self, number: int) -> None:
        """Writes a planned version, and records when it was accepted."""
        change = self._changes[number]
        self._store.put_now(
            "op/config",
            fleet_plan.encode_configuration(
                change, version=2 + 3 * number, size=self._size
            ),
        )
        self._changes[number] = msgspec.structs.replace(
            change, at_ms=engine_process.monotonic_ms()
        )

    def _start(self) -> None:
        self._configure(0)
        for engine in self._engine_by_name.values():
            self._start_engine(engine)
        for gateway in self._gateways:
            self._write_settings(gateway, is_first_start=True)
            gateway.start(now_ms=self._loop.now_ms())
        self._await_gateways()
        for gateway in self._gateways:
            self._write_settings(gateway, is_first_start=False)

    def _write_settings(
        self, gateway: gateway_process.GatewayProcess, *, is_first_start: bool
    ) -> None:
        gateway.write_settings(
            [
                settings_lib.format_address(gateway.addresses[2])
                for gateway in self._gateways[:3]
            ],
            is_first_start=is_first_start,
            bounds={
                "graceS": self._grace_s,
                "drainMs": DRAIN_MS,
                "configApplyMs": 2_000,
                "retryBudgetRatio": RETRY_RATIO,
                "budgetWindowS": BUDGET_WINDOW_S,
                "retryBudgetSlack": self._size.slack,
            },
        )

    def _start_engine(self, engine: engine_process.EngineProcess) -> None:
        engine.start()
        self._register(engine, state="ready")

    def _register_cold(
        self,
        engine: engine_process.EngineProcess,
        duration_ms: int,
        *,
        is_start: bool,
    ) -> None:
        """Registers that an engine is cold, and later that it is warm."""
        now_ms = engine_process.monotonic_ms()
        if not is_start:
            # The newest registration counts, so it must not shorten another.
            duration_ms = max(
                duration_ms, self._cold_until_ms_by_engine[engine] - now_ms
            )
        self._register(engine, state="ready", cold_remaining_ms=duration_ms)
        self._cold_until_ms_by_engine[engine] = now_ms + duration_ms
        self._cold_times.append(
            fleet_records.ColdTime(
                engine=engine.settings.name,
                began_at_ms=now_ms,
                ended_at_ms=now_ms + duration_ms,
                is_start=is_start,
            )
        )
        self._loop.call_later(duration_ms, self._register_warm, engine)

    def _register_warm(self, engine: engine_process.EngineProcess) -> None:
        """Registers an engine as warm if it still runs, and is not cold."""
        is_cold = (
            engine_process.monotonic_ms()
            < self._cold_until_ms_by_engine[engine]
        )
        is_current = engine in self._engine_by_name.values()
        if is_current and engine.is_running and not is_cold:
            self._register(engine, state="ready")

    def _register(
        self,
        engine: engine_process.EngineProcess,
        *,
        state: str,
        cold_remaining_ms: int = 0,
    ) -> None:
        settings = engine.settings
        base_name = settings.name.partition("~")[0]
        self._store.put_now(
            f"servers/{settings.name}",
            harness_lib.engine_registration(
                settings.address,
                settings.service,
                state=state,
                version=settings.version,
                zone=settings.zone,
                slots=settings.slots,
                started_at_ms=1 + self._life_by_name[base_name],
                cold_remaining_ms=cold_remaining_ms,
            ),
        )

    def _replace_engine(self, name: str, *, keeps_id: bool = False) -> None:
        """Starts an engine under a new id, at times at another address."""
        before = self._engine_by_name[name]
        self._ended_engines.append(before)
        self._life_by_name[name] += 1
        life = self._life_by_name[name]
        new_name = before.settings.name if keeps_id else f"{name}~{life}"
        is_moved = life % 2 or before.is_running
        host, port = (
            harness_lib.free_address() if is_moved else before.settings.address
        )
        engine = engine_process.EngineProcess(
            msgspec.structs.replace(
                before.settings,
                name=new_name,
                host=host,
                port=port,
                record_path=str(self._path / new_name),
            )
        )
        self._engine_by_name[name] = engine
        cold_start_ms = 1_000 * self._changes[0].cold_start_s
        if cold_start_ms:
            engine.start()
            self._register_cold(engine, cold_start_ms, is_start=True)
        else:
            self._start_engine(engine)

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
                kinds=fleet_plan.KINDS,
                begins_at_ms=begins_at_ms,
                duration_ms=duration_ms,
                readiness_by_gateway={
                    gateway.name: gateway.addresses[1]
                    for gateway in self._gateways
                },
                changes=self._changes,
                presses=[
                    trouble
                    for trouble in self._troubles
                    if isinstance(trouble, fleet_records.CallersPress)
                ],
                fatal=[
                    trouble
                    for trouble in self._troubles
                    if isinstance(trouble, fleet_records.CallersSendFatal)
                ],
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
        delay_ms = begins_at_ms - engine_process.monotonic_ms()
        for number, change in enumerate(self._changes[1:], start=1):
            self._loop.call_later(
                delay_ms + change.at_ms, self._configure, number
            )
            self._changes[number] = msgspec.structs.replace(
                change, at_ms=begins_at_ms + change.at_ms
            )
        for number, trouble in enumerate(self._troubles):
            self._loop.call_later(
                delay_ms + trouble.began_at_ms, self._begin_trouble, number
            )
            self._loop.call_later(
                delay_ms + trouble.ended_at_ms, self._end_trouble, number
            )
            self._troubles[number] = msgspec.structs.replace(
                trouble,
                began_at_ms=begins_at_ms + trouble.began_at_ms,
                ended_at_ms=begins_at_ms + trouble.ended_at_ms,
            )

    def _begin_trouble(self, number: int) -> None:
        planned = self._troubles[number]
        names = planned.names
        if isinstance(planned, fleet_records.GatewaysStopped):
            # A process is told to stop once.
            names = tuple(
                gateway.name
                for gateway in self._gateways_of(planned)
                if gateway.is_running and not gateway.is_stopping
            )
        trouble = msgspec.structs.replace(
            planned, began_at_ms=engine_process.monotonic_ms(), names=names
        )
        self._troubles[number] = trouble
        self._begin(trouble)

    def _end_trouble(self, number: int) -> None:
        self._end(self._troubles[number])
        self._troubles[number] = msgspec.structs.replace(
            self._troubles[number], ended_at_ms=engine_process.monotonic_ms()
        )

    @functools.singledispatchmethod
    def _begin(self, trouble: fleet_records.Trouble) -> None:
        """Begins a trouble; what callers do is a part of their settings."""

    @functools.singledispatchmethod
    def _end(self, trouble: fleet_records.Trouble) -> None:
        """Ends a trouble."""

    def _signal_engines(
        self, trouble: fleet_records.Trouble, signal_number: int
    ) -> None:
        for name in trouble.names:
            self._engine_by_name[name].send_signal(signal_number)

    @_begin.register
    def _(self, trouble: fleet_records.EnginesPaused) -> None:
        self._signal_engines(trouble, signal.SIGSTOP)

    @_end.register
    def _(self, trouble: fleet_records.EnginesPaused) -> None:
        self._signal_engines(trouble, signal.SIGCONT)

    @_begin.register
    def _(self, trouble: fleet_records.EnginesKilled) -> None:
        for name in trouble.names:
            engine = self._engine_by_name[name]
            engine.kill()
            self._loop.call_later(LAPSE_MS, self._remove_entry, engine)

    def _remove_entry(self, engine: engine_process.EngineProcess) -> None:
        """Removes the entry of an engine, unless another has its id now."""
        name = engine.settings.name
        is_taken = any(
            other.settings.name == name and other.is_running
            for other in self._engine_by_name.values()
        )
        if not is_taken:
            self._store.put_now(f"servers/{name}", None)

    @_end.register
    def _(self, trouble: fleet_records.ServicesEnded) -> None:
        for name in trouble.names:
            if not self._engine_by_name[name].is_running:
                self._replace_engine(name, keeps_id=trouble.keeps_ids)

    @_end.register
    def _(self, trouble: fleet_records.EnginesKilled) -> None:
        for name in trouble.names:
            if not self._engine_by_name[name].is_running:
                self._replace_engine(name)

    @_begin.register
    def _(self, trouble: fleet_records.EnginesMisbehave) -> None:
        for name in trouble.names:
            self._engine_by_name[name].behave(trouble.behaviour)

    @_end.register
    def _(self, trouble: fleet_records.EnginesMisbehave) -> None:
        for name in trouble.names:
            self._engine_by_name[name].behave(fleet_records.Behaviour())

    @_begin.register
    def _(self, trouble: fleet_records.EnginesLeave) -> None:
        for name in trouble.names:
            leaving = self._engine_by_name[name]
            if leaving.is_running:
                self._replace_engine(name)
                self._register(leaving, state="draining")
                self._loop.call_later(
                    trouble.ended_at_ms - trouble.began_at_ms,
                    self._remove_engine,
                    leaving,
                )

    def _watch_memory(self) -> None:
        """Keeps the most memory that a gateway has used."""
        for gateway in self._gateways:
            self.peak_memory_mb = max(
                self.peak_memory_mb, gateway.peak_memory_mb
            )
        if self._is_running:
            self._loop.call_later(MEMORY_CHECK_MS, self._watch_memory)

    def _watch_crashes(self) -> None:
        """Starts engines that crashed by themselves under new ids, later."""
        for name, engine in self._engine_by_name.items():
            if not engine.is_running and name not in self._crashed:
                self._crashed.add(name)
                self._loop.call_later(CRASHED_MS, self._revive_engine, name)
        if self._is_running:
            self._loop.call_later(100, self._watch_crashes)

    def _revive_engine(self, name: str) -> None:
        self._crashed.discard(name)
        engine = self._engine_by_name[name]
        if engine.is_running:
            return
        self._store.put_now(f"servers/{engine.settings.name}", None)
        self._replace_engine(name)

    def _remove_engine(self, engine: engine_process.EngineProcess) -> None:
        self._store.put_now(f"servers/{engine.settings.name}", None)
        engine.kill()

    def _gateways_of(
        self, trouble: fleet_records.Trouble
    ) -> list[gateway_process.GatewayProcess]:
        return [g for g in self._gateways if g.name in trouble.names]

    @_begin.register
    def _(self, trouble: fleet_records.GatewaysStopped) -> None:
        for gateway in self._gateways_of(trouble):
            self._down.add(gateway.name)
            gateway.send_signal(signal.SIGTERM)
        self._loop.call_later(
            1_000 * self._grace_s, self._kill_overdue, trouble
        )

    def _kill_overdue(self, trouble: fleet_records.Trouble) -> None:
        """Kills the gateways that have not stopped within the grace."""
        for gateway in self._gateways_of(trouble):
            if gateway.is_stopping and gateway.is_running:
                self._overdue.append(gateway.name)
                gateway.kill()

    @_begin.register
    def _(self, trouble: fleet_records.GatewaysKilled) -> None:
        for gateway in self._gateways_of(trouble):
            self._down.add(gateway.name)
            gateway.kill()

    @_end.register(fleet_records.GatewaysStopped)
    @_end.register(fleet_records.GatewaysKilled)
    def _(self, trouble: fleet_records.Trouble) -> None:
        for gateway in self._gateways_of(trouble):
            if not gateway.is_running:
                gateway.start(now_ms=self._loop.now_ms())
                self._down.discard(gateway.name)

    @_begin.register
    def _(self, trouble: fleet_records.GatewaysFrozen) -> None:
        for gateway in self._gateways_of(trouble):
            gateway.send_signal(signal.SIGSTOP)

    @_end.register
    def _(self, trouble: fleet_records.GatewaysFrozen) -> None:
        for gateway in self._gateways_of(trouble):
            gateway.send_signal(signal.SIGCONT)

    @_begin.register
    def _(self, trouble: fleet_records.GatewaysReloaded) -> None:
        for gateway in self._gateways_of(trouble):
            if gateway.is_running and not gateway.is_stopping:
                self._write_settings(gateway, is_first_start=False)
                gateway.send_signal(signal.SIGHUP)

    @_begin.register
    def _(self, trouble: fleet_records.ConnectionsReset) -> None:
        hosts = tuple(
            self._source_host(number)
            for number, gateway in enumerate(self._gateways)
            if gateway.name in trouble.names
        )
        for engine in self._engine_by_name.values():
            engine.behave(fleet_records.Behaviour(reset_hosts=hosts))

    @_begin.register
    def _(self, trouble: fleet_records.EnginesCold) -> None:
        for name in trouble.names:
            engine = self._engine_by_name[name]
            if engine.is_running:
                self._register_cold(
                    engine,
                    trouble.ended_at_ms - trouble.began_at_ms,
                    is_start=False,
                )

    @_begin.register
    def _(self, trouble: fleet_records.ZonesEvacuated) -> None:
        self._evacuation_count_by_zone.update(trouble.names)
        for zone in trouble.names:
            self._store.put_now(f"op/evacuate/{zone}", b"{}")

    @_end.register
    def _(self, trouble: fleet_records.ZonesEvacuated) -> None:
        self._evacuation_count_by_zone.subtract(trouble.names)
        for zone in trouble.names:
            # Another evacuation of the zone may go on.
            if not self._evacuation_count_by_zone[zone]:
                self._store.put_now(f"op/evacuate/{zone}", None)

    @_begin.register
    def _(self, trouble: fleet_records.StoreDisturbed) -> None:
        self._store.fault = memory_store.Fault[trouble.fault]

    @_end.register
    def _(self, trouble: fleet_records.StoreDisturbed) -> None:
        del trouble
        self._store.fault = memory_store.Fault.NONE

    def _run_until_callers_end(self, duration_ms: int) -> None:
        due_ms = self._loop.now_ms() + duration_ms + END_BOUND_MS
        while any(caller.poll() is None for caller in self._callers):
            self._run_for(50)
            if self._loop.now_ms() > due_ms:
                raise invariants_lib.InvariantViolationError(
                    "callers have not ended their requests in time"
                )

    @property
    def _has_fatal_requests(self) -> bool:
        return any(
            isinstance(trouble, fleet_records.CallersSendFatal)
            for trouble in self._troubles
        )

    def _check_processes(self) -> None:
        """Checks that no process has ended by itself."""
        ended = [
            gateway
            for gateway in self._gateways
            if not gateway.is_running and gateway.name not in self._down
        ]
        is_killed = any(
            isinstance(trouble, fleet_records.EnginesKilled)
            for trouble in self._troubles
        )
        if not is_killed and not self._has_fatal_requests:
            engines = self._engine_by_name.values()
            ended += [e for e in engines if not e.is_running]
        ended += [c.args[-1] for c in self._callers if c.returncode]
        if self.peak_memory_mb >= MAX_MEMORY_MB:
            raise invariants_lib.InvariantViolationError(
                f"LOST: a gateway has used {self.peak_memory_mb} MB of memory"
            )
        if ended:
            raise invariants_lib.InvariantViolationError(
                f"processes have ended by themselves: {ended}"
            )

    def _run_for(self, duration_ms: int) -> None:
        due_ms = self._loop.now_ms() + duration_ms
        while self._loop.now_ms() < due_ms:
            self._loop.run_once(max_wait_ms=20)

    def _close(self) -> None:
        self._is_running = False
        for caller in self._callers:
            caller.kill()
            caller.wait()
        for engine in (*self._engine_by_name.values(), *self._ended_engines):
            engine.kill()
        for gateway in self._gateways:
            gateway.kill()
        self._server.close()
        self._loop.close()

    def _check(self) -> collections.Counter:
        caller_records = [
            record
            for path in sorted(self._path.glob("callers-*"))
            for record in fleet_records.read(path, fleet_records.CallerRecord)
        ]
        engines = (*self._engine_by_name.values(), *self._ended_engines)
        paths = sorted({engine.settings.record_path for engine in engines})
        self.judge = fleet_judge.Judge(
            (
                record
                for path in paths
                for record in fleet_records.read(
                    pathlib.Path(path), fleet_records.EngineRecord
                )
            ),
            caller_records,
            self._changes,
            fleet_judge.Bounds(
                ratio=RETRY_RATIO,
                slack=self._size.slack,
                window_ms=1_000 * BUDGET_WINDOW_S,
                grace_ms=round(1_000 * self._grace_s),
            ),
            troubles=self._troubles,
            cold_times=self._cold_times,
            gateway_by_host={
                self._source_host(number): gateway.name
                for number, gateway in enumerate(self._gateways)
            },
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
        troubles = [
            f"time_ms={trouble.began_at_ms} until_ms={trouble.ended_at_ms}"
            f" {trouble}"
            for trouble in self._troubles
        ]
        overdue = [f"killed_after_grace={self._overdue}"]
        return "\n".join(sorted(changes + troubles) + overdue)

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
        return f"FleetSoak(seed={self._seed}, size={self._size})"
