"""Futures that end with an effect which names the question it answers."""

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
    """Connects answers of the decisions with the threads that asked.

    Thread-safe. Two threads that ask under the same reference, for instance a
    repeated edit, both get the answer.

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

    __slots__ = ("_by_reference", "_lock")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_reference: dict[str, list[futures.Future[effects.Effect]]] = {}

    def register(self, reference: str) -> futures.Future[effects.Effect]:
        """Returns a future that ends with the answer to a question."""
        future: futures.Future[effects.Effect] = futures.Future()
        with self._lock:
            self._by_reference.setdefault(reference, []).append(future)
        return future

    def deliver(self, effect: effects.Effect) -> bool:
        """Ends the futures that wait for the effect.

        Returns:
            Whether the effect answers a question at all.
        """
        reference = reference_of(effect)
        if reference is None:
            return False
        with self._lock:
            waiting = self._by_reference.pop(reference, [])
        for future in waiting:
            future.set_result(effect)
        return True

    def __repr__(self) -> str:
        return f"EffectWaiters(open={len(self._by_reference)})"


@functools.singledispatch
def reference_of(effect: effects.Effect) -> str | None:
    """Returns the id of the question that an effect answers, or None."""
    del effect
    return None


@reference_of.register
def _(effect: edits.TopUpEnded) -> str | None:
    return effect.edit_id


@reference_of.register
def _(effect: table_messages.EditAnswered) -> str | None:
    return effect.edit_id


@reference_of.register
def _(effect: inquiries.InquiryCompleted) -> str | None:
    return effect.question_id


@reference_of.register
def _(effect: inquiries.InquiryFailed) -> str | None:
    return effect.question_id


@reference_of.register
def _(effect: look_ups.OutcomeFound) -> str | None:
    return effect.look_up_id


@reference_of.register
def _(effect: look_ups.OutcomeUnavailable) -> str | None:
    return effect.look_up_id
