"""Interface of a table whose digest is compared by pings."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from bambooglade.core import effects
from bambooglade.core import identifiers


class SyncedTable(Protocol):
    """A replicated table with a digest, for instance `TableReplica`."""

    @property
    def root(self) -> int:
        """Digest of the contents of the table."""
        ...

    def compare(
        self, peer: identifiers.InstanceId
    ) -> Iterator[effects.Effects]:
        """Starts the comparison with a peer whose digest differs."""
        ...
