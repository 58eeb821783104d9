"""Checks that a stream's events are this request's own, each once, in order."""

from __future__ import annotations

import enum

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """A piece of an answer's text."""

    content: str | None = None
    role: str | None = None


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """One choice of an event."""

    index: int = 0
    delta: Message | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens as the engine counted them."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int = 0


class EngineEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One event of an engine's stream.

    Attributes:
        id: Id of the request that it answers.
        seq: Index of its token; the last event has the number of tokens.
        choices: The token; none in the last event.
        usage: Tokens in all; in the last event only.
    """

    id: str
    seq: int
    choices: tuple[Choice, ...] = ()
    usage: Usage | None = None


class Verdict(enum.Enum):
    """What to do with an event."""

    TOKEN = "token"
    LAST = "last"
    DUPLICATE = "duplicate"
    CROSSED = "crossed"
    GAP = "gap"


class StreamValidator:
    """Follows one stream, also across a resume.

    Args:
        attempt_id: Id that the events have to carry.
        next_seq: Index of the next token.

    Examples:
        >>> check = StreamValidator("a1", next_seq=0)
        >>> check.classify(EngineEvent(id="a1", seq=0))
        <Verdict.TOKEN: 'token'>
        >>> check.classify(EngineEvent(id="a1", seq=0))
        <Verdict.DUPLICATE: 'duplicate'>
        >>> check.classify(EngineEvent(id="a1", seq=2))
        <Verdict.GAP: 'gap'>
        >>> check.classify(EngineEvent(id="other", seq=1))
        <Verdict.CROSSED: 'crossed'>
    """

    __slots__ = ("_attempt_id", "next_seq")

    def __init__(self, attempt_id: str, *, next_seq: int) -> None:
        self._attempt_id = attempt_id
        self.next_seq = next_seq

    def classify(self, event: EngineEvent) -> Verdict:
        """Returns what the event is, and counts a token that fits."""
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
