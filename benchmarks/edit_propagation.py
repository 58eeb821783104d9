"""Time from an accepted edit to its being in force on every instance.

The time runs from the answer to the operator to the last running instance
that installs the row; all cases run on virtual time.
"""

from __future__ import annotations

from collections.abc import Iterator
import enum

import fire
import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.table import messages
from bambooglade.table import rows
from bambooglade_standins.virtual import control
from bambooglade_standins.virtual import network

TARGET_CALM_MS = 2_000
TARGET_MS = 11_000
EDITS = 40
JOIN_MS = 20_000
BETWEEN_EDITS_MS = 15_000
STEP_MS = 1
EDIT_DEADLINE_MS = 10_000
ZONES = ("scot-a", "scot-b", "scot-c", "scot-d")


class Case(enum.StrEnum):
    """Faults from the moment of the edit on."""

    CALM = "calm"
    DOWN_AFTER_EDIT = "service_down_after_edit"
    ZONE_CUT_FROM_SERVICE = "zone_cut_from_service"
    ZONE_CUT_FROM_SERVICE_AND_EDITOR = "zone_cut_from_service_and_editor"
    ONLY_ONE_ZONE_REACHES_SERVICE = "three_zones_cut_from_service"
    LOSSY = "one_message_in_five_lost"
    DOWN_AND_LOSSY = "service_down_after_edit_and_one_message_in_five_lost"
    INSTANCE_RESTARTED = "instance_restarted_at_the_edit"


