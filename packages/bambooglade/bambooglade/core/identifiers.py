"""Identifiers that all packages share.

They are distinct types for the type checker, and plain strings and integers at
run time.
"""

from __future__ import annotations

from typing import NewType

import uuid6

InstanceId = NewType("InstanceId", str)
"""Identifier of one run of a router process; a restart creates a new one."""

AvailabilityZone = NewType("AvailabilityZone", str)
"""Name of an availability zone, for instance `scot-a`."""

TeamId = NewType("TeamId", str)
TargetId = NewType("TargetId", str)
ServiceName = NewType("ServiceName", str)

BudgetId = NewType("BudgetId", str)
"""Identifier of an account: a team, or a table row with a spend limit."""

RequestKey = NewType("RequestKey", str)
"""Idempotency key, created by the caller or else by the router."""

EditId = NewType("EditId", str)
"""Identifier of one edit; a retry of the edit has the same identifier."""

ShardId = NewType("ShardId", int)
Epoch = NewType("Epoch", int)
"""Fencing token of a shard's assignment within an availability zone."""

_UUID_VERSION_WITH_TIME = 7


def new_request_key(*, arbiter: AvailabilityZone | None = None) -> RequestKey:
    """Returns a new UUIDv7 key, prefixed with the arbiter zone if there is one.

    Examples:
        >>> key = new_request_key(arbiter=AvailabilityZone("scot-a"))
        >>> arbiter_of(key)
        'scot-a'
    """
    text = str(uuid6.uuid7())
    return RequestKey(f"{arbiter}:{text}" if arbiter else text)


def arbiter_of(key: RequestKey) -> AvailabilityZone | None:
    """Returns the arbiter zone in the prefix of a key, or None.

    Examples:
        >>> arbiter_of(RequestKey("order-17")) is None
        True
    """
    prefix, separator, _ = key.rpartition(":")
    return AvailabilityZone(prefix) if separator else None


def created_at_ms(key: RequestKey) -> int | None:
    """Returns the creation time of a UUIDv7 key, or None for other keys.

    Returns:
        Milliseconds since the Unix epoch.

    Examples:
        >>> created_at_ms(RequestKey("018bcfe5-6800-7000-8000-000000000000"))
        1700000000000
        >>> created_at_ms(RequestKey("order-17")) is None
        True
    """
    try:
        parsed = uuid6.UUID(key.rpartition(":")[2])
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION_WITH_TIME:
        return None
    return parsed.time
