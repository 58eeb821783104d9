"""Import and export of rows as TOML and CSV sheets.

Each row has a `type`, its columns, and the `version` that was exported. A row
without a version is treated as new.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import csv
import io
import json
import tomllib
import typing

import msgspec
import result

from bambooglade.router import operator_messages as messages
from bambooglade.table import rows
from bambooglade_ctl import outcomes

TYPE_COLUMN = "type"
VERSION_COLUMN = "version"

_ROW_TYPE_BY_TAG = {
    row_type.__struct_config__.tag: row_type
    for row_type in typing.get_args(rows.Row)
}


def columns_of(tag: str) -> tuple[str, ...]:
    """Returns the columns of a row type; empty for an unknown type."""
    row_type = _ROW_TYPE_BY_TAG.get(tag)
    return row_type.__struct_fields__ if row_type else ()


class SheetRow(msgspec.Struct, frozen=True, kw_only=True):
    """A row of a sheet, with its version when the sheet was exported."""

    row: rows.Row
    version: int = 0


def row_from_cells(
    cells: Mapping[str, object], *, location: str
) -> result.Result[SheetRow, outcomes.CommandFailure]:
    """Builds a row from its columns, converting texts where needed.

    Args:
        cells: Values by column; an empty text selects the default.
        location: Position of the row in the sheet, for messages.

    Examples:
        >>> row_from_cells({"type": "team", "team_id": "t", "key_hash": "h",
        ...     "weight": "2"}, location="line 2").unwrap().row.weight
        2.0
        >>> row_from_cells({"type": "team", "wait": "2"},
        ...     location="line 2").unwrap_err().detail
        "line 2: a team row has no column 'wait'."
    """
    filled = {name: cell for name, cell in cells.items() if cell != ""}
    row_type = _ROW_TYPE_BY_TAG.get(str(filled.get(TYPE_COLUMN)))
    if row_type is None:
        known = ", ".join(_ROW_TYPE_BY_TAG)
        return result.Err(
            outcomes.refused(
                f"{location}: {filled.get(TYPE_COLUMN)!r} is not a row type.",
                remedy=f"Set the column 'type' to one of: {known}.",
            )
        )
    return _convert(row_type, filled, location)


def _convert(
    row_type: type[rows.RowBase], filled: dict[str, object], location: str
) -> result.Result[SheetRow, outcomes.CommandFailure]:
    tag = filled.pop(TYPE_COLUMN)
    version = filled.pop(VERSION_COLUMN, 0)
    columns = row_type.__struct_fields__
    for name in filled:
        if name not in columns:
            return result.Err(
                outcomes.refused(
                    f"{location}: a {tag} row has no column {name!r}.",
                    remedy=f"Its columns are: {', '.join(columns)}.",
                )
            )
    try:
        row = msgspec.convert({"type": tag, **filled}, row_type, strict=False)
        seen_version = msgspec.convert(version, int, strict=False)
    except msgspec.ValidationError as error:
        return result.Err(
            outcomes.refused(
                f"{location}: {error}.",
                remedy=f"Its columns are: {', '.join(columns)}.",
            )
        )
    return result.Ok(SheetRow(row=row, version=seen_version))


def read_sheet(
    text: str, *, is_csv: bool
) -> result.Result[tuple[SheetRow, ...], outcomes.CommandFailure]:
    """Reads a sheet; the first invalid row rejects the whole sheet."""
    sheet = []
    try:
        for location, cells in (
            _csv_cells(text) if is_csv else _toml_cells(text)
        ):
            converted = row_from_cells(cells, location=location)
            if isinstance(converted, result.Err):
                return converted
            sheet.append(converted.ok_value)
    except (tomllib.TOMLDecodeError, csv.Error) as error:
        return result.Err(
            outcomes.refused(
                f"The file can't be read: {error}.",
                remedy="Export a sheet to see the expected format.",
            )
        )
    return result.Ok(tuple(sheet))


def _csv_cells(text: str) -> Iterator[tuple[str, dict[str, object]]]:
    reader = csv.DictReader(io.StringIO(text), restval="", strict=True)
    for cells in reader:
        extra_cells = cells.pop(None, None)
        if extra_cells:
            cells["(beyond the last column)"] = extra_cells
        yield f"line {reader.line_num}", cells


def _toml_cells(text: str) -> Iterator[tuple[str, dict[str, object]]]:
    for tag, entries in tomllib.loads(text).items():
        if not isinstance(entries, list):
            raise tomllib.TOMLDecodeError(f"write {tag} as [[{tag}]]")
        for number, cells in enumerate(entries, start=1):
            yield f"{tag} {number}", {TYPE_COLUMN: tag, **cells}


def write_csv(listed: Iterable[messages.VersionedRow]) -> str:
    """Renders rows as CSV, one line per row."""
    columns = dict.fromkeys(
        column
        for row_type in _ROW_TYPE_BY_TAG.values()
        for column in row_type.__struct_fields__
    )
    text = io.StringIO()
    header = [TYPE_COLUMN, VERSION_COLUMN, *columns]
    writer = csv.DictWriter(text, header, restval="", lineterminator="\n")
    writer.writeheader()
    for versioned in listed:
        writer.writerow(
            {
                name: json.dumps(cell) if isinstance(cell, bool) else cell
                for name, cell in cells_of(versioned).items()
            }
        )
    return text.getvalue()


def write_toml(listed: Iterable[messages.VersionedRow]) -> str:
    """Renders rows as TOML, one table per row."""
    return "\n".join(_toml_table(cells_of(row)) for row in listed)


def _toml_table(cells: dict[str, object]) -> str:
    lines = [f"[[{cells.pop(TYPE_COLUMN)}]]"]
    lines += [f"{name} = {json.dumps(cell)}" for name, cell in cells.items()]
    return "\n".join(lines) + "\n"


def cells_of(versioned: messages.VersionedRow) -> dict[str, object]:
    """Returns the columns of a row that are set, with its type and version."""
    cells = msgspec.to_builtins(versioned.row)
    filled = {name: cell for name, cell in cells.items() if cell is not None}
    return {
        TYPE_COLUMN: filled.pop(TYPE_COLUMN),
        VERSION_COLUMN: versioned.version,
        **filled,
    }
