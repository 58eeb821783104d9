"""Runs a call of a plain service at a target."""

from __future__ import annotations

import msgspec
import result

from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.router import dispatch
from bambooglade.targets import target as target_lib
from bambooglade.transport import messages

RETRY_AFTER_MS = 500
_FIRST_SERVER_ERROR = 500
_TOO_MANY_REQUESTS = 429
_BODILESS_STATUSES = (204, 304)
_CONNECT_TIMEOUT_MS = 500


class PlainRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What is sent on to the plain service.

    Attributes:
        method: HTTP method.
        path: Path below the service, with the query.
        content_type: Type of the body; empty for none.
        body: The body.
    """

    method: str
    path: str
    content_type: str = ""
    body: bytes = b""


class PlainEnd(msgspec.Struct, frozen=True, kw_only=True):
    """How a call of a plain service ended.

    Attributes:
        outcome: The whole answer, or why there is none.
        target_id: The target that answered or was tried last.
    """

    outcome: result.Result[messages.Response, failures.Failure]
    target_id: identifiers.TargetId | None = None

    @property
    def run_result(self) -> calls.RunResult:
        """Returns what is known of the run."""
        if isinstance(self.outcome, result.Ok):
            return calls.RunResult.FINISHED
        if self.outcome.err_value.ran is failures.Ran.NO:
            return calls.RunResult.NOT_RUN
        return calls.RunResult.UNKNOWN


class _Attempt(msgspec.Struct, frozen=True, kw_only=True):
    answer: messages.Response | None = None
    outcome: str = "whole"
    sent: bool = True


class PlainDispatcher:
    """Sends a call to targets until one answers whole.

    A call that may not be repeated is sent to another target only while no
    byte of it can have reached one.

    Args:
        courier: Chooses targets and records attempts.
    """

    __slots__ = ("_courier",)

    def __init__(self, courier: dispatch.Courier) -> None:
        self._courier = courier

    def run(self, job: dispatch.Job, request: PlainRequest) -> PlainEnd:
        """Runs the call; the answer is whole or a typed failure."""
        tried: list[identifiers.TargetId] = []
        may_have_run = False
        reason = "No target takes requests of the service."
        self._courier.directory.record_first_attempt()
        for number in range(dispatch.MAX_ATTEMPTS):
            if number and not self._courier.directory.try_acquire_retry():
                reason += " The retry budget is used up."
                break
            left_ms = self._courier.time_left_ms(job)
            if job.gone() or left_ms < dispatch.MIN_TIME_LEFT_MS:
                return self._too_late(may_have_run, reason, tried)
            target = self._courier.choose(job, blocks=(), tried=tried)
            if target is None:
                break
            tried.append(target.target_id)
            attempt = self._attempt(job, request, target, left_ms)
            if attempt.answer is not None:
                return PlainEnd(
                    outcome=result.Ok(attempt.answer),
                    target_id=target.target_id,
                )
            may_have_run = may_have_run or attempt.sent
            reason = f"{target.target_id}: {attempt.outcome}."
            if may_have_run and not job.repeatable:
                break
        failure = dispatch.given_up(
            reason, may_have_run=may_have_run, retry_after_ms=RETRY_AFTER_MS
        )
        return _failed(failure, tried)

    def _too_late(
        self,
        may_have_run: bool,
        reason: str,
        tried: list[identifiers.TargetId],
    ) -> PlainEnd:
        if may_have_run:
            return _failed(dispatch.given_up(reason, may_have_run=True), tried)
        return _failed(
            failures.DeadlineTooClose(
                detail="The deadline passed before a target took the request.",
                retry_after_ms=RETRY_AFTER_MS,
            ),
            tried,
        )

    def _attempt(
        self,
        job: dispatch.Job,
        request: PlainRequest,
        target: target_lib.Target,
        left_ms: int,
    ) -> _Attempt:
        attempt_id = self._courier.new_attempt_id()
        self._courier.directory.record_start(target.target_id, attempt_id)
        started_ms = self._courier.clock.now_ms()
        is_whole: bool | None = False
        try:
            answer = self._courier.client.request(
                self._message(job, request, target, attempt_id, left_ms),
                cancelled=job.gone,
            )
            attempt = self._judge(
                answer, target, attempt_id, method=request.method
            )
            is_whole = attempt.answer is not None
            if isinstance(
                answer.err(), messages.TransferCancelled
            ):  # says nothing about the target
                is_whole = None
        finally:
            self._courier.directory.record_end(
                target.target_id,
                attempt_id,
                is_complete=is_whole,
                unit_ms=self._courier.clock.now_ms() - started_ms,
            )
        self._courier.answered(job, target, outcome=attempt.outcome)
        return attempt

    def _message(
        self,
        job: dispatch.Job,
        request: PlainRequest,
        target: target_lib.Target,
        attempt_id: str,
        left_ms: int,
    ) -> messages.Request:
        headers = self._courier.headers(job, attempt_id, left_ms)
        if request.content_type:
            headers += (messages.Header("Content-Type", request.content_type),)
        # A repeatable call leaves time for another target.
        timeout_ms = left_ms // 2 if job.repeatable else left_ms
        return messages.Request(
            method=request.method,
            url=f"{target.url}{request.path}",
            headers=headers,
            body=request.body if request.body else _empty_body(request.method),
            may_be_resent=job.repeatable,
            connect_timeout_ms=min(_CONNECT_TIMEOUT_MS, timeout_ms),
            first_byte_timeout_ms=timeout_ms,
            total_timeout_ms=timeout_ms,
        )

    def _judge(
        self,
        answer: result.Result[messages.Response, messages.TransferFailure],
        target: target_lib.Target,
        attempt_id: str,
        *,
        method: str,
    ) -> _Attempt:
        if isinstance(answer, result.Err):
            failure = answer.err_value
            return _Attempt(
                outcome=f"{failure.kind} ({failure.detail})", sent=failure.sent
            )
        response = answer.ok_value
        self._courier.look_at_head(target, response.head)
        outcome = _fault_of(response, attempt_id, has_body=method != "HEAD")
        if outcome:
            return _Attempt(outcome=outcome)
        return _Attempt(answer=response)


def _fault_of(
    response: messages.Response, attempt_id: str, *, has_body: bool
) -> str:
    """Returns what is wrong with an answer; empty if nothing."""
    head = response.head
    echoed = head.header(dispatch.ATTEMPT_HEADER.lower())
    if echoed and echoed != attempt_id:
        return "crossed answer"
    if head.status >= _FIRST_SERVER_ERROR or head.status == _TOO_MANY_REQUESTS:
        return f"status {head.status}"
    if not has_body or head.status in _BODILESS_STATUSES:
        return ""
    length = head.header("content-length")
    is_chunked = "chunked" in head.header("transfer-encoding")
    if not length and not is_chunked:
        return "answer without a length"
    if length and int(length) != len(response.body):
        return "cut answer"
    return ""


def _failed(
    failure: failures.Failure, tried: list[identifiers.TargetId]
) -> PlainEnd:
    return PlainEnd(
        outcome=result.Err(failure), target_id=tried[-1] if tried else None
    )


def _empty_body(method: str) -> bytes | None:
    return None if method in ("GET", "HEAD") else b""
