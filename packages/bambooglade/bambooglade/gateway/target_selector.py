"""Selects targets by the predicted time to the first byte; without I/O.

Two kinds of services are distinguished. On model engines, a long prompt delays
all concurrent requests, and so does processing a shared prompt part again. A
request therefore goes to the target that has its session cached as long as the
first token is predicted well within the target latency, and otherwise to the
target with the earliest predicted first token. Plain services, which are those
without model engines, have few slots. Their requests go to the target with the
fewest requests in flight, preferably in the same availability zone.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import math
import random

from bambooglade.core import hashing
from bambooglade.discovery import targets as targets_lib
from bambooglade.gateway import metadata
from bambooglade.targets import affinity
from bambooglade.targets import breaker
from bambooglade.targets import brittle_targets
from bambooglade.targets import failure_rates
from bambooglade.targets import latency
from bambooglade.targets import request_limits
from bambooglade.targets import requested_pauses
from bambooglade.targets import silence

PREFILL_TOKENS_PER_MS = 57.0
"""Prompt tokens that an engine processes per ms, by its data sheet."""

DELAY_MS_PER_RUNNING = 0.5
"""Delay of the first token per request that runs on the engine, in ms."""

DELAY_MS_PER_WAITING = 60.0
"""Delay per request that is queued at the engine, in ms.

It is the time to process a usual prompt.
"""

CROSS_ZONE_PENALTY_MS = 4.0
"""Penalty for a target in another availability zone, in ms.

It covers the network round trip and the transfer of the bytes.
"""

PLAIN_REQUEST_MS = 45.0
"""Usual duration of a request at a plain service, in ms, by its data sheet."""

COLD_START_PENALTY_MS = 50.0
"""Penalty for a target that is still slow after its start, in ms."""

AFFINITY_FRACTION = 0.5
"""Fraction of the target latency that a session may use to stay on its target.

The session stays if the first token is predicted within that time.

The other half is reserved for requests that other instances send there.
"""

DEFAULT_TARGET_LATENCY_MS = 1_000
"""Target latency of a route that sets none."""

REPORTED_LOAD_MAX_AGE_MS = 2_000
"""Age above which a reported load is ignored."""

SLOWDOWN_HALF_LIFE_MS = 150
"""Time after which a reported slowdown counts half.

The speed of a machine changes many times a second.
"""

MIN_SLOWDOWN = 0.2
MAX_SLOWDOWN = 10.0
"""Bounds of the slowdown that is believed."""

SUSPECT_PERIOD_MS = 1_500
"""How long a target is avoided after a failed connection attempt."""

UNREACHABLE_PENALTY_MS = 2_000.0
"""Penalty for a target after a failed connection attempt, in ms.

It ranks the target last.
"""

MIN_SILENCE_MS = 300
"""Time without a sign from which a target is expected to stay silent as long.

A target with requests otherwise sends something every few tens of ms.
"""

MAX_SILENCE_MS = 2_000
"""Time without a sign up to which that is so.

After it, a single stream that hangs must not keep all others away.
"""

SUSPECT_ZONE_PENALTY_MS = 500.0
"""Penalty for the targets of an availability zone after a failed connection
attempt to one of them, in ms.

