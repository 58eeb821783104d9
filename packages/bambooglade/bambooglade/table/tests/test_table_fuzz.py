"""Stateful fuzz test of the table against an oracle of accepted edits.

Run more examples with `TABLE_FUZZ_EXAMPLES=2000 pytest -k table_fuzz`.
"""

from __future__ import annotations

import copy
import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bambooglade.core import identifiers
from bambooglade.table import messages
from bambooglade.table import pages
from bambooglade.table import rows
from bambooglade_standins.virtual import control
from bambooglade_standins.virtual import network

EXAMPLES = int(os.environ.get("TABLE_FUZZ_EXAMPLES", "12"))
STEPS = 25
ZONES = ("zone-a", "zone-b", "zone-c")
NETWORK_NODES = (*ZONES, network.PLATFORM)
TEAMS = ("t1", "t2", "t3")
DEADLINE_MS = 3_000
START_MS = 5_000
CONVERGENCE_MS = 60_000
MAX_INSTANCES = 6

zone_names = strategies.sampled_from(ZONES)
indices = strategies.integers(0, MAX_INSTANCES - 1)


class TableMachine(stateful.RuleBasedStateMachine):
    """Edits via any instance under faults; no accepted edit is reverted."""

    def __init__(self):
        super().__init__()
        self.edits = {}
        self.seen_versions = {}
        self.restored = False
        self.control_fleet = control.ControlFleet(
            seed=1,
            seeds=("http://zone-a-1", "http://zone-b-2"),
            on_effect=self._check_effect,
        )
        self.fleet = self.control_fleet.fleet
        for zone in ZONES:
            self.control_fleet.start(zone)
        self.fleet.run_for(START_MS)

    def _running(self, index):
        running = self.fleet.running()
        return running[index % len(running)] if running else None

    @stateful.rule(
        index=indices,
        team=strategies.sampled_from(TEAMS),
        stale=strategies.booleans(),
    )
    def edit(self, index, team, stale):
        instance = self._running(index)
        if instance is None:
            return
        table = self.control_fleet.table(instance.instance_id)
        key = f"limit/{team}/*/*"
        known = table.record(key)
        version = known.version if known else 0
        expected = max(0, version - 1) if stale else version
        number = len(self.edits)
        edit_id = identifiers.EditId(f"e{number}")
        row = rows.LimitRow(team_id=team, spend_limit_tokens=number)
        self.edits[edit_id] = (key, number, expected)
        self.control_fleet.edit(
            instance.instance_id,
            messages.edit_row(
                row,
                expected_version=expected,
                edit_id=edit_id,
                edited_by="fuzz",
                deadline_ms=self.fleet.now_ms + DEADLINE_MS,
            ),
        )

    @stateful.rule(
        duration_ms=strategies.sampled_from([1, 4, 50, 400, 2_000, 9_000])
    )
    def wait(self, duration_ms):
        self.fleet.run_for(duration_ms)

    @stateful.rule(
        one=strategies.sampled_from(ZONES),
        other=strategies.sampled_from(NETWORK_NODES),
    )
    def cut(self, one, other):
        if one != other:
            self.fleet.network.cut(one, other, now_ms=self.fleet.now_ms)

    @stateful.rule(
        lost=strategies.sampled_from([0.0, 0.5, 1.0]),
        down=strategies.booleans(),
        latency_ms=strategies.sampled_from([2, 800]),
    )
    def disturb_service(self, lost, down, latency_ms):
        faults = self.fleet.service.faults
        faults.lost_answers, faults.down = lost, down
        faults.latency_ms = latency_ms

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.3]))
    def disturb_messages(self, loss):
        faults = self.fleet.network.faults
        faults.loss, faults.duplication = loss, loss
        faults.extra_delay_ms = 200 if loss else 0

    @stateful.rule(index=indices)
    def pause(self, index):
        instance = self._running(index)
        if instance is not None:
            self.fleet.pause(instance.instance_id)

    @stateful.rule()
    def wake(self):
        for instance in list(self.fleet.instance_by_id.values()):
            if instance.alive and instance.paused:
                self.fleet.wake(instance.instance_id)

    @stateful.rule(index=indices, zone=zone_names)
    def replace(self, index, zone):
        """Kills an instance and starts another one.

        No instance is killed while a restored service lacks accepted edits:
        an edit that neither the service nor any instance holds is lost.
        """
        instance = self._running(index)
        if instance is not None and not self._has_pending_repairs():
            self.fleet.kill(instance.instance_id)
        if len(self.fleet.running()) < MAX_INSTANCES:
            self.control_fleet.start(zone)

    @stateful.rule(age=strategies.integers(1, 3))
    def restore_service(self, age):
        """Restores a backup while all instances have all accepted edits.

        If an instance lacks edits, the restored service may accept a second
        edit with the same version; docs/design/table.md describes this case.
        """
        self._heal()
        backups = [copy.deepcopy(self.fleet.service.by_key)]
        for _ in range(age):
            self.edit(index=0, team="t1", stale=False)
            self.fleet.run_for(DEADLINE_MS)
            backups.append(copy.deepcopy(self.fleet.service.by_key))
        self.fleet.run_for(CONVERGENCE_MS)
        self.fleet.service.by_key = backups[0]
        self.restored = True

    def _check_effect(self, instance_id, effect, now_ms):
        """Checks at each installation that no row version decreased."""
        if not isinstance(effect, messages.RowsInstalled):
            return
        for row_key in effect.row_keys:
            version = (
                self.control_fleet.table(instance_id).record(row_key).version
            )
            seen_key = (instance_id, row_key)
            assert version >= self.seen_versions.get(seen_key, 0), now_ms
            self.seen_versions[seen_key] = version

    @stateful.invariant()
    def accepted_edits_have_distinct_versions(self):
        accepted = list(self._accepted())
        assert len({(key, version) for key, version, _ in accepted}) == len(
            accepted
        )

    @stateful.invariant()
    def accepted_edit_increments_its_expected_version(self):
        for edit_id, answer in self.control_fleet.answer_by_edit_id.items():
            (outcome,) = answer.outcomes
            if isinstance(outcome, messages.Accepted):
                assert outcome.version == self.edits[edit_id][2] + 1

    def teardown(self):
        self._heal()
        newest = {}
        for key, version, number in self._accepted():
            newest[key] = max(newest.get(key, (0, 0)), (version, number))
        row_keys = [f"limit/{team}/*/*" for team in TEAMS]
        states = [
            {key: self._version_and_value(instance, key) for key in row_keys}
            for instance in self.fleet.running()
        ]
        assert all(each == states[0] for each in states)
        for key, (version, number) in newest.items():
            assert states[0][key][0] >= version
            if states[0][key][0] == version:
                assert states[0][key][1] == number
        self._check_refused_edits_are_not_in_force(states)

    def _check_refused_edits_are_not_in_force(self, states):
        refused = {
            self.edits[edit_id][1]
            for edit_id, answer in self.control_fleet.answer_by_edit_id.items()
            if isinstance(answer.outcomes[0], messages.Refused)
        }
        for each in states:
            assert refused.isdisjoint(number for _, number in each.values())

    def _has_pending_repairs(self):
        self.restored = (
            self.restored and not self._service_stores_all_accepted()
        )
        return self.restored

    def _service_stores_all_accepted(self):
        stored = self.fleet.service.by_key
        for key, version, _ in self._accepted():
            number = pages.page_of(key, page_count=control.PAGE_COUNT)
            document = stored.get(pages.document_key(number))
            page = pages.decode(document.value if document else None)
            if page.version(key) < version:
                return False
        return True

    def _version_and_value(self, instance, key):
        record = self.control_fleet.table(instance.instance_id).record(key)
        if record is None:
            return (0, None)
        return (record.version, record.row.spend_limit_tokens)

    def _accepted(self):
        for edit_id, answer in self.control_fleet.answer_by_edit_id.items():
            (outcome,) = answer.outcomes
            if isinstance(outcome, messages.Accepted):
                key, number, _ = self.edits[edit_id]
                yield key, outcome.version, number

    def _heal(self):
        self.fleet.network.heal()
        self.disturb_messages(0.0)
        self.disturb_service(0.0, False, 2)
        self.wake()
        if not self.fleet.running():
            self.control_fleet.start(ZONES[0])
        self.fleet.run_for(CONVERGENCE_MS)


TestTable = TableMachine.TestCase
TestTable.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