class Latency(msgspec.Struct, frozen=True, kw_only=True):
    """Times of one case, in ms; `missing` edits were not in force in time."""

    case: Case
    nodes: int
    times_ms: tuple[int, ...]
    missing: int

    def share_ms(self, share: float) -> int:
        """Returns the time within which a share of the edits took hold."""
        ordered = sorted(self.times_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    def __str__(self) -> str:
        target_ms = TARGET_CALM_MS if self.case is Case.CALM else TARGET_MS
        return (
            f"experiment=edit_propagation case={self.case} nodes={self.nodes} "
            f"edits={len(self.times_ms) + self.missing} "
            f"median_ms={self.share_ms(0.5)} p95_ms={self.share_ms(0.95)} "
            f"max_ms={max(self.times_ms)} missing={self.missing} "
            f"target_ms={target_ms}"
        )


class _Run:
    """One fleet, and when which edit took hold where."""

    def __init__(self, case: Case, *, nodes: int, seed: int) -> None:
        # A service that goes down with the edit tells nobody of it.
        watches = case not in (Case.DOWN_AFTER_EDIT, Case.DOWN_AND_LOSSY)
        self.virtual = control.ControlFleet(
            seed=seed,
            seeds=("http://scot-a-1", "http://scot-b-2"),
            page_count=16,
            watches=watches,
            on_effect=self._note,
        )
        self._installed: set[tuple[identifiers.InstanceId, int]] = set()
        for index in range(nodes):
            self.virtual.start(ZONES[index % len(ZONES)])
        self.virtual.fleet.run_for(JOIN_MS)

    def _note(
        self,
        instance_id: identifiers.InstanceId,
        effect: effects.Effect,
        now_ms: int,
    ) -> None:
        del now_ms
        if isinstance(effect, messages.RowsInstalled):
            for row_key in effect.row_keys:
                row = self.virtual.table(instance_id).get(row_key)
                self._installed.add((instance_id, row.spend_limit_tokens))

    def edit(self, number: int, case: Case) -> int | None:
        """Makes an edit; returns its time to be in force everywhere."""
        fleet = self.virtual.fleet
        edit_id = identifiers.EditId(f"edit-{number}")
        self.virtual.edit("scot-a-1", self._edit(edit_id, number))
        if case is Case.INSTANCE_RESTARTED:
            self._restart()
        while edit_id not in self.virtual.answer_by_edit_id:
            fleet.run_for(STEP_MS)
        (outcome,) = self.virtual.answer_by_edit_id[edit_id].outcomes
        if not isinstance(outcome, messages.Accepted):
            raise RuntimeError(f"edit {number} was not accepted: {outcome}")
        if case in (Case.DOWN_AFTER_EDIT, Case.DOWN_AND_LOSSY):
            fleet.service.faults.down = True
        accepted_at_ms = fleet.now_ms
        while not self._in_force(number):
            if fleet.now_ms - accepted_at_ms > 2 * TARGET_MS:
                return None
            fleet.run_for(STEP_MS)
        return fleet.now_ms - accepted_at_ms

    def _edit(
        self, edit_id: identifiers.EditId, number: int
    ) -> messages.EditRows:
        row = rows.LimitRow(team_id="t1", spend_limit_tokens=number)
        known = self.virtual.table("scot-a-1").record(row.row_key)
        return messages.edit_row(
            row,
            expected_version=known.version if known else 0,
            edit_id=edit_id,
            edited_by="measurement",
            deadline_ms=self.virtual.fleet.now_ms + EDIT_DEADLINE_MS,
        )

    def _restart(self) -> None:
        fleet = self.virtual.fleet
        others = [
            instance.instance_id
            for instance in fleet.running()
            if instance.instance_id not in ("scot-a-1", "scot-b-2")
        ]
        fleet.kill(others[0])
        self.virtual.start(fleet.instance_by_id[others[0]].availability_zone)

    def _in_force(self, number: int) -> bool:
        return all(
            (instance.instance_id, number) in self._installed
            for instance in self.virtual.fleet.running()
        )


def measure(
    case: Case, *, nodes: int = 9, seed: int = 1, edits: int = EDITS
) -> Latency:
    """Measures one case."""
    run = _Run(case, nodes=nodes, seed=seed)
    faults = run.virtual.fleet.network.faults
    if case in (Case.LOSSY, Case.DOWN_AND_LOSSY):
        faults.loss = 0.2
    times_ms = [
        time_ms
        for number in range(edits)
        for time_ms in [_measure_edit(run, number, case)]
        if time_ms is not None
    ]
    return Latency(
        case=case,
        nodes=nodes,
        times_ms=tuple(times_ms),
        missing=edits - len(times_ms),
    )


def _measure_edit(run: _Run, number: int, case: Case) -> int | None:
    fleet = run.virtual.fleet
    for zone in _cut_zones(case):
        fleet.network.cut(zone, network.PLATFORM, now_ms=fleet.now_ms)
    if case is Case.ZONE_CUT_FROM_SERVICE_AND_EDITOR:
        fleet.network.cut(ZONES[0], ZONES[2], now_ms=fleet.now_ms)
    time_ms = run.edit(number, case)
    fleet.service.faults.down = False
    fleet.network.heal()
    fleet.run_for(BETWEEN_EDITS_MS)
    return time_ms


def _cut_zones(case: Case) -> Iterator[identifiers.AvailabilityZone]:
    if case in (
        Case.ZONE_CUT_FROM_SERVICE,
        Case.ZONE_CUT_FROM_SERVICE_AND_EDITOR,
    ):
        yield identifiers.AvailabilityZone(ZONES[2])
    if case is Case.ONLY_ONE_ZONE_REACHES_SERVICE:
        yield from map(identifiers.AvailabilityZone, ZONES[1:])


def lines(
    *, nodes: int = 9, seed: int = 1, edits: int = EDITS
) -> Iterator[str]:
    """Yields one line a case."""
    for case in Case:
        yield str(measure(case, nodes=nodes, seed=seed, edits=edits))


def main(*, nodes: int = 9, seed: int = 1, edits: int = EDITS) -> None:
    """Prints one line a case."""
    for line in lines(nodes=nodes, seed=seed, edits=edits):
        print(line, flush=True)


if __name__ == "__main__":
    fire.Fire(main)
