"""Recognises operators by their keys, of the form `bg_<name>_<secret>`."""

from __future__ import annotations

import hashlib
import threading

import argon2
import result

from bambooglade.core import failures
from bambooglade.router import operator_messages as messages
from bambooglade.table import rows
from bambooglade.table import view

BOOTSTRAP_OPERATOR = "bootstrap"
_KEY_PREFIX = "bg_"
_MAX_VERIFIED = 256


class OperatorAuthenticator:
    """Checks keys against the operators' rows and the bootstrap key.

    A verified key is remembered with the hash that it was verified against,
    so that a removed or rotated operator is refused at once.

    Args:
        table: The rows in force.
        bootstrap_key_hash: Argon2 hash of the bootstrap operator's secret.
    """

    __slots__ = (
        "_bootstrap_key_hash",
        "_hasher",
        "_lock",
        "_table",
        "_verified",
    )

    def __init__(
        self, table: view.TableView, *, bootstrap_key_hash: str | None
    ) -> None:
        self._table = table
        self._bootstrap_key_hash = bootstrap_key_hash
        self._hasher = argon2.PasswordHasher()
        self._lock = threading.Lock()
        self._verified: set[tuple[str, bytes]] = set()

    def authenticate(
        self, key: str
    ) -> result.Result[messages.Operator, failures.NotAuthorized]:
        """Returns the operator with this key.

        Args:
            key: The whole key, as the operator sent it.
        """
        name, separator, secret = key.removeprefix(_KEY_PREFIX).rpartition("_")
        if not key.startswith(_KEY_PREFIX) or not separator:
            return _refused("The key is not of the form bg_<name>_<secret>.")
        found = self._credential(name)
        if found is None or not self._verify(found.key_hash, secret):
            return _refused("The key is not valid.")
        role = messages.Role(found.role)
        return result.Ok(messages.Operator(name=name, role=role))

    def _credential(self, name: str) -> rows.OperatorRow | None:
        if name == BOOTSTRAP_OPERATOR and self._bootstrap_key_hash:
            return rows.OperatorRow(
                operator=name,
                key_hash=self._bootstrap_key_hash,
                role=messages.Role.ADMIN,
            )
        row = self._table.get(f"operator/{name}")
        return row if isinstance(row, rows.OperatorRow) else None

    def _verify(self, key_hash: str, secret: str) -> bool:
        known = (key_hash, hashlib.sha256(secret.encode()).digest())
        with self._lock:
            if known in self._verified:
                return True
        try:
            self._hasher.verify(key_hash, secret)
        except argon2.exceptions.Argon2Error:
            return False
        except argon2.exceptions.InvalidHashError:
            return False
        with self._lock:
            if len(self._verified) >= _MAX_VERIFIED:
                self._verified.clear()
            self._verified.add(known)
        return True

    def __repr__(self) -> str:
        return f"OperatorAuthenticator(verified={len(self._verified)})"


def _refused(detail: str) -> result.Err[failures.NotAuthorized]:
    return result.Err(failures.NotAuthorized(detail=detail))
