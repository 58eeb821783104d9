"""SWIM-style failure detection and gossip between instances.

In each period an instance pings one other member. If it gets no ack, it
requests indirect pings from a few other members, and suspects the member only
if these fail as well. A suspected member can refute the suspicion within a
time-out; otherwise it is declared dead. Updates of members and assignments are
piggybacked on pings and acks. Digests in the same messages reveal updates that
were missed, which are then exchanged by anti-entropy.

See Also:
    bambooglade.fleet.membership: the view of the fleet that results.
    docs/design/fleet.md: alternatives, and the cost per node.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import functools
import random

from absl import logging
import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.fleet import contacts as contacts_lib
from bambooglade.fleet import gossip_state
from bambooglade.fleet import members as members_lib
from bambooglade.fleet import messages
from bambooglade.fleet import probing
from bambooglade.fleet import synced_table
from bambooglade.shards import assignments

CONTACT_PERIOD_MS = 5_000
"""Interval between pings to a seed, a listed URL or a dead member."""

JOIN_PERIOD_MS = 500
"""The same while no other member is known.

The seed of an instance may begin to listen only after it. Shards of a zone are
assumed anew when its instances find each other, so that calls fail if that
happens while they are served.
"""

SYNC_PERIOD_MS = 10_000
"""Minimum interval between two comparisons of the digests of all buckets."""
EVICTION_PERIOD_MS = 60_000
ANNOUNCE_FANOUT = 3
MAX_FORWARDED_MEMBERS = 10
"""Members in one `StatePart` up to which changes are disseminated further.

