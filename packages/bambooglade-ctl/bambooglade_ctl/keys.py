"""Writes the hashes of new keys, and makes sure that they are in force."""

from __future__ import annotations

import msgspec
import result

from bambooglade.router import operator_messages as messages
from bambooglade.table import credentials
from bambooglade.table import rows
from bambooglade_ctl import client
from bambooglade_ctl import editing
from bambooglade_ctl import outcomes


class ShownKey(msgspec.Struct, frozen=True, kw_only=True):
    """A new key of a team or an operator; it is shown this once.

    Attributes:
        prepaid_tokens: Prepaid amount after a first top-up; None without.
    """

    row_key: str
    key: str
    edit_id: str
    prepaid_tokens: int | None = None

    def __repr__(self) -> str:
        return f"ShownKey(row_key={self.row_key!r})"


def write_key(
    ctl: client.OperatorClient,
    row: rows.TeamRow | rows.OperatorRow,
    made: credentials.NewKey,
    *,
    version: int,
    edit_id: str,
) -> result.Result[ShownKey, outcomes.CommandFailed]:
    """Writes the row, and makes sure that it holds the hash of this key.

    An edit that was made before under the same id counts as accepted, but the
    key in force is then the one of that time.
    """
    written = editing.write(
        ctl,
        row_key=row.row_key,
        row=row,
        expected_version=version,
        edit_id=edit_id,
    )
    if isinstance(written, result.Err):
        return written
    in_force = editing.find(ctl, row.row_key)
    if in_force.is_ok() and _has_other_key(in_force.ok_value, written, made):
        return result.Err(
            outcomes.CommandFailed(
                exit_code=outcomes.ExitCode.CONFLICT,
                kind="key_not_in_force",
                detail=f"{row.row_key} was written before, with another key.",
                remedy="Rotate the key to get one that is shown.",
                edit_id=edit_id,
            )
        )
    return result.Ok(
        ShownKey(row_key=row.row_key, key=made.key, edit_id=edit_id)
    )


def _has_other_key(
    in_force: messages.VersionedRow,
    written: result.Ok[messages.EditOutcomes],
    made: credentials.NewKey,
) -> bool:
    is_seen = in_force.version >= written.ok_value.outcomes[0].version
    return is_seen and in_force.row.key_hash != made.key_hash
