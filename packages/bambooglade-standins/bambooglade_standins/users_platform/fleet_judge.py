"""Judges a run from what callers got and what engines received; without I/O.

See Also:
    bambooglade_standins.users_platform.fleet_records: the records.
    bambooglade_standins.users_platform.soak_fleet: the run.
"""

from __future__ import annotations

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import types

from bambooglade_standins.users_platform import engine_process
from bambooglade_standins.users_platform import fleet_disturbances
from bambooglade_standins.users_platform import fleet_records
from bambooglade_standins.users_platform import fleet_service
from bambooglade_standins.users_platform import fleet_violations

MAX_EXCESS_RUNS = 3
"""Requests that may run on more engines than their route allows."""

MAX_UNANSWERED = 3
"""Requests on kept connections that may be passed on and not answered."""

CUT_RATIO = 3.0
"""How many times more often than otherwise requests may be cut at changes."""

USED_TIME_SHARE = 0.7
"""Part of its time after which a request that is cut is not counted."""

APPLY_BOUND_MS = 2_000
AFTER_APPLY_MS = 1_000
"""Time after the bound for applying a change in which cuts count for it."""

ROLLBACK_SLACK_MS = 250
"""Time after the effect of a change from which it may not be undone."""

LOSS_SLACK_MS = 200
"""Time within which a request may cross the end of its connection."""

SENT_LATE_MS = 3_000
"""Time after a stop from which a request is never to be cut."""

LAST_PART_OF_GRACE = 1 / 6
"""Part of the grace at whose begin an engine may still be at work."""

AFTER_GRACE_MS = 1_000
MAX_LONGER_MS = 500
"""Time by which an engine may be told to have more than its caller has."""

PAUSE_SLACK_MS = 500
"""Time after which a requested pause is kept."""

MAX_IN_PAUSE = 2
"""Requests that an engine may get from a gateway within a pause."""

REQUEST_CRASHES = 3
"""Crashes after which it is known that a request is fatal."""

PART_CRASHES = 5
"""The same for a part of prompts."""

MAX_FATAL = 3
"""Fatal requests that may reach engines once it is known that they are."""

MAX_LONGER_REQUESTS = 20
MAX_LONGER_SHARE = 0.2
DRAIN_MS = 2_000
EVACUATION_MS = 5_000
"""Time after which the engines of an evacuated zone get no requests."""

COLD_OVERSHOOT = 1.5
COLD_SLACK = 5
"""Factor of the rate of cold engines, and requests beside, in any second."""

COLD_KNOWN_MS = 2_000
"""Time after which it is known that a running engine is cold again."""

LATE_REPEAT_MS = 500
"""Time after the first arrival from which a repeat counts as sent late."""

PROMISES = (408, 421, 429, 503)
_END_OF_EVENT = "\n\n"
_COMMENT = ":"
_SUCCESS = 200
_MISDIRECTED = 421


class Bounds:
    """Bounds of the retry budget and of planned stops.

    Attributes:
        ratio: Allowed repeats per request.
        slack: Allowed repeats per window in addition to the ratio.
        window_ms: Length of the window.
        grace_ms: Time that a gateway has to stop.
    """

    __slots__ = ("grace_ms", "ratio", "slack", "window_ms")

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_ms: int,
        grace_ms: int = 8_000,
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_ms = window_ms
        self.grace_ms = grace_ms


class WindowCounts:
    """Counts of events in windows that slide.

    Args:
        times_ms: Times of the events, in any order.

    Examples:
        >>> counts = WindowCounts([0, 5, 10])
        >>> counts.count(0, 10), counts.count(1, 11)
        (2, 2)
    """

    __slots__ = ("_times_ms",)

    def __init__(self, times_ms: Iterable[int]) -> None:
        self._times_ms = sorted(times_ms)

    def count(self, begin_ms: float, end_ms: float) -> int:
        """Returns the number of events from a time until before another."""
        times_ms = self._times_ms
        return bisect.bisect_left(times_ms, end_ms) - bisect.bisect_left(
            times_ms, begin_ms
        )


