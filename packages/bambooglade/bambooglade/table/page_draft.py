"""One page while edits are applied to it, and the failures of edits."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import ClassVar

import result

from bambooglade.core import failures
from bambooglade.table import messages
from bambooglade.table import pages
from bambooglade.table import rows

RowCheck = Callable[
    [rows.Row, Sequence[rows.Row]], result.Result[None, failures.Failure]
]
"""Checks a row that is written together with the given ones."""


class StaleEdit(failures.Failure, frozen=True, kw_only=True):
    """The row changed since the editor saw it.

    Attributes:
        current_version: Version to name when the edit is made again.
        edited_by: Who changed the row.
        edited_at_ms: When; milliseconds since the epoch.
        current_row: The row as it is now; None if it is deleted.
    """

    kind: ClassVar[str] = "stale_edit"
    http_status: ClassVar[int] = 409
    remedy: ClassVar[str] = (
        "Read the row again, make the change to what it says now, and send "
        "it with the current version."
    )

    current_version: int
    edited_by: str
    edited_at_ms: int
    current_row: rows.Row | None


class WrongKey(failures.BadRequest, frozen=True, kw_only=True):
    """The key of the change is not that of its row."""

    kind: ClassVar[str] = "wrong_row_key"
    remedy: ClassVar[str] = "Give the key that the columns of the row make up."


class PageFull(failures.Failure, frozen=True, kw_only=True):
    """The page would be larger than the service takes."""

    kind: ClassVar[str] = "page_full"
    http_status: ClassVar[int] = 507
    remedy: ClassVar[str] = (
        "Delete rows that are not used, or raise table.page_count."
    )


class ServiceUnavailable(failures.Unavailable, frozen=True, kw_only=True):
    """The platform's service can't be reached; nothing was changed."""

    kind: ClassVar[str] = "table_service_unavailable"
    remedy: ClassVar[str] = (
        "Repeat the edit later, or through an instance of another zone."
    )


class EditUnknown(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The edit may have been made."""

    kind: ClassVar[str] = "edit_unknown"
    remedy: ClassVar[str] = (
        "Repeat the edit with the same edit id; it is not made twice."
    )


class PageDraft:
    """A page to which edits are applied one after the other.

    Args:
        base: The page as it is.
        now_ms: Time of the edit.
    """

    __slots__ = ("_base", "_by_row_key", "_now_ms", "is_changed")

    def __init__(self, *, base: pages.Page, now_ms: int) -> None:
        self._base = base
        self._by_row_key = dict(base.by_row_key)
        self._now_ms = now_ms
        self.is_changed = False

    def apply(
        self,
        edit: messages.EditRows,
        change: messages.RowChange,
        check: RowCheck,
    ) -> result.Result[None, failures.Failure]:
        """Makes one change; one that was made before is left as it is."""
        known = self._by_row_key.get(change.row_key)
        if known is not None and edit.edit_id in known.edit_ids:
            return result.Ok(None)
        checked = _check_version(change, known).and_then(
            lambda _: _check_row(edit, change, check)
        )
        if checked.is_err():
            return checked
        return self._put(_edited(edit, change, known, self))

    def page(self) -> pages.Page:
        """Returns the page with the edits, as it is to be written."""
        return pages.without_expired_tombstones(
            pages.Page(
                sequence=self.sequence,
                by_row_key=self._by_row_key,
                version_floor=self._base.version_floor,
            ),
            now_ms=self._now_ms,
        )

    @property
    def sequence(self) -> int:
        """Sequence of the page once it is written."""
        return self._base.sequence + 1

    def version(self, row_key: str) -> int:
        """Returns the version of a row before its next edit."""
        known = self._by_row_key.get(row_key)
        return known.version if known else self._base.version_floor

    @property
    def now_ms(self) -> int:
        """Time of the edits."""
        return self._now_ms

    def _put(
        self, record: pages.RowRecord
    ) -> result.Result[None, failures.Failure]:
        before = self._by_row_key.get(record.row_key)
        self._by_row_key[record.row_key] = record
        size = len(pages.encode(self.page()))
        if size > pages.MAX_PAGE_BYTES:
            if before is None:
                del self._by_row_key[record.row_key]
            else:
                self._by_row_key[record.row_key] = before
            return result.Err(
                PageFull(detail=f"The page would have {size} bytes.")
            )
        self.is_changed = True
        return result.Ok(None)

    def __repr__(self) -> str:
        return (
            f"PageDraft(sequence={self.sequence}, is_changed={self.is_changed})"
        )


def _edited(
    edit: messages.EditRows,
    change: messages.RowChange,
    known: pages.RowRecord | None,
    draft: PageDraft,
) -> pages.RowRecord:
    edit_ids = (*known.edit_ids, edit.edit_id) if known else (edit.edit_id,)
    return pages.RowRecord(
        row_key=change.row_key,
        version=draft.version(change.row_key) + 1,
        sequence=draft.sequence,
        row=change.row,
        edit_ids=edit_ids[-pages.MAX_EDIT_IDS :],
        edited_by=edit.edited_by,
        edited_at_ms=draft.now_ms,
    )


def _check_version(
    change: messages.RowChange, known: pages.RowRecord | None
) -> result.Result[None, failures.Failure]:
    version = known.version if known else 0
    is_new = known is None or known.row is None
    if change.expected_version == version:
        return result.Ok(None)
    if change.expected_version == 0 and is_new:
        return result.Ok(None)
    if known is None:
        found = "it does not exist"
    else:
        found = f"it is at version {version}, edited by {known.edited_by}"
    return result.Err(
        StaleEdit(
            detail=f"The edit of {change.row_key} is based on version "
            f"{change.expected_version}, but {found}.",
            current_version=version,
            edited_by=known.edited_by if known else "",
            edited_at_ms=known.edited_at_ms if known else 0,
            current_row=known.row if known else None,
        )
    )


def _check_row(
    edit: messages.EditRows, change: messages.RowChange, check: RowCheck
) -> result.Result[None, failures.Failure]:
    if change.row is None:
        return result.Ok(None)
    if change.row.row_key != change.row_key:
        return result.Err(
            WrongKey(
                detail=f"The change is for {change.row_key}, its row is "
                f"{change.row.row_key}."
            )
        )
    written = [each.row for each in edit.changes if each.row is not None]
    return check(change.row, written)
