"""Requests and responses of the operators' interface, below `/operator`.

The router and the operators' command-line tool share them. They are encoded as
JSON.
"""

from __future__ import annotations

import enum

import msgspec

from bambooglade.router import trace
from bambooglade.table import rows


class Role(enum.StrEnum):
    """Role of an operator; each role includes the ones listed before it."""

    VIEWER = "viewer"
    EDITOR = "editor"
    ADMIN = "admin"

    def includes(self, needed: Role) -> bool:
        """Returns whether this role has all permissions of the needed one.

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
    """Request to edit rows; each is accepted or refused on its own.

    Attributes:
        edit_id: Repeating the edit with the same id changes nothing.
        edits: At most `MAX_EDITS` rows.
    """

    edit_id: str
    edits: tuple[RowEdit, ...]


MAX_EDITS = 500
"""Maximum number of rows in one `EditRows`."""


class VersionedRow(msgspec.Struct, frozen=True, kw_only=True):
    """A row in force.

    Attributes:
        row: The row; None if it was deleted.
        version: Incremented by every accepted edit of the row.
        edited_by: Name of the operator who made the last edit.
        edited_at_ms: Time of the last edit, in ms since the Unix epoch.
    """

    row_key: str
    row: rows.Row | None
    version: int
    edited_by: str
    edited_at_ms: int


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Reason for a refusal, with the fields of a problem document."""

    kind: str
    detail: str
    remedy: str


class RowOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of the edit of one row.

    Attributes:
        version: The new version, or the current one if the edit was refused.
        refusal: Reason for the refusal; None if the edit was accepted.
        current: The row in force if the edit was refused.
    """

    row_key: str
    version: int
    refusal: Refusal | None = None
    current: VersionedRow | None = None


class EditOutcomes(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `EditRows`, with outcomes in the order of the edits."""

    edit_id: str
    outcomes: tuple[RowOutcome, ...]


class RowList(msgspec.Struct, frozen=True, kw_only=True):
    """The rows in force at the responding instance, sorted by key."""

    rows: tuple[VersionedRow, ...]


class TopUpBudget(msgspec.Struct, frozen=True, kw_only=True):
    """Request to add tokens to the prepaid amount of a budget.

    Attributes:
        edit_id: Repeating the top-up with the same id changes nothing.
        budget_id: Row key of the team, for instance `team/hall-3`.
        tokens: Amount to add; 1 or more.
    """

    edit_id: str
    budget_id: str
    tokens: int


class BudgetToppedUp(msgspec.Struct, frozen=True, kw_only=True):
    """Confirmation of a top-up; `prepaid_tokens` is the new total."""

    edit_id: str
    budget_id: str
    prepaid_tokens: int


class ZoneRights(msgspec.Struct, frozen=True, kw_only=True):
    """Rights of a budget in one availability zone, in tokens.

    Attributes:
        granted_tokens: Total of the rights granted to the zone.
        returned_tokens: Total of the rights that the zone returned.
        settled_tokens: Total spend that the zone reported.
        held_tokens: Rights that a lost instance may have spent.
        held_since_ms: Time since which the oldest of them is held; None if
            unknown or if nothing is held.
        primary: Instance that serves the budget in the zone.
        reserved_tokens: Upper bounds of the requests in progress.
        orphaned_tokens: Part of the held and reserved tokens that belongs to
            requests of instances believed dead; a release frees it.
        is_current: Whether the primary responded; if not, the amounts are those
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
    """A budget and its rights in each availability zone."""

    budget_id: str
    prepaid_tokens: int
    zones: tuple[ZoneRights, ...]

    @property
    def settled_tokens(self) -> int:
        """Spend reported by all zones, in tokens."""
        return sum(zone.settled_tokens for zone in self.zones)

    @property
    def ungranted_tokens(self) -> int:
        """Rights not granted to any zone, in tokens."""
        granted = sum(
            zone.granted_tokens - zone.returned_tokens for zone in self.zones
        )
        return self.prepaid_tokens - granted


class ReleaseHeld(msgspec.Struct, frozen=True, kw_only=True):
    """Request to return held rights of a zone to the budget.

    Attributes:
        edit_id: Repeating the release with the same id changes nothing.
        tokens: Amount to release; at most the held amount is released.
    """

    edit_id: str
    budget_id: str
    availability_zone: str
    tokens: int


class HeldReleased(msgspec.Struct, frozen=True, kw_only=True):
    """Confirmation of a release."""

    edit_id: str
    budget_id: str
    released_tokens: int


class InstanceState(enum.StrEnum):
    """State of an instance in the view of the responding instance."""

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
    """The fleet in the view of the instance `seen_by`."""

    seen_by: str
    instances: tuple[InstanceDescription, ...]


class ShardDescription(msgspec.Struct, frozen=True, kw_only=True):
    """The instances that serve a shard in an availability zone."""

    shard: int
    availability_zone: str
    epoch: int
    primary: str
    backup: str | None
    history_lost_at_ms: int | None = None


class ShardList(msgspec.Struct, frozen=True, kw_only=True):
    """The newest assignments received by the responding instance."""

    seen_by: str
    shards: tuple[ShardDescription, ...]


class TargetDescription(msgspec.Struct, frozen=True, kw_only=True):
    """A target in the view of the responding instance.

    Attributes:
        state: `ready`, or the reason why the target gets no requests, such as
            `leaving` or `circuit open`.
        weight: Capacity weight in use.
        outstanding: Requests in flight from the responding instance.
        reported_load: Last load report, adjusted for the dispatches of the
            responding instance since then.
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
    """All targets in the table of the responding instance."""

    seen_by: str
    targets: tuple[TargetDescription, ...]


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """The decisions on a request that the responding instance has recorded."""

    key: str
    seen_by: str
    decisions: tuple[trace.Decision, ...]
