"""The policies that escrow is compared with: static, central, optimistic.

Each is idealized in its favour: zones keep their counters whatever dies, and
decide without delay. They see the same arrivals and the same faults.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import functools
import itertools
import random

from bambooglade.core import identifiers
from bambooglade_standins.virtual import event_queue
from benchmarks import cases
from benchmarks import truth as truth_module
from benchmarks import workloads

RECONCILE_MS = 1_000
"""Pause between two reconciliations of the policy `optimistic`."""

_START_MS = 1_800_000_000_000


@dataclasses.dataclass(slots=True)
class World:
    """The faults, as far as the baselines feel them."""

    cut_zones: set[identifiers.AvailabilityZone]
    service_down: bool = False
    lost_answers: float = 0.0

    def reaches_service(self, zone: identifiers.AvailabilityZone) -> bool:
        """Returns whether a zone reaches the platform's service."""
        return not self.service_down and zone not in self.cut_zones


class Counters:
    """Local counters of one budget in one zone."""

    __slots__ = ("reserved", "spent")

    def __init__(self) -> None:
        self.reserved = 0
        self.spent = 0


class Baseline:
    """Base of the baselines; a subclass says what a zone may promise.

    Args:
        deployment: Zones.
        prepaid_by_budget: What is prepaid at the start.
        truth: Learns what really happens.
        seed: Seed of the random choices.
    """

    name = "baseline"

    def __init__(
        self,
        *,
        deployment: workloads.Deployment,
        prepaid_by_budget: Mapping[identifiers.BudgetId, int],
        truth: truth_module.Truth,
        seed: int,
    ) -> None:
        self.queue = event_queue.EventQueue(start_ms=_START_MS)
        self.deployment = deployment
        self.first_prepaid = dict(prepaid_by_budget)
        self.truth = truth
        self.rng = random.Random(seed)
        self.world = World(cut_zones=set())
        self.calls = 0
        self._run_numbers = itertools.count(1)
        self._running: dict[str, _Running] = {}
        self._known_keys: dict[str, set[identifiers.RequestKey]] = (
            collections.defaultdict(set)
        )

    # What a subclass decides.

    def reserve(
        self, zone: identifiers.AvailabilityZone, arrival: workloads.Arrival
    ) -> bool:
        """Reserves the upper bound, if the zone believes that it may."""
        raise NotImplementedError

    def settle(
        self,
        zone: identifiers.AvailabilityZone,
        arrival: workloads.Arrival,
        spent_tokens: int,
    ) -> None:
        """Ends a reservation with the actual cost."""
        raise NotImplementedError

    def top_up(self, budget_id: identifiers.BudgetId, tokens: int) -> None:
        """Takes a top-up."""
        raise NotImplementedError

    def healed(self) -> None:
        """Learns that zones reach each other and the service again."""

    def key_scope(self, zone: identifiers.AvailabilityZone) -> str:
        """Returns who shares the memory of keys with a zone."""
        return zone

    # What a driver needs.

    def submit(
        self,
        zone: identifiers.AvailabilityZone,
        arrival: workloads.Arrival,
        aborted: Callable[[], None],
    ) -> None:
        """Takes a call, and refuses it at once or runs it."""
        keys = self._known_keys[self.key_scope(zone)]
        if arrival.key in keys and not arrival.kind.repeatable:
            self.truth.counts.unknown_outcomes += 1
            return
        if not self.reserve(zone, arrival):
            self.truth.refuse(arrival)
            return
        keys.add(arrival.key)
        run_id = str(next(self._run_numbers))
        self._running[run_id] = _Running(zone, arrival, aborted)
        self.truth.run_started(run_id, arrival)
        self.queue.after(
            delay_ms=arrival.duration_ms,
            action=functools.partial(self._finish, run_id),
        )

    def apply(self, event: cases.Event) -> None:
        """Lets a fault happen; a pause is felt by instances only."""
        zone = self.deployment.zones[event.zone]
        match event.action:
            case cases.Action.CUT_ZONE:
                self.world.cut_zones.add(zone)
            case cases.Action.HEAL:
                self.world.cut_zones.clear()
                self.healed()
            case cases.Action.SERVICE_DOWN:
                self.world.service_down = True
            case cases.Action.SERVICE_UP:
                self.world.service_down = False
                self.healed()
            case cases.Action.LOSE_ANSWERS:
                self.world.lost_answers = event.amount
            case cases.Action.KILL:
                self._kill(zone)
            case cases.Action.TOP_UP:
                self._top_up_all(event)
            case _:
                pass

    def stranded_tokens(self) -> int:
        """Returns the rights that are neither spent nor usable."""
        return 0

    def service_calls(self) -> int:
        """Returns how often the platform's service was called."""
        return self.calls

    def _finish(self, run_id: str) -> None:
        running = self._running.pop(run_id, None)
        if running is None:
            return
        arrival = running.arrival
        self.truth.run_ended(run_id, finished=True)
        self.truth.bill(arrival.key, arrival.budget_id, arrival.spent_tokens)
        self.truth.counts.served += 1
        self.settle(running.zone, arrival, arrival.spent_tokens)

    def _kill(self, zone: identifiers.AvailabilityZone) -> None:
        """Aborts the share of the zone's runs that one instance had."""
        share = 1 / self.deployment.instances_by_zone[zone]
        for run_id, running in list(self._running.items()):
            if running.zone == zone and self.rng.random() < share:
                del self._running[run_id]
                self.truth.run_ended(run_id, finished=False)
                self.settle(zone, running.arrival, 0)
                running.aborted()

    def _top_up_all(self, event: cases.Event) -> None:
        for budget_id, first_tokens in self.first_prepaid.items():
            tokens = int(first_tokens * event.amount) // event.edits
            for _ in range(event.edits):
                self.truth.prepaid[budget_id] += tokens
                self.calls += 2
                self.top_up(budget_id, tokens)

    def __repr__(self) -> str:
        return f"{type(self).__name__}(deployment={self.deployment.name})"


