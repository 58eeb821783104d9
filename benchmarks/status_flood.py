"""Are status checks late behind a flood of long critiques?"""

from __future__ import annotations

from collections.abc import Iterator
from concurrent import futures
import threading
import time

from bambooglade.transport import client as client_lib
from bambooglade.transport import messages
from bambooglade_standins import local_fleet
from benchmarks import router_cost

CHECKS = 200
PAUSE_S = 0.005
CRITIQUES_AT_ONCE = 150
CRITIQUE_TOKENS = 2_000
CRITIQUE_TOKEN_MS = 20.0
_MS_PER_S = 1_000
_OK = 200


def lines() -> Iterator[str]:
    """Yields the status checks' latency with and without the flood."""
    with local_fleet.LocalFleet(
        zones=(router_cost.ZONE,), token_ms=CRITIQUE_TOKEN_MS
    ) as fleet:
        fleet.start_instance(router_cost.ZONE)
        fleet.wait_until_ready()
        team_key = fleet.create_team("hall-3", tokens=router_cost.BUDGET_TOKENS)
        yield _line("calm", _checks(fleet, team_key))
        flood = _Flood(fleet, team_key)
        flood.start()
        yield _line("flood", _checks(fleet, team_key))
        counts = flood.stop()
        yield (
            "experiment=status_flood measure=flood"
            f" at_once={CRITIQUES_AT_ONCE} running={counts[0]}"
            f" refused={counts[1]}"
        )


class _Flood:
    """Callers that keep asking for long critiques."""

    def __init__(self, fleet: local_fleet.LocalFleet, team_key: str) -> None:
        self._request = router_cost.chat(
            fleet.instances[0].url, team_key=team_key, tokens=CRITIQUE_TOKENS
        )
        self._engine = fleet.engine_by_zone[router_cost.ZONE]
        self._client = client_lib.HttpClient()
        self._pool = futures.ThreadPoolExecutor(CRITIQUES_AT_ONCE)
        self._stopped = threading.Event()
        self._refused = 0

    def start(self) -> None:
        """Sends the critiques, and waits until the engine runs some."""
        for _ in range(CRITIQUES_AT_ONCE):
            self._pool.submit(self._ask)
        while not self._engine.batch.running:
            time.sleep(PAUSE_S)

    def stop(self) -> tuple[int, int]:
        """Ends the flood; returns how many ran and how many were refused."""
        running = self._engine.batch.running
        self._stopped.set()
        self._pool.shutdown()
        return running, self._refused

    def _ask(self) -> None:
        while not self._stopped.is_set():
            answer = self._client.stream(
                self._request, cancelled=self._stopped.is_set
            )
            for part in answer:
                if isinstance(part, messages.ResponseHead):
                    self._refused += part.status != _OK
            self._stopped.wait(0.2)


def _checks(fleet: local_fleet.LocalFleet, team_key: str) -> list[float]:
    client = client_lib.HttpClient()
    request = messages.Request(
        method="GET",
        url=f"{fleet.instances[0].url}/services/till/status",
        headers=(messages.Header("Authorization", f"Bearer {team_key}"),),
    )
    times_ms = []
    for _ in range(CHECKS):
        started = time.perf_counter()
        answer = client.request(request).unwrap()
        times_ms.append((time.perf_counter() - started) * _MS_PER_S)
        if answer.head.status != _OK:
            raise RuntimeError(f"a status check was refused: {answer.body!r}")
        time.sleep(PAUSE_S)
    client.close()
    return sorted(times_ms)


def _line(case: str, times_ms: list[float]) -> str:
    times = tuple(times_ms)
    return (
        f"experiment=status_flood case={case} checks={len(times)}"
        f" p50_ms={router_cost.share(times, 50):.2f}"
        f" p95_ms={router_cost.share(times, 95):.2f}"
        f" max_ms={times[-1]:.2f}"
    )
