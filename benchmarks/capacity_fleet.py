"""Budgets and calls on a virtual fleet, to measure what they cost a node."""

from __future__ import annotations

import itertools
import random
import time
import uuid

import msgspec

from bambooglade.core import effects
from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.operations import calls
from bambooglade.router import assembly
from bambooglade.shards import assignments
from bambooglade.shards import document as documents
from bambooglade.table import rows
from bambooglade.table import view as table_view
from bambooglade_standins.virtual import fleet as virtual_fleet
from bambooglade_standins.virtual import instances

WARM_UP_MS = 10_000
PREPAID_TOKENS = 100_000_000
BOUND_TOKENS = 1_000
SPENT_TOKENS = 600
RUN_MS = 200
PATIENCE_MS = 10_000

_UUID_TIME_SHIFT = 80
_UUID_MARKS = 0x7 << 76 | 0x2 << 62


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """What the whole fleet used in a period.

    Attributes:
        bytes: Size of the messages' JSON, without envelopes and HTTP heads;
            messages of an instance to itself included.
        cpu_s: Processor time of the decisions and of the virtual network.
    """

    messages: int
    bytes: int
    reads: int
    writes: int
    cpu_s: float
    billed: int


class CapacityFleet:
    """Instances with the components for budgets and calls.

    Args:
        zones: Number of availability zones.
        nodes_per_zone: Instances in each of them.
        shard_count: Number of shards.
        budgets: Number of budgets, all prepaid.
    """

    __slots__ = (
        "_billed",
        "_budget_ids",
        "_fleet",
        "_numbers",
        "_random",
        "_shard_count",
        "_table",
        "_zones",
    )

    def __init__(
        self, *, zones: int, nodes_per_zone: int, shard_count: int, budgets: int
    ) -> None:
        self._zones = tuple(
            identifiers.AvailabilityZone(f"zone-{number}")
            for number in range(zones)
        )
        self._shard_count = shard_count
        self._budget_ids = tuple(
            identifiers.BudgetId(f"team/team-{number}")
            for number in range(budgets)
        )
        self._table = table_view.FixedTable(
            rows.TeamRow(team_id=budget_id.partition("/")[2], key_hash="")
            for budget_id in self._budget_ids
        )
        self._numbers = itertools.count()
        self._random = random.Random(1)
        self._billed = 0
        self._fleet = virtual_fleet.VirtualFleet(
            assemble=self._assemble, observer=self, seed=1
        )
        self._fleet.measure_bytes = lambda sent: len(msgspec.json.encode(sent))
        self._write_documents()
        for zone in self._zones * nodes_per_zone:
            self._fleet.start(zone)
        self._fleet.run_for(WARM_UP_MS)

    @property
    def nodes(self) -> int:
        """Number of instances."""
        return len(self._fleet.instance_by_id)

    def run(
        self, *, duration_ms: int, requests: int, repeatable: bool = True
    ) -> Usage:
        """Lets time pass, with requests spread evenly over it.

        Args:
            duration_ms: How long, in virtual time.
            requests: How many; at a random entry and for a random budget.
            repeatable: Whether they may be repeated.
        """
        service = self._fleet.service
        before = (self._fleet.messages_sent, self._fleet.bytes_sent)
        reads_before, writes_before = service.reads, service.writes
        billed_before = self._billed
        started_s = time.process_time()
        for _ in range(requests):
            self._begin(repeatable=repeatable)
            self._fleet.run_for(duration_ms // requests)
        if not requests:
            self._fleet.run_for(duration_ms)
        return Usage(
            messages=self._fleet.messages_sent - before[0],
            bytes=self._fleet.bytes_sent - before[1],
            reads=service.reads - reads_before,
            writes=service.writes - writes_before,
            cpu_s=time.process_time() - started_s,
            billed=self._billed - billed_before,
        )

    def _begin(self, *, repeatable: bool) -> None:
        number = next(self._numbers)
        entry = self._random.choice(sorted(self._fleet.instance_by_id))
        budget_id = self._random.choice(self._budget_ids)
        call = calls.Call(
            key=self._new_key(number),
            fingerprint=str(number),
            team_id=identifiers.TeamId(budget_id.partition("/")[2]),
            service=identifiers.ServiceName("model"),
            request_kind="chat",
            repeatable=repeatable,
            draws=(calls.Draw(budget_id=budget_id, bound_tokens=BOUND_TOKENS),),
            deadline_ms=self._fleet.now_ms + PATIENCE_MS,
            call_id=str(number),
        )
        self._fleet.begin(entry, call)

    def _new_key(self, number: int) -> identifiers.RequestKey:
        """Returns a UUIDv7 of the virtual time."""
        time_bits = self._fleet.now_ms << _UUID_TIME_SHIFT
        return identifiers.RequestKey(
            str(uuid.UUID(int=time_bits | _UUID_MARKS | number))
        )

    # What the virtual fleet asks of its observer.

    def permitted(
        self,
        instance_id: identifiers.InstanceId,
        call: calls.Call,
        now_ms: int,
    ) -> calls.RunEnd:
        """Lets every run finish."""
        del instance_id, now_ms
        answer = calls.StoredResponse(
            http_status=200, content_type="text/plain", body=b"done"
        )
        return calls.RunEnd(
            result=calls.RunResult.FINISHED,
            spent_tokens=SPENT_TOKENS,
            answer=None if call.repeatable else answer,
        )

    def run_duration_ms(self, call: calls.Call) -> int:
        """Returns how long the run of a call takes."""
        del call
        return RUN_MS

    def answered(
        self,
        instance_id: identifiers.InstanceId,
        call: calls.Call,
        effect: calls.Refuse | calls.Replay | calls.Billed,
        now_ms: int,
    ) -> None:
        """Counts the calls that were billed."""
        del instance_id, call, now_ms
        self._billed += isinstance(effect, calls.Billed)

    def local_effect(
        self,
        instance_id: identifiers.InstanceId,
        effect: effects.Effect,
        now_ms: int,
    ) -> None:
        """Ignores what concerns operators only."""

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
                arbiter_zones=self._zones,
                shard_count=self._shard_count,
            ),
            assignment_map=assignments.AssignmentMap(),
            fleet=fleet,
            table=self._table,
        )
        return instances.Parts(
            machine=parts.machine, coordinator=parts.coordinator
        )

    def _write_documents(self) -> None:
        document_by_key: dict[str, documents.ShardDocument] = {}
        for budget_id in self._budget_ids:
            shard = hashing.shard_of(budget_id, shard_count=self._shard_count)
            key = documents.document_key(shard)
            document = document_by_key.get(key, documents.ShardDocument())
            document_by_key[key] = document.topped_up(
                budget_id,
                tokens=PREPAID_TOKENS,
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

    def __repr__(self) -> str:
        return f"CapacityFleet(nodes={self.nodes})"
