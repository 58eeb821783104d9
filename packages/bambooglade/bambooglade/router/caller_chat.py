"""Answers chat completions, whole or as server-sent events."""

from __future__ import annotations

from collections.abc import Iterator
import functools
import itertools

import msgspec
import result
from werkzeug import wrappers

from bambooglade.core import failures
from bambooglade.operations import calls
from bambooglade.router import call_session
from bambooglade.router import chat_request
from bambooglade.router import dispatch
from bambooglade.router import dispatch_chat
from bambooglade.router import engine_stream
from bambooglade.targets import stream_validation
from bambooglade.transport import problems
from bambooglade.transport import sse

MAX_KEPT_ANSWER_BYTES = 65_536
JSON = "application/json"
EVENT_STREAM = "text/event-stream"
BILLED_HEADER = "X-Billed-Tokens"


class ChatBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A whole chat answer, or one event of a stream."""

    id: str
    object: str
    model: str
    choices: tuple[ChatChoice, ...]
    usage: dispatch_chat.UsageBody | None = None


class ChatChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The only choice of an answer, or its next piece."""

    index: int = 0
    message: chat_request.ChatMessage | msgspec.UnsetType = msgspec.UNSET
    delta: stream_validation.Message | msgspec.UnsetType = msgspec.UNSET
    finish_reason: str | None = None


class StreamError(msgspec.Struct, frozen=True, kw_only=True):
    """Event that ends a stream which could not be finished whole."""

    error: problems.Problem


class ChatAnswer:
    """The answer to one permitted chat.

    Args:
        session: The call.
        run: Its run at the engines.
        chat: The request.
    """

    __slots__ = ("_chat", "_finish_reason", "_run", "_session")

    def __init__(
        self,
        session: call_session.CallSession,
        run: dispatch_chat.ChatRun,
        chat: chat_request.ChatRequest,
    ) -> None:
        self._session = session
        self._run = run
        self._chat = chat
        self._finish_reason = "stop"

    def response(self) -> wrappers.Response:
        """Returns the answer; a stream starts with its first token."""
        tokens = self._run.tokens()
        try:
            if not self._chat.stream:
                for token in tokens:
                    self._note(token)
                return self._whole_response()
            first = next(tokens, None)
        except BaseException:
            self._session.finish(self._run.run_end())
            raise
        if first is None and not self._run.is_whole:
            return self._refusal()
        head = () if first is None else (first,)
        response = wrappers.Response(
            self._events(itertools.chain(head, tokens)),
            content_type=EVENT_STREAM,
        )
        response.headers[dispatch.KEY_HEADER] = self._session.call.key
        response.headers["Cache-Control"] = "no-store"
        # Also runs when the caller is gone before the first event.
        response.call_on_close(functools.partial(self._close, tokens))
        return response

    def _events(self, tokens: Iterator[engine_stream.Token]) -> Iterator[bytes]:
        for token in tokens:
            self._note(token)
            yield self._event(
                ChatChoice(
                    delta=stream_validation.Message(
                        role="assistant", content=token.text
                    ),
                    finish_reason=token.finish_reason,
                )
            )
        if not self._run.is_whole:
            yield self._error_event()
            return
        bill = self._bill()
        self._session.succeed(bill, self._run.target_id or "")
        yield self._event(usage=dispatch_chat.usage_body(self._run))
        yield sse.encode(sse.DONE)

    def _close(self, tokens: Iterator[engine_stream.Token]) -> None:
        """Cancels what is left at the engine, and bills what was generated."""
        tokens.close()
        if self._session.finish(self._run.run_end()) is not None:
            self._session.refuse(
                CallerWentAway(detail="The caller closed the stream."),
                target_id=self._run.target_id or "",
            )

    def _whole_response(self) -> wrappers.Response:
        if not self._run.is_whole:
            return self._refusal()
        bill = self._bill()
        self._session.succeed(bill, self._run.target_id or "")
        response = wrappers.Response(self._whole_body(), content_type=JSON)
        response.headers[dispatch.KEY_HEADER] = self._session.call.key
        if bill is not None:
            response.headers[BILLED_HEADER] = str(bill.spent_tokens)
        return response

    def _bill(self) -> calls.Bill | None:
        body = self._whole_body()
        kept = None
        if len(body) <= MAX_KEPT_ANSWER_BYTES:
            kept = calls.StoredResponse(
                http_status=200, content_type=JSON, body=body
            )
        return self._session.finish(self._run.run_end(kept))

    def _refusal(self) -> wrappers.Response:
        failure = self._failed()
        return problems.response_of(failure, key=self._session.call.key)

    def _error_event(self) -> bytes:
        problem = problems.problem_of(
            self._failed(), key=self._session.call.key
        )
        return sse.encode(msgspec.json.encode(StreamError(error=problem)))

    def _failed(self) -> failures.Failure:
        failure = self._run.failure or failures.OutcomeUnknown(
            detail="The run ended without an answer."
        )
        is_delivered = self._chat.stream or self._session.gone()
        self._session.finish(
            self._run.run_end() if is_delivered else self._run.undelivered_end()
        )
        self._session.refuse(failure, target_id=self._run.target_id or "")
        return failure

    def _note(self, token: engine_stream.Token) -> None:
        if token.finish_reason:
            self._finish_reason = token.finish_reason

    def _whole_body(self) -> bytes:
        message = chat_request.ChatMessage(
            role="assistant", content=self._run.text
        )
        choice = ChatChoice(message=message, finish_reason=self._finish_reason)
        return msgspec.json.encode(
            ChatBody(
                id=self._session.call.key,
                object="chat.completion",
                model=self._chat.model,
                choices=(choice,),
                usage=dispatch_chat.usage_body(self._run),
            )
        )

    def _event(
        self,
        choice: ChatChoice | None = None,
        *,
        usage: dispatch_chat.UsageBody | None = None,
    ) -> bytes:
        return sse.encode(
            msgspec.json.encode(
                ChatBody(
                    id=self._session.call.key,
                    object="chat.completion.chunk",
                    model=self._chat.model,
                    choices=(choice,) if choice else (),
                    usage=usage,
                )
            )
        )

    def __repr__(self) -> str:
        return f"ChatAnswer({self._run!r})"


