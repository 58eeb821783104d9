"""Commands on operators."""

from __future__ import annotations

import result

from bambooglade.router import operator_messages as messages
from bambooglade.table import credentials
from bambooglade.table import rows
from bambooglade_ctl import client
from bambooglade_ctl import deferred
from bambooglade_ctl import keys
from bambooglade_ctl import outcomes
from bambooglade_ctl.commands import group


class Operators(group.Group):
    """Give operators their keys."""

    def create(
        self,
        operator: str,
        *,
        role: str = "viewer",
        version: str | None = None,
        edit_id: str = "",
    ) -> deferred.Deferred:
        """Creates an operator and prints the key, this once.

        Example: bamboogladectl operators create ana --role editor

        Args:
            operator: Name of the operator.
            role: `viewer`, `editor` or `admin`.
            version: Version of the operator's row, to give an operator that
                exists a new key.
            edit_id: Id of a creation whose answer was lost.
        """
        edit_id = edit_id or group.new_edit_id()
        return self._defer(
            lambda ctl: group.optional(version, name="--version").and_then(
                lambda seen: _create(
                    ctl, operator, role, version=seen or 0, edit_id=edit_id
                )
            )
        )


def _create(
    ctl: client.OperatorClient,
    operator: str,
    role: str,
    *,
    version: int,
    edit_id: str,
) -> deferred.Outcome:
    if role not in list(messages.Role):
        return result.Err(
            outcomes.refused(
                f"{role!r} is no role.",
                remedy=f"Use one of: {', '.join(messages.Role)}.",
            )
        )
    made = credentials.new_key(operator)
    row = rows.OperatorRow(operator=operator, key_hash=made.key_hash, role=role)
    return keys.write_key(ctl, row, made, version=version, edit_id=edit_id)
