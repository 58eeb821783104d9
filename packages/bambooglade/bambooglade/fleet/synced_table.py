"""What pings compare besides members and assignments."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from bambooglade.core import effects
from bambooglade.core import identifiers


class SyncedTable(Protocol):
    """A table with a digest; `table.replica.TableReplica` is one."""

    @property
    def root(self) -> int:
        """Digest of the table."""
        ...

    def compare(
        self, peer: identifiers.InstanceId
    ) -> Iterator[effects.Effects]:
        """Starts a comparison with a peer whose digest differs."""
        ...
