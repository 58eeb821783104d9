"""Decodes the store entries with which model engines register themselves."""

from __future__ import annotations

import msgspec

from bambooglade.core import json_documents
from bambooglade.discovery import targets

ENTRY_PREFIX = "servers/"

_READY = "ready"
_DRAINING = "draining"


class MalformedEntryError(ValueError):
    """The entry is not that of a usable target."""


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    cold_remaining_ms: float = 0
    # Version of the engine's software. The versions of its weights are in
    # another field.
    version: str = ""
    # Unix time in ms at which the engine started. It distinguishes engines that
    # use the same id one after the other.
    born: int = 0


def decode(key: str, value: bytes) -> targets.RegisteredTarget:
    """Returns the registered target.

    Args:
        key: Key of the entry, which ends with the id of the target.
        value: Encoded entry.

    Raises:
        MalformedEntryError: The entry is not that of a usable target.
    """
    try:
        entry = json_documents.decode(value, _Entry)
        host, _, port = entry.address.rpartition(":")
        address = (host, int(port))
    except (msgspec.DecodeError, ValueError) as error:
        raise MalformedEntryError(str(error)) from error
    if entry.state not in (_READY, _DRAINING) or not host or entry.slots < 1:
        raise MalformedEntryError(
            f"unusable entry in state {entry.state!r} with address"
            f" {entry.address!r}"
        )
    return targets.RegisteredTarget(
        target_id=key.removeprefix(ENTRY_PREFIX),
        service=entry.service,
        address=address,
        availability_zone=entry.zone,
        slots=entry.slots,
        started_at_ms=entry.born,
        is_draining=entry.state == _DRAINING,
        cold_remaining_ms=round(entry.cold_remaining_ms),
        software_version=entry.version,
    )
