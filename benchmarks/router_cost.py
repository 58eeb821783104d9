"""What does the router add to a request, and how much can one instance do?

Client, router and stand-ins run in one process and share its processor time;
the router's cost is the difference between requests through it and requests
straight to the engine, in the same run.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import time

import msgspec

from bambooglade.transport import client as client_lib
from bambooglade.transport import messages
from bambooglade_standins import local_fleet

ZONE = "zone-a"
REQUESTS = 300
WARM_UP_REQUESTS = 20
TOKENS_PER_REQUEST = 20
BUDGET_TOKENS = 10_000_000
CONCURRENCY = 16
PROMPT = "Review this portfolio of bronze and paper."
_MS_PER_S = 1_000


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a series of requests.

    Attributes:
        first_ms: Times to the first piece of the body, sorted.
        whole_ms: Times to the whole answer, sorted.
        cpu_ms: Processor time per request, of the whole process.
        elapsed_s: Time for all requests.
    """

    first_ms: tuple[float, ...]
    whole_ms: tuple[float, ...]
    cpu_ms: float
    elapsed_s: float


def share(values: tuple[float, ...], percent: int) -> float:
    """Returns the value that `percent` in 100 do not exceed."""
    return values[min(len(values) - 1, len(values) * percent // 100)]


def chat(url: str, *, team_key: str = "", tokens: int) -> messages.Request:
    """Returns a streamed chat request."""
    body = {
        "model": local_fleet.MODEL,
        "messages": [{"role": "user", "content": PROMPT}],
        "max_tokens": tokens,
        "stream": True,
        "request_id": "direct",
    }
    return messages.Request(
        method="POST",
        url=f"{url}/v1/chat/completions",
        headers=(messages.Header("Authorization", f"Bearer {team_key}"),),
        body=msgspec.json.encode(body),
    )


def send(
    client: client_lib.HttpClient, request: messages.Request
) -> tuple[float, float]:
    """Sends a request; returns the times to the first piece and the whole."""
    started = time.perf_counter()
    first = 0.0
    body = b""
    for part in client.stream(request):
        if isinstance(part, bytes):
            first = first or time.perf_counter() - started
            body += part
    whole = time.perf_counter() - started
    if b"[DONE]" not in body:
        raise RuntimeError(f"the answer is not whole: {body[-200:]!r}")
    return first * _MS_PER_S, whole * _MS_PER_S


def series(
    request: messages.Request, *, count: int, concurrency: int
) -> Sample:
    """Sends a request many times."""
    client = client_lib.HttpClient()
    for _ in range(WARM_UP_REQUESTS):
        send(client, request)
    started = time.perf_counter()
    cpu = time.process_time()
    with futures.ThreadPoolExecutor(concurrency) as pool:
        pairs = list(pool.map(lambda _: send(client, request), range(count)))
    elapsed = time.perf_counter() - started
    cpu = time.process_time() - cpu
    client.close()
    return Sample(
        first_ms=tuple(sorted(first for first, _ in pairs)),
        whole_ms=tuple(sorted(whole for _, whole in pairs)),
        cpu_ms=cpu * _MS_PER_S / count,
        elapsed_s=elapsed,
    )


def with_instance(
    measure: Callable[[local_fleet.LocalFleet, str], Iterator[str]],
) -> Iterator[str]:
    """Yields the lines of a measurement on one instance and one engine."""
    with local_fleet.LocalFleet(zones=(ZONE,), token_ms=1.0) as fleet:
        fleet.start_instance(ZONE)
        fleet.wait_until_ready()
        team_key = fleet.create_team("hall-3", tokens=BUDGET_TOKENS)
        yield from measure(fleet, team_key)


def lines() -> Iterator[str]:
    """Yields added latency, throughput and processor time."""
    yield from with_instance(_lines)


def _lines(fleet: local_fleet.LocalFleet, team_key: str) -> Iterator[str]:
    router = chat(
        fleet.instances[0].url, team_key=team_key, tokens=TOKENS_PER_REQUEST
    )
    engine_url = fleet.engine_url(ZONE)
    direct = chat(engine_url, tokens=TOKENS_PER_REQUEST)
    straight = series(direct, count=REQUESTS, concurrency=1)
    routed = series(router, count=REQUESTS, concurrency=1)
    for percent in (50, 95):
        first = share(routed.first_ms, percent)
        whole = share(routed.whole_ms, percent)
        first_direct = share(straight.first_ms, percent)
        whole_direct = share(straight.whole_ms, percent)
        yield (
            f"experiment=router_cost measure=added_latency percent={percent}"
            f" first_direct_ms={first_direct:.2f} first_routed_ms={first:.2f}"
            f" first_added_ms={first - first_direct:.2f}"
            f" whole_direct_ms={whole_direct:.2f} whole_routed_ms={whole:.2f}"
            f" whole_added_ms={whole - whole_direct:.2f}"
        )
    yield (
        "experiment=router_cost measure=processor_time"
        f" tokens_per_request={TOKENS_PER_REQUEST}"
        f" direct_cpu_ms={straight.cpu_ms:.2f}"
        f" routed_cpu_ms={routed.cpu_ms:.2f}"
        f" router_cpu_ms={routed.cpu_ms - straight.cpu_ms:.2f}"
    )
    for name, request in (("direct", direct), ("routed", router)):
        sample = series(request, count=REQUESTS, concurrency=CONCURRENCY)
        rate = REQUESTS / sample.elapsed_s
        yield (
            f"experiment=router_cost measure=throughput path={name}"
            f" concurrency={CONCURRENCY} requests_per_s={rate:.0f}"
            f" tokens_per_s={rate * TOKENS_PER_REQUEST:.0f}"
            f" cpu_ms={sample.cpu_ms:.2f}"
        )
