"""Runs a chat at engines: one answer, whatever streams break on the way."""

from __future__ import annotations

from collections.abc import Generator
from collections.abc import Iterator

import msgspec

from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.router import chat_request
from bambooglade.router import dispatch
from bambooglade.router import engine_stream
from bambooglade.targets import affinity
from bambooglade.targets import stream_validation
from bambooglade.targets import target as target_lib
from bambooglade.transport import messages

CHAT_PATH = "/v1/chat/completions"
RETRY_AFTER_MS = 1_000
_CONNECT_TIMEOUT_MS = 500


class ChatRun:
    """One run of a chat.

    `tokens` is a generator; closing it cancels the stream at the engine. The
    other attributes tell at any time how far the run came.

    Args:
        courier: Chooses targets and records attempts.
        job: The job.
        chat: The request.
        priority: Priority at the engine.
    """

    __slots__ = (
        "_blocks",
        "_chat",
        "_courier",
        "_job",
        "_priority",
        "_reason",
        "_sent",
        "_tried",
        "failure",
        "parts",
        "target_id",
        "usage",
    )

    def __init__(
        self,
        courier: dispatch.Courier,
        job: dispatch.Job,
        chat: chat_request.ChatRequest,
        *,
        priority: int = 0,
    ) -> None:
        self._courier = courier
        self._job = job
        self._chat = chat
        self._priority = priority
        self._blocks = tuple(affinity.block_hashes(chat.prompt))
        self._tried: list[identifiers.TargetId] = []
        self._sent = False
        self._reason = "No target takes requests of the service."
        self.parts: list[str] = []
        self.usage: stream_validation.Usage | None = None
        self.failure: failures.Failure | None = None
        self.target_id: identifiers.TargetId | None = None

    @property
    def text(self) -> str:
        """Returns the text so far."""
        return "".join(self.parts)

    @property
    def is_whole(self) -> bool:
        """Returns whether the answer is whole."""
        return self.usage is not None

    def tokens(self) -> Iterator[engine_stream.Token]:
        """Yields the answer's tokens, each once and in order.

        At the end either `usage` or `failure` is set.
        """
        self._courier.directory.earn_retries()
        for number in range(dispatch.MAX_ATTEMPTS):
            if not self._may_attempt(number):
                break
            target = self._courier.choose(
                self._job, blocks=self._blocks, tried=self._tried
            )
            if target is None:
                break
            self._tried.append(target.target_id)
            end = yield from self._attempt(target)
            if end.has_all_tokens:
                self.usage = end.usage or self._estimated_usage()
                return
            self._reason = f"{target.target_id}: {end.outcome}."
        if self.failure is None:
            self.failure = dispatch.given_up(
                self._reason,
                may_have_run=self._sent,
                retry_after_ms=RETRY_AFTER_MS,
            )

    def run_end(
        self, answer: calls.StoredResponse | None = None
    ) -> calls.RunEnd:
        """Returns how the run ended, for the bill."""
        return calls.RunEnd(
            result=self._run_result(),
            spent_tokens=min(self._spent_tokens(), self._job.bound_tokens),
            target_id=self.target_id,
            answer=answer,
        )

    def undelivered_end(self) -> calls.RunEnd:
        """Returns how a run ended of which the caller got nothing."""
        return calls.RunEnd(
            result=calls.RunResult.UNKNOWN
            if self._sent
            else calls.RunResult.NOT_RUN,
            spent_tokens=0,
            target_id=self.target_id,
        )

    def _run_result(self) -> calls.RunResult:
        if self.is_whole or self.parts:
            return calls.RunResult.FINISHED
        if self._sent:
            return calls.RunResult.UNKNOWN
        return calls.RunResult.NOT_RUN

    def _spent_tokens(self) -> int:
        if self.usage is not None:
            return self.usage.prompt_tokens + len(self.parts)
        if not self.parts:
            return 0
        return self._chat.typical_prompt_tokens() + len(self.parts)

    def _estimated_usage(self) -> stream_validation.Usage:
        return stream_validation.Usage(
            prompt_tokens=self._chat.typical_prompt_tokens(),
            completion_tokens=len(self.parts),
        )

    def _may_attempt(self, number: int) -> bool:
        if self._courier.time_left_ms(self._job) < dispatch.MIN_TIME_LEFT_MS:
            self._refuse_late()
            return False
        if self._job.gone():
            return False
        # Resuming adds no work, so it draws on no budget.
        if number == 0 or self.parts:
            return True
        if self._courier.directory.may_retry():
            return True
        self._reason += " The retry budget is used up."
        return False

    def _refuse_late(self) -> None:
        if self._sent:
            self._reason += " The deadline passed."
            return
        self.failure = failures.DeadlineTooClose(
            detail="The deadline passed before a target took the request.",
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _attempt(
        self, target: target_lib.Target
    ) -> Generator[engine_stream.Token, None, engine_stream.AttemptEnd]:
        courier = self._courier
        attempt_id = courier.new_attempt_id()
        tokens_before = len(self.parts)
        end = engine_stream.AttemptEnd(outcome="caller gone", is_own_doing=True)
        courier.directory.started(target.target_id, attempt_id, self._blocks)
        self.target_id = target.target_id
        self._sent, sent_before = True, self._sent
        try:
            end = yield from self._stream(target, attempt_id)
            self._sent = sent_before or end.sent
        finally:
            count = len(self.parts) - tokens_before
            courier.directory.ended(
                target.target_id,
                attempt_id,
                is_whole=None if end.is_own_doing else end.has_all_tokens,
                unit_ms=end.waited_ms / count if count else None,
            )
            courier.answered(
                self._job, target, outcome=end.outcome, tokens=count
            )
        return end

    def _stream(
        self, target: target_lib.Target, attempt_id: str
    ) -> Generator[engine_stream.Token, None, engine_stream.AttemptEnd]:
        stream = engine_stream.EngineStream(
            client=self._courier.client,
            clock=self._courier.clock,
            check=stream_validation.StreamValidator(
                attempt_id, next_seq=len(self.parts)
            ),
            on_head=lambda head: self._courier.look_at_head(target, head),
            given_up=self._job.gone,
        )
        attempt = stream.run(self._message(target, attempt_id))
        try:
            while True:
                token = next(attempt)
                self.parts.append(token.text)
                yield token
        except StopIteration as stop:
            return stop.value
        finally:
            attempt.close()

    def _message(
        self, target: target_lib.Target, attempt_id: str
    ) -> messages.Request:
        left_ms = max(1, self._courier.time_left_ms(self._job))
        headers = self._courier.headers(self._job, attempt_id, left_ms)
        return messages.Request(
            method="POST",
            url=f"{target.url}{CHAT_PATH}",
            headers=(
                *headers,
                messages.Header("Content-Type", "application/json"),
            ),
            body=self._chat.engine_body(
                attempt_id=attempt_id,
                resume_from=len(self.parts),
                resume_text=self.text,
                priority=self._priority,
            ),
            connect_timeout_ms=min(_CONNECT_TIMEOUT_MS, left_ms),
            first_byte_timeout_ms=left_ms,
            total_timeout_ms=left_ms,
        )

    def __repr__(self) -> str:
        return f"ChatRun(tokens={len(self.parts)}, is_whole={self.is_whole})"


class UsageBody(msgspec.Struct, frozen=True, kw_only=True):
    """The usage that callers see."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


def usage_body(run: ChatRun) -> UsageBody:
    """Returns the usage of a whole run."""
    prompt_tokens = run.usage.prompt_tokens if run.usage else 0
    completion_tokens = len(run.parts)
    return UsageBody(
        prompt_tokens=prompt_tokens,
        completion_tokens=completion_tokens,
        total_tokens=prompt_tokens + completion_tokens,
    )
