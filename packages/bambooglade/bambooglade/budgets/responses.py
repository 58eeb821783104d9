"""Responses to requests for a reservation."""

from __future__ import annotations

from bambooglade.budgets import account_state
from bambooglade.budgets import messages
from bambooglade.budgets import records
from bambooglade.budgets import refusals
from bambooglade.core import effects
from bambooglade.core import identifiers


def reserved(
    request: messages.Reserve,
    number: records.ReservationNumber,
    sender: identifiers.InstanceId,
    zone: identifiers.AvailabilityZone,
) -> effects.Send:
    """Returns the response to a request whose bound was reserved."""
    response = messages.Reserved(
        reservation_id=request.reservation_id,
        budget_id=request.budget_id,
        bound_tokens=request.bound_tokens,
        availability_zone=zone,
        epoch=number.epoch,
        sequence=number.sequence,
    )
    return effects.Send(recipient=sender, message=response)


def refused(
    waiter: account_state.Waiter, refusal: refusals.Refusal
) -> effects.Send:
    """Returns the response to a refused request."""
    response = messages.ReserveRefused(
        reservation_id=waiter.request.reservation_id,
        budget_id=waiter.request.budget_id,
        bound_tokens=waiter.request.bound_tokens,
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
    )
    return effects.Send(recipient=waiter.sender, message=response)


def redirected(
    waiter: account_state.Waiter, primary: identifiers.InstanceId | None
) -> effects.Send:
    """Returns the response that redirects a request to the new primary."""
    response = messages.ReserveRefused(
        reservation_id=waiter.request.reservation_id,
        budget_id=waiter.request.budget_id,
        bound_tokens=waiter.request.bound_tokens,
        reason=messages.RefusalReason.NOT_PRIMARY,
        detail="Another instance is now the primary.",
        primary=primary,
    )
    return effects.Send(recipient=waiter.sender, message=response)
