"""Translates operators' keys to records of evacuated zones; without I/O.

See Also:
    bambooglade.discovery.store_watcher: reads the keys.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Protocol

from bambooglade.discovery import codec as codec_lib
from bambooglade.discovery import evacuations
from bambooglade.store import store_api


class MalformedKeyCallback(Protocol):
    """Called with each key that names no zone."""

    def __call__(self, key: str, *, revision: int, error: ValueError) -> None:
        """Records the key."""
        ...


def zone_records(
    items: Iterable[store_api.Item],
    *,
    codec: codec_lib.ItemCodec,
    era: int,
    record_malformed: MalformedKeyCallback,
) -> Iterator[evacuations.ZoneRecord]:
    """Yields a record for each key that evacuates a zone, or did so.

    The value is not read: the zone is evacuated as long as the key exists.

    Args:
        items: Items of the operators' keys, whatever they are for.
        codec: Decodes the keys.
        era: Era of the store.
        record_malformed: Called with each key that names no zone.
    """
    for item in items:
        if not item.key.startswith(codec.evacuation_prefix):
            continue
        try:
            zone = codec.decode_evacuated_zone(item.key)
        except ValueError as error:
            if item.value is not None:
                record_malformed(item.key, revision=item.revision, error=error)
            continue
        yield evacuations.ZoneRecord(
            zone, item.revision, item.value is not None, era
        )
