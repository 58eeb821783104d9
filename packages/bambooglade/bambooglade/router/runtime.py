"""Runs an instance's decisions on threads, and carries out their effects."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent import futures
import functools
import uuid

from absl import logging

from bambooglade.core import clock as clocks
from bambooglade.core import component
from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.router import assembly
from bambooglade.router import call_status
from bambooglade.router import calls_port
from bambooglade.router import decision_loop
from bambooglade.router import effect_waiters
from bambooglade.router import pending_calls
from bambooglade.router import state_machine
from bambooglade.router import ticker
from bambooglade.store import call_budget
from bambooglade.store import document_client
from bambooglade.store import services
from bambooglade.transport import peers as transport_peers

STOP_TIMEOUT_MS = 2_000
"""How long a stopping runtime waits for each of its threads."""


class Runtime:
    """The running decisions of one instance; implements `CallsPort`.

    Args:
        parts: The decisions.
        machine: Their state machine, possibly with a recorder around it.
        clock: Tells the time.
        store: The platform's key-value service.
        budget: Calls that the instance may make to it.
        waiters: Takes the effects that answer questions.

    See Also:
        bambooglade.router.decision_loop: serializes the decisions.
    """

    def __init__(
        self,
        *,
        parts: assembly.Parts,
        machine: state_machine.InstanceStateMachine,
        clock: clocks.Clock,
        store: services.KeyValueStore,
        budget: call_budget.CallBudget,
        waiters: effect_waiters.EffectWaiters,
    ) -> None:
        self._parts = parts
        self._waiters = waiters
        self._pending = pending_calls.PendingCalls()
        self._peers: transport_peers.Peers | None = None
        self._loop = decision_loop.DecisionLoop(
            instance_id=parts.instance_id,
            machine=machine,
            clock=clock,
            perform=self._perform,
        )
        self.documents = document_client.DocumentClient(
            store=store,
            budget=budget,
            clock=clock,
            on_response=self._loop.document_answered,
        )
        self._ticker = ticker.Ticker(
            action=self._tick, pause_ms=component.TICK_MS, name="tick"
        )

    def start(self, peers: transport_peers.Peers) -> None:
        """Starts to tick, and to send to the peers."""
        self._peers = peers
        self._ticker.start()

    def stop(self) -> None:
        """Stops the threads; calls in progress are abandoned."""
        self._ticker.stop(timeout_ms=STOP_TIMEOUT_MS)
        self.documents.close()

    def halt(self) -> None:
        """Ends all decisions at once; nothing more is sent."""
        self._loop.halt()

    def begin(
        self, call: calls.Call
    ) -> futures.Future[calls.Permit | calls.Refuse | calls.Replay]:
        """Reserves and claims for a call."""
        future = self._pending.begin(call.call_id)
        self._loop.run(functools.partial(self._parts.coordinator.begin, call))
        return future

    def finish(
        self, key: identifiers.RequestKey, run_end: calls.RunEnd
    ) -> futures.Future[calls.Billed]:
        """Reports how the run of a call ended, and bills it."""
        future = self._pending.finish(key)
        self._loop.run(
            functools.partial(self._parts.coordinator.finish, key, run_end)
        )
        return future

    def cancel(self, key: identifiers.RequestKey) -> None:
        """Gives up a call that has no permit yet."""
        self._loop.run(functools.partial(self._parts.coordinator.cancel, key))

    def lookup(
        self, key: identifiers.RequestKey, *, team_id: identifiers.TeamId
    ) -> futures.Future[calls_port.CallStatus]:
        """Asks the arbiter what became of a key."""
        look_up_id = uuid.uuid4().hex
        answered = self._waiters.wait(look_up_id)
        self._loop.run(
            functools.partial(self._parts.coordinator.look_up, key, look_up_id)
        )
        status: futures.Future[calls_port.CallStatus] = futures.Future()
        answered.add_done_callback(
            lambda done: status.set_result(
                call_status.status_of(done.result(), key=key, team_id=team_id)
            )
        )
        return status

    def receive(
        self,
        sender: identifiers.InstanceId,
        messages: Sequence[effects.Message],
    ) -> list[effects.Message]:
        """Takes in messages of a peer; returns those back to it."""
        return self._loop.receive(sender, messages)

    def decide(self, decide: decision_loop.Decide) -> None:
        """Runs another decision, for instance one of an operator."""
        self._loop.run(decide)

    def document_answered(self, answer: effects.DocumentAnswer) -> None:
        """Takes in a change that a watch saw."""
        self._loop.document_answered(answer)

    def _tick(self) -> None:
        self._loop.tick()
        self.documents.tick()

    def _perform(self, effect: effects.Effects) -> None:
        match effect:
            case effects.Send():
                if self._peers is not None:
                    self._peers.send(effect.recipient, effect.message)
            case effects.ReadDocument() | effects.WriteDocument():
                self.documents.submit(effect)
            case calls.Permit() | calls.Refuse() | calls.Replay():
                self._pending.answer(effect)
            case calls.Billed():
                self._pending.bill(effect)
            case _:
                if not self._waiters.deliver(effect):
                    logging.info("event=%s", type(effect).__name__)

    def __repr__(self) -> str:
        return f"Runtime(instance_id={self._parts.instance_id!r})"
