"""Messages by which operators look into an account, and release held rights."""

from __future__ import annotations

from bambooglade.budgets import account as accounts
from bambooglade.core import effects
from bambooglade.core import identifiers


class DescribeAccount(effects.Message, frozen=True, kw_only=True):
    """Asks the primary of a zone what it counts in one account.

    Attributes:
        question_id: Names the question.
        budget_id: The account.
        gone: Instances that are believed dead; what is reserved for their
            requests is told apart.
    """

    question_id: str
    budget_id: identifiers.BudgetId
    gone: tuple[identifiers.InstanceId, ...] = ()


class AccountDescribed(effects.Message, frozen=True, kw_only=True):
    """What a primary counts in one account, in tokens.

    Attributes:
        question_id: The question that it answers.
        availability_zone: The zone of the primary.
        granted: Rights moved to the zone, cumulative.
        returned: Rights given back, cumulative.
        opened: Mark up to which reservations are allowed, cumulative.
        settled: Spent, cumulative.
        reserved: Bounds of the requests in progress.
        held: Rights that a former primary may have spent.
        orphaned: Part of `reserved` and `held` that is for requests of
            instances believed dead.
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
    """Frees rights that lost instances may have spent; an operator's decision.

    A settlement that still comes in for them is not billed, so that spend
    never exceeds the prepaid amount.

    Attributes:
        question_id: The edit id; repeating the release changes nothing.
        budget_id: The account.
        tokens: How much to free at most.
        gone: Instances that are believed dead.
    """

    question_id: str
    budget_id: identifiers.BudgetId
    tokens: int
    gone: tuple[identifiers.InstanceId, ...] = ()


class HeldReleased(effects.Message, frozen=True, kw_only=True):
    """The release is recorded on primary and backup."""

    question_id: str
    budget_id: identifiers.BudgetId
    released_tokens: int


class InquiryMisdirected(effects.Message, frozen=True, kw_only=True):
    """The receiver is not the primary of the account's place."""

    question_id: str
    primary: identifiers.InstanceId | None


def describe(
    account: accounts.ZoneAccount,
    question: DescribeAccount,
    zone: identifiers.AvailabilityZone,
) -> AccountDescribed:
    """Returns what the primary counts."""
    return AccountDescribed(
        question_id=question.question_id,
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
            if record.reservation_id.entry in question.gone
        ),
    )
