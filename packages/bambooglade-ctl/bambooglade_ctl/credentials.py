"""New keys of teams and operators; only their hashes are sent anywhere."""

from __future__ import annotations

import secrets

import argon2
import msgspec

_SECRET_BYTES = 24


class NewKey(msgspec.Struct, frozen=True, kw_only=True):
    """A key to be handed over once, and the hash that is kept.

    Attributes:
        key: The whole key, `bg_<name>_<secret>`.
        key_hash: Argon2 hash of the secret part.
    """

    key: str
    key_hash: str

    def __repr__(self) -> str:
        return "NewKey(hidden)"


def new_key(name: str) -> NewKey:
    """Makes a key.

    Args:
        name: The team or operator that it is for.

    Examples:
        >>> new_key("hall-3").key.startswith("bg_hall-3_")
        True
    """
    secret = secrets.token_hex(_SECRET_BYTES)
    return NewKey(
        key=f"bg_{name}_{secret}",
        key_hash=argon2.PasswordHasher().hash(secret),
    )
