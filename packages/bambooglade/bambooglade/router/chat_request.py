"""Chat completion requests of callers, and their form for engines."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import result

from bambooglade.core import failures
from bambooglade.core import json_documents

DEFAULT_MAX_TOKENS = 512
MAX_TOKENS_LIMIT = 32_768
MIN_BYTES_PER_TOKEN = 2
"""Lower bound of prompt bytes per token, for the upper bound of the cost."""

TOKENS_PER_MESSAGE = 8
"""Tokens that the chat format adds per message, for the same upper bound."""

TYPICAL_BYTES_PER_TOKEN = 4


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a chat."""

    role: str
    content: str


class _CheckedFields(msgspec.Struct, frozen=True, kw_only=True):
    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


class ChatRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A validated chat request.

    Attributes:
        model: Name of the model, which is the name of the service.
        messages: The conversation.
        stream: Whether the caller requests server-sent events.
        max_tokens: Maximum number of tokens to generate.
        raw_by_field: All received fields, undecoded, to be forwarded.
    """

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool
    max_tokens: int
    raw_by_field: Mapping[str, msgspec.Raw]

    @property
    def prompt(self) -> str:
        """The text of all messages."""
        return "\n".join(message.content for message in self.messages)

    def bound_tokens(self) -> int:
        """Returns the upper bound of the cost, in tokens."""
        prompt_bytes = len(self.prompt.encode())
        prompt_tokens = -(-prompt_bytes // MIN_BYTES_PER_TOKEN)
        format_tokens = TOKENS_PER_MESSAGE * len(self.messages)
        return prompt_tokens + format_tokens + self.max_tokens

    def estimated_prompt_tokens(self) -> int:
        """Returns an estimate of the number of prompt tokens."""
        return -(-len(self.prompt.encode()) // TYPICAL_BYTES_PER_TOKEN)

    def engine_body(
        self,
        *,
        attempt_id: str,
        resume_from: int,
        resume_text: str,
        priority: int,
    ) -> bytes:
        """Returns the request body for an engine; it always requests a stream.

        Args:
            attempt_id: The engine returns it as `id` of each event.
            resume_from: Index of the first token to generate.
            resume_text: The text before that token.
            priority: The engine serves higher values first.
        """
        fields: dict[str, object] = dict(self.raw_by_field)
        fields.pop("max_completion_tokens", None)
        fields.update(
            stream=True,
            max_tokens=self.max_tokens,
            request_id=attempt_id,
            priority=priority,
        )
        if resume_from:
            fields.update(resume_from=resume_from, resume_text=resume_text)
        return msgspec.json.encode(fields)


def parse(
    body: bytes,
) -> result.Result[ChatRequest, failures.Failure]:
    """Returns the validated chat request in a body, or why it is invalid.

    Examples:
        >>> parse(b'{"model": "m", "messages": []}').unwrap_err().kind
        'bad_request'
        >>> chat = parse(b'{"model": "m", "messages": [{"role": "user",'
        ...     b' "content": "hi"}], "max_tokens": 5}').unwrap()
        >>> chat.max_tokens, chat.bound_tokens()
        (5, 14)
    """
    try:
        fields = json_documents.decode(body, _CheckedFields)
        raw_by_field = json_documents.decode(body, dict[str, msgspec.Raw])
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return result.Err(
            failures.BadRequest(
                detail=f"The body is not a valid chat request: {error}."
            )
        )
    max_tokens = fields.max_completion_tokens or fields.max_tokens
    if max_tokens is None:
        max_tokens = DEFAULT_MAX_TOKENS
    if not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
        return result.Err(
            failures.BadRequest(
                detail=f"max_tokens is {max_tokens}; it must be from 1 to"
                f" {MAX_TOKENS_LIMIT}."
            )
        )
    if not fields.messages:
        return result.Err(
            failures.BadRequest(
                detail="messages is empty; send at least one message."
            )
        )
    return result.Ok(
        ChatRequest(
            model=fields.model,
            messages=fields.messages,
            stream=fields.stream,
            max_tokens=max_tokens,
            raw_by_field=raw_by_field,
        )
    )
