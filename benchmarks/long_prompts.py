"""Do short prompts meet their objective while long ones are processed?

Many instances with views of their own send long, medium and short prompts to
engines that batch, process prompts in order of arrival and report their load in
responses only, on virtual time, with the same arrivals for each policy. The
rates of the engines differ between deployments, so that a policy has to learn
them.
"""

from __future__ import annotations

import abc
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import functools
import heapq
import itertools
import random

import msgspec

from bambooglade.core import hashing
from bambooglade.discovery import targets as targets_lib
from bambooglade.gateway import metadata
from bambooglade.gateway import target_selector

SEED = 1
DURATION_S = 40
WARM_UP_MS = 20_000
ROUND_TRIP_MS = 2.0
ZONES = 3
STEP_MS = 4.0
STEP_MS_PER_RUNNING = 0.05
TOKENS_PER_EVENT = 4
CHUNK_TOKENS = 1_024
SLOTS = 64
CACHE_TOKENS = 120_000
REQUESTS_PER_ENGINE_S = 14
SPEED_PERIOD_MS = 200
MAX_LONG_TOKENS = 60_000


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of request.

    Attributes:
        name: Name for the report.
        share: Its share of all requests.
        own_tokens: Mean of the tokens that no other request shares.
        spread: Spread of their logarithm.
        shared_tokens: Tokens of the shared part.
        parts_per_engine: Number of different shared parts per engine.
        output_tokens: Mean number of generated tokens.
        target_latency_ms: Objective for the first event.
    """

    name: str
    share: float
    own_tokens: float
    spread: float
    shared_tokens: int
    parts_per_engine: int
    output_tokens: int
    target_latency_ms: int


KINDS = (
    Kind(
        name="short",
        share=0.60,
        own_tokens=600,
        spread=0.3,
        shared_tokens=200,
        parts_per_engine=10,
        output_tokens=60,
        target_latency_ms=250,
    ),
    Kind(
        name="medium",
        share=0.27,
        own_tokens=1_800,
        spread=0.4,
        shared_tokens=570,
        parts_per_engine=5,
        output_tokens=80,
        target_latency_ms=500,
    ),
    Kind(
        name="long",
        share=0.13,
        own_tokens=6_600,
        spread=0.7,
        shared_tokens=5_400,
        parts_per_engine=3,
        output_tokens=120,
        target_latency_ms=2_000,
    ),
)


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a fleet and its engines.

    Attributes:
        instances: Number of instances.
        engines: Number of engines.
        tokens_per_ms: Tokens of prompts that an engine processes per ms.
        load: Rate of requests relative to `REQUESTS_PER_ENGINE_S` at 57 tokens
            per ms.
        reports_speed: Whether engines report how slow they are at the moment.
    """

    instances: int
    engines: int
    tokens_per_ms: float = 57.0
    load: float = 1.0
    reports_speed: bool = True


SIZES = (
    Size(instances=6, engines=4),
    Size(instances=30, engines=11),
    Size(instances=71, engines=20),
    Size(instances=125, engines=28),
    Size(instances=195, engines=44),
    Size(instances=360, engines=60),
    Size(instances=71, engines=20, tokens_per_ms=38.0),
    Size(instances=71, engines=20, tokens_per_ms=157.0, load=0.6),
)


