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
from bambooglade_standins.users_platform import pause_plan
from bambooglade_standins.users_platform import pause_records
from bambooglade_standins.users_platform import platform_harness as harness_lib
from bambooglade_standins.users_platform import store_server

START_BOUND_MS = 20_000
DISCOVERY_MS = 4_000
"""Time that gateways have to find each other before callers begin."""

END_BOUND_MS = 25_000
"""Time that callers have to end their last requests."""

RATE_PER_CALLER_PROCESS = 90
"""Most requests per second of one process of callers."""

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
        changes: Sequence[str] = pause_plan.CHANGES,
    ) -> None:
        self._seed = seed
        self._kinds_of_changes = changes
        self._size = pause_plan.SIZES[size]
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
        self.judge: pause_judge.Judge | None = None

    def _new_engines(self) -> Iterator[engine_process.EngineProcess]:
        for service, count in self._size.engines_by_service.items():
            is_plain = service == pause_plan.PLAIN_SERVICE
            for number in range(count):
                host, port = harness_lib.free_address()
                yield engine_process.EngineProcess(
                    engine_process.EngineSettings(
                        name=f"{service}-{number}",
                        service=service,
                        version=pause_plan.VERSION,
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
            plan = pause_plan.Plan(
                self._seed,
                self._size,
                kinds_of_changes=self._kinds_of_changes,
                duration_ms=duration_ms,
            )
            self._changes, self._pauses = plan.changes, plan.pauses
            self._start()
            begins_at_ms = engine_process.monotonic_ms() + DISCOVERY_MS
            self._schedule(begins_at_ms)
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
            pause_plan.encode_configuration(
                change, version=2 + 3 * number, size=self._size
            ),
        )
        self._changes[number] = msgspec.structs.replace(
            change, at_ms=engine_process.monotonic_ms()
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
                kinds=pause_plan.KINDS,
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
        delay_ms = begins_at_ms - engine_process.monotonic_ms()
        for number, change in enumerate(self._changes[1:], start=1):
            self._loop.call_later(
                delay_ms + change.at_ms, self._configure, number
            )
            self._changes[number] = msgspec.structs.replace(
                change, at_ms=begins_at_ms + change.at_ms
            )
        for number, pause in enumerate(self._pauses):
            self._loop.call_later(
                delay_ms + pause.began_at_ms, self._stop_engines, number
            )
            self._loop.call_later(
                delay_ms + pause.ended_at_ms, self._continue_engines, number
            )

    def _stop_engines(self, number: int) -> None:
        pause = self._pauses[number]
        self._pauses[number] = msgspec.structs.replace(
            pause, began_at_ms=engine_process.monotonic_ms()
        )
        self._signal(pause, signal.SIGSTOP)

    def _continue_engines(self, number: int) -> None:
        pause = self._pauses[number]
        self._signal(pause, signal.SIGCONT)
        self._pauses[number] = msgspec.structs.replace(
            pause, ended_at_ms=engine_process.monotonic_ms()
        )

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

    def _check_processes(self) -> None:
        """Checks that no process has ended by itself."""
        ended = [g for g in self._gateways if not g.is_running]
        ended += [e for e in self._engines if not e.is_running]
        ended += [c.args[-1] for c in self._callers if c.returncode]
        if ended:
            raise invariants_lib.InvariantViolationError(
                f"processes have ended by themselves: {ended}"
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
