"""Port to the key-value service: transactions, leases, watches.

See Also:
    bambooglade.platform.store: the adapter that speaks to the service.
"""

from __future__ import annotations

from concurrent import futures
from typing import Protocol
from typing import TypeAlias


class Item:
    """One key with its value.

    Attributes:
        key: Its name.
        value: Any bytes; None for a key that was deleted or does not exist.
        revision: Revision of its last change; 0 if it does not exist.
    """

    __slots__ = ("key", "revision", "value")

    def __init__(self, key: str, value: bytes | None, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Item) and (
            (self.key, self.value, self.revision)
            == (other.key, other.value, other.revision)
        )

    __hash__ = None

    def __repr__(self) -> str:
        return f"Item({self.key!r}, revision={self.revision})"


class Items:
    """Items that were read or that changed, as of a revision."""

    __slots__ = ("at_revision", "has_more", "items")

    def __init__(
        self, items: list[Item], *, at_revision: int, has_more: bool = False
    ) -> None:
        self.items = items
        self.at_revision = at_revision
        self.has_more = has_more

    def __repr__(self) -> str:
        return f"Items(count={len(self.items)}, at={self.at_revision})"


class Committed:
    """A transaction or a lease call was carried out."""

    __slots__ = ("revision",)

    def __init__(self, revision: int = 0) -> None:
        self.revision = revision


class Conflicted:
    """A precondition did not hold; nothing was changed.

    Attributes:
        items: The keys of the preconditions as they are now.
    """

    __slots__ = ("items",)

    def __init__(self, items: list[Item]) -> None:
        self.items = items


class LeaseGranted:
    """A lease was granted.

    Attributes:
        lease_id: Its number.
        ttl_ms: How long it lasts without renewal, in milliseconds.
    """

    __slots__ = ("lease_id", "ttl_ms")

    def __init__(self, lease_id: int, ttl_ms: int) -> None:
        self.lease_id = lease_id
        self.ttl_ms = ttl_ms


class NotFound:
    """The key or lease does not exist; nothing was changed."""

    __slots__ = ()


class HistoryLost:
    """A watch can't go on from its revision; read everything again."""

    __slots__ = ()


class Refused:
    """The service refused the call; nothing was changed."""

    __slots__ = ("status",)

    def __init__(self, status: int) -> None:
        self.status = status


class NoResponse:
    """No answer: the call may have been, or may yet be, carried out."""

    __slots__ = ()


Response: TypeAlias = (
    Item
    | Items
    | Committed
    | Conflicted
    | LeaseGranted
    | NotFound
    | HistoryLost
    | Refused
    | NoResponse
)


class Write:
    """One write of a transaction.

    Attributes:
        key: The key.
        value: The new value; None removes the key.
        lease_id: Lease that the key is bound to; 0 for none.
        expected_revision: Revision that the key must have; 0 if it must not
            exist, None for no condition.
    """

    __slots__ = ("expected_revision", "key", "lease_id", "value")

    def __init__(
        self,
        key: str,
        value: bytes | None,
        *,
        expected_revision: int | None = None,
        lease_id: int = 0,
    ) -> None:
        self.key = key
        self.value = value
        self.expected_revision = expected_revision
        self.lease_id = lease_id

    def __repr__(self) -> str:
        return f"Write({self.key!r}, expected={self.expected_revision})"


class TransactionalStore(Protocol):
    """The key-value service; each call returns a future with a `Response`."""

    def read(self, key: str) -> futures.Future:
        """Reads one key."""
        ...

    def read_prefix(
        self, prefix: str, *, after_key: str = "", allow_stale: bool = False
    ) -> futures.Future:
        """Reads a page of the keys below a prefix.

        Args:
            prefix: What the keys begin with.
            after_key: The last key of the page before; empty for the first.
            allow_stale: Whether the page may be some seconds old; such a read
                costs less.
        """
        ...

    def watch(
        self, prefix: str, *, after_revision: int, wait_ms: int
    ) -> futures.Future:
        """Waits for changes below a prefix."""
        ...

    def commit(self, writes: list[Write], *, timeout_ms: int) -> futures.Future:
        """Carries out all writes, or none."""
        ...

    def grant_lease(self, *, ttl_ms: int) -> futures.Future:
        """Starts a lease."""
        ...

    def renew_lease(self, lease_id: int) -> futures.Future:
        """Renews a lease."""
        ...

    def revoke_lease(self, lease_id: int) -> futures.Future:
        """Ends a lease; its keys are removed."""
        ...
