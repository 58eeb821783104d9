"""Commands on teams."""

from __future__ import annotations

import msgspec
import result

from bambooglade.router import operator_messages as messages
from bambooglade.table import credentials
from bambooglade.table import rows
from bambooglade_ctl import client
from bambooglade_ctl import deferred
from bambooglade_ctl import editing
from bambooglade_ctl import keys
from bambooglade_ctl.commands import group


class Teams(group.Group):
    """Create teams and rotate their keys."""

    def create(
        self, team: str, *, tokens: str | None = None, edit_id: str = ""
    ) -> deferred.Deferred:
        """Creates a team and prints its API key, which is shown only once.

        Example: bamboogladectl teams create hall-3 --tokens 50000

        Args:
            team: Name of the team: letters, digits, dots and hyphens.
            tokens: Initial prepaid amount, in tokens.
            edit_id: Id of a creation whose response was lost.
        """
        edit_id = edit_id or group.new_edit_id()
        return self._defer(
            lambda operator_client: group.parse_optional_positive(
                tokens, name="--tokens"
            ).and_then(
                lambda amount: _create(
                    operator_client, team, amount, edit_id=edit_id
                )
            )
        )

    def rotate_key(
        self, team: str, *, end_previous: bool = False, edit_id: str = ""
    ) -> deferred.Deferred:
        """Creates a new key; the previous key stays valid until it is ended.

        Rotate the key, distribute the new one, and then run the command with
        --end-previous, which invalidates the previous key and creates none.

        Example: bamboogladectl teams rotate-key hall-3

        Args:
            team: Name of the team.
            end_previous: Invalidate the previous key, and create no new one.
            edit_id: Id of a rotation whose response was lost.
        """
        edit_id = edit_id or group.new_edit_id()

        return self._defer(
            lambda operator_client: editing.find_row(
                operator_client, f"team/{team}"
            ).and_then(
                lambda versioned: (
                    _end_previous(operator_client, versioned, edit_id=edit_id)
                    if end_previous
                    else _rotate(operator_client, versioned, edit_id=edit_id)
                )
            )
        )


def _create(
    operator_client: client.OperatorClient,
    team: str,
    tokens: int | None,
    *,
    edit_id: str,
) -> deferred.CommandResult:
    new_key = credentials.new_key(team)
    row = rows.TeamRow(team_id=team, key_hash=new_key.key_hash)
    written = keys.write_key(
        operator_client, row, new_key, version=0, edit_id=edit_id
    )
    if isinstance(written, result.Err) or tokens is None:
        return written
    topped_up = operator_client.top_up(
        messages.TopUpBudget(
            edit_id=f"{edit_id}-top-up",
            budget_id=row.row_key,
            tokens=tokens,
        )
    )
    return topped_up.map(
        lambda response: msgspec.structs.replace(
            written.ok_value, prepaid_tokens=response.prepaid_tokens
        )
    )


def _rotate(
    operator_client: client.OperatorClient,
    versioned: messages.VersionedRow,
    *,
    edit_id: str,
) -> deferred.CommandResult:
    new_key = credentials.new_key(versioned.row.team_id)
    return keys.write_key(
        operator_client,
        credentials.with_rotated_key(versioned.row, new_key),
        new_key,
        version=versioned.version,
        edit_id=edit_id,
    )


def _end_previous(
    operator_client: client.OperatorClient,
    versioned: messages.VersionedRow,
    *,
    edit_id: str,
) -> deferred.CommandResult:
    return editing.write_row(
        operator_client,
        row_key=versioned.row_key,
        row=msgspec.structs.replace(versioned.row, previous_key_hash=None),
        expected_version=versioned.version,
        edit_id=edit_id,
        base=versioned,
    )