class CallerWentAway(failures.Failure, frozen=True, kw_only=True):
    """The caller closed the connection; what was generated is billed."""

    kind = "caller_gone"
    http_status = 499
    ran = failures.Ran.UNKNOWN
    remedy = "Send the request again with the same key."


def replayed(
    replay: calls.Replay, *, as_stream: bool
) -> result.Result[wrappers.Response, failures.Failure]:
    """Returns a kept answer, in the form that the caller asks for now."""
    answer = replay.response
    body: bytes = answer.body
    content_type = answer.content_type
    if as_stream:
        body = _as_events(body)
        content_type = EVENT_STREAM
    response = wrappers.Response(
        body, status=answer.http_status, content_type=content_type
    )
    response.headers[dispatch.KEY_HEADER] = replay.key
    response.headers[BILLED_HEADER] = str(replay.bill.spent_tokens)
    return result.Ok(response)


def _as_events(body: bytes) -> bytes:
    whole = msgspec.json.decode(body, type=ChatBody)
    message = whole.choices[0].message
    piece = ChatChoice(
        delta=stream_validation.Message(
            role=message.role, content=message.content
        ),
        finish_reason=whole.choices[0].finish_reason,
    )
    chunk = msgspec.structs.replace(
        whole, object="chat.completion.chunk", choices=(piece,), usage=None
    )
    end = msgspec.structs.replace(chunk, choices=(), usage=whole.usage)
    events = (msgspec.json.encode(chunk), msgspec.json.encode(end), sse.DONE)
    return b"".join(map(sse.encode, events))
