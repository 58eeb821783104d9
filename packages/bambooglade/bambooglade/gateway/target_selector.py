"""Selects targets by the predicted time to the first byte; without I/O.

Two kinds of services are distinguished. On model engines, a long prompt delays
all concurrent requests, and so does processing a shared prompt part again. A
request therefore goes to a target that has its session cached, among those for
prompts of its length, as long as the first token is predicted well within the
target latency. Otherwise it goes to the target where the time to its own first
token and the delay that it causes come to the least. Plain services, which are
those without model engines, have few slots. Their requests go to the target
with the fewest requests in flight, preferably in the same availability zone.

How long targets take is learned from responses. Nearly equal targets take
turns, in an order that is random at each instance, since many see the same
reports.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import random

from bambooglade.discovery import targets as targets_lib
from bambooglade.gateway import metadata
from bambooglade.scheduling import engine_model
from bambooglade.scheduling import placement as placement_lib
from bambooglade.targets import affinity
from bambooglade.targets import breaker
from bambooglade.targets import brittle_targets
from bambooglade.targets import failure_rates
from bambooglade.targets import request_limits
from bambooglade.targets import requested_pauses
from bambooglade.targets import silence

CROSS_ZONE_PENALTY_MS = 4.0
"""Penalty for a target in another availability zone, in ms.

It covers the network round trip and the transfer of the bytes.
"""

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

MIN_AHEAD_SHARE = 0.25
"""Part of own prompts that counts as not processed until their first byte.

Prompts of other instances may be ahead of them.
"""

MAX_SAMPLE = 4
"""Targets that are compared for a prompt without a shared part.

An instance knows little of most targets, and all would find the same one best.
"""

MAX_TIE_MS = 1.0
"""Difference up to which targets count as equal, and take turns."""

TURN_MS = 200
"""Time for which a target comes after equal ones that got no request."""

MAX_REPORTED_REQUESTS = 10_000
"""Number of requests above which a reported load is ignored as nonsensical.

