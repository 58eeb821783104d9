"""Checks on a row when it is edited, against the other rows in force.

See Also:
    bambooglade.table.columns: checks on the columns of a row.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import functools
import math
import re
from typing import ClassVar

import result

from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.table import rows
from bambooglade.table import view

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]*")
ROLES = ("viewer", "editor", "admin")

GrantedTokensLookup = Callable[[identifiers.BudgetId], int]
"""Returns how many tokens of an account are granted out or spent."""


class BadName(failures.BadRequest, frozen=True, kw_only=True):
    """A name has characters that keys can't have."""

    kind: ClassVar[str] = "bad_name"
    remedy: ClassVar[str] = (
        "Use letters, digits, dots, colons, hyphens and underscores."
    )


class OutOfRange(failures.BadRequest, frozen=True, kw_only=True):
    """A number is negative or beyond what its column allows."""

    kind: ClassVar[str] = "out_of_range"
    remedy: ClassVar[str] = "Give a number within the range."


class UnknownReference(failures.BadRequest, frozen=True, kw_only=True):
    """The row names another row that does not exist."""

    kind: ClassVar[str] = "unknown_reference"
    remedy: ClassVar[str] = "Create that row first, or correct the name."


class NoWeightLeft(failures.BadRequest, frozen=True, kw_only=True):
    """The weights that share traffic would sum to nothing."""

    kind: ClassVar[str] = "no_weight_left"
    remedy: ClassVar[str] = (
        "Give another row of the group a weight above 0 first; to stop all "
        "traffic, delete the rows instead."
    )


class Shadowed(failures.BadRequest, frozen=True, kw_only=True):
    """Of this row and another, only one would ever be used."""

    kind: ClassVar[str] = "shadowed"
    remedy: ClassVar[str] = "Change or delete one of the two rows."


class LimitBelowGranted(failures.BadRequest, frozen=True, kw_only=True):
    """The limit is below what is granted out already."""

    kind: ClassVar[str] = "limit_below_granted"
    remedy: ClassVar[str] = (
        "Set the limit to the granted amount or more, or wait until the "
        "zones have returned rights; see `budgets show`."
    )


class RowInvalid(failures.BadRequest, frozen=True, kw_only=True):
    """Several checks failed."""

    kind: ClassVar[str] = "row_invalid"
    remedy: ClassVar[str] = "Correct each of them."

    problems: tuple[str, ...] = ()


class Checker:
    """Checks rows against those in force.

    Args:
        table: The rows in force.
        granted_tokens: Looks up what is granted out of an account.

    Examples:
        >>> checker = Checker(view.FixedTable([]), granted_tokens=lambda _: 0)
        >>> bad = rows.LimitRow(spend_limit_tokens=-1)
        >>> checker.check(bad).unwrap_err().kind
        'out_of_range'
    """

    __slots__ = ("_granted_tokens", "_table")

    def __init__(
        self, table: view.TableView, *, granted_tokens: GrantedTokensLookup
    ) -> None:
        self._table = table
        self._granted_tokens = granted_tokens

    def check(
        self, row: rows.Row, batch: Iterable[rows.Row] = ()
    ) -> result.Result[None, failures.Failure]:
        """Checks a row that is to be written.

        Args:
            row: The row.
            batch: Rows that are written by the same edit; the row may refer
                to these too.
        """
        after = _EditedTable(self._table, [*batch, row])
        found = [*_problems(row, after), *self._limit_problems(row)]
        if not found:
            return result.Ok(None)
        if len(found) == 1:
            return result.Err(found[0])
        problems = tuple(map(str, found))
        return result.Err(
            RowInvalid(detail=" ".join(problems), problems=problems)
        )

    def _limit_problems(self, row: rows.Row) -> Iterator[failures.Failure]:
        limited = isinstance(row, rows.LimitRow)
        if not limited or row.spend_limit_tokens is None:
            return
        granted = self._granted_tokens(identifiers.BudgetId(row.row_key))
        if 0 <= row.spend_limit_tokens < granted:
            yield LimitBelowGranted(
                detail=f"{row.row_key} would be {row.spend_limit_tokens}, but "
                f"{granted} tokens are granted out."
            )

    def __repr__(self) -> str:
        return f"Checker({self._table!r})"


class _EditedTable:
    """The table as it would be after the edit."""

    __slots__ = ("_by_row_key", "_table")

    def __init__(
        self, table: view.TableView, edited: Iterable[rows.Row]
    ) -> None:
        self._table = table
        self._by_row_key = {row.row_key: row for row in edited}

    def get(self, row_key: str) -> rows.Row | None:
        """Returns a row as it would be."""
        return self._by_row_key.get(row_key) or self._table.get(row_key)

    def of_type(self, row_type: type[view.RowType]) -> Iterator[view.RowType]:
        """Yields the rows of a type as they would be."""
        for row in self._table.of_type(row_type):
            if row.row_key not in self._by_row_key:
                yield row
        for row in self._by_row_key.values():
            if isinstance(row, row_type):
                yield row


@functools.singledispatch
def _problems(row: rows.Row, after: _EditedTable) -> Iterator[failures.Failure]:
    raise TypeError(f"{type(row).__name__} is no row of the table")


