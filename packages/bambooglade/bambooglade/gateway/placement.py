"""Chooses the target of a request, by predicted time to its first byte; pure.

Answers two loads. Model engines: long prompts delay every request beside
them, and reading a shared part twice takes time from all. A request goes where
its session is cached as long as its first token is predicted well within the
target latency, and else where it comes soonest. Plain services: few slots, so
requests go where the fewest are in progress, the own zone first.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
from collections.abc import Sequence

from bambooglade.core import hashing
from bambooglade.discovery import targets as targets_lib
from bambooglade.gateway import facts
from bambooglade.targets import affinity
from bambooglade.targets import breaker
from bambooglade.targets import latency

PREFILL_TOKENS_PER_MS = 57.0
"""Prompt tokens that an engine reads in a millisecond, by its data sheet."""

STEP_MS_PER_RUNNING = 0.5
"""Delay of a first token by each request that runs on the engine, in ms."""

WAITING_MS = 60.0
"""Delay by each request that waits at the engine: the usual prompt, in ms."""

OTHER_ZONE_MS = 4.0
"""Cost of a target in another zone: the way there, and its bytes, in ms."""

PLAIN_WORK_MS = 45.0
"""Usual time of a request at a plain service, in ms, by its data sheet."""

COLD_MS = 50.0
"""Cost of a target that is still slow after its start, in ms."""

AFFINITY_SHARE = 0.5
"""Part of the target latency that a first token may take on its session's
target; the other half is left for what other instances send there."""

DEFAULT_TARGET_LATENCY_MS = 1_000
"""Target latency where a route has none."""

REPORT_LIFETIME_MS = 2_000
"""Age from which a reported load says nothing any more."""

SUSPECT_MS = 1_500
"""How long a target that could not be connected to is avoided."""

UNREACHABLE_MS = 2_000.0
"""Cost of a target that could not be connected to, in ms: it comes last."""

SUSPECT_ZONE_MS = 500.0
"""Cost of a target whose zone has one that could not be connected to, in ms.

