"""Answers as text for people: one function a type of answer."""

from __future__ import annotations

import functools

import msgspec

from bambooglade.router import operator_messages as messages
from bambooglade.router import trace
from bambooglade_ctl import deferred
from bambooglade_ctl import keys
from bambooglade_ctl import layout
from bambooglade_ctl import sheets
from bambooglade_ctl.burn import rates


def as_json(answer: object) -> str:
    """Renders an answer for machines."""
    if isinstance(answer, deferred.Completed):
        answer = answer.answer
    return msgspec.json.format(msgspec.json.encode(answer), indent=2).decode()


@functools.singledispatch
def as_text(answer: object) -> str:
    """Renders an answer for people.

    Examples:
        >>> print(as_text(messages.BudgetToppedUp(edit_id="e1",
        ...     budget_id="team/hall-3", prepaid_tokens=500)))
        team/hall-3 is prepaid with 500 tokens (edit id e1).
    """
    return as_json(answer)


@as_text.register
def _(answer: deferred.Text) -> str:
    return answer.text.rstrip("\n")


@as_text.register
def _(answer: deferred.Completed) -> str:
    return as_text(answer.answer)


@as_text.register
def _(answer: messages.BudgetToppedUp) -> str:
    return (
        f"{answer.budget_id} is prepaid with {answer.prepaid_tokens} tokens "
        f"(edit id {answer.edit_id})."
    )


@as_text.register
def _(answer: messages.HeldReleased) -> str:
    return (
        f"{answer.released_tokens} tokens of {answer.budget_id} released "
        f"(edit id {answer.edit_id})."
    )


@as_text.register
def _(answer: messages.EditOutcomes) -> str:
    return "\n".join(
        _outcome_line(outcome, edit_id=answer.edit_id)
        for outcome in answer.outcomes
    )


def _outcome_line(outcome: messages.RowOutcome, *, edit_id: str) -> str:
    if outcome.refusal is None:
        return (
            f"{outcome.row_key}: accepted as version {outcome.version} "
            f"(edit id {edit_id})."
        )
    refusal = outcome.refusal
    return (
        f"{outcome.row_key}: refused as {refusal.kind}: {refusal.detail} "
        f"{refusal.remedy}"
    )


@as_text.register
def _(answer: keys.ShownKey) -> str:
    prepaid = answer.prepaid_tokens
    lines = [
        f"{answer.row_key} is accepted (edit id {answer.edit_id}).",
        f"Key, shown this once: {answer.key}",
    ]
    if prepaid is not None:
        lines.append(f"Prepaid: {prepaid} tokens.")
    return "\n".join(lines)


@as_text.register
def _(answer: messages.RowList) -> str:
    return layout.table(
        ("ROW", "VERSION", "EDITED BY", "EDITED AT", "COLUMNS"),
        (
            (
                row.row_key,
                str(row.version),
                row.edited_by,
                layout.moment(row.edited_at_ms),
                _columns(row),
            )
            for row in answer.rows
        ),
    )


def _columns(row: messages.VersionedRow) -> str:
    cells = sheets.cells_of(row)
    del cells[sheets.TYPE_COLUMN], cells[sheets.VERSION_COLUMN]
    return " ".join(
        f"{name}={cell}"
        for name, cell in cells.items()
        if not name.endswith("key_hash")
    )


@as_text.register
def _(answer: messages.BudgetDescription) -> str:
    summary = (
        f"{answer.budget_id}: prepaid {answer.prepaid_tokens}, "
        f"spent {answer.settled_tokens}, "
        f"not granted to any zone {answer.ungranted_tokens} (tokens)."
    )
    zones = layout.table(
        (
            "ZONE",
            "GRANTED",
            "RETURNED",
            "SPENT",
            "RESERVED",
            "HELD",
            "ORPHANED",
            "PRIMARY",
            "AS OF",
        ),
        (
            (
                zone.availability_zone,
                str(zone.granted_tokens),
                str(zone.returned_tokens),
                str(zone.settled_tokens),
                str(zone.reserved_tokens),
                str(zone.held_tokens),
                str(zone.orphaned_tokens),
                zone.primary or "-",
                "now" if zone.is_current else "last write",
            )
            for zone in answer.zones
        ),
    )
    return f"{summary}\n{zones}"


