"""Randomized soak test of gateway processes under injected faults.

Store, engines and callers run in this process. Gateways run in separate
processes that are paused, killed, stopped and restarted by signals. Proxies in
front of the store and the engines delay, reset and drop connection data. The
soak checks these invariants:

- A call that must not be repeated is executed at most once.
- A request that is refused as not executed was not executed.
- Responses are complete and belong to the caller's own request.
- A stream goes on only at the software version that began it.
- A team uses no more tokens than it prepaid.
- Once gateways have had time to apply the change, a revoked key is refused and
  a draining engine receives no requests.
- A prompt part on which engines crash reaches hardly any after the fifth crash.
- So does a request on which engines crash, after the third crash.
- A gateway sends nothing to an engine that has told it that it leaves.
- The gateways together keep the request limit that an engine states.
- A gateway cut off from all engines serves first tries as the others do.
- Requests are served again after the faults end.

The soak ends only processes that it started, by process id.
"""

from __future__ import annotations

import collections
import pathlib
import random
import signal

import fire

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import settings as settings_lib
from bambooglade.http1 import messages
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import fault_proxy
from bambooglade_standins.users_platform import fleet_plan
from bambooglade_standins.users_platform import gateway_process
from bambooglade_standins.users_platform import invariants as invariants_lib
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import platform_harness as harness_lib
from bambooglade_standins.users_platform import soak_cuts
from bambooglade_standins.users_platform import soak_fleet
from bambooglade_standins.users_platform import soak_releases
from bambooglade_standins.users_platform import store_server

GATEWAYS = 4
PREPAID_TOKENS = 60_000
REQUEST_PAUSE_MS = 15
FAULT_PAUSES_MS = (100, 700, 700, 1_500)
"""Pauses between faults while connections are faulty; faults overlap."""

QUIET_PAUSES_MS = (100, 700, 7_000)
"""Pauses without connection faults; the longest lets changes propagate."""

PATHS = (invariants_lib.PLAIN_PATH, "/stream/x", invariants_lib.REPEATABLE_PATH)
START_BOUND_MS = 10_000
PREPAID_STEP_TOKENS = 20_000
VERSIONS = ("v1", "v2")
"""Software versions of the engines, in turn."""

SPARE_KEY = b"key-that-is-revoked"
FATAL_PART = b"fatal"
FATAL_PERIOD = 11
"""One of so many requests has the prompt part on which engines crash."""

FATAL_REQUEST_PERIOD = 13
"""One of so many requests is the one on which engines crash."""

LEAVING = (b"Server-Leaving", b"1")
LEAVING_ENGINE = "p1"
LEAVING_PERIOD_MS = 3_000
"""Time after which the engine, which may have started again, leaves again."""

STORE_AWAY_MS = 500
WRITE_AGAIN_MS = 600
"""Time after which operator and engines write again what a restored store has
lost."""

CRASH_DELAY_MS = 20
RESTART_DELAY_MS = 1_000
FIRST_CUT_MS = 3_000
LIMITED_ENGINE = "j1"
LIMIT_PER_S = 1
LIMIT_PERIOD_MS = 8_000
"""Time after which an engine begins or ceases to state its limit."""

FINAL_TOP_UPS = 5
"""Top-ups after the last fault, so that engines are busy until the end."""

RECOVERY_MS = 6_000
"""Time limit after the last fault for serving requests again."""


