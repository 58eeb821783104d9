"""Checks that a stream has the events of its own request, once and in order."""

from __future__ import annotations

import enum

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """A message, or a fragment of it, in the OpenAI chat format."""

    content: str | None = None
    role: str | None = None


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """A choice in the OpenAI chat format."""

    index: int = 0
    delta: Message | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts as reported by the engine."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int = 0


class EngineEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One event of an engine's stream.

    Attributes:
        id: Id of the attempt that the event belongs to.
        seq: Index of the token; in the last event, the number of tokens.
        choices: The token; empty in the last event.
        usage: Total token counts; only in the last event.
    """

    id: str
    seq: int
    choices: tuple[Choice, ...] = ()
    usage: Usage | None = None


class Verdict(enum.Enum):
    """Classification of an event.

    Attributes:
        TOKEN: The next token.
        LAST: The last event, after all tokens.
        DUPLICATE: A token that was already received.
        CROSSED: An event of another request.
        GAP: A token after a missing one, or a last event with another count.
    """

    TOKEN = "token"
    LAST = "last"
    DUPLICATE = "duplicate"
    CROSSED = "crossed"
    GAP = "gap"


class StreamValidator:
    """Validates the events of one stream, which may resume an earlier one.

    Args:
        attempt_id: Id that each event must have.
        next_seq: Index of the first expected token; above 0 after a resume.

    Examples:
        >>> validator = StreamValidator("a1", next_seq=0)
        >>> validator.classify(EngineEvent(id="a1", seq=0))
        <Verdict.TOKEN: 'token'>
        >>> validator.classify(EngineEvent(id="a1", seq=0))
        <Verdict.DUPLICATE: 'duplicate'>
        >>> validator.classify(EngineEvent(id="a1", seq=2))
        <Verdict.GAP: 'gap'>
        >>> validator.classify(EngineEvent(id="other", seq=1))
        <Verdict.CROSSED: 'crossed'>
    """

    __slots__ = ("_attempt_id", "next_seq")

    def __init__(self, attempt_id: str, *, next_seq: int) -> None:
        self._attempt_id = attempt_id
        self.next_seq = next_seq

    def classify(self, event: EngineEvent) -> Verdict:
        """Classifies an event; advances `next_seq` if it is the next token."""
        if event.id != self._attempt_id:
            return Verdict.CROSSED
        if event.usage is not None:
            is_end = event.seq == self.next_seq
            return Verdict.LAST if is_end else Verdict.GAP
        if event.seq < self.next_seq:
            return Verdict.DUPLICATE
        if event.seq > self.next_seq:
            return Verdict.GAP
        self.next_seq += 1
        return Verdict.TOKEN

    def __repr__(self) -> str:
        return f"StreamValidator(next_seq={self.next_seq})"
