"""Where to send what concerns an account or a key."""

from __future__ import annotations

from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.shards import assignments


class Directory:
    """Finds the instance to ask for a shard in an availability zone.

    Args:
        availability_zone: The own zone.
        arbiter_zones: All zones of the settings.
        shard_count: Number of shards of the deployment.
        assignment_map: The newest known assignments.
        fleet: The instances, as far as known.

    Examples:
        >>> zone = identifiers.AvailabilityZone("scot-a")
        >>> directory = Directory(availability_zone=zone, arbiter_zones=(zone,),
        ...     shard_count=4, assignment_map=assignments.AssignmentMap(),
        ...     fleet=view.FixedFleet({identifiers.InstanceId("i1"): zone}))
        >>> directory.recipient(directory.place_of("t1", zone))
        'i1'
    """

    __slots__ = (
        "_arbiter_zones",
        "_assignment_map",
        "_availability_zone",
        "_fleet",
        "_shard_count",
    )

    def __init__(
        self,
        *,
        availability_zone: identifiers.AvailabilityZone,
        arbiter_zones: tuple[identifiers.AvailabilityZone, ...],
        shard_count: int,
        assignment_map: assignments.AssignmentMap,
        fleet: view.FleetView,
    ) -> None:
        self._availability_zone = availability_zone
        self._arbiter_zones = arbiter_zones
        self._shard_count = shard_count
        self._assignment_map = assignment_map
        self._fleet = fleet

    def place_of(
        self, name: str, availability_zone: identifiers.AvailabilityZone
    ) -> assignments.ZoneShard:
        """Returns the place of an account or a key in a zone."""
        return assignments.ZoneShard(
            shard=hashing.shard_of(name, shard_count=self._shard_count),
            availability_zone=availability_zone,
        )

    def arbiter_place(
        self, key: identifiers.RequestKey
    ) -> assignments.ZoneShard:
        """Returns the place that decides on a key.

        The zone that the key names counts only if the settings have it.
        """
        zone = identifiers.arbiter_of(key)
        if zone not in self._arbiter_zones:
            zone = hashing.rendezvous(key, self._arbiter_zones)[0]
        return self.place_of(key, zone)

    def zones_for(self, name: str) -> list[identifiers.AvailabilityZone]:
        """Returns the zones to ask for an account: the own one first."""
        others = [
            zone
            for zone in self._arbiter_zones
            if zone != self._availability_zone
        ]
        return [self._availability_zone, *hashing.rendezvous(name, others)]

    def recipient(
        self, place: assignments.ZoneShard
    ) -> identifiers.InstanceId | None:
        """Returns the primary of a place, or who may know it; or None."""
        assignment = self._assignment_map.get(place)
        if assignment and not self._fleet.is_suspected(assignment.primary):
            return assignment.primary
        if assignment and assignment.backup:
            return assignment.backup
        live = self._fleet.live_in_zone(place.availability_zone)
        ranked = place.ranked(live)
        if ranked:
            return ranked[0]
        return assignment.primary if assignment else None

    def zone_of(
        self, instance_id: identifiers.InstanceId
    ) -> identifiers.AvailabilityZone | None:
        """Returns the zone of an instance, or None."""
        return self._fleet.zone_of(instance_id)

    def is_suspected(self, instance_id: identifiers.InstanceId) -> bool:
        """Returns whether an instance is suspected, leaving or gone."""
        return self._fleet.is_suspected(instance_id)

    def __repr__(self) -> str:
        return f"Directory(availability_zone={self._availability_zone!r})"
