"""Data types of virtual instances and the interfaces that they depend on."""

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
    """Component of an instance that handles calls."""

    def begin(self, call: calls.Call, now_ms: int) -> Iterator[effects.Effects]:
        """Starts a call and returns its effects."""
        ...

    def finish(
        self,
        key: identifiers.RequestKey,
        run_end: calls.RunEnd,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Handles the end of a run and returns the resulting effects."""
        ...


@dataclasses.dataclass(slots=True)
class Parts:
    """State machine and entry points of one instance of the virtual fleet.

    Attributes:
        machine: The state machine over all components.
        coordinator: The component that handles calls.
        begin_stop: Starts a planned stop at the given time in milliseconds and
            returns its effects; None if an instance ends without draining.
        is_drained: Returns whether the planned stop is complete.
    """

    machine: state_machine.InstanceStateMachine
    coordinator: Coordinator
    begin_stop: Callable[[int], list[effects.Effects]] | None = None
    is_drained: Callable[[], bool] | None = None


class Assemble(Protocol):
    """Factory of the parts of a new instance."""

    def __call__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        availability_zone: identifiers.AvailabilityZone,
        fleet: view.FleetView,
        now_ms: int,
    ) -> Parts:
        """Returns the parts of the instance."""
        ...


class Observer(Protocol):
    """Receives events of the instances and simulates their targets.

    The fuzzing oracle implements this interface.
    """

    def permitted(
        self,
        instance_id: identifiers.InstanceId,
        call: calls.Call,
        now_ms: int,
    ) -> calls.RunEnd | None:
        """Handles the start of a run; returns its end, or None to drop it."""
        ...

    def run_duration_ms(self, call: calls.Call) -> int:
        """Returns the duration of the run of a call."""
        ...

    def answered(
        self,
        instance_id: identifiers.InstanceId,
        call: calls.Call,
        effect: calls.Refuse | calls.Replay | calls.Billed,
        now_ms: int,
    ) -> None:
        """Handles the response to the caller of a call."""
        ...

    def local_effect(
        self,
        instance_id: identifiers.InstanceId,
        effect: effects.Effect,
        now_ms: int,
    ) -> None:
        """Handles any other effect that stays within the instance."""
        ...


class CallReference(NamedTuple):
    """Identifies a call at an instance; several calls may share a key."""

    key: identifiers.RequestKey
    call_id: str


@dataclasses.dataclass(slots=True)
class VirtualInstance:
    """An instance with its parts and its run state.

    Attributes:
        stopping: Whether a planned stop has begun, which other instances
            observe.
        stopped_since_ms: Time at which the instance was paused or killed; None
            while it runs.
        call_by_reference: Calls in progress.
        deferred: Actions that were delivered while the instance was paused.
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
    """Returns the instance with an id, or at the URL of a contact."""
    url = contacts.contact_url(name)
    if url is not None:
        name = identifiers.InstanceId(url.removeprefix("http://"))
    return instance_by_id.get(name)