@as_text.register
def _(answer: messages.FleetDescription) -> str:
    instances = layout.table(
        ("INSTANCE", "ZONE", "STATE", "URL"),
        (
            (one.instance_id, one.availability_zone, one.state.value, one.url)
            for one in answer.instances
        ),
    )
    return f"{instances}\nSeen by {answer.seen_by}."


@as_text.register
def _(answer: messages.ShardList) -> str:
    shards = layout.table(
        ("SHARD", "ZONE", "EPOCH", "PRIMARY", "BACKUP", "HISTORY LOST"),
        (
            (
                str(one.shard),
                one.availability_zone,
                str(one.epoch),
                one.primary,
                one.backup or "-",
                layout.moment(one.history_lost_at_ms),
            )
            for one in answer.shards
        ),
    )
    return f"{shards}\nSeen by {answer.seen_by}."


@as_text.register
def _(answer: messages.TargetList) -> str:
    targets = layout.table(
        ("TARGET", "SERVICE", "ZONE", "STATE", "WEIGHT", "CALLS", "LOAD"),
        (
            (
                one.target_id,
                one.service,
                one.availability_zone,
                one.state,
                f"{one.weight:g}",
                str(one.outstanding),
                "-" if one.reported_load is None else f"{one.reported_load:g}",
            )
            for one in answer.targets
        ),
    )
    return f"{targets}\nSeen by {answer.seen_by}."


@as_text.register
def _(answer: rates.BurnReport) -> str:
    overview = layout.table(
        (
            "OBJECTIVE",
            "SHARE",
            "WITHIN",
            *(layout.minutes(one).upper() for one in rates.WINDOWS_MINUTES),
            "ALERT",
        ),
        (
            (
                burn.objective.row_key,
                f"{burn.objective.share:g}",
                f"{burn.objective.threshold_ms} ms",
                *(_burn_cell(window) for window in burn.windows),
                burn.alert.value,
            )
            for burn in answer.objectives
        ),
    )
    causes = [
        f"{burn.objective.row_key}: {one.count} bad: {one.cause} "
        f"target={one.target_id or '-'} zone={one.availability_zone}"
        for burn in answer.objectives
        for one in burn.causes
    ]
    read = f"Instances read: {answer.instances}"
    if answer.unreachable:
        read += f"; not reached: {', '.join(answer.unreachable)}"
    return "\n".join([overview, *causes, f"{read}. * = history too short."])


def _burn_cell(window: rates.WindowBurn) -> str:
    mark = "" if window.is_covered else "*"
    return f"{layout.burn_rate(window.burn_rate)}{mark}"


@as_text.register
def _(answer: messages.Explanation) -> str:
    if not answer.decisions:
        return f"No instance that was asked knows {answer.key}."
    lines = [
        f"{layout.moment(one.at_ms)}  {one.instance_id}  {decision_text(one)}"
        for one in answer.decisions
    ]
    return "\n".join([*lines, f"Known by {answer.seen_by}."])


@functools.singledispatch
def decision_text(decision: trace.Decision) -> str:
    """Describes one decision in a line."""
    return repr(decision)


@decision_text.register
def _(decision: trace.RowsMatched) -> str:
    return f"rows matched: {', '.join(decision.row_keys) or 'none'}"


@decision_text.register
def _(decision: trace.AccountDrawn) -> str:
    return (
        f"account {decision.budget_id}: {decision.bound_tokens} tokens "
        f"{decision.outcome} {decision.detail}"
    ).rstrip()


@decision_text.register
def _(decision: trace.KeyClaimed) -> str:
    return f"claim at {decision.arbiter_zone}: {decision.outcome}"


@decision_text.register
def _(decision: trace.TargetChosen) -> str:
    scores = ", ".join(
        f"{one.target_id}={one.score:.3f}"
        + (f" ({one.reason})" if one.reason else "")
        for one in decision.scores
    )
    return f"target {decision.target_id or 'none'} chosen of {scores or '-'}"


@decision_text.register
def _(decision: trace.TargetAnswered) -> str:
    return (
        f"target {decision.target_id} {decision.outcome}, "
        f"{decision.tokens} tokens"
    )


@decision_text.register
def _(decision: trace.RequestBilled) -> str:
    voided = ", voided" if decision.voided else ""
    return f"billed {decision.spent_tokens} tokens{voided}"


@decision_text.register
def _(decision: trace.RequestRefused) -> str:
    return (
        f"refused as {decision.kind} (ran: {decision.ran}): {decision.detail}"
    )