@dataclasses.dataclass(slots=True)
class _Running:
    zone: identifiers.AvailabilityZone
    arrival: workloads.Arrival
    aborted: Callable[[], None]


class StaticPolicy(Baseline):
    """Divides the prepaid amounts equally among the zones, for good."""

    name = "static"

    def __init__(self, **settings) -> None:
        super().__init__(**settings)
        self._counters = _counters_by_budget_by_zone()
        self._share = {
            zone: collections.Counter(
                {
                    budget_id: tokens // len(self.deployment.zones)
                    for budget_id, tokens in self.first_prepaid.items()
                }
            )
            for zone in self.deployment.zones
        }
        self._undelivered: list[
            tuple[identifiers.AvailabilityZone, identifiers.BudgetId, int]
        ] = []

    def reserve(
        self, zone: identifiers.AvailabilityZone, arrival: workloads.Arrival
    ) -> bool:
        """Reserves within the zone's own share."""
        counters = self._counters[zone][arrival.budget_id]
        used = counters.reserved + counters.spent
        bound_tokens = arrival.kind.bound_tokens
        if used + bound_tokens > self._share[zone][arrival.budget_id]:
            return False
        counters.reserved += bound_tokens
        return True

    def settle(
        self,
        zone: identifiers.AvailabilityZone,
        arrival: workloads.Arrival,
        spent_tokens: int,
    ) -> None:
        """Ends a reservation with the actual cost."""
        counters = self._counters[zone][arrival.budget_id]
        counters.reserved -= arrival.kind.bound_tokens
        counters.spent += spent_tokens

    def top_up(self, budget_id: identifiers.BudgetId, tokens: int) -> None:
        """Divides a top-up; a zone that is cut off gets its part later."""
        for zone in self.deployment.zones:
            part = tokens // len(self.deployment.zones)
            self._undelivered.append((zone, budget_id, part))
        self.healed()

    def healed(self) -> None:
        """Delivers the parts of top-ups to the zones that can be reached."""
        waiting, self._undelivered = self._undelivered, []
        for zone, budget_id, part in waiting:
            if self.world.reaches_service(zone):
                self._share[zone][budget_id] += part
            else:
                self._undelivered.append((zone, budget_id, part))