class Soak:
    """Runs the soak with one seed.

    Args:
        seed: Seed of the random requests and faults.
        fault: Name of a deliberate fault of the gateways; empty for none.
    """

    def __init__(self, seed: int, *, fault: str = "") -> None:
        self._random = random.Random(seed)
        self._loop = loop_lib.EventLoop(clock_lib.Clock())
        self._store = memory_store.MemoryStore(self._loop)
        self._server = store_server.StoreServer(self._loop, self._store)
        self._engines: list[engine_lib.Engine] = []
        self._invariants = invariants_lib.InvariantChecker(
            self._loop.now_ms, prepaid_tokens=PREPAID_TOKENS
        )
        self._path_by_attempt: dict[str, str] = {}
        self._received_by_attempt: dict[str, int] = {}
        self._version_by_engine: dict[str, str] = {}
        self._callers: dict[str, tuple[harness_lib.Caller, bool]] = {}
        self._statuses: collections.Counter[object] = collections.Counter()
        self._sequence = iter(range(10**9))
        self._proxies: list[fault_proxy.FaultProxy] = []
        self._store_proxies = [
            self._add_proxy(self._server.address) for _ in range(GATEWAYS)
        ]
        self._gateways = [
            gateway_process.GatewayProcess(
                f"edge-{n}",
                str(n % 2),
                self._store_proxies[n].address,
                fault=fault,
                is_cuttable=True,
            )
            for n in range(GATEWAYS)
        ]
        # A source of their own, so that the seeds keep their other faults.
        self._cuts = soak_cuts.LinkCuts(
            self._loop, self._gateways, random.Random(seed)
        )
        self._group_by_attempt: dict[str, bool | None] = {}
        self._faults: list[str] = []
        self._version = 1
        self._keys = (harness_lib.KEY, SPARE_KEY)
        self._state_by_engine: dict[str, str] = {}
        self._address_by_engine: dict[str, tuple[tuple[str, int], str]] = {}
        self._are_faults_ended = False
        self._start_count = 1
        self._start_by_engine: dict[str, int] = {}
        self._copy = self._store.copy()
        self._life_by_gateway: collections.Counter[str] = collections.Counter()
        self._sender_by_attempt: dict[str, tuple[tuple[str, int], int]] = {}

    def _add_proxy(self, target: tuple[str, int]) -> fault_proxy.FaultProxy:
        proxy = fault_proxy.FaultProxy(
            self._loop, target, harness_lib.free_address()
        )
        self._proxies.append(proxy)
        return proxy

    def run(self, duration_ms: int) -> collections.Counter:
        """Runs requests and faults; returns counts of response statuses.

        Raises:
            invariants.InvariantViolationError: An invariant was violated. Its
                notes are the faults before it.
        """
        try:
            self._start()
            self._loop.call_later(0, self._request)
            self._loop.call_later(FAULT_PAUSES_MS[0], self._inject_fault)
            self._loop.call_later(FIRST_CUT_MS, self._cuts.begin)
            self._loop.call_later(LIMIT_PERIOD_MS, self._toggle_limit)
            self._loop.call_later(LEAVING_PERIOD_MS, self._announce_departure)
            self._run_for(duration_ms)
            self._end_faults()
            self._check()
        except invariants_lib.InvariantViolationError as error:
            error.add_note("\n".join(self._faults))
            raise
        finally:
            for gateway in self._gateways:
                gateway.kill()
            for proxy in self._proxies:
                proxy.close()
            self._server.close()
            for engine in self._engines:
                engine.close()
            self._loop.close()
        return self._statuses

    def _end_faults(self) -> None:
        """Ends all faults and checks that requests are served again."""
        self._are_faults_ended = True
        self._cuts.end()
        self._invariants.record_disturbance()
        self._state_limit(is_stated=True)
        self._store.fault = memory_store.Fault.NONE
        for proxy in self._proxies:
            proxy.set_mode(fault_proxy.Mode.PASS)
        for gateway in self._gateways:
            gateway.send_signal(signal.SIGCONT)
            if not gateway.is_running:
                self._life_by_gateway[gateway.name] += 1
                gateway.start(now_ms=self._loop.now_ms())
        for _ in range(FINAL_TOP_UPS):
            self._top_up()
        self._run_for(RECOVERY_MS)
        before = self._statuses[200]
        self._run_for(1_000)
        if self._statuses[200] == before:
            raise invariants_lib.InvariantViolationError(
                "no request was served after the faults ended"
            )

    def _start(self) -> None:
        self._configure()
        for number in range(3):
            self._version_by_engine[f"j{number}"] = VERSIONS[number % 2]
            self._add_engine(f"p{number}", "portal", self._respond)
            self._add_engine(f"j{number}", "jury", self._stream_events)
        seeds = [
            settings_lib.format_address(gateway.addresses[2])
            for gateway in self._gateways[:3]
        ]
        for gateway in self._gateways:
            gateway.write_settings(seeds)
            gateway.start(now_ms=self._loop.now_ms())
        due_ms = self._loop.now_ms() + START_BOUND_MS
        while not self._statuses[200]:
            if self._loop.now_ms() > due_ms:
                raise invariants_lib.InvariantViolationError(
                    self._gateways[0].log_text()
                )
            self._request(reschedules=False)
            self._run_for(200)

    def _configure(self) -> None:
        """Writes the next version of the configuration."""
        self._version += 1
        self._store.put_now(
            "op/config",
            harness_lib.configuration(
                version=self._version,
                prepaid=self._invariants.prepaid_tokens,
                keys=self._keys,
                timeout_ms=2_000,
            ),
        )

    def _top_up(self) -> None:
        self._invariants.prepaid_tokens += PREPAID_STEP_TOKENS
        self._configure()

    def _revoke_key(self) -> None:
        if SPARE_KEY in self._keys:
            self._keys = (harness_lib.KEY,)
            self._invariants.record_key_revocation()
            self._configure()

    def _add_engine(self, name: str, service: str, default) -> None:
        engine = engine_lib.Engine(self._loop, name, default=default)
        self._engines.append(engine)
        self._address_by_engine[name] = (
            self._add_proxy(engine.address).address,
            service,
        )
        self._register(name, "ready")

    def _register(self, name: str, state: str | None = None) -> None:
        """Registers an engine in a new state, or in the one that it has."""
        self._state_by_engine[name] = state or self._state_by_engine[name]
        address, service = self._address_by_engine[name]
        self._store.put_now(
            f"servers/{name}",
            harness_lib.engine_registration(
                address,
                service,
                state=self._state_by_engine[name],
                version=self._version_by_engine.get(name, VERSIONS[0]),
                started_at_ms=self._start_by_engine.get(name, 1),
            ),
        )

    def _toggle_limit(self) -> None:
        if self._are_faults_ended:
            return
        (engine,) = (e for e in self._engines if e.name == LIMITED_ENGINE)
        self._state_limit(is_stated=not engine.extra_fields)
        self._loop.call_later(LIMIT_PERIOD_MS, self._toggle_limit)

    def _announce_departure(self) -> None:
        """Lets an engine say that it leaves, whatever its entry says."""
        (engine,) = (e for e in self._engines if e.name == LEAVING_ENGINE)
        if LEAVING not in engine.extra_fields:
            engine.extra_fields.append(LEAVING)
        self._loop.call_later(LEAVING_PERIOD_MS, self._announce_departure)

    def _state_limit(self, *, is_stated: bool) -> None:
        (engine,) = (e for e in self._engines if e.name == LIMITED_ENGINE)
        engine.extra_fields = (
            [(b"Server-Limit", b"%d" % LIMIT_PER_S)] if is_stated else []
        )
        self._invariants.record_stated_limit(is_stated=is_stated)

    def _crash(self, engine: engine_lib.Engine) -> None:
        """Resets all connections of an engine, which starts again later."""
        engine.reset_connections()
        self._start_count += 1
        self._start_by_engine[engine.name] = self._start_count
        if LEAVING in engine.extra_fields:
            engine.extra_fields.remove(LEAVING)
        self._loop.call_later(RESTART_DELAY_MS, self._restart, engine)

    def _restart(self, engine: engine_lib.Engine) -> None:
        """Registers the new run of an engine, of which nobody can know yet."""
        self._invariants.record_restart(engine.name)
        self._register(engine.name)

    def _drain_engine(self) -> None:
        """Drains one engine of a service; the other two stay ready."""
        name = self._random.choice(["p0", "j0"])
        if self._invariants.record_engine_departure(name):
            self._register(name, "draining")

    def _restore_store(self) -> None:
        """Lets the store return from an older copy, after a moment away."""
        self._store.fault = memory_store.Fault.UNRESPONSIVE
        copy = self._copy

        def restore() -> None:
            self._store.restore(copy)
            self._store.fault = memory_store.Fault.NONE
            self._loop.call_later(WRITE_AGAIN_MS, self._write_again)

        self._loop.call_later(STORE_AWAY_MS, restore)

    def _write_again(self) -> None:
        """Writes again what the store has lost, and then changes it."""
        self._configure()
        for name in self._address_by_engine:
            self._register(name)
        self._start_quiet_period()

    def _record_run(
        self, call: engine_lib.Call, *, has_prompt: bool = False
    ) -> str:
        attempt = call.request.get(b"x-bambooglade-attempt-id").decode()
        sender, sent_at_ms = self._sender_by_attempt[attempt]
        self._invariants.check_notice(
            sender, call.engine.name, attempt, sent_at_ms=sent_at_ms
        )
        self._invariants.record_run(
            attempt, call.engine.name, has_prompt=has_prompt
        )
        return attempt

    def _respond(self, call: engine_lib.Call) -> None:
        if call.request.target == invariants_lib.FATAL_PATH.encode():
            self._invariants.record_fatal_request(self._record_run(call))
            self._loop.call_later(CRASH_DELAY_MS, self._crash, call.engine)
            return
        match self._random.randrange(20):
            case 0:
                call.decline()
                return
            case 1:
                self._record_run(call)
                call.reset()
                return
        call.respond(b"answer-of-" + self._record_run(call).encode())

    def _stream_events(self, call: engine_lib.Call) -> None:
        attempt = self._record_run(call, has_prompt=True)
        self._invariants.record_stream_version(
            call.request.get(b"resumes").decode() or attempt,
            self._version_by_engine[call.engine.name],
            is_continued=call.request.has(b"last-event-id"),
        )
        if call.engine.name == LIMITED_ENGINE:
            self._invariants.record_limited_run(LIMIT_PER_S)
        if FATAL_PART in call.request.get(b"x-bambooglade-prefix-hash"):
            self._invariants.record_fatal_run(attempt)
            call.start_stream()
            for number in range(1, int(attempt[1:]) % 3):
                call.event(number)
            self._loop.call_later(CRASH_DELAY_MS, self._crash, call.engine)
            return
        first = int(call.request.get(b"last-event-id") or 0) + 1
        events = invariants_lib.EVENTS
        is_broken = first <= events and self._random.randrange(15) == 0
        last = (
            self._random.randrange(first, events + 1) if is_broken else events
        )
        if is_broken and int(attempt[1:]) % 2:
            sent = b"".join(map(engine_lib.event, range(first, last + 1)))
            call.send_unframed_stream(sent[:-1])
            return
        call.start_stream()
        for number in range(first, last + 1):
            call.event(number)
        if is_broken:
            call.reset()
        else:
            call.end_stream()

    def _request(self, *, reschedules: bool = True) -> None:
        path = self._random.choice(PATHS)
        key = self._random.choice([harness_lib.KEY] * 3 + [SPARE_KEY])
        gateway = self._random.choice(self._gateways)
        if self._random.randrange(FATAL_REQUEST_PERIOD) == 0:
            path, key = invariants_lib.FATAL_PATH, harness_lib.KEY
        self._send(path, key, gateway)
        self._collect_responses()
        if reschedules:
            self._loop.call_later(REQUEST_PAUSE_MS, self._request)

    def _send(
        self,
        path: str,
        key: bytes,
        gateway: gateway_process.GatewayProcess,
        *,
        extra: messages.HeaderFields = (),
    ) -> str:
        """Sends a request with a new id, and returns the id."""
        attempt = f"s{next(self._sequence)}"
        fields = [
            (b"Host", harness_lib.HOST),
            (b"X-Bambooglade-Attempt-Id", attempt.encode()),
            (b"X-Bambooglade-Deadline-Ms", b"1500"),
            (b"Authorization", b"Token " + key),
            *extra,
        ]
        is_fatal = path == invariants_lib.FATAL_PATH
        if path not in invariants_lib.PLAIN_PATHS:
            prompt = invariants_lib.PROMPT.encode()
            number = int(attempt[1:])
            part = b"doc%d" % (number % 5)
            if number % FATAL_PERIOD == 0 and not extra:
                part, is_fatal = FATAL_PART, True
            prefix = b"common:100,%s:100,own%d:100" % (part, number)
            fields.append((b"X-Bambooglade-Token-Usage", prompt))
            fields.append((b"X-Bambooglade-Prefix-Hash", prefix))
        caller = harness_lib.Caller(self._loop, gateway.addresses[0])
        caller.send(
            messages.encode_request(
                method=b"POST", target=path.encode(), fields=fields, body=b"b"
            )
        )
        must_refuse = (
            key == SPARE_KEY and self._invariants.must_refuse_spare_key()
        )
        self._path_by_attempt[attempt] = path
        self._sender_by_attempt[attempt] = (
            self._process_of(gateway),
            self._loop.now_ms(),
        )
        self._callers[attempt] = caller, must_refuse
        if not extra and not is_fatal:
            self._group_by_attempt[attempt] = self._cuts.group_of(gateway)
        return attempt

    def _record_notice(self, attempt: str, caller: harness_lib.Caller) -> None:
        """Records that a gateway passed on that an engine leaves."""
        signature = caller.header(engine_lib.SIGNATURE.lower())
        for engine in self._engines:
            # The engine may have started again since.
            if engine.signature == signature and LEAVING in engine.extra_fields:
                sender, _ = self._sender_by_attempt[attempt]
                self._invariants.record_notice(sender, engine.name)

    def _process_of(
        self, gateway: gateway_process.GatewayProcess
    ) -> tuple[str, int]:
        """Returns the process of a gateway since its last start or pause."""
        return gateway.name, self._life_by_gateway[gateway.name]

    def _resume(self, attempt: str, caller: harness_lib.Caller) -> None:
        """Resumes a stream that broke off, at the next gateway."""
        events = caller.body.count(invariants_lib.END_OF_EVENT)
        if caller.status != 200 or caller.is_complete or not events:
            return
        if attempt in self._received_by_attempt:
            return
        number = int(attempt[1:]) % len(self._gateways)
        extra = [
            (b"Last-Event-Id", b"%d" % events),
            (b"Resumes", attempt.encode()),
        ]
        resumed = self._send(
            invariants_lib.REPEATABLE_PATH,
            harness_lib.KEY,
            self._gateways[number],
            extra=extra,
        )
        self._received_by_attempt[resumed] = events

    def _collect_responses(self) -> None:
        for attempt, (caller, must_refuse) in list(self._callers.items()):
            self._invariants.record_delivery(attempt, caller)
            if not caller.is_finished:
                continue
            del self._callers[attempt]
            received = self._received_by_attempt.get(attempt, 0)
            outcome = f"resumed {caller.status}" if received else caller.status
            self._statuses[outcome] += 1
            if must_refuse and caller.status == 200:
                self._invariants.record_revoked_key_served(attempt)
            if caller.status and caller.header(LEAVING[0].lower()):
                self._record_notice(attempt, caller)
            group = self._group_by_attempt.pop(attempt, None)
            if group is not None:
                is_served = caller.status == 200 and caller.is_complete
                self._cuts.record_first_try(group, is_served=is_served)
            path = self._path_by_attempt[attempt]
            self._invariants.check_response(
                attempt, path, caller, received_events=received
            )
            if path == invariants_lib.REPEATABLE_PATH:
                self._resume(attempt, caller)
            caller.close()

    def _check(self) -> None:
        self._invariants.record_store_disturbance(self._gateways_without_store)
        self._collect_responses()
        if self._is_disturbed:
            self._invariants.record_disturbance()
        self._invariants.check(self._path_by_attempt.__getitem__)
        self._cuts.check()

    @property
    def _gateways_without_store(self) -> list[str]:
        """Names of the gateways that may not reach the store."""
        is_away = self._store.fault is not memory_store.Fault.NONE
        return [
            gateway.name
            for gateway, proxy in zip(
                self._gateways, self._store_proxies, strict=True
            )
            if is_away or proxy.mode is not fault_proxy.Mode.PASS
        ]

    @property
    def _is_disturbed(self) -> bool:
        """Whether a fault of the store or of a proxy is active."""
        return self._store.fault is not memory_store.Fault.NONE or any(
            proxy.mode is not fault_proxy.Mode.PASS for proxy in self._proxies
        )

    def _inject_fault(self) -> None:
        if self._are_faults_ended:
            return
        gateway = self._random.choice(self._gateways)
        is_disturbance, is_restored = True, False
        copy = self._store.copy()
        number = self._random.randrange(13)
        self._record_fault(number, gateway)
        match number:
            case 0 | 1 | 2 if self._cuts.is_compared:
                pass
            case 0:
                self._life_by_gateway[gateway.name] += 1
                gateway.send_signal(signal.SIGSTOP)
                self._loop.call_later(900, gateway.send_signal, signal.SIGCONT)
            case 1:
                gateway.kill()
            case 2:
                gateway.send_signal(signal.SIGTERM)
            case 3:
                self._store.fault = self._random.choice(
                    list(memory_store.Fault)
                )
            case 4:
                self._store.compact_history()
            case 5 | 6 | 7:
                proxy = self._random.choice(self._proxies)
                proxy.set_mode(self._random.choice(list(fault_proxy.Mode)))
            case 8:
                self._revoke_key()
                is_disturbance = False
            case 9:
                self._drain_engine()
                is_disturbance = False
            case 10:
                self._top_up()
                is_disturbance = False
            case 11:
                self._start_quiet_period()
            case 12:
                is_restored = True
                self._restore_store()
        self._copy = copy
        if is_disturbance:
            self._invariants.record_disturbance()
        for other in self._gateways:
            if not other.is_running:
                self._life_by_gateway[other.name] += 1
                other.start(now_ms=self._loop.now_ms())
                self._invariants.record_disturbance()
        is_quiet = not self._is_disturbed
        pauses_ms = QUIET_PAUSES_MS if is_quiet else FAULT_PAUSES_MS
        pause_ms = self._random.choice(pauses_ms)
        if is_restored:
            pause_ms = max(QUIET_PAUSES_MS)
        self._loop.call_later(pause_ms, self._inject_fault)

    def _record_fault(
        self, number: int, gateway: gateway_process.GatewayProcess
    ) -> None:
        """Records the state in which a fault is injected, for a violation."""
        stopped = [g.name for g in self._gateways if not g.is_running]
        modes = [
            f"{index}:{proxy.mode.name}"
            for index, proxy in enumerate(self._proxies)
            if proxy.mode is not fault_proxy.Mode.PASS
        ]
        self._faults.append(
            f"time_ms={self._loop.now_ms()} fault={number}"
            f" gateway={gateway.name} stopped={stopped} cut={self._cuts}"
            f" store={self._store.fault.name} proxies={modes}"
        )

    def write_logs(self, directory: pathlib.Path) -> None:
        """Writes the outputs of all gateways to a directory."""
        directory.mkdir(parents=True, exist_ok=True)
        for gateway in self._gateways:
            path = directory / f"{gateway.name}.log"
            path.write_text(gateway.log_text())

    def _start_quiet_period(self) -> None:
        """Ends connection faults, then revokes a key and drains an engine.

        Without further faults, gateways must apply both changes in time.
        """
        self._store.fault = memory_store.Fault.NONE
        for proxy in self._proxies:
            proxy.set_mode(fault_proxy.Mode.PASS)
        self._revoke_key()
        self._drain_engine()

    def _run_for(self, duration_ms: int) -> None:
        due_ms = self._loop.now_ms() + duration_ms
        while self._loop.now_ms() < due_ms:
            self._loop.run_once(max_wait_ms=20)
            self._check()

    def __repr__(self) -> str:
        return f"Soak(statuses={dict(self._statuses)})"


