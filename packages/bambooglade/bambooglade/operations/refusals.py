"""Which failure a caller gets for a refused reservation or claim.

A failure that says "not run" speaks of the key, not only of this call: a retry
of a key that ran elsewhere must not be told that it did not run.
"""

from __future__ import annotations

from bambooglade.budgets import messages as budget_messages
from bambooglade.core import failures
from bambooglade.operations import messages

RETRY_AFTER_MS = 1_000
"""About the time that a promotion or a partition check takes."""

RIGHTS_RETRY_AFTER_MS = 2_000
"""About one round of refills and recalls."""


def of_reservation(
    refused: budget_messages.ReserveRefused,
) -> failures.Failure:
    """Returns the failure for a reservation that was not granted.

    Examples:
        >>> refused = budget_messages.ReserveRefused(
        ...     reservation_id=budget_messages.ReservationId(
        ...         key="k", entry="i1"),
        ...     budget_id="team-1",
        ...     reason=budget_messages.RefusalReason.EXHAUSTED,
        ...     detail="team-1 has 3 of 10 tokens left.")
        >>> of_reservation(refused).kind
        'budget_exhausted'
    """
    if refused.reason == budget_messages.RefusalReason.UNREACHABLE:
        return failures.RightsUnreachable(
            detail=refused.detail,
            retry_after_ms=refused.retry_after_ms or RIGHTS_RETRY_AFTER_MS,
        )
    return failures.BudgetExhausted(
        detail=refused.detail, retry_after_ms=refused.retry_after_ms
    )


_FAILURE_BY_REASON: dict[messages.ClaimRefusal, type[failures.Failure]] = {
    messages.ClaimRefusal.KEY_REUSED: failures.KeyReused,
    messages.ClaimRefusal.KEY_WITHOUT_AGE: failures.KeyWithoutAge,
    messages.ClaimRefusal.KEY_EXPIRED: failures.KeyExpired,
    messages.ClaimRefusal.HISTORY_LOST: failures.OutcomeUnknown,
    messages.ClaimRefusal.OUTCOME_UNKNOWN: failures.OutcomeUnknown,
}


def of_claim(refused: messages.ClaimRefused) -> failures.Failure:
    """Returns the failure for a claim that was refused for good."""
    return _FAILURE_BY_REASON[refused.reason](detail=refused.detail)


def not_dispatched(
    failure: failures.Failure, *, key_never_ran: bool
) -> failures.Failure:
    """Returns what may be said of a call that was not dispatched.

    Args:
        failure: Why the call was not dispatched.
        key_never_ran: Whether no earlier call with its key can have run.

    Examples:
        >>> failure = failures.Unavailable(detail="The arbiter is silent.")
        >>> not_dispatched(failure, key_never_ran=True).ran
        <Ran.NO: 'no'>
        >>> not_dispatched(failure, key_never_ran=False).ran
        <Ran.UNKNOWN: 'unknown'>
    """
    if key_never_ran or failure.ran is failures.Ran.UNKNOWN:
        return failure
    return failures.OutcomeUnknown(
        detail=(
            f"This call was not dispatched ({failure.kind}: {failure.detail}) "
            "but an earlier call with its key may have run."
        ),
        retry_after_ms=failure.retry_after_ms or RETRY_AFTER_MS,
    )
