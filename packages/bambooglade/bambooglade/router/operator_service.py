"""Serves the operators' interface from the components of an instance."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import functools
from typing import TypeVar

import result

from bambooglade.core import clock as clocks
from bambooglade.core import effects
from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.fleet import messages as fleet_messages
from bambooglade.router import budget_inspector
from bambooglade.router import effect_waiters
from bambooglade.router import granted_tokens_cache
from bambooglade.router import networked_assembly
from bambooglade.router import operator_api
from bambooglade.router import operator_messages as messages
from bambooglade.router import runtime as runtimes
from bambooglade.router import trace
from bambooglade.shards import edits
from bambooglade.table import messages as table_messages
from bambooglade.table import pages
from bambooglade.table import rows

EDIT_DEADLINE_MS = 8_000
THREADS = 2

Source = TypeVar("Source")
Converted = TypeVar("Converted")


class OperatorService:
    """Implements `operator_api.OperatorPort` on top of a runtime.

    Args:
        networked: Components of the instance.
        runtime: Runs decisions of the components.
        waiters: Passes the responses to the threads that wait for them.
        inspector: Describes budgets and releases held rights.
        ring: Trace of the recent decisions of the instance.
        targets: Returns the targets in the view of this instance.
        granted_tokens: Cache that is refreshed before spend limits are checked.
        clock: Source of the current time.
    """

    def __init__(
        self,
        *,
        networked: networked_assembly.NetworkedComponents,
        runtime: runtimes.Runtime,
        waiters: effect_waiters.EffectWaiters,
        inspector: budget_inspector.BudgetInspector,
        ring: trace.TraceRing,
        targets: Callable[[], tuple[messages.TargetDescription, ...]],
        granted_tokens: granted_tokens_cache.GrantedTokensCache,
        clock: clocks.Clock,
    ) -> None:
        self._granted_tokens = granted_tokens
        self._networked = networked
        self._components = networked.components
        self._runtime = runtime
        self._waiters = waiters
        self._inspector = inspector
        self._ring = ring
        self._targets = targets
        self._clock = clock
        self._executor = futures.ThreadPoolExecutor(
            max_workers=THREADS, thread_name_prefix="operators"
        )

    def edit_rows(
        self, request: messages.EditRows, operator: messages.Operator
    ) -> operator_api.FutureResult[messages.EditOutcomes]:
        """Writes rows, each by compare-and-swap on its version."""
        limited_budget_ids = [
            identifiers.BudgetId(edit.row_key)
            for edit in request.edits
            if isinstance(edit.row, rows.LimitRow)
        ]
        self._granted_tokens.refresh(limited_budget_ids)
        response = self._submit(
            request.edit_id,
            table_messages.EditRows(
                edit_id=identifiers.EditId(request.edit_id),
                edited_by=operator.name,
                changes=tuple(map(_row_change, request.edits)),
                deadline_ms=self._clock.now_ms() + EDIT_DEADLINE_MS,
            ),
        )
        return _convert_result(response, self._edit_outcomes)

    def rows(self, prefix: str) -> operator_api.FutureResult[messages.RowList]:
        """Lists the rows whose keys begin with the prefix."""
        found = tuple(
            _versioned_row(record)
            for record in self._networked.table.records()
            if record.row_key.startswith(prefix)
        )
        return _completed_future(messages.RowList(rows=found))

    def top_up(
        self, request: messages.TopUpBudget, operator: messages.Operator
    ) -> operator_api.FutureResult[messages.BudgetToppedUp]:
        """Adds tokens to a budget; idempotent per edit id."""
        del operator
        response = self._submit(
            request.edit_id,
            edits.TopUp(
                edit_id=identifiers.EditId(request.edit_id),
                budget_id=identifiers.BudgetId(request.budget_id),
                tokens=request.tokens,
            ),
        )
        return _convert_result(response, _top_up_result)

    def describe_budget(
        self, budget_id: identifiers.BudgetId
    ) -> operator_api.FutureResult[messages.BudgetDescription]:
        """Returns how the rights of a budget are distributed over the zones."""
        return self._executor.submit(self._inspector.describe, budget_id)

    def release_held(
        self, request: messages.ReleaseHeld, operator: messages.Operator
    ) -> operator_api.FutureResult[messages.HeldReleased]:
        """Returns held rights to a budget; idempotent per edit id."""
        del operator
        return self._executor.submit(self._inspector.release, request)

    def fleet(self) -> operator_api.FutureResult[messages.FleetDescription]:
        """Lists the instances."""
        members = self._networked.membership.members()
        return _completed_future(
            messages.FleetDescription(
                seen_by=self._components.instance_id,
                instances=tuple(map(_instance_description, members)),
            )
        )

    def shards(self) -> operator_api.FutureResult[messages.ShardList]:
        """Lists the assignments of the shards."""
        assignments = sorted(self._components.assignment_map.items())
        return _completed_future(
            messages.ShardList(
                seen_by=self._components.instance_id,
                shards=tuple(
                    messages.ShardDescription(
                        shard=place.shard,
                        availability_zone=place.availability_zone,
                        epoch=assignment.epoch,
                        primary=assignment.primary,
                        backup=assignment.backup,
                        history_lost_at_ms=assignment.history_lost_at_ms,
                    )
                    for place, assignment in assignments
                ),
            )
        )

    def targets(self) -> operator_api.FutureResult[messages.TargetList]:
        """Lists the targets."""
        return _completed_future(
            messages.TargetList(
                seen_by=self._components.instance_id, targets=self._targets()
            )
        )

    def explain(
        self, key: identifiers.RequestKey
    ) -> operator_api.FutureResult[messages.Explanation]:
        """Returns the decisions of this instance on a request."""
        return _completed_future(
            messages.Explanation(
                key=key,
                seen_by=self._components.instance_id,
                decisions=self._ring.decisions(key),
            )
        )

    def close(self) -> None:
        """Waits for pending operations and stops the threads."""
        self._executor.shutdown(wait=True)

    def _submit(
        self, reference: str, message: effects.Message
    ) -> futures.Future[effects.Effect]:
        future = self._waiters.register(reference)
        self._runtime.decide(
            functools.partial(
                self._components.machine.handle,
                message,
                self._components.instance_id,
            )
        )
        return future

    def _edit_outcomes(
        self, response: table_messages.EditAnswered
    ) -> result.Result[messages.EditOutcomes, failures.Failure]:
        return result.Ok(
            messages.EditOutcomes(
                edit_id=response.edit_id,
                outcomes=tuple(map(self._row_outcome, response.outcomes)),
            )
        )

    def _row_outcome(
        self, outcome: table_messages.Outcome
    ) -> messages.RowOutcome:
        if isinstance(outcome, table_messages.Accepted):
            return messages.RowOutcome(
                row_key=outcome.row_key, version=outcome.version
            )
        record = self._networked.table.record(outcome.row_key)
        return messages.RowOutcome(
            row_key=outcome.row_key,
            version=record.version if record else 0,
            refusal=messages.Refusal(
                kind=outcome.failure.kind,
                detail=outcome.failure.detail,
                remedy=outcome.failure.remedy,
            ),
            current=_versioned_row(record) if record else None,
        )

    def __repr__(self) -> str:
        return f"OperatorService(instance_id={self._components.instance_id!r})"


def _convert_result(
    source: futures.Future[Source],
    convert: Callable[[Source], result.Result[Converted, failures.Failure]],
) -> operator_api.FutureResult[Converted]:
    """Returns a future for the converted result of another future."""
    converted: operator_api.FutureResult[Converted] = futures.Future()
    source.add_done_callback(
        lambda completed: converted.set_result(convert(completed.result()))
    )
    return converted


def _completed_future(value: Converted) -> operator_api.FutureResult[Converted]:
    future: operator_api.FutureResult[Converted] = futures.Future()
    future.set_result(result.Ok(value))
    return future


def _row_change(edit: messages.RowEdit) -> table_messages.RowChange:
    return table_messages.RowChange(
        row_key=edit.row_key,
        expected_version=edit.expected_version,
        row=edit.row,
    )


def _versioned_row(record: pages.RowRecord) -> messages.VersionedRow:
    return messages.VersionedRow(
        row_key=record.row_key,
        row=record.row,
        version=record.version,
        edited_by=record.edited_by,
        edited_at_ms=record.edited_at_ms,
    )


class TopUpRefused(failures.BadRequest, frozen=True, kw_only=True):
    """The top-up cannot be applied to the account."""

    kind = "top_up_refused"


def _top_up_result(
    ended: edits.TopUpEnded,
) -> result.Result[messages.BudgetToppedUp, failures.Failure]:
    match ended.outcome:
        case edits.EditOutcome.ACCEPTED:
            return result.Ok(
                messages.BudgetToppedUp(
                    edit_id=ended.edit_id,
                    budget_id=ended.budget_id,
                    prepaid_tokens=ended.prepaid_tokens or 0,
                )
            )
        case edits.EditOutcome.REFUSED:
            return result.Err(TopUpRefused(detail=ended.detail))
        case _:
            return result.Err(failures.OutcomeUnknown(detail=ended.detail))


def _instance_description(
    member: fleet_messages.MemberUpdate,
) -> messages.InstanceDescription:
    return messages.InstanceDescription(
        instance_id=member.instance_id,
        availability_zone=member.availability_zone,
        url=member.url,
        state=_instance_state(member),
    )


def _instance_state(
    member: fleet_messages.MemberUpdate,
) -> messages.InstanceState:
    if member.status is fleet_messages.Status.DEAD:
        return messages.InstanceState.GONE
    if member.leaving:
        return messages.InstanceState.LEAVING
    if member.status is fleet_messages.Status.SUSPECT:
        return messages.InstanceState.SUSPECTED
    return messages.InstanceState.ALIVE
