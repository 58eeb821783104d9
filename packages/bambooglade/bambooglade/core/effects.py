"""Effects: the I/O that components request by yielding it.

The components do no I/O themselves: a handler receives a message and the time,
changes its own state, and yields effects. The router process executes them; the
simulated fleet of the tests executes them on virtual time.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from bambooglade.core import identifiers


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all messages between instances.

    A sent message is delivered at most once, and messages may be reordered.
    Senders retry until they have a response, so every handler is idempotent.
    """


class Send(msgspec.Struct, frozen=True, kw_only=True):
    """Sends a message to an instance, possibly to the sending one itself."""

    recipient: identifiers.InstanceId
    message: Message


class ReadDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Reads one document of the platform's key-value service."""

    key: str


class WriteDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Writes one document by compare-and-swap on its revision.

    Attributes:
        key: The key of the document.
        expected_revision: Revision that was read; 0 if the key must not exist
            yet.
        value: The new value; at most 1 MB.
    """

    key: str
    expected_revision: int
    value: bytes


class DocumentRead(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `ReadDocument`; the revision of a missing key is 0."""

    key: str
    revision: int
    value: bytes | None


class ReadFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `ReadDocument`: the service did not respond in time."""

    key: str


class WriteApplied(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `WriteDocument`: the write took effect at this revision."""

    key: str
    revision: int


class WriteConflicted(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `WriteDocument`: not written, since the revision differs."""

    key: str


class WriteUncertain(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `WriteDocument`: it is unknown whether the write took effect.

    The service did not respond in time. The document has to be read again
    before its content is relied on.
    """

    key: str


DocumentResponse: TypeAlias = (
    DocumentRead | ReadFailed | WriteApplied | WriteConflicted | WriteUncertain
)


class Effect(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the effects that stay within the process.

    Components declare their own subclasses, for instance the permit that lets
    the handling of a request continue to a target.
    """


Effects: TypeAlias = Send | ReadDocument | WriteDocument | Effect
"""Any effect that a handler may yield."""