More members come from a bulk transfer, for instance to a new instance; the
others have these updates already.
"""


class Gossip:
    """Detects failures and disseminates updates with a constant fan-out.

    Args:
        own: Initial state of this instance.
        seeds: Base URLs of instances, from the settings.
        assignment_map: Assignments to disseminate; updates of other instances
            are applied to it.
        random_source: Source of randomness; seeded in tests.

    Attributes:
        table: Table whose digest pings carry, or None.
    """

    message_types = (
        messages.Ping,
        messages.Ack,
        messages.PingRequest,
        messages.StateDigests,
        messages.StatePart,
    )

    def __init__(
        self,
        *,
        own: messages.MemberUpdate,
        seeds: Iterable[str],
        assignment_map: assignments.AssignmentMap,
        random_source: random.Random,
    ) -> None:
        self._id = own.instance_id
        self._random = random_source
        self._state = gossip_state.GossipState(assignment_map)
        self._contacts = contacts_lib.Contacts(own_url=own.url, seeds=seeds)
        self._prober = probing.Prober(
            instance_id=own.instance_id, random_source=random_source
        )
        self._next_contact_ms = 0
        self._next_sync_ms = 0
        self._next_eviction_ms = 0
        self.table: synced_table.SyncedTable | None = None
        self._state.merge_member(own, now_ms=0)

    @property
    def members(self) -> members_lib.Members:
        """The members of the fleet."""
        return self._state.members

    @property
    def contacts(self) -> contacts_lib.Contacts:
        """Addresses of instances that may not be members."""
        return self._contacts

    def peers(self) -> tuple[identifiers.InstanceId, ...]:
        """Returns all other members that are not dead, sorted."""
        return tuple(
            sorted(
                member.update.instance_id
                for member in self.members.live()
                if member.update.instance_id != self._id
            )
        )

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Handles a message of another instance."""
        self._state.queue_changed_assignments()
        yield from self._handle(message, sender, now_ms)

    @functools.singledispatchmethod
    def _handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del message, sender, now_ms
        return iter(())

    @_handle.register
    def _(
        self,
        message: messages.Ping,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        self._merge_updates(message.members, message.places, now_ms)
        updates = self._updates_for(sender)
        ack = messages.Ack(
            sequence=message.sequence,
            digest=self._state.root,
            table_root=self._table_root(),
            subject=self._id,
            origin=message.origin,
            members=updates.members,
            places=updates.places,
        )
        yield effects.Send(recipient=sender, message=ack)
        yield from self._compare_digests(message, sender, now_ms)

    @_handle.register
    def _(
        self,
        message: messages.Ack,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        self._merge_updates(message.members, message.places, now_ms)
        if message.origin is not None and message.origin != self._id:
            forwarded = msgspec.structs.replace(
                message,
                members=(),
                places=(),
                digest=self._state.root,
                table_root=self._table_root(),
            )
            yield effects.Send(recipient=message.origin, message=forwarded)
            return
        self._prober.record_ack(message.sequence, message.subject)
        yield from self._compare_digests(message, sender, now_ms)

    @_handle.register
    def _(
        self,
        message: messages.PingRequest,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del now_ms
        yield self._ping(message.subject, message.sequence, origin=sender)

    @_handle.register
    def _(
        self,
        message: messages.StateDigests,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        del now_ms
        part = self._state.differing_part(message)
        if part.wanted_buckets:
            yield effects.Send(recipient=sender, message=part)

    @_handle.register
    def _(
        self,
        message: messages.StatePart,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        previous_root = self._state.root
        if message.wanted_buckets:
            buckets = list(message.wanted_buckets)
            part = self._state.part(buckets, request_contents=False)
            yield effects.Send(recipient=sender, message=part)
        self._merge_updates(
            message.members,
            message.places,
            now_ms,
            disseminate=len(message.members) <= MAX_FORWARDED_MEMBERS,
        )
        if message.more and self._state.root != previous_root:
            yield effects.Send(recipient=sender, message=self._state.digests())

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Runs the periodic tasks that are due.

        These are probes, time-outs of probes and suspicions, pings of contacts
        and eviction of dead members.
        """
        self._state.queue_changed_assignments()
        self._prober.reset_after_pause(now_ms)
        yield from self._continue_probes(now_ms)
        self._expire_suspicions(now_ms)
        yield from self._start_probe(now_ms)
        yield from self._ping_contact(now_ms)
        if now_ms >= self._next_eviction_ms:
            self._next_eviction_ms = now_ms + EVICTION_PERIOD_MS
            self._state.evict_dead(now_ms=now_ms)

    def _continue_probes(self, now_ms: int) -> Iterator[effects.Effects]:
        for probe in self._prober.take_overdue(now_ms):
            intermediaries = self._prober.choose_indirect_peers(
                self.peers(), probe.subject
            )
            request = messages.PingRequest(
                sequence=probe.sequence, subject=probe.subject
            )
            for intermediary in intermediaries:
                yield effects.Send(recipient=intermediary, message=request)
        for probe in self._prober.take_timed_out(now_ms):
            self.suspect(probe.subject, now_ms)

    def suspect(self, subject: identifiers.InstanceId, now_ms: int) -> None:
        """Marks a member as suspected if it was alive."""
        member = self.members.get(subject)
        if member and member.update.status is messages.Status.ALIVE:
            self.merge_member(
                msgspec.structs.replace(
                    member.update, status=messages.Status.SUSPECT
                ),
                now_ms,
            )

    def _expire_suspicions(self, now_ms: int) -> None:
        suspects = [
            member
            for member in self.members.live()
            if member.update.status is messages.Status.SUSPECT
        ]
        for member in suspects:
            since_ms = max(member.changed_at_ms, self._prober.resumed_at_ms)
            if now_ms - since_ms >= self._suspicion_timeout_ms():
                self.merge_member(
                    msgspec.structs.replace(
                        member.update, status=messages.Status.DEAD
                    ),
                    now_ms,
                )

    def _suspicion_timeout_ms(self) -> int:
        return probing.suspicion_timeout_ms(sum(1 for _ in self.members.live()))

    def _start_probe(self, now_ms: int) -> Iterator[effects.Effects]:
        subject = self._prober.next_subject(self.peers, now_ms)
        if subject is not None:
            probe = self._prober.start(subject, now_ms)
            yield self._ping(subject, probe.sequence)

    def _ping_contact(self, now_ms: int) -> Iterator[effects.Effects]:
        if now_ms < self._next_contact_ms:
            return
        period_ms = CONTACT_PERIOD_MS if self.peers() else JOIN_PERIOD_MS
        jitter_ms = self._random.randrange(period_ms // 5)
        self._next_contact_ms = now_ms + period_ms - jitter_ms
        recipient = self._contacts.choose(self.members, self._id, self._random)
        if recipient is not None:
            yield self._ping(recipient, probing.UNTRACKED_SEQUENCE)

    def _ping(
        self,
        recipient: identifiers.InstanceId,
        sequence: int,
        *,
        origin: identifiers.InstanceId | None = None,
    ) -> effects.Send:
        updates = self._updates_for(recipient)
        ping = messages.Ping(
            sequence=sequence,
            digest=self._state.root,
            table_root=self._table_root(),
            origin=origin,
            members=updates.members,
            places=updates.places,
        )
        return effects.Send(recipient=recipient, message=ping)

    def _updates_for(
        self, recipient: identifiers.InstanceId
    ) -> gossip_state.UpdateBatch:
        """Returns the updates for a message to one recipient.

        Besides the queued updates, this includes the state of this instance if
        the recipient is unknown or dead, and the state of the recipient if it
        is suspected or dead, so that it can refute that.
        """
        updates = self._state.next_updates()
        known = self.members.get(recipient)
        extra = []
        if known is None or not known.is_live:
            extra.append(self._own_update())
        if known and known.update.status is not messages.Status.ALIVE:
            extra.append(known.update)
        return msgspec.structs.replace(
            updates, members=(*updates.members, *extra)
        )

    def _merge_updates(
        self,
        members: Iterable[messages.MemberUpdate],
        places: Iterable[messages.AssignmentUpdate],
        now_ms: int,
        *,
        disseminate: bool = True,
    ) -> None:
        for update in members:
            if update.instance_id == self._id:
                self._refute(update, now_ms)
            else:
                self.merge_member(update, now_ms, disseminate=disseminate)
        self._state.merge_assignments(places)
        self._state.queue_changed_assignments()

    def _refute(self, update: messages.MemberUpdate, now_ms: int) -> None:
        """Refutes a wrong update of this instance with a higher incarnation.

        An update that this instance is leaving is adopted.
        """
        own = self._own_update()
        has_left = own.status is messages.Status.DEAD
        is_disputed = (
            update.status is not messages.Status.ALIVE
            or update.leaving != own.leaving
        )
        if has_left or not is_disputed or update.incarnation < own.incarnation:
            return
        refuted = msgspec.structs.replace(
            own,
            incarnation=update.incarnation + 1,
            leaving=own.leaving or update.leaving,
        )
        logging.info(
            "event=suspicion_refuted incarnation=%d", refuted.incarnation
        )
        self._state.merge_member(refuted, now_ms=now_ms)

    def merge_member(
        self,
        update: messages.MemberUpdate,
        now_ms: int,
        *,
        disseminate: bool = True,
    ) -> None:
        """Merges an update of a member, and logs it if it changed the state."""
        if self._state.merge_member(
            update, now_ms=now_ms, disseminate=disseminate
        ):
            logging.info(
                "event=member_changed instance=%s status=%s leaving=%s "
                "incarnation=%d",
                update.instance_id,
                update.status.name.lower(),
                update.leaving,
                update.incarnation,
            )

    def _table_root(self) -> int:
        return self.table.root if self.table else 0

    def _compare_digests(
        self,
        message: messages.Ping | messages.Ack,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        if self.table and message.table_root != self.table.root:
            yield from self.table.compare(sender)
        is_equal = message.digest == self._state.root
        if is_equal or now_ms < self._next_sync_ms:
            return
        self._next_sync_ms = now_ms + SYNC_PERIOD_MS
        yield effects.Send(recipient=sender, message=self._state.digests())

    def announce_leaving(
        self, now_ms: int, status: messages.Status
    ) -> Iterator[effects.Effects]:
        """Announces to a few peers immediately that this instance is leaving.

        Args:
            now_ms: Milliseconds since the epoch.
            status: `ALIVE` at the start of the shutdown, `DEAD` at its end.
        """
        own = self._own_update()
        self._state.merge_member(
            msgspec.structs.replace(
                own,
                incarnation=own.incarnation + 1,
                status=status,
                leaving=True,
            ),
            now_ms=now_ms,
        )
        peers = self.peers()
        fanout = min(ANNOUNCE_FANOUT, len(peers))
        for peer in self._random.sample(peers, fanout):
            yield self._ping(peer, probing.UNTRACKED_SEQUENCE)

    def _own_update(self) -> messages.MemberUpdate:
        return self.members.get(self._id).update

    def __repr__(self) -> str:
        return f"Gossip(instance_id={self._id!r}, {self._state!r})"
