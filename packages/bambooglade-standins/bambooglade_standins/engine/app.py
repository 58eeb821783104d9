"""The engine's end points, as a WSGI application."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import time

import msgspec
from werkzeug import wrappers

from bambooglade.core import clock as clocks
from bambooglade.targets import affinity
from bambooglade.transport import request_handler
from bambooglade.transport import sse
from bambooglade_standins import faults as faults_lib
from bambooglade_standins import standin_app
from bambooglade_standins.engine import batch as batch_lib
from bambooglade_standins.engine import generation
from bambooglade_standins.engine import messages
from bambooglade_standins.engine import orders
from bambooglade_standins.engine import prefix_cache

_MS_PER_S = 1_000


class EngineOptions(msgspec.Struct, frozen=True, kw_only=True):
    """How an engine behaves.

    Attributes:
        target_id: Name of the target.
        availability_zone: Where it stands.
        model: Model that is loaded at the start.
        slots: Streams that run at the same time.
        token_ms: Time per generated token.
        prefill_ms_per_block: Time per block of the prompt that is not cached.
        load_lag_ms: Age of the load report.
        checks_fencing: Whether orders with an old epoch are refused.
        software_version: Version that responses state; empty for none.
    """

    target_id: str = "engine-1"
    availability_zone: str = "zone-a"
    model: str = "model-1"
    slots: int = 16
    token_ms: float = 1.0
    prefill_ms_per_block: float = 0.0
    load_lag_ms: int = 500
    checks_fencing: bool = True
    software_version: str = ""


class EngineApp(standin_app.StandinApp):
    """WSGI application of one engine.

    Args:
        options: How it behaves.
        faults: Faults in force from the start.
        clock: The clock.
    """

    def __init__(
        self,
        options: EngineOptions,
        *,
        faults: faults_lib.Faults | None = None,
        clock: clocks.Clock | None = None,
    ) -> None:
        super().__init__(faults)
        self.options = options
        self.batch = batch_lib.Batch(options.slots)
        self.cache = prefix_cache.PrefixCache()
        self.desk = orders.OrderDesk(
            orders.Order(epoch=0, model=options.model),
            checks_fencing=options.checks_fencing,
        )
        self.cancelled_streams = 0
        self._clock = clock or clocks.Clock()
        self._report = self._load_now()
        self._reported_ms = self._clock.now_ms()

    def endpoints(self) -> Iterator[standin_app.Endpoint]:
        """Yields the end points of an engine."""
        yield from super().endpoints()
        yield from (
            standin_app.Endpoint("POST", "/v1/chat/completions", self._chat),
            standin_app.Endpoint("GET", "/load", self._load),
            standin_app.Endpoint("GET", "/cache/events", self._cache_events),
            standin_app.Endpoint("GET", "/orders", self._read_order),
            standin_app.Endpoint("POST", "/orders", self._place_order),
        )

    def _chat(self, request: wrappers.Request) -> wrappers.Response:
        chat = msgspec.json.decode(
            request.get_data(), type=messages.ChatRequest
        )
        faults = self.faults.next()
        if faults.refuse_status:
            return wrappers.Response(
                "refused",
                status=faults.refuse_status,
                headers=faults.refusal_headers(),
            )
        if chat.model != self.desk.current.model:
            return wrappers.Response("model not loaded", status=404)
        if faults.die_before_answer:
            raise faults_lib.InjectedCloseError
        key = request.headers.get("Idempotency-Key", "")
        gone = request.environ.get(request_handler.CLIENT_GONE, _never)
        stream = self._stream(chat, faults, key, gone)
        if not chat.stream:
            return _collected(stream)
        events = (sse.encode(msgspec.json.encode(chunk)) for chunk in stream)
        body = (
            _closed_after_head()
            if faults.die_after_head
            else _with_end(events, truncated=faults.truncated)
        )
        response = wrappers.Response(body, content_type="text/event-stream")
        if self.options.software_version:
            response.headers["X-Software-Version"] = (
                self.options.software_version
            )
        return response

    def _stream(
        self,
        chat: messages.ChatRequest,
        faults: faults_lib.Faults,
        key: str,
        gone: Callable[[], bool],
    ) -> Iterator[messages.Chunk]:
        try:
            with self.batch.slot(priority=chat.priority, cancelled=gone):
                self.runs.add(key)
                yield from self._generate(chat, faults, gone)
        except batch_lib.CancelledError as error:
            self.cancelled_streams += 1
            raise faults_lib.InjectedCloseError from error
        except GeneratorExit:
            self.cancelled_streams += 1
            raise

    def _generate(
        self,
        chat: messages.ChatRequest,
        faults: faults_lib.Faults,
        gone: Callable[[], bool],
    ) -> Iterator[messages.Chunk]:
        prompt = "\n".join(message.content for message in chat.messages)
        cached = self.cache.use(prompt, self._clock.now_ms())
        blocks = len(affinity.block_hashes(prompt))
        prefill_ms = (blocks - cached) * self.options.prefill_ms_per_block
        _sleep(faults.delay_ms + prefill_ms, gone)
        if faults.die_after_run:
            raise faults_lib.InjectedCloseError
        sent_id = "crossed" if faults.crossed else chat.request_id
        for index in range(chat.resume_from, chat.max_tokens):
            _sleep(self.options.token_ms * faults.slow_factor, gone)
            if index == faults.die_at_token:
                raise faults_lib.InjectedCloseError
            if index == faults.skip_token:
                continue
            chunk = self._token_chunk(prompt, index, sent_id, chat.max_tokens)
            yield chunk
            if faults.doubled:
                yield chunk
        yield messages.Chunk(
            id=sent_id,
            seq=chat.max_tokens,
            model=chat.model,
            usage=_usage(prompt, chat.max_tokens, cached),
        )

    def _token_chunk(
        self, prompt: str, index: int, sent_id: str, max_tokens: int
    ) -> messages.Chunk:
        last = index == max_tokens - 1
        choice = messages.Choice(
            delta=messages.Message(
                role="assistant", content=generation.token(prompt, index)
            ),
            finish_reason="length" if last else None,
        )
        return messages.Chunk(
            id=sent_id, seq=index, model=self.options.model, choices=(choice,)
        )

    def _load(self, request: wrappers.Request) -> wrappers.Response:
        del request
        now_ms = self._clock.now_ms()
        if now_ms - self._reported_ms >= self.options.load_lag_ms:
            self._report = self._load_now()
            self._reported_ms = now_ms
        return standin_app.json_response(
            msgspec.structs.replace(
                self._report,
                age_ms=now_ms - self._reported_ms,
                leaving=self.leaving,
            )
        )

    def _load_now(self) -> messages.LoadReport:
        return messages.LoadReport(
            running=self.batch.running,
            waiting=self.batch.waiting,
            slots=self.options.slots,
        )

    def _cache_events(self, request: wrappers.Request) -> wrappers.Response:
        after = request.args.get("after", 0, type=int)
        return standin_app.json_response(
            self.cache.events(after=after, now_ms=self._clock.now_ms())
        )

    def _read_order(self, request: wrappers.Request) -> wrappers.Response:
        del request
        return standin_app.json_response(self.desk.current)

    def _place_order(self, request: wrappers.Request) -> wrappers.Response:
        order = msgspec.json.decode(request.get_data(), type=orders.Order)
        accepted = self.desk.place(order)
        return standin_app.json_response(
            self.desk.current, status=200 if accepted else 409
        )

    def __repr__(self) -> str:
        return f"EngineApp({self.options.target_id}, {self.batch!r})"


def _collected(stream: Iterator[messages.Chunk]) -> wrappers.Response:
    chunks = list(stream)
    text = "".join(
        choice.delta.content
        for chunk in chunks
        for choice in chunk.choices
        if choice.delta
    )
    choice = messages.Choice(
        message=messages.Message(role="assistant", content=text),
        finish_reason="length",
    )
    return standin_app.json_response(
        msgspec.structs.replace(
            chunks[-1], object="chat.completion", choices=(choice,)
        )
    )


def _closed_after_head() -> Iterator[bytes]:
    yield b": begun\n\n"
    raise faults_lib.InjectedCloseError


def _with_end(events: Iterator[bytes], *, truncated: bool) -> Iterator[bytes]:
    if not truncated:
        yield from events
        yield sse.encode(sse.DONE)
        return
    held = None
    for event in events:
        if held is not None:
            yield held
        held = event


def _usage(prompt: str, completion: int, cached_blocks: int) -> messages.Usage:
    prompt_tokens = generation.prompt_tokens(prompt)
    cached = cached_blocks * affinity.BLOCK_CHARS // 4
    return messages.Usage(
        prompt_tokens=prompt_tokens,
        completion_tokens=completion,
        total_tokens=prompt_tokens + completion,
        cached_tokens=min(cached, prompt_tokens),
    )


def _sleep(duration_ms: float, gone: Callable[[], bool]) -> None:
    step_ms = 50.0
    while duration_ms > 0:
        if gone():
            raise batch_lib.CancelledError
        time.sleep(min(step_ms, duration_ms) / _MS_PER_S)
        duration_ms -= step_ms


def _never() -> bool:
    return False
