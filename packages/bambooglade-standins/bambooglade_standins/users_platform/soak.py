"""Randomized soak: gateway processes, faults from outside, promises checked.

Store, engines and callers run in this process; gateways are processes of their
own that are paused, killed, stopped and restarted by signals. Proxies before
the store and the engines delay, reset, cut and silence connections. While that
goes on, what engines and callers see is checked: no call runs twice that may
run once, a refusal that says so has not run, answers are whole and their
caller's own, a team uses no more than it prepaid, a revoked key and a leaving
engine get no more requests by gateways that had the time to learn of it, and
once the faults end, requests are served again.

Only processes that the soak started are ended, by their ids.
"""

from __future__ import annotations

import collections
import random
import signal

import fire

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import settings as settings_lib
from bambooglade.http1 import messages
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import fault_proxy
from bambooglade_standins.users_platform import gateway_process
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import scene as scene_lib
from bambooglade_standins.users_platform import store_server

GATEWAYS = 4
PREPAID_TOKENS = 60_000
PROMPT = "300,20"
EVENTS = 6
TOKENS_PER_EVENT = 2
END_OF_EVENT = b"\n\n"
REQUEST_PAUSE_MS = 15
FAULT_PAUSES_MS = (100, 700, 700, 6_000)
"""Pauses between faults: they overlap, or leave time to learn of changes."""

START_BOUND_MS = 10_000
PREPAID_STEP_TOKENS = 20_000
SPARE_KEY = b"key-that-is-revoked"
LEARN_BOUND_MS = 2_000
"""Time in which a change has to be in force, by the settings."""

CALM_MS = 3_000
"""Time without a fault at a gateway from which it is held to that bound."""

RECOVERY_MS = 6_000
"""Time after the last fault in which requests have to be served again."""

NOT_RUN = (408, 421, 429, 503)


class BrokenPromiseError(AssertionError):
    """What callers or engines saw is not what was promised."""


