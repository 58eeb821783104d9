"""Routing policies to compare: the product's, and two common ones."""

from __future__ import annotations

import abc
from collections.abc import Sequence
import itertools

from bambooglade.core import clock as clocks
from bambooglade.router import target_directory
from bambooglade.table import rows
from bambooglade.table import view
from bambooglade.targets import affinity
from bambooglade.targets import load
from bambooglade.targets import target as target_lib

SERVICE = "model"


class Policy(abc.ABC):
    """What one router instance knows and decides."""

    wants_cache_events = False

    def __init__(
        self, table: view.TableView, zone: str, clock: clocks.Clock, name: str
    ) -> None:
        self._targets = list(target_lib.service_targets(table, SERVICE))

    @abc.abstractmethod
    def choose(self, blocks: Sequence[str]) -> str:
        """Returns the target of a request."""

    def started(self, target_id: str, attempt: str, blocks) -> None:
        """Notes a dispatch."""
        del target_id, attempt, blocks

    def ended(self, target_id: str, attempt: str, unit_ms: float) -> None:
        """Notes the end of a dispatch."""
        del target_id, attempt, unit_ms

    def polled(self, target_id: str, report: load.LoadReport, events) -> None:
        """Takes a load report and cache events."""
        del target_id, report, events

    def last_seq(self, target_id: str) -> int:
        """Returns the last cache event that was seen."""
        return 0


class RoundRobin(Policy):
    """Each target in turn."""

    def __init__(self, table, zone, clock, name) -> None:
        super().__init__(table, zone, clock, name)
        first = sum(name.encode()) % len(self._targets)
        self._turns = itertools.islice(
            itertools.cycle(self._targets), first, None
        )

    def choose(self, blocks: Sequence[str]) -> str:
        """Returns the next target."""
        return next(self._turns).target_id


class LeastOutstanding(Policy):
    """The target with the fewest requests of the own instance."""

    def __init__(self, table, zone, clock, name) -> None:
        super().__init__(table, zone, clock, name)
        self._clock = clock
        self._load = load.LoadTracker()

    def choose(self, blocks: Sequence[str]) -> str:
        """Returns the target with the lowest count."""
        self._targets.append(self._targets.pop(0))  # equal ones take turns
        return min(
            self._targets, key=lambda t: self._load.own_requests(t.target_id)
        ).target_id

    def started(self, target_id: str, attempt: str, blocks) -> None:
        """Counts up."""
        self._load.record_start(target_id, attempt, self._clock.now_ms())

    def ended(self, target_id: str, attempt: str, unit_ms: float) -> None:
        """Counts down."""
        self._load.record_end(target_id, attempt, self._clock.now_ms())


class LeastReported(LeastOutstanding):
    """The target that last reported the fewest, without any correction."""

    def __init__(self, table, zone, clock, name) -> None:
        super().__init__(table, zone, clock, name)
        self._reported = dict.fromkeys(
            (target.target_id for target in self._targets), 0
        )

    def choose(self, blocks: Sequence[str]) -> str:
        """Returns the target with the lowest report."""
        self._targets.append(self._targets.pop(0))  # equal ones take turns
        return min(
            self._targets, key=lambda t: self._reported[t.target_id]
        ).target_id

    def polled(self, target_id: str, report: load.LoadReport, events) -> None:
        """Takes the report as it is."""
        self._reported[target_id] = report.running + report.waiting


class Product(Policy):
    """The product's policy."""

    wants_cache_events = True

    def __init__(self, table, zone, clock, name) -> None:
        super().__init__(table, zone, clock, name)
        self._directory = target_directory.TargetDirectory(
            availability_zone=zone, instance_id=name, table=table, clock=clock
        )
        self._target_by_id = {t.target_id: t for t in self._targets}

    def choose(self, blocks: Sequence[str]) -> str:
        """Returns the target with the lowest score."""
        choice = self._directory.choose(SERVICE, blocks=blocks, tried=())
        return choice.target.target_id

    def started(self, target_id: str, attempt: str, blocks) -> None:
        """Notes the dispatch."""
        self._directory.record_start(target_id, attempt, blocks)

    def ended(self, target_id: str, attempt: str, unit_ms: float) -> None:
        """Notes the end."""
        self._directory.record_end(
            target_id, attempt, is_complete=True, unit_ms=unit_ms
        )

    def polled(self, target_id: str, report: load.LoadReport, events) -> None:
        """Takes report and events."""
        self._directory.apply_load_report(self._target_by_id[target_id], report)
        self._directory.apply_cache_events(
            target_id,
            [
                affinity.CacheEvent(seq=e.seq, stored=e.stored, block=e.block)
                for e in events
            ],
        )

    def last_seq(self, target_id: str) -> int:
        """Returns the last cache event that was seen."""
        return self._directory.last_cache_seq(target_id)


POLICY_BY_NAME: dict[str, type[Policy]] = {
    "product": Product,
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
    "least_reported": LeastReported,
}


def table_of(zone_by_target: dict[str, str]) -> view.FixedTable:
    """Returns a table with these targets."""
    return view.FixedTable(
        [
            rows.TargetRow(
                target_id=target_id,
                service=SERVICE,
                availability_zone=zone,
                url=f"http://127.0.0.1/{target_id}",
            )
            for target_id, zone in zone_by_target.items()
        ]
    )
