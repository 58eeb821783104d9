"""Requests and answers of the operators' interface, below `/operator`.

The router and the operators' binary share them; they travel as JSON.
"""

from __future__ import annotations

import enum

import msgspec

from bambooglade.router import trace
from bambooglade.table import rows


class Role(enum.StrEnum):
    """What an operator may do; each role includes the ones before it."""

    VIEWER = "viewer"
    EDITOR = "editor"
    ADMIN = "admin"

    def includes(self, needed: Role) -> bool:
        """Returns whether this role may do what the needed one may.

        Examples:
            >>> Role.ADMIN.includes(Role.EDITOR)
            True
            >>> Role.VIEWER.includes(Role.EDITOR)
            False
        """
        order = list(Role)
        return order.index(self) >= order.index(needed)


class Operator(msgspec.Struct, frozen=True, kw_only=True):
    """An authenticated operator."""

    name: str
    role: Role


class RowEdit(msgspec.Struct, frozen=True, kw_only=True):
    """One row to be written or deleted.

    Attributes:
        row_key: Key of the row.
        expected_version: Version that the operator saw; 0 for a new row.
        row: The new row; None deletes it.
    """

    row_key: str
    expected_version: int
    row: rows.Row | None


class EditRows(msgspec.Struct, frozen=True, kw_only=True):
    """Edits rows; each is accepted or refused on its own.

    Attributes:
        edit_id: Repeating the edit with the same id changes nothing.
        edits: At most `MAX_EDITS` rows.
    """

    edit_id: str
    edits: tuple[RowEdit, ...]


MAX_EDITS = 500
"""Rows in one `EditRows`."""


class VersionedRow(msgspec.Struct, frozen=True, kw_only=True):
    """A row in force.

    Attributes:
        row: The row; None when it was deleted.
        version: Grows with every accepted edit of the row.
        edited_by: Operator of the last edit.
        edited_at_ms: When it was edited; milliseconds since the epoch.
    """

    row_key: str
    row: rows.Row | None
    version: int
    edited_by: str
    edited_at_ms: int


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why something was refused, as in a problem document."""

    kind: str
    detail: str
    remedy: str


class RowOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """What became of one edited row.

    Attributes:
        version: The new version, or the current one when it was refused.
        refusal: None when the edit was accepted.
        current: The row in force, when the edit was refused as stale.
    """

    row_key: str
    version: int
    refusal: Refusal | None = None
    current: VersionedRow | None = None


class EditOutcomes(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `EditRows`, in the order of the edits."""

    edit_id: str
    outcomes: tuple[RowOutcome, ...]


class RowList(msgspec.Struct, frozen=True, kw_only=True):
    """The rows in force at the answering instance, sorted by key."""

    rows: tuple[VersionedRow, ...]


class TopUpBudget(msgspec.Struct, frozen=True, kw_only=True):
    """Adds to the prepaid amount of a budget.

    Attributes:
        edit_id: Repeating the top-up with the same id changes nothing.
        budget_id: Row key of the team, for instance `team/hall-3`.
        tokens: Amount to add; 1 or more.
    """

    edit_id: str
    budget_id: str
    tokens: int


class BudgetToppedUp(msgspec.Struct, frozen=True, kw_only=True):
    """The top-up is confirmed; `prepaid_tokens` is the new total."""

    edit_id: str
    budget_id: str
    prepaid_tokens: int


class ZoneRights(msgspec.Struct, frozen=True, kw_only=True):
    """Where a budget's rights lie in one availability zone, in tokens.

    Attributes:
        granted_tokens: Rights given to the zone, in all.
        returned_tokens: Rights that the zone gave back, in all.
        settled_tokens: Spend that the zone reported, in all.
        held_tokens: Rights that a lost instance may have spent.
        held_since_ms: When the oldest of them was held; None for none.
        primary: Instance that serves the budget in the zone.
        reserved_tokens: Upper bounds of the requests in progress.
        orphaned_tokens: Part of the held and reserved ones that is for
            requests of instances believed dead; a release frees them.
        is_current: Whether the primary answered; if not, the amounts are those
            that it last wrote to the document.
    """

    availability_zone: str
    granted_tokens: int
    returned_tokens: int
    settled_tokens: int
    held_tokens: int = 0
    held_since_ms: int | None = None
    primary: str | None = None
    reserved_tokens: int = 0
    orphaned_tokens: int = 0
    is_current: bool = False


class BudgetDescription(msgspec.Struct, frozen=True, kw_only=True):
    """A budget, with what is granted where."""

    budget_id: str
    prepaid_tokens: int
    zones: tuple[ZoneRights, ...]

    @property
    def settled_tokens(self) -> int:
        """Returns the spend that all zones have reported, in tokens."""
        return sum(zone.settled_tokens for zone in self.zones)

    @property
    def ungranted_tokens(self) -> int:
        """Returns the rights that no zone holds, in tokens."""
        granted = sum(
            zone.granted_tokens - zone.returned_tokens for zone in self.zones
        )
        return self.prepaid_tokens - granted


class ReleaseHeld(msgspec.Struct, frozen=True, kw_only=True):
    """Gives the held rights of a zone back to the budget.

    Attributes:
        edit_id: Repeating the release with the same id changes nothing.
        tokens: How much to release; at most what is held.
    """

    edit_id: str
    budget_id: str
    availability_zone: str
    tokens: int


class HeldReleased(msgspec.Struct, frozen=True, kw_only=True):
    """The release is confirmed."""

    edit_id: str
    budget_id: str
    released_tokens: int


class InstanceState(enum.StrEnum):
    """State of an instance, as the answering instance believes it."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    GONE = "gone"


class InstanceDescription(msgspec.Struct, frozen=True, kw_only=True):
    """One instance of the fleet."""

    instance_id: str
    availability_zone: str
    url: str
    state: InstanceState


class FleetDescription(msgspec.Struct, frozen=True, kw_only=True):
    """The fleet, as one instance believes it to be."""

    seen_by: str
    instances: tuple[InstanceDescription, ...]


class ShardDescription(msgspec.Struct, frozen=True, kw_only=True):
    """Who serves a shard in an availability zone."""

    shard: int
    availability_zone: str
    epoch: int
    primary: str
    backup: str | None
    history_lost_at_ms: int | None = None


class ShardList(msgspec.Struct, frozen=True, kw_only=True):
    """The newest assignments that the answering instance knows."""

    seen_by: str
    shards: tuple[ShardDescription, ...]


class TargetDescription(msgspec.Struct, frozen=True, kw_only=True):
    """A target, as the answering instance sees it.

    Attributes:
        state: For instance `ready`, `leaving` or `open` (circuit breaker).
        weight: Capacity weight in use.
        outstanding: Calls of the answering instance in progress there.
        reported_load: Last load report, corrected by own dispatches.
    """

    target_id: str
    service: str
    availability_zone: str
    url: str
    state: str
    weight: float
    outstanding: int = 0
    reported_load: float | None = None


class TargetList(msgspec.Struct, frozen=True, kw_only=True):
    """All targets that the answering instance knows."""

    seen_by: str
    targets: tuple[TargetDescription, ...]


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """The decisions on a request that the answering instance remembers."""

    key: str
    seen_by: str
    decisions: tuple[trace.Decision, ...]
