"""Validation of edited rows against the other rows in force.

See Also:
    bambooglade.table.columns: validates the columns of a row.
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

MIN_WARM_UP_PER_S = 0.2
"""Lowest limit of a target that has just started; one request in 5 s."""

MAX_WARM_UP_PER_S = 100_000
MAX_WARM_UP_MS = 3_600_000
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]*")
ROLES = ("viewer", "editor", "admin")

GrantedTokensLookup = Callable[[identifiers.BudgetId], int]
"""Returns the number of tokens of an account that are granted or spent."""


class BadName(failures.BadRequest, frozen=True, kw_only=True):
    """A name contains characters that are not allowed in row keys."""

    kind: ClassVar[str] = "bad_name"
    remedy: ClassVar[str] = (
        "Use letters, digits, dots, colons, hyphens and underscores."
    )


class OutOfRange(failures.BadRequest, frozen=True, kw_only=True):
    """A value is outside the range that its column allows."""

    kind: ClassVar[str] = "out_of_range"
    remedy: ClassVar[str] = "Set a value within the allowed range."


class UnknownReference(failures.BadRequest, frozen=True, kw_only=True):
    """The row refers to another row that does not exist."""

    kind: ClassVar[str] = "unknown_reference"
    remedy: ClassVar[str] = "Create that row first, or correct the name."


class NoWeightLeft(failures.BadRequest, frozen=True, kw_only=True):
    """The weights of all rows of a group would be 0."""

    kind: ClassVar[str] = "no_weight_left"
    remedy: ClassVar[str] = (
        "Set the weight of another row of the group above 0 first; to stop "
        "all traffic, delete the rows instead."
    )


class Shadowed(failures.BadRequest, frozen=True, kw_only=True):
    """The row and another one match the same requests or have the same URL."""

    kind: ClassVar[str] = "shadowed"
    remedy: ClassVar[str] = "Change or delete one of the two rows."


class LimitBelowGranted(failures.BadRequest, frozen=True, kw_only=True):
    """The spend limit is below the number of tokens already granted."""

    kind: ClassVar[str] = "limit_below_granted"
    remedy: ClassVar[str] = (
        "Set the limit to at least the granted amount, or wait until the "
        "availability zones have returned rights; see `budgets show`."
    )


class RowInvalid(failures.BadRequest, frozen=True, kw_only=True):
    """Several checks failed."""

    kind: ClassVar[str] = "row_invalid"
    remedy: ClassVar[str] = "Correct each of these problems."

    problems: tuple[str, ...] = ()


class Checker:
    """Validates rows against those in force.

    Args:
        table: Rows in force.
        granted_tokens: Returns the number of tokens of an account that are
            granted or spent.

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
        """Validates a row that is to be written.

        Args:
            row: The row.
            batch: Rows written by the same edit, which the row may refer to.

        Returns:
            A failure that describes all problems of the row, if there are any.
        """
        edited_table = _EditedTable(self._table, [*batch, row])
        failures_found = [
            *_problems(row, edited_table),
            *self._limit_problems(row),
        ]
        if not failures_found:
            return result.Ok(None)
        if len(failures_found) == 1:
            return result.Err(failures_found[0])
        problems = tuple(map(str, failures_found))
        return result.Err(
            RowInvalid(detail=" ".join(problems), problems=problems)
        )

    def _limit_problems(self, row: rows.Row) -> Iterator[failures.Failure]:
        is_limit = isinstance(row, rows.LimitRow)
        if not is_limit or row.spend_limit_tokens is None:
            return
        granted = self._granted_tokens(identifiers.BudgetId(row.row_key))
        if 0 <= row.spend_limit_tokens < granted:
            yield LimitBelowGranted(
                detail=f"The limit {row.row_key} would be "
                f"{row.spend_limit_tokens} tokens, but {granted} tokens are "
                "already granted."
            )

    def __repr__(self) -> str:
        return f"Checker({self._table!r})"


