"""Fleet of instances on virtual time, with fault injection.

The stateful fuzzing and the policy benchmarks use it. The instances run the
same state machines as the router process.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import itertools
import random

from bambooglade.core import component
from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade_standins.virtual import event_queue
from bambooglade_standins.virtual import failure_detector
from bambooglade_standins.virtual import instances
from bambooglade_standins.virtual import network
from bambooglade_standins.virtual import service

START_MS = 1_800_000_000_000
"""Virtual time at the start, in milliseconds since the Unix epoch."""


class VirtualFleet:
    """Runs instances against a simulated network and key-value service.

    Args:
        assemble: Builds the parts of each instance that starts.
        observer: Receives events and simulates the targets.
        seed: Seed of all randomness.
        watched_prefixes: Writes to keys with these prefixes are pushed, without
            a request, to the instances that can reach the service.
        cross_zone_delay_ms: One-way delay between zones.
    """

    __slots__ = (
        "_assemble",
        "_names",
        "_observer",
        "_rng",
        "_watched_prefixes",
        "bytes_sent",
        "instance_by_id",
        "measure_bytes",
        "messages_sent",
        "network",
        "queue",
        "service",
    )

    def __init__(
        self,
        *,
        assemble: instances.Assemble,
        observer: instances.Observer,
        seed: int,
        watched_prefixes: tuple[str, ...] = ("table/",),
        cross_zone_delay_ms: int = 1,
    ) -> None:
        self._assemble = assemble
        self._observer = observer
        self._rng = random.Random(seed)
        self._watched_prefixes = watched_prefixes
        self._names = itertools.count(1)
        self.queue = event_queue.EventQueue(start_ms=START_MS)
        self.network = network.VirtualNetwork(
            rng=self._rng, cross_zone_delay_ms=cross_zone_delay_ms
        )
        self.service = service.VirtualService(
            rng=self._rng, on_write=self._push_to_watchers
        )
        self.instance_by_id: dict[
            identifiers.InstanceId, instances.VirtualInstance
        ] = {}
        self.messages_sent = 0
        self.bytes_sent = 0
        self.measure_bytes: Callable[[effects.Message], int] | None = None

    @property
    def now_ms(self) -> int:
        """The virtual time in milliseconds since the Unix epoch."""
        return self.queue.now_ms

    def start(
        self, availability_zone: identifiers.AvailabilityZone
    ) -> identifiers.InstanceId:
        """Starts a new instance in a zone and returns its id."""
        instance_id = identifiers.InstanceId(
            f"{availability_zone}-{next(self._names)}"
        )
        instance = instances.VirtualInstance(instance_id, availability_zone)
        self.instance_by_id[instance_id] = instance
        instance.parts = self._assemble(
            instance_id=instance_id,
            availability_zone=availability_zone,
            fleet=failure_detector.DetectedFleet(self, instance),
            now_ms=self.now_ms,
        )
        self._schedule_tick(instance)
        return instance_id

    def run_for(self, duration_ms: int) -> None:
        """Advances virtual time by a duration."""
        self.queue.run_for(duration_ms=duration_ms)

    def begin(
        self, instance_id: identifiers.InstanceId, call: calls.Call
    ) -> None:
        """Submits a call to an instance."""
        instance = self.instance_by_id[instance_id]
        self._deliver(instance, functools.partial(self._begin, instance, call))

    def pause(self, instance_id: identifiers.InstanceId) -> None:
        """Pauses an instance until `wake` is called."""
        instance = self.instance_by_id[instance_id]
        instance.paused = True
        instance.stopped_since_ms = self.now_ms

    def wake(self, instance_id: identifiers.InstanceId) -> None:
        """Resumes a paused instance and runs its deferred actions."""
        instance = self.instance_by_id[instance_id]
        instance.paused = False
        if instance.alive:
            instance.stopped_since_ms = None
        deferred, instance.deferred = instance.deferred, []
        for action in deferred:
            self._deliver(instance, action)

    def kill(self, instance_id: identifiers.InstanceId) -> None:
        """Ends an instance at once and discards its state."""
        instance = self.instance_by_id[instance_id]
        instance.alive = False
        instance.stopped_since_ms = instance.stopped_since_ms or self.now_ms
        instance.call_by_reference.clear()
        instance.deferred.clear()

    def begin_stop(self, instance_id: identifiers.InstanceId) -> None:
        """Starts a planned stop; the instance ends once it is drained."""
        instance = self.instance_by_id[instance_id]
        self._deliver(instance, functools.partial(self._begin_stop, instance))

    def perform(
        self,
        instance_id: identifiers.InstanceId,
        decide: Callable[[int], object],
    ) -> None:
        """Performs the effects that `decide` returns for the current time."""
        instance = self.instance_by_id[instance_id]
        self._deliver(
            instance,
            lambda: self._perform_effects(instance, list(decide(self.now_ms))),
        )

    def running(self) -> list[instances.VirtualInstance]:
        """Returns the instances that are alive and not paused."""
        return [
            instance
            for instance in self.instance_by_id.values()
            if instance.alive and not instance.paused
        ]

    def _deliver(
        self, instance: instances.VirtualInstance, action: Callable[[], None]
    ) -> None:
        if not instance.alive:
            return
        if instance.paused:
            instance.deferred.append(action)
            return
        action()

    def _deliver_after(
        self,
        delay_ms: int,
        instance: instances.VirtualInstance,
        action: Callable[[], None],
    ) -> None:
        self.queue.after(
            delay_ms=delay_ms,
            action=functools.partial(self._deliver, instance, action),
        )

    def _schedule_tick(self, instance: instances.VirtualInstance) -> None:
        self._deliver_after(
            component.TICK_MS,
            instance,
            functools.partial(self._tick, instance),
        )

    def _tick(self, instance: instances.VirtualInstance) -> None:
        self._schedule_tick(instance)
        self._perform_effects(
            instance, instance.parts.machine.tick(self.now_ms)
        )
        if instance.stopping and instance.parts.is_drained():
            self.kill(instance.instance_id)

    def _begin(
        self, instance: instances.VirtualInstance, call: calls.Call
    ) -> None:
        instance.call_by_reference[_call_reference(call)] = call
        self._perform_effects(
            instance,
            list(instance.parts.coordinator.begin(call, self.now_ms)),
        )

    def _begin_stop(self, instance: instances.VirtualInstance) -> None:
        instance.stopping = True
        if instance.parts.begin_stop is None:
            self.kill(instance.instance_id)
            return
        self._perform_effects(
            instance, list(instance.parts.begin_stop(self.now_ms))
        )

    def _perform_effects(
        self,
        instance: instances.VirtualInstance,
        decided: list[effects.Effects],
    ) -> None:
        for effect in decided:
            self._perform_effect(effect, instance)

    def _perform_effect(
        self, effect: effects.Effects, instance: instances.VirtualInstance
    ) -> None:
        match effect:
            case effects.Send():
                self._send(instance, effect)
            case effects.ReadDocument() | effects.WriteDocument():
                self._request_service(instance, effect)
            case calls.Permit():
                self._start_run(instance, effect)
            case calls.Refuse() | calls.Replay() | calls.Billed():
                reference = _call_reference(effect)
                call = instance.call_by_reference.pop(reference, None)
                if call is not None:
                    self._observer.answered(
                        instance.instance_id, call, effect, self.now_ms
                    )
            case _:
                self._observer.local_effect(
                    instance.instance_id, effect, self.now_ms
                )

    def _send(
        self, sender: instances.VirtualInstance, effect: effects.Send
    ) -> None:
        recipient = instances.find(self.instance_by_id, effect.recipient)
        if recipient is None:
            return
        self.messages_sent += 1
        if self.measure_bytes is not None:
            self.bytes_sent += self.measure_bytes(effect.message)
        is_local = recipient is sender
        delays_ms = (
            [0]
            if is_local
            else self.network.arrival_delays_ms(
                sender.availability_zone, recipient.availability_zone
            )
        )
        for delay_ms in delays_ms:
            self._deliver_after(
                delay_ms,
                recipient,
                functools.partial(
                    self._receive, recipient, effect.message, sender.instance_id
                ),
            )

    def _receive(
        self,
        instance: instances.VirtualInstance,
        message: effects.Message,
        sender: identifiers.InstanceId,
    ) -> None:
        self._perform_effects(
            instance,
            instance.parts.machine.handle(message, sender, self.now_ms),
        )

    def _start_run(
        self, instance: instances.VirtualInstance, permit: calls.Permit
    ) -> None:
        call = instance.call_by_reference[_call_reference(permit)]
        end = self._observer.permitted(instance.instance_id, call, self.now_ms)
        if end is None:
            return
        self._deliver_after(
            self._observer.run_duration_ms(call),
            instance,
            functools.partial(self._finish, instance, permit.key, end),
        )

    def _finish(
        self,
        instance: instances.VirtualInstance,
        key: identifiers.RequestKey,
        end: calls.RunEnd,
    ) -> None:
        self._perform_effects(
            instance,
            list(instance.parts.coordinator.finish(key, end, self.now_ms)),
        )

    def _request_service(
        self,
        instance: instances.VirtualInstance,
        request: effects.ReadDocument | effects.WriteDocument,
    ) -> None:
        delay_ms = self.network.delay_ms(
            instance.availability_zone, network.PLATFORM
        )
        self.queue.after(
            delay_ms=delay_ms + self.service.faults.latency_ms,
            action=functools.partial(self._serve, instance, request, delay_ms),
        )

    def _serve(
        self,
        instance: instances.VirtualInstance,
        request: effects.ReadDocument | effects.WriteDocument,
        delay_ms: int,
    ) -> None:
        answer = self._service_response(instance, request)
        if answer is None:
            no_answer = _failed_response(request)
            self._deliver_response(
                instance, no_answer, service.RESPONSE_TIMEOUT_MS
            )
            return
        self._deliver_response(instance, answer, delay_ms)

    def _service_response(
        self,
        instance: instances.VirtualInstance,
        request: effects.ReadDocument | effects.WriteDocument,
    ) -> effects.DocumentResponse | None:
        if not self._can_reach_service(instance):
            return None
        if isinstance(request, effects.ReadDocument):
            answer = self.service.read(request)
        else:
            answer = self.service.write(request)
        return None if self.service.should_lose_response() else answer

    def _deliver_response(
        self,
        instance: instances.VirtualInstance,
        answer: effects.DocumentResponse,
        delay_ms: int,
    ) -> None:
        self._deliver_after(
            delay_ms,
            instance,
            lambda: self._perform_effects(
                instance,
                instance.parts.machine.handle_document_response(
                    answer, self.now_ms
                ),
            ),
        )

    def _can_reach_service(self, instance: instances.VirtualInstance) -> bool:
        return not self.service.faults.down and self.network.is_connected(
            instance.availability_zone, network.PLATFORM
        )

    def _push_to_watchers(self, key: str) -> None:
        if not key.startswith(self._watched_prefixes):
            return
        for instance in self.instance_by_id.values():
            if self._can_reach_service(instance):
                self._deliver_response(instance, self.service.current(key), 1)

    def __repr__(self) -> str:
        return (
            f"VirtualFleet(instances={len(self.instance_by_id)}, "
            f"now_ms={self.now_ms})"
        )


def _failed_response(
    request: effects.ReadDocument | effects.WriteDocument,
) -> effects.DocumentResponse:
    if isinstance(request, effects.ReadDocument):
        return effects.ReadFailed(key=request.key)
    return effects.WriteUncertain(key=request.key)


def _call_reference(
    subject: calls.Call
    | calls.Permit
    | calls.Refuse
    | calls.Replay
    | calls.Billed,
) -> instances.CallReference:
    return instances.CallReference(subject.key, subject.call_id)