class BudgetUse:
    """The window of a service that is closest to its retry budget.

    Attributes:
        at_ms: Start of the window.
        repeats: Arrivals beyond the first of each request.
        allowed: Repeats that the rule allows.
    """

    __slots__ = ("allowed", "at_ms", "repeats")

    def __init__(self, *, at_ms: float, repeats: int, allowed: float) -> None:
        self.at_ms = at_ms
        self.repeats = repeats
        self.allowed = allowed

    @property
    def excess(self) -> float:
        """Repeats beyond those that are allowed; negative if there are none."""
        return self.repeats - self.allowed

    def __repr__(self) -> str:
        return f"{self.repeats} of {self.allowed:.1f} repeats"


def worst_window(
    repeat_times_ms: Sequence[int],
    request_times_ms: Iterable[int],
    bounds: Bounds,
) -> BudgetUse | None:
    """Returns the window with the most repeats beyond those allowed.

    Requests are counted in the window, the one before it or the one half a
    window before it, whichever has most.

    Args:
        repeat_times_ms: Times of the repeats at one service.
        request_times_ms: Times of the requests for it.
        bounds: The retry budget.

    Returns:
        The window; None without repeats.
    """
    repeats = WindowCounts(repeat_times_ms)
    requests = WindowCounts(request_times_ms)
    window_ms = bounds.window_ms
    uses = []
    for at_ms in repeat_times_ms:
        for begin_ms in (at_ms, at_ms - window_ms + 1):
            counted = max(
                requests.count(
                    begin_ms - shift_ms, begin_ms - shift_ms + window_ms
                )
                for shift_ms in (0, window_ms / 2, window_ms)
            )
            uses.append(
                BudgetUse(
                    at_ms=begin_ms,
                    repeats=repeats.count(begin_ms, begin_ms + window_ms),
                    allowed=bounds.ratio * counted + bounds.slack,
                )
            )
    return max(uses, key=lambda use: use.excess, default=None)


