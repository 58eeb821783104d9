"""What really happened in a run, whatever the policy believed."""

from __future__ import annotations

import collections
from collections.abc import Mapping
import dataclasses

from bambooglade.core import identifiers
from benchmarks import workloads


@dataclasses.dataclass(slots=True)
class Counts:
    """Counters of one run."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    falsely_refused: int = 0
    unknown_outcomes: int = 0
    double_bills: int = 0
    double_runs: int = 0


class Truth:
    """Knows all runs, bills and prepaid amounts, as nobody in a fleet can.

    Args:
        prepaid_by_budget: What is prepaid at the start.
    """

    __slots__ = (
        "_billed_keys",
        "_finished_keys",
        "_overspend",
        "_run_by_id",
        "_runs_by_key",
        "billed",
        "counts",
        "prepaid",
        "spent",
    )

    def __init__(
        self, prepaid_by_budget: Mapping[identifiers.BudgetId, int]
    ) -> None:
        self.counts = Counts()
        self.prepaid = collections.Counter(prepaid_by_budget)
        self.spent: collections.Counter[identifiers.BudgetId] = (
            collections.Counter()
        )
        self.billed: collections.Counter[identifiers.BudgetId] = (
            collections.Counter()
        )
        self._overspend: collections.Counter[identifiers.BudgetId] = (
            collections.Counter()
        )
        self._run_by_id: dict[str, workloads.Arrival] = {}
        self._runs_by_key: collections.Counter[identifiers.RequestKey] = (
            collections.Counter()
        )
        self._finished_keys: set[identifiers.RequestKey] = set()
        self._billed_keys: set[identifiers.RequestKey] = set()

    @property
    def overspend_tokens(self) -> int:
        """The most that was billed beyond the prepaid amounts."""
        return sum(self._overspend.values())

    def free(self, budget_id: identifiers.BudgetId) -> int:
        """Returns what a perfectly informed fleet could still promise."""
        running = sum(
            arrival.kind.bound_tokens
            for arrival in self._run_by_id.values()
            if arrival.budget_id == budget_id
        )
        return self.prepaid[budget_id] - self.spent[budget_id] - running

    def has_run(self, key: identifiers.RequestKey) -> bool:
        """Returns whether a run of the key was ever started."""
        return self._runs_by_key[key] > 0

    def run_started(self, run_id: str, arrival: workloads.Arrival) -> None:
        """A run starts at a target."""
        self._run_by_id[run_id] = arrival
        self._runs_by_key[arrival.key] += 1
        if self._runs_by_key[arrival.key] > 1 and not arrival.kind.repeatable:
            self.counts.double_runs += 1

    def run_ended(self, run_id: str, *, finished: bool) -> None:
        """A run ends; one that is aborted costs nothing."""
        arrival = self._run_by_id.pop(run_id, None)
        if arrival is None or not finished:
            return
        if arrival.key not in self._finished_keys:
            self._finished_keys.add(arrival.key)
            self.spent[arrival.budget_id] += arrival.spent_tokens

    def bill(
        self,
        key: identifiers.RequestKey,
        budget_id: identifiers.BudgetId,
        tokens: int,
    ) -> None:
        """The policy bills a key."""
        if key in self._billed_keys:
            self.counts.double_bills += 1
        self._billed_keys.add(key)
        self.billed[budget_id] += tokens
        excess = self.billed[budget_id] - self.prepaid[budget_id]
        self._overspend[budget_id] = max(excess, self._overspend[budget_id])

    def refuse(self, arrival: workloads.Arrival) -> None:
        """The policy refuses a request for good."""
        self.counts.refused += 1
        if self.free(arrival.budget_id) >= arrival.kind.bound_tokens:
            self.counts.falsely_refused += 1

    def __repr__(self) -> str:
        return f"Truth({self.counts})"
