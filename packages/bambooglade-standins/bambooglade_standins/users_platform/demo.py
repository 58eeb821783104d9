"""Shows gateways on the emulated users' platform, with example requests.

Store, engines and callers run in this process; two gateways are processes of
their own. One is killed while requests go on.
"""

from __future__ import annotations

import itertools
import sys

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import settings as settings_lib
from bambooglade.http1 import messages
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import gateway_process
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import scene as scene_lib
from bambooglade_standins.users_platform import store_server

START_BOUND_MS = 15_000
CALL_BOUND_MS = 4_000
PREPAID_TOKENS = 2_000
PROMPT = "300,20"
EVENTS = 5


class Demonstration:
    """Starts everything, sends requests and prints what came back.

    Attributes:
        failed: Number of answers that are not as expected.
    """

    def __init__(self) -> None:
        self._loop = loop_lib.EventLoop(clock_lib.Clock())
        self._store = memory_store.MemoryStore(self._loop)
        self._server = store_server.StoreServer(self._loop, self._store)
        self._engines: list[engine_lib.Engine] = []
        self._attempts = itertools.count(1)
        self._gateways = [
            gateway_process.GatewayProcess(f"edge-{n}", n, self._server.address)
            for n in ("a", "b")
        ]
        self.failed = 0

    def run(self) -> None:
        """Plays the demonstration."""
        try:
            self._start()
            self._show("call", "/plain/fee", expected=200)
            self._show("status", "/status/fee", expected=200)
            self._show("stream", "/stream/review", prompt=PROMPT, expected=200)
            print("-- killing edge-a")
            self._gateways[0].end()
            self._show("stream", "/stream/review", prompt=PROMPT, expected=200)
            self._show(
                "too large", "/stream/review", prompt="9000,20", expected=402
            )
            self._show("unknown key", "/plain/fee", key=b"none", expected=401)
            self._show_log()
        finally:
            for gateway in self._gateways:
                gateway.end()
            self._server.close()
            for engine in self._engines:
                engine.close()
            self._loop.close()

    def _start(self) -> None:
        self._store.put_now(
            "op/config", scene_lib.configuration(prepaid=PREPAID_TOKENS)
        )
        for name, service, default in (
            ("portal-1", "portal", engine_lib.answer_plainly),
            ("jury-1", "jury", engine_lib.stream_events(EVENTS)),
            ("jury-2", "jury", engine_lib.stream_events(EVENTS)),
        ):
            engine = engine_lib.Engine(self._loop, name, default=default)
            self._engines.append(engine)
            self._store.put_now(
                f"servers/{name}", scene_lib.entry(engine.address, service)
            )
        seeds = [
            settings_lib.format_address(gateway.addresses[2])
            for gateway in self._gateways
        ]
        for gateway in self._gateways:
            gateway.write_settings(seeds)
            gateway.start()
        due_ms = self._loop.now_ms() + START_BOUND_MS
        waiting = list(self._gateways)
        while waiting and self._loop.now_ms() < due_ms:
            self._run_for(100)
            if self._call(waiting[0], "/status/ready").status == 200:
                waiting.pop(0)

    def _call(
        self,
        gateway: gateway_process.GatewayProcess,
        path: str,
        *,
        prompt: str | None = None,
        key: bytes = scene_lib.KEY,
    ) -> scene_lib.Caller:
        fields = [
            (b"Host", scene_lib.HOST),
            (b"X-Bambooglade-Attempt-Id", b"demo-%d" % next(self._attempts)),
            (b"X-Bambooglade-Deadline-Ms", b"%d" % CALL_BOUND_MS),
            (b"Authorization", b"Token " + key),
        ]
        if prompt is not None:
            fields.append((b"X-Bambooglade-Token-Usage", prompt.encode()))
        caller = scene_lib.Caller(self._loop, gateway.addresses[0])
        caller.send(
            messages.encode_request(
                method=b"POST", target=path.encode(), fields=fields, body=b"x"
            )
        )
        due_ms = self._loop.now_ms() + CALL_BOUND_MS
        while not caller.is_over and self._loop.now_ms() < due_ms:
            self._loop.run_once(max_wait_ms=20)
        return caller

    def _show(self, title: str, path: str, *, expected: int, **call) -> None:
        gateway = next(g for g in self._gateways if g.is_running)
        caller = self._call(gateway, path, **call)
        is_expected = caller.status == expected and caller.is_whole
        self.failed += not is_expected
        body = caller.body.decode().replace("\n", " ")[:60]
        note = "" if is_expected else f" (expected {expected})"
        print(f"{title:<12} {caller.status}{note} by {gateway.name}: {body}")

    def _show_log(self) -> None:
        print("-- last lines of edge-b")
        for line in self._gateways[1].log_text().splitlines()[-4:]:
            print(line)

    def _run_for(self, duration_ms: int) -> None:
        due_ms = self._loop.now_ms() + duration_ms
        while self._loop.now_ms() < due_ms:
            self._loop.run_once(max_wait_ms=20)

    def __repr__(self) -> str:
        return f"Demonstration(failed={self.failed})"


def main() -> int:
    """Plays the demonstration; returns the number of unexpected answers."""
    demonstration = Demonstration()
    demonstration.run()
    return demonstration.failed


if __name__ == "__main__":
    sys.exit(main())
