"""Randomized soak: gateway processes, faults from outside, promises checked.

Store, engines and callers run in this process; gateways are processes of their
own that are paused, killed, stopped and restarted by signals. While that goes
on, what engines and callers see is checked: no call runs twice that may run
once, a refusal that says so has not run, answers are whole and their caller's
own, and a team uses no more than it prepaid.

Only processes that the soak started are ended, by their ids.
"""

from __future__ import annotations

import collections
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile

import fire

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import settings as settings_lib
from bambooglade.http1 import messages
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import scene as scene_lib
from bambooglade_standins.users_platform import store_server

GATEWAYS = 4
PREPAID_TOKENS = 60_000
PROMPT = "300,20"
EVENTS = 6
TOKENS_PER_EVENT = 2
REQUEST_PAUSE_MS = 15
FAULT_PAUSE_MS = 700
START_BOUND_MS = 10_000
NOT_RUN = (408, 421, 429, 503)

_NODE_FILE = """
nodeName = "{name}"
ip = "{host}"
zone = "zone-{zone}"
internalPortRange = [{metrics}, {metrics}]
seeds = [{seeds}]
[listen]
frontend = "{frontend}"
readiness = "{readiness}"
controlPlane = "{peer}"
[bounds]
graceS = 4
[platform]
address = "{store}"
"""


class BrokenPromiseError(AssertionError):
    """What callers or engines saw is not what was promised."""