class Soak:
    """Plays one seed.

    Args:
        seed: Decides on requests and faults.
        fault: Name of a deliberate fault of the gateways; empty for none.
    """

    def __init__(self, seed: int, *, fault: str = "") -> None:
        self._random = random.Random(seed)
        self._loop = loop_lib.EventLoop(clock_lib.Clock())
        self._store = memory_store.MemoryStore(self._loop)
        self._server = store_server.StoreServer(self._loop, self._store)
        self._engines: list[engine_lib.Engine] = []
        self._runs_by_attempt: collections.Counter[str] = collections.Counter()
        self._delivered_by_attempt: dict[str, int] = {}
        self._callers: dict[str, tuple[str, scene_lib.Caller, bool]] = {}
        self._statuses: collections.Counter[object] = collections.Counter()
        self._numbers = iter(range(10**9))
        self._proxies: list[fault_proxy.FaultProxy] = []
        self._store_proxies = [
            self._proxy(self._server.address) for _ in range(GATEWAYS)
        ]
        self._gateways = [
            gateway_process.GatewayProcess(
                f"edge-{n}",
                str(n % 2),
                self._store_proxies[n].address,
                fault=fault,
            )
            for n in range(GATEWAYS)
        ]
        self._version = 1
        self._prepaid_tokens = PREPAID_TOKENS
        self._keys = (scene_lib.KEY, SPARE_KEY)
        self._revoked_at_ms: int | None = None
        self._left_at_ms_by_engine: dict[str, int] = {}
        self._address_by_engine: dict[str, tuple[tuple[str, int], str]] = {}
        self._disturbed_at_ms = 0
        self._are_faults_over = False
        self._broken: list[str] = []

    def _proxy(self, target: tuple[str, int]) -> fault_proxy.FaultProxy:
        proxy = fault_proxy.FaultProxy(
            self._loop, target, scene_lib.free_address()
        )
        self._proxies.append(proxy)
        return proxy

    def run(self, duration_ms: int) -> collections.Counter:
        """Plays requests and faults; returns the statuses of the callers.

        Raises:
            BrokenPromiseError: A promise was broken.
        """
        try:
            self._start()
            self._loop.call_later(0, self._request)
            self._loop.call_later(FAULT_PAUSES_MS[0], self._fault)
            self._run_for(duration_ms)
            self._end_faults()
            self._check()
            self._raise_broken()
        finally:
            for gateway in self._gateways:
                gateway.end()
            for proxy in self._proxies:
                proxy.close()
            self._server.close()
            for engine in self._engines:
                engine.close()
            self._loop.close()
        return self._statuses

    def _end_faults(self) -> None:
        """Ends all faults, and waits until requests are served again."""
        self._are_faults_over = True
        self._store.fault = memory_store.Fault.NONE
        for proxy in self._proxies:
            proxy.set_mode(fault_proxy.Mode.PASS)
        for gateway in self._gateways:
            gateway.send(signal.SIGCONT)
            if not gateway.is_running:
                gateway.start(now_ms=self._loop.now_ms())
        self._top_up()
        self._run_for(RECOVERY_MS)
        before = self._statuses[200]
        self._run_for(1_000)
        if self._statuses[200] == before:
            raise BrokenPromiseError("nothing is served after the faults")

    def _start(self) -> None:
        self._configure()
        for number in range(3):
            self._add_engine(f"p{number}", "portal", self._answer)
            self._add_engine(f"j{number}", "jury", self._stream)
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
                raise BrokenPromiseError(self._gateways[0].log_text())
            self._request(repeats=False)
            self._run_for(200)

    def _configure(self) -> None:
        """Writes the next version of the configuration."""
        self._version += 1
        self._store.put_now(
            "op/config",
            scene_lib.configuration(
                version=self._version,
                prepaid=self._prepaid_tokens,
                keys=self._keys,
                timeout_ms=2_000,
            ),
        )

    def _top_up(self) -> None:
        self._prepaid_tokens += PREPAID_STEP_TOKENS
        self._configure()

    def _revoke(self) -> None:
        if SPARE_KEY in self._keys:
            self._keys = (scene_lib.KEY,)
            self._revoked_at_ms = self._loop.now_ms()
            self._configure()

    def _add_engine(self, name: str, service: str, default) -> None:
        engine = engine_lib.Engine(self._loop, name, default=default)
        self._engines.append(engine)
        self._address_by_engine[name] = (
            self._proxy(engine.address).address,
            (service),
        )
        self._register(name, "ready")

    def _register(self, name: str, state: str) -> None:
        address, service = self._address_by_engine[name]
        self._store.put_now(
            f"servers/{name}", scene_lib.entry(address, service, state=state)
        )

    def _let_engine_leave(self) -> None:
        """Lets one engine of a service leave; two stay."""
        name = self._random.choice(["p0", "j0"])
        if name not in self._left_at_ms_by_engine:
            self._left_at_ms_by_engine[name] = self._loop.now_ms()
            self._register(name, "draining")

    def _note_run(self, call: engine_lib.Call) -> str:
        attempt = call.request.get(b"x-bambooglade-attempt-id").decode()
        self._runs_by_attempt[attempt] += 1
        name = call.engine.name
        left_at_ms = self._left_at_ms_by_engine.get(name)
        if left_at_ms is not None and self._had_to_learn(left_at_ms):
            self._note_broken(f"{attempt} reached {name}, which left")
        return attempt

    def _had_to_learn(self, changed_at_ms: int) -> bool:
        """Returns whether every gateway has to know of a change by now."""
        calm_since_ms = max(changed_at_ms, self._disturbed_at_ms + CALM_MS)
        return self._loop.now_ms() > calm_since_ms + LEARN_BOUND_MS

    def _answer(self, call: engine_lib.Call) -> None:
        match self._random.randrange(20):
            case 0:
                call.decline()
                return
            case 1:
                self._note_run(call)
                call.reset()
                return
        call.respond(b"answer-of-" + self._note_run(call).encode())

    def _stream(self, call: engine_lib.Call) -> None:
        attempt = self._note_run(call)
        first = int(call.request.get(b"last-event-id") or 0) + 1
        is_broken = first <= EVENTS and self._random.randrange(15) == 0
        last = (
            self._random.randrange(first, EVENTS + 1) if is_broken else EVENTS
        )
        self._delivered_by_attempt.setdefault(attempt, 0)
        call.start_stream()
        for number in range(first, last + 1):
            call.event(number)
        if is_broken:
            call.reset()
        else:
            call.end_stream()

    def _request(self, *, repeats: bool = True) -> None:
        path = self._random.choice(["/plain/x", "/stream/x", "/resume/x"])
        attempt = f"s{next(self._numbers)}"
        key = self._random.choice([scene_lib.KEY] * 3 + [SPARE_KEY])
        fields = [
            (b"Host", scene_lib.HOST),
            (b"X-Bambooglade-Attempt-Id", attempt.encode()),
            (b"X-Bambooglade-Deadline-Ms", b"1500"),
            (b"Authorization", b"Token " + key),
        ]
        if path != "/plain/x":
            fields.append((b"X-Bambooglade-Token-Usage", PROMPT.encode()))
        gateway = self._random.choice(self._gateways)
        caller = scene_lib.Caller(self._loop, gateway.addresses[0])
        caller.send(
            messages.encode_request(
                method=b"POST", target=path.encode(), fields=fields, body=b"b"
            )
        )
        must_refuse = (
            key == SPARE_KEY
            and self._revoked_at_ms is not None
            and self._had_to_learn(self._revoked_at_ms)
        )
        self._callers[attempt] = (path, caller, must_refuse)
        self._collect()
        if repeats:
            self._loop.call_later(REQUEST_PAUSE_MS, self._request)

    def _collect(self) -> None:
        for attempt, sent in list(self._callers.items()):
            path, caller, must_refuse = sent
            if attempt in self._delivered_by_attempt:
                events = caller.body.count(END_OF_EVENT)
                self._delivered_by_attempt[attempt] = events
            if caller.is_over:
                if must_refuse and caller.status == 200:
                    self._note_broken(f"{attempt} had a revoked key")
                del self._callers[attempt]
                self._statuses[caller.status] += 1
                self._check_response(attempt, path, caller)
                caller.close()

    def _check_response(
        self, attempt: str, path: str, caller: scene_lib.Caller
    ) -> None:
        has_run = self._runs_by_attempt[attempt] > 0
        if caller.status in NOT_RUN and has_run and path != "/resume/x":
            self._note_broken(f"{attempt} was refused and ran")
        if path != "/resume/x" and self._runs_by_attempt[attempt] > 1:
            self._note_broken(f"{attempt} ran more than once")
        if caller.status != 200 or not caller.is_whole:
            return
        expected = b"answer-of-" + attempt.encode()
        if path != "/plain/x":
            expected = b"".join(map(engine_lib.event, range(1, EVENTS + 1)))
        if caller.body != expected:
            self._note_broken(f"{attempt} got {caller.body!r}")

    def _note_broken(self, problem: str) -> None:
        """Notes a broken promise; the event loop would catch an error."""
        self._broken.append(problem)

    def _raise_broken(self) -> None:
        if self._broken:
            raise BrokenPromiseError("; ".join(self._broken))

    @property
    def _used_tokens(self) -> int:
        """Prompts that ran, once a request, and the events delivered."""
        prompt_tokens = int(PROMPT.partition(",")[0])
        return sum(
            prompt_tokens + events * TOKENS_PER_EVENT
            for events in self._delivered_by_attempt.values()
        )

    def _check(self) -> None:
        self._collect()
        if self._used_tokens > self._prepaid_tokens:
            self._note_broken(
                f"{self._used_tokens} tokens of {self._prepaid_tokens} were "
                "used"
            )
        twice = [a for a, runs in self._runs_by_attempt.items() if runs > 2]
        if twice:
            self._note_broken(f"{twice} ran more often than allowed")

    def _fault(self) -> None:
        if self._are_faults_over:
            return
        self._check()
        gateway = self._random.choice(self._gateways)
        disturbs = True
        match self._random.randrange(12):
            case 0:
                gateway.send(signal.SIGSTOP)
                self._loop.call_later(900, gateway.send, signal.SIGCONT)
            case 1:
                gateway.end()
            case 2:
                gateway.send(signal.SIGTERM)
            case 3:
                self._store.fault = self._random.choice(
                    list(memory_store.Fault)
                )
            case 4:
                self._store.forget_history()
            case 5 | 6 | 7:
                proxy = self._random.choice(self._proxies)
                proxy.set_mode(self._random.choice(list(fault_proxy.Mode)))
            case 8:
                self._revoke()
                disturbs = False
            case 9:
                self._let_engine_leave()
                disturbs = False
            case 10:
                self._top_up()
                disturbs = False
            case 11:
                self._store.fault = memory_store.Fault.NONE
                for proxy in self._proxies:
                    proxy.set_mode(fault_proxy.Mode.PASS)
        if disturbs:
            self._disturbed_at_ms = self._loop.now_ms()
        for other in self._gateways:
            if not other.is_running:
                other.start(now_ms=self._loop.now_ms())
                self._disturbed_at_ms = self._loop.now_ms()
        pause_ms = self._random.choice(FAULT_PAUSES_MS)
        self._loop.call_later(pause_ms, self._fault)

    def _run_for(self, duration_ms: int) -> None:
        due_ms = self._loop.now_ms() + duration_ms
        while self._loop.now_ms() < due_ms:
            self._loop.run_once(max_wait_ms=20)
            self._collect()
            self._raise_broken()

    def __repr__(self) -> str:
        return f"Soak(statuses={dict(self._statuses)})"


def main(seed: int = 0, seconds: int = 20, fault: str = "") -> None:
    """Plays one seed and prints what callers got."""
    statuses = Soak(seed, fault=fault).run(seconds * 1_000)
    print(f"seed={seed} seconds={seconds} statuses={dict(statuses)}")


if __name__ == "__main__":
    fire.Fire(main)