@_problems.register
def _(row: rows.TeamRow, after: _EditedTable) -> Iterator[failures.Failure]:
    yield from _name(row, "team_id")
    yield from _at_least(row, "weight", 0)
    yield from _between(row, "cutoff_reserve_share", 0, 1)
    if not row.weight and not _sum(after.of_type(rows.TeamRow)):
        yield NoWeightLeft(detail="All teams would have a weight of 0.")


@_problems.register
def _(row: rows.ServiceRow, after: _EditedTable) -> Iterator[failures.Failure]:
    del after
    yield from _name(row, "service")


@_problems.register
def _(row: rows.KindRow, after: _EditedTable) -> Iterator[failures.Failure]:
    yield from _name(row, "request_kind")
    yield from _refers(row, f"service/{row.service}", after)
    yield from _at_least(row, "cost_tokens", 0)
    yield from _at_least(row, "max_concurrency", 1)
    if not row.path_prefix.startswith("/"):
        yield OutOfRange(
            detail=f"path_prefix is {row.path_prefix!r}; it has to start "
            "with a slash."
        )
    for other in after.of_type(rows.KindRow):
        if other.row_key != row.row_key and _matched(other) == _matched(row):
            yield Shadowed(
                detail=f"{row.row_key} and {other.row_key} match the same "
                "requests."
            )


@_problems.register
def _(row: rows.LimitRow, after: _EditedTable) -> Iterator[failures.Failure]:
    yield from _at_least(row, "spend_limit_tokens", 0)
    if row.team_id != rows.ANY:
        yield from _refers(row, f"team/{row.team_id}", after)
    if row.service != rows.ANY:
        yield from _refers(row, f"service/{row.service}", after)
    if row.request_kind == rows.ANY:
        return
    if row.service != rows.ANY:
        kind_key = f"kind/{row.service}/{row.request_kind}"
        yield from _refers(row, kind_key, after)
    elif not any(
        kind.request_kind == row.request_kind
        for kind in after.of_type(rows.KindRow)
    ):
        yield UnknownReference(
            detail=f"No service has a kind {row.request_kind!r}."
        )


@_problems.register
def _(row: rows.TargetRow, after: _EditedTable) -> Iterator[failures.Failure]:
    yield from _name(row, "target_id")
    yield from _name(row, "availability_zone")
    yield from _refers(row, f"service/{row.service}", after)
    yield from _at_least(row, "weight", 0)
    if not row.url.startswith(("http://", "https://")):
        yield OutOfRange(detail=f"url is {row.url!r}, which is no HTTP URL.")
    same_service = [
        other
        for other in after.of_type(rows.TargetRow)
        if other.service == row.service
    ]
    if not row.weight and not _sum(same_service):
        yield NoWeightLeft(
            detail=f"All targets of {row.service!r} would have a weight of 0."
        )
    for other in same_service:
        if other.row_key != row.row_key and other.url == row.url:
            yield Shadowed(
                detail=f"{row.row_key} and {other.row_key} have the same URL."
            )


@_problems.register
def _(
    row: rows.ObjectiveRow, after: _EditedTable
) -> Iterator[failures.Failure]:
    yield from _refers(row, f"service/{row.service}", after)
    if row.request_kind != rows.ANY:
        kind_key = f"kind/{row.service}/{row.request_kind}"
        yield from _refers(row, kind_key, after)
    yield from _at_least(row, "threshold_ms", 1)
    yield from _at_least(row, "window_days", 1)
    if not 0 < row.share < 1:
        yield OutOfRange(
            detail=f"share is {row.share}; it has to lie between 0 and 1, "
            "without these."
        )


@_problems.register
def _(row: rows.OperatorRow, after: _EditedTable) -> Iterator[failures.Failure]:
    del after
    yield from _name(row, "operator")
    if row.role not in ROLES:
        yield OutOfRange(
            detail=f"role is {row.role!r}; it has to be one of "
            f"{', '.join(ROLES)}."
        )


@_problems.register
def _(row: rows.OrderRow, after: _EditedTable) -> Iterator[failures.Failure]:
    yield from _refers(row, f"target/{row.target_id}", after)


def _name(row: rows.Row, column: str) -> Iterator[failures.Failure]:
    name = getattr(row, column)
    if not _NAME.fullmatch(name):
        yield BadName(detail=f"{column} is {name!r}.")


def _at_least(
    row: rows.Row, column: str, least: int
) -> Iterator[failures.Failure]:
    yield from _between(row, column, least, math.inf)


def _between(
    row: rows.Row, column: str, least: int, most: float
) -> Iterator[failures.Failure]:
    number = getattr(row, column)
    if number is None or (math.isfinite(number) and least <= number <= most):
        return
    allowed = f"{least} or more" if most == math.inf else f"{least} to {most}"
    yield OutOfRange(
        detail=f"{column} of {row.row_key} is {number}; it has to be {allowed}."
    )


def _refers(
    row: rows.Row, row_key: str, after: _EditedTable
) -> Iterator[failures.Failure]:
    if after.get(row_key) is None:
        yield UnknownReference(
            detail=f"{row.row_key} refers to {row_key}, which does not exist."
        )


def _sum(weighted: Iterable[rows.TeamRow | rows.TargetRow]) -> float:
    return sum(row.weight for row in weighted)


def _matched(kind: rows.KindRow) -> tuple[str, str, str]:
    return (kind.service, kind.path_prefix.rstrip("/"), kind.method)
