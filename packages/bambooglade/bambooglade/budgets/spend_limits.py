"""Spend limits of the operators' table as accounts of the document."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from bambooglade.core import identifiers
from bambooglade.shards import document as documents
from bambooglade.table import rows
from bambooglade.table import view


def account_with_limit(
    table: view.TableView,
    budget_id: identifiers.BudgetId,
    account_by_budget_id: Mapping[identifiers.BudgetId, documents.Account],
) -> documents.Account | None:
    """Returns the account with the spend limit of its row applied.

    A limit is not lowered below the rights already granted to the zones.

    Returns:
        The account; unchanged if it has no row with a limit, and None if it
        has neither a row nor a top-up.

    Examples:
        >>> table = view.FixedTable([rows.LimitRow(
        ...     team_id="t1", spend_limit_tokens=80)])
        >>> account_with_limit(table, identifiers.BudgetId("limit/t1/*/*"),
        ...     {}).prepaid_tokens
        80
    """
    account = account_by_budget_id.get(budget_id)
    row = table.get(budget_id)
    if not isinstance(row, rows.LimitRow) or row.spend_limit_tokens is None:
        return account
    account = account or documents.Account()
    granted = account.prepaid_tokens - account.free_tokens
    return msgspec.structs.replace(
        account, prepaid_tokens=max(row.spend_limit_tokens, granted)
    )
