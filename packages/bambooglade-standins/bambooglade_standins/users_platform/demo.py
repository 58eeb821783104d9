"""Demonstration of gateways on the emulated platform, with example requests.

Store, engines and callers run in this process, and two gateways in separate
processes. One gateway is killed between requests.
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
from bambooglade_standins.users_platform import platform_harness as harness_lib
from bambooglade_standins.users_platform import store_server

START_BOUND_MS = 15_000
CALL_BOUND_MS = 4_000
PREPAID_TOKENS = 2_000
PROMPT = "300,20"
EVENTS = 5


class Demonstration:
    """Starts the platform, sends requests and prints the responses.

    Attributes:
        failed_count: Number of responses that differ from the expectation.
    """

    def __init__(self) -> None:
        self._loop = loop_lib.EventLoop(clock_lib.Clock())
        self._store = memory_store.MemoryStore(self._loop)
        self._server = store_server.StoreServer(self._loop, self._store)
        self._engines: list[engine_lib.Engine] = []
        self._attempt_ids = itertools.count(1)
        self._gateways = [
            gateway_process.GatewayProcess(f"edge-{n}", n, self._server.address)
            for n in ("a", "b")
        ]
        self.failed_count = 0

    def run(self) -> None:
        """Runs the demonstration."""
        try:
            self._start()
            self._show_call("call", "/plain/fee", expected=200)
            self._show_call("status", "/status/fee", expected=200)
            self._show_call(
                "stream", "/stream/review", prompt=PROMPT, expected=200
            )
            print("-- killing edge-a")
            self._gateways[0].kill()
            self._show_call(
                "stream", "/stream/review", prompt=PROMPT, expected=200
            )
            self._show_call(
                "too large", "/stream/review", prompt="9000,20", expected=402
            )
            self._show_call(
                "unknown key", "/plain/fee", key=b"none", expected=401
            )
            self._show_log()
        finally:
            for gateway in self._gateways:
                gateway.kill()
            self._server.close()
            for engine in self._engines:
                engine.close()
            self._loop.close()

    def _start(self) -> None:
        self._store.put_now(
            "op/config", harness_lib.configuration(prepaid=PREPAID_TOKENS)
        )
        for name, service, default in (
            ("portal-1", "portal", engine_lib.respond_with_name),
            ("jury-1", "jury", engine_lib.stream_events(EVENTS)),
            ("jury-2", "jury", engine_lib.stream_events(EVENTS)),
        ):
            engine = engine_lib.Engine(self._loop, name, default=default)
            self._engines.append(engine)
            self._store.put_now(
                f"servers/{name}",
                harness_lib.engine_registration(engine.address, service),
            )
        seeds = [
            settings_lib.format_address(gateway.addresses[2])
            for gateway in self._gateways
        ]
        for gateway in self._gateways:
            gateway.write_settings(seeds)
            gateway.start()
        due_ms = self._loop.now_ms() + START_BOUND_MS
        unready_gateways = list(self._gateways)
        while unready_gateways and self._loop.now_ms() < due_ms:
            self._run_for(100)
            if self._call(unready_gateways[0], "/status/ready").status == 200:
                unready_gateways.pop(0)

    def _call(
        self,
        gateway: gateway_process.GatewayProcess,
        path: str,
        *,
        prompt: str | None = None,
        key: bytes = harness_lib.KEY,
    ) -> harness_lib.Caller:
        fields = [
            (b"Host", harness_lib.HOST),
            (b"X-Bambooglade-Attempt-Id", b"demo-%d" % next(self._attempt_ids)),
            (b"X-Bambooglade-Deadline-Ms", b"%d" % CALL_BOUND_MS),
            (b"Authorization", b"Token " + key),
        ]
        if prompt is not None:
            fields.append((b"X-Bambooglade-Token-Usage", prompt.encode()))
        caller = harness_lib.Caller(self._loop, gateway.addresses[0])
        caller.send(
            messages.encode_request(
                method=b"POST", target=path.encode(), fields=fields, body=b"x"
            )
        )
        due_ms = self._loop.now_ms() + CALL_BOUND_MS
        while not caller.is_finished and self._loop.now_ms() < due_ms:
            self._loop.run_once(max_wait_ms=20)
        return caller

    def _show_call(
        self, title: str, path: str, *, expected: int, **call
    ) -> None:
        gateway = next(g for g in self._gateways if g.is_running)
        caller = self._call(gateway, path, **call)
        is_expected = caller.status == expected and caller.is_complete
        self.failed_count += not is_expected
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
        return f"Demonstration(failed={self.failed_count})"


def main() -> int:
    """Runs the demonstration; returns the number of unexpected responses."""
    demonstration = Demonstration()
    demonstration.run()
    return demonstration.failed_count


if __name__ == "__main__":
    sys.exit(main())