class _EditedTable:
    """The table as it will be after an edit."""

    __slots__ = ("_by_row_key", "_table")

    def __init__(
        self, table: view.TableView, edited: Iterable[rows.Row]
    ) -> None:
        self._table = table
        self._by_row_key = {row.row_key: row for row in edited}

    def get(self, row_key: str) -> rows.Row | None:
        """Returns a row as it will be after the edit, or None."""
        return self._by_row_key.get(row_key) or self._table.get(row_key)

    def of_type(self, row_type: type[view.RowType]) -> Iterator[view.RowType]:
        """Yields the rows of a type as they will be after the edit."""
        for row in self._table.of_type(row_type):
            if row.row_key not in self._by_row_key:
                yield row
        for row in self._by_row_key.values():
            if isinstance(row, row_type):
                yield row


@functools.singledispatch
def _problems(row: rows.Row, table: _EditedTable) -> Iterator[failures.Failure]:
    raise TypeError(f"{type(row).__name__} is not a row type of the table")


@_problems.register
def _(row: rows.TeamRow, table: _EditedTable) -> Iterator[failures.Failure]:
    yield from _check_name(row, "team_id")
    yield from _check_minimum(row, "weight", 0)
    yield from _check_range(row, "cutoff_reserve_share", 0, 1)
    if not row.weight and not _total_weight(table.of_type(rows.TeamRow)):
        yield NoWeightLeft(detail="All teams would have a weight of 0.")


@_problems.register
def _(row: rows.ServiceRow, table: _EditedTable) -> Iterator[failures.Failure]:
    del table
    yield from _check_name(row, "service")


@_problems.register
def _(row: rows.KindRow, table: _EditedTable) -> Iterator[failures.Failure]:
    yield from _check_name(row, "request_kind")
    yield from _check_reference(row, f"service/{row.service}", table)
    yield from _check_minimum(row, "cost_tokens", 0)
    yield from _check_minimum(row, "max_concurrency", 1)
    if not row.path_prefix.startswith("/"):
        yield OutOfRange(
            detail=f"path_prefix is {row.path_prefix!r}; it has to start "
            "with a slash."
        )
    for other in table.of_type(rows.KindRow):
        if other.row_key != row.row_key and _match_key(other) == _match_key(
            row
        ):
            yield Shadowed(
                detail=f"{row.row_key} and {other.row_key} match the same "
                "requests."
            )


@_problems.register
def _(row: rows.LimitRow, table: _EditedTable) -> Iterator[failures.Failure]:
    yield from _check_minimum(row, "spend_limit_tokens", 0)
    if row.team_id != rows.ANY:
        yield from _check_reference(row, f"team/{row.team_id}", table)
    if row.service != rows.ANY:
        yield from _check_reference(row, f"service/{row.service}", table)
    if row.request_kind == rows.ANY:
        return
    if row.service != rows.ANY:
        kind_key = f"kind/{row.service}/{row.request_kind}"
        yield from _check_reference(row, kind_key, table)
    elif not any(
        kind.request_kind == row.request_kind
        for kind in table.of_type(rows.KindRow)
    ):
        yield UnknownReference(
            detail=f"No service has a request kind {row.request_kind!r}."
        )


@_problems.register
def _(row: rows.TargetRow, table: _EditedTable) -> Iterator[failures.Failure]:
    yield from _check_name(row, "target_id")
    yield from _check_name(row, "availability_zone")
    yield from _check_reference(row, f"service/{row.service}", table)
    yield from _check_minimum(row, "weight", 0)
    if not row.url.startswith(("http://", "https://")):
        yield OutOfRange(
            detail=f"url is {row.url!r}; it has to be an HTTP URL."
        )
    same_service = [
        other
        for other in table.of_type(rows.TargetRow)
        if other.service == row.service
    ]
    if not row.weight and not _total_weight(same_service):
        yield NoWeightLeft(
            detail=f"All targets of {row.service!r} would have a weight of 0."
        )
    for other in same_service:
        if other.row_key != row.row_key and other.url == row.url:
            yield Shadowed(
                detail=f"{row.row_key} and {other.row_key} have the same URL."
            )


