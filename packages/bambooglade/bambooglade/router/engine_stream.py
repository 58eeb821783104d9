"""One attempt of a chat at an engine: checked tokens, and how it ended."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator

import msgspec
import result

from bambooglade.core import clock as clocks
from bambooglade.targets import stream_validation
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages
from bambooglade.transport import sse

FIRST_TOKEN_TIMEOUT_MS = 15_000
"""Time to the first event; an engine that queues for longer is left."""

NEXT_TOKEN_TIMEOUT_MS = 4_000
"""Time between two events after which the stream counts as stalled."""

END_MARK_TIMEOUT_MS = 250
"""Time for the end of the transfer after the last event."""

_OK = 200


class Token(msgspec.Struct, frozen=True, kw_only=True):
    """One token of the answer."""

    text: str
    finish_reason: str | None = None


class AttemptEnd(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt ended.

    Attributes:
        usage: The engine's count, when the answer is whole.
        has_all_tokens: Whether the last token came, perhaps without the count.
        outcome: `whole`, or what was wrong.
        sent: Whether a byte of the request may have reached the engine.
        is_own_doing: Whether the router or the caller ended it.
        waited_ms: Time that was spent waiting for the engine.
    """

    usage: stream_validation.Usage | None = None
    has_all_tokens: bool = False
    outcome: str = "whole"
    sent: bool = True
    is_own_doing: bool = False
    waited_ms: int = 0


class EngineStream:
    """Reads one stream.

    Args:
        client: Sends the request.
        clock: The clock.
        check: Judges each event.
        on_head: Is shown the head of the answer.
        given_up: Tells whether the router or the caller gives up.
    """

    __slots__ = (
        "_check",
        "_client",
        "_clock",
        "_ended",
        "_finished",
        "_given_up",
        "_last_ms",
        "_on_head",
        "_seen",
        "_stalled",
        "_status",
        "_tainted",
        "_usage",
        "_waited_ms",
    )

    def __init__(
        self,
        *,
        client: client_lib.HttpClient,
        clock: clocks.Clock,
        check: stream_validation.StreamValidator,
        on_head: Callable[[messages.ResponseHead], None],
        given_up: Callable[[], bool],
    ) -> None:
        self._client = client
        self._clock = clock
        self._check = check
        self._on_head = on_head
        self._given_up = given_up
        self._last_ms = clock.now_ms()
        self._finished = False
        self._seen = 0
        self._stalled = False
        self._status = 0
        self._tainted = False
        self._usage: stream_validation.Usage | None = None
        self._waited_ms = 0
        self._ended: result.Result[None, messages.TransferFailure] | None = None

    def run(
        self, request: messages.Request
    ) -> Generator[Token, None, AttemptEnd]:
        """Yields the tokens that fit; returns how the attempt ended."""
        transfer = self._client.stream(request, cancelled=self._is_cancelled)
        fault = ""
        try:
            fault = yield from self._tokens(transfer)
        finally:
            # Closes the connection unless the exchange ended whole.
            transfer.close()
        return msgspec.structs.replace(
            self._end(fault), waited_ms=self._waited_ms
        )

    def _tokens(self, transfer: Generator) -> Generator[Token, None, str]:
        """Yields tokens; returns the fault that was found, or nothing."""
        try:
            for data in sse.parse(self._chunks(transfer)):
                self._note_event()
                if data == sse.DONE:
                    continue
                event = msgspec.json.decode(
                    data, type=stream_validation.EngineEvent
                )
                verdict = self._check.classify(event)
                if verdict is stream_validation.Verdict.TOKEN:
                    self._seen += 1
                    token = _token_of(event)
                    self._finished = token.finish_reason is not None
                    yield token
                    # A slow caller's pause is not the engine's.
                    self._last_ms = self._clock.now_ms()
                elif verdict is stream_validation.Verdict.LAST:
                    self._usage = event.usage
                    if self._tainted:
                        return ""
                elif verdict is stream_validation.Verdict.DUPLICATE:
                    self._tainted = True
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
                self._ended = stop.value
                return
            if isinstance(part, bytes):
                yield part
                continue
            self._status = part.status
            self._on_head(part)
            if part.status != _OK:
                return

    def _note_event(self) -> None:
        now_ms = self._clock.now_ms()
        self._waited_ms += now_ms - self._last_ms
        self._last_ms = now_ms

    def _is_cancelled(self) -> bool:
        if self._usage is None and self._given_up():
            return True
        waited_ms = self._clock.now_ms() - self._last_ms
        self._stalled = waited_ms >= self._patience_ms()
        return self._stalled

    def _patience_ms(self) -> int:
        if self._usage is not None:
            return END_MARK_TIMEOUT_MS
        return NEXT_TOKEN_TIMEOUT_MS if self._seen else FIRST_TOKEN_TIMEOUT_MS

    def _end(self, fault: str) -> AttemptEnd:
        if self._usage is not None:
            return AttemptEnd(usage=self._usage, has_all_tokens=True)
        if self._finished:
            return AttemptEnd(outcome="no usage", has_all_tokens=True)
        if fault:
            return AttemptEnd(outcome=fault)
        if self._status not in (0, _OK):
            return AttemptEnd(outcome=f"status {self._status}")
        failure = self._ended.err() if self._ended else None
        if failure is None:
            return AttemptEnd(outcome="cut answer")
        if self._stalled:
            return AttemptEnd(outcome="stalled", sent=failure.sent)
        return AttemptEnd(
            outcome=f"{failure.kind} ({failure.detail})",
            sent=failure.sent,
            is_own_doing=isinstance(failure, messages.TransferCancelled),
        )

    def __repr__(self) -> str:
        return f"EngineStream(seen={self._seen}, check={self._check!r})"


def _token_of(event: stream_validation.EngineEvent) -> Token:
    choice = event.choices[0] if event.choices else stream_validation.Choice()
    delta = choice.delta or stream_validation.Message()
    return Token(text=delta.content or "", finish_reason=choice.finish_reason)