One such report would make waiting requests seem to cost nothing.
"""

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
        work: Work that the prediction is based on; None without a target.
        slowdown: Slowdown of the target's machine that it is based on.
        is_plain: Whether the target is one of a plain service.
        own_work_ms: Time to process what no other prompt shares.
        target_latency_ms: Objective for the time to the first token.
        retry_after_ms: Time until a target may get requests again; None unless
            none may get one now, for its limit, a pause or its room.
        is_room_awaited: Whether a target would get the request if it were known
            to have room.
    """

    __slots__ = (
        "cached_tokens",
        "is_plain",
        "is_room_awaited",
        "own_work_ms",
        "predicted_ms",
        "reason",
        "retry_after_ms",
        "slowdown",
        "target",
        "target_latency_ms",
        "work",
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
        work: engine_model.Workload | None = None,
        slowdown: float = 1.0,
        is_plain: bool = False,
    ) -> None:
        self.own_work_ms = 0.0
        self.target_latency_ms = DEFAULT_TARGET_LATENCY_MS
        self.work = work
        self.slowdown = slowdown
        self.is_plain = is_plain
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
        dispatched_at_ms: Time of the last own request; None for none.
        choice_by_attempt: Choices of own requests that have not received a
            first byte.
        pending_tokens: Prompt tokens that the target has to process for them.
        pending_since_ms: Since when it has been processing the first of them.
        reported: Last load that the target reported; None before the first.
        reported_at_ms: Time of that report.
        started_since_report: Number of own requests dispatched after it.
    """

    __slots__ = (
        "choice_by_attempt",
        "dispatched_at_ms",
        "own_running",
        "pending_since_ms",
        "pending_tokens",
        "reported",
        "reported_at_ms",
        "started_since_report",
    )

    def __init__(self) -> None:
        self.own_running = 0
        self.dispatched_at_ms: int | None = None
        self.choice_by_attempt: dict[str, tuple[TargetChoice, int]] = {}
        self.pending_tokens = 0
        self.pending_since_ms = 0
        self.reported: metadata.ReportedLoad | None = None
        self.reported_at_ms = 0
        self.started_since_report = 0

    def add_prompt(
        self, attempt_id: str, choice: TargetChoice, tokens: int, now_ms: int
    ) -> None:
        """Adds a request whose first byte is awaited."""
        if not self.choice_by_attempt:
            self.pending_since_ms = now_ms
        self.choice_by_attempt[attempt_id] = choice, tokens
        self.pending_tokens += tokens

    def remove_prompt(
        self, attempt_id: str, now_ms: int | None = None
    ) -> TargetChoice | None:
        """Removes a request whose first byte came, or that has ended."""
        choice, tokens = self.choice_by_attempt.pop(attempt_id, (None, 0))
        self.pending_tokens -= tokens
        if now_ms is not None:
            self.pending_since_ms = now_ms
        return choice

    def ahead_tokens(self, tokens_per_ms: float, now_ms: int) -> float:
        """Returns how much of own prompts is probably left to process."""
        if not self.pending_tokens:
            return 0.0
        done = (now_ms - self.pending_since_ms) * tokens_per_ms
        return max(
            MIN_AHEAD_SHARE * self.pending_tokens, self.pending_tokens - done
        )

    def counts(self, now_ms: int) -> tuple[int, int]:
        """Returns how many requests run and wait at the target."""
        reported = self.reported
        if (
            reported is None
            or now_ms - self.reported_at_ms > REPORTED_LOAD_MAX_AGE_MS
        ):
            return self.own_running, 0
        running = reported.running + self.started_since_report
        return max(running, self.own_running), reported.waiting


class TargetSelector:
    """Selects targets by their load and health, as this instance observes them.

    Args:
        availability_zone: Availability zone of this instance.
        limits: Request limits of the targets; None for a single instance.
        pauses: Pauses that targets have requested; None for none.
        brittle: Brittle targets; None for none.
        random_source: Random numbers, other ones than those of other instances;
            None to prefer the first of equal targets.

    Attributes:
        model: What was learned about how long targets take.
    """

    __slots__ = (
        "_activity",
        "_availability_zone",
        "_breakers",
        "_brittle",
        "_failures",
        "_is_tie_random",
        "_limits",
        "_load_by_target",
        "_pauses",
        "_placement",
        "_prefixes",
        "_random",
        "_rejections",
        "_started_at_ms_by_id",
        "_suspect_until_ms_by_id",
        "_suspect_until_ms_by_zone",
        "model",
    )

    def __init__(
        self,
        availability_zone: str,
        limits: request_limits.RequestLimits | None = None,
        pauses: requested_pauses.RequestedPauses | None = None,
        brittle: brittle_targets.BrittleTargets | None = None,
        random_source: random.Random | None = None,
    ) -> None:
        self.model = engine_model.EngineModel()
        self._placement = placement_lib.Placement()
        self._random = random_source or random.Random(0)
        self._is_tie_random = random_source is not None
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
        best = (
            self._choose_plain(usable, now_ms)
            if prompt is None
            else self._choose_engine(
                ready, usable, prompt, target_latency_ms, now_ms
            )
        )
        best.reason += (
            f" usable={len(usable)} shut_out={len(shut_out)}"
            f" limited={len(untried) - len(allowed)}"
        )
        return best

    def _choose_plain(
        self, usable: Sequence[targets_lib.RegisteredTarget], now_ms: int
    ) -> TargetChoice:
        """Returns the target with the fewest requests for its slots."""
        model = self.model.plain_service(usable[0].service)

        def cost_ms(prediction: _Prediction) -> float:
            work = prediction.work
            # A fast service is balanced like one of usual speed. Otherwise the
            # targets of the own zone would get all of a burst.
            request_ms = max(model.request_ms, engine_model.START_REQUEST_MS)
            busy_ms = request_ms * (work.running + work.waiting)
            return (
                prediction.total_ms
                + busy_ms / work.slots
                + self._tie_ms(prediction.target.target_id, now_ms)
            )

        best = min(
            (self._predict(t, None, False, now_ms) for t in usable), key=cost_ms
        )
        choice = self._to_choice(best, now_ms)
        choice.reason += f" {model.describe()}"
        return choice

    def _choose_engine(
        self,
        ready: Sequence[targets_lib.RegisteredTarget],
        usable: Sequence[targets_lib.RegisteredTarget],
        prompt: metadata.Prompt,
        target_latency_ms: int,
        now_ms: int,
    ) -> TargetChoice:
        """Returns the target for a prompt.

        It is one of the few preferred ones if that is in time, so that the
        shared part stays cached and long prompts stay apart.
        """
        model = self.model.service(usable[0].service)
        own_tokens = _own_tokens(prompt)
        plan = self._placement.plan(
            usable[0].service,
            [target.target_id for target in ready],
            part_id=_shared_part_id(prompt),
            work_ms=model.work_ms(own_tokens),
            target_latency_ms=target_latency_ms,
            shared_work_ms=model.work_ms(prompt.input_tokens - own_tokens),
        )
        usable_by_id = {target.target_id: target for target in usable}
        ids = [t for t in plan.preferred_ids if t in usable_by_id]
        if not plan.cached_count and len(ids) > MAX_SAMPLE:
            ids = self._random.sample(ids, MAX_SAMPLE)
        has_part = frozenset(plan.preferred_ids[: plan.cached_count])

        def cost_ms(prediction: _Prediction) -> float:
            caused_ms = plan.delay_caused_ms(
                prediction.target.target_id,
                model.work_ms(prediction.work.uncached_tokens),
            )
            return (
                prediction.total_ms
                + caused_ms
                + self._tie_ms(prediction.target.target_id, now_ms)
            )

        def predict(target: targets_lib.RegisteredTarget) -> _Prediction:
            is_preferred = target.target_id in has_part
            return self._predict(target, prompt, is_preferred, now_ms)

        bound_ms = AFFINITY_FRACTION * target_latency_ms
        first = min(
            (predict(usable_by_id[t]) for t in ids[: plan.first_count]),
            key=cost_ms,
            default=None,
        )
        others = (predict(usable_by_id[t]) for t in ids[plan.first_count :])
        in_order = itertools.chain([first] if first else [], others)
        best = next((p for p in in_order if p.total_ms <= bound_ms), None)
        if best is None:
            best = min(map(predict, usable), key=cost_ms)
        choice = self._to_choice(best, now_ms)
        choice.own_work_ms = model.work_ms(own_tokens)
        choice.target_latency_ms = target_latency_ms
        choice.reason += (
            f" is_long={plan.is_long} long_targets={len(plan.long_ids)}"
            f" {model.describe()}"
        )
        return choice

    def _tie_ms(self, target_id: str, now_ms: int) -> float:
        """Returns a term by which equal targets take turns.

        The order is random, so that instances differ, but the targets that just
        got a request of this instance come last.
        """
        at_ms = self._load_by_target[target_id].dispatched_at_ms
        recent_ms = 0.0
        if at_ms is not None:
            left = 1.0 - (now_ms - at_ms) / TURN_MS
            recent_ms = MAX_TIE_MS * max(0.0, left)
        if not self._is_tie_random:
            return recent_ms
        return recent_ms + 0.1 * MAX_TIE_MS * self._random.random()

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
        self.model.remove_target(target_id)
        self._prefixes.remove_target(target_id)
        self._activity.forget_unanswered(target_id)
        self._suspect_until_ms_by_id.pop(target_id, None)

    def state_size(self) -> int:
        """Returns the number of targets of which any state is kept."""
        return len(
            self._load_by_target.keys()
            | self._started_at_ms_by_id.keys()
            | self._suspect_until_ms_by_id.keys()
            | self._activity.unanswered_target_ids()
            | self._breakers.target_ids()
            | self._failures.target_ids()
            | self._rejections.target_ids()
            | self.model.target_ids()
            | self._placement.target_ids()
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
        now_ms: int,
    ) -> _Prediction:
        target_id = target.target_id
        load = self._load_by_target[target_id]
        running, waiting = load.counts(now_ms)
        work = engine_model.Workload(
            running=running, waiting=waiting, slots=target.slots
        )
        cached = 0
        if prompt is None:
            model = self.model.plain_service(target.service)
        else:
            model = self.model.service(target.service)
            cached = self._cached_tokens(target, prompt, is_preferred, now_ms)
            work.uncached_tokens = prompt.input_tokens - cached
            work.ahead_tokens = load.ahead_tokens(model.tokens_per_ms, now_ms)
        usual_ms = model.predict_ms(work)
        pace, wait_ms = self.model.pace(target_id, usual_ms, now_ms=now_ms)
        total_ms = usual_ms * pace + wait_ms
        total_ms += self._transfer_ms(target)
        total_ms += COLD_START_PENALTY_MS if target.cold_remaining_ms else 0
        total_ms += self._failure_penalty_ms(target_id, now_ms)
        total_ms += self._suspicion_penalty_ms(target, now_ms)
        total_ms += self._silence_penalty_ms(target, now_ms)
        return _Prediction(target, work, cached, usual_ms, total_ms)

    def _to_choice(self, best: _Prediction, now_ms: int) -> TargetChoice:
        work, target_id = best.work, best.target.target_id
        factor = self.model.factor(target_id, now_ms=now_ms)
        slowdown = self.model.slowdown(target_id, best.usual_ms, now_ms=now_ms)
        return TargetChoice(
            best.target,
            predicted_ms=best.total_ms,
            cached_tokens=best.cached_tokens,
            reason=(
                f"uncached={work.uncached_tokens:.0f}"
                f" ahead={work.ahead_tokens:.0f} running={work.running}"
                f" waiting={work.waiting} factor={factor:.1f}"
                f" slowdown={slowdown:.2f}"
            ),
            work=work,
            slowdown=slowdown,
        )

    def _transfer_ms(self, target: targets_lib.RegisteredTarget) -> float:
        is_local = target.availability_zone == self._availability_zone
        return 0.0 if is_local else CROSS_ZONE_PENALTY_MS

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
        expected_ms = self.expected_silence_ms(target.target_id, now_ms=now_ms)
        return float(max(expected_ms, stopped_ms if is_stopped else 0))

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
        load.dispatched_at_ms = now_ms
        load.started_since_report += 1
        tokens = 0
        if prompt is not None:
            tokens = max(0, prompt.input_tokens - choice.cached_tokens)
            self._prefixes.record_dispatch(
                target_id, prompt.shared_part_ids, now_ms
            )
            self._placement.record(
                choice.target.service if choice.target else "",
                _shared_part_id(prompt),
                tokens=tokens,
                work_ms=choice.own_work_ms,
                target_latency_ms=choice.target_latency_ms,
                now_ms=now_ms,
            )
        choice.is_plain = prompt is None
        load.add_prompt(attempt_id, choice, tokens, now_ms)
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
        """Records the time to the first byte, and learns from it."""
        load = self._load_by_target[target_id]
        choice = load.remove_prompt(attempt_id, now_ms)
        if choice is None or choice.target is None or choice.work is None:
            return
        self.model.learn(
            choice.target.service,
            target_id,
            choice.work,
            took_ms=max(0.0, took_ms - self._transfer_ms(choice.target)),
            now_ms=now_ms,
            slowdown=choice.slowdown,
            predicted_ms=predicted_ms,
            is_plain=choice.is_plain,
        )

    def record_load(
        self, target_id: str, reported: metadata.ReportedLoad, *, now_ms: int
    ) -> None:
        """Records the load that a target reported in a response."""
        load = self._load_by_target[target_id]
        held = reported.running + reported.waiting
        load.reported = reported if held <= MAX_REPORTED_REQUESTS else None
        load.reported_at_ms = now_ms
        load.started_since_report = 0
        self.model.record_slowdown(target_id, reported.slowdown, now_ms=now_ms)

    def record_end(self, target_id: str, attempt_id: str) -> None:
        """Records that a dispatched request has ended."""
        load = self._load_by_target[target_id]
        load.own_running = max(0, load.own_running - 1)
        load.remove_prompt(attempt_id)
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
        self.record_unanswered(target_id, now_ms=now_ms)

    def record_unanswered(self, target_id: str, *, now_ms: int) -> None:
        """Records that a target left a request in flight unanswered."""
        self._activity.record_unanswered(target_id, now_ms=now_ms)

    def has_left_unanswered(self, target_id: str, *, now_ms: int) -> bool:
        """Returns whether a target sent nothing since a request gave it up."""
        return self._activity.has_left_unanswered(target_id, now_ms=now_ms)

    def expected_silence_ms(self, target_id: str, *, now_ms: int) -> int:
        """Returns the expected delay at a target that was given up."""
        return self._activity.expected_silence_ms(target_id, now_ms=now_ms)

    def unanswered_count(self, *, now_ms: int) -> int:
        """Returns how many targets sent nothing since they were given up."""
        return self._activity.unanswered_count(now_ms=now_ms)

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
            self._activity.forget_unanswered(target_id)
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
        self._placement.evict_missing(known)

    def __repr__(self) -> str:
        return f"TargetSelector(targets={len(self._load_by_target)})"


class _Prediction:
    """When a target is expected to respond."""

    __slots__ = ("cached_tokens", "target", "total_ms", "usual_ms", "work")

    def __init__(
        self,
        target: targets_lib.RegisteredTarget,
        work: engine_model.Workload,
        cached_tokens: int,
        usual_ms: float,
        total_ms: float,
    ) -> None:
        self.target = target
        self.work = work
        self.cached_tokens = cached_tokens
        self.usual_ms = usual_ms
        self.total_ms = total_ms


def _shared_part_id(prompt: metadata.Prompt) -> str | None:
    """Returns the last part that other requests may have as well."""
    return prompt.parts[-2].part_id if len(prompt.parts) > 1 else None


def _own_tokens(prompt: metadata.Prompt) -> int:
    """Returns the tokens of a prompt without those that may be cached."""
    shared = sum(part.tokens for part in prompt.parts[:-1])
    return max(0, prompt.input_tokens - shared)
