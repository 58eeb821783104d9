"""Draft of a page that edits are applied to, and the failures of edits."""

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
"""Validates a row, given all rows that the same edit writes."""


class StaleEdit(failures.Failure, frozen=True, kw_only=True):
    """The row has changed since the version that the edit is based on.

    Attributes:
        current_version: Current version, to be expected by the next attempt.
        edited_by: Name of the operator who made the last edit.
        edited_at_ms: Time of the last edit, in milliseconds since the epoch.
        current_row: Current content of the row; None if it is deleted.
    """

    kind: ClassVar[str] = "stale_edit"
    http_status: ClassVar[int] = 409
    remedy: ClassVar[str] = (
        "Read the row again, apply the change to its current content, and "
        "send it with the current version."
    )

    current_version: int
    edited_by: str
    edited_at_ms: int
    current_row: rows.Row | None


class WrongKey(failures.BadRequest, frozen=True, kw_only=True):
    """The key of a change differs from the key of its row."""

    kind: ClassVar[str] = "wrong_row_key"
    remedy: ClassVar[str] = (
        "Use the key that follows from the columns of the row."
    )


class PageFull(failures.Failure, frozen=True, kw_only=True):
    """The page would exceed `pages.MAX_PAGE_BYTES`."""

    kind: ClassVar[str] = "page_full"
    http_status: ClassVar[int] = 507
    remedy: ClassVar[str] = "Delete unused rows, or increase table.page_count."


class ServiceUnavailable(failures.Unavailable, frozen=True, kw_only=True):
    """The key-value service is unreachable; nothing was changed."""

    kind: ClassVar[str] = "table_service_unavailable"
    remedy: ClassVar[str] = (
        "Repeat the edit later, or via an instance in another availability "
        "zone."
    )


class EditUnknown(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The edit may have been applied."""

    kind: ClassVar[str] = "edit_unknown"
    remedy: ClassVar[str] = (
        "Repeat the edit with the same edit id; it is applied at most once."
    )


class PageDraft:
    """A copy of a page to which edits are applied one after the other.

    Args:
        base: Current page.
        now_ms: Time of the edits, in milliseconds since the epoch.
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
        """Applies one change, unless the edit was applied to the row before."""
        current = self._by_row_key.get(change.row_key)
        if current is not None and edit.edit_id in current.edit_ids:
            return result.Ok(None)
        checked = _check_version(change, current).and_then(
            lambda _: _check_row(edit, change, check)
        )
        if checked.is_err():
            return checked
        return self._put(_edited_record(edit, change, current, self))

    def page(self) -> pages.Page:
        """Returns the page to be written, with the edits applied."""
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
        """Sequence number of the page to be written."""
        return self._base.sequence + 1

    def version(self, row_key: str) -> int:
        """Returns the version that the next edit of a row increments."""
        current = self._by_row_key.get(row_key)
        return current.version if current else self._base.version_floor

    @property
    def now_ms(self) -> int:
        """Time of the edits."""
        return self._now_ms

    def _put(
        self, record: pages.RowRecord
    ) -> result.Result[None, failures.Failure]:
        previous = self._by_row_key.get(record.row_key)
        self._by_row_key[record.row_key] = record
        size = len(pages.encode(self.page()))
        if size > pages.MAX_PAGE_BYTES:
            if previous is None:
                del self._by_row_key[record.row_key]
            else:
                self._by_row_key[record.row_key] = previous
            return result.Err(
                PageFull(
                    detail=f"The page would have {size} bytes, which exceeds "
                    "the limit."
                )
            )
        self.is_changed = True
        return result.Ok(None)

    def __repr__(self) -> str:
        return (
            f"PageDraft(sequence={self.sequence}, is_changed={self.is_changed})"
        )


def _edited_record(
    edit: messages.EditRows,
    change: messages.RowChange,
    current: pages.RowRecord | None,
    draft: PageDraft,
) -> pages.RowRecord:
    edit_ids = (*current.edit_ids, edit.edit_id) if current else (edit.edit_id,)
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
    change: messages.RowChange, current: pages.RowRecord | None
) -> result.Result[None, failures.Failure]:
    version = current.version if current else 0
    is_absent = current is None or current.row is None
    if change.expected_version == version:
        return result.Ok(None)
    if change.expected_version == 0 and is_absent:
        return result.Ok(None)
    if current is None:
        found = "it does not exist"
    else:
        found = f"it is at version {version}, edited by {current.edited_by}"
    return result.Err(
        StaleEdit(
            detail=f"The edit of {change.row_key} is based on version "
            f"{change.expected_version}, but {found}.",
            current_version=version,
            edited_by=current.edited_by if current else "",
            edited_at_ms=current.edited_at_ms if current else 0,
            current_row=current.row if current else None,
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
                detail=f"The change has the key {change.row_key}, but its row "
                f"has the key {change.row.row_key}."
            )
        )
    edited_rows = [each.row for each in edit.changes if each.row is not None]
    return check(change.row, edited_rows)
