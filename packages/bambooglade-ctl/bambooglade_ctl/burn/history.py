"""Snapshots of the metrics, kept in a file of JSON lines."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import pathlib

import msgspec
import result

from bambooglade_ctl import outcomes
from bambooglade_ctl.burn import events

RETENTION_MS = 7 * 60 * 60 * 1_000
"""Kept time: the longest window of 6 h, and an hour before it."""


class Increase(msgspec.Struct, frozen=True, kw_only=True):
    """Events of one series between two snapshots."""

    at_ms: int
    series: events.Series
    count: int


def load(
    path: pathlib.Path,
) -> result.Result[tuple[events.Snapshot, ...], outcomes.CommandFailed]:
    """Reads the snapshots of a file; a missing file has none.

    The last line may be cut, when the writer was stopped in the middle.
    """
    if not path.exists():
        return result.Ok(())
    snapshots = []
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        return _unreadable(path, str(error))
    for number, line in enumerate(lines, start=1):
        try:
            snapshots.append(msgspec.json.decode(line, type=events.Snapshot))
        except msgspec.DecodeError as error:
            if number < len(lines):
                return _unreadable(path, f"line {number}: {error}")
    return result.Ok(tuple(sorted(snapshots, key=lambda one: one.at_ms)))


def _unreadable(
    path: pathlib.Path, detail: str
) -> result.Err[outcomes.CommandFailed]:
    return result.Err(
        outcomes.refused(
            f"The history {str(path)!r} can't be read: {detail}.",
            remedy="Give another file; it is made when it does not exist.",
        )
    )


def append(
    path: pathlib.Path,
    kept: Iterable[events.Snapshot],
    added: events.Snapshot,
) -> tuple[events.Snapshot, ...]:
    """Writes the history with a snapshot added, and the oldest ones dropped.

    The file is replaced as a whole, so that a reader never sees half of it.
    """
    oldest_ms = added.at_ms - RETENTION_MS
    snapshots = (*(one for one in kept if one.at_ms >= oldest_ms), added)
    draft = path.with_name(path.name + ".new")
    draft.write_bytes(
        b"".join(msgspec.json.encode(one) + b"\n" for one in snapshots)
    )
    draft.replace(path)
    return snapshots


def increases(snapshots: Iterable[events.Snapshot]) -> Iterator[Increase]:
    """Yields what was counted from each snapshot to the next.

    An instance that is new counts from 0; one that could not be read for a
    while counts from where it was last seen. Across a change of the
    objectives nothing is counted, because late then means something else.
    """
    last_by_instance: dict[str, dict[events.Series, int]] = {}
    objectives = None
    for snapshot in snapshots:
        is_comparable = snapshot.objectives == objectives
        objectives = snapshot.objectives
        for instance in snapshot.instances:
            last = last_by_instance.get(instance.instance_id, {})
            now = {one.series: one.count for one in instance.counts}
            last_by_instance[instance.instance_id] = now
            if not is_comparable:
                continue
            for series, count in now.items():
                before = last.get(series, 0)
                grown = count - before if count >= before else count
                if grown:
                    yield Increase(
                        at_ms=snapshot.at_ms, series=series, count=grown
                    )
