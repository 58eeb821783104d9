"""Interface through which other packages query the fleet."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from bambooglade.core import identifiers


class FleetView(Protocol):
    """The instances of the fleet, as this instance sees them.

    The view is an estimate that may differ between instances. Safety
    properties must not depend on it.
    """

    def live_in_zone(
        self, availability_zone: identifiers.AvailabilityZone
    ) -> tuple[identifiers.InstanceId, ...]:
        """Returns the instances of a zone that accept work, sorted."""
        ...

    def zone_of(
        self, instance_id: identifiers.InstanceId
    ) -> identifiers.AvailabilityZone | None:
        """Returns the zone of a current or former instance, or None."""
        ...

    def is_suspected(self, instance_id: identifiers.InstanceId) -> bool:
        """Returns whether it is suspected, leaving, dead or unknown."""
        ...


class FixedFleet:
    """A fleet that never changes, for tests and single-instance deployments.

    Examples:
        >>> fleet = FixedFleet({identifiers.InstanceId("i1"):
        ...     identifiers.AvailabilityZone("scot-a")})
        >>> fleet.live_in_zone(identifiers.AvailabilityZone("scot-a"))
        ('i1',)
    """

    __slots__ = ("_zone_by_instance",)

    def __init__(
        self,
        zone_by_instance: Mapping[
            identifiers.InstanceId, identifiers.AvailabilityZone
        ],
    ) -> None:
        self._zone_by_instance = dict(zone_by_instance)

    def live_in_zone(
        self, availability_zone: identifiers.AvailabilityZone
    ) -> tuple[identifiers.InstanceId, ...]:
        """Returns the instances of a zone, sorted."""
        return tuple(
            sorted(
                instance_id
                for instance_id, zone in self._zone_by_instance.items()
                if zone == availability_zone
            )
        )

    def zone_of(
        self, instance_id: identifiers.InstanceId
    ) -> identifiers.AvailabilityZone | None:
        """Returns the zone of an instance, or None."""
        return self._zone_by_instance.get(instance_id)

    def is_suspected(self, instance_id: identifiers.InstanceId) -> bool:
        """Returns whether the instance is unknown."""
        return instance_id not in self._zone_by_instance

    def __repr__(self) -> str:
        return f"FixedFleet(instances={len(self._zone_by_instance)})"
