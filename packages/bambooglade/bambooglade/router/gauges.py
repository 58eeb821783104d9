"""Updates the gauges of an instance from its current state."""

from __future__ import annotations

from collections.abc import Iterator

from absl import logging

from bambooglade.budgets import account_registry_factory
from bambooglade.core import effects
from bambooglade.fleet import membership as memberships
from bambooglade.fleet import messages as fleet_messages
from bambooglade.router import assembly
from bambooglade.router import metrics as metrics_lib
from bambooglade.router import target_directory
from bambooglade.targets import exclusions
from bambooglade.transport import message_budget as message_budget_lib

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
        message_budget: Bytes of the requests of the process.
    """

    __slots__ = (
        "_components",
        "_directory",
        "_exclusions",
        "_given_up_count",
        "_membership",
        "_message_budget",
        "_metrics",
        "_refused_count",
    )

    def __init__(
        self,
        networked: assembly.NetworkedComponents,
        metrics: metrics_lib.Metrics,
        directory: target_directory.TargetDirectory,
        message_budget: message_budget_lib.MessageBudget,
    ) -> None:
        self._message_budget = message_budget
        self._given_up_count = 0
        self._refused_count = 0
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
            metrics_lib.HELD_BYTES: self._message_budget.held_bytes,
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
        self._report_given_up_clients()
        return iter(())

    def _report_given_up_clients(self) -> None:
        """Counts and logs the requests that were given up, if there are any.

        Clients may be given up thousands of times a second, so that one line
        covers all since the last call.
        """
        budget = self._message_budget
        given_up = budget.given_up_count - self._given_up_count
        refused = budget.refused_count - self._refused_count
        if not given_up and not refused:
            return
        self._given_up_count += given_up
        self._refused_count += refused
        self._metrics.record_given_up_clients(given_up, reason="memory")
        self._metrics.record_given_up_clients(refused, reason="no_room")
        logging.warning(
            "event=clients_given_up memory=%d no_room=%d held_bytes=%d"
            " limit_bytes=%d",
            given_up,
            refused,
            budget.held_bytes,
            budget.limit_bytes,
        )

    def __repr__(self) -> str:
        return f"Gauges({self._components.instance_id!r})"