class Arrival(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """A request, when it comes and at which instance."""

    number: int
    time_ms: float
    instance: int
    kind: Kind
    shared_part: str
    own_tokens: int
    output_tokens: int

    @functools.cached_property
    def prompt(self) -> metadata.Prompt:
        """The prompt as the caller declares it."""
        return metadata.Prompt(
            input_tokens=self.kind.shared_tokens + self.own_tokens,
            max_output_tokens=4 * self.output_tokens,
            parts=(
                metadata.PromptPart(self.shared_part, self.kind.shared_tokens),
                metadata.PromptPart(f"own-{self.number}", self.own_tokens),
            ),
        )


@functools.cache
def arrivals_of(
    size: Size, seed: int, duration_s: int = DURATION_S
) -> tuple[Arrival, ...]:
    """Returns the arrivals, the same for each policy."""
    source = random.Random(seed)
    rate_per_ms = (
        size.engines
        * REQUESTS_PER_ENGINE_S
        * size.load
        * size.tokens_per_ms
        / 57.0
        / 1_000
    )
    arrivals = []
    time_ms = 0.0
    weights = [kind.share for kind in KINDS]
    while time_ms < duration_s * 1_000:
        time_ms += source.expovariate(rate_per_ms)
        (kind,) = source.choices(KINDS, weights)
        # A few shared parts are far more common than the rest.
        part = int(
            kind.parts_per_engine * size.engines * source.random() ** 1.5
        )
        own = kind.own_tokens * source.lognormvariate(
            -(kind.spread**2) / 2, kind.spread
        )
        arrivals.append(
            Arrival(
                number=len(arrivals),
                time_ms=time_ms,
                instance=source.randrange(size.instances),
                kind=kind,
                shared_part=f"{kind.name}-{part}",
                own_tokens=max(50, int(min(own, MAX_LONG_TOKENS))),
                output_tokens=max(4, int(source.gauss(1, 0.3) * 60)),
            )
        )
    return tuple(arrivals)


class Engine:
    """An engine that processes chunks of prompts in order between its steps.

    The first event of a request comes when the prompts ahead of it and its own
    have been processed, and some tokens have been generated.

    Args:
        target: Its registration.
        size: Size of the fleet.
        source: Random numbers for its speed.

    Attributes:
        prompts_ms: Until when the prompts that it holds are processed.
    """

    def __init__(
        self,
        target: targets_lib.RegisteredTarget,
        size: Size,
        source: random.Random,
    ) -> None:
        self.target = target
        self._size = size
        self._source = source
        self.prompts_ms = 0.0
        self._starts: list[float] = []
        self._ends: list[float] = []
        self._cached_by_part: dict[str, int] = {}
        self._slowdowns: list[float] = []
        self._machine = source.choice((0.9, 1.0, 1.0, 1.15))

    def slowdown(self, now_ms: float) -> float:
        """Returns how long work takes at the moment; 1.0 is normal."""
        index = int(now_ms / SPEED_PERIOD_MS)
        while len(self._slowdowns) <= index:
            self._slowdowns.append(self._source.uniform(0.8, 1.3))
        return self._machine * self._slowdowns[index]

    def take(self, arrival: Arrival, now_ms: float) -> tuple[float, float]:
        """Returns when the first event and the last one of a request come."""
        self._advance(now_ms)
        slow = self.slowdown(now_ms)
        step_ms = slow * (STEP_MS + STEP_MS_PER_RUNNING * len(self._ends))
        tokens = arrival.own_tokens
        if arrival.shared_part in self._cached_by_part:
            self._cached_by_part.pop(arrival.shared_part)
        else:
            tokens += arrival.kind.shared_tokens
        self._cached_by_part[arrival.shared_part] = arrival.kind.shared_tokens
        while sum(self._cached_by_part.values()) > CACHE_TOKENS:
            del self._cached_by_part[next(iter(self._cached_by_part))]
        chunks = tokens / CHUNK_TOKENS
        prefill_ms = slow * tokens / self._size.tokens_per_ms + chunks * step_ms
        start_ms = max(now_ms, self.prompts_ms)
        if len(self._ends) >= SLOTS:
            freed = heapq.nsmallest(len(self._ends) - SLOTS + 1, self._ends)
            start_ms = max(start_ms, freed[-1])
        self.prompts_ms = start_ms + prefill_ms
        first_ms = self.prompts_ms + TOKENS_PER_EVENT * step_ms
        end_ms = first_ms + arrival.output_tokens * step_ms * 1.8
        heapq.heappush(self._ends, end_ms)
        return first_ms, end_ms

    def report(self, now_ms: float) -> metadata.ReportedLoad:
        """Returns the load as its responses report it."""
        self._advance(now_ms)
        held = len(self._ends)
        return metadata.ReportedLoad(
            running=min(held, SLOTS),
            waiting=max(0, held - SLOTS),
            slots=SLOTS,
            slowdown=(
                self.slowdown(now_ms) if self._size.reports_speed else None
            ),
        )

    def _advance(self, now_ms: float) -> None:
        while self._ends and self._ends[0] <= now_ms:
            heapq.heappop(self._ends)


class Chosen(msgspec.Struct, frozen=True, kw_only=True):
    """A chosen target, with what its policy predicted if it predicts."""

    target_id: str
    predicted_ms: float | None = None
    choice: target_selector.TargetChoice | None = None


class Policy(abc.ABC):
    """What one instance knows and decides."""

    def __init__(
        self,
        engine_by_id: dict[str, Engine],
        number: int,
        source: random.Random,
    ) -> None:
        self._engine_by_id = engine_by_id
        self._targets = [e.target for e in engine_by_id.values()]
        self._number = number
        self._random = source

    @abc.abstractmethod
    def choose(self, arrival: Arrival, now_ms: int) -> Chosen:
        """Returns the target of a request, and records that it is sent."""

    def responded(
        self,
        arrival: Arrival,
        chosen: Chosen,
        load: metadata.ReportedLoad,
        now_ms: int,
    ) -> None:
        """Records the first event and the load that came with it."""
        del arrival, chosen, load, now_ms

    def ended(self, arrival: Arrival, chosen: Chosen) -> None:
        """Records the end of a response."""
        del arrival, chosen


class Omniscient(Policy):
    """One router that sees the prompts and the caches of all engines."""

    def choose(self, arrival: Arrival, now_ms: int) -> Chosen:
        """Returns the engine that processes the prompt first."""

        def end_ms(engine: Engine) -> float:
            is_cached = arrival.shared_part in engine._cached_by_part
            tokens = arrival.prompt.input_tokens
            tokens -= arrival.kind.shared_tokens if is_cached else 0
            wait_ms = max(0.0, engine.prompts_ms - now_ms)
            # What is not cached takes capacity from all others as well.
            return wait_ms + 2 * tokens / engine._size.tokens_per_ms

        best = min(self._engine_by_id.values(), key=end_ms)
        return Chosen(target_id=best.target.target_id)


class RoundRobin(Policy):
    """Each engine in turn."""

    def choose(self, arrival: Arrival, now_ms: int) -> Chosen:
        """Returns the next engine."""
        self._number += 1
        target = self._targets[self._number % len(self._targets)]
        return Chosen(target_id=target.target_id)


class TwoChoices(Policy):
    """The one of two random engines that last reported the fewest requests."""

    def __init__(self, engine_by_id, number, source) -> None:
        super().__init__(engine_by_id, number, source)
        self._held_by_id = dict.fromkeys(engine_by_id, 0)

    def choose(self, arrival: Arrival, now_ms: int) -> Chosen:
        """Returns the one with the lower report."""
        pair = self._random.sample(self._targets, 2)
        best = min(pair, key=lambda t: self._held_by_id[t.target_id])
        return Chosen(target_id=best.target_id)

    def responded(self, arrival, chosen, load, now_ms) -> None:
        """Takes the report as it is."""
        self._held_by_id[chosen.target_id] = load.running + load.waiting


class DataSheet(Policy):
    """The rule before rates were learned, with figures of one data sheet.

    The first engine within half of the objective, in the order of the shared
    part, gets a request, and otherwise the one with the lowest prediction.
    """

    TOKENS_PER_MS = 57.0
    MS_PER_RUNNING = 0.5
    MS_PER_WAITING = 60.0

    def __init__(self, engine_by_id, number, source) -> None:
        super().__init__(engine_by_id, number, source)
        self._pending_by_id: dict[str, dict[int, float]] = {
            target_id: {} for target_id in engine_by_id
        }
        self._own_by_id = dict.fromkeys(engine_by_id, 0)
        self._load_by_id: dict[str, tuple[metadata.ReportedLoad, int]] = {}
        self._sent_by_id = dict.fromkeys(engine_by_id, 0)
        self._cached: set[tuple[str, str]] = set()

    def choose(self, arrival: Arrival, now_ms: int) -> Chosen:
        """Returns the first engine in time, or the fastest."""
        order = hashing.rendezvous(arrival.shared_part, self._engine_by_id)
        slower = []
        for rank, target_id in enumerate(order):
            predicted_ms = self._predict(arrival, target_id, rank, now_ms)
            if predicted_ms <= arrival.kind.target_latency_ms / 2:
                break
            slower.append((predicted_ms, target_id))
        else:
            predicted_ms, target_id = min(slower)
        self._pending_by_id[target_id][arrival.number] = (
            self._uncached(arrival, target_id, target_id == order[0])
            / self.TOKENS_PER_MS
        )
        self._own_by_id[target_id] += 1
        self._sent_by_id[target_id] += 1
        self._cached.add((target_id, arrival.shared_part))
        return Chosen(target_id=target_id, predicted_ms=predicted_ms)

    def _uncached(
        self, arrival: Arrival, target_id: str, is_first: bool
    ) -> int:
        is_cached = is_first or (target_id, arrival.shared_part) in self._cached
        cached = arrival.kind.shared_tokens if is_cached else 0
        return arrival.prompt.input_tokens - cached

    def _predict(
        self, arrival: Arrival, target_id: str, rank: int, now_ms: int
    ) -> float:
        uncached = self._uncached(arrival, target_id, rank == 0)
        load, at_ms = self._load_by_id.get(target_id, (None, 0))
        running, waiting = self._own_by_id[target_id], 0
        if load is not None and now_ms - at_ms <= 2_000:
            running = max(running, load.running + self._sent_by_id[target_id])
            waiting = load.waiting
        return (
            uncached / self.TOKENS_PER_MS
            + sum(self._pending_by_id[target_id].values())
            + running * self.MS_PER_RUNNING
            + (waiting + max(0, running - SLOTS)) * self.MS_PER_WAITING
        )

    def responded(self, arrival, chosen, load, now_ms) -> None:
        """Takes the report, and that the prompt has been processed."""
        self._pending_by_id[chosen.target_id].pop(arrival.number, None)
        self._load_by_id[chosen.target_id] = load, now_ms
        self._sent_by_id[chosen.target_id] = 0

    def ended(self, arrival, chosen) -> None:
        """Counts the request as ended."""
        self._own_by_id[chosen.target_id] -= 1


class Product(Policy):
    """The target selector of the gateway."""

    def __init__(self, engine_by_id, number, source) -> None:
        super().__init__(engine_by_id, number, source)
        self._selector = new_selector(f"z{number % ZONES}", source)

    def choose(self, arrival: Arrival, now_ms: int) -> Chosen:
        """Returns what the selector chooses."""
        choice = self._selector.choose(
            self._targets,
            prompt=arrival.prompt,
            excluded=frozenset(),
            now_ms=now_ms,
            target_latency_ms=arrival.kind.target_latency_ms,
        )
        target_id = choice.target.target_id
        self._selector.record_dispatch(
            target_id,
            str(arrival.number),
            choice=choice,
            prompt=arrival.prompt,
            now_ms=now_ms,
        )
        return Chosen(
            target_id=target_id,
            predicted_ms=choice.predicted_ms,
            choice=choice,
        )

    def responded(self, arrival, chosen, load, now_ms) -> None:
        """Records load and first event, as the dispatcher does."""
        self._selector.record_load(chosen.target_id, load, now_ms=now_ms)
        self._selector.record_first_byte(
            chosen.target_id,
            str(arrival.number),
            took_ms=now_ms - int(arrival.time_ms),
            predicted_ms=chosen.predicted_ms,
            now_ms=now_ms,
        )

    def ended(self, arrival, chosen) -> None:
        """Records the end."""
        self._selector.record_end(chosen.target_id, str(arrival.number))


def new_selector(
    zone: str, source: random.Random
) -> target_selector.TargetSelector:
    """Returns the selector of one instance."""
    return target_selector.TargetSelector(zone, random_source=source)


POLICY_BY_NAME: dict[str, type[Policy]] = {
    "sees_all": Omniscient,
    "data_sheet": DataSheet,
    "round_robin": RoundRobin,
    "two_choices": TwoChoices,
    "product": Product,
}


class Outcome:
    """First-event times and prediction errors of one policy.

    Attributes:
        times_ms_by_kind: Times to the first event after the warm-up.
        errors_by_kind: Prediction errors relative to the time.
    """

    def __init__(self) -> None:
        self.times_ms_by_kind: dict[Kind, list[float]] = {k: [] for k in KINDS}
        self.errors_by_kind: dict[Kind, list[float]] = {k: [] for k in KINDS}

    def in_time_share(self, kind: Kind) -> float:
        """Returns the share of first events within the objective."""
        times = self.times_ms_by_kind[kind]
        return sum(t <= kind.target_latency_ms for t in times) / len(times)

    def time_ms(self, kind: Kind, share: float) -> float:
        """Returns a quantile of the time to the first event."""
        return _quantile(self.times_ms_by_kind[kind], share)

    def error(self, kind: Kind, share: float) -> float | None:
        """Returns a quantile of the error; None if nothing is predicted."""
        errors = self.errors_by_kind[kind]
        return _quantile(errors, share) if errors else None


def _quantile(values: Sequence[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def run(
    size: Size, policy_name: str, *, seed: int, duration_s: int = DURATION_S
) -> Outcome:
    """Runs all requests of a fleet with one policy."""
    source = random.Random(seed + 1)
    engine_by_id = {}
    for number in range(size.engines):
        target = targets_lib.RegisteredTarget(
            target_id=f"e{number}",
            service="model",
            address=("10.0.0.1", 1 + number),
            availability_zone=f"z{number % ZONES}",
            slots=SLOTS,
        )
        engine_by_id[target.target_id] = Engine(
            target, size, random.Random(seed * 1_000 + number)
        )
    new_policy = POLICY_BY_NAME[policy_name]
    policies = [
        new_policy(engine_by_id, number, random.Random(source.random()))
        for number in range(size.instances)
    ]
    outcome = Outcome()
    numbers = itertools.count()
    events: list[tuple[float, int, Callable[[float], None]]] = []

    def at(time_ms: float, callback: Callable[[float], None]) -> None:
        heapq.heappush(events, (time_ms, next(numbers), callback))

    def arrive(arrival: Arrival, now_ms: float) -> None:
        policy = policies[arrival.instance]
        chosen = policy.choose(arrival, int(now_ms))
        engine = engine_by_id[chosen.target_id]
        first_ms, end_ms = engine.take(arrival, now_ms + ROUND_TRIP_MS / 2)
        first_ms += ROUND_TRIP_MS / 2
        if now_ms >= WARM_UP_MS:
            _record(outcome, arrival.kind, chosen, first_ms - now_ms)
        at(first_ms, functools.partial(respond, arrival, chosen, policy))
        at(end_ms, lambda _: policy.ended(arrival, chosen))

    def respond(
        arrival: Arrival, chosen: Chosen, policy: Policy, now_ms: float
    ) -> None:
        load = engine_by_id[chosen.target_id].report(now_ms - ROUND_TRIP_MS / 2)
        policy.responded(arrival, chosen, load, round(now_ms))

    for arrival in arrivals_of(size, seed, duration_s):
        at(arrival.time_ms, functools.partial(arrive, arrival))
    while events:
        time_ms, _, callback = heapq.heappop(events)
        callback(time_ms)
    return outcome


def _record(
    outcome: Outcome, kind: Kind, chosen: Chosen, took_ms: float
) -> None:
    outcome.times_ms_by_kind[kind].append(took_ms)
    if chosen.predicted_ms is not None:
        error = abs(chosen.predicted_ms - took_ms) / took_ms
        outcome.errors_by_kind[kind].append(error)


def lines(
    sizes: Sequence[Size] = SIZES, names: Sequence[str] = tuple(POLICY_BY_NAME)
) -> Iterator[str]:
    """Yields one line a size, policy and kind."""
    for size in sizes:
        for name in names:
            outcome = run(size, name, seed=SEED)
            for kind in KINDS:
                yield _line(size, name, kind, outcome)


def _line(size: Size, name: str, kind: Kind, outcome: Outcome) -> str:
    error_p50 = outcome.error(kind, 0.5)
    error_p95 = outcome.error(kind, 0.95)
    errors = (
        ""
        if error_p50 is None
        else f" error_p50={error_p50:.2f} error_p95={error_p95:.2f}"
    )
    return (
        f"experiment=long_prompts instances={size.instances}"
        f" engines={size.engines} tokens_per_ms={size.tokens_per_ms:.0f}"
        f" policy={name} kind={kind.name}"
        f" requests={len(outcome.times_ms_by_kind[kind])}"
        f" p50_ms={outcome.time_ms(kind, 0.5):.0f}"
        f" p95_ms={outcome.time_ms(kind, 0.95):.0f}"
        f" in_time={outcome.in_time_share(kind):.3f}{errors}"
    )
