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
        """Creates a team and prints its API key, this once.

        Example: bamboogladectl teams create hall-3 --tokens 50000

        Args:
            team: Name of the team: letters, digits, dots and hyphens.
            tokens: First prepaid amount, in tokens.
            edit_id: Id of a creation whose answer was lost.
        """
        edit_id = edit_id or group.new_edit_id()
        return self._defer(
            lambda ctl: group.optional(tokens, name="--tokens").and_then(
                lambda amount: _create(ctl, team, amount, edit_id=edit_id)
            )
        )

    def rotate_key(
        self, team: str, *, end_previous: bool = False, edit_id: str = ""
    ) -> deferred.Deferred:
        """Gives a team a new key; the one before stays valid until ended.

        Rotate, hand the new key over, and then run it with --end-previous,
        which makes no new key but ends the one before.

        Example: bamboogladectl teams rotate-key hall-3

        Args:
            team: Name of the team.
            end_previous: End the previous key, and make no new one.
            edit_id: Id of a rotation whose answer was lost.
        """
        edit_id = edit_id or group.new_edit_id()

        return self._defer(
            lambda ctl: editing.find(ctl, f"team/{team}").and_then(
                lambda found: (
                    _end_previous(ctl, found, edit_id=edit_id)
                    if end_previous
                    else _rotate(ctl, found, edit_id=edit_id)
                )
            )
        )


def _create(
    ctl: client.OperatorClient,
    team: str,
    tokens: int | None,
    *,
    edit_id: str,
) -> deferred.Outcome:
    made = credentials.new_key(team)
    row = rows.TeamRow(team_id=team, key_hash=made.key_hash)
    written = keys.write_key(ctl, row, made, version=0, edit_id=edit_id)
    if isinstance(written, result.Err) or tokens is None:
        return written
    topped_up = ctl.top_up(
        messages.TopUpBudget(
            edit_id=f"{edit_id}-top-up",
            budget_id=row.row_key,
            tokens=tokens,
        )
    )
    return topped_up.map(
        lambda answer: msgspec.structs.replace(
            written.ok_value, prepaid_tokens=answer.prepaid_tokens
        )
    )


def _rotate(
    ctl: client.OperatorClient,
    found: messages.VersionedRow,
    *,
    edit_id: str,
) -> deferred.Outcome:
    made = credentials.new_key(found.row.team_id)
    return keys.write_key(
        ctl,
        credentials.with_rotated_key(found.row, made),
        made,
        version=found.version,
        edit_id=edit_id,
    )


def _end_previous(
    ctl: client.OperatorClient,
    found: messages.VersionedRow,
    *,
    edit_id: str,
) -> deferred.Outcome:
    return editing.write(
        ctl,
        row_key=found.row_key,
        row=msgspec.structs.replace(found.row, previous_key_hash=None),
        expected_version=found.version,
        edit_id=edit_id,
        base=found,
    )
