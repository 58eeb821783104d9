"""Rendering of command output as text, with one function per type."""

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


def as_json(output: object) -> str:
    """Renders the output of a command as JSON."""
    if isinstance(output, deferred.OutputWithExitCode):
        output = output.output
    return msgspec.json.format(msgspec.json.encode(output), indent=2).decode()


@functools.singledispatch
def as_text(output: object) -> str:
    """Renders the output of a command as text for people.

    Examples:
        >>> print(as_text(messages.BudgetToppedUp(edit_id="e1",
        ...     budget_id="team/hall-3", prepaid_tokens=500)))
        team/hall-3 is prepaid with 500 tokens (edit id e1).
    """
    return as_json(output)


@as_text.register
def _(output: deferred.TextOutput) -> str:
    return output.text.rstrip("\n")


@as_text.register
def _(output: deferred.OutputWithExitCode) -> str:
    return as_text(output.output)


@as_text.register
def _(output: messages.BudgetToppedUp) -> str:
    return (
        f"{output.budget_id} is prepaid with {output.prepaid_tokens} tokens "
        f"(edit id {output.edit_id})."
    )


@as_text.register
def _(output: messages.HeldReleased) -> str:
    return (
        f"{output.released_tokens} tokens of {output.budget_id} released "
        f"(edit id {output.edit_id})."
    )


@as_text.register
def _(output: messages.EditOutcomes) -> str:
    return "\n".join(
        _outcome_line(outcome, edit_id=output.edit_id)
        for outcome in output.outcomes
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
def _(output: keys.IssuedKey) -> str:
    prepaid = output.prepaid_tokens
    lines = [
        f"{output.row_key} is accepted (edit id {output.edit_id}).",
        f"Key (shown only once): {output.key}",
    ]
    if prepaid is not None:
        lines.append(f"Prepaid: {prepaid} tokens.")
    return "\n".join(lines)


@as_text.register
def _(output: messages.RowList) -> str:
    return layout.table(
        ("ROW", "VERSION", "EDITED BY", "EDITED AT", "COLUMNS"),
        (
            (
                row.row_key,
                str(row.version),
                row.edited_by,
                layout.timestamp(row.edited_at_ms),
                _columns(row),
            )
            for row in output.rows
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
def _(output: messages.BudgetDescription) -> str:
    summary = (
        f"{output.budget_id}: prepaid {output.prepaid_tokens}, "
        f"spent {output.settled_tokens}, "
        f"not granted to any zone {output.ungranted_tokens} (tokens)."
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
            for zone in output.zones
        ),
    )
    return f"{summary}\n{zones}"


@as_text.register
def _(output: messages.FleetDescription) -> str:
    instances = layout.table(
        ("INSTANCE", "ZONE", "STATE", "URL"),
        (
            (
                instance.instance_id,
                instance.availability_zone,
                instance.state.value,
                instance.url,
            )
            for instance in output.instances
        ),
    )
    return f"{instances}\nReported by {output.seen_by}."


@as_text.register
def _(output: messages.ShardList) -> str:
    shards = layout.table(
        ("SHARD", "ZONE", "EPOCH", "PRIMARY", "BACKUP", "HISTORY LOST"),
        (
            (
                str(shard.shard),
                shard.availability_zone,
                str(shard.epoch),
                shard.primary,
                shard.backup or "-",
                layout.timestamp(shard.history_lost_at_ms),
            )
            for shard in output.shards
        ),
    )
    return f"{shards}\nReported by {output.seen_by}."


@as_text.register
def _(output: messages.TargetList) -> str:
    targets = layout.table(
        ("TARGET", "SERVICE", "ZONE", "STATE", "WEIGHT", "CALLS", "LOAD"),
        (
            (
                target.target_id,
                target.service,
                target.availability_zone,
                target.state,
                f"{target.weight:g}",
                str(target.outstanding),
                "-"
                if target.reported_load is None
                else f"{target.reported_load:g}",
            )
            for target in output.targets
        ),
    )
    return f"{targets}\nReported by {output.seen_by}."


@as_text.register
def _(output: rates.BurnReport) -> str:
    overview = layout.table(
        (
            "OBJECTIVE",
            "SHARE",
            "WITHIN",
            *(
                layout.window_length(minutes).upper()
                for minutes in rates.WINDOWS_MINUTES
            ),
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
            for burn in output.objectives
        ),
    )
    causes = [
        f"{burn.objective.row_key}: {cause.count} bad: {cause.cause} "
        f"target={cause.target_id or '-'} zone={cause.availability_zone}"
        for burn in output.objectives
        for cause in burn.causes
    ]
    instances_read = f"Instances read: {output.instances}"
    if output.unreachable:
        instances_read += f"; not reached: {', '.join(output.unreachable)}"
    return "\n".join(
        [
            overview,
            *causes,
            f"{instances_read}. * = history shorter than window.",
        ]
    )


def _burn_cell(window: rates.WindowBurn) -> str:
    mark = "" if window.is_covered else "*"
    return f"{layout.burn_rate(window.burn_rate)}{mark}"


@as_text.register
def _(output: messages.Explanation) -> str:
    if not output.decisions:
        return f"No reachable instance has decisions on {output.key}."
    lines = [
        f"{layout.timestamp(decision.at_ms)}  {decision.instance_id}  "
        f"{decision_text(decision)}"
        for decision in output.decisions
    ]
    return "\n".join([*lines, f"Reported by {output.seen_by}."])


@functools.singledispatch
def decision_text(decision: trace.Decision) -> str:
    """Describes one decision in one line."""
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
        f"{candidate.target_id}={candidate.score:.3f}"
        + (f" ({candidate.reason})" if candidate.reason else "")
        for candidate in decision.scores
    )
    return f"target {decision.target_id or 'none'} chosen from {scores or '-'}"


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
