"""The parts of a virtual instance, and who plays its callers and targets."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import NamedTuple
from typing import Protocol

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.fleet import contacts
from bambooglade.fleet import view
from bambooglade.operations import calls
from bambooglade.router import state_machine


class Coordinator(Protocol):
    """The part of an instance that takes calls."""

    def begin(self, call: calls.Call, now_ms: int) -> Iterator[effects.Effects]:
        """Takes a call of a caller."""
        ...

    def finish(
        self,
        key: identifiers.RequestKey,
        run_end: calls.RunEnd,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Takes the end of a run."""
        ...


@dataclasses.dataclass(slots=True)
class Parts:
    """The decisions of one instance, as assembled for the virtual fleet.

    Attributes:
        machine: The state machine over all components.
        coordinator: The component that takes calls.
        begin_stop: Starts a planned stop, given the time; yields effects.
        is_drained: Whether the planned stop has ended.
    """

    machine: state_machine.InstanceStateMachine
    coordinator: Coordinator
    begin_stop: Callable[[int], list[effects.Effects]] | None = None
    is_drained: Callable[[], bool] | None = None


class Assemble(Protocol):
    """Builds the decisions of an instance that starts."""

    def __call__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        availability_zone: identifiers.AvailabilityZone,
        fleet: view.FleetView,
        now_ms: int,
    ) -> Parts:
        """Returns the decisions of the instance."""
        ...


class Observer(Protocol):
    """Learns what the instances do; the oracle of the fuzzing is one."""

    def permitted(
        self,
        instance_id: identifiers.InstanceId,
        call: calls.Call,
        now_ms: int,
    ) -> calls.RunEnd | None:
        """A run starts now; returns how it will end, None to drop it."""
        ...

    def run_duration_ms(self, call: calls.Call) -> int:
        """Returns how long the run of a call takes."""
        ...

    def answered(
        self,
        instance_id: identifiers.InstanceId,
        call: calls.Call,
        effect: calls.Refuse | calls.Replay | calls.Billed,
        now_ms: int,
    ) -> None:
        """A call ended for its caller."""
        ...

    def local_effect(
        self,
        instance_id: identifiers.InstanceId,
        effect: effects.Effect,
        now_ms: int,
    ) -> None:
        """Any other effect that concerns the own process only."""
        ...


class CallReference(NamedTuple):
    """Names a call at one instance, also among calls of the same key."""

    key: identifiers.RequestKey
    call_id: str


@dataclasses.dataclass(slots=True)
class VirtualInstance:
    """One instance: its decisions, and whether it runs.

    Attributes:
        call_by_reference: Calls in progress.
        stopping: Whether a planned stop has begun, which the others learn.
        deferred: What arrived while the instance was paused.
    """

    instance_id: identifiers.InstanceId
    availability_zone: identifiers.AvailabilityZone
    parts: Parts | None = None
    alive: bool = True
    paused: bool = False
    stopping: bool = False
    stopped_since_ms: int | None = None
    call_by_reference: dict[CallReference, calls.Call] = dataclasses.field(
        default_factory=dict
    )
    deferred: list[Callable[[], None]] = dataclasses.field(default_factory=list)


def url_of(instance_id: identifiers.InstanceId) -> str:
    """Returns the URL under which a virtual instance can be contacted."""
    return f"http://{instance_id}"


def find(
    instance_by_id: Mapping[identifiers.InstanceId, VirtualInstance],
    name: identifiers.InstanceId,
) -> VirtualInstance | None:
    """Returns the instance with an id, or that answers at a contact's URL."""
    url = contacts.contact_url(name)
    if url is not None:
        name = identifiers.InstanceId(url.removeprefix("http://"))
    return instance_by_id.get(name)
