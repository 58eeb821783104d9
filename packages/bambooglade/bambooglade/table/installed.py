"""The pages installed at this instance, and the rows in force."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from typing import TypeVar

from bambooglade.table import messages
from bambooglade.table import pages
from bambooglade.table import rows

RowType = TypeVar("RowType", bound=rows.RowBase)

MAX_RECENT = 4
_DIGEST_MASK = 0xFFFF_FFFF_FFFF_FFFF


class _RowIndex:
    """Rows in force at one moment; other threads read it without a lock."""

    __slots__ = ("_rows_by_type", "row_by_key")

    def __init__(self, row_by_key: dict[str, rows.Row]) -> None:
        self.row_by_key = row_by_key
        self._rows_by_type: dict[type, tuple[rows.Row, ...]] = {}

    def of_type(self, row_type: type[RowType]) -> tuple[RowType, ...]:
        """Returns the rows of one type, sorted by key."""
        found = self._rows_by_type.get(row_type)
        if found is None:
            found = tuple(
                row
                for _, row in sorted(self.row_by_key.items())
                if isinstance(row, row_type)
            )
            self._rows_by_type[row_type] = found
        return found


class InstalledPages:
    """Installs pages so that no row ever goes back to an older version.

    Pages are installed by one thread; the rows may be read by others.

    Examples:
        >>> row = rows.TeamRow(team_id="t1", key_hash="x")
        >>> record = pages.RowRecord(row_key="team/t1", version=1, sequence=1,
        ...     row=row)
        >>> installed = InstalledPages(page_count=1)
        >>> installed.install(0, pages.Page(sequence=1,
        ...     by_row_key={"team/t1": record}))
        ('team/t1',)
        >>> installed.get("team/t1") == row
        True
    """

    __slots__ = (
        "_in_force",
        "_page_by_number",
        "_recent",
        "page_count",
        "root",
    )

    def __init__(self, *, page_count: int) -> None:
        self.page_count = page_count
        self.root = 0
        self._page_by_number: dict[int, pages.Page] = {}
        self._in_force = _RowIndex({})
        self._recent: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def page(self, number: int) -> pages.Page:
        """Returns a page; an empty one if none is installed."""
        return self._page_by_number.get(number, pages.Page())

    def get(self, row_key: str) -> rows.Row | None:
        """Returns the row in force, or None."""
        return self._in_force.row_by_key.get(row_key)

    def record(self, row_key: str) -> pages.RowRecord | None:
        """Returns a row with its version and history, or None."""
        number = pages.page_of(row_key, page_count=self.page_count)
        return self.page(number).by_row_key.get(row_key)

    def records(self) -> Iterator[pages.RowRecord]:
        """Yields the records of all rows in force, sorted by key."""
        for row_key in sorted(self._in_force.row_by_key):
            record = self.record(row_key)
            if record is not None and record.row is not None:
                yield record

    def of_type(self, row_type: type[RowType]) -> Iterator[RowType]:
        """Yields the rows of one type, sorted by key."""
        return iter(self._in_force.of_type(row_type))

    def install(self, number: int, page: pages.Page) -> tuple[str, ...]:
        """Takes in whatever is newer; returns the keys of changed rows."""
        if not 0 <= number < self.page_count:
            return ()
        known = self.page(number)
        merged = pages.merge(known, page)
        self._page_by_number[number] = merged
        if merged.digest == known.digest:
            return ()
        self.root ^= _page_hash(known) ^ _page_hash(merged)
        self._recent[number] = None
        self._recent.move_to_end(number)
        while len(self._recent) > MAX_RECENT:
            self._recent.popitem(last=False)
        changed = tuple(_changed(known, merged))
        self._put_in_force(merged, changed)
        return changed

    def install_part(self, part: messages.PagePart) -> tuple[str, ...]:
        """Takes in some records of a page; returns the changed rows' keys."""
        known = self.page(part.page)
        merged = pages.with_records(
            known, part.records, sequence=known.sequence
        )
        if merged.digest == part.digest or part.is_complete:
            merged = pages.with_records(merged, (), sequence=part.sequence)
        return self.install(part.page, merged)

    def digest(self, number: int) -> messages.PageDigest:
        """Returns sequence and digest of a page."""
        page = self.page(number)
        return messages.PageDigest(
            page=number, sequence=page.sequence, digest=page.digest
        )

    def digests(self) -> tuple[messages.PageDigest, ...]:
        """Returns the digests of all pages that are not empty."""
        return tuple(map(self.digest, sorted(self._page_by_number)))

    def recent(self) -> tuple[messages.PageDigest, ...]:
        """Returns the digests of the pages that changed last."""
        return tuple(map(self.digest, reversed(self._recent)))

    def _put_in_force(self, page: pages.Page, row_keys: Iterable[str]) -> None:
        row_by_key = dict(self._in_force.row_by_key)
        for row_key in row_keys:
            row = page.by_row_key[row_key].row
            if row is None:
                row_by_key.pop(row_key, None)
            else:
                row_by_key[row_key] = row
        self._in_force = _RowIndex(row_by_key)

    def __len__(self) -> int:
        return len(self._in_force.row_by_key)

    def __repr__(self) -> str:
        return f"InstalledPages(rows={len(self)}, root={self.root})"


def _page_hash(page: pages.Page) -> int:
    return page.digest & _DIGEST_MASK


def _changed(known: pages.Page, merged: pages.Page) -> Iterator[str]:
    for row_key, record in merged.by_row_key.items():
        before = known.by_row_key.get(row_key)
        if before is None or record.precedence != before.precedence:
            yield row_key