An availability zone that is cut off shows itself one target after the other.
"""


class Choice:
    """The chosen target.

    Attributes:
        target: The target; None if there is none.
        predicted_ms: Predicted time to the first byte.
        cached_tokens: Prompt tokens that it should not have to read.
        reason: What the choice was made from, for the log.
    """

    __slots__ = ("cached_tokens", "predicted_ms", "reason", "target")

    def __init__(
        self,
        target: targets_lib.RegisteredTarget | None,
        *,
        predicted_ms: float = 0.0,
        cached_tokens: int = 0,
        reason: str = "",
    ) -> None:
        self.target = target
        self.predicted_ms = predicted_ms
        self.cached_tokens = cached_tokens
        self.reason = reason


class _TargetLoad:
    __slots__ = (
        "own_running",
        "pending_ms_by_attempt",
        "reported",
        "reported_at_ms",
        "started_since_report",
    )

    def __init__(self) -> None:
        self.own_running = 0
        self.pending_ms_by_attempt: dict[str, float] = {}
        self.reported: facts.ReportedLoad | None = None
        self.reported_at_ms = 0
        self.started_since_report = 0


class Placement:
    """Load and health of targets, as far as this instance knows.

    Args:
        availability_zone: The own zone.
    """

    __slots__ = (
        "_availability_zone",
        "_breakers",
        "_latency",
        "_load_by_target",
        "_prefixes",
        "_suspect_until_ms_by_id",
        "_suspect_until_ms_by_zone",
    )

    def __init__(self, availability_zone: str) -> None:
        self._availability_zone = availability_zone
        self._breakers = breaker.CircuitBreakers()
        self._latency = latency.LatencyTracker()
        self._prefixes = affinity.PrefixIndex()
        self._suspect_until_ms_by_id: dict[str, int] = {}
        self._suspect_until_ms_by_zone: dict[str, int] = {}
        self._load_by_target: dict[str, _TargetLoad] = collections.defaultdict(
            _TargetLoad
        )

    def choose(
        self,
        ready: Sequence[targets_lib.RegisteredTarget],
        *,
        prompt: facts.Prompt | None,
        excluded: frozenset[str] | set[str],
        now_ms: int,
        target_latency_ms: int = DEFAULT_TARGET_LATENCY_MS,
    ) -> Choice:
        """Chooses among the ready targets of a service.

        Args:
            ready: Targets that take new requests.
            prompt: Size and parts of the prompt; None for a plain service.
            excluded: Targets that this request has tried.
            now_ms: The time.
            target_latency_ms: Time to the first token that is on time.
        """
        untried = [t for t in ready if t.target_id not in excluded]
        shut_out = self._breakers.open_targets(
            [target.target_id for target in ready], now_ms
        )
        usable = [t for t in untried if t.target_id not in shut_out] or untried
        if not usable:
            return Choice(None, reason=f"ready={len(ready)} untried=0")
        ranked = _ranked(prompt, usable)
        median_ms = self._latency.median_ms(t.target_id for t in untried)
        rated = (
            self._rate(target, prompt, rank == 0, median_ms, now_ms)
            for rank, target in enumerate(ranked)
        )
        bound_ms = 0.0 if prompt is None else AFFINITY_SHARE * target_latency_ms
        best = _first_within(rated, bound_ms)
        best.reason += f" usable={len(usable)} shut_out={len(shut_out)}"
        return best

    def _rate(
        self,
        target: targets_lib.RegisteredTarget,
        prompt: facts.Prompt | None,
        is_preferred: bool,
        median_ms: float | None,
        now_ms: int,
    ) -> Choice:
        load = self._load_by_target[target.target_id]
        cached = self._cached_tokens(target, prompt, is_preferred, now_ms)
        work_ms = (
            PLAIN_WORK_MS
            if prompt is None
            else (prompt.input_tokens - cached) / PREFILL_TOKENS_PER_MS
        )
        ahead_ms = _ahead_ms(target, load, prompt is None, now_ms)
        slowness = self._latency.slowness(
            target.target_id, median_ms=median_ms, now_ms=now_ms
        )
        is_local = target.availability_zone == self._availability_zone
        total_ms = (work_ms + ahead_ms) * slowness
        total_ms += 0 if is_local else OTHER_ZONE_MS
        total_ms += COLD_MS if target.cold_remaining_ms else 0
        total_ms += self._suspicion_ms(target, now_ms)
        return Choice(
            target,
            predicted_ms=total_ms,
            cached_tokens=cached,
            reason=(
                f"work_ms={work_ms:.0f} ahead_ms={ahead_ms:.0f}"
                f" slowness={slowness:.1f}"
            ),
        )

    def _suspicion_ms(
        self, target: targets_lib.RegisteredTarget, now_ms: int
    ) -> float:
        if self._suspect_until_ms_by_id.get(target.target_id, 0) > now_ms:
            return UNREACHABLE_MS
        zone = target.availability_zone
        if self._suspect_until_ms_by_zone.get(zone, 0) > now_ms:
            return SUSPECT_ZONE_MS
        return 0.0

    def _cached_tokens(
        self,
        target: targets_lib.RegisteredTarget,
        prompt: facts.Prompt | None,
        is_preferred: bool,
        now_ms: int,
    ) -> int:
        if prompt is None:
            return 0
        parts = prompt.parts[:-1]
        known = self._prefixes.cached_blocks(
            target.target_id, [part.part_id for part in parts], now_ms
        )
        count = len(parts) if is_preferred else known
        return sum(part.tokens for part in parts[:count])

    def started(
        self,
        target_id: str,
        attempt_id: str,
        *,
        choice: Choice,
        prompt: facts.Prompt | None,
        now_ms: int,
    ) -> None:
        """Notes a dispatch."""
        load = self._load_by_target[target_id]
        load.own_running += 1
        load.started_since_report += 1
        if prompt is not None:
            uncached = prompt.input_tokens - choice.cached_tokens
            load.pending_ms_by_attempt[attempt_id] = (
                uncached / PREFILL_TOKENS_PER_MS
            )
            blocks = [part.part_id for part in prompt.parts[:-1]]
            self._prefixes.record_dispatch(target_id, blocks, now_ms)
        self._breakers.record_dispatch(target_id, now_ms)

    def first_byte(
        self,
        target_id: str,
        attempt_id: str,
        *,
        took_ms: int,
        predicted_ms: float,
        now_ms: int,
    ) -> None:
        """Notes the first byte of a response, and how well it was predicted."""
        self._load_by_target[target_id].pending_ms_by_attempt.pop(
            attempt_id, None
        )
        self._latency.record(
            target_id, took_ms / max(10.0, predicted_ms), now_ms
        )

    def reported(
        self, target_id: str, reported: facts.ReportedLoad, *, now_ms: int
    ) -> None:
        """Notes the load that a target told with a response."""
        load = self._load_by_target[target_id]
        load.reported = reported
        load.reported_at_ms = now_ms
        load.started_since_report = 0

    def ended(self, target_id: str, attempt_id: str) -> None:
        """Notes the end of a dispatch."""
        load = self._load_by_target[target_id]
        load.own_running = max(0, load.own_running - 1)
        load.pending_ms_by_attempt.pop(attempt_id, None)

    def succeeded(self, target_id: str) -> None:
        """Notes a whole response."""
        self._breakers.record_success(target_id)

    def failed(self, target_id: str, *, now_ms: int) -> None:
        """Notes a failure of the target."""
        self._breakers.record_failure(target_id, now_ms)

    def unreachable(
        self, target: targets_lib.RegisteredTarget, *, now_ms: int
    ) -> None:
        """Notes that a connection could not be established."""
        until_ms = now_ms + SUSPECT_MS
        self._suspect_until_ms_by_id[target.target_id] = until_ms
        if target.availability_zone != self._availability_zone:
            zone = target.availability_zone
            self._suspect_until_ms_by_zone[zone] = until_ms

    def reachable(self, target: targets_lib.RegisteredTarget) -> None:
        """Notes that the target has answered."""
        self._suspect_until_ms_by_id.pop(target.target_id, None)
        self._suspect_until_ms_by_zone.pop(target.availability_zone, None)

    def own_running(self, target_id: str) -> int:
        """Returns how many requests of this instance the target has."""
        return self._load_by_target[target_id].own_running

    def forget(self, known: set[str]) -> None:
        """Drops what is known of targets that are gone and idle."""
        for target_id in list(self._load_by_target):
            load = self._load_by_target[target_id]
            if target_id not in known and not load.own_running:
                del self._load_by_target[target_id]
                self._prefixes.remove_target(target_id)
                self._suspect_until_ms_by_id.pop(target_id, None)

    def __repr__(self) -> str:
        return f"Placement(targets={len(self._load_by_target)})"


def _first_within(rated: Iterator[Choice], bound_ms: float) -> Choice:
    """Returns the first choice within the bound, else the soonest of all."""
    passed: list[Choice] = []
    for choice in rated:
        if choice.predicted_ms <= bound_ms:
            return choice
        passed.append(choice)
    return min(passed, key=lambda choice: choice.predicted_ms)


def _ranked(
    prompt: facts.Prompt | None,
    usable: Sequence[targets_lib.RegisteredTarget],
) -> Sequence[targets_lib.RegisteredTarget]:
    """Returns the targets in the order in which all instances prefer them."""
    if prompt is None or len(prompt.parts) < 2:
        return usable
    by_id = {target.target_id: target for target in usable}
    order = hashing.rendezvous(prompt.parts[-2].part_id, by_id)
    return [by_id[target_id] for target_id in order]


def _ahead_ms(
    target: targets_lib.RegisteredTarget,
    load: _TargetLoad,
    is_plain: bool,
    now_ms: int,
) -> float:
    """Returns how long the work ahead of a new request takes."""
    reported = load.reported
    if reported is None or now_ms - load.reported_at_ms > REPORT_LIFETIME_MS:
        running, waiting = load.own_running, 0
    else:
        running = reported.running + load.started_since_report
        waiting = reported.waiting
        running = max(running, load.own_running)
    if is_plain:
        return PLAIN_WORK_MS * (running + waiting) / target.slots
    pending_ms = sum(load.pending_ms_by_attempt.values())
    full_ms = WAITING_MS * max(0, running - target.slots)
    return (
        pending_ms
        + waiting * WAITING_MS
        + running * STEP_MS_PER_RUNNING
        + full_ms
    )
