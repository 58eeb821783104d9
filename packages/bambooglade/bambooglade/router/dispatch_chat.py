"""Runs a chat at engines, and resumes it when a stream breaks.

A stream goes on only at the software version that began it, since what two
versions write doesn't fit together.
"""

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
SOUND_TOKENS = 3
"""Tokens of a response after which it is well under way."""

_CONNECT_TIMEOUT_MS = 500


class ChatRun:
    """One run of a chat, over as many attempts as needed.

    `tokens` is a generator; closing it cancels the stream at the engine. The
    other attributes describe the state of the run at any time.

    Args:
        context: Chooses targets and records attempts.
        job: The job.
        chat: The request.
        priority: Priority at the engine.

    Attributes:
        token_texts: Texts of the tokens received so far.
        usage: Token counts; set once the response is complete.
        failure: Set once the run has failed.
        target_id: Target of the last attempt.
    """

    __slots__ = (
        "_blocks",
        "_chat",
        "_context",
        "_identity",
        "_job",
        "_may_have_run",
        "_priority",
        "_reason",
        "_software_version",
        "_tried",
        "failure",
        "target_id",
        "token_texts",
        "usage",
    )

    def __init__(
        self,
        context: dispatch.DispatchContext,
        job: dispatch.Job,
        chat: chat_request.ChatRequest,
        *,
        priority: int = 0,
    ) -> None:
        self._context = context
        self._job = job
        self._chat = chat
        self._priority = priority
        self._blocks = tuple(affinity.block_hashes(chat.prompt))
        self._identity = job.identity
        self._tried: list[identifiers.TargetId] = []
        self._may_have_run = False
        self._software_version: str | None = None
        self._reason = "No target is available for the service."
        self.token_texts: list[str] = []
        self.usage: stream_validation.Usage | None = None
        self.failure: failures.Failure | None = None
        self.target_id: identifiers.TargetId | None = None

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self.token_texts)

    @property
    def is_complete(self) -> bool:
        """Whether all tokens of the response were received."""
        return self.usage is not None

    def tokens(self) -> Iterator[engine_stream.Token]:
        """Yields each token of the response once and in order.

        When the generator ends, either `usage` or `failure` is set.
        """
        self._context.directory.record_first_attempt()
        for number in range(dispatch.MAX_ATTEMPTS):
            if not self._can_attempt(number):
                break
            target = self._context.choose(
                self._job,
                blocks=self._blocks,
                tried=self._tried,
                software_version=self._software_version,
            )
            if target is None:
                break
            self._tried.append(target.target_id)
            attempt_result = yield from self._attempt(target)
            if attempt_result.has_all_tokens:
                self.usage = attempt_result.usage or self._estimated_usage()
                return
            self._reason = f"{target.target_id}: {attempt_result.outcome}."
        if self.failure is None:
            self.failure = dispatch.dispatch_failure(
                self._reason,
                may_have_run=self._may_have_run,
                retry_after_ms=self._context.retry_after_ms(
                    self._job, RETRY_AFTER_MS
                ),
            )

    def run_end(
        self, response: calls.StoredResponse | None = None
    ) -> calls.RunEnd:
        """Returns the end of the run, from which it is billed.

        Args:
            response: The response to store for retries of the key.
        """
        return calls.RunEnd(
            result=self._run_result(),
            spent_tokens=min(self._spent_tokens(), self._job.bound_tokens),
            target_id=self.target_id,
            answer=response,
        )

    def undelivered_run_end(self) -> calls.RunEnd:
        """Returns the end of a run with nothing delivered to the caller."""
        return calls.RunEnd(
            result=calls.RunResult.UNKNOWN
            if self._may_have_run
            else calls.RunResult.NOT_RUN,
            spent_tokens=0,
            target_id=self.target_id,
        )

    def _run_result(self) -> calls.RunResult:
        if self.is_complete or self.token_texts:
            return calls.RunResult.FINISHED
        if self._may_have_run:
            return calls.RunResult.UNKNOWN
        return calls.RunResult.NOT_RUN

    def _spent_tokens(self) -> int:
        if self.usage is not None:
            return self.usage.prompt_tokens + len(self.token_texts)
        if not self.token_texts:
            return 0
        return self._chat.estimated_prompt_tokens() + len(self.token_texts)

    def _estimated_usage(self) -> stream_validation.Usage:
        return stream_validation.Usage(
            prompt_tokens=self._chat.estimated_prompt_tokens(),
            completion_tokens=len(self.token_texts),
        )

    def _can_attempt(self, number: int) -> bool:
        if self._context.remaining_ms(self._job) < dispatch.MIN_REMAINING_MS:
            self._record_deadline_passed()
            return False
        if self._job.is_caller_gone() or self._is_quarantined():
            return False
        # A resumed stream repeats no work, so it needs no retry budget.
        if number == 0 or self.token_texts:
            return True
        if self._context.directory.try_acquire_retry():
            return True
        self._reason += " The retry budget is exhausted."
        return False

    def _is_quarantined(self) -> bool:
        quarantine = self._context.suspicions.find_quarantine(self._suspects)
        if quarantine is None or (
            not self._may_have_run
            and self._context.suspicions.acquire_trial(quarantine)
        ):
            return False
        is_of_request = quarantine.is_of_request
        subject = (
            "this request"
            if is_of_request
            else "prompts that begin like this one"
        )
        self._reason = f"{quarantine.crash_count} targets crashed on {subject}."
        if not self._may_have_run:
            kind = (
                failures.RequestQuarantined
                if is_of_request
                else failures.PromptQuarantined
            )
            self.failure = kind(detail=self._reason)
        return True

    @property
    def _suspects(self) -> tuple[str, ...]:
        return (self._identity, *self._blocks)

    def _record_deadline_passed(self) -> None:
        if self._may_have_run:
            self._reason += " The deadline passed."
            return
        self.failure = failures.DeadlineTooClose(
            detail="The deadline passed before a target got the request.",
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _attempt(
        self, target: target_lib.Target
    ) -> Generator[engine_stream.Token, None, engine_stream.AttemptResult]:
        context = self._context
        attempt_id = context.new_attempt_id()
        tokens_before = len(self.token_texts)
        attempt_result = engine_stream.AttemptResult(
            outcome="caller disconnected", is_locally_cancelled=True
        )
        context.directory.record_start(
            target.target_id, attempt_id, self._blocks
        )
        self.target_id = target.target_id
        self._may_have_run, may_have_run_before = True, self._may_have_run
        target_run = context.suspicions.target_run(target.target_id)
        sent_at_ms = context.clock.now_ms()
        try:
            attempt_result = yield from self._stream(target, attempt_id)
            self._may_have_run = (
                may_have_run_before or attempt_result.may_have_run
            )
        finally:
            count = len(self.token_texts) - tokens_before
            if attempt_result.is_refused:
                context.directory.record_refused_connection(target)
            if attempt_result.is_cut_off:
                context.suspicions.record_crash(
                    target_run,
                    attempt_id,
                    self._suspects
                    if attempt_result.has_begun
                    else (self._identity,),
                    sent_at_ms=sent_at_ms,
                )
            elif attempt_result.has_all_tokens:
                context.suspicions.record_success(self._suspects)
            elif count >= SOUND_TOKENS:
                context.suspicions.record_progress(attempt_id, self._blocks)
            context.directory.record_end(
                target.target_id,
                attempt_id,
                is_complete=None
                if attempt_result.is_locally_cancelled
                else attempt_result.has_all_tokens,
                unit_ms=attempt_result.waited_ms / count if count else None,
            )
            context.record_attempt(
                self._job, target, outcome=attempt_result.outcome, tokens=count
            )
        return attempt_result

    def _stream(
        self, target: target_lib.Target, attempt_id: str
    ) -> Generator[engine_stream.Token, None, engine_stream.AttemptResult]:
        version = ""

        def handle_head(head: messages.ResponseHead) -> str:
            nonlocal version
            self._context.record_leaving_header(target, head)
            self._context.record_pause_header(target, head)
            version = self._context.record_software_version(target, head)
            return self._version_conflict(version)

        stream = engine_stream.EngineStream(
            client=self._context.client,
            clock=self._context.clock,
            validator=stream_validation.StreamValidator(
                attempt_id, next_seq=len(self.token_texts)
            ),
            on_head=handle_head,
            is_abandoned=self._job.is_caller_gone,
        )
        attempt = stream.run(self._build_request(target, attempt_id))
        try:
            while True:
                token = next(attempt)
                self._software_version = version
                self.token_texts.append(token.text)
                yield token
        except StopIteration as stop:
            return stop.value
        finally:
            attempt.close()

    def _version_conflict(self, version: str) -> str:
        if self._software_version in (None, version):
            return ""
        return (
            f"software version {version!r}, but the stream began at"
            f" {self._software_version!r}"
        )

    def _build_request(
        self, target: target_lib.Target, attempt_id: str
    ) -> messages.Request:
        remaining_ms = max(1, self._context.remaining_ms(self._job))
        headers = self._context.attempt_headers(
            self._job, attempt_id, remaining_ms
        )
        return messages.Request(
            method="POST",
            url=f"{target.url}{CHAT_PATH}",
            headers=(
                *headers,
                messages.Header("Content-Type", "application/json"),
            ),
            body=self._chat.engine_body(
                attempt_id=attempt_id,
                resume_from=len(self.token_texts),
                resume_text=self.text,
                priority=self._priority,
            ),
            connect_timeout_ms=min(_CONNECT_TIMEOUT_MS, remaining_ms),
            first_byte_timeout_ms=remaining_ms,
            total_timeout_ms=remaining_ms,
        )

    def __repr__(self) -> str:
        return (
            f"ChatRun(tokens={len(self.token_texts)}, "
            f"is_complete={self.is_complete})"
        )


class UsageCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts in the response to callers."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


def usage_counts(run: ChatRun) -> UsageCounts:
    """Returns the token counts of a complete run."""
    prompt_tokens = run.usage.prompt_tokens if run.usage else 0
    completion_tokens = len(run.token_texts)
    return UsageCounts(
        prompt_tokens=prompt_tokens,
        completion_tokens=completion_tokens,
        total_tokens=prompt_tokens + completion_tokens,
    )
