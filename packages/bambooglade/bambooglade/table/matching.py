"""Matching of requests to the rows that apply and the accounts they draw on.

See Also:
    bambooglade.table.checks: rejects rows that could never match.
"""

from __future__ import annotations

from collections.abc import Iterator
import itertools
from typing import ClassVar

import msgspec
import result

from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.table import rows
from bambooglade.table import view

TEAM_PREFIX = "team"


class UnknownTeam(failures.NotFound, frozen=True, kw_only=True):
    """The table has no row for this team."""

    kind: ClassVar[str] = "unknown_team"
    remedy: ClassVar[str] = "Ask the operators to create the team."


class TeamDisabled(failures.Failure, frozen=True, kw_only=True):
    """The team is disabled by its row."""

    kind: ClassVar[str] = "team_disabled"
    http_status: ClassVar[int] = 403
    remedy: ClassVar[str] = "Ask the operators to enable the team."


class UnknownService(failures.NotFound, frozen=True, kw_only=True):
    """The table has no row for this service."""

    kind: ClassVar[str] = "unknown_service"
    remedy: ClassVar[str] = "Check the name of the service; see `rows list`."


class UnknownKind(failures.NotFound, frozen=True, kw_only=True):
    """The service has no request kind that matches."""

    kind: ClassVar[str] = "unknown_kind"
    remedy: ClassVar[str] = (
        "Check the method and path, or ask the operators to add a row for this "
        "kind."
    )


class Match(msgspec.Struct, frozen=True, kw_only=True):
    """The rows that apply to a request.

    Attributes:
        team: Row of the team.
        service: Row of the service.
        kind: Row of the request kind.
        limits: Limits that apply, the most specific first.
        budget_ids: Sorted accounts to draw on: the account of the team, and
            one for each limit row with a spend limit.
    """

    team: rows.TeamRow
    service: rows.ServiceRow
    kind: rows.KindRow
    limits: tuple[rows.LimitRow, ...]
    budget_ids: tuple[identifiers.BudgetId, ...]

    @property
    def row_keys(self) -> tuple[str, ...]:
        """Keys of all rows that apply, for explanations of a decision."""
        matched_rows = (self.team, self.service, self.kind, *self.limits)
        return tuple(row.row_key for row in matched_rows)


def match_request(
    table: view.TableView,
    *,
    team_id: str,
    service: str,
    method: str = "POST",
    path: str = "/",
    request_kind: str | None = None,
) -> result.Result[Match, failures.Failure]:
    """Finds the rows that apply to a request.

    Args:
        table: Rows in force.
        team_id: Id of the authenticated team.
        service: Name of the called service.
        method: HTTP method.
        path: Path within the service, with a leading slash.
        request_kind: Name of the request kind; by default it follows from
            method and path.

    Examples:
        >>> table = view.FixedTable([
        ...     rows.TeamRow(team_id="t1", key_hash="x"),
        ...     rows.ServiceRow(service="till", form=rows.ServiceForm.PLAIN),
        ...     rows.KindRow(service="till", request_kind="status",
        ...         path_prefix="/status"),
        ...     rows.LimitRow(team_id="t1", spend_limit_tokens=50)])
        >>> matched = match_request(table, team_id="t1", service="till",
        ...     method="GET", path="/status/7").unwrap()
        >>> matched.kind.request_kind, matched.budget_ids
        ('status', ('limit/t1/*/*', 'team/t1'))
    """
    team = table.get(f"{TEAM_PREFIX}/{team_id}")
    if not isinstance(team, rows.TeamRow):
        return _err(UnknownTeam, f"The table has no team {team_id!r}.")
    if not team.enabled:
        return _err(TeamDisabled, f"Team {team_id!r} is disabled.")
    service_row = table.get(f"service/{service}")
    if not isinstance(service_row, rows.ServiceRow):
        return _err(UnknownService, f"The table has no service {service!r}.")
    kind = _matching_kind(table, service, method, path, request_kind)
    if kind is None:
        requested = request_kind or f"{method} {path}"
        return _err(
            UnknownKind, f"Service {service!r} has no kind {requested!r}."
        )
    return result.Ok(_match(table, team, service_row, kind))


def applicable_limits(
    table: view.TableView, *, team_id: str, service: str, request_kind: str
) -> Iterator[rows.LimitRow]:
    """Yields the limits that apply to a request, the most specific first."""
    alternatives = (
        (each, rows.ANY) for each in (team_id, service, request_kind)
    )
    for team, service_, kind in itertools.product(*alternatives):
        row = table.get(f"limit/{team}/{service_}/{kind}")
        if isinstance(row, rows.LimitRow):
            yield row


def matches_path(prefix: str, path: str) -> bool:
    """Returns whether a path starts with a prefix, by whole segments.

    Examples:
        >>> matches_path("/status", "/status/7"), matches_path("/status", "/st")
        (True, False)
        >>> matches_path("/status", "/statuses")
        False
    """
    base = prefix.rstrip("/")
    return path == base or path.startswith(f"{base}/") or not base


def _matching_kind(
    table: view.TableView,
    service: str,
    method: str,
    path: str,
    request_kind: str | None,
) -> rows.KindRow | None:
    if request_kind is not None:
        row = table.get(f"kind/{service}/{request_kind}")
        return row if isinstance(row, rows.KindRow) else None
    path_without_query = path.partition("?")[0]
    candidates = (
        row
        for row in table.of_type(rows.KindRow)
        if row.service == service
        and row.method in (method, rows.ANY)
        and matches_path(row.path_prefix, path_without_query)
    )
    return max(candidates, key=_specificity, default=None)


def _specificity(row: rows.KindRow) -> tuple[int, bool]:
    return (len(row.path_prefix.rstrip("/")), row.method != rows.ANY)


def _match(
    table: view.TableView,
    team: rows.TeamRow,
    service: rows.ServiceRow,
    kind: rows.KindRow,
) -> Match:
    limits = tuple(
        applicable_limits(
            table,
            team_id=team.team_id,
            service=service.service,
            request_kind=kind.request_kind,
        )
    )
    account_keys = [team.row_key]
    account_keys.extend(
        limit.row_key
        for limit in limits
        if limit.spend_limit_tokens is not None
    )
    return Match(
        team=team,
        service=service,
        kind=kind,
        limits=limits,
        budget_ids=tuple(map(identifiers.BudgetId, sorted(account_keys))),
    )


def _err(
    failure: type[failures.Failure], detail: str
) -> result.Err[failures.Failure]:
    return result.Err(failure(detail=detail))
