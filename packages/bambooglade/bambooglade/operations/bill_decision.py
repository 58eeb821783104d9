"""Which run of a key is billed."""

from __future__ import annotations

from bambooglade.core import identifiers
from bambooglade.operations import claim_record
from bambooglade.operations import messages
from bambooglade.operations import retention as retention_module

HOLDER_GRACE_MS = 10_000
"""How long after its deadline a holder's report still comes first."""

HOLDER_MARGIN_MS = 5_000
"""Part of the grace that a primary without records leaves to clock skew."""

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

    The holder of the claim comes first; another entry that ran a repeatable
    call meanwhile is billed once the holder's time is over. A later run that
    delivered more than was billed is billed the difference, so that cancelling
    a stream and sending it again costs what it delivers. Where records may
    have been lost, only the first holder before the loss is billed, and only
    while nobody else can have been: rather no bill than two.

    Args:
        record: What is known of the key; a new record if nothing is.
        report: The run.
        retention: How long records are kept.
        history_lost_at_ms: When the records were last lost; None if never.
        now_ms: The time.
    """
    if not report.repeatable:
        return messages.Decision.BILLED
    is_holder = record.holder == report.attempt
    if record.state is _State.FINISHED:
        is_billed = (
            record.share_of(report.attempt) is not None
            or report.end.spent_tokens > record.billed_tokens
        )
        return (
            messages.Decision.BILLED if is_billed else messages.Decision.VOIDED
        )
    if now_ms - report.begun_at_ms > retention.repeatable_ms:
        return messages.Decision.VOIDED
    if _may_precede_loss(report, retention, history_lost_at_ms):
        holder_until_ms = (
            report.deadline_ms + HOLDER_GRACE_MS - HOLDER_MARGIN_MS
        )
        if report.is_first_holder and now_ms < holder_until_ms:
            return messages.Decision.BILLED
        return messages.Decision.VOIDED
    if record.state is _State.FREE or is_holder or record.is_expired(now_ms):
        return messages.Decision.BILLED
    return messages.Decision.PENDING


def is_news(
    record: claim_record.ClaimRecord,
    report: messages.ReportRun,
    decision: messages.Decision,
) -> bool:
    """Returns whether a billed run is not on record yet."""
    if decision is not messages.Decision.BILLED:
        return False
    is_ended = record.state in (_State.FINISHED, _State.UNKNOWN)
    return not is_ended or record.share_of(report.attempt) is None


def _may_precede_loss(
    report: messages.ReportRun,
    retention: retention_module.Retention,
    history_lost_at_ms: int | None,
) -> bool:
    if report.first_attempt and report.is_first_holder:
        return False
    created_at_ms = identifiers.created_at_ms(report.key)
    if created_at_ms is None:
        created_at_ms = report.begun_at_ms
    return retention.may_precede(created_at_ms, history_lost_at_ms)
