"""Ports to the platform's services.

The adapters next to this module speak to the services over HTTP; the tests use
in-memory fakes. Every call may raise nothing: outcomes are typed.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers


class ListedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """An entry of the platform's list of instances; the list lags.

    Attributes:
        name: Instance id or target id.
        availability_zone: Where it runs.
        url: Base URL with an IP number.
        leaving: Whether the platform is about to stop it.
    """

    name: str
    availability_zone: identifiers.AvailabilityZone
    url: str
    leaving: bool


class DocumentChange(msgspec.Struct, frozen=True, kw_only=True):
    """A watch saw a newer revision of a key."""

    key: str
    revision: int
    value: bytes | None


class KeyValueStore(Protocol):
    """The platform's key-value service: compare-and-swap, leases, watches."""

    def read(self, request: effects.ReadDocument) -> effects.DocumentAnswer:
        """Reads one key."""
        ...

    def write(self, request: effects.WriteDocument) -> effects.DocumentAnswer:
        """Writes one key by compare-and-swap."""
        ...

    def read_prefix(self, prefix: str) -> list[effects.DocumentRead] | None:
        """Reads all keys below a prefix; None when there is no answer."""
        ...

    def watch(
        self, prefix: str, *, after_revision: int, timeout_ms: int
    ) -> Iterator[DocumentChange]:
        """Yields changes below a prefix, until the time-out or a failure."""
        ...


class InstanceList(Protocol):
    """The platform's lagging list of live and leaving instances."""

    def instances(self) -> list[ListedInstance] | None:
        """Returns the listed router instances; None when unreachable."""
        ...

    def targets(self) -> list[ListedInstance] | None:
        """Returns the listed targets; None when unreachable."""
        ...


class WeightStore(Protocol):
    """The rate-limited store of capacity weights."""

    def weights(self) -> dict[identifiers.TargetId, float] | None:
        """Returns the weight of each target; None when refused or down."""
        ...
