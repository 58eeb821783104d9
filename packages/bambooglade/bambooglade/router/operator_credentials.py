"""Recognizes operators by their keys, of the form `bg_<name>_<secret>`."""

from __future__ import annotations

import result

from bambooglade.core import failures
from bambooglade.router import operator_messages as messages
from bambooglade.table import credentials
from bambooglade.table import rows
from bambooglade.table import view

BOOTSTRAP_OPERATOR = "bootstrap"


class OperatorAuthenticator:
    """Checks keys against the operators' rows and the bootstrap key.

    Args:
        table: The rows in force.
        bootstrap_key_hash: Argon2 hash of the bootstrap operator's secret.

    See Also:
        bambooglade.table.credentials.TeamAuthenticator: the same for teams.
    """

    __slots__ = ("_bootstrap_key_hash", "_table", "_verifier")

    def __init__(
        self, table: view.TableView, *, bootstrap_key_hash: str | None
    ) -> None:
        self._table = table
        self._bootstrap_key_hash = bootstrap_key_hash
        self._verifier = credentials.Verifier()

    def authenticate(
        self, authorization: str
    ) -> result.Result[messages.Operator, failures.Failure]:
        """Returns the operator whose key is given.

        Args:
            authorization: Value of the Authorization header.
        """
        parsed = credentials.parse_key(authorization)
        if parsed is None:
            return _refused("The header has no key of the form bg_<name>_...")
        found = self._credential(parsed.name)
        if found is None:
            return _refused("The key is not valid.")
        fits = self._verifier.matches(parsed.secret, found.key_hash)
        if isinstance(fits, result.Err):
            return fits
        if not fits.ok_value:
            return _refused("The key is not valid.")
        role = messages.Role(found.role)
        return result.Ok(messages.Operator(name=parsed.name, role=role))

    def _credential(self, name: str) -> rows.OperatorRow | None:
        if name == BOOTSTRAP_OPERATOR and self._bootstrap_key_hash:
            return rows.OperatorRow(
                operator=name,
                key_hash=self._bootstrap_key_hash,
                role=messages.Role.ADMIN,
            )
        row = self._table.get(f"operator/{name}")
        return row if isinstance(row, rows.OperatorRow) else None

    def __repr__(self) -> str:
        return f"OperatorAuthenticator({self._verifier!r})"


def _refused(detail: str) -> result.Err[credentials.InvalidKey]:
    return result.Err(credentials.InvalidKey(detail=detail))
