"""Failures that callers receive for refused reservations and claims.

A failure with `Ran.NO` applies to the idempotency key, not only to the current
call: a retry of a key that ran at another instance must not report that the
request did not run.
"""

from __future__ import annotations

from bambooglade.budgets import messages as budget_messages
from bambooglade.core import failures
from bambooglade.operations import messages

RETRY_AFTER_MS = 1_000
"""Approximate duration of a promotion or of a partition check."""

RIGHTS_RETRY_AFTER_MS = 2_000
"""Approximate duration of one round of refills and recalls of rights."""


def reservation_failure(
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
        >>> reservation_failure(refused).kind
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


def claim_failure(refused: messages.ClaimRefused) -> failures.Failure:
    """Returns the failure for a claim that was refused permanently."""
    return _FAILURE_BY_REASON[refused.reason](detail=refused.detail)


def undispatched_failure(
    failure: failures.Failure, *, key_never_ran: bool
) -> failures.Failure:
    """Returns the failure to report for a call that was not dispatched.

    It is `OutcomeUnknown` if an earlier call with the key may have run.

    Args:
        failure: Why the call was not dispatched.
        key_never_ran: Whether no earlier call with its key can have run.

    Examples:
        >>> failure = failures.Unavailable(detail="The arbiter timed out.")
        >>> undispatched_failure(failure, key_never_ran=True).ran
        <Ran.NO: 'no'>
        >>> undispatched_failure(failure, key_never_ran=False).ran
        <Ran.UNKNOWN: 'unknown'>
    """
    if key_never_ran or failure.ran is failures.Ran.UNKNOWN:
        return failure
    return failures.OutcomeUnknown(
        detail=(
            f"This call was not dispatched ({failure.kind}: {failure.detail}), "
            "but an earlier call with its key may have run."
        ),
        retry_after_ms=failure.retry_after_ms or RETRY_AFTER_MS,
    )
