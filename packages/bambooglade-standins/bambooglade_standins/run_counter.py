"""Counts runs per request key, for the oracle of the tests."""

from __future__ import annotations

import collections
from collections.abc import Mapping
import threading


class RunCounter:
    """How often each key was run; callable from any thread.

    Examples:
        >>> counter = RunCounter()
        >>> counter.add("k1")
        >>> counter.by_key()
        {'k1': 1}
    """

    __slots__ = ("_count_by_key", "_lock")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count_by_key: collections.Counter[str] = collections.Counter()

    def add(self, key: str) -> None:
        """Counts one run."""
        with self._lock:
            self._count_by_key[key] += 1

    def by_key(self) -> Mapping[str, int]:
        """Returns the number of runs of each key."""
        with self._lock:
            return dict(self._count_by_key)

    def __repr__(self) -> str:
        return f"RunCounter(keys={len(self._count_by_key)})"
