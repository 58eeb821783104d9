"""Messages of the table: edits, and synchronization between instances."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from bambooglade.core import effects
from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.table import pages
from bambooglade.table import rows


class RowChange(msgspec.Struct, frozen=True, kw_only=True):
    """One row to set, or to delete if `row` is None.

    Attributes:
        row_key: Key of the row.
        expected_version: Version that the edit is based on; 0 for a row that
            does not exist.
        row: New content of the row.
    """

    row_key: str
    expected_version: int
    row: rows.Row | None


class EditRows(effects.Message, frozen=True, kw_only=True):
    """Request to edit rows; each change is accepted or refused separately.

    Attributes:
        edit_id: Identifies the edit, so that a repeated edit is idempotent.
        edited_by: Name of the operator.
        changes: Changes, at most one for each row.
        deadline_ms: Time at which the operator stops waiting, in milliseconds
            since the epoch.
    """

    edit_id: identifiers.EditId
    edited_by: str
    changes: tuple[RowChange, ...]
    deadline_ms: int


def edit_row(
    row: rows.Row,
    *,
    expected_version: int,
    edit_id: identifiers.EditId,
    edited_by: str,
    deadline_ms: int,
) -> EditRows:
    """Returns an edit that sets one row."""
    change = RowChange(
        row_key=row.row_key, expected_version=expected_version, row=row
    )
    return EditRows(
        edit_id=edit_id,
        edited_by=edited_by,
        changes=(change,),
        deadline_ms=deadline_ms,
    )


def delete_row(
    row_key: str,
    *,
    expected_version: int,
    edit_id: identifiers.EditId,
    edited_by: str,
    deadline_ms: int,
) -> EditRows:
    """Returns an edit that deletes one row."""
    change = RowChange(
        row_key=row_key, expected_version=expected_version, row=None
    )
    return EditRows(
        edit_id=edit_id,
        edited_by=edited_by,
        changes=(change,),
        deadline_ms=deadline_ms,
    )


class Accepted(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome: the key-value service stored the change, at this version."""

    row_key: str
    version: int


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome: the change was not made."""

    row_key: str
    failure: failures.Failure


class Unknown(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome: the change may have been made.

    Repeating the edit with the same id is safe.
    """

    row_key: str
    failure: failures.Failure


Outcome: TypeAlias = Accepted | Refused | Unknown


class EditAnswered(effects.Effect, frozen=True, kw_only=True):
    """The outcomes of an edit, one for each change and in the same order."""

    edit_id: identifiers.EditId
    outcomes: tuple[Outcome, ...]


class RowsInstalled(effects.Effect, frozen=True, kw_only=True):
    """Rows of this instance changed; the new ones are in force."""

    row_keys: tuple[str, ...]


class PageDigest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Sequence number and digest of the sender's copy of a page."""

    page: int
    sequence: int
    digest: int


class TableSummary(effects.Message, frozen=True, kw_only=True):
    """Summary of the sender's copy of the table.

    Attributes:
        root: Digest of all pages.
        loaded: Whether the sender has loaded the whole table.
        recent: Digests of the pages that changed last at the sender.
        is_reply: Whether it responds to another summary.
    """

    root: int
    loaded: bool
    recent: tuple[PageDigest, ...] = ()
    is_reply: bool = False


class PullDigests(effects.Message, frozen=True, kw_only=True):
    """Request for the digests of all pages."""


class PageDigests(effects.Message, frozen=True, kw_only=True):
    """Digests of all pages that are not empty."""

    root: int
    loaded: bool
    digests: tuple[PageDigest, ...]


ALL_RECORDS = -1
"""Value of `after_sequence` that requests all records of a page."""


class PageRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Request for the records of a page after a sequence number."""

    page: int
    after_sequence: int


class PullPages(effects.Message, frozen=True, kw_only=True):
    """Request for records of several pages."""

    requests: tuple[PageRequest, ...]


class PagePart(msgspec.Struct, frozen=True, kw_only=True):
    """Records of a page, with the digest of the sender's whole page.

    Attributes:
        page: Number of the page.
        sequence: Sequence number of the page at the sender.
        digest: Digest of the whole page at the sender.
        after_sequence: Sequence number of the request, or `ALL_RECORDS`.
        records: Records that are newer than `after_sequence`.
    """

    page: int
    sequence: int
    digest: int
    after_sequence: int
    records: tuple[pages.RowRecord, ...]

    @property
    def is_complete(self) -> bool:
        """Whether it contains all records of the page."""
        return self.after_sequence == ALL_RECORDS


class PageParts(effects.Message, frozen=True, kw_only=True):
    """Response to `PullPages`."""

    parts: tuple[PagePart, ...]
