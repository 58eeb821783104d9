"""A model engine on virtual time, for comparing routing policies."""

from __future__ import annotations

import collections
import heapq

import msgspec

from bambooglade.targets import load
from bambooglade_standins.engine import prefix_cache


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """A request, as the engine sees it."""

    blocks: tuple[str, ...]
    tokens: int


class Finished(msgspec.Struct, frozen=True, kw_only=True):
    """A request that the engine has taken.

    Attributes:
        first_token_ms: Time of the first token.
        end_ms: Time of the last one.
        cached_blocks: Blocks of the prompt that were in the cache.
    """

    first_token_ms: float
    end_ms: float
    cached_blocks: int


class EngineModel:
    """Slots, a queue in order of arrival, and a prefix cache.

    Args:
        slots: Streams that run at the same time.
        token_ms: Time per token.
        block_ms: Time per block of the prompt that is not cached.
        cache_blocks: Blocks that the cache holds.
        slow_factor: Multiplies all times.
        seed: Seed of the losses of cache events.
    """

    def __init__(
        self,
        *,
        slots: int,
        token_ms: float,
        block_ms: float,
        cache_blocks: int,
        slow_factor: float,
        seed: int,
    ) -> None:
        self._token_ms = token_ms * slow_factor
        self._block_ms = block_ms * slow_factor
        self._free_ms = [0.0] * slots
        self._history: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._ends: list[float] = []
        self.cache = prefix_cache.PrefixCache(
            capacity_blocks=cache_blocks, seed=seed
        )

    def take(self, work: Work, now_ms: float) -> Finished:
        """Puts a request into the queue, and returns when it will be done."""
        start_ms = max(now_ms, heapq.heappop(self._free_ms))
        cached = self.cache.use_blocks(work.blocks, int(start_ms))
        prefill_ms = (len(work.blocks) - cached) * self._block_ms
        first_ms = start_ms + prefill_ms + self._token_ms
        end_ms = first_ms + (work.tokens - 1) * self._token_ms
        heapq.heappush(self._free_ms, end_ms)
        heapq.heappush(self._ends, end_ms)
        self._note(now_ms)
        return Finished(
            first_token_ms=first_ms, end_ms=end_ms, cached_blocks=cached
        )

    def report(self, now_ms: float, *, lag_ms: int) -> load.LoadReport:
        """Returns the load as it was `lag_ms` ago."""
        self._note(now_ms)
        as_of_ms = now_ms - lag_ms
        known = [n for time_ms, n in self._history if time_ms <= as_of_ms]
        count = known[-1] if known else 0
        return load.LoadReport(running=count, age_ms=lag_ms)

    def _note(self, now_ms: float) -> None:
        while self._ends and self._ends[0] <= now_ms:
            heapq.heappop(self._ends)
        self._history.append((now_ms, len(self._ends)))
        while self._history[0][0] < now_ms - 10_000:
            self._history.popleft()
