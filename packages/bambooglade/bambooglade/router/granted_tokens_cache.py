"""Cache of the tokens granted out of accounts, for checks of spend limits."""

from __future__ import annotations

from collections.abc import Iterable
import threading

from bambooglade.core import effects
from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.shards import document as documents
from bambooglade.store import services


class GrantedTokensCache:
    """Caches the tokens granted out of accounts, as of their last read.

    The checks run within decisions, which must not block on the platform's
    key-value service. The thread that serves an operator's edit therefore
    refreshes the cache first.

    Args:
        store: The platform's key-value service.
        shard_count: Number of shards.

    See Also:
        bambooglade.table.checks.Checker: uses the amounts.
    """

    __slots__ = ("_by_budget_id", "_lock", "_shard_count", "_store")

    def __init__(
        self, store: services.KeyValueStore, *, shard_count: int
    ) -> None:
        self._store = store
        self._shard_count = shard_count
        self._lock = threading.Lock()
        self._by_budget_id: dict[identifiers.BudgetId, int] = {}

    def refresh(self, budget_ids: Iterable[identifiers.BudgetId]) -> None:
        """Reads the amounts of accounts; keeps the cached ones on failure."""
        for budget_id in budget_ids:
            granted = self._read(budget_id)
            if granted is not None:
                with self._lock:
                    self._by_budget_id[budget_id] = granted

    def __call__(self, budget_id: identifiers.BudgetId) -> int:
        """Returns the tokens granted out; 0 for an account never read."""
        with self._lock:
            return self._by_budget_id.get(budget_id, 0)

    def _read(self, budget_id: identifiers.BudgetId) -> int | None:
        shard = hashing.shard_of(budget_id, shard_count=self._shard_count)
        response = self._store.read(
            effects.ReadDocument(key=documents.document_key(shard))
        )
        if not isinstance(response, effects.DocumentRead):
            return None
        document = documents.decode(response.value)
        account = document.account_by_budget_id.get(budget_id)
        return account.prepaid_tokens - account.free_tokens if account else 0

    def __repr__(self) -> str:
        return f"GrantedTokensCache(accounts={len(self._by_budget_id)})"
