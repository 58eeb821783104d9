"""One attempt of a chat at an engine: validated tokens, and the result."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator

import msgspec
import result

from bambooglade.core import clock as clocks
from bambooglade.core import json_documents
from bambooglade.targets import stream_validation
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages
from bambooglade.transport import sse

FIRST_TOKEN_TIMEOUT_MS = 15_000
"""Time-out of the first event; an engine with a longer queue is abandoned."""

NEXT_TOKEN_TIMEOUT_MS = 4_000
"""Time without an event after which a stream is considered stalled."""

END_OF_TRANSFER_TIMEOUT_MS = 250
"""Time-out of the end of the transfer after the last event."""

_OK = 200


class Token(msgspec.Struct, frozen=True, kw_only=True):
    """One token of the response."""

    text: str
    finish_reason: str | None = None


class AttemptResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of an attempt.

    Attributes:
        usage: Token counts of the engine; None if they were not received.
        has_all_tokens: Whether the last token was received, possibly without
            the token counts after it.
        outcome: `whole`, or the fault.
        may_have_run: Whether any byte of the request may have reached the
            engine.
        is_locally_cancelled: Whether the router or the caller cancelled the
            attempt.
        waited_ms: Total time spent waiting for events of the engine.
        is_cut_off: Whether the connection was lost although neither the router
            nor the caller ended the attempt.
        has_begun: Whether the head of a successful response was received.
        is_refused: Whether the engine accepted no connection.
    """

    usage: stream_validation.Usage | None = None
    has_all_tokens: bool = False
    outcome: str = "whole"
    may_have_run: bool = True
    is_locally_cancelled: bool = False
    waited_ms: int = 0
    is_cut_off: bool = False
    has_begun: bool = False
    is_refused: bool = False


class EngineStream:
    """Reads and validates the stream of one attempt.

    Args:
        client: Sends the request.
        clock: Source of the current time.
        validator: Classifies each event.
        on_head: Called with the head of the response; returns why its tokens
            can't be used, or an empty text.
        is_abandoned: Returns whether the response is no longer needed; polled
            during the transfer.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_has_duplicates",
        "_has_last_token",
        "_is_abandoned",
        "_is_stalled",
        "_on_head",
        "_refusal",
        "_status",
        "_token_count",
        "_transfer_result",
        "_usage",
        "_validator",
        "_wait_started_ms",
        "_waited_ms",
    )

    def __init__(
        self,
        *,
        client: client_lib.HttpClient,
        clock: clocks.Clock,
        validator: stream_validation.StreamValidator,
        on_head: Callable[[messages.ResponseHead], str],
        is_abandoned: Callable[[], bool],
    ) -> None:
        self._client = client
        self._clock = clock
        self._validator = validator
        self._on_head = on_head
        self._refusal = ""
        self._is_abandoned = is_abandoned
        self._wait_started_ms = clock.now_ms()
        self._has_last_token = False
        self._token_count = 0
        self._is_stalled = False
        self._status = 0
        self._has_duplicates = False
        self._usage: stream_validation.Usage | None = None
        self._waited_ms = 0
        self._transfer_result: (
            result.Result[None, messages.TransferFailure] | None
        ) = None

    def run(
        self, request: messages.Request
    ) -> Generator[Token, None, AttemptResult]:
        """Yields the valid tokens; returns the result of the attempt."""
        transfer = self._client.stream(request, cancelled=self._is_cancelled)
        fault = ""
        try:
            fault = yield from self._tokens(transfer)
        finally:
            # Closes the connection unless the response was complete.
            transfer.close()
        return msgspec.structs.replace(
            self._attempt_result(fault), waited_ms=self._waited_ms
        )

    def _tokens(self, transfer: Generator) -> Generator[Token, None, str]:
        """Yields tokens; returns the fault of the stream, or an empty text."""
        try:
            for data in sse.parse(self._chunks(transfer)):
                self._record_event_time()
                if data == sse.DONE:
                    continue
                event = json_documents.decode(
                    data, stream_validation.EngineEvent
                )
                verdict = self._validator.classify(event)
                if verdict is stream_validation.Verdict.TOKEN:
                    self._token_count += 1
                    token = _token_of(event)
                    self._has_last_token = token.finish_reason is not None
                    yield token
                    # Time spent in a slow caller does not count as waiting for
                    # the engine.
                    self._wait_started_ms = self._clock.now_ms()
                elif verdict is stream_validation.Verdict.LAST:
                    self._usage = event.usage
                    if self._has_duplicates:
                        return ""
                elif verdict is stream_validation.Verdict.DUPLICATE:
                    self._has_duplicates = True
                else:
                    return f"{verdict.value} event"
        except (msgspec.MsgspecError, sse.EventTooLargeError) as error:
            return f"malformed event ({error})"
        return ""

    def _chunks(self, transfer: Generator) -> Iterator[bytes]:
        while True:
            try:
                part = next(transfer)
            except StopIteration as stop:
                self._transfer_result = stop.value
                return
            if isinstance(part, bytes):
                yield part
                continue
            self._status = part.status
            self._refusal = self._on_head(part)
            if part.status != _OK or self._refusal:
                return

    def _record_event_time(self) -> None:
        now_ms = self._clock.now_ms()
        self._waited_ms += now_ms - self._wait_started_ms
        self._wait_started_ms = now_ms

    def _is_cancelled(self) -> bool:
        if self._usage is None and self._is_abandoned():
            return True
        waited_ms = self._clock.now_ms() - self._wait_started_ms
        self._is_stalled = waited_ms >= self._timeout_ms()
        return self._is_stalled

    def _timeout_ms(self) -> int:
        if self._usage is not None:
            return END_OF_TRANSFER_TIMEOUT_MS
        return (
            NEXT_TOKEN_TIMEOUT_MS
            if self._token_count
            else FIRST_TOKEN_TIMEOUT_MS
        )

    def _attempt_result(self, fault: str) -> AttemptResult:
        if self._usage is not None:
            return AttemptResult(usage=self._usage, has_all_tokens=True)
        if self._has_last_token:
            return AttemptResult(outcome="no usage", has_all_tokens=True)
        if fault:
            return AttemptResult(outcome=fault)
        if self._status not in (0, _OK):
            return AttemptResult(outcome=f"status {self._status}")
        if self._refusal:
            return AttemptResult(
                outcome=self._refusal, is_locally_cancelled=True
            )
        failure = self._transfer_result.err() if self._transfer_result else None
        if failure is None:
            return AttemptResult(outcome="truncated response")
        if self._is_stalled:
            return AttemptResult(outcome="stalled", may_have_run=failure.sent)
        is_cancelled = isinstance(failure, messages.TransferCancelled)
        return AttemptResult(
            outcome=f"{failure.kind} ({failure.detail})",
            may_have_run=failure.sent,
            is_locally_cancelled=is_cancelled,
            is_cut_off=failure.is_cut_off and not is_cancelled,
            has_begun=self._status == _OK,
            is_refused=failure.is_refused,
        )

    def __repr__(self) -> str:
        return (
            f"EngineStream(tokens={self._token_count}, "
            f"validator={self._validator!r})"
        )


def _token_of(event: stream_validation.EngineEvent) -> Token:
    choice = event.choices[0] if event.choices else stream_validation.Choice()
    delta = choice.delta or stream_validation.Message()
    return Token(text=delta.content or "", finish_reason=choice.finish_reason)
