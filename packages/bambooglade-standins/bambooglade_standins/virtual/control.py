"""Virtual instances with membership and table only, for tests of the two."""

from __future__ import annotations

from collections.abc import Callable
import random

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.fleet import membership
from bambooglade.fleet import view
from bambooglade.router import state_machine
from bambooglade.shards import assignments
from bambooglade.table import messages
from bambooglade.table import replica
from bambooglade.table import synchronization
from bambooglade_standins.virtual import fleet as virtual_fleet
from bambooglade_standins.virtual import instances

PAGE_COUNT = 4


class ControlParts:
    """Membership and table of one instance."""

    __slots__ = ("assignment_map", "membership", "table")

    def __init__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        availability_zone: identifiers.AvailabilityZone,
        seeds: tuple[str, ...],
        page_count: int,
        random_source: random.Random,
    ) -> None:
        self.assignment_map = assignments.AssignmentMap()
        self.membership = membership.Membership(
            instance_id=instance_id,
            availability_zone=availability_zone,
            url=instances.url_of(instance_id),
            seeds=seeds,
            assignment_map=self.assignment_map,
            random_source=random_source,
        )
        self.table = replica.TableReplica(
            peers=self.membership.peers,
            random_source=random_source,
            page_count=page_count,
            summary_period_ms=synchronization.SUMMARY_PERIOD_WITH_PINGS_MS,
        )
        self.membership.attach_table(self.table)


class ControlFleet:
    """Starts such instances and keeps what they answer to edits.

    Args:
        seed: Seed of all randomness.
        seeds: URLs that new instances contact first.
        page_count: Pages of the table.
        watches: Whether the service tells instances of changes; without, they
            learn of them from each other only.
        on_effect: Called with the other effects, for instance
            `messages.RowsInstalled`.
    """

    __slots__ = (
        "_on_effect",
        "_page_count",
        "_random",
        "_seeds",
        "answer_by_edit_id",
        "fleet",
        "parts_by_id",
    )

    def __init__(
        self,
        *,
        seed: int,
        seeds: tuple[str, ...],
        page_count: int = PAGE_COUNT,
        watches: bool = True,
        on_effect: Callable[[identifiers.InstanceId, effects.Effect, int], None]
        | None = None,
    ) -> None:
        self._seeds = seeds
        self._page_count = page_count
        self._on_effect = on_effect
        self._random = random.Random(seed)
        self.parts_by_id: dict[identifiers.InstanceId, ControlParts] = {}
        self.answer_by_edit_id: dict[
            identifiers.EditId, messages.EditAnswered
        ] = {}
        self.fleet = virtual_fleet.VirtualFleet(
            assemble=self._assemble,
            observer=self,
            seed=seed,
            watched_prefixes=("table/",) if watches else (),
        )

    def start(self, zone: str) -> identifiers.InstanceId:
        """Starts an instance in a zone."""
        return self.fleet.start(identifiers.AvailabilityZone(zone))

    def table(
        self, instance_id: identifiers.InstanceId
    ) -> replica.TableReplica:
        """Returns the table of an instance."""
        return self.parts_by_id[instance_id].table

    def membership(
        self, instance_id: identifiers.InstanceId
    ) -> membership.Membership:
        """Returns the membership of an instance."""
        return self.parts_by_id[instance_id].membership

    def edit(
        self, instance_id: identifiers.InstanceId, edit: messages.EditRows
    ) -> None:
        """Submits an edit to an instance."""
        table = self.table(instance_id)
        self.fleet.perform(
            instance_id, lambda now_ms: table.handle(edit, instance_id, now_ms)
        )

    def local_effect(
        self,
        instance_id: identifiers.InstanceId,
        effect: effects.Effect,
        now_ms: int,
    ) -> None:
        """Keeps the answers to edits."""
        if isinstance(effect, messages.EditAnswered):
            self.answer_by_edit_id[effect.edit_id] = effect
        elif self._on_effect is not None:
            self._on_effect(instance_id, effect, now_ms)

    def _assemble(
        self,
        *,
        instance_id: identifiers.InstanceId,
        availability_zone: identifiers.AvailabilityZone,
        fleet: view.FleetView,
        now_ms: int,
    ) -> instances.Parts:
        del fleet, now_ms
        parts = ControlParts(
            instance_id=instance_id,
            availability_zone=availability_zone,
            seeds=self._seeds,
            page_count=self._page_count,
            random_source=random.Random(self._random.random()),
        )
        self.parts_by_id[instance_id] = parts
        machine = state_machine.InstanceStateMachine(
            (parts.membership, parts.table)
        )
        return instances.Parts(machine=machine, coordinator=None)

    def __repr__(self) -> str:
        return f"ControlFleet({self.fleet!r})"
