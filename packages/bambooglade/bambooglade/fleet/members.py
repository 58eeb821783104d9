"""The members of the fleet, as one instance sees them."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from bambooglade.core import identifiers
from bambooglade.fleet import messages

DEAD_RETENTION_MS = 24 * 3_600_000
"""Time for which a dead member is kept, so that a partition can heal."""


class Member(msgspec.Struct, kw_only=True):
    """One member.

    Attributes:
        update: The merged state of the member.
        changed_at_ms: When the state last changed; milliseconds since the
            epoch.
    """

    update: messages.MemberUpdate
    changed_at_ms: int

    @property
    def is_live(self) -> bool:
        """Whether the member is not dead; it may be suspected or leaving."""
        return self.update.status is not messages.Status.DEAD

    @property
    def accepts_work(self) -> bool:
        """Whether the member is neither dead nor leaving."""
        return self.is_live and not self.update.leaving


class Members:
    """All known members, merged from updates in any order.

    A higher incarnation wins; within an incarnation, the worse status wins.
    `leaving` is never reset.

    Examples:
        >>> members = Members()
        >>> alive = messages.MemberUpdate(instance_id="i1", incarnation=0,
        ...     status=messages.Status.ALIVE, leaving=False,
        ...     availability_zone="scot-a", url="http://127.0.0.1:1")
        >>> members.merge(alive, now_ms=0)
        True
        >>> members.merge(alive, now_ms=5)
        False
        >>> members.live_in_zone("scot-a")
        ('i1',)
    """

    __slots__ = ("_accepting_by_zone", "_by_id")

    def __init__(self) -> None:
        self._by_id: dict[identifiers.InstanceId, Member] = {}
        self._accepting_by_zone: (
            dict[
                identifiers.AvailabilityZone, tuple[identifiers.InstanceId, ...]
            ]
            | None
        ) = None

    def merge(self, update: messages.MemberUpdate, *, now_ms: int) -> bool:
        """Merges an update; returns whether the member's state changed."""
        current = self._by_id.get(update.instance_id)
        if current is None:
            merged = update
        else:
            merged = _merge_updates(current.update, update)
            if merged == current.update:
                return False
        self._by_id[update.instance_id] = Member(
            update=merged, changed_at_ms=now_ms
        )
        self._accepting_by_zone = None
        return True

    def get(self, instance_id: identifiers.InstanceId) -> Member | None:
        """Returns a member, or None if it is unknown."""
        return self._by_id.get(instance_id)

    def all(self) -> Iterator[Member]:
        """Yields all members, dead ones included, from a snapshot."""
        return iter(tuple(self._by_id.values()))

    def live(self) -> Iterator[Member]:
        """Yields the members that are not dead."""
        return (member for member in self.all() if member.is_live)

    def live_in_zone(
        self, availability_zone: identifiers.AvailabilityZone
    ) -> tuple[identifiers.InstanceId, ...]:
        """Returns the members of a zone that accept work, sorted."""
        if self._accepting_by_zone is None:
            self._accepting_by_zone = self._group_by_zone()
        return self._accepting_by_zone.get(availability_zone, ())

    def evict_dead(self, *, now_ms: int) -> Iterator[identifiers.InstanceId]:
        """Evicts members dead for `DEAD_RETENTION_MS`, and yields their ids."""
        evicted = [
            instance_id
            for instance_id, member in self._by_id.items()
            if not member.is_live
            and now_ms - member.changed_at_ms > DEAD_RETENTION_MS
        ]
        for instance_id in evicted:
            del self._by_id[instance_id]
            yield instance_id

    def _group_by_zone(
        self,
    ) -> dict[identifiers.AvailabilityZone, tuple[identifiers.InstanceId, ...]]:
        by_zone: dict[
            identifiers.AvailabilityZone, list[identifiers.InstanceId]
        ] = {}
        for instance_id, member in sorted(self._by_id.items()):
            if member.accepts_work:
                zone = member.update.availability_zone
                by_zone.setdefault(zone, []).append(instance_id)
        return {zone: tuple(ids) for zone, ids in by_zone.items()}

    def __repr__(self) -> str:
        live = sum(1 for _ in self.live())
        return f"Members(live={live}, total={len(self._by_id)})"


def _merge_updates(
    current: messages.MemberUpdate, update: messages.MemberUpdate
) -> messages.MemberUpdate:
    newer = update if _precedence(update) > _precedence(current) else current
    leaving = current.leaving or update.leaving
    return msgspec.structs.replace(newer, leaving=leaving)


def _precedence(update: messages.MemberUpdate) -> tuple[int, int]:
    return (update.incarnation, update.status)
