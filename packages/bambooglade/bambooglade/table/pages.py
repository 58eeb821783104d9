"""Pages of the table: rows grouped by the hash of their key.

Each page is stored as one value of the platform's key-value service. Two
copies of a page are merged row by row, and the higher version of each row wins.
Merging with an older copy therefore never reverts a row.
"""

from __future__ import annotations

from collections.abc import Iterable
import functools

import msgspec

from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.core import json_documents
from bambooglade.table import rows

KEY_PREFIX = "table"
PAGE_COUNT = 64
MAX_EDIT_IDS = 8
"""Edit ids that are kept in a record to recognize repeated edits."""
TOMBSTONE_RETENTION_MS = 30 * 24 * 3_600_000
MAX_PAGE_BYTES = 500_000
"""Half the limit of the key-value service and of the HTTP server.

The other half allows for the encoding around the page.
"""


class RowRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A row with its version and last edits; a tombstone if `row` is None.

    Attributes:
        row_key: Key of the row.
        version: Version; every edit, also a deletion, increments it.
        sequence: Sequence number of the page at the last edit.
        row: Content of the row; None if it is deleted.
        edit_ids: Ids of the last `MAX_EDIT_IDS` edits, the newest last.
        edited_by: Name of the operator who made the last edit.
        edited_at_ms: Time of the last edit, in milliseconds since the epoch.
    """

    row_key: str
    version: int
    sequence: int
    row: rows.Row | None = None
    edit_ids: tuple[identifiers.EditId, ...] = ()
    edited_by: str = ""
    edited_at_ms: int = 0

    @property
    def precedence(self) -> tuple[int, int, tuple[str, ...]]:
        """Sort key; of two records of a row, the greater one is the newer."""
        return (self.version, self.edited_at_ms, self.edit_ids)


class Page(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """The records of one page.

    Attributes:
        sequence: Sequence number; every write of the page increments it.
        by_row_key: Records by the key of their row.
        version_floor: Highest version of the tombstones that were removed.
            New rows get higher versions, so that they supersede older copies
            of a deleted row.

    Examples:
        >>> record = RowRecord(row_key="team/t1", version=1, sequence=1)
        >>> newer = Page(sequence=1, by_row_key={"team/t1": record})
        >>> merge(Page(), newer) == merge(newer, Page()) == newer
        True
    """

    sequence: int = 0
    by_row_key: dict[str, RowRecord] = {}
    version_floor: int = 0

    @functools.cached_property
    def digest(self) -> int:
        """Digest of all rows with their versions; 0 for an empty page."""
        digest = 0
        for record in self.by_row_key.values():
            order = ",".join(record.edit_ids)
            digest ^= hashing.stable_hash(
                f"{record.row_key}={record.version}.{record.edited_at_ms}."
                f"{order}"
            )
        return digest

    def version(self, row_key: str) -> int:
        """Returns the version of a row, or `version_floor` without a record."""
        record = self.by_row_key.get(row_key)
        return record.version if record else self.version_floor

    def records_after(self, sequence: int) -> tuple[RowRecord, ...]:
        """Returns the records with a higher sequence number."""
        return tuple(
            record
            for record in self.by_row_key.values()
            if record.sequence > sequence
        )


_DECODER = msgspec.json.Decoder(Page)


def merge(left: Page, right: Page) -> Page:
    """Returns the page with the newer record of each row."""
    if left.digest == right.digest:
        return left if left.sequence >= right.sequence else right
    merged = with_records(
        left, right.by_row_key.values(), sequence=right.sequence
    )
    version_floor = max(left.version_floor, right.version_floor)
    return msgspec.structs.replace(merged, version_floor=version_floor)


def with_records(
    page: Page, records: Iterable[RowRecord], *, sequence: int
) -> Page:
    """Returns the page updated with those of the records that are newer."""
    by_row_key = dict(page.by_row_key)
    for record in records:
        current = by_row_key.get(record.row_key)
        if current is None or record.precedence > current.precedence:
            by_row_key[record.row_key] = record
    return Page(
        sequence=max(page.sequence, sequence),
        by_row_key=by_row_key,
        version_floor=page.version_floor,
    )


def without_expired_tombstones(page: Page, *, now_ms: int) -> Page:
    """Returns the page without tombstones past `TOMBSTONE_RETENTION_MS`."""
    expired = [
        record
        for record in page.by_row_key.values()
        if record.row is None
        and now_ms - record.edited_at_ms >= TOMBSTONE_RETENTION_MS
    ]
    if not expired:
        return page
    by_row_key = dict(page.by_row_key)
    for record in expired:
        del by_row_key[record.row_key]
    floor = max(record.version for record in expired)
    return Page(
        sequence=page.sequence,
        by_row_key=by_row_key,
        version_floor=max(page.version_floor, floor),
    )


def page_of(row_key: str, *, page_count: int = PAGE_COUNT) -> int:
    """Returns the number of the page that contains a row."""
    return hashing.shard_of(row_key, shard_count=page_count)


def document_key(page: int) -> str:
    """Returns the key of a page in the key-value service.

    Examples:
        >>> page_number(document_key(17))
        17
    """
    return f"{KEY_PREFIX}/{page}"


def page_number(document_key_: str) -> int | None:
    """Returns the page number in a document key; None for any other key."""
    prefix, _, number = document_key_.partition("/")
    if prefix != KEY_PREFIX or not number.isdecimal():
        return None
    return int(number)


def encode(page: Page) -> bytes:
    """Returns a page encoded as JSON."""
    return msgspec.json.encode(page)


def decode(value: bytes | None) -> Page | None:
    """Decodes a page; returns None if the value is malformed.

    A missing value is decoded as an empty page.
    """
    if value is None:
        return Page()
    try:
        return json_documents.decode_with(_DECODER, value)
    except msgspec.DecodeError:
        return None
