"""What a decision asks its surroundings to do.

The aggregates are free of I/O: a handler takes a message and the time, changes
its own state, and yields effects. The router process carries them out; the
simulated fleet of the tests does so on virtual time.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from bambooglade.core import identifiers


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all messages between instances.

    Delivery is at most once per send, in no particular order; the sender
    repeats what matters, so every handler is idempotent.
    """


class Send(msgspec.Struct, frozen=True, kw_only=True):
    """Sends a message to an instance; sending to oneself is allowed."""

    recipient: identifiers.InstanceId
    message: Message


class ReadDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Reads one key of the platform's key-value service."""

    key: str


class WriteDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Writes one key by compare-and-swap on its revision.

    Attributes:
        key: The key.
        expected_revision: Revision that was read; 0 for a key that must not
            exist yet.
        value: The new value; at most 1 MB.
    """

    key: str
    expected_revision: int
    value: bytes


class DocumentRead(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `ReadDocument`: the current revision, 0 for a missing key."""

    key: str
    revision: int
    value: bytes | None


class ReadFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `ReadDocument`: the service gave no answer in time."""

    key: str


class WriteApplied(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `WriteDocument`: the write took effect at this revision."""

    key: str
    revision: int


class WriteConflicted(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `WriteDocument`: the revision differs; nothing was written."""

    key: str


class WriteUncertain(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `WriteDocument`: no answer; the write may have taken effect.

    The key has to be read again before anything is concluded from it.
    """

    key: str


DocumentResponse: TypeAlias = (
    DocumentRead | ReadFailed | WriteApplied | WriteConflicted | WriteUncertain
)


class Effect(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the effects that concern the own process only.

    Aggregates declare their own kinds, for instance the permit that lets the
    thread of a request go on to a target.
    """


Effects: TypeAlias = Send | ReadDocument | WriteDocument | Effect
"""Any effect that a handler may yield."""
