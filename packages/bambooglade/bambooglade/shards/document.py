"""The document of a shard in the platform's service, and its invariants.

Each shard has one document with its primary and backup in every availability
zone and the ledger of its budgets. Documents are immutable: functions return a
new document, which is written by compare-and-swap. The write thus fences both
the assignments and the ledger.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping

import msgspec

from bambooglade.core import identifiers
from bambooglade.core import json_documents
from bambooglade.shards import assignments

KEY_PREFIX = "accounts"
RECENT_EDITS = 64
"""Number of edit ids stored per account to make edits idempotent."""


class ZoneCounters(msgspec.Struct, frozen=True, kw_only=True):
    """Cumulative counters of one zone for one budget, in tokens.

    Attributes:
        granted: Rights moved to the zone.
        returned: Rights that the zone returned.
        settled: Tokens spent by the zone's settled requests, as last reported.
    """

    granted: int = 0
    returned: int = 0
    settled: int = 0

    @property
    def outstanding(self) -> int:
        """Returns the rights present in the zone, including spent ones."""
        return self.granted - self.returned


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """The ledger of one budget.

    Attributes:
        prepaid_tokens: Total prepaid tokens, or the spend limit.
        recent_edit_ids: Edits that were applied, oldest first.
        counters_by_availability_zone: Counters of each zone with rights.
    """

    prepaid_tokens: int = 0
    recent_edit_ids: tuple[identifiers.EditId, ...] = ()
    counters_by_availability_zone: dict[
        identifiers.AvailabilityZone, ZoneCounters
    ] = msgspec.field(default_factory=dict)

    @property
    def free_tokens(self) -> int:
        """Returns the prepaid tokens that are not granted to any zone."""
        return self.prepaid_tokens - sum(
            counters.outstanding
            for counters in self.counters_by_availability_zone.values()
        )

    def counters(self, zone: identifiers.AvailabilityZone) -> ZoneCounters:
        """Returns the counters of a zone; all 0 if the zone has none."""
        return self.counters_by_availability_zone.get(zone, ZoneCounters())

    def with_counters(
        self, zone: identifiers.AvailabilityZone, counters: ZoneCounters
    ) -> Account:
        """Returns the account with the counters of a zone replaced."""
        by_zone = self.counters_by_availability_zone | {zone: counters}
        return msgspec.structs.replace(
            self, counters_by_availability_zone=by_zone
        )


class ShardDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Assignments and accounts of one shard.

    Examples:
        >>> document = ShardDocument().topped_up(
        ...     identifiers.BudgetId("team/t1"), tokens=50,
        ...     edit_id=identifiers.EditId("e1"))
        >>> document.account_by_budget_id["team/t1"].free_tokens
        50
        >>> document.topped_up(identifiers.BudgetId("team/t1"), tokens=50,
        ...     edit_id=identifiers.EditId("e1")) is document
        True
    """

    assignment_by_availability_zone: dict[
        identifiers.AvailabilityZone, assignments.Assignment
    ] = msgspec.field(default_factory=dict)
    account_by_budget_id: dict[identifiers.BudgetId, Account] = msgspec.field(
        default_factory=dict
    )

    def assignment(
        self, zone: identifiers.AvailabilityZone
    ) -> assignments.Assignment | None:
        """Returns the assignment of a zone, or None."""
        return self.assignment_by_availability_zone.get(zone)

    def with_assignment(
        self,
        zone: identifiers.AvailabilityZone,
        assignment: assignments.Assignment,
    ) -> ShardDocument:
        """Returns the document with the assignment of a zone replaced."""
        by_zone = self.assignment_by_availability_zone | {zone: assignment}
        return msgspec.structs.replace(
            self, assignment_by_availability_zone=by_zone
        )

    def with_account(
        self, budget_id: identifiers.BudgetId, account: Account
    ) -> ShardDocument:
        """Returns the document with an account replaced."""
        by_id = self.account_by_budget_id | {budget_id: account}
        return msgspec.structs.replace(self, account_by_budget_id=by_id)

    def topped_up(
        self,
        budget_id: identifiers.BudgetId,
        *,
        tokens: int,
        edit_id: identifiers.EditId,
    ) -> ShardDocument:
        """Returns the document with an edit of the prepaid amount applied.

        Args:
            budget_id: The account; it is created when it does not exist.
            tokens: Added to the prepaid amount; a negative number deducts.
            edit_id: Repeating an applied edit returns the same document.
        """
        account = self.account_by_budget_id.get(budget_id, Account())
        if edit_id in account.recent_edit_ids:
            return self
        changed = msgspec.structs.replace(
            account,
            prepaid_tokens=account.prepaid_tokens + tokens,
            recent_edit_ids=(*account.recent_edit_ids, edit_id)[-RECENT_EDITS:],
        )
        return self.with_account(budget_id, changed)


def document_key(shard: identifiers.ShardId) -> str:
    """Returns the key of a shard's document.

    Examples:
        >>> document_key(identifiers.ShardId(7))
        'accounts/7'
    """
    return f"{KEY_PREFIX}/{shard}"


def shard_of_key(key: str) -> identifiers.ShardId:
    """Returns the shard of a document key."""
    return identifiers.ShardId(int(key.rpartition("/")[2]))


def encode(document: ShardDocument) -> bytes:
    """Encodes a document as JSON."""
    return msgspec.json.encode(document)


def decode(value: bytes | None) -> ShardDocument:
    """Decodes a stored value; returns an empty document for a missing key."""
    if value is None:
        return ShardDocument()
    return json_documents.decode(value, ShardDocument)


def violations(old: ShardDocument, new: ShardDocument) -> Iterator[str]:
    """Yields a description of each invariant that a write would violate.

    Args:
        old: The document that was read.
        new: The document to write over it.
    """
    for budget_id, account in new.account_by_budget_id.items():
        before = old.account_by_budget_id.get(budget_id, Account())
        if account.free_tokens < min(0, before.free_tokens):
            yield f"{budget_id}: more tokens are granted than prepaid"
        yield from _decreased_counters(
            budget_id,
            before.counters_by_availability_zone,
            account.counters_by_availability_zone,
        )
    for budget_id in old.account_by_budget_id.keys() - new.account_by_budget_id:
        yield f"{budget_id}: the account is missing"
    for zone, assignment in old.assignment_by_availability_zone.items():
        if _order(new.assignment(zone)) < _order(assignment):
            yield f"{zone}: the epoch or version decreases"


def _decreased_counters(
    budget_id: identifiers.BudgetId,
    before: Mapping[identifiers.AvailabilityZone, ZoneCounters],
    after: Mapping[identifiers.AvailabilityZone, ZoneCounters],
) -> Iterator[str]:
    for zone, counters in before.items():
        now = after.get(zone, ZoneCounters())
        if now.granted < counters.granted:
            yield f"{budget_id}: granted of {zone} decreases"
        if now.returned < counters.returned:
            yield f"{budget_id}: returned of {zone} decreases"
        if now.settled < counters.settled:
            yield f"{budget_id}: settled of {zone} decreases"


def _order(assignment: assignments.Assignment | None) -> tuple[int, int]:
    return (assignment.epoch, assignment.version) if assignment else (0, 0)
