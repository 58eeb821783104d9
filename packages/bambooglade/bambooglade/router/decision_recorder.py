"""Records the responses of accounts and arbiters, to explain requests."""

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


class MessageOrigin(msgspec.Struct, frozen=True, kw_only=True):
    """Origin and time of a received message.

    Attributes:
        at_ms: Time of receipt; milliseconds since the Unix epoch.
        instance_id: The entry instance, which received the message.
        source: The instance that sent the message.
        source_zone: Availability zone of the sender.
    """

    at_ms: int
    instance_id: identifiers.InstanceId
    source: identifiers.InstanceId
    source_zone: str


class DecisionRecorder(state_machine.InstanceStateMachine):
    """State machine that records the responses to an entry's requests.

    All inputs are passed on to the wrapped state machine.

    Args:
        machine: The wrapped state machine.
        ring: Stores the recorded decisions.
        instance_id: This instance.
        fleet: Provides the availability zones of the senders.

    See Also:
        bambooglade.router.trace: the types of the recorded decisions.
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
        """Records a message if it responds to a request of this entry."""
        origin = MessageOrigin(
            at_ms=now_ms,
            instance_id=self._instance_id,
            source=sender,
            source_zone=self._fleet.zone_of(sender) or "unknown",
        )
        decision = decision_of(message, origin=origin)
        if decision is not None:
            self._ring.record(_request_key_of(message), decision)
        return self._machine.handle(message, sender, now_ms)

    def handle_document_response(
        self, answer: effects.DocumentResponse, now_ms: int
    ) -> list[effects.Effects]:
        """Passes a response of the platform's service to the state machine."""
        return self._machine.handle_document_response(answer, now_ms)

    def tick(self, now_ms: int) -> list[effects.Effects]:
        """Runs the periodic work of the wrapped state machine."""
        return self._machine.tick(now_ms)

    def __repr__(self) -> str:
        return f"DecisionRecorder({self._machine!r})"


@functools.singledispatch
def decision_of(
    message: effects.Message, *, origin: MessageOrigin
) -> trace.Decision | None:
    """Returns the decision to record for a message, or None."""
    del message, origin
    return None


@decision_of.register
def _(
    message: budget_messages.Reserved, *, origin: MessageOrigin
) -> trace.Decision:
    return trace.AccountDrawn(
        budget_id=message.budget_id,
        bound_tokens=message.bound_tokens,
        outcome="reserved",
        detail=(
            f"by {origin.source} in {message.availability_zone}, "
            f"epoch {message.epoch}."
        ),
        at_ms=origin.at_ms,
        instance_id=origin.instance_id,
    )


@decision_of.register
def _(
    message: budget_messages.ReserveRefused, *, origin: MessageOrigin
) -> trace.Decision:
    return trace.AccountDrawn(
        budget_id=message.budget_id,
        bound_tokens=message.bound_tokens,
        outcome=message.reason.value,
        detail=message.detail,
        at_ms=origin.at_ms,
        instance_id=origin.instance_id,
    )


@decision_of.register
def _(
    message: messages.ClaimGranted, *, origin: MessageOrigin
) -> trace.Decision:
    return _key_claimed("granted", origin)


@decision_of.register
def _(message: messages.ClaimHeld, *, origin: MessageOrigin) -> trace.Decision:
    return _key_claimed(f"held by {message.holder}", origin)


@decision_of.register
def _(
    message: messages.ClaimFinished, *, origin: MessageOrigin
) -> trace.Decision:
    return _key_claimed(
        f"finished before, billed {message.spent_tokens} tokens", origin
    )


@decision_of.register
def _(
    message: messages.ClaimRefused, *, origin: MessageOrigin
) -> trace.Decision:
    return _key_claimed(f"{message.reason.value}: {message.detail}", origin)


def _key_claimed(outcome: str, origin: MessageOrigin) -> trace.KeyClaimed:
    return trace.KeyClaimed(
        arbiter_zone=origin.source_zone,
        outcome=outcome,
        at_ms=origin.at_ms,
        instance_id=origin.instance_id,
    )


@functools.singledispatch
def _request_key_of(message: effects.Message) -> identifiers.RequestKey:
    return message.key


@_request_key_of.register(budget_messages.Reserved)
@_request_key_of.register(budget_messages.ReserveRefused)
def _(message) -> identifiers.RequestKey:
    return message.reservation_id.key
