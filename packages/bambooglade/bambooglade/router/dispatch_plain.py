"""Dispatches calls of plain services to targets."""

from __future__ import annotations

import msgspec
import result

from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.router import dispatch
from bambooglade.targets import crash_suspicions
from bambooglade.targets import target as target_lib
from bambooglade.transport import messages

RETRY_AFTER_MS = 500
_FIRST_SERVER_ERROR_STATUS = 500
_TOO_MANY_REQUESTS = 429
_STATUSES_WITHOUT_BODY = (204, 304)
_CONNECT_TIMEOUT_MS = 500


class PlainRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to forward to a plain service.

    Attributes:
        method: HTTP method.
        path: Path at the target, with the query.
        content_type: Content type of the body; empty if it is not set.
        body: The body.
    """

    method: str
    path: str
    content_type: str = ""
    body: bytes = b""


class PlainResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a call of a plain service.

    Attributes:
        outcome: The complete response, or the failure.
        target_id: The target that responded or was tried last.
    """

    outcome: result.Result[messages.Response, failures.Failure]
    target_id: identifiers.TargetId | None = None

    @property
    def run_result(self) -> calls.RunResult:
        """Whether the call finished, did not run, or has an unknown outcome."""
        if isinstance(self.outcome, result.Ok):
            return calls.RunResult.FINISHED
        if self.outcome.err_value.ran is failures.Ran.NO:
            return calls.RunResult.NOT_RUN
        return calls.RunResult.UNKNOWN


class _AttemptResult(msgspec.Struct, frozen=True, kw_only=True):
    response: messages.Response | None = None
    outcome: str = "whole"
    may_have_run: bool = True
    is_cut_off: bool = False


