"""Does the routing policy beat round robin and least outstanding requests?

One slow engine, stale load reports, and shared prompt prefixes, on virtual
time, with the same arrivals for each policy. Deployments are those of today:
five engines in four zones, nine entry instances.
"""

from __future__ import annotations

from collections.abc import Iterator
import functools
import heapq
import itertools
import random

import msgspec

from bambooglade.core import clock as clocks
from bambooglade.targets import affinity
from benchmarks import engine_model
from benchmarks import routing_policies

SEEDS = (1, 2, 3)
ENGINES = 5
ZONES = 4
ROUTERS = 9
REQUESTS = 4_000
WARM_UP_REQUESTS = 400
POLL_MS = 1_000
SLOTS = 8
TOKEN_MS = 10.0
TOKENS = 60
BLOCK_MS = 4.0
PREFIX_BLOCKS = 30
TAIL_BLOCKS = 2
CACHE_BLOCKS = 700


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """What the engines and the prompts are like.

    Attributes:
        utilization: Load relative to the capacity of engines without caches.
        slow_factor: Slowness of the first engine.
        report_lag_ms: Age of the load reports.
        prefixes: Different prompt prefixes; 0 makes each prompt its own.
    """

    name: str
    utilization: float = 0.7
    slow_factor: float = 1.0
    report_lag_ms: int = 200
    prefixes: int = 0


CASES = (
    Case(name="calm"),
    Case(name="slow_engine", slow_factor=4.0, utilization=0.6),
    Case(name="stale_load", report_lag_ms=3_000, utilization=0.85),
    Case(name="shared_prefixes", prefixes=60, utilization=0.85),
    Case(
        name="all_together",
        prefixes=60,
        slow_factor=4.0,
        report_lag_ms=3_000,
        utilization=0.6,
    ),
)


class Outcome(msgspec.Struct, kw_only=True):
    """What was measured of one policy."""

    first_token_ms: list[float] = msgspec.field(default_factory=list)
    cached_blocks: int = 0
    blocks: int = 0


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A request and when it comes."""

    time_ms: float
    work: engine_model.Work


@functools.cache
def arrivals_of(case: Case, seed: int) -> tuple[Arrival, ...]:
    """Returns the arrivals of a case, the same for each policy."""
    source = random.Random(seed)
    service_ms = (PREFIX_BLOCKS + TAIL_BLOCKS) * BLOCK_MS + TOKENS * TOKEN_MS
    capacity = ENGINES - 1 + 1 / case.slow_factor
    rate = case.utilization * capacity * SLOTS / service_ms
    arrivals = []
    time_ms = 0.0
    for number in range(REQUESTS):
        time_ms += source.expovariate(rate)
        work = _work(case, number, source)
        arrivals.append(Arrival(time_ms=time_ms, work=work))
    return tuple(arrivals)


def _work(case: Case, number: int, source: random.Random) -> engine_model.Work:
    group = number
    if case.prefixes:
        # A few prefixes are far more common than the rest.
        group = int(case.prefixes * source.random() ** 2)
    prefix = f"prefix {group} ".ljust(PREFIX_BLOCKS * affinity.BLOCK_CHARS, "x")
    tail = f"tail {number} ".ljust(TAIL_BLOCKS * affinity.BLOCK_CHARS, "y")
    prompt = prefix + tail
    return engine_model.Work(
        blocks=tuple(affinity.block_hashes(prompt)),
        tokens=source.randint(TOKENS // 2, TOKENS * 3 // 2),
    )


class Trial:
    """One policy, one case, one seed."""

    def __init__(self, case: Case, policy_name: str, seed: int) -> None:
        self._case = case
        self._random = random.Random(seed)
        self._arrivals = arrivals_of(case, seed)
        self._clock = clocks.ManualClock()
        zone_by_target = {f"e{n}": f"zone-{n % ZONES}" for n in range(ENGINES)}
        table = routing_policies.table_of(zone_by_target)
        policy = routing_policies.POLICY_BY_NAME[policy_name]
        self._routers = [
            policy(table, f"zone-{n % ZONES}", self._clock, f"router-{n}")
            for n in range(ROUTERS)
        ]
        self._engine_by_id = {
            target_id: engine_model.EngineModel(
                slots=SLOTS,
                token_ms=TOKEN_MS,
                block_ms=BLOCK_MS,
                cache_blocks=CACHE_BLOCKS,
                slow_factor=case.slow_factor if target_id == "e0" else 1.0,
                seed=seed,
            )
            for target_id in zone_by_target
        }
        self._numbers = itertools.count()
        self._events: list = []
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Runs all requests."""
        for number, arrival in enumerate(self._arrivals):
            self._at(arrival.time_ms, self._arrive, number, arrival.work)
        for router in self._routers:
            first_ms = self._random.uniform(0, POLL_MS)
            self._at(first_ms, self._poll, router)
        while self._events:
            time_ms, _, action, arguments = heapq.heappop(self._events)
            delta_ms = int(time_ms) - self._clock.now_ms()
            self._clock.advance(delta_ms=max(0, delta_ms))
            action(*arguments)
        return self.outcome

    def _arrive(self, number: int, work: engine_model.Work) -> None:
        router = self._random.choice(self._routers)
        target_id = router.choose(work.blocks)
        attempt = str(number)
        router.started(target_id, attempt, work.blocks)
        now_ms = self._clock.now_ms()
        done = self._engine_by_id[target_id].take(work, now_ms)
        unit_ms = (done.end_ms - now_ms) / work.tokens
        self._at(done.end_ms, router.ended, target_id, attempt, unit_ms)
        if number >= WARM_UP_REQUESTS:
            self.outcome.first_token_ms.append(done.first_token_ms - now_ms)
            self.outcome.cached_blocks += done.cached_blocks
            self.outcome.blocks += len(work.blocks)

    def _poll(self, router: routing_policies.Policy) -> None:
        now_ms = self._clock.now_ms()
        for target_id, engine in self._engine_by_id.items():
            events = ()
            if router.wants_cache_events:
                events = engine.cache.events(
                    after=router.last_seq(target_id), now_ms=now_ms
                ).events
            report = engine.report(now_ms, lag_ms=self._case.report_lag_ms)
            router.polled(target_id, report, events)
        if now_ms < self._arrivals[-1].time_ms:
            self._at(now_ms + POLL_MS, self._poll, router)

    def _at(self, time_ms: float, action, *arguments) -> None:
        entry = (time_ms, next(self._numbers), action, arguments)
        heapq.heappush(self._events, entry)


def lines() -> Iterator[str]:
    """Yields one line a case and policy, over all seeds."""
    for case in CASES:
        for name in routing_policies.POLICY_BY_NAME:
            outcomes = [Trial(case, name, seed).run() for seed in SEEDS]
            yield _line(case, name, outcomes)


def _line(case: Case, name: str, outcomes: list[Outcome]) -> str:
    times = sorted(t for o in outcomes for t in o.first_token_ms)
    hits = sum(o.cached_blocks for o in outcomes)
    blocks = sum(o.blocks for o in outcomes)
    return (
        f"experiment=routing_policy case={case.name} policy={name}"
        f" requests={len(times)}"
        f" first_token_p50_ms={times[len(times) // 2]:.0f}"
        f" first_token_p95_ms={times[len(times) * 95 // 100]:.0f}"
        f" cache_hit_share={hits / blocks:.3f}"
    )
