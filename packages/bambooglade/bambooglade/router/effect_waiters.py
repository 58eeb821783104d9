"""Futures that complete with the effect that has their correlation id."""

from __future__ import annotations

from concurrent import futures
import functools
import threading

from bambooglade.budgets import inquiries
from bambooglade.core import effects
from bambooglade.operations import look_ups
from bambooglade.shards import edits
from bambooglade.table import messages as table_messages


class EffectWaiters:
    """Delivers effects of the state machine to the threads that wait for them.

    Thread-safe. If two threads wait for the same correlation id, for instance
    after a repeated edit, both receive the effect.

    Examples:
        >>> waiters = EffectWaiters()
        >>> future = waiters.register("edit-1")
        >>> ended = edits.TopUpEnded(edit_id="edit-1", budget_id="team/t1",
        ...     outcome=edits.EditOutcome.ACCEPTED)
        >>> waiters.deliver(ended)
        True
        >>> future.result() is ended
        True
    """

    __slots__ = ("_futures_by_correlation_id", "_lock")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._futures_by_correlation_id: dict[
            str, list[futures.Future[effects.Effect]]
        ] = {}

    def register(self, correlation_id: str) -> futures.Future[effects.Effect]:
        """Returns a future that completes with the effect of this id."""
        future: futures.Future[effects.Effect] = futures.Future()
        with self._lock:
            self._futures_by_correlation_id.setdefault(
                correlation_id, []
            ).append(future)
        return future

    def deliver(self, effect: effects.Effect) -> bool:
        """Completes the futures that wait for the effect.

        Returns:
            Whether the effect has a correlation id. True even if no thread
            waits for it.
        """
        correlation_id = correlation_id_of(effect)
        if correlation_id is None:
            return False
        with self._lock:
            waiting = self._futures_by_correlation_id.pop(correlation_id, [])
        for future in waiting:
            future.set_result(effect)
        return True

    def __repr__(self) -> str:
        return f"EffectWaiters(waiting={len(self._futures_by_correlation_id)})"


@functools.singledispatch
def correlation_id_of(effect: effects.Effect) -> str | None:
    """Returns the id of the request that caused an effect, or None.

    Only effects that respond to an edit, an inquiry or a look-up have one.
    """
    del effect
    return None


@correlation_id_of.register
def _(effect: edits.TopUpEnded) -> str | None:
    return effect.edit_id


@correlation_id_of.register
def _(effect: table_messages.EditAnswered) -> str | None:
    return effect.edit_id


@correlation_id_of.register
def _(effect: inquiries.InquiryAnswered) -> str | None:
    return effect.question_id


@correlation_id_of.register
def _(effect: inquiries.InquiryFailed) -> str | None:
    return effect.question_id


@correlation_id_of.register
def _(effect: look_ups.OutcomeFound) -> str | None:
    return effect.look_up_id


@correlation_id_of.register
def _(effect: look_ups.OutcomeUnavailable) -> str | None:
    return effect.look_up_id
