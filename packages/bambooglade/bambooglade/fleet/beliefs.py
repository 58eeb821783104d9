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
MAX_PLACES_PER_MESSAGE = 4
MAX_ITEMS_PER_PART = 300


class News(msgspec.Struct, frozen=True, kw_only=True):
    """Updates to pass on with one message."""

    members: tuple[messages.MemberUpdate, ...]
    places: tuple[messages.AssignmentUpdate, ...]


class Beliefs:
    """What this instance believes, and what it has to tell the others.

    Args:
        assignment_map: Shared with the rest of the instance; what changes
            there is passed on, and what others tell is learned there.
    """

    __slots__ = ("_digest", "_map", "_member_news", "_place_news", "members")

    def __init__(self, assignment_map: assignments.AssignmentMap) -> None:
        self.members = members_.Members()
        self._map = assignment_map
        self._digest = state_digest.StateDigest()
        self._member_news: dissemination.Dissemination[
            messages.MemberUpdate
        ] = dissemination.Dissemination(max_per_message=MAX_MEMBERS_PER_MESSAGE)
        self._place_news: dissemination.Dissemination[
            messages.AssignmentUpdate
        ] = dissemination.Dissemination(max_per_message=MAX_PLACES_PER_MESSAGE)

    @property
    def root(self) -> int:
        """Digest of all beliefs."""
        return self._digest.root

    def learn_member(
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
        self._digest.set(_member_key(merged.instance_id), _version(merged))
        if pass_on:
            self._member_news.put(merged.instance_id, merged)
        return True

    def learn_places(
        self, updates: Iterable[messages.AssignmentUpdate]
    ) -> None:
        """Learns assignments that another instance told."""
        for update in updates:
            self._map.merge(*_assignment(update))

    def take_in_changes(self) -> None:
        """Notes the assignments that changed in the shared map."""
        for place in self._map.take_changed():
            assignment = self._map.get(place)
            self._digest.set(
                _place_key(place), f"{assignment.epoch}.{assignment.version}"
            )
            self._place_news.put(place, _place_update(place, assignment))

    def forget_dead(self, *, now_ms: int) -> None:
        """Forgets long dead members."""
        for instance_id in self.members.forget_dead(now_ms=now_ms):
            self._digest.remove(_member_key(instance_id))

    def news(self) -> News:
        """Returns what rides on the next message."""
        count = sum(1 for _ in self.members.live())
        return News(
            members=self._member_news.take(members=count),
            places=self._place_news.take(members=count),
        )

    def digests(self) -> messages.StateDigests:
        """Returns the digests of all buckets."""
        return messages.StateDigests(digests=self._digest.encode())

    def differences(self, told: messages.StateDigests) -> messages.StatePart:
        """Returns the contents of differing buckets, and asks for theirs."""
        buckets = list(self._digest.differing(told.digests))
        return self.part(buckets, ask=True)

    def part(self, buckets: list[int], *, ask: bool) -> messages.StatePart:
        """Returns the contents of buckets, as many as fit a message.

        Whole buckets are taken in order, so that repeating the comparison
        makes progress.
        """
        contents = self._contents(set(buckets))
        taken = _Taken()
        for bucket in buckets:
            if taken.is_full:
                break
            taken.add(contents.get(bucket, _Contents()))
        return messages.StatePart(
            members=tuple(taken.members),
            places=tuple(taken.places),
            wanted_buckets=tuple(buckets) if ask else (),
            more=taken.buckets < len(buckets),
        )

    def _contents(self, wanted: set[int]) -> dict[int, _Contents]:
        by_bucket: dict[int, _Contents] = {}
        for member in self.members.all():
            key = _member_key(member.update.instance_id)
            bucket = state_digest.bucket_of(key)
            if bucket in wanted:
                contents = by_bucket.setdefault(bucket, _Contents())
                contents.members.append(member.update)
        for place, assignment in self._map.items():
            bucket = state_digest.bucket_of(_place_key(place))
            if bucket in wanted:
                contents = by_bucket.setdefault(bucket, _Contents())
                contents.places.append(_place_update(place, assignment))
        return by_bucket

    def __repr__(self) -> str:
        return f"Beliefs(members={self.members!r}, root={self.root})"


class _Contents:
    """Members and places of one bucket."""

    __slots__ = ("members", "places")

    def __init__(self) -> None:
        self.members: list[messages.MemberUpdate] = []
        self.places: list[messages.AssignmentUpdate] = []


class _Taken(_Contents):
    """Contents of the buckets that go into one message."""

    __slots__ = ("buckets",)

    def __init__(self) -> None:
        super().__init__()
        self.buckets = 0

    @property
    def is_full(self) -> bool:
        """Whether no further bucket is taken."""
        return len(self.members) + len(self.places) >= MAX_ITEMS_PER_PART

    def add(self, contents: _Contents) -> None:
        """Takes the contents of one more bucket."""
        self.buckets += 1
        self.members.extend(contents.members)
        self.places.extend(contents.places)


def _member_key(instance_id: identifiers.InstanceId) -> str:
    return f"member/{instance_id}"


def _place_key(place: assignments.ZoneShard) -> str:
    return f"place/{place.shard}/{place.availability_zone}"


def _version(update: messages.MemberUpdate) -> str:
    return f"{update.incarnation}.{update.status}.{update.leaving}"


def _assignment(
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


def _place_update(
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
