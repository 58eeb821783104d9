"""Signatures with shared keys, key rotation, and replay protection.

To rotate the key, first configure the new one as `also_accepted` on every
instance, then swap the two keys on every instance, then remove the old one.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
import secrets
import threading
from typing import ClassVar

import result
import sortedcontainers

from bambooglade.core import failures
from bambooglade.core import identifiers

MIN_KEY_BYTES = 32
WINDOW_MS = 30_000
"""Largest accepted difference between sending and receiving time."""
MAX_STORED_NONCES = 100_000
_NONCE_BYTES = 9
_SIGNATURE_BYTES = 18
"""Length of the truncated HMAC.

At least half of the HMAC is sufficient. The signature is kept short since it is
sent twice a second.
"""


class Forged(failures.NotAuthorized, frozen=True, kw_only=True):
    """The signature matches none of the accepted keys."""

    kind: ClassVar[str] = "forged"
    remedy: ClassVar[str] = (
        "Check that all instances have the same [fleet] keys in their settings."
    )


class Stale(failures.NotAuthorized, frozen=True, kw_only=True):
    """The sending time of the envelope is outside the window."""

    kind: ClassVar[str] = "stale"
    remedy: ClassVar[str] = "Synchronize the clocks of the instances."


class Replayed(failures.NotAuthorized, frozen=True, kw_only=True):
    """An envelope with this nonce was accepted before."""

    kind: ClassVar[str] = "replayed"
    remedy: ClassVar[str] = (
        "Send a new envelope; each envelope is accepted only once."
    )


class Signer:
    """Signs with one key; accepts signatures of that key and of one other.

    Examples:
        >>> signer = Signer(b"k" * 32)
        >>> signer.verify(b"body", signer.sign(b"body")).is_ok()
        True
        >>> signer.verify(b"other", signer.sign(b"body")).unwrap_err().kind
        'forged'
    """

    __slots__ = ("_accepted", "_key")

    def __init__(self, key: bytes, *, also_accepted: bytes | None = None):
        for each in (key, also_accepted):
            if each is not None and len(each) < MIN_KEY_BYTES:
                raise ValueError(
                    f"a fleet key has {len(each)} bytes; use a random one of "
                    f"{MIN_KEY_BYTES} or more"
                )
        self._key = key
        self._accepted = (
            (key,)
            if also_accepted is None
            else (
                key,
                also_accepted,
            )
        )

    def sign(self, body: bytes) -> str:
        """Returns the signature of a body."""
        return _signature(self._key, body)

    def verify(
        self, body: bytes, signature: str
    ) -> result.Result[None, Forged]:
        """Checks a signature against the accepted keys."""
        given = signature.encode()
        matches = [
            hmac.compare_digest(_signature(key, body).encode(), given)
            for key in self._accepted
        ]
        if any(matches):
            return result.Ok(None)
        return result.Err(
            Forged(detail="The signature matches none of the accepted keys.")
        )

    def __repr__(self) -> str:
        return f"Signer(accepted_keys={len(self._accepted)})"


class NonceWindow:
    """Stores the nonces of the window, in bounded memory.

    When the store is full, it evicts the oldest nonce, and from then on rejects
    all envelopes that are not newer than the evicted one, so an eviction never
    permits a replay. The class is thread-safe.
    """

    __slots__ = (
        "_capacity",
        "_floor_ms",
        "_lock",
        "_nonces_by_time",
        "_seen",
        "_window_ms",
    )

    def __init__(
        self,
        *,
        window_ms: int = WINDOW_MS,
        capacity: int = MAX_STORED_NONCES,
    ) -> None:
        self._window_ms = window_ms
        self._capacity = capacity
        self._floor_ms = 0
        self._lock = threading.Lock()
        self._seen: set[tuple[str, str]] = set()
        self._nonces_by_time = sortedcontainers.SortedList()

    def admit(
        self,
        sender: identifiers.InstanceId,
        nonce: str,
        *,
        sent_at_ms: int,
        now_ms: int,
    ) -> result.Result[None, Stale | Replayed]:
        """Accepts the nonce of an envelope once, within the window."""
        with self._lock:
            return self._admit(sender, nonce, sent_at_ms, now_ms)

    def _admit(
        self,
        sender: identifiers.InstanceId,
        nonce: str,
        sent_at_ms: int,
        now_ms: int,
    ) -> result.Result[None, Stale | Replayed]:
        difference_ms = now_ms - sent_at_ms
        if abs(difference_ms) > self._window_ms or sent_at_ms <= self._floor_ms:
            return result.Err(
                Stale(
                    detail=f"The envelope of {sender} was sent "
                    f"{difference_ms} ms ago; the window is "
                    f"{self._window_ms} ms."
                )
            )
        if (sender, nonce) in self._seen:
            return result.Err(
                Replayed(detail=f"{sender} already sent nonce {nonce}.")
            )
        self._evict(now_ms)
        self._seen.add((sender, nonce))
        self._nonces_by_time.add((sent_at_ms, sender, nonce))
        return result.Ok(None)

    def _evict(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._window_ms
        while self._nonces_by_time and (
            self._nonces_by_time[0][0] < oldest_ms
            or len(self._nonces_by_time) >= self._capacity
        ):
            sent_at_ms, sender, nonce = self._nonces_by_time.pop(0)
            self._floor_ms = max(self._floor_ms, sent_at_ms)
            self._seen.discard((sender, nonce))

    def __repr__(self) -> str:
        return f"NonceWindow(remembered={len(self._nonces_by_time)})"


def new_nonce() -> str:
    """Returns a random nonce."""
    return secrets.token_urlsafe(_NONCE_BYTES)


def _signature(key: bytes, body: bytes) -> str:
    digest = hmac.new(key, body, hashlib.sha256).digest()
    return base64.urlsafe_b64encode(digest[:_SIGNATURE_BYTES]).decode()
