"""Applies the platform's list of instances to the membership."""

from __future__ import annotations

from collections.abc import Iterator

from bambooglade.core import clock as clocks
from bambooglade.core import effects
from bambooglade.fleet import membership as memberships
from bambooglade.router import runtime as runtimes
from bambooglade.router import target_directory
from bambooglade.store import services

PAUSE_MS = 1_000
"""Pause between two reads of the list."""


class FleetRefresh:
    """Reads the list of instances, and updates the size of the fleet.

    The limit on calls to the key-value service is divided by the fleet size.
    The limits of targets that have just started are shared by the instances.

    Args:
        instance_list: The platform's list; None if there is none.
        membership: The instance's view of the fleet.
        runtime: Runs decisions.
        clock: Source of the current time.
        directory: Chooses targets.
        own_url: Base URL of this instance.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_instance_list",
        "_membership",
        "_own_url",
        "_runtime",
    )

    def __init__(
        self,
        *,
        instance_list: services.InstanceList | None,
        membership: memberships.Membership,
        runtime: runtimes.Runtime,
        clock: clocks.Clock,
        directory: target_directory.TargetDirectory,
        own_url: str,
    ) -> None:
        self._directory = directory
        self._own_url = own_url
        self._instance_list = instance_list
        self._membership = membership
        self._runtime = runtime
        self._clock = clock

    def refresh(self) -> None:
        """Reads the list once; a failed read does not change the membership."""
        # Set before the list is read, which may take long.
        self._directory.set_fleet(
            self._own_url, self._membership.urls(now_ms=self._clock.now_ms())
        )
        listed = self._instance_list and self._instance_list.instances()
        if listed:
            self._runtime.decide(lambda now_ms: self._apply(listed, now_ms))
        now_ms = self._clock.now_ms()
        self._runtime.documents.set_fleet_size(
            self._membership.fleet_size(now_ms=now_ms)
        )

    def _apply(
        self, listed: list[services.ListedInstance], now_ms: int
    ) -> Iterator[effects.Effects]:
        self._membership.apply_instance_list(listed, now_ms)
        yield from ()

    def __repr__(self) -> str:
        return f"FleetRefresh({self._instance_list!r})"
