"""Interfaces of the platform's services.

The adapters next to this module call the services over HTTP; the tests use
in-memory fakes. No call raises an exception: the outcomes are typed.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers


class ListedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of the platform's instance list, which may be out of date.

    Attributes:
        name: Instance id or target id.
        availability_zone: Availability zone in which it runs.
        url: Base URL with an IP address.
        leaving: Whether the platform is about to stop it.
    """

    name: str
    availability_zone: identifiers.AvailabilityZone
    url: str
    leaving: bool


class DocumentChange(msgspec.Struct, frozen=True, kw_only=True):
    """A newer revision of a key, reported by a watch.

    Attributes:
        key: Name of the key.
        revision: Revision of the change.
        value: New value; None if the key was deleted.
    """

    key: str
    revision: int
    value: bytes | None


class KeyValueStore(Protocol):
    """The platform's key-value service: compare-and-swap, leases, watches."""

    def read(self, request: effects.ReadDocument) -> effects.DocumentResponse:
        """Reads one key."""
        ...

    def write(self, request: effects.WriteDocument) -> effects.DocumentResponse:
        """Writes one key by compare-and-swap."""
        ...

    def read_prefix(self, prefix: str) -> list[effects.DocumentRead] | None:
        """Reads all keys with a prefix; returns None without a response."""
        ...

    def watch(
        self, prefix: str, *, after_revision: int, timeout_ms: int
    ) -> Iterator[DocumentChange]:
        """Yields changes of keys with a prefix until a timeout or failure."""
        ...


class InstanceList(Protocol):
    """The platform's eventually consistent list of instances and targets."""

    def instances(self) -> list[ListedInstance] | None:
        """Returns the listed router instances; None if it is unreachable."""
        ...

    def targets(self) -> list[ListedInstance] | None:
        """Returns the listed targets; None if it is unreachable."""
        ...


class WeightStore(Protocol):
    """The rate-limited store of capacity weights."""

    def weights(self) -> dict[identifiers.TargetId, float] | None:
        """Returns the weight of each target; None without a valid response."""
        ...
