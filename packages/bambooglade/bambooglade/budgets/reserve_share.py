"""Share of a budget to keep in the zones, from the operators' table."""

from __future__ import annotations

from bambooglade.core import identifiers
from bambooglade.table import rows
from bambooglade.table import view

DEFAULT_SHARE = 0.75
"""Share for an account whose team has no row."""


def reserve_share(
    table: view.TableView, budget_id: identifiers.BudgetId
) -> float:
    """Returns the share of the team that owns an account.

    The account of a spend limit has the share of the limit's team.

    Examples:
        >>> table = view.FixedTable([rows.TeamRow(
        ...     team_id="t1", key_hash="x", cutoff_reserve_share=0.2)])
        >>> reserve_share(table, identifiers.BudgetId("team/t1"))
        0.2
    """
    row = table.get(budget_id)
    if isinstance(row, rows.LimitRow):
        row = table.get(f"team/{row.team_id}")
    if isinstance(row, rows.TeamRow):
        return row.cutoff_reserve_share
    return DEFAULT_SHARE
