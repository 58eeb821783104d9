"""Counts the calls of instances to the store by kind, as they are charged.

Every call costs one, also a refused one; a lease renewal and a read that may
return an older state cost a tenth.
"""

from __future__ import annotations

import collections
from concurrent import futures

from bambooglade.store import store_api

REDUCED_PRICE = 0.1

_KEY_DEPTH = 2
"""Parts of a key that name its kind, as in `bambooglade/rights/`."""


class StoreCallCounts:
    """Calls by kind and outcome, of one instance or a fleet.

    Attributes:
        count_by_kind: Calls by kind, such as `commit bambooglade/rights
            Conflicted`.

    Examples:
        >>> counts = StoreCallCounts()
        >>> counts.record("renew_lease", "", store_api.Committed())
        >>> counts.record("read", "op/config", store_api.Refused(503))
        >>> counts.price
        1.1
    """

    __slots__ = ("count_by_kind",)

    def __init__(self) -> None:
        self.count_by_kind: collections.Counter[str] = collections.Counter()

    def record(self, call: str, key: str, response: store_api.Response) -> None:
        """Records a call that has ended.

        Args:
            call: Name of the call.
            key: First key or prefix; empty for leases.
            response: The response.
        """
        prefix = "/".join(key.split("/")[:_KEY_DEPTH])
        outcome = type(response).__name__
        self.count_by_kind[f"{call} {prefix} {outcome}"] += 1

    @property
    def price(self) -> float:
        """What the calls cost."""
        return sum(
            count * (REDUCED_PRICE if _is_reduced(kind) else 1)
            for kind, count in self.count_by_kind.items()
        )

    def count(self, *parts: str) -> int:
        """Returns the number of calls whose kind contains all parts."""
        return sum(
            count
            for kind, count in self.count_by_kind.items()
            if all(part in kind for part in parts)
        )

    def clear(self) -> None:
        """Starts to count anew."""
        self.count_by_kind.clear()

    def __repr__(self) -> str:
        return f"StoreCallCounts({dict(self.count_by_kind.most_common())})"


class CountingStore:
    """Client of the store that counts its calls.

    Args:
        client: Client of the store.
        counts: Receives the calls.
    """

    def __init__(self, client, counts: StoreCallCounts) -> None:
        self._client = client
        self._counts = counts
        self.era = client.era

    def read(self, key: str) -> futures.Future:
        """Reads one key."""
        return self._record("read", key, self._client.read(key))

    def read_prefix(
        self, prefix: str, *, after_key: str = "", allow_stale: bool = False
    ) -> futures.Future:
        """Reads a page."""
        call = "stale_read_prefix" if allow_stale else "read_prefix"
        response = self._client.read_prefix(
            prefix, after_key=after_key, allow_stale=allow_stale
        )
        return self._record(call, prefix, response)

    def watch(self, prefix: str, **options) -> futures.Future:
        """Watches a prefix."""
        response = self._client.watch(prefix, **options)
        return self._record("watch", prefix, response)

    def commit(
        self, writes: list[store_api.Write], *, timeout_ms: int
    ) -> futures.Future:
        """Executes writes."""
        response = self._client.commit(writes, timeout_ms=timeout_ms)
        return self._record("commit", writes[0].key, response)

    def grant_lease(self, *, ttl_ms: int) -> futures.Future:
        """Grants a lease."""
        response = self._client.grant_lease(ttl_ms=ttl_ms)
        return self._record("grant_lease", "", response)

    def renew_lease(self, lease_id: int) -> futures.Future:
        """Renews a lease."""
        response = self._client.renew_lease(lease_id)
        return self._record("renew_lease", "", response)

    def revoke_lease(self, lease_id: int) -> futures.Future:
        """Revokes a lease."""
        response = self._client.revoke_lease(lease_id)
        return self._record("revoke_lease", "", response)

    def _record(
        self, call: str, key: str, response: futures.Future
    ) -> futures.Future:
        response.add_done_callback(
            lambda done: self._counts.record(call, key, done.result())
        )
        return response

    def __repr__(self) -> str:
        return f"CountingStore({self._client!r})"


def _is_reduced(kind: str) -> bool:
    return kind.startswith(("renew_lease", "stale_"))
