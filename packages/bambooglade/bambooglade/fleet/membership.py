"""The view of the fleet that one instance has.

See Also:
    bambooglade.fleet.gossip: the protocol that maintains it.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import random

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.fleet import contacts
from bambooglade.fleet import gossip
from bambooglade.fleet import members
from bambooglade.fleet import messages
from bambooglade.fleet import synced_table
from bambooglade.shards import assignments
from bambooglade.store import services

BUDGET_RETENTION_MS = 3_600_000
"""Time for which an unreachable member counts as drawing on shared budgets."""


class Membership:
    """Component that maintains the view of the fleet, a `fleet.view.FleetView`.

    Args:
        instance_id: Id of this instance; new for each start of the process.
        availability_zone: Zone in which this instance runs.
        url: Base URL at which other instances reach this one.
        seeds: Base URLs of instances, from the settings.
        assignment_map: Assignments to disseminate; updates of other instances
            are applied to it.
        random_source: Source of randomness; seeded in tests.

    Examples:
        >>> membership = Membership(instance_id="i1",
        ...     availability_zone="scot-a", url="http://127.0.0.1:8001",
        ...     seeds=("http://127.0.0.1:8002",),
        ...     assignment_map=assignments.AssignmentMap(),
        ...     random_source=random.Random(1))
        >>> [effect.recipient for effect in membership.tick(now_ms=0)]
        ['url:http://127.0.0.1:8002']
        >>> membership.live_in_zone("scot-a")
        ('i1',)
    """

    message_types = gossip.Gossip.message_types
    document_prefixes = ()

    def __init__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        availability_zone: identifiers.AvailabilityZone,
        url: str,
        seeds: Iterable[str] = (),
        assignment_map: assignments.AssignmentMap,
        random_source: random.Random,
    ) -> None:
        self._id = instance_id
        own = messages.MemberUpdate(
            instance_id=instance_id,
            incarnation=0,
            status=messages.Status.ALIVE,
            leaving=False,
            availability_zone=availability_zone,
            url=url,
        )
        self._gossip = gossip.Gossip(
            own=own,
            seeds=seeds,
            assignment_map=assignment_map,
            random_source=random_source,
        )

    def live_in_zone(
        self, availability_zone: identifiers.AvailabilityZone
    ) -> tuple[identifiers.InstanceId, ...]:
        """Returns the instances of a zone that accept work, sorted.

        Suspected instances are included until they are declared dead, so that
        a false suspicion does not move work.
        """
        return self._gossip.members.live_in_zone(availability_zone)

    def zone_of(
        self, instance_id: identifiers.InstanceId
    ) -> identifiers.AvailabilityZone | None:
        """Returns the zone of a current or former instance, or None."""
        member = self._gossip.members.get(instance_id)
        return member.update.availability_zone if member else None

    def is_suspected(self, instance_id: identifiers.InstanceId) -> bool:
        """Returns whether it is suspected, leaving, dead or unknown."""
        member = self._gossip.members.get(instance_id)
        if member is None:
            return True
        return (
            member.update.leaving
            or member.update.status is not messages.Status.ALIVE
        )

    def attach_table(self, table: synced_table.SyncedTable) -> None:
        """Includes the digest of a table in pings, to start its comparison."""
        self._gossip.table = table

    def peers(self) -> tuple[identifiers.InstanceId, ...]:
        """Returns all other instances that are not dead, sorted."""
        return self._gossip.peers()

    def members(self) -> tuple[messages.MemberUpdate, ...]:
        """Returns the state of all members, dead ones included, by id."""
        updates = (member.update for member in self._gossip.members.all())
        return tuple(sorted(updates, key=lambda update: update.instance_id))

    def fleet_size(self, *, now_ms: int) -> int:
        """Returns the number of instances that may draw on shared budgets.

        An unreachable instance may still reach the platform. It therefore
        counts for `BUDGET_RETENTION_MS` after it was declared dead, unless it
        announced that it leaves.
        """
        return sum(
            self._may_be_running(member, now_ms)
            for member in self._gossip.members.all()
        )

    def urls(self, *, now_ms: int) -> frozenset[str]:
        """Returns the base URLs of the instances that `fleet_size` counts."""
        return frozenset(
            member.update.url
            for member in self._gossip.members.all()
            if self._may_be_running(member, now_ms)
        )

    def _may_be_running(self, member: members.Member, now_ms: int) -> bool:
        return member.is_live or (
            not member.update.leaving
            and now_ms - member.changed_at_ms < BUDGET_RETENTION_MS
        )

    def url(self, instance_id: identifiers.InstanceId) -> str | None:
        """Returns the base URL of an instance or of a contact id, or None."""
        member = self._gossip.members.get(instance_id)
        if member is not None:
            return member.update.url
        return contacts.contact_url(instance_id)

    def apply_instance_list(
        self, listed: Iterable[services.ListedInstance], now_ms: int
    ) -> None:
        """Applies the platform's instance list.

        Listed URLs become contacts, and members that the list marks as leaving
        are marked as well. A member that is missing from the list is kept.
        """
        entries = tuple(listed)
        self._gossip.contacts.set_listed_urls(entry.url for entry in entries)
        leaving_urls = {entry.url for entry in entries if entry.leaving}
        leaving = [
            member.update
            for member in self._gossip.members.live()
            if member.update.url in leaving_urls and not member.update.leaving
        ]
        for update in leaving:
            self._gossip.merge_member(
                msgspec.structs.replace(update, leaving=True), now_ms
            )

    def record_connection_refused(
        self, instance_id: identifiers.InstanceId, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Suspects an instance that refused a connection.

        The suspicion is disseminated, and the instance refutes it if it is
        still running.
        """
        self._gossip.suspect(instance_id, now_ms)
        yield from ()

    def start_leaving(self, now_ms: int) -> Iterator[effects.Effects]:
        """Announces that this instance accepts no more work."""
        yield from self._gossip.announce_leaving(now_ms, messages.Status.ALIVE)

    def leave(self, now_ms: int) -> Iterator[effects.Effects]:
        """Announces that this instance has left, at the end of a shutdown."""
        yield from self._gossip.announce_leaving(now_ms, messages.Status.DEAD)

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Handles a message of another instance."""
        return self._gossip.handle(message, sender, now_ms)

    def handle_document_response(
        self, answer: effects.DocumentResponse, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Does nothing; this component reads no documents."""
        del answer, now_ms
        return iter(())

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Runs the periodic tasks of the gossip protocol that are due."""
        return self._gossip.tick(now_ms)

    def __repr__(self) -> str:
        return f"Membership(instance_id={self._id!r}, {self._gossip!r})"
