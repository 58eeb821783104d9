"""Top-ups of accounts by compare-and-swap, from any instance."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import enum

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.shards import document as documents

EDIT_TIMEOUT_MS = 5_000
"""Time after which an unconfirmed edit ends with an unknown outcome."""


class TopUp(effects.Message, frozen=True, kw_only=True):
    """Adds to the prepaid amount of a budget; any instance accepts it.

    Attributes:
        edit_id: Makes the edit idempotent.
        tokens: Tokens to add; a negative number deducts.
    """

    edit_id: identifiers.EditId
    budget_id: identifiers.BudgetId
    tokens: int


class EditOutcome(enum.StrEnum):
    """How an edit ended."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class TopUpEnded(effects.Effect, frozen=True, kw_only=True):
    """The outcome of a top-up, for the operator that requested it.

    Attributes:
        detail: Explanation with a remedy, if the top-up was not accepted.
        prepaid_tokens: Prepaid amount after the edit; None if not known.
    """

    edit_id: identifiers.EditId
    budget_id: identifiers.BudgetId
    outcome: EditOutcome
    detail: str = ""
    prepaid_tokens: int | None = None


@dataclasses.dataclass(slots=True)
class _Pending:
    top_up: TopUp
    since_ms: int


class PendingEdits:
    """The top-ups of one shard that were requested from this instance."""

    __slots__ = ("_by_edit_id",)

    def __init__(self) -> None:
        self._by_edit_id: dict[identifiers.EditId, _Pending] = {}

    def add(self, top_up: TopUp, now_ms: int) -> None:
        """Adds a top-up; a repeated edit id has no effect."""
        self._by_edit_id.setdefault(top_up.edit_id, _Pending(top_up, now_ms))

    def apply_to(
        self, document: documents.ShardDocument
    ) -> documents.ShardDocument:
        """Returns the document with all pending top-ups that it permits."""
        for pending in self._by_edit_id.values():
            if not _overdraws(pending.top_up, document):
                document = _topped_up(pending.top_up, document)
        return document

    def take_decided(
        self, document: documents.ShardDocument
    ) -> Iterator[effects.Effects]:
        """Removes top-ups decided by a document and yields their outcomes."""
        for edit_id, pending in list(self._by_edit_id.items()):
            top_up = pending.top_up
            account = document.account_by_budget_id.get(top_up.budget_id)
            if account and edit_id in account.recent_edit_ids:
                del self._by_edit_id[edit_id]
                yield TopUpEnded(
                    edit_id=edit_id,
                    budget_id=top_up.budget_id,
                    outcome=EditOutcome.ACCEPTED,
                    prepaid_tokens=account.prepaid_tokens,
                )
            elif _overdraws(top_up, document):
                del self._by_edit_id[edit_id]
                yield _overdraft_refusal(top_up, document)

    def take_expired(self, now_ms: int) -> Iterator[effects.Effects]:
        """Removes edits that timed out and yields their outcomes.

        A write whose response was lost may have applied the edit, or may still
        apply it, so the outcome is unknown.
        """
        for edit_id, pending in list(self._by_edit_id.items()):
            if now_ms - pending.since_ms < EDIT_TIMEOUT_MS:
                continue
            del self._by_edit_id[edit_id]
            yield TopUpEnded(
                edit_id=edit_id,
                budget_id=pending.top_up.budget_id,
                outcome=EditOutcome.UNKNOWN,
                detail=(
                    "The platform's service did not respond within "
                    f"{EDIT_TIMEOUT_MS} ms. Repeat the edit with the same "
                    "edit id; it is never applied twice."
                ),
            )

    def __repr__(self) -> str:
        return f"PendingEdits({len(self._by_edit_id)})"


def _topped_up(
    top_up: TopUp, document: documents.ShardDocument
) -> documents.ShardDocument:
    return document.topped_up(
        top_up.budget_id, tokens=top_up.tokens, edit_id=top_up.edit_id
    )


def _overdraws(top_up: TopUp, document: documents.ShardDocument) -> bool:
    if top_up.tokens >= 0:
        return False
    changed = _topped_up(top_up, document)
    return (
        changed is not document
        and changed.account_by_budget_id[top_up.budget_id].free_tokens < 0
    )


def _overdraft_refusal(
    top_up: TopUp, document: documents.ShardDocument
) -> TopUpEnded:
    account = document.account_by_budget_id.get(
        top_up.budget_id, documents.Account()
    )
    return TopUpEnded(
        edit_id=top_up.edit_id,
        budget_id=top_up.budget_id,
        outcome=EditOutcome.REFUSED,
        detail=(
            f"Cannot deduct {-top_up.tokens} tokens, since only "
            f"{account.free_tokens} are not granted to a zone. Deduct less, or "
            "retry when the zones have returned unused rights."
        ),
        prepaid_tokens=account.prepaid_tokens,
    )
