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
    """Create operators and replace their keys."""

    def create(
        self,
        operator: str,
        *,
        role: str = "viewer",
        version: str | None = None,
        edit_id: str = "",
    ) -> deferred.Deferred:
        """Creates an operator and prints the key, which is shown only once.

        Example: bamboogladectl operators create ana --role editor

        Args:
            operator: Name of the operator.
            role: `viewer`, `editor` or `admin`.
            version: Current version of the operator's row, to replace the key
                of an existing operator.
            edit_id: Id of a creation whose response was lost.
        """
        edit_id = edit_id or group.new_edit_id()
        return self._defer(
            lambda operator_client: group.parse_optional_positive(
                version, name="--version"
            ).and_then(
                lambda seen_version: _create(
                    operator_client,
                    operator,
                    role,
                    version=seen_version or 0,
                    edit_id=edit_id,
                )
            )
        )


def _create(
    operator_client: client.OperatorClient,
    operator: str,
    role: str,
    *,
    version: int,
    edit_id: str,
) -> deferred.CommandResult:
    if role not in list(messages.Role):
        return result.Err(
            outcomes.refused(
                f"{role!r} is not a role.",
                remedy=f"Use one of: {', '.join(messages.Role)}.",
            )
        )
    new_key = credentials.new_key(operator)
    row = rows.OperatorRow(
        operator=operator, key_hash=new_key.key_hash, role=role
    )
    return keys.write_key(
        operator_client, row, new_key, version=version, edit_id=edit_id
    )
