"""Messages for operators to inspect an account and release held rights."""

from __future__ import annotations

from bambooglade.budgets import account as accounts
from bambooglade.core import effects
from bambooglade.core import identifiers


class DescribeAccount(effects.Message, frozen=True, kw_only=True):
    """Requests the counters of one account from the primary of a zone.

    Attributes:
        question_id: Identifies the inquiry.
        budget_id: The account.
        gone: Instances considered dead; the rights reserved for their requests
            are reported separately.
    """

    question_id: str
    budget_id: identifiers.BudgetId
    gone: tuple[identifiers.InstanceId, ...] = ()


class AccountDescribed(effects.Message, frozen=True, kw_only=True):
    """The counters of one account at its primary, in tokens.

    Attributes:
        question_id: The inquiry to which this responds.
        availability_zone: The zone of the primary.
        granted: Rights moved to the zone, cumulative.
        returned: Rights returned by the zone, cumulative.
        opened: Usage limit that the primary proposed to the backup,
            cumulative.
        settled: Tokens spent, cumulative.
        reserved: Sum of the bounds of the requests in progress.
        held: Rights that a former primary may have spent.
        orphaned: Part of `reserved` and `held` that belongs to requests of
            instances considered dead.
    """

    question_id: str
    budget_id: identifiers.BudgetId
    availability_zone: identifiers.AvailabilityZone
    granted: int
    returned: int
    opened: int
    settled: int
    reserved: int
    held: int
    orphaned: int


class ReleaseHeld(effects.Message, frozen=True, kw_only=True):
    """Frees rights that failed instances may have spent, for an operator.

    A later settlement of these rights is not billed, so that spending never
    exceeds the prepaid amount.

    Attributes:
        question_id: Edit id that makes the release idempotent.
        budget_id: The account.
        tokens: Maximum number of tokens to free.
        gone: Instances considered dead.
    """

    question_id: str
    budget_id: identifiers.BudgetId
    tokens: int
    gone: tuple[identifiers.InstanceId, ...] = ()


class HeldReleased(effects.Message, frozen=True, kw_only=True):
    """The release is recorded at the primary and the backup."""

    question_id: str
    budget_id: identifiers.BudgetId
    released_tokens: int


class InquiryMisdirected(effects.Message, frozen=True, kw_only=True):
    """The receiver is not the primary of the account's shard in its zone."""

    question_id: str
    primary: identifiers.InstanceId | None


def describe(
    account: accounts.ZoneAccount,
    request: DescribeAccount,
    zone: identifiers.AvailabilityZone,
) -> AccountDescribed:
    """Returns the description of an account for an inquiry."""
    return AccountDescribed(
        question_id=request.question_id,
        budget_id=account.budget_id,
        availability_zone=zone,
        granted=account.granted,
        returned=account.returned,
        opened=account.proposed_limit,
        settled=account.settled,
        reserved=account.reserved,
        held=account.held_tokens,
        orphaned=sum(
            record.bound_tokens
            for record in account.open_by_number.values()
            if record.reservation_id.entry in request.gone
        ),
    )
