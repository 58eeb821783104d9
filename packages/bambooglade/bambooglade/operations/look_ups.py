"""Requests to arbiters for the outcome of a key."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import messages
from bambooglade.operations import retry
from bambooglade.operations import shard_locator as locator_module

LOOK_UP_TIMEOUT_MS = 3_000


class OutcomeFound(effects.Effect, frozen=True, kw_only=True):
    """Delivers the arbiter's response to a look-up."""

    look_up_id: str
    outcome: messages.LookedUp


class OutcomeUnavailable(effects.Effect, frozen=True, kw_only=True):
    """Reports that the arbiter did not respond to a look-up in time."""

    look_up_id: str
    key: identifiers.RequestKey


@dataclasses.dataclass(slots=True)
class _PendingLookUp:
    message: messages.LookUp | messages.ResolveOutcome
    timer: retry.RetryTimer
    expires_at_ms: int


class PendingLookUps:
    """The pending look-ups of one instance; each yields one result.

    Args:
        locator: Locates the arbiters.

    Examples:
        >>> PendingLookUps(locator=None)
        PendingLookUps(pending=0)
    """

    __slots__ = ("_by_id", "_locator")

    def __init__(self, *, locator: locator_module.ShardLocator) -> None:
        self._locator = locator
        self._by_id: dict[str, _PendingLookUp] = {}

    def start(
        self, key: identifiers.RequestKey, look_up_id: str, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Requests the recorded state of a key."""
        message = messages.LookUp(key=key, look_up_id=look_up_id)
        yield from self._submit(message, now_ms)

    def resolve(
        self, message: messages.ResolveOutcome, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Sets the outcome of a key whose outcome is unknown."""
        yield from self._submit(message, now_ms)

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Handles a response or a redirect; ignores other messages."""
        del sender, now_ms
        if isinstance(message, messages.LookedUp):
            if self._by_id.pop(message.look_up_id, None) is not None:
                yield OutcomeFound(
                    look_up_id=message.look_up_id, outcome=message
                )
        elif isinstance(message, messages.ArbiterMisdirected):
            yield from self._redirect(message)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Resends look-ups that are due, and ends those that timed out."""
        for look_up_id, look_up in list(self._by_id.items()):
            if now_ms >= look_up.expires_at_ms:
                del self._by_id[look_up_id]
                yield OutcomeUnavailable(
                    look_up_id=look_up_id, key=look_up.message.key
                )
            elif look_up.timer.is_due(now_ms):
                yield from self._send(look_up, now_ms)

    def _submit(
        self,
        message: messages.LookUp | messages.ResolveOutcome,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        look_up = _PendingLookUp(
            message=message,
            timer=retry.RetryTimer(),
            expires_at_ms=now_ms + LOOK_UP_TIMEOUT_MS,
        )
        self._by_id[message.look_up_id] = look_up
        yield from self._send(look_up, now_ms)

    def _redirect(
        self, message: messages.ArbiterMisdirected
    ) -> Iterator[effects.Effects]:
        if message.primary is None:
            return
        for look_up in self._by_id.values():
            is_same_key = look_up.message.key == message.key
            if is_same_key and look_up.timer.consume_redirect():
                yield effects.Send(
                    recipient=message.primary, message=look_up.message
                )

    def _send(
        self, look_up: _PendingLookUp, now_ms: int
    ) -> Iterator[effects.Effects]:
        look_up.timer.record_send(now_ms)
        recipient = self._locator.recipient(
            self._locator.arbiter_zone_shard(look_up.message.key)
        )
        if recipient is not None:
            yield effects.Send(recipient=recipient, message=look_up.message)

    def __repr__(self) -> str:
        return f"PendingLookUps(pending={len(self._by_id)})"
