"""Snapshots of the metrics, stored in a file of JSON lines."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import pathlib

import msgspec
import result

from bambooglade_ctl import outcomes
from bambooglade_ctl.burn import events

RETENTION_MS = 7 * 60 * 60 * 1_000
"""Covers the longest window of 6 h, and one more hour."""


class Increase(msgspec.Struct, frozen=True, kw_only=True):
    """Events of one series between two snapshots."""

    at_ms: int
    series: events.Series
    count: int


def load(
    path: pathlib.Path,
) -> result.Result[tuple[events.Snapshot, ...], outcomes.CommandFailure]:
    """Reads the snapshots of a file; empty if the file does not exist.

    A truncated last line is ignored, since the writer may have been stopped
    while writing it.
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
    return result.Ok(
        tuple(sorted(snapshots, key=lambda snapshot: snapshot.at_ms))
    )


def _unreadable(
    path: pathlib.Path, detail: str
) -> result.Err[outcomes.CommandFailure]:
    return result.Err(
        outcomes.refused(
            f"The history {str(path)!r} can't be read: {detail}.",
            remedy="Pass another file; it is created if it does not exist.",
        )
    )


def append(
    path: pathlib.Path,
    stored: Iterable[events.Snapshot],
    added: events.Snapshot,
) -> tuple[events.Snapshot, ...]:
    """Adds a snapshot to the history, and evicts expired ones.

    The file is replaced atomically, so readers never see a partial file.
    """
    oldest_ms = added.at_ms - RETENTION_MS
    snapshots = (
        *(snapshot for snapshot in stored if snapshot.at_ms >= oldest_ms),
        added,
    )
    temporary_path = path.with_name(path.name + ".new")
    temporary_path.write_bytes(
        b"".join(
            msgspec.json.encode(snapshot) + b"\n" for snapshot in snapshots
        )
    )
    temporary_path.replace(path)
    return snapshots


def increases(snapshots: Iterable[events.Snapshot]) -> Iterator[Increase]:
    """Yields the increases of the counters between consecutive snapshots.

    A new or restarted instance counts from 0; an instance that was unreachable
    counts from its last snapshot. Nothing is counted across a change of the
    objectives, because it changes which requests are late.
    """
    counts_by_instance: dict[str, dict[events.Series, int]] = {}
    objectives = None
    for snapshot in snapshots:
        is_comparable = snapshot.objectives == objectives
        objectives = snapshot.objectives
        for instance in snapshot.instances:
            previous_counts = counts_by_instance.get(instance.instance_id, {})
            current_counts = {
                series_count.series: series_count.count
                for series_count in instance.counts
            }
            counts_by_instance[instance.instance_id] = current_counts
            if not is_comparable:
                continue
            for series, count in current_counts.items():
                previous = previous_counts.get(series, 0)
                increase = count - previous if count >= previous else count
                if increase:
                    yield Increase(
                        at_ms=snapshot.at_ms, series=series, count=increase
                    )
