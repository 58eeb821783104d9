"""A small virtual fleet with the oracle, and the actions of the fuzzing."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from bambooglade.core import effects
from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.operations import coordinator as coordinators
from bambooglade.router import assembly
from bambooglade.shards import assignments
from bambooglade.shards import document as documents
from bambooglade.shards import edits
from bambooglade.shards import host as hosts
from bambooglade.shards import replica as replicas
from bambooglade.table import rows
from bambooglade.table import view as table_view
from bambooglade_standins.virtual import fleet as virtual_fleet
from bambooglade_standins.virtual import instances
from bambooglade_standins.virtual import network
from bambooglade_standins.virtual import oracle as oracles
from bambooglade_standins.virtual import service

if TYPE_CHECKING:
    from bambooglade.fleet import view as fleet_view

ZONES = tuple(
    identifiers.AvailabilityZone(zone) for zone in ("scot-a", "scot-b")
)
BUDGETS = tuple(
    identifiers.BudgetId(budget) for budget in ("team/t1", "team/t2")
)
SHARD_COUNT = 2
INSTANCES_PER_ZONE = 2
CALL_TIMEOUT_MS = 5_000
HEALED_MS = 45_000
"""Time after which a fleet without faults has repaired itself."""

_TABLE = table_view.FixedTable(
    [
        rows.TeamRow(team_id="t1", key_hash="x", cutoff_reserve_share=0.5),
        rows.TeamRow(team_id="t2", key_hash="x", cutoff_reserve_share=0.0),
    ]
)


class ObservedFleet(virtual_fleet.VirtualFleet):
    """A virtual fleet that shows messages and writes to the oracle."""

    __slots__ = ()

    def _send(
        self, sender: instances.VirtualInstance, effect: effects.Send
    ) -> None:
        self._observer.sent(sender.instance_id, effect.message)
        super()._send(sender, effect)

    def kill(self, instance_id: identifiers.InstanceId) -> None:
        """Ends an instance; a planned stop must not cut off a call."""
        instance = self.instance_by_id[instance_id]
        if instance.stopping and instance.call_by_reference:
            cut_off = list(instance.call_by_reference)
            raise oracles.BrokenError(f"a planned stop cut off {cut_off}")
        super().kill(instance_id)

    def _push_to_watchers(self, key: str) -> None:
        self._observer.stored(key, self.service.by_key[key].value)
        super()._push_to_watchers(key)


class World:
    """The fleet under test, with its oracle.

    Args:
        seed: Seed of the network and the service.
        watched: Whether documents are pushed to the instances that reach the
            service.
    """

    __slots__ = (
        "_call_ids",
        "_edit_ids",
        "_host_by_id",
        "_keys",
        "call_by_key",
        "fleet",
        "oracle",
        "top_ups",
    )

    def __init__(self, *, seed: int, watched: bool = False) -> None:
        self.oracle = oracles.Oracle()
        self._host_by_id: dict[identifiers.InstanceId, hosts.ShardHost] = {}
        self.fleet = ObservedFleet(
            assemble=self._assemble,
            observer=self.oracle,
            seed=seed,
            watched_prefixes=("table/", "accounts/")
            if watched
            else ("table/",),
        )
        self._keys = itertools.count(1)
        self._call_ids = itertools.count(1)
        self._edit_ids = itertools.count(1)
        self.call_by_key: dict[identifiers.RequestKey, calls.Call] = {}
        self.top_ups: list[edits.TopUp] = []
        for zone in ZONES:
            for _ in range(INSTANCES_PER_ZONE):
                self.fleet.start(zone)

    def host(self, instance_id: identifiers.InstanceId) -> hosts.ShardHost:
        """Returns the shard host of an instance."""
        return self._host_by_id[instance_id]

    def pick(
        self, zone: identifiers.AvailabilityZone, number: int
    ) -> instances.VirtualInstance | None:
        """Returns one of the running instances of a zone, if any."""
        running = [
            instance
            for instance in self.fleet.running()
            if instance.availability_zone == zone and not instance.stopping
        ]
        return running[number % len(running)] if running else None

    def primary(
        self, zone: identifiers.AvailabilityZone, shard: int
    ) -> instances.VirtualInstance | None:
        """Returns the running instance that serves a shard, if any."""
        serving = (
            instance
            for instance in self.fleet.running()
            if instance.availability_zone == zone
            and not instance.stopping
            and self._replica(instance, shard).is_primary
        )
        return next(serving, None)

    def pair(
        self, zone: identifiers.AvailabilityZone, shard: int
    ) -> list[instances.VirtualInstance]:
        """Returns the living instances that the document names."""
        key = documents.document_key(identifiers.ShardId(shard))
        document = documents.decode(self.fleet.service.current(key).value)
        assignment = document.assignment(zone)
        if assignment is None:
            return []
        named = (
            self.fleet.instance_by_id.get(instance_id)
            for instance_id in (assignment.primary, assignment.backup)
        )
        return [
            instance
            for instance in named
            if instance is not None and instance.alive and not instance.stopping
        ]

    def budget_of(self, shard: int) -> identifiers.BudgetId:
        """Returns a budget of a shard, the first one if it has none."""
        of_shard = (
            budget_id
            for budget_id in BUDGETS
            if hashing.shard_of(budget_id, shard_count=SHARD_COUNT) == shard
        )
        return next(of_shard, BUDGETS[0])

    def _replica(
        self, instance: instances.VirtualInstance, shard: int
    ) -> replicas.ShardReplica:
        host = self.host(instance.instance_id)
        return host.replica(identifiers.ShardId(shard))

    def request(
        self,
        instance: instances.VirtualInstance,
        *,
        draws: tuple[calls.Draw, ...],
        repeatable: bool,
        script: oracles.Script,
    ) -> identifiers.RequestKey:
        """Sends a new request."""
        key = self._new_key()
        call = calls.Call(
            key=key,
            fingerprint="f",
            team_id=identifiers.TeamId("t1"),
            service=identifiers.ServiceName("s"),
            request_kind="k",
            repeatable=repeatable,
            draws=draws,
            deadline_ms=0,
        )
        self.oracle.requested(key, script)
        self.call_by_key[key] = call
        self._begin(instance, key, first_attempt=True)
        return key

    def retry(
        self,
        instance: instances.VirtualInstance,
        key: identifiers.RequestKey,
    ) -> None:
        """Sends a request again, with the same key."""
        self._begin(instance, key, first_attempt=False)

    def top_up(
        self,
        instance: instances.VirtualInstance,
        budget_id: identifiers.BudgetId,
        tokens: int,
    ) -> None:
        """Edits the prepaid amount of a budget."""
        top_up = edits.TopUp(
            edit_id=identifiers.EditId(f"edit-{next(self._edit_ids)}"),
            budget_id=budget_id,
            tokens=tokens,
        )
        self.top_ups.append(top_up)
        self.repeat_top_up(instance, top_up)

    def repeat_top_up(
        self, instance: instances.VirtualInstance, top_up: edits.TopUp
    ) -> None:
        """Gives an edit to an instance, possibly again."""
        self.oracle.edited(top_up)
        host = self.host(instance.instance_id)
        self.fleet.perform(
            instance.instance_id,
            lambda now_ms: host.handle(top_up, instance.instance_id, now_ms),
        )

    def pass_time(self, duration_ms: int) -> None:
        """Lets time pass, and checks."""
        self.fleet.run_for(duration_ms)
        self.oracle.check()

    def heal(self) -> None:
        """Ends all faults, wakes what is paused, and replaces what is gone."""
        self.fleet.network.heal()
        self.fleet.network.faults = network.MessageFaults()
        self.fleet.service.faults = service.ServiceFaults()
        for instance in list(self.fleet.instance_by_id.values()):
            if instance.paused:
                self.fleet.wake(instance.instance_id)
        for zone in ZONES:
            while self._running_in(zone) < INSTANCES_PER_ZONE:
                self.fleet.start(zone)

    def check_healed(self) -> None:
        """Lets the fleet repair itself, and checks that it did."""
        self.heal()
        self.pass_time(HEALED_MS)
        self.oracle.check_healed()
        for instance in self.fleet.running():
            if instance.call_by_reference:
                waiting = list(instance.call_by_reference)
                raise oracles.BrokenError(f"no answer to {waiting}")
        self._check_service()

    def _begin(
        self,
        instance: instances.VirtualInstance,
        key: identifiers.RequestKey,
        *,
        first_attempt: bool,
    ) -> None:
        call = self.call_by_key[key]
        again = calls.Call(
            key=call.key,
            fingerprint=call.fingerprint,
            team_id=call.team_id,
            service=call.service,
            request_kind=call.request_kind,
            repeatable=call.repeatable,
            draws=call.draws,
            deadline_ms=self.fleet.now_ms + CALL_TIMEOUT_MS,
            call_id=str(next(self._call_ids)),
            first_attempt=first_attempt,
        )
        self.fleet.begin(instance.instance_id, again)

    def _check_service(self) -> None:
        """Checks that every zone serves a fresh budget."""
        for number, zone in enumerate(ZONES * 2):
            budget_id = identifiers.BudgetId(f"team/fresh-{number}")
            instance = self.pick(zone, number)
            self.top_up(instance, budget_id, 100)
            self.pass_time(1_000)
            key = self.request(
                instance,
                draws=(calls.Draw(budget_id=budget_id, bound_tokens=90),),
                repeatable=True,
                script=oracles.Script(calls.RunResult.FINISHED, 90, 10),
            )
            self.pass_time(CALL_TIMEOUT_MS)
            if not self.oracle.ran(key):
                raise oracles.BrokenError(f"{zone} does not serve {budget_id}")

    def _running_in(self, zone: identifiers.AvailabilityZone) -> int:
        return sum(
            instance.availability_zone == zone and not instance.stopping
            for instance in self.fleet.running()
        )

    def _new_key(self) -> identifiers.RequestKey:
        """Returns a UUIDv7 of the virtual time."""
        time_hex = f"{self.fleet.now_ms:012x}"
        number = next(self._keys)
        return identifiers.RequestKey(
            f"{time_hex[:8]}-{time_hex[8:]}-7000-8000-{number:012x}"
        )

    def _assemble(
        self,
        *,
        instance_id: identifiers.InstanceId,
        availability_zone: identifiers.AvailabilityZone,
        fleet: fleet_view.FleetView,
        now_ms: int,
    ) -> instances.Parts:
        del now_ms
        parts = assembly.assemble(
            assembly.Identity(
                instance_id=instance_id,
                availability_zone=availability_zone,
                arbiter_zones=ZONES,
                shard_count=SHARD_COUNT,
            ),
            assignment_map=assignments.AssignmentMap(),
            fleet=fleet,
            table=_TABLE,
        )
        self._host_by_id[instance_id] = parts.host
        return instances.Parts(
            machine=parts.machine,
            coordinator=parts.coordinator,
            begin_stop=lambda now_ms: list(parts.host.begin_drain(now_ms)),
            is_drained=lambda: _is_drained(parts.host, parts.coordinator),
        )

    def __repr__(self) -> str:
        return f"World({self.fleet!r}, {self.oracle!r})"


def _is_drained(
    host: hosts.ShardHost, coordinator: coordinators.Coordinator
) -> bool:
    return (
        host.is_drained
        and not coordinator.active_call_count()
        and not coordinator.pending_settlement_count()
    )
