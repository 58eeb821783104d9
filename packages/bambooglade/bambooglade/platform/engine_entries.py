"""Decodes the entries under which engines register themselves."""

from __future__ import annotations

import msgspec

from bambooglade.discovery import targets

ENTRY_PREFIX = "servers/"

_READY = "ready"
_DRAINING = "draining"


class MalformedEntryError(ValueError):
    """The bytes name no target to use."""


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    cold_remaining_ms: float = 0
    # Unix ms of the start of this incarnation; ids may come back.
    born: int = 0


def decode(key: str, value: bytes) -> targets.RegisteredTarget:
    """Returns the registered target.

    Args:
        key: Key of the entry; it ends with the id of the target.
        value: The entry.

    Raises:
        MalformedEntryError: The entry is not one of a target.
    """
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        host, _, port = entry.address.rpartition(":")
        address = (host, int(port))
    except (msgspec.DecodeError, ValueError) as error:
        raise MalformedEntryError(str(error)) from error
    if entry.state not in (_READY, _DRAINING) or not host or entry.slots < 1:
        raise MalformedEntryError(f"state {entry.state!r} at {entry.address!r}")
    return targets.RegisteredTarget(
        target_id=key.removeprefix(ENTRY_PREFIX),
        service=entry.service,
        address=address,
        availability_zone=entry.zone,
        slots=entry.slots,
        started_at_ms=entry.born,
        is_draining=entry.state == _DRAINING,
        cold_remaining_ms=round(entry.cold_remaining_ms),
    )
