"""Locates the instances that serve accounts and idempotency keys."""

from __future__ import annotations

from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.shards import assignments


class ShardLocator:
    """Locates the primary of a shard in an availability zone.

    Args:
        availability_zone: Availability zone of this instance.
        arbiter_zones: All availability zones in the settings.
        shard_count: Number of shards of the deployment.
        assignment_map: The latest known primaries and backups of the shards.
        fleet: Membership view of the instances.

    Examples:
        >>> zone = identifiers.AvailabilityZone("scot-a")
        >>> locator = ShardLocator(
        ...     availability_zone=zone, arbiter_zones=(zone,),
        ...     shard_count=4, assignment_map=assignments.AssignmentMap(),
        ...     fleet=view.FixedFleet({identifiers.InstanceId("i1"): zone}))
        >>> locator.recipient(locator.zone_shard_of("t1", zone))
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

    def zone_shard_of(
        self, name: str, availability_zone: identifiers.AvailabilityZone
    ) -> assignments.ZoneShard:
        """Returns the shard of an account or a key, in the given zone."""
        return assignments.ZoneShard(
            shard=hashing.shard_of(name, shard_count=self._shard_count),
            availability_zone=availability_zone,
        )

    def arbiter_zone_shard(
        self, key: identifiers.RequestKey
    ) -> assignments.ZoneShard:
        """Returns the zone shard whose primary is the arbiter of a key.

        The zone named in the key is used if it is in the settings; otherwise
        the zone is derived from a hash of the key.
        """
        zone = identifiers.arbiter_of(key)
        if zone not in self._arbiter_zones:
            zone = hashing.rendezvous(key, self._arbiter_zones)[0]
        return self.zone_shard_of(key, zone)

    def zones_by_preference(
        self, name: str
    ) -> list[identifiers.AvailabilityZone]:
        """Returns the zones to query for an account, the own one first."""
        others = [
            zone
            for zone in self._arbiter_zones
            if zone != self._availability_zone
        ]
        return [self._availability_zone, *hashing.rendezvous(name, others)]

    def recipient(
        self, zone_shard: assignments.ZoneShard
    ) -> identifiers.InstanceId | None:
        """Returns the instance to send to for a zone shard, or None.

        This is the primary. If it is suspected or unknown, the backup or a live
        instance of the zone is returned, which can redirect to the primary.
        """
        assignment = self._assignment_map.get(zone_shard)
        if assignment and not self._fleet.is_suspected(assignment.primary):
            return assignment.primary
        if assignment and assignment.backup:
            return assignment.backup
        live = self._fleet.live_in_zone(zone_shard.availability_zone)
        ranked = zone_shard.ranked(live)
        if ranked:
            return ranked[0]
        return assignment.primary if assignment else None

    def zone_of(
        self, instance_id: identifiers.InstanceId
    ) -> identifiers.AvailabilityZone | None:
        """Returns the zone of an instance; None if unknown."""
        return self._fleet.zone_of(instance_id)

    def is_suspected(self, instance_id: identifiers.InstanceId) -> bool:
        """Returns whether an instance is suspected, leaving or gone."""
        return self._fleet.is_suspected(instance_id)

    def __repr__(self) -> str:
        return f"ShardLocator(availability_zone={self._availability_zone!r})"
