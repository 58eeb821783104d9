"""Decodes the store entries with which model engines register themselves."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated

import msgspec

from bambooglade.core import json_documents
from bambooglade.discovery import targets

ENTRY_PREFIX = "servers/"

MAX_NAME_CHARACTERS = 200
"""Longest name in an entry; keys of the store have at most 200 bytes."""

MAX_SLOTS = 1_000_000
MAX_COLD_MS = 86_400_000
MAX_UNIX_MS = 2**53 - 1
"""Greatest time that is still exact as a floating-point number."""

_READY = "ready"
_DRAINING = "draining"
_MAX_PORT = 65_535
_PORT = re.compile(r"[1-9][0-9]{0,4}")
_MAX_SHOWN_CHARACTERS = 64

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]


class MalformedEntryError(ValueError):
    """The entry is not that of a usable target."""


class _Entry(msgspec.Struct, rename="camel"):
    service: _Name
    address: str
    zone: _Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    cold_remaining_ms: Annotated[float, msgspec.Meta(le=MAX_COLD_MS)] = 0
    # Version of the engine's software. The versions of its weights are in
    # another field.
    version: _Name = ""
    # Unix time in ms at which the engine started. It distinguishes engines that
    # use the same id one after the other.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)] = 0


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
    except msgspec.DecodeError as error:
        raise MalformedEntryError(str(error)) from error
    if entry.state not in (_READY, _DRAINING):
        raise MalformedEntryError(
            f"expected state {_READY!r} or {_DRAINING!r}, got"
            f" {_shown(entry.state)}"
        )
    return targets.RegisteredTarget(
        target_id=_id(key),
        service=_printable("service", entry.service),
        address=_address(entry.address),
        availability_zone=_printable("zone", entry.zone),
        slots=entry.slots,
        started_at_ms=entry.born,
        is_draining=entry.state == _DRAINING,
        cold_remaining_ms=max(0, round(entry.cold_remaining_ms)),
        software_version=_printable("version", entry.version),
    )


def _id(key: str) -> str:
    """Returns the id in a key, which requests state in a header field."""
    target_id = key.removeprefix(ENTRY_PREFIX)
    if not target_id or " " in target_id:
        raise MalformedEntryError(
            f"expected an id without spaces, got {_shown(target_id)}"
        )
    return _printable("id", target_id)


def _printable(field: str, name: str) -> str:
    if not name.isprintable():
        raise MalformedEntryError(
            f"expected printable characters as {field}, got {_shown(name)}"
        )
    return name


def _address(text: str) -> tuple[str, int]:
    """Returns an IP address and a port to which connections can be opened."""
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        ip = None
    is_unicast = ip is not None and not (
        ip.is_unspecified or ip.is_multicast or ip.is_reserved
    )
    if not (is_unicast and _PORT.fullmatch(port) and int(port) <= _MAX_PORT):
        raise MalformedEntryError(
            f"expected an address as IPv4:PORT with a port from 1 to"
            f" {_MAX_PORT}, got {_shown(text)}"
        )
    return host, int(port)


def _shown(text: str) -> str:
    """Returns a text for a message; the end of a long one is left out."""
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return repr(text)
    return f"{text[:_MAX_SHOWN_CHARACTERS]!r}... ({len(text)} characters)"
