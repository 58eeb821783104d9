"""Writes the hashes of new keys, and verifies that they are in force."""

from __future__ import annotations

import msgspec
import result

from bambooglade.router import operator_messages as messages
from bambooglade.table import credentials
from bambooglade.table import rows
from bambooglade_ctl import client
from bambooglade_ctl import editing
from bambooglade_ctl import outcomes


class IssuedKey(msgspec.Struct, frozen=True, kw_only=True):
    """A new key of a team or an operator, which is shown only once.

    Attributes:
        prepaid_tokens: Prepaid tokens after the first top-up; None without one.
    """

    row_key: str
    key: str
    edit_id: str
    prepaid_tokens: int | None = None

    def __repr__(self) -> str:
        return f"IssuedKey(row_key={self.row_key!r})"


def write_key(
    operator_client: client.OperatorClient,
    row: rows.TeamRow | rows.OperatorRow,
    new_key: credentials.NewKey,
    *,
    version: int,
    edit_id: str,
) -> result.Result[IssuedKey, outcomes.CommandFailure]:
    """Writes the row, and verifies that it holds the hash of this key.

    A repeated edit id is accepted without writing, so the key in force may be
    that of the first edit, which can't be shown again.
    """
    written = editing.write_row(
        operator_client,
        row_key=row.row_key,
        row=row,
        expected_version=version,
        edit_id=edit_id,
    )
    if isinstance(written, result.Err):
        return written
    current_row = editing.find_row(operator_client, row.row_key)
    if current_row.is_ok() and _has_other_key(
        current_row.ok_value, written, new_key
    ):
        return result.Err(
            outcomes.CommandFailure(
                exit_code=outcomes.ExitCode.CONFLICT,
                kind="key_not_in_force",
                detail=f"{row.row_key} holds the hash of another key.",
                remedy="Rotate the key to get a new one.",
                edit_id=edit_id,
            )
        )
    return result.Ok(
        IssuedKey(row_key=row.row_key, key=new_key.key, edit_id=edit_id)
    )


def _has_other_key(
    current_row: messages.VersionedRow,
    written: result.Ok[messages.EditOutcomes],
    new_key: credentials.NewKey,
) -> bool:
    includes_write = current_row.version >= written.ok_value.outcomes[0].version
    return includes_write and current_row.row.key_hash != new_key.key_hash
