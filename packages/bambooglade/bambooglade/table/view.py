"""Read access to the rows in force at this instance."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Protocol
from typing import TypeVar

from bambooglade.table import rows

RowType = TypeVar("RowType", bound=rows.RowBase)


class TableView(Protocol):
    """Rows in force; they change whenever a newer page is installed."""

    def get(self, row_key: str) -> rows.Row | None:
        """Returns the row with this key, or None."""
        ...

    def of_type(self, row_type: type[RowType]) -> Iterator[RowType]:
        """Yields the rows of one type, sorted by key."""
        ...


class FixedTable:
    """An immutable table, for tests.

    Examples:
        >>> table = FixedTable([rows.TeamRow(team_id="t1", key_hash="x")])
        >>> table.get("team/t1").team_id
        't1'
    """

    __slots__ = ("_by_row_key",)

    def __init__(self, table_rows: Iterable[rows.Row]) -> None:
        self._by_row_key = {row.row_key: row for row in table_rows}

    def get(self, row_key: str) -> rows.Row | None:
        """Returns the row with this key, or None."""
        return self._by_row_key.get(row_key)

    def of_type(self, row_type: type[RowType]) -> Iterator[RowType]:
        """Yields the rows of one type, sorted by key."""
        return (
            row
            for _, row in sorted(self._by_row_key.items())
            if isinstance(row, row_type)
        )

    def __repr__(self) -> str:
        return f"FixedTable(rows={len(self._by_row_key)})"