def main(
    seed: int = 0,
    seconds: int = 20,
    fault: str = "",
    releases: int = 0,
    fleet: str = "",
    troubles: str = fleet_plan.PAUSES_AT_CHANGES,
    load: float = 1.0,
    grace: float = fleet_plan.GRACE_S,
) -> None:
    """Runs the soak with one seed and prints counts of response statuses.

    After a violation, the outputs of the gateways are in `reports/soak-SEED`,
    or in `reports/fleet-SIZE-SEED` with the records of engines and callers.

    Args:
        seed: Seed of the random requests and faults.
        seconds: Duration.
        fault: Name of a deliberate fault of the gateways; empty for none.
        releases: Number of releases in which all gateways are killed, instead
            of the other faults.
        fleet: Size of a fleet of separate processes, see `fleet_plan.SIZES`,
            instead of this soak.
        troubles: What happens to that fleet: names of
            `fleet_plan.CHOOSE_BY_NAME` with "+" between them, "all" for all of
            them, "pauses" for pauses at changes of the configuration, "storm"
            for changes in quick succession, "top-up" for a small budget.
        load: Factor of the rate of the requests to that fleet.
        grace: Seconds that its gateways have to stop.
    """
    if releases:
        outcomes = soak_releases.ReleaseSoak(seed, fault=fault).run(releases)
        print(f"seed={seed} releases={releases} outcomes={dict(outcomes)}")
        return
    if not fleet:
        soak: Soak | soak_fleet.FleetSoak = Soak(seed, fault=fault)
    else:
        kinds = troubles.split("+")
        soak = soak_fleet.FleetSoak(
            seed,
            size=fleet,
            fault=fault,
            troubles=(
                [*fleet_plan.CHOOSE_BY_NAME, *kinds]
                if "all" in kinds
                else kinds
            ),
            load=load,
            grace_s=grace,
        )
    try:
        statuses = soak.run(seconds * 1_000)
    except invariants_lib.InvariantViolationError:
        name = f"fleet-{fleet}-{seed}" if fleet else f"soak-{seed}"
        soak.write_logs(pathlib.Path("reports") / name)
        raise
    print(f"seed={seed} seconds={seconds} statuses={dict(statuses)}")
    if fleet:
        print(soak.judge.summary(), f"memory_mb={soak.peak_memory_mb}")


if __name__ == "__main__":
    fire.Fire(main)
