"""Edits of rows: reading the version first, and telling what came between."""

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


def find(
    ctl: client.OperatorClient, row_key: str
) -> result.Result[messages.VersionedRow, outcomes.CommandFailed]:
    """Returns one row, or a failure that names similar ones."""
    listed = ctl.rows(row_key)
    if isinstance(listed, result.Err):
        return listed
    for versioned in listed.ok_value.rows:
        if versioned.row_key == row_key and versioned.row is not None:
            return result.Ok(versioned)
    return result.Err(
        outcomes.refused(
            f"There is no row {row_key!r}.",
            remedy="List the rows to see their keys: bamboogladectl rows list.",
        )
    )


def write(
    ctl: client.OperatorClient,
    *,
    row_key: str,
    row: rows.Row | None,
    expected_version: int,
    edit_id: str,
    base: messages.VersionedRow | None = None,
) -> result.Result[messages.EditOutcomes, outcomes.CommandFailed]:
    """Writes one row; None deletes it.

    Args:
        ctl: The client.
        row_key: Key of the row.
        row: The new row.
        expected_version: Version that the operator saw.
        edit_id: Id of the edit.
        base: The row that the operator saw, to tell what changed since.
    """
    edit = messages.RowEdit(
        row_key=row_key, expected_version=expected_version, row=row
    )
    edited = ctl.edit_rows(messages.EditRows(edit_id=edit_id, edits=(edit,)))
    if isinstance(edited, result.Err):
        return edited
    outcome = edited.ok_value.outcomes[0]
    if outcome.refusal is None:
        return edited
    return result.Err(_refused(outcome, base=base, edit_id=edit_id))


def _refused(
    outcome: messages.RowOutcome,
    *,
    base: messages.VersionedRow | None,
    edit_id: str,
) -> outcomes.CommandFailed:
    refusal = outcome.refusal
    code = _EXIT_CODE_BY_KIND.get(refusal.kind, outcomes.ExitCode.REFUSED)
    found = [refusal.detail]
    if code is outcomes.ExitCode.CONFLICT and outcome.current is not None:
        found.append(difference(base, outcome.current))
    return outcomes.CommandFailed(
        exit_code=code,
        kind=refusal.kind,
        detail=" ".join(found),
        remedy=refusal.remedy,
        edit_id=edit_id,
    )


def difference(
    base: messages.VersionedRow | None, current: messages.VersionedRow
) -> str:
    """Tells who changed a row, when, and what."""
    who = (
        f"{current.row_key} is now version {current.version}, edited by "
        f"{current.edited_by} at {layout.moment(current.edited_at_ms)}"
    )
    if current.row is None:
        return f"{who}: deleted."
    before = {} if base is None or base.row is None else _cells(base)
    after = _cells(current)
    changed = [
        f"{name}: {before.get(name, '-')} -> {after.get(name, '-')}"
        for name in dict.fromkeys([*before, *after])
        if before.get(name) != after.get(name)
    ]
    return f"{who}: {', '.join(changed) or 'no column differs'}."


def _cells(versioned: messages.VersionedRow) -> dict[str, object]:
    cells = sheets.cells_of(versioned)
    del cells[sheets.VERSION_COLUMN]
    return {
        name: "(changed)" if name.endswith("key_hash") else cell
        for name, cell in cells.items()
    }


def with_columns(
    versioned: messages.VersionedRow, columns: tuple[str, ...]
) -> result.Result[rows.Row, outcomes.CommandFailed]:
    """Returns a row with columns set from texts like `weight=2`.

    An empty value sets the column back to its default.
    """
    cells = msgspec.to_builtins(versioned.row)
    filled = {name: cell for name, cell in cells.items() if cell is not None}
    return _add_columns(filled, columns, place=versioned.row_key)


def new_row(
    row_key: str, columns: tuple[str, ...]
) -> result.Result[rows.Row, outcomes.CommandFailed]:
    """Makes a row from its key and texts like `weight=2`.

    Examples:
        >>> made = new_row("limit/*/till-api/deduct", ("spend_limit_tokens=9",))
        >>> made.unwrap().request_kind
        'deduct'
        >>> new_row("team", ()).is_err()
        True
    """
    tag, *names = row_key.split("/")
    columns_of_key = sheets.columns_of(tag)[: len(names)]
    given = dict(zip(columns_of_key, names, strict=False))
    cells = {sheets.TYPE_COLUMN: tag, **given}
    read = _add_columns(cells, columns, place=row_key)
    if read.is_ok() and read.ok_value.row_key != row_key:
        return result.Err(
            outcomes.refused(
                f"The columns make the key {read.ok_value.row_key!r}.",
                remedy="Leave the columns out that the key gives already.",
            )
        )
    return read


def _add_columns(
    cells: dict[str, object], columns: tuple[str, ...], *, place: str
) -> result.Result[rows.Row, outcomes.CommandFailed]:
    for column in columns:
        name, separator, value = column.partition("=")
        if not separator:
            return result.Err(
                outcomes.refused(
                    f"{column!r} is not of the form column=value.",
                    remedy="Write for instance weight=2.",
                )
            )
        cells[name] = value
    read = sheets.row_from_cells(cells, place=place)
    return read.map(lambda sheet_row: sheet_row.row)
