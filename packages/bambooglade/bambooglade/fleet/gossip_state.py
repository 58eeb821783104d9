"""Members and assignments that gossip replicates, with digests and updates."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from bambooglade.core import identifiers
from bambooglade.fleet import dissemination
from bambooglade.fleet import members as members_lib
from bambooglade.fleet import messages
from bambooglade.fleet import state_digest
from bambooglade.shards import assignments

MAX_MEMBERS_PER_MESSAGE = 4
MAX_ASSIGNMENTS_PER_MESSAGE = 4
MAX_ITEMS_PER_PART = 300


class UpdateBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Updates to send with one message."""

    members: tuple[messages.MemberUpdate, ...]
    places: tuple[messages.AssignmentUpdate, ...]


class GossipState:
    """Members and assignments, their digests, and the updates to disseminate.

    Args:
        assignment_map: Shared with the rest of the instance. Changes in it are
            disseminated, and updates of other instances are applied to it.
    """

    __slots__ = (
        "_assignment_map",
        "_assignment_updates",
        "_digest",
        "_member_updates",
        "members",
    )

    def __init__(self, assignment_map: assignments.AssignmentMap) -> None:
        self.members = members_lib.Members()
        self._assignment_map = assignment_map
        self._digest = state_digest.StateDigest()
        self._member_updates: dissemination.DisseminationQueue[
            messages.MemberUpdate
        ] = dissemination.DisseminationQueue(
            max_per_message=MAX_MEMBERS_PER_MESSAGE
        )
        self._assignment_updates: dissemination.DisseminationQueue[
            messages.AssignmentUpdate
        ] = dissemination.DisseminationQueue(
            max_per_message=MAX_ASSIGNMENTS_PER_MESSAGE
        )

    @property
    def root(self) -> int:
        """Digest of all members and assignments."""
        return self._digest.root

    def merge_member(
        self,
        update: messages.MemberUpdate,
        *,
        now_ms: int,
        disseminate: bool = True,
    ) -> bool:
        """Merges an update of a member; returns whether it changed the state.

        Args:
            update: The update.
            now_ms: Milliseconds since the epoch.
            disseminate: Whether to queue a change for the next pings. This is
                not needed for updates that a comparison of digests returned in
                bulk, because the other instances compare digests, too.
        """
        if not self.members.merge(update, now_ms=now_ms):
            return False
        merged = self.members.get(update.instance_id).update
        self._digest.set(
            _member_key(merged.instance_id), _member_version(merged)
        )
        if disseminate:
            self._member_updates.put(merged.instance_id, merged)
        return True

    def merge_assignments(
        self, updates: Iterable[messages.AssignmentUpdate]
    ) -> None:
        """Applies assignment updates of another instance."""
        for update in updates:
            self._assignment_map.merge(*_assignment_from(update))

    def queue_changed_assignments(self) -> None:
        """Queues the assignments that changed in the shared map."""
        for zone_shard in self._assignment_map.take_changed():
            assignment = self._assignment_map.get(zone_shard)
            self._digest.set(
                _zone_shard_key(zone_shard),
                f"{assignment.epoch}.{assignment.version}",
            )
            self._assignment_updates.put(
                zone_shard, _assignment_update(zone_shard, assignment)
            )

    def evict_dead(self, *, now_ms: int) -> None:
        """Evicts members that have been dead for `DEAD_RETENTION_MS`."""
        for instance_id in self.members.evict_dead(now_ms=now_ms):
            self._digest.remove(_member_key(instance_id))

    def next_updates(self) -> UpdateBatch:
        """Returns the updates for the next message."""
        count = sum(1 for _ in self.members.live())
        return UpdateBatch(
            members=self._member_updates.take(member_count=count),
            places=self._assignment_updates.take(member_count=count),
        )

    def digests(self) -> messages.StateDigests:
        """Returns the digests of all buckets."""
        return messages.StateDigests(digests=self._digest.encode())

    def differing_part(
        self, remote: messages.StateDigests
    ) -> messages.StatePart:
        """Returns the contents of the buckets that differ.

        The message also requests the recipient's contents of these buckets.
        """
        buckets = list(self._digest.differing_buckets(remote.digests))
        return self.part(buckets, request_contents=True)

    def part(
        self, buckets: list[int], *, request_contents: bool
    ) -> messages.StatePart:
        """Returns the contents of buckets, up to the size of one message.

        Buckets are added completely and in order, so that each repetition of
        the comparison makes progress.

        Args:
            buckets: The buckets, in ascending order.
            request_contents: Whether to request the recipient's contents of
                the same buckets.
        """
        contents = self._bucket_contents(set(buckets))
        builder = _PartBuilder()
        for bucket in buckets:
            if builder.is_full:
                break
            builder.add(contents.get(bucket, _BucketContents()))
        return messages.StatePart(
            members=tuple(builder.members),
            places=tuple(builder.places),
            wanted_buckets=tuple(buckets) if request_contents else (),
            more=builder.bucket_count < len(buckets),
        )

    def _bucket_contents(self, buckets: set[int]) -> dict[int, _BucketContents]:
        by_bucket: dict[int, _BucketContents] = {}
        for member in self.members.all():
            key = _member_key(member.update.instance_id)
            bucket = state_digest.bucket_of(key)
            if bucket in buckets:
                contents = by_bucket.setdefault(bucket, _BucketContents())
                contents.members.append(member.update)
        for zone_shard, assignment in self._assignment_map.items():
            bucket = state_digest.bucket_of(_zone_shard_key(zone_shard))
            if bucket in buckets:
                contents = by_bucket.setdefault(bucket, _BucketContents())
                contents.places.append(
                    _assignment_update(zone_shard, assignment)
                )
        return by_bucket

    def __repr__(self) -> str:
        return f"GossipState(members={self.members!r}, root={self.root})"


