"""Interface of the key-value service: transactions, leases, watches.

See Also:
    bambooglade.platform.store: the adapter that calls the service.
"""

from __future__ import annotations

from concurrent import futures
from typing import Protocol
from typing import TypeAlias

from bambooglade.store import store_era


class Item:
    """A key with its value.

    Attributes:
        key: Name of the key.
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
    """Items that were read, or that changed, as of a revision.

    Attributes:
        items: The items.
        at_revision: Revision of the store that the items reflect.
        has_more: Whether another page follows.
    """

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
    """A transaction or a lease call was executed.

    Attributes:
        revision: Revision of the store after the transaction; 0 for a lease
            call.
    """

    __slots__ = ("revision",)

    def __init__(self, revision: int = 0) -> None:
        self.revision = revision


class Conflicted:
    """A precondition failed; nothing was changed.

    Attributes:
        items: Current items of the keys with preconditions.
    """

    __slots__ = ("items",)

    def __init__(self, items: list[Item]) -> None:
        self.items = items


class LeaseGranted:
    """A lease was granted.

    Attributes:
        lease_id: Identifier of the lease.
        ttl_ms: Time in milliseconds after which it expires without renewal.
    """

    __slots__ = ("lease_id", "ttl_ms")

    def __init__(self, lease_id: int, ttl_ms: int) -> None:
        self.lease_id = lease_id
        self.ttl_ms = ttl_ms


class NotFound:
    """The key or lease does not exist; nothing was changed."""

    __slots__ = ()


class HistoryLost:
    """The history after a watch's revision is gone; read all keys again."""

    __slots__ = ()


class Refused:
    """The service refused the call; nothing was changed.

    Attributes:
        status: HTTP status of the response.
    """

    __slots__ = ("status",)

    def __init__(self, status: int) -> None:
        self.status = status


class NoResponse:
    """No response; the call may have been executed, or may still be."""

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
        key: Name of the key.
        value: New value; None deletes the key.
        lease_id: Lease that the key is attached to; 0 for none.
        expected_revision: Precondition on the revision of the key: 0 if it
            must not exist, None for no precondition.
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
    """The key-value service; each call returns a future with a `Response`.

    Attributes:
        era: Era of the service; a new one ends what its revisions and leases
            meant.
    """

    era: store_era.StoreEra

    def read(self, key: str) -> futures.Future:
        """Reads one key."""
        ...

    def read_prefix(
        self, prefix: str, *, after_key: str = "", allow_stale: bool = False
    ) -> futures.Future:
        """Reads a page of the keys with a prefix.

        Args:
            prefix: Prefix of the keys.
            after_key: Last key of the previous page; empty for the first page.
            allow_stale: Whether the page may be some seconds old; such a read
                costs less.
        """
        ...

    def watch(
        self, prefix: str, *, after_revision: int, wait_ms: int
    ) -> futures.Future:
        """Waits up to `wait_ms` for changes of keys with a prefix."""
        ...

    def commit(self, writes: list[Write], *, timeout_ms: int) -> futures.Future:
        """Executes all writes atomically, or none of them."""
        ...

    def grant_lease(self, *, ttl_ms: int) -> futures.Future:
        """Grants a lease."""
        ...

    def renew_lease(self, lease_id: int) -> futures.Future:
        """Renews a lease."""
        ...

    def revoke_lease(self, lease_id: int) -> futures.Future:
        """Revokes a lease, which deletes the keys attached to it."""
        ...
