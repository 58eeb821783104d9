"""The course of one call at the entry: reserve, queue, run, bill."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import itertools

from absl import logging
import result

from bambooglade.core import clock as clocks
from bambooglade.core import failures
from bambooglade.operations import calls
from bambooglade.router import admission_gate
from bambooglade.router import calls_port
from bambooglade.router import metrics as metrics_lib
from bambooglade.router import trace
from bambooglade.table import matching
from bambooglade.targets import admission

_POLL_S = 0.05
ANSWER_GRACE_MS = 2_000
"""Time after the deadline in which the decisions have to answer a call."""

BILL_WAIT_MS = 5_000
_MS_PER_S = 1_000


class Desk:
    """What all calls of an instance share.

    Args:
        port: The decisions on calls.
        gate: Slots per kind of request.
        clock: The clock.
        ring: Takes the decisions, for explanations.
        metrics: Counts the requests.
        instance_id: The own instance.
        availability_zone: The own zone.
    """

    __slots__ = (
        "_numbers",
        "availability_zone",
        "clock",
        "gate",
        "instance_id",
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
    ) -> None:
        self.port = port
        self.gate = gate
        self.clock = clock
        self.ring = ring
        self.metrics = metrics
        self.instance_id = instance_id
        self.availability_zone = availability_zone
        self._numbers = itertools.count(1)

    def new_call_id(self) -> str:
        """Returns an id that no other call of this instance has."""
        return f"{self.instance_id}-c{next(self._numbers)}"

    def __repr__(self) -> str:
        return f"Desk(instance_id={self.instance_id!r})"


class CallSession:
    """One call; `finish` or `refuse` ends it, exactly once.

    Args:
        desk: What calls share.
        call: The call.
        match: The rows that apply.
        gone: Tells whether the caller went away.
    """

    __slots__ = (
        "_desk",
        "_ended",
        "_match",
        "_permitted",
        "_started_ms",
        "_ticket",
        "call",
        "gone",
    )

    def __init__(
        self,
        desk: Desk,
        *,
        call: calls.Call,
        match: matching.Match,
        gone: Callable[[], bool],
    ) -> None:
        self._desk = desk
        self._match = match
        self._started_ms = desk.clock.now_ms()
        self._permitted = False
        self._ended = False
        self._ticket: admission.Ticket | None = None
        self.call = call
        self.gone = gone
        desk.ring.record(
            call.key,
            trace.RowsMatched(row_keys=match.row_keys, **self._stamp()),
        )

    def begin(
        self,
    ) -> result.Result[calls.Permit | calls.Replay, failures.Failure]:
        """Reserves and claims, then waits for a slot."""
        answer = self._answer(self._desk.port.begin(self.call))
        if isinstance(answer, calls.Refuse):
            return self.refuse(answer.failure)
        if isinstance(answer, calls.Replay):
            self._count(metrics_lib.Outcome.FINISHED)
            return result.Ok(answer)
        self._permitted = True
        entered = self._enter()
        if isinstance(entered, result.Err):
            self.finish(_NOT_RUN)
            return self.refuse(entered.err_value)
        return result.Ok(answer)

    def finish(self, run_end: calls.RunEnd) -> calls.Bill | None:
        """Bills the run and gives the slot back; once.

        Returns:
            The bill, or None when it isn't settled within the wait.
        """
        if self._ended or not self._permitted:
            return None
        self._ended = True
        if self._ticket is not None:
            self._desk.gate.leave(self._ticket)
        future = self._desk.port.finish(self.call.key, run_end)
        if run_end.result is calls.RunResult.NOT_RUN:
            return None  # a refusal is told at once
        try:
            billed = future.result(BILL_WAIT_MS / _MS_PER_S)
        except futures.TimeoutError:
            logging.warning("event=bill_late key=%s", self.call.key)
            return None
        self._desk.ring.record(
            self.call.key,
            trace.RequestBilled(
                spent_tokens=billed.bill.spent_tokens,
                voided=billed.bill.voided,
                **self._stamp(),
            ),
        )
        return billed.bill

    def succeed(self, bill: calls.Bill | None, target_id: str) -> None:
        """Counts a call whose answer is whole."""
        self._count(
            metrics_lib.Outcome.FINISHED,
            target_id=target_id,
            spent_tokens=bill.spent_tokens if bill else 0,
        )

    def refuse(
        self, failure: failures.Failure, *, target_id: str = ""
    ) -> result.Err[failures.Failure]:
        """Records why the caller gets no whole answer."""
        self._desk.ring.record(
            self.call.key,
            trace.RequestRefused(
                kind=failure.kind,
                detail=failure.detail,
                ran=failure.ran.value,
                **self._stamp(),
            ),
        )
        may_have_run = failure.ran is failures.Ran.UNKNOWN
        self._count(
            metrics_lib.Outcome.UNKNOWN
            if may_have_run
            else metrics_lib.Outcome.REFUSED,
            cause=failure.kind,
            target_id=target_id,
        )
        return result.Err(failure)

    def _answer(
        self,
        future: futures.Future[calls.Permit | calls.Refuse | calls.Replay],
    ) -> calls.Permit | calls.Refuse | calls.Replay:
        """Waits for the decisions; a caller that goes away gives up."""
        last_ms = self.call.admission_deadline_ms + ANSWER_GRACE_MS
        is_cancelled = False
        while True:
            try:
                return future.result(_POLL_S)
            except futures.TimeoutError:
                is_late = self._desk.clock.now_ms() > last_ms
            if is_cancelled and is_late:
                return self._unanswered(future)
            if not is_cancelled and (is_late or self.gone()):
                is_cancelled = True
                last_ms = self._desk.clock.now_ms() + ANSWER_GRACE_MS
                self._desk.port.cancel(self.call)

    def _unanswered(
        self,
        future: futures.Future[calls.Permit | calls.Refuse | calls.Replay],
    ) -> calls.Refuse:
        """Refuses; a permit that comes later is ended as not run."""
        future.add_done_callback(self._end_late_permit)
        return calls.Refuse(
            key=self.call.key,
            failure=failures.OutcomeUnknown(
                detail="The decisions on the call gave no answer."
            ),
        )

    def _end_late_permit(
        self,
        future: futures.Future[calls.Permit | calls.Refuse | calls.Replay],
    ) -> None:
        if isinstance(future.result(), calls.Permit):
            self._desk.port.finish(self.call.key, _NOT_RUN)

    def _enter(self) -> result.Result[None, failures.Failure]:
        row = self._match.kind
        ticket = admission.Ticket(
            ticket_id=self.call.call_id,
            kind=admission.KindKey(
                service=self.call.service,
                request_kind=self.call.request_kind,
            ),
            team_id=self.call.team_id,
            team_weight=self._match.team.weight,
            priority=row.priority,
            deadline_ms=self.call.deadline_ms,
            slots=row.max_concurrency,
        )
        entered = self._desk.gate.enter(ticket, gone=self.gone)
        if entered.is_ok():
            self._ticket = ticket
        return entered

    def _count(
        self,
        outcome: metrics_lib.Outcome,
        *,
        cause: str = "",
        target_id: str = "",
        spent_tokens: int = 0,
    ) -> None:
        latency_ms = self._desk.clock.now_ms() - self._started_ms
        self._desk.metrics.request_ended(
            metrics_lib.RequestEnd(
                service=self.call.service,
                request_kind=self.call.request_kind,
                outcome=outcome,
                availability_zone=self._desk.availability_zone,
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

    def _stamp(self) -> dict[str, object]:
        return {
            "at_ms": self._desk.clock.now_ms(),
            "instance_id": self._desk.instance_id,
        }

    def __repr__(self) -> str:
        return f"CallSession(key={self.call.key!r}, ended={self._ended})"


_NOT_RUN = calls.RunEnd(result=calls.RunResult.NOT_RUN, spent_tokens=0)
