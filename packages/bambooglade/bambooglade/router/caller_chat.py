"""Responds to chat completions, in one body or as server-sent events."""

from __future__ import annotations

from collections.abc import Iterator
import functools
import itertools

import msgspec
import result
from werkzeug import wrappers

from bambooglade.core import failures
from bambooglade.core import json_documents
from bambooglade.operations import calls
from bambooglade.router import call_session
from bambooglade.router import chat_request
from bambooglade.router import dispatch
from bambooglade.router import dispatch_chat
from bambooglade.router import engine_stream
from bambooglade.targets import stream_validation
from bambooglade.transport import problems
from bambooglade.transport import sse

MAX_STORED_RESPONSE_BYTES = 65_536
JSON = "application/json"
EVENT_STREAM = "text/event-stream"
BILLED_HEADER = "X-Billed-Tokens"


class ChatCompletion(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """A complete chat response, or one event of a stream."""

    id: str
    object: str
    model: str
    choices: tuple[ChatChoice, ...]
    usage: dispatch_chat.UsageCounts | None = None


class ChatChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The only choice of a response, or its next delta."""

    index: int = 0
    message: chat_request.ChatMessage | msgspec.UnsetType = msgspec.UNSET
    delta: stream_validation.Message | msgspec.UnsetType = msgspec.UNSET
    finish_reason: str | None = None


class StreamError(msgspec.Struct, frozen=True, kw_only=True):
    """Event that ends a stream which could not be completed."""

    error: problems.Problem


class ChatResponder:
    """Builds the response to one permitted chat.

    Args:
        session: The session of the call.
        run: Run of the chat at the engines.
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
        """Returns the response; a stream starts with its first token.

        A run that fails before its first token gets a plain error response.
        """
        tokens = self._run.tokens()
        try:
            if not self._chat.stream:
                for token in tokens:
                    self._record_finish_reason(token)
                return self._complete_response()
            first = next(tokens, None)
        except BaseException:
            self._session.finish(self._run.run_end())
            raise
        if first is None and not self._run.is_complete:
            return self._failure_response()
        head = () if first is None else (first,)
        response = wrappers.Response(
            self._events(itertools.chain(head, tokens)),
            content_type=EVENT_STREAM,
        )
        response.headers[dispatch.KEY_HEADER] = self._session.call.key
        response.headers["Cache-Control"] = "no-store"
        # Also runs if the caller disconnects before the first event.
        response.call_on_close(functools.partial(self._close, tokens))
        return response

    def _events(self, tokens: Iterator[engine_stream.Token]) -> Iterator[bytes]:
        for token in tokens:
            self._record_finish_reason(token)
            yield self._event(
                ChatChoice(
                    delta=stream_validation.Message(
                        role="assistant", content=token.text
                    ),
                    finish_reason=token.finish_reason,
                )
            )
        if not self._run.is_complete:
            yield self._error_event()
            return
        bill = self._finish_complete_run()
        self._session.record_success(bill, self._run.target_id or "")
        yield self._event(usage=dispatch_chat.usage_counts(self._run))
        yield sse.encode(sse.DONE)

    def _close(self, tokens: Iterator[engine_stream.Token]) -> None:
        """Cancels the stream at the engine, and bills the generated tokens."""
        tokens.close()
        if self._session.finish(self._run.run_end()) is not None:
            self._session.record_failure(
                CallerGoneDuringStream(detail="The caller closed the stream."),
                target_id=self._run.target_id or "",
            )

    def _complete_response(self) -> wrappers.Response:
        if not self._run.is_complete:
            return self._failure_response()
        bill = self._finish_complete_run()
        self._session.record_success(bill, self._run.target_id or "")
        response = wrappers.Response(self._complete_body(), content_type=JSON)
        response.headers[dispatch.KEY_HEADER] = self._session.call.key
        if bill is not None:
            response.headers[BILLED_HEADER] = str(bill.spent_tokens)
        return response

    def _finish_complete_run(self) -> calls.Bill | None:
        body = self._complete_body()
        stored = None
        if len(body) <= MAX_STORED_RESPONSE_BYTES:
            stored = calls.StoredResponse(
                http_status=200, content_type=JSON, body=body
            )
        return self._session.finish(self._run.run_end(stored))

    def _failure_response(self) -> wrappers.Response:
        failure = self._finish_failed_run()
        return problems.response_of(failure, key=self._session.call.key)

    def _error_event(self) -> bytes:
        problem = problems.problem_of(
            self._finish_failed_run(), key=self._session.call.key
        )
        return sse.encode(msgspec.json.encode(StreamError(error=problem)))

    def _finish_failed_run(self) -> failures.Failure:
        failure = self._run.failure or failures.OutcomeUnknown(
            detail="The run ended without a response."
        )
        is_delivered = self._chat.stream or self._session.is_caller_gone()
        self._session.finish(
            self._run.run_end()
            if is_delivered
            else self._run.undelivered_run_end()
        )
        self._session.record_failure(
            failure, target_id=self._run.target_id or ""
        )
        return failure

    def _record_finish_reason(self, token: engine_stream.Token) -> None:
        if token.finish_reason:
            self._finish_reason = token.finish_reason

    def _complete_body(self) -> bytes:
        message = chat_request.ChatMessage(
            role="assistant", content=self._run.text
        )
        choice = ChatChoice(message=message, finish_reason=self._finish_reason)
        return msgspec.json.encode(
            ChatCompletion(
                id=self._session.call.key,
                object="chat.completion",
                model=self._chat.model,
                choices=(choice,),
                usage=dispatch_chat.usage_counts(self._run),
            )
        )

    def _event(
        self,
        choice: ChatChoice | None = None,
        *,
        usage: dispatch_chat.UsageCounts | None = None,
    ) -> bytes:
        return sse.encode(
            msgspec.json.encode(
                ChatCompletion(
                    id=self._session.call.key,
                    object="chat.completion.chunk",
                    model=self._chat.model,
                    choices=(choice,) if choice else (),
                    usage=usage,
                )
            )
        )

    def __repr__(self) -> str:
        return f"ChatResponder({self._run!r})"


class CallerGoneDuringStream(failures.Failure, frozen=True, kw_only=True):
    """The caller disconnected; the generated tokens are billed."""

    kind = "caller_gone"
    http_status = 499
    ran = failures.Ran.UNKNOWN
    remedy = "Send the request again with the same key."


def replayed_response(
    replay: calls.Replay, *, as_stream: bool
) -> result.Result[wrappers.Response, failures.Failure]:
    """Returns a stored response, as a stream if the caller requests one."""
    stored = replay.response
    body: bytes = stored.body
    content_type = stored.content_type
    if as_stream:
        body = _as_events(body)
        content_type = EVENT_STREAM
    response = wrappers.Response(
        body, status=stored.http_status, content_type=content_type
    )
    response.headers[dispatch.KEY_HEADER] = replay.key
    response.headers[BILLED_HEADER] = str(replay.bill.spent_tokens)
    return result.Ok(response)


def _as_events(body: bytes) -> bytes:
    completion = json_documents.decode(body, ChatCompletion)
    message = completion.choices[0].message
    choice = ChatChoice(
        delta=stream_validation.Message(
            role=message.role, content=message.content
        ),
        finish_reason=completion.choices[0].finish_reason,
    )
    chunk = msgspec.structs.replace(
        completion,
        object="chat.completion.chunk",
        choices=(choice,),
        usage=None,
    )
    end = msgspec.structs.replace(chunk, choices=(), usage=completion.usage)
    events = (msgspec.json.encode(chunk), msgspec.json.encode(end), sse.DONE)
    return b"".join(map(sse.encode, events))
