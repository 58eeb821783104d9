"""Messages about the table: edits, and comparisons between instances."""

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
        expected_version: Version that the editor saw; 0 for a row that does
            not exist.
        row: The new row.
    """

    row_key: str
    expected_version: int
    row: rows.Row | None


class EditRows(effects.Message, frozen=True, kw_only=True):
    """Edits rows; each is accepted or refused on its own.

    Attributes:
        edit_id: Names the edit; repeating it changes nothing.
        edited_by: The operator.
        changes: One for each row; not two for the same row.
        deadline_ms: When the operator stops waiting.
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
    """Returns the edit that sets one row."""
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
    """Returns the edit that deletes one row."""
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
    """The change is in the platform's service, at this version."""

    row_key: str
    version: int


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """The change was not made."""

    row_key: str
    failure: failures.Failure


class Unknown(msgspec.Struct, frozen=True, kw_only=True):
    """The change may have been made; repeat the edit with the same id."""

    row_key: str
    failure: failures.Failure


Outcome: TypeAlias = Accepted | Refused | Unknown


class EditAnswered(effects.Effect, frozen=True, kw_only=True):
    """The outcomes of an edit, one a change and in their order."""

    edit_id: identifiers.EditId
    outcomes: tuple[Outcome, ...]


class RowsInstalled(effects.Effect, frozen=True, kw_only=True):
    """Rows are in force at this instance from now on."""

    row_keys: tuple[str, ...]


class PageDigest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Sequence and digest of a page at the sender."""

    page: int
    sequence: int
    digest: int


class TableSummary(effects.Message, frozen=True, kw_only=True):
    """What the sender has, in short.

    Attributes:
        root: Digest of all pages.
        loaded: Whether the sender has the whole table.
        recent: The pages that it installed last.
        is_reply: Whether it answers another summary.
    """

    root: int
    loaded: bool
    recent: tuple[PageDigest, ...] = ()
    is_reply: bool = False


class PullDigests(effects.Message, frozen=True, kw_only=True):
    """Asks for the digests of all pages."""


class PageDigests(effects.Message, frozen=True, kw_only=True):
    """The digests of all pages that are not empty."""

    root: int
    loaded: bool
    digests: tuple[PageDigest, ...]


ALL_RECORDS = -1
"""As `after_sequence`: asks for all records of a page."""


class PageRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Asks for the records of a page that are newer than a sequence."""

    page: int
    after_sequence: int


class PullPages(effects.Message, frozen=True, kw_only=True):
    """Asks for pages."""

    requests: tuple[PageRequest, ...]


class PagePart(msgspec.Struct, frozen=True, kw_only=True):
    """Records of a page, with the digest of the whole page at the sender."""

    page: int
    sequence: int
    digest: int
    after_sequence: int
    records: tuple[pages.RowRecord, ...]

    @property
    def is_complete(self) -> bool:
        """Whether it has all records of the page."""
        return self.after_sequence == ALL_RECORDS


class PageParts(effects.Message, frozen=True, kw_only=True):
    """Answer to `PullPages`."""

    parts: tuple[PagePart, ...]
