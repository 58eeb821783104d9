"""Thread-safe access to the routing policy, guarded by a single lock.

See Also:
    bambooglade.targets: the policy itself, without locks.
    bambooglade.router.target_watcher: polls targets and reports to this module.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import random
import threading

from absl import logging

from bambooglade.core import clock as clocks
from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.table import rows
from bambooglade.table import view
from bambooglade.targets import affinity
from bambooglade.targets import breaker
from bambooglade.targets import chooser
from bambooglade.targets import exclusions
from bambooglade.targets import failure_rates
from bambooglade.targets import latency
from bambooglade.targets import leaving
from bambooglade.targets import load as load_lib
from bambooglade.targets import requested_pauses
from bambooglade.targets import retry_budget
from bambooglade.targets import target as target_lib
from bambooglade.targets import warm_ups as warm_ups_lib
from bambooglade.targets import weights

_ANY_RUN = 0
"""Start of a run, which targets of this interface do not state."""


class TargetDirectory:
    """Chooses targets, and records the outcomes of dispatches.

    Args:
        availability_zone: Zone of this instance.
        instance_id: Id of this instance.
        table: The rows in force.
        clock: Source of the current time.
        leaving_targets: Shared with the gossip about leaving targets.
        warm_ups: Limits of targets that have just started; used under the lock
            of the directory only.

    Examples:
        >>> table = view.FixedTable([rows.TargetRow(target_id="e1",
        ...     service="jury", availability_zone="z", url="http://127.0.0.1")])
        >>> directory = TargetDirectory(availability_zone="z",
        ...     instance_id="i1", table=table, clock=clocks.ManualClock())
        >>> directory.choose("jury", blocks=(), tried=()).target.target_id
        'e1'
    """

    __slots__ = (
        "_availability_zone",
        "_breakers",
        "_budget",
        "_clock",
        "_failures",
        "_latency",
        "_leaving",
        "_load",
        "_lock",
        "_pauses",
        "_prefixes",
        "_software_version_by_target",
        "_table",
        "_turn_counter",
        "_warm_ups",
        "_weights",
    )

    def __init__(
        self,
        *,
        availability_zone: identifiers.AvailabilityZone,
        instance_id: identifiers.InstanceId,
        table: view.TableView,
        clock: clocks.Clock,
        leaving_targets: leaving.LeavingTargets | None = None,
        warm_ups: warm_ups_lib.WarmUps | None = None,
    ) -> None:
        self._availability_zone = availability_zone
        self._table = table
        self._clock = clock
        self._lock = threading.Lock()
        self._turn_counter = itertools.count(
            hashing.stable_hash(instance_id) % 997
        )
        self._load = load_lib.LoadTracker()
        self._failures = failure_rates.FailureRates()
        self._latency = latency.LatencyTracker()
        self._prefixes = affinity.PrefixIndex()
        self._breakers = breaker.CircuitBreakers()
        self._budget = retry_budget.RetryBudget()
        self._weights = weights.WeightCache(instance_id=instance_id)
        self._software_version_by_target: dict[identifiers.TargetId, str] = {}
        self._leaving = leaving_targets or leaving.LeavingTargets()
        self._warm_ups = warm_ups or warm_ups_lib.WarmUps(table)
        self._pauses = requested_pauses.RequestedPauses(random.Random())

    def choose(
        self,
        service: identifiers.ServiceName,
        *,
        blocks: Sequence[str],
        tried: Sequence[identifiers.TargetId],
        software_version: str | None = None,
    ) -> chooser.Choice:
        """Chooses a target for a request, which is then sent to it.

        Args:
            service: The service.
            blocks: Hashes of the prompt's blocks; see `affinity.block_hashes`.
            tried: Targets that have already failed for this request.
            software_version: Version that the target needs, because it goes on
                with a stream; None for any. A target whose version is not known
                yet may be chosen.
        """
        while True:
            candidates = self.candidates(
                service,
                blocks=blocks,
                tried=tried,
                software_version=software_version,
            )
            choice = chooser.choose(
                candidates,
                self._availability_zone,
                turn=next(self._turn_counter),
            )
            # Another thread may have taken the place in the window meanwhile.
            # The target then has to wait, and is not a candidate again.
            if choice.target is None or self._try_acquire(choice.target):
                return choice

    def candidates(
        self,
        service: identifiers.ServiceName,
        *,
        blocks: Sequence[str] = (),
        tried: Sequence[identifiers.TargetId] = (),
        software_version: str | None = None,
    ) -> list[chooser.Candidate]:
        """Returns all targets of a service with their ratings; see `choose`."""
        now_ms = self._clock.now_ms()
        targets = list(target_lib.service_targets(self._table, service))
        with self._lock:
            target_ids = [target.target_id for target in targets]
            # The breakers may exclude only a part of the targets that operators
            # allow. Otherwise the two could exclude all of them together.
            allowed_ids = [
                target.target_id
                for target in targets
                if not exclusions.reason(target, self._table)
            ]
            open_target_ids = self._breakers.open_targets(allowed_ids, now_ms)
            load_by_target = self._load.estimates(target_ids, now_ms)
            median_ms = self._latency.median_ms(allowed_ids)
            return [
                self._candidate(
                    target,
                    blocks,
                    now_ms,
                    load=load_by_target[target.target_id],
                    slowness=max(
                        self._latency.slowness(
                            target.target_id, median_ms=median_ms, now_ms=now_ms
                        ),
                        self._failure_slowness(target.target_id, now_ms),
                    ),
                    excluded=self._exclusion(
                        target, tried, open_target_ids, now_ms
                    )
                    or self._version_conflict(target, software_version),
                )
                for target in targets
            ]

    def _try_acquire(self, target: target_lib.Target) -> bool:
        now_ms = self._clock.now_ms()
        with self._lock:
            return self._warm_ups.try_acquire(target, now_ms=now_ms)

    def set_fleet(self, own_url: str, urls: frozenset[str]) -> None:
        """Sets the instances that share the limits of targets that warm up.

        Args:
            own_url: Base URL of this instance.
            urls: Base URLs of all instances that may be running.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            self._warm_ups.set_fleet(own_url, urls, now_ms=now_ms)

    def refresh_warm_ups(self) -> int:
        """Logs the targets that begin or end to warm up; returns their number.

        It has to be called about once a second, to notice new targets.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            changes = list(self._warm_ups.refresh(now_ms=now_ms))
            count = self._warm_ups.warming_count
        for warm_up, is_warming in changes:
            logging.info(
                "event=%s target=%s service=%s max_requests_per_s=%s",
                "target_warming_up" if is_warming else "target_warm",
                warm_up.target.target_id,
                warm_up.target.service,
                warm_up.max_requests_per_s,
            )
        return count

    def is_excluded(self, service: identifiers.ServiceName) -> bool:
        """Returns whether operators exclude all targets of a service.

        It is false for a service without targets.
        """
        has_targets = False
        for target in target_lib.service_targets(self._table, service):
            if not exclusions.reason(target, self._table):
                return False
            has_targets = True
        return has_targets

    def services(self) -> list[identifiers.ServiceName]:
        """Returns the services that have targets, sorted."""
        service_names = {
            row.service for row in self._table.of_type(rows.TargetRow)
        }
        return [identifiers.ServiceName(name) for name in sorted(service_names)]

    def record_start(
        self,
        target_id: identifiers.TargetId,
        attempt_id: str,
        blocks: Sequence[str] = (),
    ) -> None:
        """Records the start of a dispatch."""
        now_ms = self._clock.now_ms()
        with self._lock:
            self._load.record_start(target_id, attempt_id, now_ms)
            self._breakers.record_dispatch(target_id, now_ms)
            self._prefixes.record_dispatch(target_id, blocks, now_ms)

    def record_end(
        self,
        target_id: identifiers.TargetId,
        attempt_id: str,
        *,
        is_complete: bool | None,
        unit_ms: float | None = None,
    ) -> None:
        """Records the end of a dispatch.

        Args:
            target_id: The target.
            attempt_id: Id of the dispatch.
            is_complete: Whether the response was complete; None if the router
                aborted the dispatch, which does not count for or against the
                target.
            unit_ms: Time per unit of work, in ms, for comparing targets.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            self._load.record_end(target_id, attempt_id, now_ms)
            if is_complete:
                self._breakers.record_success(target_id)
            elif is_complete is not None:
                self._breakers.record_failure(target_id, now_ms)
            if is_complete is not None:
                self._failures.record(target_id, not is_complete, now_ms=now_ms)
            if is_complete and unit_ms is not None:
                self._latency.record(target_id, unit_ms, now_ms)

    def record_first_attempt(self) -> None:
        """Records the first attempt of a request in the retry budget."""
        with self._lock:
            self._budget.deposit()

    def try_acquire_retry(self) -> bool:
        """Withdraws a retry from the budget; returns False if it is empty."""
        with self._lock:
            return self._budget.try_withdraw()

    def apply_load_report(
        self, target: target_lib.Target, report: load_lib.LoadReport
    ) -> None:
        """Applies a load report of a target."""
        now_ms = self._clock.now_ms()
        with self._lock:
            self._load.apply_report(target.target_id, report, now_ms)
            if report.uptime_ms is not None:
                self._warm_ups.record_uptime(
                    target, report.uptime_ms, now_ms=now_ms
                )
        if report.leaving:
            self.record_leaving(
                target.target_id, target.url, leaving.Source.TARGET
            )

    def record_leaving(
        self,
        target_id: identifiers.TargetId,
        url: str,
        source: leaving.Source,
    ) -> None:
        """Records a notice that a target is leaving."""
        notice = leaving.LeavingNotice(target_id=target_id, url=url)
        with self._lock:
            self._leaving.record(notice, source, self._clock.now_ms())

    def record_refused_connection(self, target: target_lib.Target) -> None:
        """Records that no process listens at a target."""
        now_ms = self._clock.now_ms()
        with self._lock:
            self._warm_ups.record_refusal(target, now_ms=now_ms)

    def record_pause(self, target: target_lib.Target, pause_s: float) -> None:
        """Records that a target wants nothing from this instance for a time.

        Args:
            target: The target.
            pause_s: Time in s.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            self._pauses.evict_expired(now_ms=now_ms)
            self._pauses.record(
                _pause_key(target), _ANY_RUN, pause_s, now_ms=now_ms
            )

    def pause_ms(self, service: identifiers.ServiceName) -> int:
        """Returns the time until the first target of a service is not paused.

        A target that warms up counts as paused until the fleet may send to it.
        The time is 0 if there is a target without a pause, or no target at all.
        Targets that operators exclude are left out.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            return min(
                (
                    max(
                        self._pause_ms(target, now_ms),
                        self._warm_ups.retry_after_ms(target, now_ms=now_ms),
                    )
                    for target in target_lib.service_targets(
                        self._table, service
                    )
                    if not exclusions.reason(target, self._table)
                ),
                default=0,
            )

    def _pause_ms(self, target: target_lib.Target, now_ms: int) -> int:
        return self._pauses.wait_ms(_pause_key(target), _ANY_RUN, now_ms=now_ms)

    def record_software_version(
        self, target_id: identifiers.TargetId, version: str
    ) -> None:
        """Records the software version that a target stated last."""
        with self._lock:
            self._software_version_by_target[target_id] = version

    def apply_cache_events(
        self,
        target_id: identifiers.TargetId,
        events: Sequence[affinity.CacheEvent],
    ) -> None:
        """Applies cache events of a target."""
        with self._lock:
            self._prefixes.apply_events(target_id, events, self._clock.now_ms())

    def last_cache_seq(self, target_id: identifiers.TargetId) -> int:
        """Returns the sequence number of the last cache event received."""
        with self._lock:
            return self._prefixes.last_seq(target_id)

    def refresh_weights(
        self, read: Callable[[], Mapping[identifiers.TargetId, float] | None]
    ) -> None:
        """Reads the weight store if a refresh is due.

        Args:
            read: Returns the weights, or None on failure; called without the
                lock.
        """
        with self._lock:
            is_due = self._weights.is_due(self._clock.now_ms())
        if not is_due:
            return
        weight_by_target = read()
        now_ms = self._clock.now_ms()
        with self._lock:
            if weight_by_target is None:
                self._weights.record_failure(now_ms)
            else:
                self._weights.update(weight_by_target, now_ms)

    def has_prefix_cache(self, target: target_lib.Target) -> bool:
        """Returns whether the target is a model engine with a prefix cache."""
        row = self._table.get(f"service/{target.service}")
        return not (
            isinstance(row, rows.ServiceRow)
            and row.form is rows.ServiceForm.PLAIN
        )

    def all_targets(self) -> list[target_lib.Target]:
        """Returns the targets of all services."""
        return [
            target
            for service in self.services()
            for target in target_lib.service_targets(self._table, service)
        ]

    def _candidate(
        self,
        target: target_lib.Target,
        blocks: Sequence[str],
        now_ms: int,
        *,
        load: float,
        slowness: float,
        excluded: str,
    ) -> chooser.Candidate:
        target_id = target.target_id
        cached = self._prefixes.cached_blocks(target_id, blocks, now_ms)
        return chooser.Candidate(
            target=target,
            weight=self._weights.weight(
                target_id, default=target.weight, now_ms=now_ms
            ),
            load=load,
            slowness=slowness,
            cached_share=cached / len(blocks) if blocks else 0.0,
            excluded=excluded,
        )

    def _failure_slowness(
        self, target_id: identifiers.TargetId, now_ms: int
    ) -> float:
        """Returns by how much a target that fails counts as more loaded.

        One that fails at once would always be the least loaded.
        """
        penalty = self._failures.penalty(target_id, now_ms=now_ms)
        return 1.0 + (latency.MAX_SLOWNESS - 1.0) * penalty

    def _exclusion(
        self,
        target: target_lib.Target,
        tried: Sequence[identifiers.TargetId],
        open_target_ids: set[identifiers.TargetId],
        now_ms: int,
    ) -> str:
        excluded = exclusions.reason(target, self._table)
        if excluded:
            return excluded
        if self._leaving.is_leaving(target.target_id, target.url, now_ms):
            return "leaving"
        if self._pause_ms(target, now_ms):
            return "asked for a pause"
        if target.target_id in tried:
            return "tried before"
        if target.target_id in open_target_ids:
            return "circuit open"
        if self._warm_ups.wait_ms(target, now_ms=now_ms):
            return "warming up"
        return ""

    def _version_conflict(
        self, target: target_lib.Target, software_version: str | None
    ) -> str:
        known = self._software_version_by_target.get(target.target_id)
        if None in (known, software_version) or known == software_version:
            return ""
        return "other software version"

    def __repr__(self) -> str:
        return f"TargetDirectory(availability_zone={self._availability_zone!r})"


def _pause_key(target: target_lib.Target) -> str:
    """Returns what tells a target from a later one under the same id."""
    return f"{target.target_id} {target.url}"
