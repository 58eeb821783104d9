"""Questions to arbiters about the outcome of a key."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import directory as directory_module
from bambooglade.operations import messages
from bambooglade.operations import retry

LOOK_UP_TIMEOUT_MS = 3_000


class OutcomeFound(effects.Effect, frozen=True, kw_only=True):
    """The arbiter's answer to a look-up."""

    look_up_id: str
    found: messages.LookedUp


class OutcomeUnavailable(effects.Effect, frozen=True, kw_only=True):
    """The arbiter did not answer a look-up in time."""

    look_up_id: str
    key: identifiers.RequestKey


@dataclasses.dataclass(slots=True)
class _Question:
    message: messages.LookUp | messages.ResolveOutcome
    timer: retry.RetryTimer
    until_ms: int


class LookUps:
    """The open questions of one instance; each is answered once.

    Args:
        directory: Finds the arbiters.

    Examples:
        >>> LookUps(directory=None)
        LookUps(open=0)
    """

    __slots__ = ("_by_id", "_directory")

    def __init__(self, *, directory: directory_module.Directory) -> None:
        self._directory = directory
        self._by_id: dict[str, _Question] = {}

    def start(
        self, key: identifiers.RequestKey, look_up_id: str, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Asks what became of a key."""
        message = messages.LookUp(key=key, look_up_id=look_up_id)
        yield from self._ask(message, now_ms)

    def resolve(
        self, message: messages.ResolveOutcome, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Closes a key of unknown outcome."""
        yield from self._ask(message, now_ms)

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Takes an answer; messages other than those are ignored."""
        del sender, now_ms
        if isinstance(message, messages.LookedUp):
            if self._by_id.pop(message.look_up_id, None) is not None:
                yield OutcomeFound(look_up_id=message.look_up_id, found=message)
        elif isinstance(message, messages.ArbiterMisdirected):
            yield from self._redirect(message)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Repeats what is due and gives up what is too late."""
        for look_up_id, question in list(self._by_id.items()):
            if now_ms >= question.until_ms:
                del self._by_id[look_up_id]
                yield OutcomeUnavailable(
                    look_up_id=look_up_id, key=question.message.key
                )
            elif question.timer.is_due(now_ms):
                yield from self._send(question, now_ms)

    def _ask(
        self,
        message: messages.LookUp | messages.ResolveOutcome,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        question = _Question(
            message=message,
            timer=retry.RetryTimer(),
            until_ms=now_ms + LOOK_UP_TIMEOUT_MS,
        )
        self._by_id[message.look_up_id] = question
        yield from self._send(question, now_ms)

    def _redirect(
        self, message: messages.ArbiterMisdirected
    ) -> Iterator[effects.Effects]:
        if message.primary is None:
            return
        for question in self._by_id.values():
            is_meant = question.message.key == message.key
            if is_meant and question.timer.may_follow():
                yield effects.Send(
                    recipient=message.primary, message=question.message
                )

    def _send(
        self, question: _Question, now_ms: int
    ) -> Iterator[effects.Effects]:
        question.timer.sent(now_ms)
        recipient = self._directory.recipient(
            self._directory.arbiter_place(question.message.key)
        )
        if recipient is not None:
            yield effects.Send(recipient=recipient, message=question.message)

    def __repr__(self) -> str:
        return f"LookUps(open={len(self._by_id)})"
