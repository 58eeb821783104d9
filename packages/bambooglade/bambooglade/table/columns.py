"""Parser of rows from the columns of spreadsheets and TOML files."""

from __future__ import annotations

from collections.abc import Mapping
import difflib
import typing
from typing import ClassVar

import msgspec
import result

from bambooglade.core import failures
from bambooglade.table import rows

TYPE_COLUMN = "type"

_TYPE_BY_TAG = {
    row_type.__struct_config__.tag: row_type
    for row_type in typing.get_args(rows.Row)
}


class UnknownRowType(failures.BadRequest, frozen=True, kw_only=True):
    """The `type` column is missing or is not a known row type."""

    kind: ClassVar[str] = "unknown_row_type"
    remedy: ClassVar[str] = (
        f"Set the type to one of {', '.join(sorted(_TYPE_BY_TAG))}."
    )


class UnknownColumn(failures.BadRequest, frozen=True, kw_only=True):
    """The row type has no such column."""

    kind: ClassVar[str] = "unknown_column"
    remedy: ClassVar[str] = "Rename or remove the column."


class BadValue(failures.BadRequest, frozen=True, kw_only=True):
    """A required column is missing, or a value has the wrong type."""

    kind: ClassVar[str] = "bad_value"
    remedy: ClassVar[str] = "Correct the value of the named column."


def parse_row(
    columns: Mapping[str, object],
) -> result.Result[rows.Row, failures.Failure]:
    """Returns the row with the given column values.

    Strings are converted to numbers and booleans as the column requires; an
    empty string selects the default.

    Examples:
        >>> parse_row({"type": "limit", "team_id": "t1",
        ...     "spend_limit_tokens": "500"}).unwrap().spend_limit_tokens
        500
        >>> print(parse_row({"type": "limit", "team": "t1"}).unwrap_err())
        unknown_column: A limit row has no column 'team'; did you mean
        'team_id'? Rename or remove the column.
    """
    row_type = _TYPE_BY_TAG.get(columns.get(TYPE_COLUMN))
    if row_type is None:
        found = columns.get(TYPE_COLUMN)
        return result.Err(UnknownRowType(detail=f"The row type is {found!r}."))
    known_columns = [field.name for field in msgspec.structs.fields(row_type)]
    values = {
        name: value
        for name, value in columns.items()
        if name != TYPE_COLUMN and value != ""
    }
    for name in values:
        if name not in known_columns:
            return result.Err(
                _unknown_column(columns[TYPE_COLUMN], name, known_columns)
            )
    try:
        return result.Ok(msgspec.convert(values, row_type, strict=False))
    except msgspec.ValidationError as error:
        return result.Err(BadValue(detail=f"{error}."))


def _unknown_column(
    row_type: object, name: str, known_columns: list[str]
) -> UnknownColumn:
    similar = difflib.get_close_matches(name, known_columns, n=1)
    hint = (
        f"did you mean {similar[0]!r}?"
        if similar
        else f"it has {known_columns}."
    )
    return UnknownColumn(
        detail=f"A {row_type} row has no column {name!r}; {hint}"
    )
