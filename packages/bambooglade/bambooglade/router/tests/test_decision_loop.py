"""Tests of the decision loop: order, own messages, replies to a peer."""

from __future__ import annotations

import pytest

from bambooglade.core import clock
from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.router import decision_loop
from bambooglade.router import state_machine

OWN = identifiers.InstanceId("own")
PEER = identifiers.InstanceId("peer")
OTHER = identifiers.InstanceId("other")


class Ping(effects.Message, frozen=True, kw_only=True):
    hops: int
    recipient: identifiers.InstanceId


class _Forwarder:
    """Component that forwards a ping until it has no hops left."""

    message_types = (Ping,)
    document_prefixes = ("notes",)

    def __init__(self):
        self.hops_seen = []

    def handle(self, message, sender, now_ms):
        self.hops_seen.append(message.hops)
        if message.hops:
            forwarded = Ping(hops=message.hops - 1, recipient=message.recipient)
            yield effects.Send(recipient=message.recipient, message=forwarded)

    def handle_document_response(self, answer, now_ms):
        yield effects.ReadDocument(key=answer.key)

    def tick(self, now_ms):
        yield effects.ReadDocument(key="notes/tick")


def _new_loop():
    forwarder = _Forwarder()
    performed = []
    loop = decision_loop.DecisionLoop(
        instance_id=OWN,
        machine=state_machine.InstanceStateMachine([forwarder]),
        clock=clock.ManualClock(now_ms=5),
        perform=performed.append,
    )
    return loop, forwarder, performed


@pytest.mark.parametrize(
    ("recipient", "hops_seen", "reply_count", "performed_count"),
    [
        (OWN, [3, 2, 1, 0], 0, 0),
        (PEER, [3], 1, 0),
        (OTHER, [3], 0, 1),
    ],
    ids=["to_itself", "to_the_sender", "to_another_instance"],
)
def test_message_is_routed_by_its_recipient(
    recipient, hops_seen, reply_count, performed_count
):
    loop, forwarder, performed = _new_loop()
    replies = loop.receive(PEER, [Ping(hops=3, recipient=recipient)])
    assert forwarder.hops_seen == hops_seen
    assert len(replies) == reply_count
    assert len(performed) == performed_count


def test_replies_are_collected_only_while_a_peer_is_served():
    loop, _, performed = _new_loop()
    loop.receive(PEER, [])
    loop.run(
        lambda now_ms: [
            effects.Send(recipient=PEER, message=Ping(hops=0, recipient=PEER))
        ]
    )
    assert [effect.recipient for effect in performed] == [PEER]


def test_decision_from_within_perform_is_deferred():
    order = []
    loop = decision_loop.DecisionLoop(
        instance_id=OWN,
        machine=state_machine.InstanceStateMachine([]),
        clock=clock.ManualClock(),
        perform=lambda effect: perform(effect),
    )

    def perform(effect):
        order.append(effect.key)
        if effect.key == "first":
            loop.run(lambda now_ms: [effects.ReadDocument(key="nested")])

    loop.run(
        lambda now_ms: [
            effects.ReadDocument(key="first"),
            effects.ReadDocument(key="second"),
        ]
    )
    assert order == ["first", "second", "nested"]


@pytest.mark.parametrize(
    ("send_input", "key"),
    [
        (lambda loop: loop.tick(), "notes/tick"),
        (
            lambda loop: loop.handle_document_response(
                effects.ReadFailed(key="notes/7")
            ),
            "notes/7",
        ),
        (
            lambda loop: loop.handle_document_response(
                effects.ReadFailed(key="unknown/7")
            ),
            None,
        ),
    ],
    ids=["tick", "document_response", "unknown_document_prefix"],
)
def test_input_reaches_the_responsible_component(send_input, key):
    loop, _, performed = _new_loop()
    send_input(loop)
    assert [effect.key for effect in performed] == ([key] if key else [])
