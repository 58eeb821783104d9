"""Test harness on a simulated fleet of one zone and one shard."""

from __future__ import annotations

from bambooglade.budgets import account_registry_factory
from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.operations import claim_registry_factory
from bambooglade.operations import coordinator
from bambooglade.operations import retention
from bambooglade.operations.tests import harness
from bambooglade.router import state_machine
from bambooglade.shards import assignments
from bambooglade.shards import document as documents
from bambooglade.shards import host
from bambooglade.table import view as table_view
from bambooglade_standins.virtual import fleet as virtual_fleet
from bambooglade_standins.virtual import instances

ZONE = harness.ZONE_A
SHARD = identifiers.ShardId(0)
RUN_MS = 100


class FleetBench:
    """Starts instances, and records the runs of calls and their results."""

    def __init__(self, *, instance_count: int) -> None:
        self.runs: list[identifiers.RequestKey] = []
        self.outcomes: list[effects.Effect] = []
        self.fleet = virtual_fleet.VirtualFleet(
            assemble=self._assemble, observer=self, seed=1
        )
        document = documents.ShardDocument().topped_up(
            harness.BUDGET, tokens=1_000, edit_id=identifiers.EditId("e")
        )
        self.fleet.service.write(
            effects.WriteDocument(
                key=documents.document_key(SHARD),
                expected_revision=0,
                value=documents.encode(document),
            )
        )
        self.ids = [self.fleet.start(ZONE) for _ in range(instance_count)]

    def begin(self, instance_id, tail: int, timeout_ms: int = 10_000) -> None:
        """Begins a call that is not safe to repeat, with a new key."""
        now_ms = self.fleet.now_ms
        call = harness.make_call(
            harness.make_key(now_ms, tail), deadline_ms=now_ms + timeout_ms
        )
        self.fleet.begin(instance_id, call)

    def retry(self, instance_id, call: calls.Call) -> None:
        self.fleet.begin(instance_id, call)

    def pair(self) -> assignments.Assignment:
        """Returns the primary and backup named in the shard document."""
        stored = self.fleet.service.current(documents.document_key(SHARD))
        return documents.decode(stored.value).assignment(ZONE)

    def outcome_names(self) -> list[str]:
        """Returns the kind of each failure, and the type of other results."""
        return [
            outcome.failure.kind
            if isinstance(outcome, calls.Refuse)
            else type(outcome).__name__
            for outcome in self.outcomes
        ]

    def permitted(self, instance_id, call, now_ms):
        self.runs.append(call.key)
        return calls.RunEnd(
            result=calls.RunResult.FINISHED,
            spent_tokens=7,
            answer=harness.RESPONSE,
        )

    def run_duration_ms(self, call):
        return RUN_MS

    def answered(self, instance_id, call, effect, now_ms):
        self.outcomes.append(effect)

    def local_effect(self, instance_id, effect, now_ms):
        pass

    def _assemble(self, *, instance_id, availability_zone, fleet, now_ms):
        assignment_map = assignments.AssignmentMap()
        shard_host = host.ShardHost(
            instance_id=instance_id,
            availability_zone=availability_zone,
            shard_count=1,
            assignment_map=assignment_map,
            fleet=fleet,
            book_factories=(
                account_registry_factory.AccountRegistryFactory(
                    assignment_map=assignment_map,
                    table=table_view.FixedTable([]),
                    zone_count=1,
                ),
                claim_registry_factory.ClaimRegistryFactory(
                    retention=retention.Retention()
                ),
            ),
        )
        entry = coordinator.Coordinator(
            instance_id=instance_id,
            availability_zone=availability_zone,
            arbiter_zones=(ZONE,),
            shard_count=1,
            assignment_map=assignment_map,
            fleet=fleet,
        )
        return instances.Parts(
            machine=state_machine.InstanceStateMachine((shard_host, entry)),
            coordinator=entry,
        )
