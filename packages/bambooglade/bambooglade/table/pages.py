"""Pages of the table: rows grouped by the hash of their key.

A page is one value of the platform's service. Two versions of a page are
merged row by row, and the higher version of each row wins; so a page never
goes back, whatever older copy turns up.
"""

from __future__ import annotations

from collections.abc import Iterable
import functools

import msgspec

from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.table import rows

KEY_PREFIX = "table"
PAGE_COUNT = 64
MAX_EDIT_IDS = 8
"""Edits that a row remembers, to recognize one that is repeated."""
TOMBSTONE_RETENTION_MS = 30 * 24 * 3_600_000
MAX_PAGE_BYTES = 500_000
"""Half of what service and server take, for the frame around a page."""


class RowRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A row with its history; `row` is None once it is deleted.

    Attributes:
        row_key: Key of the row.
        version: Grows by one with every edit, also across a deletion.
        sequence: Sequence of the page at the last edit.
        row: The row in force.
        edit_ids: The last edits, the newest last.
        edited_by: Who made the last edit.
        edited_at_ms: When; milliseconds since the epoch.
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
        """Of two records of a row, the one with the higher order wins."""
        return (self.version, self.edited_at_ms, self.edit_ids)


class Page(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """The records of one page.

    Attributes:
        sequence: Grows with every write of the page.
        by_row_key: The records.
        version_floor: No version up to it is given to a new row, because a
            deleted row that is forgotten may have had it.

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
        """Returns the version of a row; the floor if it is not there."""
        record = self.by_row_key.get(row_key)
        return record.version if record else self.version_floor

    def records_after(self, sequence: int) -> tuple[RowRecord, ...]:
        """Returns the records that were edited after a sequence."""
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
    floor = max(left.version_floor, right.version_floor)
    return msgspec.structs.replace(merged, version_floor=floor)


def with_records(
    page: Page, records: Iterable[RowRecord], *, sequence: int
) -> Page:
    """Returns the page with those records taken in that are newer."""
    by_row_key = dict(page.by_row_key)
    for record in records:
        known = by_row_key.get(record.row_key)
        if known is None or record.precedence > known.precedence:
            by_row_key[record.row_key] = record
    return Page(
        sequence=max(page.sequence, sequence),
        by_row_key=by_row_key,
        version_floor=page.version_floor,
    )


def without_expired_tombstones(page: Page, *, now_ms: int) -> Page:
    """Returns the page without rows that were deleted long ago."""
    forgotten = [
        record
        for record in page.by_row_key.values()
        if record.row is None
        and now_ms - record.edited_at_ms >= TOMBSTONE_RETENTION_MS
    ]
    if not forgotten:
        return page
    kept = dict(page.by_row_key)
    for record in forgotten:
        del kept[record.row_key]
    floor = max(record.version for record in forgotten)
    return Page(
        sequence=page.sequence,
        by_row_key=kept,
        version_floor=max(page.version_floor, floor),
    )


def page_of(row_key: str, *, page_count: int = PAGE_COUNT) -> int:
    """Returns the number of the page that a row lies in."""
    return hashing.shard_of(row_key, shard_count=page_count)


def document_key(page: int) -> str:
    """Returns the key of a page in the platform's service.

    Examples:
        >>> page_number(document_key(17))
        17
    """
    return f"{KEY_PREFIX}/{page}"


def page_number(document_key_: str) -> int | None:
    """Returns the number in a document key; None if it is not a page's."""
    prefix, _, number = document_key_.partition("/")
    if prefix != KEY_PREFIX or not number.isdecimal():
        return None
    return int(number)


def encode(page: Page) -> bytes:
    """Returns the JSON of a page."""
    return msgspec.json.encode(page)


def decode(value: bytes | None) -> Page | None:
    """Returns the page in a value; None if it is not a page.

    A missing value is an empty page.
    """
    if value is None:
        return Page()
    try:
        return _DECODER.decode(value)
    except msgspec.DecodeError:
        return None