class PlainDispatcher:
    """Sends a call to targets until one returns a complete response.

    A call that may not be repeated is sent to another target only if no byte
    of it can have reached a target before.

    Args:
        context: Chooses targets and records attempts.
    """

    __slots__ = ("_context",)

    def __init__(self, context: dispatch.DispatchContext) -> None:
        self._context = context

    def run(self, job: dispatch.Job, request: PlainRequest) -> PlainResult:
        """Runs the call; returns a complete response or a typed failure."""
        tried: list[identifiers.TargetId] = []
        identity = job.identity
        may_have_run = False
        reason = "No target is available for the service."
        self._context.directory.record_first_attempt()
        for number in range(dispatch.MAX_ATTEMPTS):
            if number and not self._context.directory.try_acquire_retry():
                reason += " The retry budget is exhausted."
                break
            remaining_ms = self._context.remaining_ms(job)
            if job.is_caller_gone() or remaining_ms < dispatch.MIN_REMAINING_MS:
                return self._deadline_result(may_have_run, reason, tried)
            quarantine = self._context.suspicions.find_quarantine([identity])
            if quarantine is not None and (
                number or not self._context.suspicions.acquire_trial(quarantine)
            ):
                return _quarantined_result(quarantine, may_have_run, tried)
            target = self._context.choose(job, blocks=(), tried=tried)
            if target is None:
                break
            tried.append(target.target_id)
            attempt = self._attempt(
                job, request, target, remaining_ms, identity=identity
            )
            if attempt.response is not None:
                return PlainResult(
                    outcome=result.Ok(attempt.response),
                    target_id=target.target_id,
                )
            may_have_run = may_have_run or attempt.may_have_run
            reason = f"{target.target_id}: {attempt.outcome}."
            if may_have_run and not job.repeatable:
                break
        failure = dispatch.dispatch_failure(
            reason,
            may_have_run=may_have_run,
            retry_after_ms=self._context.retry_after_ms(job, RETRY_AFTER_MS),
        )
        return _failed_result(failure, tried)

    def _deadline_result(
        self,
        may_have_run: bool,
        reason: str,
        tried: list[identifiers.TargetId],
    ) -> PlainResult:
        if may_have_run:
            return _failed_result(
                dispatch.dispatch_failure(reason, may_have_run=True), tried
            )
        return _failed_result(
            failures.DeadlineTooClose(
                detail="The deadline passed before a target got the request.",
                retry_after_ms=RETRY_AFTER_MS,
            ),
            tried,
        )

    def _attempt(
        self,
        job: dispatch.Job,
        request: PlainRequest,
        target: target_lib.Target,
        remaining_ms: int,
        *,
        identity: str,
    ) -> _AttemptResult:
        attempt_id = self._context.new_attempt_id()
        self._context.directory.record_start(target.target_id, attempt_id)
        target_run = self._context.suspicions.target_run(target.target_id)
        started_ms = self._context.clock.now_ms()
        is_complete: bool | None = False
        try:
            transfer = self._context.client.request(
                self._build_request(
                    job, request, target, attempt_id, remaining_ms
                ),
                cancelled=job.is_caller_gone,
            )
            attempt = self._evaluate(
                transfer, target, attempt_id, method=request.method
            )
            is_complete = attempt.response is not None
            if isinstance(
                transfer.err(), messages.TransferCancelled
            ):  # A cancellation is not a failure of the target.
                is_complete = None
        finally:
            self._context.directory.record_end(
                target.target_id,
                attempt_id,
                is_complete=is_complete,
                unit_ms=self._context.clock.now_ms() - started_ms,
            )
        self._context.record_attempt(job, target, outcome=attempt.outcome)
        if attempt.is_cut_off:
            self._context.suspicions.record_crash(
                target_run, attempt_id, [identity], sent_at_ms=started_ms
            )
        elif attempt.response is not None:
            self._context.suspicions.record_success([identity])
        return attempt

    def _build_request(
        self,
        job: dispatch.Job,
        request: PlainRequest,
        target: target_lib.Target,
        attempt_id: str,
        remaining_ms: int,
    ) -> messages.Request:
        headers = self._context.attempt_headers(job, attempt_id, remaining_ms)
        if request.content_type:
            headers += (messages.Header("Content-Type", request.content_type),)
        # Half of the time is reserved for another target if the call may be
        # repeated.
        timeout_ms = remaining_ms // 2 if job.repeatable else remaining_ms
        return messages.Request(
            method=request.method,
            url=f"{target.url}{request.path}",
            headers=headers,
            body=request.body if request.body else _empty_body(request.method),
            response_id=messages.Header(
                dispatch.ATTEMPT_HEADER.lower(), attempt_id
            ),
            may_be_resent=job.repeatable,
            connect_timeout_ms=min(_CONNECT_TIMEOUT_MS, timeout_ms),
            first_byte_timeout_ms=timeout_ms,
            total_timeout_ms=timeout_ms,
        )

    def _evaluate(
        self,
        transfer: result.Result[messages.Response, messages.TransferFailure],
        target: target_lib.Target,
        attempt_id: str,
        *,
        method: str,
    ) -> _AttemptResult:
        if isinstance(transfer, result.Err):
            failure = transfer.err_value
            if failure.is_refused:
                self._context.directory.record_refused_connection(target)
            return _AttemptResult(
                outcome=f"{failure.kind} ({failure.detail})",
                may_have_run=failure.sent,
                is_cut_off=failure.is_cut_off,
            )
        response = transfer.ok_value
        if dispatch.is_response_to(response.head, attempt_id):
            self._context.record_leaving_header(target, response.head)
            self._context.record_pause_header(target, response.head)
        outcome = _response_fault(
            response, attempt_id, has_body=method != "HEAD"
        )
        if outcome:
            return _AttemptResult(outcome=outcome)
        return _AttemptResult(response=response)


def _response_fault(
    response: messages.Response, attempt_id: str, *, has_body: bool
) -> str:
    """Returns the fault of a response; empty for a valid and complete one."""
    head = response.head
    if not dispatch.is_response_to(head, attempt_id):
        return "response to another attempt"
    if (
        head.status >= _FIRST_SERVER_ERROR_STATUS
        or head.status == _TOO_MANY_REQUESTS
    ):
        return f"status {head.status}"
    if not has_body or head.status in _STATUSES_WITHOUT_BODY:
        return ""
    length = head.header("content-length")
    is_chunked = "chunked" in head.header("transfer-encoding")
    if not length and not is_chunked:
        return "response without a length"
    if length and int(length) != len(response.body):
        return "truncated response"
    return ""


def _failed_result(
    failure: failures.Failure, tried: list[identifiers.TargetId]
) -> PlainResult:
    return PlainResult(
        outcome=result.Err(failure), target_id=tried[-1] if tried else None
    )


def _quarantined_result(
    quarantine: crash_suspicions.Quarantine,
    may_have_run: bool,
    tried: list[identifiers.TargetId],
) -> PlainResult:
    detail = f"{quarantine.crash_count} targets crashed on this request."
    if may_have_run:
        failure = dispatch.dispatch_failure(detail, may_have_run=True)
    else:
        failure = failures.RequestQuarantined(detail=detail)
    return _failed_result(failure, tried)


def _empty_body(method: str) -> bytes | None:
    return None if method in ("GET", "HEAD") else b""
