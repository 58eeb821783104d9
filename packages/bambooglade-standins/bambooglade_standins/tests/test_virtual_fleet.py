"""Tests of the virtual fleet itself: delays, cuts, pauses, lost answers."""

from __future__ import annotations

import dataclasses

import pytest

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.router import state_machine
from bambooglade_standins.virtual import fleet as virtual_fleet
from bambooglade_standins.virtual import instances
from bambooglade_standins.virtual import network

ZONE_A = identifiers.AvailabilityZone("scot-a")
ZONE_B = identifiers.AvailabilityZone("scot-b")


class Greeting(effects.Message, frozen=True, kw_only=True):
    text: str


@dataclasses.dataclass(slots=True)
class Recorder:
    """A component that records what it is given."""

    received: list[str] = dataclasses.field(default_factory=list)
    answers: list[effects.DocumentResponse] = dataclasses.field(
        default_factory=list
    )
    message_types: tuple[type, ...] = (Greeting,)
    document_prefixes: tuple[str, ...] = ("notes",)

    def handle(self, message, sender, now_ms):
        self.received.append(message.text)
        yield from ()

    def handle_document_response(self, answer, now_ms):
        self.answers.append(answer)
        yield from ()

    def tick(self, now_ms):
        yield from ()


class _Silent:
    def local_effect(self, instance_id, effect, now_ms):
        raise AssertionError(effect)


def _fleet():
    recorder_by_id = {}

    def assemble(*, instance_id, availability_zone, fleet, now_ms):
        recorder = recorder_by_id[instance_id] = Recorder()
        machine = state_machine.InstanceStateMachine([recorder])
        return instances.Parts(machine=machine, coordinator=None)

    fleet = virtual_fleet.VirtualFleet(
        assemble=assemble, observer=_Silent(), seed=1
    )
    return fleet, recorder_by_id


def _greet(fleet, sender, recipient, text="hello"):
    send = effects.Send(recipient=recipient, message=Greeting(text=text))
    fleet.perform(sender, lambda now_ms: [send])


@pytest.mark.parametrize(
    ("disturb", "expected"),
    [
        (lambda fleet, b: None, ["hello"]),
        (lambda fleet, b: fleet.network.cut(ZONE_A, ZONE_B, now_ms=0), []),
        (lambda fleet, b: fleet.kill(b), []),
        (lambda fleet, b: fleet.pause(b), []),
        (lambda fleet, b: setattr(fleet.network.faults, "loss", 1.0), []),
        (
            lambda fleet, b: setattr(fleet.network.faults, "duplication", 1.0),
            ["hello", "hello"],
        ),
    ],
    ids=["calm", "cut", "killed", "paused", "lost", "doubled"],
)
def test_delivery(disturb, expected):
    fleet, recorder_by_id = _fleet()
    a, b = fleet.start(ZONE_A), fleet.start(ZONE_B)
    disturb(fleet, b)
    _greet(fleet, a, b)
    fleet.run_for(100)
    assert recorder_by_id[b].received == expected


def test_paused_instance_gets_its_messages_when_woken():
    fleet, recorder_by_id = _fleet()
    a, b = fleet.start(ZONE_A), fleet.start(ZONE_B)
    fleet.pause(b)
    _greet(fleet, a, b)
    fleet.run_for(10_000)
    assert fleet.instance_by_id[b].paused
    fleet.wake(b)
    assert recorder_by_id[b].received == ["hello"]


@pytest.mark.parametrize(
    ("disturb", "answer_type", "written"),
    [
        (lambda fleet: None, effects.WriteApplied, True),
        (
            lambda fleet: setattr(fleet.service.faults, "lost_answers", 1.0),
            effects.WriteUncertain,
            True,
        ),
        (
            lambda fleet: setattr(fleet.service.faults, "down", True),
            effects.WriteUncertain,
            False,
        ),
        (
            lambda fleet: fleet.network.cut(ZONE_A, network.PLATFORM, now_ms=0),
            effects.WriteUncertain,
            False,
        ),
    ],
    ids=["calm", "answer lost", "down", "cut off"],
)
def test_write(disturb, answer_type, written):
    fleet, recorder_by_id = _fleet()
    a = fleet.start(ZONE_A)
    disturb(fleet)
    write = effects.WriteDocument(
        key="notes/1", expected_revision=0, value=b"x"
    )
    fleet.perform(a, lambda now_ms: [write])
    fleet.run_for(5_000)
    assert [type(answer) for answer in recorder_by_id[a].answers] == [
        answer_type
    ]
    assert ("notes/1" in fleet.service.by_key) == written
