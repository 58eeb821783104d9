"""Known assignments of instances to the shards of availability zones."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from bambooglade.core import hashing
from bambooglade.core import identifiers


class ZoneShard(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A shard in one availability zone; it contains accounts and claims."""

    shard: identifiers.ShardId
    availability_zone: identifiers.AvailabilityZone

    def ranked(
        self, instances: Iterable[identifiers.InstanceId]
    ) -> list[identifiers.InstanceId]:
        """Returns the instances ranked by preference as primary of this shard.

        All instances compute the same order, so that callers can determine the
        likely primary without an assignment. Only the document decides.

        Examples:
            >>> zone_shard = ZoneShard(shard=identifiers.ShardId(3),
            ...     availability_zone=identifiers.AvailabilityZone("scot-a"))
            >>> sorted(zone_shard.ranked(["i1", "i2"]))
            ['i1', 'i2']
        """
        return hashing.rendezvous(f"shard/{self.shard}", instances)


class Assignment(msgspec.Struct, frozen=True, kw_only=True):
    """The primary and backup of a shard in a zone at an epoch.

    Attributes:
        epoch: Fencing number; incremented with every change of the primary.
        primary: The instance that serves the shard.
        backup: The instance that has a full copy; None if there is none.
        version: Incremented with every change of the backup within an epoch.
        history_lost_at_ms: When both copies were last lost; None if never.
        inherited_epoch: Epoch of the full copy that the primary has as the
            former backup; None if it started without a copy.
    """

    epoch: identifiers.Epoch
    primary: identifiers.InstanceId
    backup: identifiers.InstanceId | None
    version: int = 0
    history_lost_at_ms: int | None = None
    inherited_epoch: identifiers.Epoch | None = None


class AssignmentMap:
    """Cache of the newest known assignment of each shard and zone.

    The document of the shard in the platform's service is authoritative. An
    older epoch never replaces a newer one.

    Examples:
        >>> zone_shard = ZoneShard(shard=identifiers.ShardId(3),
        ...     availability_zone=identifiers.AvailabilityZone("scot-a"))
        >>> map_ = AssignmentMap()
        >>> map_.merge(zone_shard, Assignment(epoch=identifiers.Epoch(1),
        ...     primary=identifiers.InstanceId("i1"), backup=None))
        True
        >>> map_.primary(zone_shard)
        'i1'
    """

    __slots__ = ("_by_zone_shard", "_changed")

    def __init__(self) -> None:
        self._by_zone_shard: dict[ZoneShard, Assignment] = {}
        self._changed: set[ZoneShard] = set()

    def merge(self, zone_shard: ZoneShard, assignment: Assignment) -> bool:
        """Stores the assignment if it is newer than the known one.

        Returns:
            Whether the map changed.
        """
        known = self._by_zone_shard.get(zone_shard)
        if known is not None and _order(known) >= _order(assignment):
            return False
        self._by_zone_shard[zone_shard] = assignment
        self._changed.add(zone_shard)
        return True

    def take_changed(self) -> frozenset[ZoneShard]:
        """Returns the shards and zones that changed since the last call."""
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def get(self, zone_shard: ZoneShard) -> Assignment | None:
        """Returns the newest known assignment of a shard in a zone, or None."""
        return self._by_zone_shard.get(zone_shard)

    def primary(self, zone_shard: ZoneShard) -> identifiers.InstanceId | None:
        """Returns the newest known primary of a shard in a zone, or None."""
        assignment = self._by_zone_shard.get(zone_shard)
        return assignment.primary if assignment else None

    def items(self) -> Iterable[tuple[ZoneShard, Assignment]]:
        """Returns all shards and zones with their assignments."""
        return self._by_zone_shard.items()

    def served_by(
        self, instance_id: identifiers.InstanceId
    ) -> Iterator[ZoneShard]:
        """Yields the shards and zones whose primary is the instance."""
        return (
            zone_shard
            for zone_shard, assignment in self._by_zone_shard.items()
            if assignment.primary == instance_id
        )

    def __repr__(self) -> str:
        return f"AssignmentMap(places={len(self._by_place)})"


def _order(assignment: Assignment) -> tuple[int, int]:
    return (assignment.epoch, assignment.version)
