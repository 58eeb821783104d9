"""Imports sheets in batches, and reports the progress."""

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

ProgressCallback = Callable[[str], None]


class ImportSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of the import of a sheet.

    Attributes:
        unchanged: Number of rows that already had these values.
        refused: Outcomes of the rows that were refused.
    """

    edit_id: str
    accepted: int
    unchanged: int
    refused: tuple[messages.RowOutcome, ...]


class _OutcomeCounts:
    """Counts the outcomes of an import."""

    __slots__ = ("accepted", "refused", "unchanged")

    def __init__(self) -> None:
        self.accepted = 0
        self.unchanged = 0
        self.refused: list[messages.RowOutcome] = []


def import_sheet(
    operator_client: client.OperatorClient,
    sheet: tuple[sheets.SheetRow, ...],
    *,
    edit_id: str,
    report_progress: ProgressCallback,
) -> deferred.CommandResult:
    """Writes the rows of a sheet that differ from the current ones.

    Args:
        operator_client: The client.
        sheet: The rows, with the versions that the operator saw.
        edit_id: Id of the import. The ids of the batches are derived from it,
            which makes repeating the import with it idempotent.
        report_progress: Called with a status text after each batch.
    """
    row_list = operator_client.rows()
    if isinstance(row_list, result.Err):
        return row_list
    current_row_by_key = {
        row.row_key: row.row for row in row_list.ok_value.rows
    }
    counts = _OutcomeCounts()
    processed_rows = 0
    for number, batch in enumerate(_batches(sheet)):
        written = _write_batch(
            operator_client,
            batch,
            current_row_by_key,
            counts,
            edit_id=f"{edit_id}-{number}",
        )
        if isinstance(written, result.Err):
            return result.Err(
                msgspec.structs.replace(written.err_value, edit_id=edit_id)
            )
        processed_rows += len(batch)
        report_progress(f"{processed_rows} of {len(sheet)} rows")
    return result.Ok(_import_output(counts, edit_id))


def _write_batch(
    operator_client: client.OperatorClient,
    batch: tuple[sheets.SheetRow, ...],
    current_row_by_key: dict[str, object],
    counts: _OutcomeCounts,
    *,
    edit_id: str,
) -> result.Result[None, outcomes.CommandFailure]:
    edits = tuple(
        messages.RowEdit(
            row_key=sheet_row.row.row_key,
            expected_version=sheet_row.version,
            row=sheet_row.row,
        )
        for sheet_row in batch
        if current_row_by_key.get(sheet_row.row.row_key) != sheet_row.row
    )
    counts.unchanged += len(batch) - len(edits)
    if not edits:
        return result.Ok(None)
    written = operator_client.edit_rows(
        messages.EditRows(edit_id=edit_id, edits=edits)
    )
    if isinstance(written, result.Err):
        return written
    refused = [
        outcome for outcome in written.ok_value.outcomes if outcome.refusal
    ]
    counts.refused += refused
    counts.accepted += len(edits) - len(refused)
    return result.Ok(None)


def _batches(
    sheet: tuple[sheets.SheetRow, ...],
) -> Iterator[tuple[sheets.SheetRow, ...]]:
    remaining = iter(sheet)
    while batch := tuple(itertools.islice(remaining, BATCH_ROWS)):
        yield batch


def _import_output(counts: _OutcomeCounts, edit_id: str) -> msgspec.Struct:
    summary = ImportSummary(
        edit_id=edit_id,
        accepted=counts.accepted,
        unchanged=counts.unchanged,
        refused=tuple(counts.refused),
    )
    if not counts.refused:
        return summary
    return deferred.OutputWithExitCode(
        output=summary, exit_code=outcomes.ExitCode.PARTIAL
    )
