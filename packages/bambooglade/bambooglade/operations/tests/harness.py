"""Test harness with two entries, one arbiter and fake accounts.

Time is virtual and the harness itself injects no faults. A test drops messages
by setting `Harness.should_drop`.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses

from bambooglade.budgets import messages as budget_messages
from bambooglade.core import component
from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.operations import calls
from bambooglade.operations import claim_registry
from bambooglade.operations import coordinator
from bambooglade.operations import look_ups
from bambooglade.operations import messages
from bambooglade.operations import retention
from bambooglade.shards import assignments
from bambooglade.shards import registry

ZONE_A = identifiers.AvailabilityZone("scot-a")
ZONE_B = identifiers.AvailabilityZone("scot-b")
ENTRY_A = identifiers.InstanceId("entry-a")
ENTRY_B = identifiers.InstanceId("entry-b")
PRIMARY_A = identifiers.InstanceId("primary-a")
PRIMARY_B = identifiers.InstanceId("primary-b")
ARBITER = identifiers.InstanceId("arbiter")
START_MS = 1_800_000_000_000
BUDGET = identifiers.BudgetId("team-1")
RESPONSE = calls.StoredResponse(
    http_status=200, content_type="text/plain", body=b"done"
)


@dataclasses.dataclass(slots=True)
class FakeAccount:
    """Fake account of one zone; bills and reservations by reservation id."""

    tokens: int = 1_000
    reason: budget_messages.RefusalReason = (
        budget_messages.RefusalReason.EXHAUSTED
    )
    reserved_by_id: dict = dataclasses.field(default_factory=dict)
    spent_by_id: dict = dataclasses.field(default_factory=dict)

    def respond(self, message, zone):
        if isinstance(message, budget_messages.Reserve):
            return self._reserve(message, zone)
        if isinstance(message, budget_messages.Reduce):
            if message.reservation_id in self.reserved_by_id:
                self.reserved_by_id[message.reservation_id] = (
                    message.reduced_tokens
                )
            return None
        self.reserved_by_id.pop(message.reservation_id, None)
        self.spent_by_id.setdefault(
            message.reservation_id, message.spent_tokens
        )
        return budget_messages.Settled(
            reservation_id=message.reservation_id,
            budget_id=message.budget_id,
            epoch=message.epoch,
            sequence=message.sequence,
        )

    def free_tokens(self):
        return (
            self.tokens
            - sum(self.reserved_by_id.values())
            - sum(self.spent_by_id.values())
        )

    def _reserve(self, message, zone):
        is_new = message.reservation_id not in self.reserved_by_id
        ended = message.reservation_id in self.spent_by_id
        if ended or (is_new and message.bound_tokens > self.free_tokens()):
            return budget_messages.ReserveRefused(
                reservation_id=message.reservation_id,
                budget_id=message.budget_id,
                reason=self.reason,
                detail="Too little left.",
            )
        self.reserved_by_id[message.reservation_id] = message.bound_tokens
        return budget_messages.Reserved(
            reservation_id=message.reservation_id,
            budget_id=message.budget_id,
            availability_zone=zone,
            epoch=identifiers.Epoch(1),
            sequence=message.reservation_id.attempt,
        )


class FleetWithSuspects(view.FixedFleet):
    """A fleet in which a test can mark instances as suspected."""

    def __init__(self, zone_by_instance):
        super().__init__(zone_by_instance)
        self.suspected = set()

    def is_suspected(self, instance_id):
        return instance_id in self.suspected


class Harness:
    """Delivers messages immediately and in order, unless a test drops them."""

    def __init__(self, *, has_backup: bool = True) -> None:
        zones = {
            ENTRY_A: ZONE_A,
            PRIMARY_A: ZONE_A,
            ARBITER: ZONE_A,
            ENTRY_B: ZONE_B,
            PRIMARY_B: ZONE_B,
        }
        self.now_ms = START_MS
        self.has_backup = has_backup
        self.fleet = FleetWithSuspects(zones)
        self.registry = claim_registry.ClaimRegistry(
            retention=retention.Retention()
        )
        self.backup = claim_registry.ClaimRegistry(
            retention=retention.Retention()
        )
        self.account_by_budget = collections.defaultdict(FakeAccount)
        self.should_drop: Callable[[effects.Message], bool] = lambda message: (
            False
        )
        self.outcomes: list[effects.Effect] = []
        self.sent: list[effects.Message] = []
        self.entry_by_id = {
            entry: self._entry(entry, zones[entry])
            for entry in (ENTRY_A, ENTRY_B)
        }

    def begin(self, entry: identifiers.InstanceId, call: calls.Call) -> None:
        self._apply(entry, self.entry_by_id[entry].begin(call, self.now_ms))

    def finish(self, entry, key, **run_end) -> None:
        values = {"result": calls.RunResult.FINISHED, "spent_tokens": 7}
        end = calls.RunEnd(**(values | run_end))
        self._apply(
            entry, self.entry_by_id[entry].finish(key, end, self.now_ms)
        )

    def cancel(self, entry, key) -> None:
        self._apply(entry, self.entry_by_id[entry].cancel(key, self.now_ms))

    def advance_time(self, duration_ms: int) -> None:
        for _ in range(0, duration_ms, component.TICK_MS):
            self.now_ms += component.TICK_MS
            for entry_id, entry in self.entry_by_id.items():
                self._apply(entry_id, entry.tick(self.now_ms))
            self._apply(ARBITER, self.registry.tick(self.now_ms))

    def apply_effects(self, entry, effects_to_apply) -> None:
        self._apply(entry, effects_to_apply)

    def restart(self, entry: identifiers.InstanceId) -> None:
        zone = self.fleet.zone_of(entry)
        self.entry_by_id[entry] = self._entry(entry, zone)

    def promote_without_records(self) -> None:
        """Replaces the arbiter after the loss of both copies of the records."""
        self.registry = claim_registry.ClaimRegistry(
            retention=retention.Retention()
        )
        assignment = assignments.Assignment(
            epoch=identifiers.Epoch(2),
            primary=ARBITER,
            backup=None,
            history_lost_at_ms=self.now_ms,
        )
        self._apply(ARBITER, self.registry.promote(assignment, self.now_ms))

    def promote_backup(self) -> None:
        """Makes the backup the arbiter after the loss of the primary."""
        self.registry = self.backup
        self.backup = claim_registry.ClaimRegistry(
            retention=retention.Retention()
        )

    def outcome_names(self) -> list[str]:
        """Returns the kind of each failure, and the type of other results."""
        return [
            outcome.failure.kind
            if isinstance(outcome, calls.Refuse)
            else type(outcome).__name__
            for outcome in self.outcomes
        ]

    def _entry(self, entry, zone):
        assignment_map = assignments.AssignmentMap()
        return coordinator.Coordinator(
            instance_id=entry,
            availability_zone=zone,
            arbiter_zones=(ZONE_A, ZONE_B),
            shard_count=1,
            assignment_map=assignment_map,
            fleet=self.fleet,
        )

    def _apply(self, actor, effects_to_apply) -> None:
        for effect in list(effects_to_apply):
            match effect:
                case effects.Send():
                    self._deliver(effect.message, actor)
                case registry.AfterReplication():
                    self._replicate(effect)
                case registry.RecordChanged():
                    self._copy_to_backup(effect.record_id)
                case look_ups.OutcomeFound() | look_ups.OutcomeUnavailable():
                    self.outcomes.append(effect)
                case effects.Effect():
                    self.outcomes.append(effect)

    def _replicate(self, effect: registry.AfterReplication) -> None:
        is_without_backup = effect.needs_confirmation and not self.has_backup
        self._apply(
            ARBITER, effect.otherwise if is_without_backup else effect.then
        )

    def _copy_to_backup(self, record_id: str) -> None:
        record = self.registry.record(record_id)
        if record is None:
            self.backup.evict(record_id)
        elif self.has_backup:
            self.backup.install(record)

    def _deliver(self, message: effects.Message, sender) -> None:
        self.sent.append(message)
        if self.should_drop(message):
            return
        if isinstance(message, messages.TO_ARBITER):
            self._apply(
                ARBITER, self.registry.handle(message, sender, self.now_ms)
            )
        elif isinstance(message, coordinator.Coordinator.message_types):
            self._deliver_to_entry(message, sender)
        else:
            zone = self.fleet.zone_of(sender)
            primary = PRIMARY_A if zone == ZONE_A else PRIMARY_B
            account = self.account_by_budget[zone, message.budget_id]
            response = account.respond(message, zone)
            if response is not None:
                self._deliver(response, primary)

    def _deliver_to_entry(self, message: effects.Message, sender) -> None:
        attempt = getattr(message, "attempt", None)
        reservation_id = getattr(message, "reservation_id", None)
        owner = attempt or reservation_id
        entry_ids = [owner.entry] if owner else list(self.entry_by_id)
        for entry_id in entry_ids:
            entry = self.entry_by_id[entry_id]
            self._apply(entry_id, entry.handle(message, sender, self.now_ms))


def make_call(key=None, **changes) -> calls.Call:
    """Returns a call, by default one that is not safe to repeat."""
    values = {
        "key": key or make_key(),
        "fingerprint": "f",
        "team_id": "team-1",
        "service": "till-api",
        "request_kind": "deduct",
        "repeatable": False,
        "draws": (calls.Draw(budget_id=BUDGET, bound_tokens=10),),
        "deadline_ms": START_MS + 30_000,
    }
    return calls.Call(**(values | changes))


def make_key(created_at_ms: int = START_MS, tail: int = 1) -> str:
    """Returns a UUIDv7 with the given creation time."""
    hexadecimal = f"{created_at_ms:012x}7{0:03x}8{tail:015x}"
    parts = (
        hexadecimal[:8],
        hexadecimal[8:12],
        hexadecimal[12:16],
        hexadecimal[16:20],
        hexadecimal[20:],
    )
    return identifiers.RequestKey("scot-a:" + "-".join(parts))