class _BucketContents:
    """Members and assignments of one bucket."""

    __slots__ = ("members", "places")

    def __init__(self) -> None:
        self.members: list[messages.MemberUpdate] = []
        self.places: list[messages.AssignmentUpdate] = []


class _PartBuilder(_BucketContents):
    """Collects the buckets of one `messages.StatePart`."""

    __slots__ = ("bucket_count",)

    def __init__(self) -> None:
        super().__init__()
        self.bucket_count = 0

    @property
    def is_full(self) -> bool:
        """Whether the size limit is reached."""
        return len(self.members) + len(self.places) >= MAX_ITEMS_PER_PART

    def add(self, contents: _BucketContents) -> None:
        """Adds the contents of one bucket."""
        self.bucket_count += 1
        self.members.extend(contents.members)
        self.places.extend(contents.places)


def _member_key(instance_id: identifiers.InstanceId) -> str:
    return f"member/{instance_id}"


def _zone_shard_key(zone_shard: assignments.ZoneShard) -> str:
    return f"place/{zone_shard.shard}/{zone_shard.availability_zone}"


def _member_version(update: messages.MemberUpdate) -> str:
    return f"{update.incarnation}.{update.status}.{update.leaving}"


def _assignment_from(
    update: messages.AssignmentUpdate,
) -> tuple[assignments.ZoneShard, assignments.Assignment]:
    zone_shard = assignments.ZoneShard(
        shard=update.shard, availability_zone=update.availability_zone
    )
    assignment = assignments.Assignment(
        epoch=update.epoch,
        version=update.version,
        primary=update.primary,
        backup=update.backup,
        history_lost_at_ms=update.history_lost_at_ms,
    )
    return zone_shard, assignment


def _assignment_update(
    zone_shard: assignments.ZoneShard, assignment: assignments.Assignment
) -> messages.AssignmentUpdate:
    return messages.AssignmentUpdate(
        shard=zone_shard.shard,
        availability_zone=zone_shard.availability_zone,
        epoch=assignment.epoch,
        version=assignment.version,
        primary=assignment.primary,
        backup=assignment.backup,
        history_lost_at_ms=assignment.history_lost_at_ms,
    )