@_problems.register
def _(row: rows.ZoneRow, table: _EditedTable) -> Iterator[failures.Failure]:
    yield from _check_name(row, "availability_zone")
    # A misspelled name would exclude nothing while the operator relies on it.
    # A zone whose targets were deleted can still be made active again.
    if row.state is rows.RoutingState.EXCLUDED and not any(
        target.availability_zone == row.availability_zone
        for target in table.of_type(rows.TargetRow)
    ):
        yield UnknownReference(
            detail=f"No target runs in the zone {row.availability_zone!r}."
        )


@_problems.register
def _(row: rows.WarmUpRow, table: _EditedTable) -> Iterator[failures.Failure]:
    yield from _check_reference(row, f"service/{row.service}", table)
    yield from _check_range(
        row, "max_requests_per_s", MIN_WARM_UP_PER_S, MAX_WARM_UP_PER_S
    )
    yield from _check_range(row, "duration_ms", 1, MAX_WARM_UP_MS)


@_problems.register
def _(
    row: rows.ObjectiveRow, table: _EditedTable
) -> Iterator[failures.Failure]:
    yield from _check_reference(row, f"service/{row.service}", table)
    if row.request_kind != rows.ANY:
        kind_key = f"kind/{row.service}/{row.request_kind}"
        yield from _check_reference(row, kind_key, table)
    yield from _check_minimum(row, "threshold_ms", 1)
    yield from _check_minimum(row, "window_days", 1)
    if not 0 < row.share < 1:
        yield OutOfRange(
            detail=f"share is {row.share}; it has to be greater than 0 and "
            "less than 1."
        )


@_problems.register
def _(row: rows.OperatorRow, table: _EditedTable) -> Iterator[failures.Failure]:
    del table
    yield from _check_name(row, "operator")
    if row.role not in ROLES:
        yield OutOfRange(
            detail=f"role is {row.role!r}; it has to be one of "
            f"{', '.join(ROLES)}."
        )


@_problems.register
def _(row: rows.OrderRow, table: _EditedTable) -> Iterator[failures.Failure]:
    yield from _check_reference(row, f"target/{row.target_id}", table)


def _check_name(row: rows.Row, column: str) -> Iterator[failures.Failure]:
    name = getattr(row, column)
    if not _NAME.fullmatch(name):
        yield BadName(detail=f"{column} is {name!r}.")


def _check_minimum(
    row: rows.Row, column: str, minimum: int
) -> Iterator[failures.Failure]:
    yield from _check_range(row, column, minimum, math.inf)


def _check_range(
    row: rows.Row, column: str, minimum: float, maximum: float
) -> Iterator[failures.Failure]:
    number = getattr(row, column)
    if number is None or (
        math.isfinite(number) and minimum <= number <= maximum
    ):
        return
    allowed = (
        f"{minimum} or more"
        if maximum == math.inf
        else f"{minimum} to {maximum}"
    )
    yield OutOfRange(
        detail=f"{column} of {row.row_key} is {number}; it has to be {allowed}."
    )


def _check_reference(
    row: rows.Row, row_key: str, table: _EditedTable
) -> Iterator[failures.Failure]:
    if table.get(row_key) is None:
        yield UnknownReference(
            detail=f"{row.row_key} refers to {row_key}, which does not exist."
        )


def _total_weight(weighted: Iterable[rows.TeamRow | rows.TargetRow]) -> float:
    return sum(row.weight for row in weighted)


def _match_key(kind: rows.KindRow) -> tuple[str, str, str]:
    return (kind.service, kind.path_prefix.rstrip("/"), kind.method)