class Judge:
    """Finds the broken rules of one run.

    Args:
        engine_records: What the engines received, in any order.
        caller_records: What the callers got, in any order.
        changes: Versions of the configuration, in order.
        bounds: The retry budget, and the grace of planned stops.
        troubles: What was disturbed, at the times at which it was.
        gateway_by_host: Gateways by the addresses that they connect from.
        cold_times: When engines were cold, by their registrations.

    Attributes:
        budget_by_service: The worst window of each service.
        excess_runs_count: Requests that ran on too many engines.
        late_fatal_by_cause: Fatal requests that reached engines once it was
            known that they are fatal.
        longer_deadlines: Requests that were passed on with more time than was
            left, and all that were counted.
        most_in_pause: Most requests of a gateway in a pause of an engine.
        most_while_cold: Most requests that a cold engine got in a second.
        service: Judge of what callers are served.
        unanswered_count: Requests on kept connections that were passed on and
            not answered.
        cut_in_stops: Requests that were cut in planned stops without excuse.
        cuts_at_changes: Requests that were cut around a change.
        cuts_otherwise: Requests that were cut at other times.
    """

    def __init__(
        self,
        engine_records: Iterable[fleet_records.EngineRecord],
        caller_records: Iterable[fleet_records.CallerRecord],
        changes: Sequence[fleet_records.Change],
        bounds: Bounds,
        troubles: Iterable[fleet_records.Trouble] = (),
        gateway_by_host: Mapping[str, str] = types.MappingProxyType({}),
        cold_times: Sequence[fleet_records.ColdTime] = (),
    ) -> None:
        self._disturbances = fleet_disturbances.Disturbances(troubles)
        self._gateway_by_host = gateway_by_host
        self._cold_times = list(cold_times)
        self._changes = list(changes)
        self._bounds = bounds
        self._engine_records = sorted(engine_records, key=lambda r: r.at_ms)
        self._caller_records = sorted(
            caller_records, key=lambda r: r.sent_at_ms
        )
        self._caller_by_attempt = {r.attempt: r for r in self._caller_records}
        self._steps_by_attempt: dict[str, list[fleet_records.EngineRecord]] = (
            collections.defaultdict(list)
        )
        for record in self._engine_records:
            self._steps_by_attempt[record.attempt].append(record)
        self.budget_by_service: dict[str, BudgetUse] = {}
        self.excess_runs_count = 0
        self.late_fatal_by_cause: dict[str, int] = {}
        self.longer_deadlines = (0, 0)
        self.most_in_pause = 0
        self.most_while_cold = 0
        self.unanswered_count = 0
        self.cut_in_stops: list[fleet_records.CallerRecord] = []
        self.service = fleet_service.ServiceJudge(
            self._caller_records,
            self._steps_by_attempt,
            self._changes,
            self._disturbances,
        )
        self.cuts_at_changes: list[fleet_records.CallerRecord] = []
        self.cuts_otherwise: list[fleet_records.CallerRecord] = []

    def violations(self) -> list[fleet_violations.Violation]:
        """Returns the broken rules, in order of time."""
        found = itertools.chain(
            self._budget(),
            self._excess_runs(),
            self._repeated_runs(),
            self._false_promises(),
            self._longer_deadlines(),
            self._arrivals_in_pauses(),
            self._fatal_requests(),
            self._unanswered(),
            self._cut_in_stops(),
            self._late_at_leaving(),
            self._late_in_evacuated_zones(),
            self._overloaded_cold_engines(),
            self._cuts(),
            self._streams(),
            self._plain_responses(),
            self._configuration(),
            self.service.violations(),
        )
        return sorted(found, key=lambda violation: violation.at_ms)

    def summary(self) -> str:
        """Returns the fullest window of the retry budget of each service."""
        repeats = collections.Counter(r.service for r in self.repeats())
        return (
            f"requests={len(self._caller_records)} repeats={dict(repeats)}"
            f" fullest={self.budget_by_service}"
            f" cut_in_stops={len(self.cut_in_stops)}"
            f" late_fatal={self.late_fatal_by_cause}"
            f" in_pauses={self.most_in_pause}"
            f" while_cold={self.most_while_cold}"
            f" unanswered={self.unanswered_count}"
            f" excess_runs={self.excess_runs_count}"
            f" longer_deadlines={self.longer_deadlines}"
            f" served={self.service.served_by_service}"
            f" neighbours={self.service.neighbours}"
            f" tokens={self.service.used_tokens}"
        )

    def _change_at(self, at_ms: int) -> fleet_records.Change:
        """Returns the newest version that was accepted by a time."""
        known = [c for c in self._changes if c.at_ms <= at_ms]
        return known[-1] if known else self._changes[0]

    def _route(
        self, record: fleet_records.CallerRecord
    ) -> fleet_records.RouteState:
        return self._change_at(record.sent_at_ms).route_by_kind[record.kind]

    def _runs(self, attempt: str) -> list[fleet_records.EngineRecord]:
        """Returns the starts of the runs of a request."""
        steps = self._steps_by_attempt.get(attempt, [])
        return [s for s in steps if s.step is fleet_records.Step.STARTED]

    def repeats(self) -> Iterator[fleet_records.EngineRecord]:
        """Yields the arrivals at a service beyond the first of each request."""
        seen: set[tuple[str, str]] = set()
        for record in self._engine_records:
            if record.step is not fleet_records.Step.ARRIVED:
                continue
            key = record.service, record.attempt
            if key in seen:
                yield record
            seen.add(key)

    def _budget(self) -> Iterator[fleet_violations.Violation]:
        repeat_times_ms = collections.defaultdict(list)
        for record in self.repeats():
            repeat_times_ms[record.service].append(record.at_ms)
        request_times_ms = collections.defaultdict(list)
        for record in self._caller_records:
            for service in self._route(record).services:
                request_times_ms[service].append(record.sent_at_ms)
        for service, times_ms in repeat_times_ms.items():
            use = worst_window(
                times_ms, request_times_ms[service], self._bounds
            )
            self.budget_by_service[service] = use
            if use.excess > 0:
                yield fleet_violations.Violation(
                    "BUDGET", round(use.at_ms), f"{service}: {use}"
                )

    def _excess_runs(self) -> Iterator[fleet_violations.Violation]:
        excess = []
        for record in self._caller_records:
            engines = {
                run.engine
                for run in self._runs(record.attempt)
                if self._is_alive_until(run, record.ended_at_ms)
            }
            if len(engines) > self._route(record).max_attempts:
                excess.append(record)
        self.excess_runs_count = len(excess)
        if len(excess) > MAX_EXCESS_RUNS:
            yield fleet_violations.Violation(
                "BUDGET",
                excess[0].sent_at_ms,
                f"{len(excess)} requests ran on too many engines:"
                f" {_attempts(excess)}",
            )

    def _is_alive_until(
        self, run: fleet_records.EngineRecord, until_ms: int
    ) -> bool:
        """Returns whether an engine has recorded the end of a run.

        One that crashed has not; a run that goes on counts.
        """
        return any(
            step.engine == run.engine
            and step.step is not fleet_records.Step.ARRIVED
            and step is not run
            for step in self._steps_by_attempt[run.attempt]
        ) or self._disturbances.is_sound(run.engine, run.at_ms, until_ms)

    def _longer_deadlines(self) -> Iterator[fleet_violations.Violation]:
        counted = longer = 0
        example = None
        for record in self._caller_records:
            if record.events:
                continue
            due_ms = record.sent_at_ms + record.deadline_ms
            steps = self._steps_by_attempt.get(record.attempt, [])
            for step in steps:
                if step.step is not fleet_records.Step.ARRIVED or not (
                    self._disturbances.is_in_touch(
                        record.gateway, record.sent_at_ms, step.at_ms
                    )
                    and self._disturbances.is_sound(
                        step.engine, record.sent_at_ms, step.at_ms
                    )
                ):
                    continue
                counted += 1
                is_longer = step.deadline_ms is None or (
                    step.deadline_ms > record.deadline_ms + MAX_LONGER_MS
                )
                if step.at_ms > steps[0].at_ms + LATE_REPEAT_MS:
                    is_longer |= (
                        step.at_ms + (step.deadline_ms or 0)
                        > due_ms + MAX_LONGER_MS
                    )
                if is_longer:
                    longer += 1
                    example = example or record
        self.longer_deadlines = longer, counted
        if longer > max(MAX_LONGER_REQUESTS, MAX_LONGER_SHARE * counted):
            yield fleet_violations.Violation(
                "BUDGET",
                example.sent_at_ms,
                f"{longer} of {counted} requests were passed on with more time"
                f" than was left, first {example.attempt}",
            )

    def _arrivals_in_pauses(self) -> Iterator[fleet_violations.Violation]:
        """Yields engines that got requests in the pauses they asked for."""
        arrivals = collections.defaultdict(list)
        pauses = {}
        for record in self._engine_records:
            sender = self._gateway_by_host.get(record.host, record.host)
            key = record.engine, sender
            if record.step is fleet_records.Step.ARRIVED:
                arrivals[key].append(record.at_ms)
            elif record.pause_ms:
                pauses.setdefault(key, []).append(record)
        for (engine, gateway), declines in pauses.items():
            counts = WindowCounts(arrivals[engine, gateway])
            for record in declines:
                end_ms = record.at_ms + record.pause_ms
                if not self._disturbances.is_in_touch(
                    gateway, record.at_ms, end_ms
                ):
                    continue
                count = counts.count(record.at_ms + PAUSE_SLACK_MS, end_ms)
                self.most_in_pause = max(self.most_in_pause, count)
                if count > MAX_IN_PAUSE:
                    yield fleet_violations.Violation(
                        "BUDGET",
                        record.at_ms,
                        f"{engine} got {count} requests from {gateway} in the"
                        f" pause of {record.pause_ms} ms that it asked for",
                    )
                    break

    def _fatal_requests(self) -> Iterator[fleet_violations.Violation]:
        """Yields what reaches engines although it is known to be fatal."""
        steps_by_cause: dict[
            str, list[tuple[fleet_records.EngineRecord, int]]
        ] = collections.defaultdict(list)
        for step in self._engine_records:
            caller = self._caller_by_attempt.get(step.attempt)
            if caller is not None and caller.is_fatal:
                is_repeated = caller.subject == engine_process.FATAL_SUBJECT
                cause = f"request {caller.kind}" if is_repeated else "a part"
                steps_by_cause[cause].append((step, caller))
        for cause, steps in steps_by_cause.items():
            limit = PART_CRASHES if cause == "a part" else REQUEST_CRASHES
            kinds = fleet_records.Step
            crashes = [s.at_ms for s, _ in steps if s.step is kinds.CRASHED]
            if len(crashes) < limit:
                continue
            known_ms = crashes[limit - 1] + fleet_disturbances.CONTACT_MS
            late = [
                step
                for step, caller in steps
                if step.step is kinds.ARRIVED
                and caller.sent_at_ms > known_ms
                and self._disturbances.is_in_touch(
                    caller.gateway, caller.sent_at_ms, step.at_ms
                )
            ]
            self.late_fatal_by_cause[cause] = len(late)
            if len(late) > MAX_FATAL:
                yield fleet_violations.Violation(
                    "BUDGET",
                    late[0].at_ms,
                    f"{cause} reached engines {len(late)} times after {limit}"
                    f" crashes; {len(crashes)} crashes in all",
                )

    def _cut_in_stops(self) -> Iterator[fleet_violations.Violation]:
        """Yields requests that a planned stop has cut without an excuse."""
        for gateway, stopped_at_ms in self._disturbances.stops():
            end_ms = stopped_at_ms + self._bounds.grace_ms + AFTER_GRACE_MS
            for record in self._caller_records:
                if (
                    record.gateway == gateway
                    and stopped_at_ms <= record.ended_at_ms <= end_ms
                    and record.end is fleet_records.End.CLOSED
                    and self._is_cut_in_stop(record, stopped_at_ms)
                ):
                    self.cut_in_stops.append(record)
                    yield fleet_violations.Violation(
                        "LOST",
                        record.ended_at_ms,
                        f"{record.attempt} was sent to {gateway}"
                        f" {record.sent_at_ms - stopped_at_ms} ms after its"
                        f" stop began and cut"
                        f" {record.ended_at_ms - stopped_at_ms} ms after it",
                    )

    def _is_cut_in_stop(
        self, record: fleet_records.CallerRecord, stopped_at_ms: int
    ) -> bool:
        if not self._disturbances.is_calm(
            record.sent_at_ms, record.ended_at_ms
        ):
            return False
        steps = self._steps_by_attempt.get(record.attempt, [])
        kinds = fleet_records.Step
        used_ms = record.ended_at_ms - record.sent_at_ms
        timeout_ms = self._route(record).timeout_ms
        if used_ms >= min(record.deadline_ms, timeout_ms):
            return False
        if not steps:
            return used_ms > LOSS_SLACK_MS
        if steps[-1].step in (kinds.EXPIRED, kinds.BROKEN):
            return False
        last_part_ms = stopped_at_ms + round(
            self._bounds.grace_ms * (1 - LAST_PART_OF_GRACE)
        )
        is_at_work = (
            any(step.step is kinds.STARTED for step in steps)
            and record.ended_at_ms >= last_part_ms
            and not any(
                step.step is kinds.FINISHED and step.at_ms < last_part_ms
                for step in steps
            )
        )
        was_sent_early = record.sent_at_ms <= stopped_at_ms + SENT_LATE_MS
        return not (is_at_work and was_sent_early)

    def _late_at_leaving(self) -> Iterator[fleet_violations.Violation]:
        """Yields requests that reach an engine long after it said it leaves."""
        for trouble in self._disturbances.leaves():
            acknowledged_ms = trouble.began_at_ms
            if not self._disturbances.is_calm(
                acknowledged_ms, trouble.ended_at_ms
            ):
                continue
            for record in self._engine_records:
                if (
                    record.step is fleet_records.Step.ARRIVED
                    and self._is_leaving(record.engine, trouble)
                    and acknowledged_ms + DRAIN_MS
                    < record.at_ms
                    <= trouble.ended_at_ms
                ):
                    yield fleet_violations.Violation(
                        "DRAIN",
                        record.at_ms,
                        f"{record.attempt} reached {record.engine}"
                        f" {record.at_ms - acknowledged_ms} ms after it left",
                    )

    def _taken_requests(self) -> Iterator[fleet_records.EngineRecord]:
        """Yields the arrivals, except of requests that get status 421."""
        arrival_by_key: dict[tuple[str, str], fleet_records.EngineRecord] = {}
        for record in self._engine_records:
            key = record.engine, record.attempt
            arrival = arrival_by_key.pop(key, None)
            if arrival is not None and record.status != _MISDIRECTED:
                yield arrival
            if record.step is fleet_records.Step.ARRIVED:
                arrival_by_key[key] = record
        yield from arrival_by_key.values()

    def _late_in_evacuated_zones(self) -> Iterator[fleet_violations.Violation]:
        """Yields requests that reach engines of zones long evacuated."""
        evacuations = list(self._disturbances.evacuations())
        if not evacuations:
            return
        for record in self._taken_requests():
            gateway = self._gateway_by_host.get(record.host, record.host)
            late_ms = max(
                (
                    record.at_ms - trouble.began_at_ms
                    for trouble in evacuations
                    if record.zone in trouble.names
                    and record.at_ms < trouble.ended_at_ms
                ),
                default=0,
            )
            since_ms = record.at_ms - EVACUATION_MS
            if (
                late_ms > EVACUATION_MS
                and self._disturbances.is_informed(
                    gateway, since_ms, record.at_ms
                )
                and not self._disturbances.is_paused(
                    record.engine, record.at_ms, record.at_ms
                )
            ):
                yield fleet_violations.Violation(
                    "EVACUATE",
                    record.at_ms,
                    f"{record.attempt} from {gateway} reached {record.engine}"
                    f" {late_ms} ms after {record.zone} was evacuated",
                )

    def _cold_after_evacuations(self) -> Iterator[fleet_records.ColdTime]:
        """Yields the cold times that follow the ends of evacuations."""
        zone_by_engine = {r.engine: r.zone for r in self._engine_records}
        for trouble in self._disturbances.evacuations():
            for engine, zone in zone_by_engine.items():
                if zone in trouble.names:
                    yield fleet_records.ColdTime(
                        engine=engine,
                        # Who has not read the end yet sends nothing.
                        began_at_ms=trouble.ended_at_ms - COLD_KNOWN_MS,
                        ended_at_ms=trouble.ended_at_ms
                        + 1_000 * self._changes[0].cold_start_s,
                        is_start=False,
                    )

    def _overloaded_cold_engines(self) -> Iterator[fleet_violations.Violation]:
        """Yields cold engines that get more in a second than they tolerate."""
        per_s = self._changes[0].cold_per_s
        if not per_s:
            return
        arrivals_by_engine = collections.defaultdict(list)
        for record in self._taken_requests():
            arrivals_by_engine[record.engine].append(record)
        for cold in (*self._cold_times, *self._cold_after_evacuations()):
            times_ms = [
                record.at_ms
                for record in arrivals_by_engine[cold.engine]
                if self._is_counted_while_cold(record, cold)
            ]
            counts = WindowCounts(times_ms)
            most, at_ms = max(
                (counts.count(at_ms, at_ms + 1_000), at_ms)
                for at_ms in times_ms or [cold.began_at_ms]
            )
            self.most_while_cold = max(self.most_while_cold, most)
            if most > COLD_OVERSHOOT * per_s + COLD_SLACK:
                yield fleet_violations.Violation(
                    "COLD",
                    at_ms,
                    f"{cold.engine} got {most} requests in a second,"
                    f" {at_ms - cold.began_at_ms} ms after {cold}",
                )

    def _is_counted_while_cold(
        self, record: fleet_records.EngineRecord, cold: fleet_records.ColdTime
    ) -> bool:
        """Returns whether the rate of a cold engine holds for a request.

        Whoever sends to an engine that has just started has read that it is
        cold; that it is cold again has to be known first.
        """
        if not (
            cold.began_at_ms <= record.at_ms < cold.ended_at_ms
        ) or self._disturbances.is_paused(
            record.engine, record.at_ms, record.at_ms
        ):
            return False
        known_ms = record.at_ms - COLD_KNOWN_MS
        gateway = self._gateway_by_host.get(record.host, record.host)
        return cold.is_start or (
            known_ms >= cold.began_at_ms
            and self._disturbances.is_informed(gateway, known_ms, record.at_ms)
        )

    def _is_leaving(
        self, engine: str, trouble: fleet_records.EnginesLeave
    ) -> bool:
        """Returns whether an engine is the one that left, not the next one."""
        if engine.partition("~")[0] not in trouble.names:
            return False
        arrivals = [r.at_ms for r in self._engine_records if r.engine == engine]
        return arrivals[0] < trouble.began_at_ms

    def _repeated_runs(self) -> Iterator[fleet_violations.Violation]:
        for record in self._caller_records:
            runs = self._runs(record.attempt)
            if len(runs) > 1 and not self._route(record).is_repeatable:
                yield fleet_violations.Violation(
                    "TWICE",
                    runs[1].at_ms,
                    f"{record.attempt} ran at {_engines(runs)}",
                )

    def _false_promises(self) -> Iterator[fleet_violations.Violation]:
        for record in self._caller_records:
            runs = self._runs(record.attempt)
            if (
                runs
                and record.status in PROMISES
                and not self._route(record).is_repeatable
            ):
                yield fleet_violations.Violation(
                    "REFUSED",
                    record.ended_at_ms,
                    f"{record.attempt} got {record.status} and ran at"
                    f" {_engines(runs)}",
                )

    def _unanswered(self) -> Iterator[fleet_violations.Violation]:
        unanswered = [
            record
            for record in self._caller_records
            if record.end is fleet_records.End.CLOSED
            and record.status is None
            and record.idle_ms is not None
            and record.attempt in self._steps_by_attempt
            and self._disturbances.is_in_touch(
                record.gateway, record.sent_at_ms, record.ended_at_ms
            )
            and all(
                self._disturbances.is_sound(
                    step.engine, record.sent_at_ms, record.ended_at_ms
                )
                for step in self._steps_by_attempt[record.attempt]
            )
        ]
        self.unanswered_count = len(unanswered)
        if len(unanswered) > MAX_UNANSWERED:
            yield fleet_violations.Violation(
                "LOST",
                unanswered[0].ended_at_ms,
                f"{len(unanswered)} requests from kept connections were passed"
                f" on and not answered: {_attempts(unanswered)}",
            )

    def _is_cut(self, record: fleet_records.CallerRecord) -> bool:
        """Returns whether a gateway broke a request off without a reason."""
        steps = self._steps_by_attempt.get(record.attempt)
        if record.end is not fleet_records.End.CLOSED or not steps:
            return False
        if self._disturbances.is_ended(
            record.gateway, record.sent_at_ms, record.ended_at_ms
        ):
            return False
        broken_off = fleet_records.Step.EXPIRED, fleet_records.Step.BROKEN
        if any(
            step.step in broken_off
            or self._disturbances.is_killed(
                step.engine, step.at_ms, record.ended_at_ms
            )
            for step in steps
        ):
            return False
        time_ms = min(record.deadline_ms, self._route(record).timeout_ms)
        used_ms = record.ended_at_ms - record.sent_at_ms
        return used_ms < USED_TIME_SHARE * time_ms

    def _is_at_change(self, at_ms: int) -> bool:
        return any(
            change.at_ms
            <= at_ms
            <= change.at_ms + APPLY_BOUND_MS + AFTER_APPLY_MS
            for change in self._changes[1:]
        )

    def _cuts(self) -> Iterator[fleet_violations.Violation]:
        if any(self._disturbances.stops()):
            # A cut in a stop has a rule of its own.
            return
        cut = list(filter(self._is_cut, self._caller_records))
        self.cuts_at_changes = [
            r for r in cut if self._is_at_change(r.ended_at_ms)
        ]
        self.cuts_otherwise = [
            r for r in cut if not self._is_at_change(r.ended_at_ms)
        ]
        ended = len(self._caller_records)
        ended_at_changes = sum(
            self._is_at_change(r.ended_at_ms) for r in self._caller_records
        )
        rate_at_changes = len(self.cuts_at_changes) / max(1, ended_at_changes)
        rate_otherwise = len(self.cuts_otherwise) / max(
            1, ended - ended_at_changes
        )
        if self.cuts_at_changes and (
            rate_at_changes > CUT_RATIO * rate_otherwise
        ):
            yield fleet_violations.Violation(
                "LOST",
                self.cuts_at_changes[0].ended_at_ms,
                f"{len(self.cuts_at_changes)} requests were cut around changes"
                f" and {len(self.cuts_otherwise)} otherwise:"
                f" {_attempts(self.cuts_at_changes)}",
            )

    def _streams(self) -> Iterator[fleet_violations.Violation]:
        place_by_subject: dict[str, tuple[str, str]] = {}
        for record in self._caller_records:
            if not record.events or record.status != _SUCCESS:
                continue
            *events, rest = record.body.split(_END_OF_EVENT)
            is_complete = record.end is fleet_records.End.COMPLETE
            if is_complete and rest.strip("\n"):
                yield _in_stream("MIXED", record, f"ends with {rest[:80]!r}")
            number = record.after_event
            if not record.after_event:
                place_by_subject.pop(record.subject, None)
            for text in events:
                if text.startswith(_COMMENT):
                    continue
                event = _Event.parse(text)
                if event is None:
                    yield _in_stream("MIXED", record, f"contains {text[:80]!r}")
                    break
                if event.subject != record.subject:
                    yield _in_stream("MIXED", record, f"has {text!r}")
                    break
                if event.number != number + 1:
                    yield _in_stream(
                        "ORDER",
                        record,
                        f"event {event.number} follows event {number}",
                    )
                    break
                number = event.number
                place = place_by_subject.setdefault(record.subject, event.place)
                if place != event.place:
                    yield _in_stream(
                        "ORDER",
                        record,
                        f"event {number} is of {event.place}, those before of"
                        f" {place}",
                    )
                    break
            else:
                if is_complete and number != record.events:
                    yield _in_stream(
                        "ORDER",
                        record,
                        f"ends as complete after event {number} of"
                        f" {record.events}",
                    )

    def _plain_responses(self) -> Iterator[fleet_violations.Violation]:
        for record in self._caller_records:
            if record.events or record.status != _SUCCESS:
                continue
            own = f"{record.subject} {record.attempt}"
            is_own = record.body == own
            if record.end is not fleet_records.End.COMPLETE:
                is_own = own.startswith(record.body)
            if not is_own:
                yield fleet_violations.Violation(
                    "MIXED",
                    record.ended_at_ms,
                    f"{record.attempt} got {record.body[:80]!r}",
                )

    def _configuration(self) -> Iterator[fleet_violations.Violation]:
        """Yields requests that are handled as only an older version allows.

        A stream that is resumed goes on where it began, whatever the route.
        """
        newest_by_gateway: dict[str, int] = {}
        seen_ms_by_gateway_and_version: dict[tuple[str, int], int] = {}
        records = sorted(
            (
                (run.at_ms, run, record)
                for record in self._caller_records
                if not record.after_event
                and self._disturbances.is_in_touch(
                    record.gateway, record.sent_at_ms, record.ended_at_ms
                )
                for run in self._runs(record.attempt)
            ),
            key=lambda entry: entry[0],
        )
        for at_ms, run, record in records:
            allowing = [
                number
                for number, change in enumerate(self._changes)
                if run.service in change.route_by_kind[record.kind].services
                and change.at_ms <= at_ms
            ]
            if not allowing:
                yield fleet_violations.Violation(
                    "ROUTE", at_ms, f"{record.attempt} ran at {run.service}"
                )
                continue
            newest, gateway = allowing[-1], record.gateway
            due = [
                number
                for number, change in enumerate(self._changes)
                if change.at_ms + APPLY_BOUND_MS < record.sent_at_ms
            ]
            if due and newest < due[-1]:
                left_ms = self._changes[newest + 1].at_ms
                yield fleet_violations.Violation(
                    "CONFIG",
                    at_ms,
                    f"{record.attempt} ran at {run.service}, which the route"
                    f" left {record.sent_at_ms - left_ms} ms before it was"
                    " sent",
                )
            seen = newest_by_gateway.get(gateway, 0)
            seen_ms = seen_ms_by_gateway_and_version.get((gateway, seen), at_ms)
            if newest < seen and (
                record.sent_at_ms > seen_ms + ROLLBACK_SLACK_MS
            ):
                yield fleet_violations.Violation(
                    "CONFIG",
                    at_ms,
                    f"{record.attempt} was handled by {gateway} as version"
                    f" {newest} allows, after an effect of {seen}",
                )
            oldest = allowing[0]
            if oldest > seen:
                newest_by_gateway[gateway] = oldest
                seen_ms_by_gateway_and_version[gateway, oldest] = at_ms