When a zone is cut off, connections to its targets fail one after the other.
"""


class TargetChoice:
    """A selected target and the prediction that led to it.

    Attributes:
        target: The target; None if no target is usable.
        predicted_ms: Predicted time to the first byte.
        cached_tokens: Prompt tokens that the target should have cached.
        reason: Terms of the prediction, for the log.
        retry_after_ms: Time until a target may get requests again; None unless
            none may get one now, for its limit, a pause or its room.
        is_room_awaited: Whether a target would get the request if it were known
            to have room.
    """

    __slots__ = (
        "cached_tokens",
        "is_room_awaited",
        "predicted_ms",
        "reason",
        "retry_after_ms",
        "target",
    )

    def __init__(
        self,
        target: targets_lib.RegisteredTarget | None,
        *,
        predicted_ms: float = 0.0,
        cached_tokens: int = 0,
        reason: str = "",
        retry_after_ms: int | None = None,
        is_room_awaited: bool = False,
    ) -> None:
        self.retry_after_ms = retry_after_ms
        self.is_room_awaited = is_room_awaited
        self.target = target
        self.predicted_ms = predicted_ms
        self.cached_tokens = cached_tokens
        self.reason = reason


class _TargetLoad:
    """Load of one target.

    Attributes:
        own_running: Number of requests of this instance in flight.
        pending_ms_by_attempt: Predicted time to process the prompts of own
            requests that have not received a first byte.
        reported: Last load that the target reported; None before the first.
        reported_at_ms: Time of that report.
        started_since_report: Number of own requests dispatched after it.
    """

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
        self.reported: metadata.ReportedLoad | None = None
        self.reported_at_ms = 0
        self.started_since_report = 0


class TargetSelector:
    """Selects targets by their load and health, as this instance observes them.

    Args:
        availability_zone: Availability zone of this instance.
        limits: Request limits of the targets; None for a single instance.
        pauses: Pauses that targets have requested; None for none.
        brittle: Brittle targets; None for none.
    """

    __slots__ = (
        "_activity",
        "_availability_zone",
        "_breakers",
        "_brittle",
        "_failures",
        "_latency",
        "_limits",
        "_load_by_target",
        "_pauses",
        "_prefixes",
        "_rejections",
        "_started_at_ms_by_id",
        "_suspect_until_ms_by_id",
        "_suspect_until_ms_by_zone",
    )

    def __init__(
        self,
        availability_zone: str,
        limits: request_limits.RequestLimits | None = None,
        pauses: requested_pauses.RequestedPauses | None = None,
        brittle: brittle_targets.BrittleTargets | None = None,
    ) -> None:
        self._availability_zone = availability_zone
        self._limits = limits or request_limits.RequestLimits(
            lambda target_id: request_limits.SenderRank(0, 1)
        )
        self._pauses = pauses or requested_pauses.RequestedPauses(
            random.Random(0)
        )
        self._brittle = brittle or brittle_targets.BrittleTargets(
            lambda target_id: request_limits.SenderRank(0, 1)
        )
        self._activity = silence.TargetActivity()
        self._breakers = breaker.CircuitBreakers()
        self._failures = failure_rates.FailureRates()
        self._rejections = failure_rates.FailureRates(
            half_life_ms=failure_rates.REJECTION_HALF_LIFE_MS
        )
        self._latency = latency.LatencyTracker()
        self._prefixes = affinity.PrefixIndex()
        self._started_at_ms_by_id: dict[str, int] = {}
        self._suspect_until_ms_by_id: dict[str, int] = {}
        self._suspect_until_ms_by_zone: dict[str, int] = {}
        self._load_by_target: dict[str, _TargetLoad] = collections.defaultdict(
            _TargetLoad
        )

    def choose(
        self,
        ready: Sequence[targets_lib.RegisteredTarget],
        *,
        prompt: metadata.Prompt | None,
        excluded: frozenset[str] | set[str],
        now_ms: int,
        target_latency_ms: int = DEFAULT_TARGET_LATENCY_MS,
    ) -> TargetChoice:
        """Returns the best of the ready targets of a service.

        Args:
            ready: Targets that accept new requests.
            prompt: Size and parts of the prompt; None for a plain service.
            excluded: Ids of targets that this request was sent to before.
            now_ms: The current time.
            target_latency_ms: Objective for the time to the first token.
        """
        self._forget_previous_runs(ready)
        untried = [t for t in ready if t.target_id not in excluded]
        shut_out = self._breakers.open_targets(
            [target.target_id for target in ready], now_ms
        )
        allowed = [t for t in untried if self.may_send(t, now_ms=now_ms)]
        usable = [t for t in allowed if t.target_id not in shut_out] or allowed
        if not usable:
            return TargetChoice(
                None,
                reason=f"ready={len(ready)} untried={len(untried)} allowed=0",
                retry_after_ms=min(
                    (self._retry_after_ms(t, now_ms) for t in untried),
                    default=None,
                ),
                is_room_awaited=any(
                    not self._is_held_off(t, now_ms) for t in untried
                ),
            )
        ranked = _ranked_by_preference(prompt, usable)
        median_ms = self._latency.median_ms(t.target_id for t in untried)
        predictions = (
            self._predict(target, prompt, rank == 0, median_ms, now_ms)
            for rank, target in enumerate(ranked)
        )
        bound_ms = (
            0.0 if prompt is None else AFFINITY_FRACTION * target_latency_ms
        )
        best = _first_within_bound(predictions, bound_ms)
        best.reason += (
            f" usable={len(usable)} shut_out={len(shut_out)}"
            f" limited={len(untried) - len(allowed)}"
        )
        return best

    def _forget_previous_runs(
        self, ready: Sequence[targets_lib.RegisteredTarget]
    ) -> None:
        """Forgets the failures and the cache of targets that started again."""
        for target in ready:
            started_at_ms = self._started_at_ms_by_id.get(target.target_id)
            if started_at_ms == target.started_at_ms:
                continue
            self._started_at_ms_by_id[target.target_id] = target.started_at_ms
            if started_at_ms is not None:
                self._forget(target.target_id)
                self._load_by_target[target.target_id].reported = None

    def _forget(self, target_id: str) -> None:
        self._breakers.remove_target(target_id)
        self._failures.remove_target(target_id)
        self._rejections.remove_target(target_id)
        self._latency.remove_target(target_id)
        self._prefixes.remove_target(target_id)
        self._suspect_until_ms_by_id.pop(target_id, None)

    def state_size(self) -> int:
        """Returns the number of targets of which any state is kept."""
        return len(
            self._load_by_target.keys()
            | self._started_at_ms_by_id.keys()
            | self._suspect_until_ms_by_id.keys()
            | self._breakers.target_ids()
            | self._failures.target_ids()
            | self._rejections.target_ids()
            | self._latency.target_ids()
        )

    def may_send(
        self, target: targets_lib.RegisteredTarget, *, now_ms: int
    ) -> bool:
        """Returns whether a target may get a request now.

        It may not while it is at its request limit, has asked for a pause, or
        is brittle and not known to have room.
        """
        return not self._is_held_off(target, now_ms) and self._brittle.may_send(
            target.target_id,
            service=target.service,
            started_at_ms=target.started_at_ms,
            slots=target.slots,
            own_running=self.own_running(target.target_id),
            now_ms=now_ms,
        )

    def _is_held_off(
        self, target: targets_lib.RegisteredTarget, now_ms: int
    ) -> bool:
        run = target.target_id, target.started_at_ms
        return bool(
            self._limits.wait_ms(*run, now_ms=now_ms)
            or self._pauses.wait_ms(*run, now_ms=now_ms)
        )

    def _retry_after_ms(
        self, target: targets_lib.RegisteredTarget, now_ms: int
    ) -> int:
        if not self._is_held_off(target, now_ms):
            return brittle_targets.RETRY_AFTER_MS
        run = target.target_id, target.started_at_ms
        pause_ms = self._pauses.wait_ms(*run, now_ms=now_ms)
        if not self._limits.wait_ms(*run, now_ms=now_ms):
            return pause_ms
        return max(pause_ms, self._limits.retry_after_ms(*run, now_ms=now_ms))

    def _predict(
        self,
        target: targets_lib.RegisteredTarget,
        prompt: metadata.Prompt | None,
        is_preferred: bool,
        median_ms: float | None,
        now_ms: int,
    ) -> TargetChoice:
        load = self._load_by_target[target.target_id]
        cached = self._cached_tokens(target, prompt, is_preferred, now_ms)
        work_ms = (
            PLAIN_REQUEST_MS
            if prompt is None
            else (prompt.input_tokens - cached) / PREFILL_TOKENS_PER_MS
        )
        queueing_ms = _queueing_ms(target, load, prompt is None, now_ms)
        slowness = self._latency.slowness(
            target.target_id, median_ms=median_ms, now_ms=now_ms
        )
        is_local = target.availability_zone == self._availability_zone
        slowdown = _current_slowdown(load, now_ms)
        total_ms = (work_ms + queueing_ms) * slowness * slowdown
        total_ms += 0 if is_local else CROSS_ZONE_PENALTY_MS
        total_ms += COLD_START_PENALTY_MS if target.cold_remaining_ms else 0
        total_ms += self._failure_penalty_ms(target.target_id, now_ms)
        total_ms += self._suspicion_penalty_ms(target, now_ms)
        total_ms += self._silence_penalty_ms(target, now_ms)
        return TargetChoice(
            target,
            predicted_ms=total_ms,
            cached_tokens=cached,
            reason=(
                f"work_ms={work_ms:.0f} ahead_ms={queueing_ms:.0f}"
                f" slowness={slowness:.1f} slowdown={slowdown:.2f}"
            ),
        )

    def _failure_penalty_ms(self, target_id: str, now_ms: int) -> float:
        """Returns the time that is probably lost at a target that fails."""
        failures = self._failures.penalty(target_id, now_ms=now_ms)
        rejections = self._rejections.penalty(target_id, now_ms=now_ms)
        return (
            failure_rates.FAILURE_PENALTY_MS * failures
            + failure_rates.REJECTION_PENALTY_MS * rejections
        )

    def _suspicion_penalty_ms(
        self, target: targets_lib.RegisteredTarget, now_ms: int
    ) -> float:
        if self._suspect_until_ms_by_id.get(target.target_id, 0) > now_ms:
            return UNREACHABLE_PENALTY_MS
        zone = target.availability_zone
        if self._suspect_until_ms_by_zone.get(zone, 0) > now_ms:
            return SUSPECT_ZONE_PENALTY_MS
        return 0.0

    def _silence_penalty_ms(
        self, target: targets_lib.RegisteredTarget, now_ms: int
    ) -> float:
        """Returns the expected delay at a target that sends nothing.

        Its last report may be older than its silence.
        """
        stopped_ms = self._activity.stopped_ms(target.target_id, now_ms=now_ms)
        is_stopped = MIN_SILENCE_MS <= stopped_ms <= MAX_SILENCE_MS
        return float(stopped_ms) if is_stopped else 0.0

    def _cached_tokens(
        self,
        target: targets_lib.RegisteredTarget,
        prompt: metadata.Prompt | None,
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

    def record_dispatch(
        self,
        target_id: str,
        attempt_id: str,
        *,
        choice: TargetChoice,
        prompt: metadata.Prompt | None,
        now_ms: int,
    ) -> None:
        """Records that a request was dispatched to a target."""
        load = self._load_by_target[target_id]
        load.own_running += 1
        load.started_since_report += 1
        if prompt is not None:
            uncached = prompt.input_tokens - choice.cached_tokens
            load.pending_ms_by_attempt[attempt_id] = (
                uncached / PREFILL_TOKENS_PER_MS
            )
            self._prefixes.record_dispatch(
                target_id, prompt.shared_part_ids, now_ms
            )
        self._breakers.record_dispatch(target_id, now_ms)
        self._activity.record_dispatch(target_id, now_ms=now_ms)

    def record_first_byte(
        self,
        target_id: str,
        attempt_id: str,
        *,
        took_ms: int,
        predicted_ms: float,
        now_ms: int,
    ) -> None:
        """Records the time to the first byte, relative to the prediction."""
        self._load_by_target[target_id].pending_ms_by_attempt.pop(
            attempt_id, None
        )
        self._latency.record(
            target_id, took_ms / max(10.0, predicted_ms), now_ms
        )

    def record_load(
        self, target_id: str, reported: metadata.ReportedLoad, *, now_ms: int
    ) -> None:
        """Records the load that a target reported in a response."""
        load = self._load_by_target[target_id]
        load.reported = reported
        load.reported_at_ms = now_ms
        load.started_since_report = 0

    def record_end(self, target_id: str, attempt_id: str) -> None:
        """Records that a dispatched request has ended."""
        load = self._load_by_target[target_id]
        load.own_running = max(0, load.own_running - 1)
        load.pending_ms_by_attempt.pop(attempt_id, None)
        self._activity.record_end(target_id, attempt_id)

    def record_response(
        self, target_id: str, attempt_id: str, *, now_ms: int
    ) -> None:
        """Records that a target has sent a part of a response."""
        self._activity.record_response(target_id, attempt_id, now_ms=now_ms)

    def silent_ms(self, target_id: str, *, now_ms: int) -> int:
        """Returns for how long a target has sent nothing to any request.

        Without requests of this instance it can't be told, and 0 is returned.
        """
        return self._activity.silent_ms(target_id, now_ms=now_ms)

    def record_success(self, target_id: str, *, now_ms: int) -> None:
        """Records a complete response of a target."""
        self._breakers.record_success(target_id)
        self._failures.record(target_id, False, now_ms=now_ms)
        self._rejections.record(target_id, False, now_ms=now_ms)

    def record_failure(self, target_id: str, *, now_ms: int) -> None:
        """Records a failure of a target."""
        self._breakers.record_failure(target_id, now_ms)
        self._failures.record(target_id, True, now_ms=now_ms)

    def record_silence(self, target_id: str, *, now_ms: int) -> None:
        """Records that a request was given up at a silent target.

        A sound one goes on soon, and its responses count then.
        """
        self._failures.record(target_id, True, now_ms=now_ms)

    def record_rejection(self, target_id: str, *, now_ms: int) -> None:
        """Records that a target rejected a request without running it."""
        self._rejections.record(target_id, True, now_ms=now_ms)

    def record_connect_failure(
        self, target: targets_lib.RegisteredTarget, *, now_ms: int
    ) -> None:
        """Records a failed connection attempt.

        In another availability zone, it makes all targets of the zone suspect.
        """
        until_ms = now_ms + SUSPECT_PERIOD_MS
        self._suspect_until_ms_by_id[target.target_id] = until_ms
        if target.availability_zone != self._availability_zone:
            zone = target.availability_zone
            self._suspect_until_ms_by_zone[zone] = until_ms

    def record_reached(self, target: targets_lib.RegisteredTarget) -> None:
        """Records that a connection opened, or that the target responded."""
        self._suspect_until_ms_by_id.pop(target.target_id, None)
        self._suspect_until_ms_by_zone.pop(target.availability_zone, None)

    def is_unreached(self, target_id: str, *, now_ms: int) -> bool:
        """Returns whether a connection to a target failed lately."""
        return self._suspect_until_ms_by_id.get(target_id, 0) > now_ms

    def unreachable_count(
        self, targets: Sequence[targets_lib.RegisteredTarget], *, now_ms: int
    ) -> int:
        """Returns to how many targets connections failed to open lately.

        Responses since then do not count as failures. If the count is that of
        all targets, the fault is probably not theirs.

        Args:
            targets: Targets of a service.
            now_ms: The current time.
        """
        return sum(
            self.is_unreached(target.target_id, now_ms=now_ms)
            for target in targets
        )

    def forget_failures(self, target_ids: Iterable[str]) -> None:
        """Forgets failures that were not the fault of these targets."""
        for target_id in target_ids:
            self._breakers.remove_target(target_id)
            self._failures.remove_target(target_id)
            self._suspect_until_ms_by_id.pop(target_id, None)
        self._suspect_until_ms_by_zone.clear()

    def own_running(self, target_id: str) -> int:
        """Returns how many requests of this instance are in flight."""
        return self._load_by_target[target_id].own_running

    def evict_missing(self, known: set[str]) -> None:
        """Evicts the state of unknown targets without requests in flight."""
        for target_id in list(self._load_by_target):
            load = self._load_by_target[target_id]
            if target_id not in known and not load.own_running:
                del self._load_by_target[target_id]
        gone = self._started_at_ms_by_id.keys() - known
        for target_id in gone - self._load_by_target.keys():
            del self._started_at_ms_by_id[target_id]
            self._forget(target_id)

    def __repr__(self) -> str:
        return f"TargetSelector(targets={len(self._load_by_target)})"


def _first_within_bound(
    predictions: Iterator[TargetChoice], bound_ms: float
) -> TargetChoice:
    """Returns the first choice within the bound, else the fastest one."""
    slower: list[TargetChoice] = []
    for choice in predictions:
        if choice.predicted_ms <= bound_ms:
            return choice
        slower.append(choice)
    return min(slower, key=lambda choice: choice.predicted_ms)


def _ranked_by_preference(
    prompt: metadata.Prompt | None,
    usable: Sequence[targets_lib.RegisteredTarget],
) -> Sequence[targets_lib.RegisteredTarget]:
    """Returns targets in the order of preference, equal on all instances."""
    if prompt is None or len(prompt.parts) < 2:
        return usable
    by_id = {target.target_id: target for target in usable}
    order = hashing.rendezvous(prompt.parts[-2].part_id, by_id)
    return [by_id[target_id] for target_id in order]


def _current_slowdown(load: _TargetLoad, now_ms: int) -> float:
    """Returns the slowdown of a machine, which an old report does not tell."""
    reported = load.reported
    if reported is None or reported.slowdown is None:
        return 1.0
    age_ms = max(0, now_ms - load.reported_at_ms)
    stated = min(max(MIN_SLOWDOWN, reported.slowdown), MAX_SLOWDOWN)
    return 1.0 + (stated - 1.0) * math.exp2(-age_ms / SLOWDOWN_HALF_LIFE_MS)


def _queueing_ms(
    target: targets_lib.RegisteredTarget,
    load: _TargetLoad,
    is_plain: bool,
    now_ms: int,
) -> float:
    """Returns the predicted delay by the requests ahead of a new one."""
    reported = load.reported
    if (
        reported is None
        or now_ms - load.reported_at_ms > REPORTED_LOAD_MAX_AGE_MS
    ):
        running, waiting = load.own_running, 0
    else:
        running = reported.running + load.started_since_report
        waiting = reported.waiting
        running = max(running, load.own_running)
    if is_plain:
        return PLAIN_REQUEST_MS * (running + waiting) / target.slots
    pending_ms = sum(load.pending_ms_by_attempt.values())
    overflow_ms = DELAY_MS_PER_WAITING * max(0, running - target.slots)
    return (
        pending_ms
        + waiting * DELAY_MS_PER_WAITING
        + running * DELAY_MS_PER_RUNNING
        + overflow_ms
    )
