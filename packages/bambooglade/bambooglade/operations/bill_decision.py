"""Rules that decide which run of a key is billed."""

from __future__ import annotations

from bambooglade.core import identifiers
from bambooglade.operations import claim_record
from bambooglade.operations import messages
from bambooglade.operations import retention as retention_module

HOLDER_GRACE_MS = 10_000
"""Time after the holder's deadline during which only its report is billed."""

HOLDER_SKEW_MARGIN_MS = 5_000
"""Part of the grace that a primary without records reserves for clock skew."""

_State = claim_record.RecordState


def decide(
    record: claim_record.ClaimRecord,
    report: messages.ReportRun,
    *,
    retention: retention_module.Retention,
    history_lost_at_ms: int | None,
    now_ms: int,
) -> messages.Decision:
    """Decides whether the reported run of a key is the one that is billed.

    The holder of the claim has precedence. Another entry that ran a repeatable
    call in the meantime is billed only once the holder's claim has expired. A
    later run that delivered more tokens than were billed is billed the
    difference, so that cancelling and resending a stream costs as much as the
    run that delivered most. If records may have been lost, only the first
    holder is billed, and only as long as no other run can have been billed: a
    run without a bill is preferred to a double bill.

    Args:
        record: The record of the key; a new one if there is none.
        report: The report of the run.
        retention: Retention periods of the records.
        history_lost_at_ms: When the records were last lost; None if never.
        now_ms: Current time; milliseconds since the epoch.
    """
    if not report.repeatable:
        return messages.Decision.BILLED
    is_holder = record.holder == report.attempt
    if record.state is _State.FINISHED:
        is_billed = (
            record.billed_tokens_of(report.attempt) is not None
            or report.end.spent_tokens > record.billed_tokens
        )
        return (
            messages.Decision.BILLED if is_billed else messages.Decision.VOIDED
        )
    if now_ms - report.begun_at_ms > retention.repeatable_ms:
        return messages.Decision.VOIDED
    if _may_predate_loss(report, retention, history_lost_at_ms):
        holder_until_ms = (
            report.deadline_ms + HOLDER_GRACE_MS - HOLDER_SKEW_MARGIN_MS
        )
        if report.is_first_holder and now_ms < holder_until_ms:
            return messages.Decision.BILLED
        return messages.Decision.VOIDED
    if record.state is _State.FREE or is_holder or record.is_expired(now_ms):
        return messages.Decision.BILLED
    return messages.Decision.PENDING


def needs_recording(
    record: claim_record.ClaimRecord,
    report: messages.ReportRun,
    decision: messages.Decision,
) -> bool:
    """Returns whether a billed run still has to be added to the record."""
    if decision is not messages.Decision.BILLED:
        return False
    is_ended = record.state in (_State.FINISHED, _State.UNKNOWN)
    return not is_ended or record.billed_tokens_of(report.attempt) is None


def _may_predate_loss(
    report: messages.ReportRun,
    retention: retention_module.Retention,
    history_lost_at_ms: int | None,
) -> bool:
    if report.first_attempt and report.is_first_holder:
        return False
    created_at_ms = identifiers.created_at_ms(report.key)
    if created_at_ms is None:
        created_at_ms = report.begun_at_ms
    return retention.may_predate_loss(created_at_ms, history_lost_at_ms)
