"""Runs an instance's decisions under one lock and carries out their effects."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import functools
import threading

from bambooglade.core import clock as clocks
from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.router import state_machine

Decide = Callable[[int], Iterable[effects.Effects]]
"""A decision: takes the time in milliseconds and yields effects."""


class DecisionLoop:
    """Serializes the decisions of an instance.

    Effects are carried out in the order in which they were decided, before the
    next decision starts; carrying one out must therefore not block. Messages
    of an instance to itself never leave the loop.

    Args:
        instance_id: The own instance.
        machine: All decisions of the instance.
        clock: Tells the time given to each decision.
        perform: Carries out an effect that is not a message to oneself.
    """

    __slots__ = (
        "_clock",
        "_halted",
        "_instance_id",
        "_lock",
        "_machine",
        "_pending",
        "_perform",
        "_replies",
        "_replying_to",
        "_running",
    )

    def __init__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        machine: state_machine.InstanceStateMachine,
        clock: clocks.Clock,
        perform: Callable[[effects.Effects], None],
    ) -> None:
        self._instance_id = instance_id
        self._machine = machine
        self._clock = clock
        self._perform = perform
        self._lock = threading.RLock()
        self._pending: collections.deque[Decide] = collections.deque()
        self._running = False
        self._halted = False
        self._replying_to: identifiers.InstanceId | None = None
        self._replies: list[effects.Message] = []

    def run(self, decide: Decide) -> None:
        """Runs a decision, and those that follow from it within the instance.

        A decision that is run from within `perform` is put off until the
        effects of the current one are carried out.
        """
        with self._lock:
            if self._halted:
                return
            self._pending.append(decide)
            if self._running:
                return
            self._running = True
            try:
                self._run_pending()
            finally:
                self._running = False

    def receive(
        self,
        sender: identifiers.InstanceId,
        messages: Sequence[effects.Message],
    ) -> list[effects.Message]:
        """Decides on messages of a peer.

        Returns:
            The messages back to the same peer, to travel in the answer.
        """
        with self._lock:
            self._replying_to = sender
            self._replies = []
            for message in messages:
                self.run(
                    functools.partial(self._machine.handle, message, sender)
                )
            replies, self._replies = self._replies, []
            self._replying_to = None
            return replies

    def handle_document_response(
        self, answer: effects.DocumentResponse
    ) -> None:
        """Goes on after an answer of the platform's service."""
        self.run(
            functools.partial(self._machine.handle_document_response, answer)
        )

    def tick(self) -> None:
        """Lets every component do what is due."""
        self.run(self._machine.tick)

    def halt(self) -> None:
        """Ends all decisions from now on, as the end of the process does."""
        with self._lock:
            self._halted = True

    def _run_pending(self) -> None:
        while self._pending:
            decide = self._pending.popleft()
            for effect in decide(self._clock.now_ms()):
                self._carry_out(effect)

    def _carry_out(self, effect: effects.Effects) -> None:
        if not isinstance(effect, effects.Send):
            self._perform(effect)
        elif effect.recipient == self._instance_id:
            self._pending.append(
                functools.partial(
                    self._machine.handle, effect.message, self._instance_id
                )
            )
        elif effect.recipient == self._replying_to:
            self._replies.append(effect.message)
        else:
            self._perform(effect)

    def __repr__(self) -> str:
        return f"DecisionLoop(instance_id={self._instance_id!r})"