class _Event:
    """One event of a stream.

    Attributes:
        number: Its id.
        subject: Subject of the stream.
        place: Service and software version of its engine.
    """

    __slots__ = ("number", "place", "subject")

    def __init__(
        self, number: int, subject: str, place: tuple[str, str]
    ) -> None:
        self.number = number
        self.subject = subject
        self.place = place

    @classmethod
    def parse(cls, text: str) -> _Event | None:
        """Returns the event; None for text that is no event of an engine."""
        lines = text.split("\n")
        if len(lines) != 2 or not lines[0].startswith("id: "):
            return None
        words = lines[1].removeprefix("data: ").split(" ")
        if len(words) != 4 or words[3] != lines[0].removeprefix("id: "):
            return None
        return cls(int(words[3]), words[0], (words[1], words[2]))


def _in_stream(
    rule: str, record: fleet_records.CallerRecord, detail: str
) -> fleet_violations.Violation:
    resumed = f" (resumes {record.resumes})" if record.resumes else ""
    return fleet_violations.Violation(
        rule,
        record.ended_at_ms,
        f"stream {record.attempt}{resumed} at {record.gateway} {detail}",
    )


def _attempts(records: Sequence[fleet_records.CallerRecord]) -> str:
    return ", ".join(record.attempt for record in records[:10])


def _engines(records: Sequence[fleet_records.EngineRecord]) -> str:
    return ", ".join(record.engine for record in records)
