"""Messages by which instances learn of each other and of assignments.

Pings have short names on the wire and updates are arrays, because each
instance sends and receives some every second.
"""

from __future__ import annotations

import enum

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers


class Status(enum.IntEnum):
    """What is believed of a member; a later one wins within an incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What is believed of one member.

    Attributes:
        instance_id: The member; a restarted process is another member.
        incarnation: Raised by the member itself, to refute a suspicion.
        status: What is believed of it.
        leaving: Whether it announced that it stops; never taken back.
        availability_zone: Where it runs.
        url: Its base URL.
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
    """The newest assignment that the sender knows of a place."""

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
    """Asks for an `Ack`, on behalf of `origin` if that is set.

    Attributes:
        sequence: Number of the probe at the origin.
        digest: Digest of all that the sender believes.
        table_root: Digest of the sender's table; 0 when it has none.
        origin: The instance that could not reach the recipient itself.
        members: Recent updates on members.
        places: Recent updates on assignments.
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
    """Answers a `Ping`; `subject` is the member that was probed."""

    sequence: int
    digest: int
    table_root: int = 0
    subject: identifiers.InstanceId
    origin: identifiers.InstanceId | None = None
    members: tuple[MemberUpdate, ...] = ()
    places: tuple[AssignmentUpdate, ...] = ()


class PingRequest(effects.Message, frozen=True, kw_only=True):
    """Asks the recipient to probe another member for the sender."""

    sequence: int
    subject: identifiers.InstanceId


class StateDigests(effects.Message, frozen=True, kw_only=True):
    """Digests of all buckets of the sender, to find the differences.

    Attributes:
        digests: Unsigned 32-bit numbers, one a bucket, big-endian.
    """

    digests: bytes


class StatePart(effects.Message, frozen=True, kw_only=True):
    """Contents of buckets that differ.

    Attributes:
        members: What the sender believes of the members in these buckets.
        places: The assignments in these buckets.
        wanted_buckets: Buckets whose contents the sender asks for in return.
        more: Whether further buckets differ.
    """

    members: tuple[MemberUpdate, ...] = ()
    places: tuple[AssignmentUpdate, ...] = ()
    wanted_buckets: tuple[int, ...] = ()
    more: bool = False
