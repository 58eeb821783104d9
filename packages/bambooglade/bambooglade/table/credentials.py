"""API keys of teams and operators, of the form `bg_<name>_<secret>`.

Only hashes are stored. A secret has 192 random bits, so low-cost parameters of
argon2 protect it as well as expensive ones, and they limit the cost of
verifying wrong keys.
"""

from __future__ import annotations

import collections
import hashlib
import secrets
import threading
from typing import ClassVar

import argon2
import msgspec
import result

from bambooglade.core import failures
from bambooglade.table import rows
from bambooglade.table import view

KEY_PREFIX = "bg_"
SECRET_BYTES = 24
MAX_CACHED_RESULTS = 10_000
MAX_CONCURRENT_VERIFICATIONS = 4
MAX_SECRET_LENGTH = 200
_HASHER = argon2.PasswordHasher(time_cost=2, memory_cost=1_024, parallelism=1)


class InvalidKey(failures.NotAuthorized, frozen=True, kw_only=True):
    """The key is malformed, unknown or no longer valid."""

    kind: ClassVar[str] = "invalid_key"
    remedy: ClassVar[str] = (
        "Send `Authorization: Bearer <key>` with the key issued by the "
        "operators; they can rotate a lost key."
    )


class VerificationOverloaded(failures.Overloaded, frozen=True, kw_only=True):
    """Too many uncached keys are being verified at the same time."""

    kind: ClassVar[str] = "verification_overloaded"


class NewKey(msgspec.Struct, frozen=True, kw_only=True):
    """A new key, to be shown once, and its hash, to be stored.

    Examples:
        >>> "secret" in repr(NewKey(key="bg_t1_secret", key_hash="x"))
        False
    """

    key: str
    key_hash: str

    def __repr__(self) -> str:
        return "NewKey(hidden)"


class ParsedKey(msgspec.Struct, frozen=True, kw_only=True):
    """Name and secret of a received key."""

    name: str
    secret: str

    def __repr__(self) -> str:
        return f"ParsedKey(name={self.name!r})"


def new_key(name: str) -> NewKey:
    """Returns a new random key for a team or an operator.

    Examples:
        >>> new_key("t1").key.startswith("bg_t1_")
        True
    """
    secret = secrets.token_hex(SECRET_BYTES)
    return NewKey(
        key=f"{KEY_PREFIX}{name}_{secret}", key_hash=_HASHER.hash(secret)
    )


def with_rotated_key(team: rows.TeamRow, key: NewKey) -> rows.TeamRow:
    """Returns the row with a new key; the current key becomes the previous."""
    return msgspec.structs.replace(
        team, key_hash=key.key_hash, previous_key_hash=team.key_hash
    )


class Verifier:
    """Verifies secrets against hashes and caches the results.

    The cache key is the pair of hash and secret, so a key that is rotated or
    removed from the table becomes invalid immediately.
    """

    __slots__ = ("_lock", "_result_by_pair", "_verifying")

    def __init__(self) -> None:
        self._result_by_pair: collections.OrderedDict[
            tuple[str, bytes], bool
        ] = collections.OrderedDict()
        self._lock = threading.Lock()
        self._verifying = threading.BoundedSemaphore(
            MAX_CONCURRENT_VERIFICATIONS
        )

    def matches(
        self, secret: str, key_hash: str
    ) -> result.Result[bool, VerificationOverloaded]:
        """Returns whether a secret matches a hash."""
        pair = (key_hash, hashlib.sha256(secret.encode()).digest())
        with self._lock:
            cached = self._result_by_pair.get(pair)
            if cached is not None:
                self._result_by_pair.move_to_end(pair)
                return result.Ok(cached)
        if not self._verifying.acquire(blocking=False):
            return result.Err(
                VerificationOverloaded(
                    detail="Too many keys are being verified at the same time.",
                    retry_after_ms=100,
                )
            )
        try:
            is_match = _verify(key_hash, secret)
        finally:
            self._verifying.release()
        self._store_result(pair, is_match)
        return result.Ok(is_match)

    def _store_result(self, pair: tuple[str, bytes], is_match: bool) -> None:
        with self._lock:
            self._result_by_pair[pair] = is_match
            if len(self._result_by_pair) > MAX_CACHED_RESULTS:
                self._result_by_pair.popitem(last=False)

    def __repr__(self) -> str:
        return f"Verifier(cached={len(self._result_by_pair)})"


class TeamAuthenticator:
    """Authenticates teams by the key in the Authorization header.

    Args:
        table: Rows in force.
        verifier: Verifier, which may be shared with other authenticators.
    """

    __slots__ = ("_table", "_verifier")

    def __init__(self, table: view.TableView, verifier: Verifier) -> None:
        self._table = table
        self._verifier = verifier

    def authenticate(
        self, authorization: str
    ) -> result.Result[rows.TeamRow, failures.Failure]:
        """Returns the team that the current or previous key belongs to.

        Args:
            authorization: Value of the Authorization header.
        """
        parsed = parse_key(authorization)
        if parsed is None:
            return _invalid(
                "The Authorization header has no key of the form bg_<team>_..."
            )
        team = self._table.get(f"team/{parsed.name}")
        if not isinstance(team, rows.TeamRow):
            return _invalid("The key is not valid.")
        for key_hash in (team.key_hash, team.previous_key_hash):
            if key_hash is None:
                continue
            matched = self._verifier.matches(parsed.secret, key_hash)
            if matched.is_err():
                return matched
            if matched.unwrap():
                return result.Ok(team)
        return _invalid("The key is not valid.")

    def __repr__(self) -> str:
        return f"TeamAuthenticator({self._verifier!r})"


def parse_key(authorization: str) -> ParsedKey | None:
    """Returns the parts of a bearer key, or None if it is malformed.

    Examples:
        >>> parse_key("Bearer bg_hall-3_0123").name
        'hall-3'
        >>> parse_key("Basic bg_hall-3_0123") is None
        True
    """
    scheme, _, key = authorization.partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not key.startswith(KEY_PREFIX):
        return None
    name, separator, secret = key.removeprefix(KEY_PREFIX).rpartition("_")
    if not (name and separator and 0 < len(secret) <= MAX_SECRET_LENGTH):
        return None
    return ParsedKey(name=name, secret=secret)


def _verify(key_hash: str, secret: str) -> bool:
    try:
        return _HASHER.verify(key_hash, secret)
    except (argon2.exceptions.Argon2Error, argon2.exceptions.InvalidHashError):
        return False


def _invalid(detail: str) -> result.Err[InvalidKey]:
    return result.Err(InvalidKey(detail=detail))
