"""Bodies of the engine's requests and answers."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a chat."""

    role: str
    content: str


class ChatRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a chat completion, with the extensions for resuming.

    Attributes:
        request_id: Comes back as `id` on every event.
        resume_from: Index of the first token to be sent.
        resume_text: The text before that token.
    """

    model: str
    messages: tuple[Message, ...]
    max_tokens: int = 32
    stream: bool = False
    priority: int = 0
    request_id: str = ""
    resume_from: int = 0
    resume_text: str = ""


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of a request; `cached_tokens` are part of the prompt's."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    cached_tokens: int = 0


class Choice(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One choice of an event or of a whole answer."""

    index: int = 0
    delta: Message | None = None
    message: Message | None = None
    finish_reason: str | None = None


class Chunk(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One event of a chat stream."""

    id: str
    seq: int
    model: str
    object: str = "chat.completion.chunk"
    choices: tuple[Choice, ...] = ()
    usage: Usage | None = None


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load as it was some time ago."""

    running: int
    waiting: int
    slots: int
    age_ms: int = 0
    leaving: bool = False