class GatewayUnderTest:
    """One gateway process, which may be ended and started again."""

    def __init__(self, name: str, zone: str, store: str) -> None:
        self.name = name
        self._zone = zone
        self._store = store
        self.addresses = [scene_lib.free_address() for _ in range(4)]
        self._process: subprocess.Popen | None = None
        self._directory = tempfile.TemporaryDirectory()

    def write_settings(self, seeds: list[str]) -> None:
        """Writes the settings file."""
        texts = [f"{host}:{port}" for host, port in self.addresses]
        text = _NODE_FILE.format(
            name=self.name,
            host=self.addresses[3][0],
            zone=self._zone,
            metrics=self.addresses[3][1],
            seeds=", ".join(f'"{seed}"' for seed in seeds),
            frontend=texts[0],
            readiness=texts[1],
            peer=texts[2],
            store=self._store,
        )
        self._path.write_text(text)

    @property
    def _path(self) -> pathlib.Path:
        return pathlib.Path(self._directory.name) / "node.toml"

    @property
    def is_running(self) -> bool:
        """Whether the process exists."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Starts the process."""
        with open(self._path.with_suffix(".log"), "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "bambooglade.platform.gateway_main"],
                env={**os.environ, "BAMBOOGLADE_NODE_FILE": str(self._path)},
                stdout=log,
                stderr=log,
            )

    def send(self, signal_number: int) -> None:
        """Signals the process, if it runs."""
        if self.is_running:
            self._process.send_signal(signal_number)

    def end(self) -> None:
        """Kills the process and waits for it."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def log_text(self) -> str:
        """Returns what the process wrote."""
        path = self._path.with_suffix(".log")
        return path.read_text() if path.exists() else ""


class Soak:
    """Plays one seed.

    Args:
        seed: Decides on requests and faults.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._loop = loop_lib.EventLoop(clock_lib.Clock())
        self._store = memory_store.MemoryStore(self._loop)
        self._server = store_server.StoreServer(self._loop, self._store)
        self._engines: list[engine_lib.Engine] = []
        self._runs_by_attempt: collections.Counter[str] = collections.Counter()
        self._tokens = 0
        self._callers: dict[str, tuple[str, scene_lib.Caller]] = {}
        self._statuses: collections.Counter[object] = collections.Counter()
        self._numbers = iter(range(10**9))
        host, port = self._server.address
        self._gateways = [
            GatewayUnderTest(f"edge-{n}", str(n % 2), f"{host}:{port}")
            for n in range(GATEWAYS)
        ]

    def run(self, duration_ms: int) -> collections.Counter:
        """Plays requests and faults; returns the statuses of the callers.

        Raises:
            BrokenPromiseError: A promise was broken.
        """
        try:
            self._start()
            self._loop.call_later(0, self._request)
            self._loop.call_later(FAULT_PAUSE_MS, self._fault)
            self._run_for(duration_ms)
            self._store.fault = memory_store.Fault.NONE
            for gateway in self._gateways:
                gateway.send(signal.SIGCONT)
            self._run_for(3_000)
            self._check()
        finally:
            for gateway in self._gateways:
                gateway.end()
            self._server.close()
            for engine in self._engines:
                engine.close()
            self._loop.close()
        return self._statuses

    def _start(self) -> None:
        self._store.put_now(
            "op/config",
            scene_lib.configuration(prepaid=PREPAID_TOKENS, timeout_ms=2_000),
        )
        for number in range(3):
            self._add_engine(f"p{number}", "portal", self._answer)
            self._add_engine(f"j{number}", "jury", self._stream)
        seeds = [
            settings_lib.format_address(gateway.addresses[2])
            for gateway in self._gateways[:3]
        ]
        for gateway in self._gateways:
            gateway.write_settings(seeds)
            gateway.start()
        due_ms = self._loop.now_ms() + START_BOUND_MS
        while not self._statuses[200]:
            if self._loop.now_ms() > due_ms:
                raise BrokenPromiseError(self._gateways[0].log_text())
            self._request(repeats=False)
            self._run_for(200)

    def _add_engine(self, name: str, service: str, default) -> None:
        engine = engine_lib.Engine(self._loop, name, default=default)
        self._engines.append(engine)
        self._store.put_now(
            f"servers/{name}", scene_lib.entry(engine.address, service)
        )

    def _note_run(self, call: engine_lib.Call) -> str:
        attempt = call.request.get(b"x-bambooglade-attempt-id").decode()
        self._runs_by_attempt[attempt] += 1
        return attempt

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
        self._note_run(call)
        self._tokens += int(PROMPT.partition(",")[0])
        first = int(call.request.get(b"last-event-id") or 0) + 1
        is_broken = self._random.randrange(15) == 0
        last = (
            self._random.randrange(first, EVENTS + 1) if is_broken else EVENTS
        )
        if first > 1:
            self._tokens -= int(PROMPT.partition(",")[0])
        call.start_stream()
        for number in range(first, last + 1):
            self._tokens += TOKENS_PER_EVENT
            call.event(number)
        if is_broken:
            call.reset()
        else:
            call.end_stream()

    def _request(self, *, repeats: bool = True) -> None:
        path = self._random.choice(["/plain/x", "/stream/x", "/resume/x"])
        attempt = f"s{next(self._numbers)}"
        fields = [
            (b"Host", scene_lib.HOST),
            (b"X-Bambooglade-Attempt-Id", attempt.encode()),
            (b"X-Bambooglade-Deadline-Ms", b"1500"),
            (b"Authorization", b"Token " + scene_lib.KEY),
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
        self._callers[attempt] = (path, caller)
        self._collect()
        if repeats:
            self._loop.call_later(REQUEST_PAUSE_MS, self._request)

    def _collect(self) -> None:
        for attempt, (path, caller) in list(self._callers.items()):
            if caller.is_over:
                del self._callers[attempt]
                self._statuses[caller.status] += 1
                self._check_response(attempt, path, caller)
                caller.close()

    def _check_response(
        self, attempt: str, path: str, caller: scene_lib.Caller
    ) -> None:
        has_run = self._runs_by_attempt[attempt] > 0
        if caller.status in NOT_RUN and has_run and path != "/resume/x":
            raise BrokenPromiseError(f"{attempt} was refused and ran")
        if path != "/resume/x" and self._runs_by_attempt[attempt] > 1:
            raise BrokenPromiseError(f"{attempt} ran more than once")
        if caller.status != 200 or not caller.is_whole:
            return
        expected = b"answer-of-" + attempt.encode()
        if path != "/plain/x":
            expected = b"".join(map(engine_lib.event, range(1, EVENTS + 1)))
        if caller.body != expected:
            raise BrokenPromiseError(f"{attempt} got {caller.body!r}")

    def _check(self) -> None:
        self._collect()
        if self._tokens > PREPAID_TOKENS:
            raise BrokenPromiseError(
                f"{self._tokens} tokens of {PREPAID_TOKENS} were used"
            )
        twice = [a for a, runs in self._runs_by_attempt.items() if runs > 2]
        if twice:
            raise BrokenPromiseError(f"{twice} ran more often than allowed")

    def _fault(self) -> None:
        self._check()
        gateway = self._random.choice(self._gateways)
        match self._random.randrange(6):
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
            case 5:
                self._store.fault = memory_store.Fault.NONE
        for other in self._gateways:
            if not other.is_running:
                other.start()
        self._loop.call_later(FAULT_PAUSE_MS, self._fault)

    def _run_for(self, duration_ms: int) -> None:
        due_ms = self._loop.now_ms() + duration_ms
        while self._loop.now_ms() < due_ms:
            self._loop.run_once(max_wait_ms=20)
            self._collect()

    def __repr__(self) -> str:
        return f"Soak(statuses={dict(self._statuses)})"


def main(seed: int = 0, seconds: int = 20) -> None:
    """Plays one seed and prints what callers got."""
    statuses = Soak(seed).run(seconds * 1_000)
    print(f"seed={seed} seconds={seconds} statuses={dict(statuses)}")


if __name__ == "__main__":
    fire.Fire(main)
