"""The policy `escrow`: the real decisions, on a virtual fleet."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import itertools
import random

import msgspec

from bambooglade.budgets import messages as budget_messages
from bambooglade.core import effects
from bambooglade.core import failures
from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.operations import calls
from bambooglade.router import assembly
from bambooglade.shards import assignments
from bambooglade.shards import document as documents
from bambooglade.shards import edits
from bambooglade.shards import host
from bambooglade.table import rows
from bambooglade.table import view as table_view
from bambooglade_standins.virtual import event_queue
from bambooglade_standins.virtual import fleet as virtual_fleet
from bambooglade_standins.virtual import instances
from bambooglade_standins.virtual import network
from benchmarks import cases
from benchmarks import truth as truth_module
from benchmarks import workloads

SHARD_COUNT = 8
"""Few shards, so that a run with ten budgets takes seconds."""

WARM_UP_MS = 3_000
"""The instances take their shards on before the first arrival."""


@dataclasses.dataclass(slots=True)
class _Submitted:
    arrival: workloads.Arrival
    aborted: Callable[[], None]


class EscrowPolicy:
    """Runs the project's own components for each instance.

    Args:
        deployment: Zones and instances.
        prepaid_by_budget: What is prepaid at the start.
        truth: Learns what really happens.
        seed: Seed of the virtual fleet.
        cutoff_reserve_share: Column of the teams' rows.
    """

    __slots__ = (
        "_billed",
        "_call_numbers",
        "_cutoff_reserve_share",
        "_deployment",
        "_edit_numbers",
        "_fleet",
        "_host_by_id",
        "_prepaid_by_budget",
        "_rng",
        "_submitted_by_call_id",
        "_truth",
    )

    def __init__(
        self,
        *,
        deployment: workloads.Deployment,
        prepaid_by_budget: Mapping[identifiers.BudgetId, int],
        truth: truth_module.Truth,
        seed: int,
        cutoff_reserve_share: float,
    ) -> None:
        self._deployment = deployment
        self._prepaid_by_budget = prepaid_by_budget
        self._truth = truth
        self._cutoff_reserve_share = cutoff_reserve_share
        self._rng = random.Random(seed)
        self._call_numbers = itertools.count(1)
        self._edit_numbers = itertools.count(1)
        self._billed: set[budget_messages.Settle] = set()
        self._submitted_by_call_id: dict[str, _Submitted] = {}
        self._host_by_id: dict[identifiers.InstanceId, host.ShardHost] = {}
        self._fleet = virtual_fleet.VirtualFleet(
            assemble=self._assemble,
            observer=self,
            seed=seed,
            cross_zone_delay_ms=deployment.cross_zone_delay_ms,
        )
        self._fleet.measure_bytes = self._seen
        self._write_documents()
        for zone, count in deployment.instances_by_zone.items():
            for _ in range(count):
                self._fleet.start(zone)
        self._fleet.run_for(WARM_UP_MS)

    @property
    def queue(self) -> event_queue.EventQueue:
        """The virtual time."""
        return self._fleet.queue

    def submit(
        self,
        zone: identifiers.AvailabilityZone,
        arrival: workloads.Arrival,
        aborted: Callable[[], None],
    ) -> None:
        """Gives a call to a running instance, of the zone if there is one."""
        call_id = str(next(self._call_numbers))
        self._submitted_by_call_id[call_id] = _Submitted(arrival, aborted)
        running = self._fleet.running()
        local = [one for one in running if one.availability_zone == zone]
        entry = self._rng.choice(local or running)
        self._fleet.begin(entry.instance_id, self._call(arrival, call_id))

    def apply(self, event: cases.Event) -> None:
        """Lets a fault happen."""
        zone = self._deployment.zones[event.zone]
        match event.action:
            case cases.Action.CUT_ZONE:
                self._cut(zone)
            case cases.Action.HEAL:
                self._fleet.network.heal()
            case cases.Action.SERVICE_DOWN:
                self._fleet.service.faults.down = True
            case cases.Action.SERVICE_UP:
                self._fleet.service.faults.down = False
            case cases.Action.LOSE_ANSWERS:
                self._fleet.service.faults.lost_answers = event.amount
            case cases.Action.PAUSE:
                self._fleet.pause(self._first(zone))
            case cases.Action.WAKE:
                for instance in self._fleet.instance_by_id.values():
                    if instance.paused:
                        self._fleet.wake(instance.instance_id)
            case cases.Action.KILL:
                self._kill(self._first(zone))
            case cases.Action.START:
                self._fleet.start(zone)
            case cases.Action.TOP_UP:
                self._top_up(event)

    def stranded_tokens(self) -> int:
        """Returns the rights that are neither spent nor usable."""
        return sum(
            max(0, self._truth.prepaid[budget_id] - self._accounted(budget_id))
            for budget_id in self._prepaid_by_budget
        )

    def service_calls(self) -> int:
        """Returns how often the platform's service was called."""
        return self._fleet.service.reads + self._fleet.service.writes

    def bytes_sent(self) -> int:
        """Returns the size of all messages, those to oneself included."""
        return self._fleet.bytes_sent

    # What the virtual fleet asks of its observer.

    def permitted(
        self,
        instance_id: identifiers.InstanceId,
        call: calls.Call,
        now_ms: int,
    ) -> calls.RunEnd:
        """Starts a run; it always finishes unless its instance dies."""
        arrival = self._submitted_by_call_id[call.call_id].arrival
        self._truth.run_started(call.call_id, arrival)
        self.queue.after(
            delay_ms=arrival.duration_ms,
            action=lambda: self._run_over(instance_id, call.call_id),
        )
        answer = calls.StoredResponse(
            http_status=200, content_type="text/plain", body=b"done"
        )
        return calls.RunEnd(
            result=calls.RunResult.FINISHED,
            spent_tokens=arrival.spent_tokens,
            answer=None if call.repeatable else answer,
        )

    def run_duration_ms(self, call: calls.Call) -> int:
        """Returns how long the run of a call takes."""
        return self._submitted_by_call_id[call.call_id].arrival.duration_ms

    def answered(
        self,
        instance_id: identifiers.InstanceId,
        call: calls.Call,
        effect: calls.Refuse | calls.Replay | calls.Billed,
        now_ms: int,
    ) -> None:
        """A call ended for its caller."""
        submitted = self._submitted_by_call_id.pop(call.call_id)
        if not isinstance(effect, calls.Refuse):
            self._truth.counts.served += 1
        elif effect.failure.ran is failures.Ran.UNKNOWN and (
            self._truth.has_run(call.key)
        ):
            self._truth.counts.unknown_outcomes += 1
        else:
            self._truth.refuse(submitted.arrival)

    def local_effect(
        self,
        instance_id: identifiers.InstanceId,
        effect: effects.Effect,
        now_ms: int,
    ) -> None:
        """Ignores what concerns operators only."""

    # Below: the fleet's set-up and its faults.

    def _assemble(
        self,
        *,
        instance_id: identifiers.InstanceId,
        availability_zone: identifiers.AvailabilityZone,
        fleet: view.FleetView,
        now_ms: int,
    ) -> instances.Parts:
        del now_ms
        parts = assembly.assemble(
            assembly.Identity(
                instance_id=instance_id,
                availability_zone=availability_zone,
                arbiter_zones=self._deployment.zones,
                shard_count=SHARD_COUNT,
            ),
            assignment_map=assignments.AssignmentMap(),
            fleet=fleet,
            table=self._table(),
        )
        self._host_by_id[instance_id] = parts.host
        return instances.Parts(
            machine=parts.machine, coordinator=parts.coordinator
        )

    def _table(self) -> table_view.FixedTable:
        return table_view.FixedTable(
            rows.TeamRow(
                team_id=budget_id.partition("/")[2],
                key_hash="",
                cutoff_reserve_share=self._cutoff_reserve_share,
            )
            for budget_id in self._prepaid_by_budget
        )

    def _write_documents(self) -> None:
        document_by_key: dict[str, documents.ShardDocument] = {}
        for budget_id, tokens in self._prepaid_by_budget.items():
            key = _document_key(budget_id)
            document = document_by_key.get(key, documents.ShardDocument())
            document_by_key[key] = document.topped_up(
                budget_id,
                tokens=tokens,
                edit_id=identifiers.EditId(f"first-{budget_id}"),
            )
        for key, document in document_by_key.items():
            self._fleet.service.write(
                effects.WriteDocument(
                    key=key,
                    expected_revision=0,
                    value=documents.encode(document),
                )
            )

    def _call(self, arrival: workloads.Arrival, call_id: str) -> calls.Call:
        return calls.Call(
            key=arrival.key,
            fingerprint=arrival.key,
            team_id=arrival.team_id,
            service=identifiers.ServiceName(arrival.kind.service),
            request_kind=arrival.kind.request_kind,
            repeatable=arrival.kind.repeatable,
            draws=(
                calls.Draw(
                    budget_id=arrival.budget_id,
                    bound_tokens=arrival.kind.bound_tokens,
                ),
            ),
            deadline_ms=self.queue.now_ms + arrival.kind.patience_ms,
            call_id=call_id,
        )

    def _seen(self, message: effects.Message) -> int:
        """Notes what is billed, and returns the size of a message."""
        if (
            isinstance(message, budget_messages.Settle)
            and message.spent_tokens > 0
            and message not in self._billed
        ):
            self._billed.add(message)
            self._truth.bill(
                message.reservation_id.key,
                message.budget_id,
                message.spent_tokens,
            )
        return len(msgspec.json.encode(message))

    def _run_over(
        self, instance_id: identifiers.InstanceId, call_id: str
    ) -> None:
        if self._fleet.instance_by_id[instance_id].alive:
            self._truth.run_ended(call_id, finished=True)

    def _first(
        self, zone: identifiers.AvailabilityZone
    ) -> identifiers.InstanceId:
        return next(
            instance.instance_id
            for instance in self._fleet.running()
            if instance.availability_zone == zone
        )

    def _cut(self, zone: identifiers.AvailabilityZone) -> None:
        others = [other for other in self._deployment.zones if other != zone]
        for other in (network.PLATFORM, *others):
            self._fleet.network.cut(zone, other, now_ms=self.queue.now_ms)

    def _kill(self, instance_id: identifiers.InstanceId) -> None:
        instance = self._fleet.instance_by_id[instance_id]
        lost = [reference.call_id for reference in instance.call_by_reference]
        self._fleet.kill(instance_id)
        for call_id in lost:
            self._truth.run_ended(call_id, finished=False)
            self._submitted_by_call_id.pop(call_id).aborted()

    def _top_up(self, event: cases.Event) -> None:
        for budget_id, first_tokens in self._prepaid_by_budget.items():
            tokens = int(first_tokens * event.amount) // event.edits
            for _ in range(event.edits):
                self._submit_edit(budget_id, tokens)

    def _submit_edit(
        self, budget_id: identifiers.BudgetId, tokens: int
    ) -> None:
        entry = self._rng.choice(self._reachable())
        shard_host = self._host_by_id[entry]
        top_up = edits.TopUp(
            edit_id=identifiers.EditId(f"edit-{next(self._edit_numbers)}"),
            budget_id=budget_id,
            tokens=tokens,
        )
        self._truth.prepaid[budget_id] += tokens
        self._fleet.perform(
            entry, lambda now_ms: shard_host.handle(top_up, entry, now_ms)
        )

    def _reachable(self) -> list[identifiers.InstanceId]:
        return [
            instance.instance_id
            for instance in self._fleet.running()
            if self._fleet.network.connected(
                instance.availability_zone, network.PLATFORM
            )
        ]

    def _accounted(self, budget_id: identifiers.BudgetId) -> int:
        """Returns what is spent or can still be spent somewhere."""
        key = _document_key(budget_id)
        stored = self._fleet.service.current(key)
        ledger = documents.decode(stored.value).account_by_budget_id[budget_id]
        shard = hashing.shard_of(budget_id, shard_count=SHARD_COUNT)
        unused = 0
        for instance in self._fleet.running():
            replica = self._host_by_id[instance.instance_id].replica(shard)
            state = replica.registry("accounts").state(budget_id)
            if replica.is_primary and state is not None:
                unused += state.account.unused
        return self._truth.billed[budget_id] + ledger.free_tokens + unused

    def __repr__(self) -> str:
        return f"EscrowPolicy(deployment={self._deployment.name})"


def _document_key(budget_id: identifiers.BudgetId) -> str:
    return documents.document_key(
        hashing.shard_of(budget_id, shard_count=SHARD_COUNT)
    )
