"""Serializes the decisions of an instance and executes their effects."""

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

DecisionFunction = Callable[[int], Iterable[effects.Effects]]
"""Takes the current time in milliseconds and yields the decided effects."""


class DecisionLoop:
    """Runs the decisions of an instance one at a time, under one lock.

    Effects are executed in the order in which they were decided, before the
    next decision starts; `perform` must therefore not block. Messages of an
    instance to itself are handled within the loop.

    Args:
        instance_id: This instance.
        machine: State machine of the instance.
        clock: Source of the time passed to each decision.
        perform: Executes the effects other than messages to this instance and
            replies to the peer whose messages are being handled.
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
        self._pending: collections.deque[DecisionFunction] = collections.deque()
        self._running = False
        self._halted = False
        self._replying_to: identifiers.InstanceId | None = None
        self._replies: list[effects.Message] = []

    def run(self, decide: DecisionFunction) -> None:
        """Runs a decision, and handles the messages it sends to this instance.

        A decision that is run from within `perform` is deferred until the
        effects of the current one are executed.
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
        """Handles messages of a peer.

        Returns:
            The messages to the same peer, to be sent in the response.
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
        """Handles a response of the platform's key-value service."""
        self.run(
            functools.partial(self._machine.handle_document_response, answer)
        )

    def tick(self) -> None:
        """Runs the periodic work of every component."""
        self.run(self._machine.tick)

    def halt(self) -> None:
        """Ignores all further decisions, as if the process had ended."""
        with self._lock:
            self._halted = True

    def _run_pending(self) -> None:
        while self._pending:
            decide = self._pending.popleft()
            for effect in decide(self._clock.now_ms()):
                self._apply_effect(effect)

    def _apply_effect(self, effect: effects.Effects) -> None:
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
