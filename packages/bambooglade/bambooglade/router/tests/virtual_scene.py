"""A small fleet of assembled decisions on virtual time, for tests."""

from __future__ import annotations

import dataclasses

import uuid6

from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.router import assembly
from bambooglade.shards import assignments
from bambooglade.shards import document as documents
from bambooglade.shards import edits
from bambooglade.table import rows
from bambooglade.table import view
from bambooglade_standins.virtual import fleet as virtual_fleet
from bambooglade_standins.virtual import instances

ZONES = tuple(map(identifiers.AvailabilityZone, ("scot-a", "scot-b")))
BUDGET = identifiers.BudgetId("team/t1")
COST = 5
DEADLINE_MS = 20_000
SHARD_COUNT = 1


@dataclasses.dataclass(slots=True)
class Observer:
    """Plays the targets, and records what becomes of the calls."""

    runs: list[identifiers.RequestKey] = dataclasses.field(default_factory=list)
    answers: list = dataclasses.field(default_factory=list)

    def permitted(self, instance_id, call, now_ms):
        self.runs.append(call.key)
        return calls.RunEnd(
            result=calls.RunResult.FINISHED,
            spent_tokens=COST,
            answer=calls.StoredResponse(
                http_status=200, content_type="text/plain", body=b"done"
            ),
        )

    def run_duration_ms(self, call):
        return 10

    def answered(self, instance_id, call, effect, now_ms):
        self.answers.append(effect)

    def local_effect(self, instance_id, effect, now_ms):
        pass


def _assemble(*, instance_id, availability_zone, fleet, now_ms):
    parts = assembly.assemble(
        assembly.Identity(
            instance_id=instance_id,
            availability_zone=availability_zone,
            arbiter_zones=ZONES,
            shard_count=SHARD_COUNT,
        ),
        assignment_map=assignments.AssignmentMap(),
        fleet=fleet,
        table=view.FixedTable([rows.TeamRow(team_id="t1", key_hash="x")]),
    )
    return instances.Parts(
        machine=parts.machine,
        coordinator=parts.coordinator,
        begin_stop=lambda now_ms: list(parts.host.begin_drain(now_ms)),
        is_drained=lambda: parts.host.is_drained,
    )


class Scene:
    """A fleet with some instances in each zone, and a prepaid budget."""

    def __init__(self, *, per_zone, prepaid=1_000):
        self.observer = Observer()
        self.fleet = virtual_fleet.VirtualFleet(
            assemble=_assemble, observer=self.observer, seed=3
        )
        self.ids = [
            self.fleet.start(zone) for zone in ZONES for _ in range(per_zone)
        ]
        top_up = edits.TopUp(
            edit_id=identifiers.EditId("e1"), budget_id=BUDGET, tokens=prepaid
        )
        machine = self.fleet.instance_by_id[self.ids[0]].parts.machine
        self.fleet.perform(
            self.ids[0],
            lambda now_ms: machine.handle(top_up, self.ids[0], now_ms),
        )
        self.fleet.run_for(2_000)

    def deduct(self, entry, *, arbiter=None):
        """Sends a deduction, and lets it end."""
        key = identifiers.RequestKey(
            f"{arbiter or ZONES[0]}:{uuid7_at(self.fleet.now_ms)}"
        )
        self.fleet.begin(entry, self.call(key, repeatable=False))
        self.fleet.run_for(DEADLINE_MS)
        return key, self.observer.answers[-1]

    def call(self, key, *, repeatable):
        """Returns a call that no other one precedes."""
        return calls.Call(
            key=key,
            fingerprint="f",
            team_id=identifiers.TeamId("t1"),
            service=identifiers.ServiceName("till"),
            request_kind="deduct",
            repeatable=repeatable,
            draws=(calls.Draw(budget_id=BUDGET, bound_tokens=COST),),
            deadline_ms=self.fleet.now_ms + DEADLINE_MS,
            call_id=key,
            first_attempt=True,
        )

    def history_lost(self):
        """Returns whether a zone's records were lost in any shard."""
        return any(
            assignment.history_lost_at_ms is not None
            for key, stored in self.fleet.service.by_key.items()
            if key.startswith(documents.KEY_PREFIX)
            for assignment in documents.decode(
                stored.value
            ).assignment_by_availability_zone.values()
        )


def uuid7_at(now_ms):
    """Returns a UUIDv7 of a virtual time."""
    version_and_variant = (7 << 76) | (2 << 62)
    return str(uuid6.UUID(int=(now_ms << 80) | version_and_variant))
