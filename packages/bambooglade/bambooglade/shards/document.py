"""The document of a shard in the platform's service, and its rules.

One document per shard names the pair that serves it in each availability zone
and holds the ledger of its budgets. Every function returns a new document; the
writer puts it in place by compare-and-swap, which fences both at once.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping

import msgspec

from bambooglade.core import identifiers
from bambooglade.shards import assignments

KEY_PREFIX = "accounts"
RECENT_EDITS = 64
"""Edit ids that an account remembers, so that repeating one does nothing."""


class ZoneCounters(msgspec.Struct, frozen=True, kw_only=True):
    """Cumulative counters of one zone for one budget, in tokens.

    Attributes:
        granted: Rights moved to the zone.
        returned: Rights that the zone gave back.
        settled: Spent by the zone's settled requests, as last reported.
    """

    granted: int = 0
    returned: int = 0
    settled: int = 0

    @property
    def outstanding(self) -> int:
        """Returns the rights that lie in the zone, spent ones included."""
        return self.granted - self.returned


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """The ledger of one budget.

    Attributes:
        prepaid_tokens: What was paid for in all, or the spend limit.
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
        """Returns what is prepaid and granted to no zone."""
        return self.prepaid_tokens - sum(
            counters.outstanding
            for counters in self.counters_by_availability_zone.values()
        )

    def counters(self, zone: identifiers.AvailabilityZone) -> ZoneCounters:
        """Returns the counters of a zone, zero if it has none."""
        return self.counters_by_availability_zone.get(zone, ZoneCounters())

    def with_counters(
        self, zone: identifiers.AvailabilityZone, counters: ZoneCounters
    ) -> Account:
        """Returns the account with other counters for a zone."""
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
        """Returns the pair of a zone, or None."""
        return self.assignment_by_availability_zone.get(zone)

    def with_assignment(
        self,
        zone: identifiers.AvailabilityZone,
        assignment: assignments.Assignment,
    ) -> ShardDocument:
        """Returns the document with another pair for a zone."""
        by_zone = self.assignment_by_availability_zone | {zone: assignment}
        return msgspec.structs.replace(
            self, assignment_by_availability_zone=by_zone
        )

    def with_account(
        self, budget_id: identifiers.BudgetId, account: Account
    ) -> ShardDocument:
        """Returns the document with another state of an account."""
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
    """Returns the shard whose document has this key."""
    return identifiers.ShardId(int(key.rpartition("/")[2]))


def encode(document: ShardDocument) -> bytes:
    """Returns the JSON form of a document."""
    return msgspec.json.encode(document)


def decode(value: bytes | None) -> ShardDocument:
    """Returns the document of a value, an empty one for a missing key."""
    if value is None:
        return ShardDocument()
    return msgspec.json.decode(value, type=ShardDocument)


def violations(old: ShardDocument, new: ShardDocument) -> Iterator[str]:
    """Yields how a write would break the ledger's rules; nothing if it is fine.

    Args:
        old: The document that was read.
        new: The document to be written over it.
    """
    for budget_id, account in new.account_by_budget_id.items():
        before = old.account_by_budget_id.get(budget_id, Account())
        if account.free_tokens < min(0, before.free_tokens):
            yield f"{budget_id}: more is granted than prepaid"
        yield from _decreased_counters(
            budget_id,
            before.counters_by_availability_zone,
            account.counters_by_availability_zone,
        )
    for budget_id in old.account_by_budget_id.keys() - new.account_by_budget_id:
        yield f"{budget_id}: the account is missing"
    for zone, assignment in old.assignment_by_availability_zone.items():
        if _order(new.assignment(zone)) < _order(assignment):
            yield f"{zone}: the epoch goes back"


def _decreased_counters(
    budget_id: identifiers.BudgetId,
    before: Mapping[identifiers.AvailabilityZone, ZoneCounters],
    after: Mapping[identifiers.AvailabilityZone, ZoneCounters],
) -> Iterator[str]:
    for zone, counters in before.items():
        now = after.get(zone, ZoneCounters())
        if now.granted < counters.granted:
            yield f"{budget_id}: granted of {zone} shrinks"
        if now.returned < counters.returned:
            yield f"{budget_id}: returned of {zone} shrinks"
        if now.settled < counters.settled:
            yield f"{budget_id}: settled of {zone} shrinks"


def _order(assignment: assignments.Assignment | None) -> tuple[int, int]:
    return (assignment.epoch, assignment.version) if assignment else (0, 0)
