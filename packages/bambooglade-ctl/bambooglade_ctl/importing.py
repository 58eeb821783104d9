"""Imports whole sheets in batches, with progress."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import itertools

import msgspec
import result

from bambooglade.router import operator_messages as messages
from bambooglade_ctl import client
from bambooglade_ctl import deferred
from bambooglade_ctl import outcomes
from bambooglade_ctl import sheets

BATCH_ROWS = 100

Progress = Callable[[str], None]


class Imported(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a sheet.

    Attributes:
        unchanged: Rows that were in force already.
        refused: Outcomes of the rows that were refused.
    """

    edit_id: str
    accepted: int
    unchanged: int
    refused: tuple[messages.RowOutcome, ...]


class _Tally:
    """Counts the outcomes of an import."""

    __slots__ = ("accepted", "refused", "unchanged")

    def __init__(self) -> None:
        self.accepted = 0
        self.unchanged = 0
        self.refused: list[messages.RowOutcome] = []


def import_sheet(
    ctl: client.OperatorClient,
    sheet: tuple[sheets.SheetRow, ...],
    *,
    edit_id: str,
    progress: Progress,
) -> deferred.Outcome:
    """Writes the rows of a sheet that differ from those in force.

    Args:
        ctl: The client.
        sheet: The rows, with the versions that the operator saw.
        edit_id: Id of the import; the batches get ids made from it, so that
            repeating the import with it does nothing twice.
        progress: Told about each batch.
    """
    listed = ctl.rows()
    if isinstance(listed, result.Err):
        return listed
    in_force = {row.row_key: row.row for row in listed.ok_value.rows}
    tally = _Tally()
    done = 0
    for number, batch in enumerate(_batches(sheet)):
        written = _write_batch(
            ctl, batch, in_force, tally, edit_id=f"{edit_id}-{number}"
        )
        if isinstance(written, result.Err):
            return result.Err(
                msgspec.structs.replace(written.err_value, edit_id=edit_id)
            )
        done += len(batch)
        progress(f"{done} of {len(sheet)} rows")
    return result.Ok(_report(tally, edit_id))


def _write_batch(
    ctl: client.OperatorClient,
    batch: tuple[sheets.SheetRow, ...],
    in_force: dict[str, object],
    tally: _Tally,
    *,
    edit_id: str,
) -> result.Result[None, outcomes.CommandFailed]:
    edits = tuple(
        messages.RowEdit(
            row_key=one.row.row_key,
            expected_version=one.version,
            row=one.row,
        )
        for one in batch
        if in_force.get(one.row.row_key) != one.row
    )
    tally.unchanged += len(batch) - len(edits)
    if not edits:
        return result.Ok(None)
    written = ctl.edit_rows(messages.EditRows(edit_id=edit_id, edits=edits))
    if isinstance(written, result.Err):
        return written
    refused = [one for one in written.ok_value.outcomes if one.refusal]
    tally.refused += refused
    tally.accepted += len(edits) - len(refused)
    return result.Ok(None)


def _batches(
    sheet: tuple[sheets.SheetRow, ...],
) -> Iterator[tuple[sheets.SheetRow, ...]]:
    remaining = iter(sheet)
    while batch := tuple(itertools.islice(remaining, BATCH_ROWS)):
        yield batch


def _report(tally: _Tally, edit_id: str) -> msgspec.Struct:
    imported = Imported(
        edit_id=edit_id,
        accepted=tally.accepted,
        unchanged=tally.unchanged,
        refused=tuple(tally.refused),
    )
    if not tally.refused:
        return imported
    return deferred.Completed(
        answer=imported, exit_code=outcomes.ExitCode.PARTIAL
    )
