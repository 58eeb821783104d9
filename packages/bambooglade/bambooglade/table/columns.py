"""Reads rows from columns, as spreadsheets and TOML files have them."""

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
    """The `type` column is missing or names no type of row."""

    kind: ClassVar[str] = "unknown_row_type"
    remedy: ClassVar[str] = (
        f"Use one of {', '.join(sorted(_TYPE_BY_TAG))} as type."
    )


class UnknownColumn(failures.BadRequest, frozen=True, kw_only=True):
    """A column does not belong to this type of row."""

    kind: ClassVar[str] = "unknown_column"
    remedy: ClassVar[str] = "Rename or remove the column."


class BadValue(failures.BadRequest, frozen=True, kw_only=True):
    """A column has a value of the wrong form, or is missing."""

    kind: ClassVar[str] = "bad_value"
    remedy: ClassVar[str] = "Correct the value of the named column."


def parse_row(
    columns: Mapping[str, object],
) -> result.Result[rows.Row, failures.Failure]:
    """Returns the row that the columns make up.

    Texts are read as numbers or truth values where the column has these;
    an empty text means the default.

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
        return result.Err(UnknownRowType(detail=f"The type is {found!r}."))
    known = [field.name for field in msgspec.structs.fields(row_type)]
    given = {
        name: value
        for name, value in columns.items()
        if name != TYPE_COLUMN and value != ""
    }
    for name in given:
        if name not in known:
            return result.Err(
                _unknown_column(columns[TYPE_COLUMN], name, known)
            )
    try:
        return result.Ok(msgspec.convert(given, row_type, strict=False))
    except msgspec.ValidationError as error:
        return result.Err(BadValue(detail=f"{error}."))


def _unknown_column(
    row_type: object, name: str, known: list[str]
) -> UnknownColumn:
    similar = difflib.get_close_matches(name, known, n=1)
    hint = f"did you mean {similar[0]!r}?" if similar else f"it has {known}."
    return UnknownColumn(
        detail=f"A {row_type} row has no column {name!r}; {hint}"
    )