class CentralPolicy(Baseline):
    """Reserves and settles by compare-and-swap in the platform's service."""

    name = "central"

    def __init__(self, **settings) -> None:
        super().__init__(**settings)
        self._counters: dict[identifiers.BudgetId, Counters] = (
            collections.defaultdict(Counters)
        )
        self._unsettled: list[tuple[workloads.Arrival, int]] = []

    def key_scope(self, zone: identifiers.AvailabilityZone) -> str:
        """Keys are claimed in the service, for all zones."""
        return "service"

    def reserve(
        self, zone: identifiers.AvailabilityZone, arrival: workloads.Arrival
    ) -> bool:
        """Reserves by a read and a write, if the service answers."""
        if not self.world.reaches_service(zone):
            return False
        self._count_write()
        counters = self._counters[arrival.budget_id]
        used = counters.reserved + counters.spent
        bound_tokens = arrival.kind.bound_tokens
        if used + bound_tokens > self.truth.prepaid[arrival.budget_id]:
            return False
        counters.reserved += bound_tokens
        return True

    def settle(
        self,
        zone: identifiers.AvailabilityZone,
        arrival: workloads.Arrival,
        spent_tokens: int,
    ) -> None:
        """Settles by a read and a write, later if there is no answer."""
        self._unsettled.append((arrival, spent_tokens))
        if self.world.reaches_service(zone):
            self.healed()

    def top_up(self, budget_id: identifiers.BudgetId, tokens: int) -> None:
        """Nothing more to do: the service holds the prepaid amount."""

    def healed(self) -> None:
        """Settles what waits for the service."""
        for arrival, spent_tokens in self._unsettled:
            self._count_write()
            counters = self._counters[arrival.budget_id]
            counters.reserved -= arrival.kind.bound_tokens
            counters.spent += spent_tokens
        self._unsettled.clear()

    def _count_write(self) -> None:
        """Counts a read and a write, and reading back a lost answer."""
        self.calls += 2
        if self.rng.random() < self.world.lost_answers:
            self.calls += 1


class OptimisticPolicy(Baseline):
    """Counts locally and reconciles later; promises what seems to be left."""

    name = "optimistic"

    def __init__(self, **settings) -> None:
        super().__init__(**settings)
        self._counters = _counters_by_budget_by_zone()
        self._known_used = {
            zone: collections.defaultdict(collections.Counter)
            for zone in self.deployment.zones
        }
        self._known_prepaid = {
            zone: collections.Counter(self.first_prepaid)
            for zone in self.deployment.zones
        }
        self._reconcile()

    def reserve(
        self, zone: identifiers.AvailabilityZone, arrival: workloads.Arrival
    ) -> bool:
        """Reserves if nothing that the zone has heard of forbids it."""
        budget_id = arrival.budget_id
        counters = self._counters[zone][budget_id]
        used = counters.reserved + counters.spent
        used += sum(self._known_used[zone][budget_id].values())
        bound_tokens = arrival.kind.bound_tokens
        if used + bound_tokens > self._known_prepaid[zone][budget_id]:
            return False
        counters.reserved += bound_tokens
        return True

    def settle(
        self,
        zone: identifiers.AvailabilityZone,
        arrival: workloads.Arrival,
        spent_tokens: int,
    ) -> None:
        """Ends a reservation with the actual cost."""
        counters = self._counters[zone][arrival.budget_id]
        counters.reserved -= arrival.kind.bound_tokens
        counters.spent += spent_tokens

    def top_up(self, budget_id: identifiers.BudgetId, tokens: int) -> None:
        """Nothing more to do: it is heard of with the reconciliation."""

    def _reconcile(self) -> None:
        """Tells each zone what the zones that it reaches have used."""
        self.queue.after(delay_ms=RECONCILE_MS, action=self._reconcile)
        joined = [
            zone
            for zone in self.deployment.zones
            if zone not in self.world.cut_zones
        ]
        for zone, other in itertools.permutations(joined, 2):
            self._hear(zone, other)
        for zone in joined:
            if self.world.reaches_service(zone):
                self.calls += 1
                self._known_prepaid[zone] = collections.Counter(
                    self.truth.prepaid
                )

    def _hear(
        self,
        zone: identifiers.AvailabilityZone,
        other: identifiers.AvailabilityZone,
    ) -> None:
        for budget_id, counters in self._counters[other].items():
            used = counters.reserved + counters.spent
            self._known_used[zone][budget_id][other] = used


POLICIES: Iterable[type[Baseline]] = (
    StaticPolicy,
    CentralPolicy,
    OptimisticPolicy,
)


def _counters_by_budget_by_zone() -> dict[
    identifiers.AvailabilityZone, dict[identifiers.BudgetId, Counters]
]:
    return collections.defaultdict(lambda: collections.defaultdict(Counters))
