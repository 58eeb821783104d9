"""Members and assignments together, with digests and what to pass on."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from bambooglade.core import identifiers
from bambooglade.fleet import dissemination
from bambooglade.fleet import members as members_
from bambooglade.fleet import messages
from bambooglade.fleet import state_digest
from bambooglade.shards import assignments

MAX_MEMBERS_PER_MESSAGE = 4
MAX_ASSIGNMENTS_PER_MESSAGE = 4
MAX_ITEMS_PER_PART = 300


class UpdateBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Updates to pass on with one message."""

    members: tuple[messages.MemberUpdate, ...]
    places: tuple[messages.AssignmentUpdate, ...]


class GossipState:
    """What this instance believes, and what it has to tell the others.

    Args:
        assignment_map: Shared with the rest of the instance; what changes
            there is passed on, and what others tell is learned there.
    """

    __slots__ = (
        "_assignment_map",
        "_assignment_updates",
        "_digest",
        "_member_updates",
        "members",
    )

    def __init__(self, assignment_map: assignments.AssignmentMap) -> None:
        self.members = members_.Members()
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
        """Digest of all beliefs."""
        return self._digest.root

    def merge_member(
        self,
        update: messages.MemberUpdate,
        *,
        now_ms: int,
        pass_on: bool = True,
    ) -> bool:
        """Merges an update on a member; passes it on if it is new.

        Args:
            update: The update.
            now_ms: Milliseconds since the epoch.
            pass_on: Whether it rides on the next pings. What a comparison of
                digests brought in bulk need not: the others compare, too.
        """
        if not self.members.merge(update, now_ms=now_ms):
            return False
        merged = self.members.get(update.instance_id).update
        self._digest.set(
            _member_key(merged.instance_id), _member_version(merged)
        )
        if pass_on:
            self._member_updates.put(merged.instance_id, merged)
        return True

    def merge_assignments(
        self, updates: Iterable[messages.AssignmentUpdate]
    ) -> None:
        """Learns assignments that another instance told."""
        for update in updates:
            self._assignment_map.merge(*_assignment_from(update))

    def queue_changed_assignments(self) -> None:
        """Notes the assignments that changed in the shared map."""
        for place in self._assignment_map.take_changed():
            assignment = self._assignment_map.get(place)
            self._digest.set(
                _place_key(place), f"{assignment.epoch}.{assignment.version}"
            )
            self._assignment_updates.put(
                place, _assignment_update(place, assignment)
            )

    def evict_dead(self, *, now_ms: int) -> None:
        """Forgets long dead members."""
        for instance_id in self.members.evict_dead(now_ms=now_ms):
            self._digest.remove(_member_key(instance_id))

    def next_updates(self) -> UpdateBatch:
        """Returns what rides on the next message."""
        count = sum(1 for _ in self.members.live())
        return UpdateBatch(
            members=self._member_updates.take(members=count),
            places=self._assignment_updates.take(members=count),
        )

    def digests(self) -> messages.StateDigests:
        """Returns the digests of all buckets."""
        return messages.StateDigests(digests=self._digest.encode())

    def differing_part(self, told: messages.StateDigests) -> messages.StatePart:
        """Returns the contents of differing buckets, and asks for theirs."""
        buckets = list(self._digest.differing_buckets(told.digests))
        return self.part(buckets, ask=True)

    def part(self, buckets: list[int], *, ask: bool) -> messages.StatePart:
        """Returns the contents of buckets, as many as fit a message.

        Whole buckets are taken in order, so that repeating the comparison
        makes progress.
        """
        contents = self._contents(set(buckets))
        taken = _PartBuilder()
        for bucket in buckets:
            if taken.is_full:
                break
            taken.add(contents.get(bucket, _BucketContents()))
        return messages.StatePart(
            members=tuple(taken.members),
            places=tuple(taken.places),
            wanted_buckets=tuple(buckets) if ask else (),
            more=taken.buckets < len(buckets),
        )

    def _contents(self, wanted: set[int]) -> dict[int, _BucketContents]:
        by_bucket: dict[int, _BucketContents] = {}
        for member in self.members.all():
            key = _member_key(member.update.instance_id)
            bucket = state_digest.bucket_of(key)
            if bucket in wanted:
                contents = by_bucket.setdefault(bucket, _BucketContents())
                contents.members.append(member.update)
        for place, assignment in self._assignment_map.items():
            bucket = state_digest.bucket_of(_place_key(place))
            if bucket in wanted:
                contents = by_bucket.setdefault(bucket, _BucketContents())
                contents.places.append(_assignment_update(place, assignment))
        return by_bucket

    def __repr__(self) -> str:
        return f"GossipState(members={self.members!r}, root={self.root})"


class _BucketContents:
    """Members and places of one bucket."""

    __slots__ = ("members", "places")

    def __init__(self) -> None:
        self.members: list[messages.MemberUpdate] = []
        self.places: list[messages.AssignmentUpdate] = []


class _PartBuilder(_BucketContents):
    """Contents of the buckets that go into one message."""

    __slots__ = ("buckets",)

    def __init__(self) -> None:
        super().__init__()
        self.buckets = 0

    @property
    def is_full(self) -> bool:
        """Whether no further bucket is taken."""
        return len(self.members) + len(self.places) >= MAX_ITEMS_PER_PART

    def add(self, contents: _BucketContents) -> None:
        """Takes the contents of one more bucket."""
        self.buckets += 1
        self.members.extend(contents.members)
        self.places.extend(contents.places)


def _member_key(instance_id: identifiers.InstanceId) -> str:
    return f"member/{instance_id}"


def _place_key(place: assignments.ZoneShard) -> str:
    return f"place/{place.shard}/{place.availability_zone}"


def _member_version(update: messages.MemberUpdate) -> str:
    return f"{update.incarnation}.{update.status}.{update.leaving}"


def _assignment_from(
    update: messages.AssignmentUpdate,
) -> tuple[assignments.ZoneShard, assignments.Assignment]:
    place = assignments.ZoneShard(
        shard=update.shard, availability_zone=update.availability_zone
    )
    assignment = assignments.Assignment(
        epoch=update.epoch,
        version=update.version,
        primary=update.primary,
        backup=update.backup,
        history_lost_at_ms=update.history_lost_at_ms,
    )
    return place, assignment


def _assignment_update(
    place: assignments.ZoneShard, assignment: assignments.Assignment
) -> messages.AssignmentUpdate:
    return messages.AssignmentUpdate(
        shard=place.shard,
        availability_zone=place.availability_zone,
        epoch=assignment.epoch,
        version=assignment.version,
        primary=assignment.primary,
        backup=assignment.backup,
        history_lost_at_ms=assignment.history_lost_at_ms,
    )
