"""Messages that exchange the state of members and assignments.

Pings and acks have short field names on the wire, and updates are encoded as
arrays, because each instance sends and receives several of them per second.
"""

from __future__ import annotations

import enum

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers


class Status(enum.IntEnum):
    """Status of a member; within an incarnation, the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of one member, as the sender sees it.

    Attributes:
        instance_id: Id of the member; a restarted process has a new id.
        incarnation: Number that only the member itself increases, to refute
            wrong updates.
        status: Status of the member.
        leaving: Whether the member announced that it is shutting down; never
            reset.
        availability_zone: Zone in which the member runs.
        url: Base URL of the member.
    """

    instance_id: identifiers.InstanceId
    incarnation: int
    status: Status
    leaving: bool
    availability_zone: identifiers.AvailabilityZone
    url: str


class AssignmentUpdate(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """The latest assignment of a zone shard that the sender has.

    Attributes:
        shard: The shard.
        availability_zone: The zone in which the assignment applies.
        epoch: Fencing number of the assignment.
        version: Grows with each change of the backup within an epoch.
        primary: Instance that serves the shard in the zone.
        backup: Instance that holds a full copy; None if there is none.
        history_lost_at_ms: When both copies were last lost; None if never.
    """

    shard: identifiers.ShardId
    availability_zone: identifiers.AvailabilityZone
    epoch: identifiers.Epoch
    version: int
    primary: identifiers.InstanceId
    backup: identifiers.InstanceId | None
    history_lost_at_ms: int | None


_SHORT_NAMES = {
    "sequence": "s",
    "digest": "d",
    "table_root": "t",
    "subject": "u",
    "origin": "o",
    "members": "m",
    "places": "p",
}


class Ping(
    effects.Message,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename=_SHORT_NAMES,
):
    """Requests an `Ack`, on behalf of `origin` if that is set.

    Attributes:
        sequence: Number of the probe at the instance that started it.
        digest: Digest of the sender's members and assignments.
        table_root: Digest of the sender's table; 0 if it has none.
        origin: Instance that requested this indirect ping; None for a direct
            ping.
        members: Recent updates of members.
        places: Recent updates of assignments.
    """

    sequence: int
    digest: int
    table_root: int = 0
    origin: identifiers.InstanceId | None = None
    members: tuple[MemberUpdate, ...] = ()
    places: tuple[AssignmentUpdate, ...] = ()


class Ack(
    effects.Message,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename=_SHORT_NAMES,
):
    """Response to a `Ping`; `subject` is the member that was probed.

    An ack with an `origin` is forwarded to it. The other fields are as in
    `Ping`.
    """

    sequence: int
    digest: int
    table_root: int = 0
    subject: identifiers.InstanceId
    origin: identifiers.InstanceId | None = None
    members: tuple[MemberUpdate, ...] = ()
    places: tuple[AssignmentUpdate, ...] = ()


class PingRequest(effects.Message, frozen=True, kw_only=True):
    """Requests an indirect ping: the recipient pings `subject` for the sender.

    Attributes:
        sequence: Number of the probe at the sender.
        subject: The member to ping.
    """

    sequence: int
    subject: identifiers.InstanceId


class StateDigests(effects.Message, frozen=True, kw_only=True):
    """Digests of all buckets of the sender, to find the buckets that differ.

    Attributes:
        digests: Unsigned 32-bit numbers in big-endian order, one per bucket.
    """

    digests: bytes


class StatePart(effects.Message, frozen=True, kw_only=True):
    """Contents of buckets that differ.

    Attributes:
        members: The members in these buckets.
        places: The assignments in these buckets.
        wanted_buckets: Buckets whose contents the sender requests in return.
        more: Whether there are further buckets, left out to limit the size.
    """

    members: tuple[MemberUpdate, ...] = ()
    places: tuple[AssignmentUpdate, ...] = ()
    wanted_buckets: tuple[int, ...] = ()
    more: bool = False
