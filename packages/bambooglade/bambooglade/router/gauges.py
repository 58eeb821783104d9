"""Updates the gauges of an instance from its current state."""

from __future__ import annotations

from collections.abc import Iterator

from bambooglade.budgets import account_registry_factory
from bambooglade.core import effects
from bambooglade.fleet import membership as memberships
from bambooglade.fleet import messages as fleet_messages
from bambooglade.router import assembly
from bambooglade.router import metrics as metrics_lib
from bambooglade.router import target_directory
from bambooglade.targets import exclusions

_ACCOUNTS = account_registry_factory.AccountRegistryFactory.name
PAUSE_MS = 1_000


class Gauges:
    """Updates the gauges from the state of the instance.

    `refresh` has to run as a decision of the runtime, so that no other decision
    changes the state meanwhile.

    Args:
        networked: Components of the instance.
        metrics: Metrics that contain the gauges.
        directory: Chooses targets.
    """

    __slots__ = (
        "_components",
        "_directory",
        "_exclusions",
        "_membership",
        "_metrics",
    )

    def __init__(
        self,
        networked: assembly.NetworkedComponents,
        metrics: metrics_lib.Metrics,
        directory: target_directory.TargetDirectory,
    ) -> None:
        self._directory = directory
        self._components = networked.components
        self._membership: memberships.Membership = networked.membership
        self._metrics = metrics
        self._exclusions = exclusions.ExclusionLog(networked.table)

    def refresh(self, now_ms: int) -> Iterator[effects.Effects]:
        """Sets all gauges; returns no effects."""
        del now_ms
        served = [
            replica
            for replica in self._components.host.replicas()
            if replica.is_primary
        ]
        accounts = [
            state.account
            for replica in served
            for state in replica.registry(_ACCOUNTS).states()
        ]
        alive = [
            member
            for member in self._membership.members()
            if member.status is fleet_messages.Status.ALIVE
        ]
        excluded_zones, excluded_targets = self._exclusions.refresh()
        value_by_gauge = {
            metrics_lib.EVACUATED_ZONES: excluded_zones,
            metrics_lib.EXCLUDED_TARGETS: excluded_targets,
            metrics_lib.COLD_TARGETS: self._directory.refresh_warm_ups(),
            metrics_lib.INSTANCES: len(alive),
            metrics_lib.SHARDS_SERVED: len(served),
            metrics_lib.HELD_TOKENS: sum(
                account.held_tokens for account in accounts
            ),
            metrics_lib.UNUSED_TOKENS: sum(
                account.unused for account in accounts
            ),
        }
        for gauge, value in value_by_gauge.items():
            self._metrics.set_gauge(gauge, value)
        return iter(())

    def __repr__(self) -> str:
        return f"Gauges({self._components.instance_id!r})"
