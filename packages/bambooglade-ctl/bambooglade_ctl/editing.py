"""Edits of rows, with a description of conflicting edits."""

from __future__ import annotations

import msgspec
import result

from bambooglade.router import operator_messages as messages
from bambooglade.table import page_draft
from bambooglade.table import rows
from bambooglade_ctl import client
from bambooglade_ctl import layout
from bambooglade_ctl import outcomes
from bambooglade_ctl import sheets

_EXIT_CODE_BY_KIND = {
    page_draft.StaleEdit.kind: outcomes.ExitCode.CONFLICT,
    page_draft.EditUnknown.kind: outcomes.ExitCode.UNCERTAIN,
    page_draft.ServiceUnavailable.kind: outcomes.ExitCode.UNREACHABLE,
}


def find_row(
    operator_client: client.OperatorClient, row_key: str
) -> result.Result[messages.VersionedRow, outcomes.CommandFailure]:
    """Returns one row, or a failure if there is no such row."""
    row_list = operator_client.rows(row_key)
    if isinstance(row_list, result.Err):
        return row_list
    for versioned in row_list.ok_value.rows:
        if versioned.row_key == row_key and versioned.row is not None:
            return result.Ok(versioned)
    return result.Err(
        outcomes.refused(
            f"There is no row {row_key!r}.",
            remedy="List the rows to see their keys: bamboogladectl rows list.",
        )
    )


def write_row(
    operator_client: client.OperatorClient,
    *,
    row_key: str,
    row: rows.Row | None,
    expected_version: int,
    edit_id: str,
    base: messages.VersionedRow | None = None,
) -> result.Result[messages.EditOutcomes, outcomes.CommandFailure]:
    """Writes or deletes one row.

    Args:
        operator_client: The client.
        row_key: Key of the row.
        row: The new row; None deletes the row.
        expected_version: Version that the operator saw.
        edit_id: Id of the edit.
        base: The row that the operator saw, to describe what changed since.
    """
    edit = messages.RowEdit(
        row_key=row_key, expected_version=expected_version, row=row
    )
    edited = operator_client.edit_rows(
        messages.EditRows(edit_id=edit_id, edits=(edit,))
    )
    if isinstance(edited, result.Err):
        return edited
    outcome = edited.ok_value.outcomes[0]
    if outcome.refusal is None:
        return edited
    return result.Err(_edit_failure(outcome, base=base, edit_id=edit_id))


def _edit_failure(
    outcome: messages.RowOutcome,
    *,
    base: messages.VersionedRow | None,
    edit_id: str,
) -> outcomes.CommandFailure:
    refusal = outcome.refusal
    code = _EXIT_CODE_BY_KIND.get(refusal.kind, outcomes.ExitCode.REFUSED)
    details = [refusal.detail]
    if code is outcomes.ExitCode.CONFLICT and outcome.current is not None:
        details.append(describe_change(base, outcome.current))
    return outcomes.CommandFailure(
        exit_code=code,
        kind=refusal.kind,
        detail=" ".join(details),
        remedy=refusal.remedy,
        edit_id=edit_id,
    )


def describe_change(
    base: messages.VersionedRow | None, current: messages.VersionedRow
) -> str:
    """Describes who changed a row, when, and which columns."""
    summary = (
        f"{current.row_key} is now version {current.version}, edited by "
        f"{current.edited_by} at {layout.timestamp(current.edited_at_ms)}"
    )
    if current.row is None:
        return f"{summary}: deleted."
    before = {} if base is None or base.row is None else _masked_cells(base)
    after = _masked_cells(current)
    changed = [
        f"{name}: {before.get(name, '-')} -> {after.get(name, '-')}"
        for name in dict.fromkeys([*before, *after])
        if before.get(name) != after.get(name)
    ]
    return f"{summary}: {', '.join(changed) or 'no column changed'}."


def _masked_cells(versioned: messages.VersionedRow) -> dict[str, object]:
    cells = sheets.cells_of(versioned)
    del cells[sheets.VERSION_COLUMN]
    return {
        name: "(changed)" if name.endswith("key_hash") else cell
        for name, cell in cells.items()
    }


def with_columns(
    versioned: messages.VersionedRow, columns: tuple[str, ...]
) -> result.Result[rows.Row, outcomes.CommandFailure]:
    """Returns a row with columns set from texts such as `weight=2`.

    An empty value resets the column to its default.
    """
    cells = msgspec.to_builtins(versioned.row)
    filled = {name: cell for name, cell in cells.items() if cell is not None}
    return _row_with_columns(filled, columns, location=versioned.row_key)


def new_row(
    row_key: str, columns: tuple[str, ...]
) -> result.Result[rows.Row, outcomes.CommandFailure]:
    """Creates a row from its key and texts such as `weight=2`.

    Examples:
        >>> made = new_row("limit/*/till-api/deduct", ("spend_limit_tokens=9",))
        >>> made.unwrap().request_kind
        'deduct'
        >>> new_row("team", ()).is_err()
        True
    """
    tag, *names = row_key.split("/")
    columns_of_key = sheets.columns_of(tag)[: len(names)]
    key_cells = dict(zip(columns_of_key, names, strict=False))
    cells = {sheets.TYPE_COLUMN: tag, **key_cells}
    converted = _row_with_columns(cells, columns, location=row_key)
    if converted.is_ok() and converted.ok_value.row_key != row_key:
        return result.Err(
            outcomes.refused(
                f"The key is {row_key!r}, but the columns yield the key "
                f"{converted.ok_value.row_key!r}.",
                remedy="Leave out the columns that the key already determines.",
            )
        )
    return converted


def _row_with_columns(
    cells: dict[str, object], columns: tuple[str, ...], *, location: str
) -> result.Result[rows.Row, outcomes.CommandFailure]:
    for column in columns:
        name, separator, value = column.partition("=")
        if not separator:
            return result.Err(
                outcomes.refused(
                    f"{column!r} is not of the form column=value.",
                    remedy="Write columns as in weight=2.",
                )
            )
        cells[name] = value
    converted = sheets.row_from_cells(cells, location=location)
    return converted.map(lambda sheet_row: sheet_row.row)
