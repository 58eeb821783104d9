"""Plays callers and faults against a policy, on virtual time."""

from __future__ import annotations

from collections.abc import Callable
import functools
import random
from typing import Protocol

from bambooglade.core import identifiers
from bambooglade_standins.virtual import event_queue
from benchmarks import cases
from benchmarks import truth as truth_module
from benchmarks import workloads

RETRY_MS = 300
"""A caller whose connection broke asks in another zone after this time."""

SETTLE_MS = 20_000
"""Time after the last arrival in which everything comes to rest."""


class Policy(Protocol):
    """What a driver needs of the policy that it plays against."""

    queue: event_queue.EventQueue

    def submit(
        self,
        zone: identifiers.AvailabilityZone,
        arrival: workloads.Arrival,
        aborted: Callable[[], None],
    ) -> None:
        """Takes a call; `aborted` is called if its instance dies."""
        ...

    def apply(self, event: cases.Event) -> None:
        """Lets a fault happen."""
        ...

    def stranded_tokens(self) -> int:
        """Returns the rights that are neither spent nor usable."""
        ...

    def service_calls(self) -> int:
        """Returns how often the platform's service was called."""
        ...


class Driver:
    """Gives the arrivals and the faults of a case to a policy.

    Args:
        policy: The policy.
        deployment: Zones, for retries elsewhere.
        case: The faults.
        arrivals: The requests.
        duration_ms: Length of the run.
        seed: Seed of the callers' choices.
    """

    __slots__ = (
        "_arrivals",
        "_case",
        "_deployment",
        "_duration_ms",
        "_policy",
        "_rng",
    )

    def __init__(
        self,
        *,
        policy: Policy,
        deployment: workloads.Deployment,
        case: cases.Case,
        arrivals: list[workloads.Arrival],
        duration_ms: int,
        seed: int,
    ) -> None:
        self._policy = policy
        self._deployment = deployment
        self._case = case
        self._arrivals = arrivals
        self._duration_ms = duration_ms
        self._rng = random.Random(seed)

    def run(self, truth: truth_module.Truth) -> None:
        """Runs the case to its end."""
        truth.counts.requests = len(self._arrivals)
        queue = self._policy.queue
        for arrival in self._arrivals:
            queue.after(
                delay_ms=arrival.at_ms,
                action=functools.partial(self._submit, arrival.zone, arrival),
            )
        for event in self._case.events:
            queue.after(
                delay_ms=int(event.at * self._duration_ms),
                action=functools.partial(self._policy.apply, event),
            )
        queue.run_for(duration_ms=self._duration_ms + SETTLE_MS)

    def _submit(
        self,
        zone: identifiers.AvailabilityZone,
        arrival: workloads.Arrival,
    ) -> None:
        retry = functools.partial(self._retry, zone, arrival)
        self._policy.submit(zone, arrival, retry)

    def _retry(
        self,
        zone: identifiers.AvailabilityZone,
        arrival: workloads.Arrival,
    ) -> None:
        others = [other for other in self._deployment.zones if other != zone]
        self._policy.queue.after(
            delay_ms=RETRY_MS,
            action=functools.partial(
                self._submit, self._rng.choice(others), arrival
            ),
        )

    def __repr__(self) -> str:
        return f"Driver(case={self._case.name}, arrivals={len(self._arrivals)})"
