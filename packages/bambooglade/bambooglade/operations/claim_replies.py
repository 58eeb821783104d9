"""Responses of the arbiter to claims and reports."""

from __future__ import annotations

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import claim_record
from bambooglade.operations import messages
from bambooglade.shards import registry

OUTCOME_BY_STATE = {
    claim_record.RecordState.FREE: messages.OutcomeState.NOT_RECORDED,
    claim_record.RecordState.HELD: messages.OutcomeState.IN_PROGRESS,
    claim_record.RecordState.FINISHED: messages.OutcomeState.FINISHED,
    claim_record.RecordState.UNKNOWN: messages.OutcomeState.UNKNOWN,
}


def send_after_replication(
    recipient: identifiers.InstanceId, message: effects.Message
) -> registry.AfterReplication:
    """Returns a message to send once all earlier changes are at the backup."""
    return registry.AfterReplication(
        then=(effects.Send(recipient=recipient, message=message),)
    )


def granted(
    claim: messages.Claim,
    recipient: identifiers.InstanceId,
    *,
    first: bool,
    never_ran: bool,
) -> registry.AfterReplication:
    """Returns a grant to send once the claim is replicated.

    If the request is not safe to repeat and there is no backup, the grant is
    sent only once the platform's service confirms the primary; otherwise the
    claim is refused with `NO_BACKUP`.
    """
    message = messages.ClaimGranted(
        key=claim.key,
        attempt=claim.attempt,
        first=first,
        never_ran=never_ran,
    )
    return registry.AfterReplication(
        then=(effects.Send(recipient=recipient, message=message),),
        needs_confirmation=not claim.repeatable,
        otherwise=(
            refusal(
                claim,
                recipient,
                messages.ClaimRefusal.NO_BACKUP,
                "The arbiter of the key has no backup and is not confirmed.",
            ),
        ),
    )


def finished(
    record: claim_record.ClaimRecord, claim: messages.Claim
) -> messages.ClaimFinished:
    """Returns the response to a claim of a key that has already been run."""
    return messages.ClaimFinished(
        key=claim.key,
        attempt=claim.attempt,
        spent_tokens=record.billed_tokens,
        answer=record.answer,
    )


def refusal(
    claim: messages.Claim,
    recipient: identifiers.InstanceId,
    reason: messages.ClaimRefusal,
    detail: str,
) -> effects.Send:
    """Returns the refusal of a claim."""
    return effects.Send(
        recipient=recipient,
        message=messages.ClaimRefused(
            key=claim.key,
            attempt=claim.attempt,
            reason=reason,
            detail=detail,
        ),
    )


def outcome_unknown(
    record: claim_record.ClaimRecord,
    claim: messages.Claim,
    recipient: identifiers.InstanceId,
) -> effects.Send:
    """Returns the refusal of a claim whose key has an unknown outcome."""
    return refusal(
        claim,
        recipient,
        messages.ClaimRefusal.OUTCOME_UNKNOWN,
        f"Instance {record.holder.entry} held key {claim.key} and did not "
        "report how its run ended.",
    )


def run_recorded(
    record: claim_record.ClaimRecord,
    report: messages.ReportRun,
    decision: messages.Decision,
) -> messages.RunRecorded:
    """Returns the response to a report.

    The decision is `PENDING` while the outcome of the key is unknown.
    """
    if record.state is claim_record.RecordState.UNKNOWN:
        decision = messages.Decision.PENDING
    is_billed = decision is messages.Decision.BILLED
    share = record.billed_tokens_of(report.attempt) or 0
    return messages.RunRecorded(
        key=report.key,
        attempt=report.attempt,
        decision=decision,
        spent_tokens=share if is_billed else 0,
    )
