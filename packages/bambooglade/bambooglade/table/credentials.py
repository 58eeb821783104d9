"""Keys of teams and operators, of the form `bg_<name>_<secret>`.

Only hashes are kept. The secret is 192 random bits, so that a cheap setting of
argon2 protects it as well as a costly one; it still bounds what wrong keys
cost.
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
    """The key is malformed, unknown or not the current one."""

    kind: ClassVar[str] = "invalid_key"
    remedy: ClassVar[str] = (
        "Send `Authorization: Bearer <key>` with the key that the operators "
        "gave; they can rotate a lost one."
    )


class VerificationOverloaded(failures.Overloaded, frozen=True, kw_only=True):
    """Too many new keys are being verified at once."""

    kind: ClassVar[str] = "verification_overloaded"


class NewKey(msgspec.Struct, frozen=True, kw_only=True):
    """A key, to be shown once, and the hash to be kept.

    Examples:
        >>> "secret" in repr(NewKey(key="bg_t1_secret", key_hash="x"))
        False
    """

    key: str
    key_hash: str

    def __repr__(self) -> str:
        return "NewKey(hidden)"


class ParsedKey(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of a key that was sent."""

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
    """Returns the team's row with a new key; the present one stays valid."""
    return msgspec.structs.replace(
        team, key_hash=key.key_hash, previous_key_hash=team.key_hash
    )


class Verifier:
    """Checks secrets against hashes, and remembers the results.

    A result is remembered for the pair of hash and secret, so a key that is
    rotated or removed from the table loses its effect at once.
    """

    __slots__ = ("_fits_by_pair", "_lock", "_verifying")

    def __init__(self) -> None:
        self._fits_by_pair: collections.OrderedDict[tuple[str, bytes], bool] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()
        self._verifying = threading.BoundedSemaphore(
            MAX_CONCURRENT_VERIFICATIONS
        )

    def matches(
        self, secret: str, key_hash: str
    ) -> result.Result[bool, VerificationOverloaded]:
        """Returns whether a secret fits a hash."""
        pair = (key_hash, hashlib.sha256(secret.encode()).digest())
        with self._lock:
            known = self._fits_by_pair.get(pair)
            if known is not None:
                self._fits_by_pair.move_to_end(pair)
                return result.Ok(known)
        if not self._verifying.acquire(blocking=False):
            return result.Err(
                VerificationOverloaded(
                    detail="Too many keys are being verified.",
                    retry_after_ms=100,
                )
            )
        try:
            fits = _verify(key_hash, secret)
        finally:
            self._verifying.release()
        self._remember(pair, fits)
        return result.Ok(fits)

    def _remember(self, pair: tuple[str, bytes], fits: bool) -> None:
        with self._lock:
            self._fits_by_pair[pair] = fits
            if len(self._fits_by_pair) > MAX_CACHED_RESULTS:
                self._fits_by_pair.popitem(last=False)

    def __repr__(self) -> str:
        return f"Verifier(remembered={len(self._fits_by_pair)})"


class TeamAuthenticator:
    """Recognizes teams by the key in the Authorization header.

    Args:
        table: The rows in force.
        verifier: Shared with other authenticators.
    """

    __slots__ = ("_table", "_verifier")

    def __init__(self, table: view.TableView, verifier: Verifier) -> None:
        self._table = table
        self._verifier = verifier

    def authenticate(
        self, authorization: str
    ) -> result.Result[rows.TeamRow, failures.Failure]:
        """Returns the team whose current or previous key is given.

        Args:
            authorization: Value of the Authorization header.
        """
        parsed = parse_key(authorization)
        if parsed is None:
            return _invalid("The header has no key of the form bg_<team>_...")
        team = self._table.get(f"team/{parsed.name}")
        if not isinstance(team, rows.TeamRow):
            return _invalid("The key is not valid.")
        for key_hash in (team.key_hash, team.previous_key_hash):
            if key_hash is None:
                continue
            fits = self._verifier.matches(parsed.secret, key_hash)
            if fits.is_err():
                return fits
            if fits.unwrap():
                return result.Ok(team)
        return _invalid("The key is not valid.")

    def __repr__(self) -> str:
        return f"TeamAuthenticator({self._verifier!r})"


def parse_key(authorization: str) -> ParsedKey | None:
    """Returns the parts of a bearer key; None when it has another form.

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
