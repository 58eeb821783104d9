"""Records the answers of accounts and arbiters, for explanations."""

from __future__ import annotations

import functools

import msgspec

from bambooglade.budgets import messages as budget_messages
from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.operations import messages
from bambooglade.router import state_machine
from bambooglade.router import trace


class Stamp(msgspec.Struct, frozen=True, kw_only=True):
    """Who was told, when, and by whom.

    Attributes:
        at_ms: Milliseconds since the Unix epoch.
        instance_id: The entry that was told.
        source: The instance that answered.
        source_zone: Its availability zone.
    """

    at_ms: int
    instance_id: identifiers.InstanceId
    source: identifiers.InstanceId
    source_zone: str


class DecisionRecorder(state_machine.InstanceStateMachine):
    """A state machine that notes what an entry is told about its requests.

    Args:
        machine: Decides.
        ring: Takes the notes.
        instance_id: The own instance.
        fleet: Tells the zones of the instances that answer.

    See Also:
        bambooglade.router.trace: the notes.
    """

    __slots__ = ("_fleet", "_instance_id", "_machine", "_ring")

    def __init__(
        self,
        machine: state_machine.InstanceStateMachine,
        *,
        ring: trace.TraceRing,
        instance_id: identifiers.InstanceId,
        fleet: view.FleetView,
    ) -> None:
        self._fleet = fleet
        self._machine = machine
        self._ring = ring
        self._instance_id = instance_id

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> list[effects.Effects]:
        """Notes a message if it answers a request of this entry."""
        stamp = Stamp(
            at_ms=now_ms,
            instance_id=self._instance_id,
            source=sender,
            source_zone=self._fleet.zone_of(sender) or "unknown",
        )
        decision = decision_of(message, stamp=stamp)
        if decision is not None:
            self._ring.record(_key_of(message), decision)
        return self._machine.handle(message, sender, now_ms)

    def handle_document_response(
        self, answer: effects.DocumentResponse, now_ms: int
    ) -> list[effects.Effects]:
        """Gives an answer of the platform's service to the machine."""
        return self._machine.handle_document_response(answer, now_ms)

    def tick(self, now_ms: int) -> list[effects.Effects]:
        """Lets the machine do what is due."""
        return self._machine.tick(now_ms)

    def __repr__(self) -> str:
        return f"DecisionRecorder({self._machine!r})"


@functools.singledispatch
def decision_of(
    message: effects.Message, *, stamp: Stamp
) -> trace.Decision | None:
    """Returns the note of a message, or None if it is not worth one."""
    del message, stamp
    return None


@decision_of.register
def _(message: budget_messages.Reserved, *, stamp: Stamp) -> trace.Decision:
    return trace.AccountDrawn(
        budget_id=message.budget_id,
        bound_tokens=message.bound_tokens,
        outcome="reserved",
        detail=(
            f"by {stamp.source} in {message.availability_zone}, "
            f"epoch {message.epoch}."
        ),
        at_ms=stamp.at_ms,
        instance_id=stamp.instance_id,
    )


@decision_of.register
def _(
    message: budget_messages.ReserveRefused, *, stamp: Stamp
) -> trace.Decision:
    return trace.AccountDrawn(
        budget_id=message.budget_id,
        bound_tokens=message.bound_tokens,
        outcome=message.reason.value,
        detail=message.detail,
        at_ms=stamp.at_ms,
        instance_id=stamp.instance_id,
    )


@decision_of.register
def _(message: messages.ClaimGranted, *, stamp: Stamp) -> trace.Decision:
    return _claimed("granted", stamp)


@decision_of.register
def _(message: messages.ClaimHeld, *, stamp: Stamp) -> trace.Decision:
    return _claimed(f"held by {message.holder}", stamp)


@decision_of.register
def _(message: messages.ClaimFinished, *, stamp: Stamp) -> trace.Decision:
    return _claimed(
        f"finished before, billed {message.spent_tokens} tokens", stamp
    )


@decision_of.register
def _(message: messages.ClaimRefused, *, stamp: Stamp) -> trace.Decision:
    return _claimed(f"{message.reason.value}: {message.detail}", stamp)


def _claimed(outcome: str, stamp: Stamp) -> trace.KeyClaimed:
    return trace.KeyClaimed(
        arbiter_zone=stamp.source_zone,
        outcome=outcome,
        at_ms=stamp.at_ms,
        instance_id=stamp.instance_id,
    )


@functools.singledispatch
def _key_of(message: effects.Message) -> identifiers.RequestKey:
    return message.key


@_key_of.register(budget_messages.Reserved)
@_key_of.register(budget_messages.ReserveRefused)
def _(message) -> identifiers.RequestKey:
    return message.reservation_id.key
