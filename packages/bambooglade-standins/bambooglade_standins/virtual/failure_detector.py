"""Simulated failure detector of each virtual instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bambooglade.core import identifiers

if TYPE_CHECKING:
    from bambooglade_standins.virtual import fleet as virtual_fleet
    from bambooglade_standins.virtual import instances

DETECTION_MS = 3_000
"""Time for which an instance is unreachable before others suspect it."""


class DetectedFleet:
    """A `FleetView` that suspects instances after `DETECTION_MS`.

    As with a real failure detector, two instances may disagree during a
    partition, and a paused instance is suspected although it will resume.

    Args:
        fleet: The virtual fleet.
        viewer: The instance that observes the others.
    """

    __slots__ = ("_fleet", "_viewer")

    def __init__(
        self,
        fleet: virtual_fleet.VirtualFleet,
        viewer: instances.VirtualInstance,
    ) -> None:
        self._fleet = fleet
        self._viewer = viewer

    def live_in_zone(
        self, availability_zone: identifiers.AvailabilityZone
    ) -> tuple[identifiers.InstanceId, ...]:
        """Returns the instances of a zone that are not suspected, sorted."""
        return tuple(
            sorted(
                instance.instance_id
                for instance in self._fleet.instance_by_id.values()
                if instance.availability_zone == availability_zone
                and not self.is_suspected(instance.instance_id)
                and not instance.stopping
            )
        )

    def zone_of(
        self, instance_id: identifiers.InstanceId
    ) -> identifiers.AvailabilityZone | None:
        """Returns the zone of an instance, or None if it never existed."""
        instance = self._fleet.instance_by_id.get(instance_id)
        return instance.availability_zone if instance else None

    def is_suspected(self, instance_id: identifiers.InstanceId) -> bool:
        """Returns whether the viewer suspects the instance."""
        instance = self._fleet.instance_by_id.get(instance_id)
        if instance is None:
            return True
        if instance is self._viewer:
            return False
        if instance.stopping and self._is_reachable(instance):
            return True
        unreachable_since_ms = (
            instance.stopped_since_ms,
            self._fleet.network.cut_since_ms(
                self._viewer.availability_zone, instance.availability_zone
            ),
        )
        return any(
            since_ms is not None
            and self._fleet.now_ms - since_ms >= DETECTION_MS
            for since_ms in unreachable_since_ms
        )

    def _is_reachable(self, instance: instances.VirtualInstance) -> bool:
        return self._fleet.network.is_connected(
            self._viewer.availability_zone, instance.availability_zone
        )

    def __repr__(self) -> str:
        return f"DetectedFleet(viewer={self._viewer.instance_id})"
