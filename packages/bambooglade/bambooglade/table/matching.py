"""Which rows of the table apply to a request, and which accounts it draws on.

See Also:
    bambooglade.table.checks: refuses rows that could never match.
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
    """No row of this team is in force."""

    kind: ClassVar[str] = "unknown_team"
    remedy: ClassVar[str] = "Ask the operators to create the team."


class TeamDisabled(failures.Failure, frozen=True, kw_only=True):
    """The team's row says that it is disabled."""

    kind: ClassVar[str] = "team_disabled"
    http_status: ClassVar[int] = 403
    remedy: ClassVar[str] = "Ask the operators to enable the team."


class UnknownService(failures.NotFound, frozen=True, kw_only=True):
    """No row of this service is in force."""

    kind: ClassVar[str] = "unknown_service"
    remedy: ClassVar[str] = "Check the service's name; see `rows list`."


class UnknownKind(failures.NotFound, frozen=True, kw_only=True):
    """No kind of request of the service matches."""

    kind: ClassVar[str] = "unknown_kind"
    remedy: ClassVar[str] = (
        "Check method and path, or ask the operators for a row of this kind."
    )


class Match(msgspec.Struct, frozen=True, kw_only=True):
    """The rows that apply to a request.

    Attributes:
        team: The team's row.
        service: The service's row.
        kind: The row of the kind of request.
        limits: The limits that apply, the most specific first.
        budget_ids: Accounts to draw on, sorted; the team's own and one for
            each limit with a spend limit.
    """

    team: rows.TeamRow
    service: rows.ServiceRow
    kind: rows.KindRow
    limits: tuple[rows.LimitRow, ...]
    budget_ids: tuple[identifiers.BudgetId, ...]

    @property
    def row_keys(self) -> tuple[str, ...]:
        """Keys of all rows that applied, for explanations."""
        applied = (self.team, self.service, self.kind, *self.limits)
        return tuple(row.row_key for row in applied)


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
        table: The rows in force.
        team_id: The authenticated team.
        service: The service that is called.
        method: HTTP method.
        path: Path below the service, with a leading slash.
        request_kind: Names the kind; by default method and path decide.

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
        return _err(UnknownTeam, f"There is no team {team_id!r}.")
    if not team.enabled:
        return _err(TeamDisabled, f"Team {team_id!r} is disabled.")
    found = table.get(f"service/{service}")
    if not isinstance(found, rows.ServiceRow):
        return _err(UnknownService, f"There is no service {service!r}.")
    kind = _kind(table, service, method, path, request_kind)
    if kind is None:
        asked = request_kind or f"{method} {path}"
        return _err(UnknownKind, f"Service {service!r} has no kind {asked!r}.")
    return result.Ok(_match(table, team, found, kind))


def applicable_limits(
    table: view.TableView, *, team_id: str, service: str, request_kind: str
) -> Iterator[rows.LimitRow]:
    """Yields the limits that apply, the most specific first."""
    choices = ((each, rows.ANY) for each in (team_id, service, request_kind))
    for team, service_, kind in itertools.product(*choices):
        row = table.get(f"limit/{team}/{service_}/{kind}")
        if isinstance(row, rows.LimitRow):
            yield row


def matches_path(prefix: str, path: str) -> bool:
    """Returns whether a path lies below a prefix, by whole segments.

    Examples:
        >>> matches_path("/status", "/status/7"), matches_path("/status", "/st")
        (True, False)
        >>> matches_path("/status", "/statuses")
        False
    """
    bare = prefix.rstrip("/")
    return path == bare or path.startswith(f"{bare}/") or not bare


def _kind(
    table: view.TableView,
    service: str,
    method: str,
    path: str,
    request_kind: str | None,
) -> rows.KindRow | None:
    if request_kind is not None:
        row = table.get(f"kind/{service}/{request_kind}")
        return row if isinstance(row, rows.KindRow) else None
    bare_path = path.partition("?")[0]
    candidates = (
        row
        for row in table.of_type(rows.KindRow)
        if row.service == service
        and row.method in (method, rows.ANY)
        and matches_path(row.path_prefix, bare_path)
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
    accounts = [team.row_key]
    accounts.extend(
        limit.row_key
        for limit in limits
        if limit.spend_limit_tokens is not None
    )
    return Match(
        team=team,
        service=service,
        kind=kind,
        limits=limits,
        budget_ids=tuple(map(identifiers.BudgetId, sorted(accounts))),
    )


def _err(
    failure: type[failures.Failure], detail: str
) -> result.Err[failures.Failure]:
    return result.Err(failure(detail=detail))
