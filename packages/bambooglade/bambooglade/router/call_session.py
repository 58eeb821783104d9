"""Lifecycle of one call at its entry instance: reserve, queue, run, bill."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import itertools

from absl import logging
import result

from bambooglade.core import clock as clocks
from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.router import admission_gate
from bambooglade.router import calls_port
from bambooglade.router import metrics as metrics_lib
from bambooglade.router import trace
from bambooglade.table import matching
from bambooglade.targets import admission

_POLL_S = 0.05
DECISION_GRACE_MS = 2_000
"""Time after the admission deadline in which the coordinator must respond."""

BILL_TIMEOUT_MS = 5_000
EXCLUDED_RETRY_AFTER_MS = 1_000
"""When to retry while operators exclude all targets of the service."""

_MS_PER_S = 1_000


class SessionContext:
    """Dependencies that all call sessions of an instance share.

    Args:
        port: Interface to the coordinator.
        gate: Limits the concurrency per kind of request.
        clock: Source of the current time.
        ring: Stores the decisions on recent requests.
        metrics: Counts the requests.
        instance_id: This instance.
        availability_zone: Availability zone of this instance.
        is_excluded: Returns whether operators exclude all targets of a service,
            so that its requests can't be served and do not wait for a slot.
    """

    __slots__ = (
        "_call_numbers",
        "availability_zone",
        "clock",
        "gate",
        "instance_id",
        "is_excluded",
        "metrics",
        "port",
        "ring",
    )

    def __init__(
        self,
        *,
        port: calls_port.CallsPort,
        gate: admission_gate.AdmissionGate,
        clock: clocks.Clock,
        ring: trace.TraceRing,
        metrics: metrics_lib.Metrics,
        instance_id: str,
        availability_zone: str,
        is_excluded: Callable[[identifiers.ServiceName], bool] = (
            lambda service: False
        ),
    ) -> None:
        self.is_excluded = is_excluded
        self.port = port
        self.gate = gate
        self.clock = clock
        self.ring = ring
        self.metrics = metrics
        self.instance_id = instance_id
        self.availability_zone = availability_zone
        self._call_numbers = itertools.count(1)

    def new_call_id(self) -> str:
        """Returns an id that is unique among the calls of this instance."""
        return f"{self.instance_id}-c{next(self._call_numbers)}"

    def __repr__(self) -> str:
        return f"SessionContext(instance_id={self.instance_id!r})"


class CallSession:
    """One call, from its reservation to its bill.

    After `begin` has returned a permit, `finish` has to be called; only its
    first call has an effect. `record_success` or `record_failure` then records
    the outcome for the caller.

    Args:
        context: Dependencies shared by all sessions.
        call: The call.
        match: Table rows that apply to the call.
        is_caller_gone: Returns whether the caller has disconnected.
    """

    __slots__ = (
        "_context",
        "_is_ended",
        "_is_permitted",
        "_match",
        "_started_ms",
        "_ticket",
        "call",
        "is_caller_gone",
    )

    def __init__(
        self,
        context: SessionContext,
        *,
        call: calls.Call,
        match: matching.Match,
        is_caller_gone: Callable[[], bool],
    ) -> None:
        self._context = context
        self._match = match
        self._started_ms = context.clock.now_ms()
        self._is_permitted = False
        self._is_ended = False
        self._ticket: admission.Ticket | None = None
        self.call = call
        self.is_caller_gone = is_caller_gone
        context.ring.record(
            call.key,
            trace.RowsMatched(
                row_keys=match.row_keys, **self._decision_fields()
            ),
        )

    def begin(
        self,
    ) -> result.Result[calls.Permit | calls.Replay, failures.Failure]:
        """Reserves tokens and claims the key, then waits for a slot.

        Returns:
            The permit, the stored response of an earlier call with the same
            key, or the failure, which is already recorded.
        """
        decision = self._wait_for_decision(self._context.port.begin(self.call))
        if isinstance(decision, calls.Refuse):
            return self.record_failure(decision.failure)
        if isinstance(decision, calls.Replay):
            self._record_end(metrics_lib.Outcome.FINISHED)
            return result.Ok(decision)
        self._is_permitted = True
        admitted = self._acquire_slot()
        if isinstance(admitted, result.Err):
            self.finish(_NOT_RUN)
            return self.record_failure(admitted.err_value)
        return result.Ok(decision)

    def finish(self, run_end: calls.RunEnd) -> calls.Bill | None:
        """Releases the slot and bills the run; later calls have no effect.

        Returns:
            The bill. None if the run never started, if the call is already
            finished or was not permitted, or if the bill did not arrive within
            `BILL_TIMEOUT_MS`.
        """
        if self._is_ended or not self._is_permitted:
            return None
        self._is_ended = True
        if self._ticket is not None:
            self._context.gate.release(self._ticket)
        future = self._context.port.finish(self.call.key, run_end)
        if run_end.result is calls.RunResult.NOT_RUN:
            return None  # The refusal is reported without waiting for the bill.
        try:
            billed = future.result(BILL_TIMEOUT_MS / _MS_PER_S)
        except futures.TimeoutError:
            logging.warning("event=bill_late key=%s", self.call.key)
            return None
        self._context.ring.record(
            self.call.key,
            trace.RequestBilled(
                spent_tokens=billed.bill.spent_tokens,
                voided=billed.bill.voided,
                **self._decision_fields(),
            ),
        )
        return billed.bill

    def record_success(self, bill: calls.Bill | None, target_id: str) -> None:
        """Records a call whose response is complete."""
        self._record_end(
            metrics_lib.Outcome.FINISHED,
            target_id=target_id,
            spent_tokens=bill.spent_tokens if bill else 0,
        )

    def record_failure(
        self, failure: failures.Failure, *, target_id: str = ""
    ) -> result.Err[failures.Failure]:
        """Records why the caller gets no complete response."""
        self._context.ring.record(
            self.call.key,
            trace.RequestRefused(
                kind=failure.kind,
                detail=failure.detail,
                ran=failure.ran.value,
                **self._decision_fields(),
            ),
        )
        may_have_run = failure.ran is failures.Ran.UNKNOWN
        self._record_end(
            metrics_lib.Outcome.UNKNOWN
            if may_have_run
            else metrics_lib.Outcome.REFUSED,
            cause=failure.kind,
            target_id=target_id,
        )
        return result.Err(failure)

    def _wait_for_decision(
        self,
        future: futures.Future[calls.Permit | calls.Refuse | calls.Replay],
    ) -> calls.Permit | calls.Refuse | calls.Replay:
        """Waits for the coordinator, and cancels if the caller disconnects.

        The call is also cancelled if the coordinator does not respond in time.
        After the cancellation the wait lasts at most `DECISION_GRACE_MS`.
        """
        wait_deadline_ms = self.call.admission_deadline_ms + DECISION_GRACE_MS
        is_cancelled = False
        while True:
            try:
                return future.result(_POLL_S)
            except futures.TimeoutError:
                is_late = self._context.clock.now_ms() > wait_deadline_ms
            if is_cancelled and is_late:
                return self._abandon_decision(future)
            if not is_cancelled and (is_late or self.is_caller_gone()):
                is_cancelled = True
                wait_deadline_ms = (
                    self._context.clock.now_ms() + DECISION_GRACE_MS
                )
                self._context.port.cancel(self.call)

    def _abandon_decision(
        self,
        future: futures.Future[calls.Permit | calls.Refuse | calls.Replay],
    ) -> calls.Refuse:
        """Refuses the call; a later permit is finished as not run."""
        future.add_done_callback(self._finish_late_permit)
        return calls.Refuse(
            key=self.call.key,
            failure=failures.OutcomeUnknown(
                detail="The coordinator did not respond to the call in time."
            ),
        )

    def _finish_late_permit(
        self,
        future: futures.Future[calls.Permit | calls.Refuse | calls.Replay],
    ) -> None:
        if isinstance(future.result(), calls.Permit):
            self._context.port.finish(self.call.key, _NOT_RUN)

    def _acquire_slot(self) -> result.Result[None, failures.Failure]:
        kind_row = self._match.kind
        ticket = admission.Ticket(
            ticket_id=self.call.call_id,
            kind=admission.KindKey(
                service=self.call.service,
                request_kind=self.call.request_kind,
            ),
            team_id=self.call.team_id,
            team_weight=self._match.team.weight,
            priority=kind_row.priority,
            deadline_ms=self.call.deadline_ms,
            slots=kind_row.max_concurrency,
        )
        admitted = self._context.gate.acquire(
            ticket,
            is_caller_gone=self.is_caller_gone,
            find_refusal=self._find_refusal,
        )
        if admitted.is_ok():
            self._ticket = ticket
        return admitted

    def _find_refusal(self) -> failures.Failure | None:
        if not self._context.is_excluded(self.call.service):
            return None
        return failures.NoTarget(
            detail="Operators exclude all targets of the service.",
            retry_after_ms=EXCLUDED_RETRY_AFTER_MS,
        )

    def _record_end(
        self,
        outcome: metrics_lib.Outcome,
        *,
        cause: str = "",
        target_id: str = "",
        spent_tokens: int = 0,
    ) -> None:
        latency_ms = self._context.clock.now_ms() - self._started_ms
        self._context.metrics.record_request_end(
            metrics_lib.RequestEnd(
                service=self.call.service,
                request_kind=self.call.request_kind,
                outcome=outcome,
                availability_zone=self._context.availability_zone,
                latency_ms=latency_ms,
                cause=cause,
                target_id=target_id,
                spent_tokens=spent_tokens,
            )
        )
        logging.info(
            "event=request_ended key=%s team=%s service=%s kind=%s outcome=%s"
            " cause=%s target=%s spent_tokens=%d latency_ms=%d",
            self.call.key,
            self.call.team_id,
            self.call.service,
            self.call.request_kind,
            outcome.value,
            cause or "none",
            target_id or "none",
            spent_tokens,
            latency_ms,
        )

    def _decision_fields(self) -> dict[str, object]:
        return {
            "at_ms": self._context.clock.now_ms(),
            "instance_id": self._context.instance_id,
        }

    def __repr__(self) -> str:
        return f"CallSession(key={self.call.key!r}, ended={self._is_ended})"


_NOT_RUN = calls.RunEnd(result=calls.RunResult.NOT_RUN, spent_tokens=0)
