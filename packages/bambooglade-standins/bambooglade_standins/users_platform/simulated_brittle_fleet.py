"""Simulated fleet in front of brittle targets, on virtual time.

It runs the real decisions (`BrittleTargets`, `RoomQueue`) for fleets of any
size, without sockets. Instances choose the target with the lowest load that
they know, and hand requests over as the gateway does.
"""

from __future__ import annotations

import collections
import random

from bambooglade.core import hashing
from bambooglade.gateway import peer_forwarder
from bambooglade.gateway import room_queue
from bambooglade.targets import brittle_targets
from bambooglade.targets import request_limits
from bambooglade_standins.users_platform import virtual_loop

SERVICE = "s"
LATENCY_MS = 1
BROADCAST_MS = 25
WORK_MS = 100
DOWN_MS = 3_000
MAX_ATTEMPTS = 4
NOTICE_MS = 3_000
"""Time after the first notice from which fewer requests may wait."""


class SimulatedTarget:
    """A target with slots, and room for a few requests to wait.

    Attributes:
        falls: Number of times that it has fallen over.
    """

    def __init__(self, fleet: SimulatedBrittleFleet, target_id: str) -> None:
        self.target_id = target_id
        self.started_at_ms = 1
        self.is_up = True
        self.falls = 0
        self._fleet = fleet
        self._running: set[SimulatedRequest] = set()
        self._waiting: collections.deque[SimulatedRequest] = collections.deque()
        self._rejected_at_ms: collections.deque[int] = collections.deque()

    @property
    def load(self) -> tuple[int, int]:
        """Numbers of running and of waiting requests."""
        return len(self._running), len(self._waiting)

    def receive(self, request: SimulatedRequest) -> None:
        """Runs a request, lets it wait, or rejects it."""
        if not self.is_up:
            request.respond(is_run=False, is_rejected=False)
        elif len(self._running) < self._fleet.slots:
            self._run(request)
        elif len(self._waiting) < self._fleet.room:
            self._waiting.append(request)
        else:
            self._reject(request)

    def _run(self, request: SimulatedRequest) -> None:
        self._running.add(request)
        self._fleet.loop.call_later(WORK_MS, self._finish, request)

    def _finish(self, request: SimulatedRequest) -> None:
        if request not in self._running:
            return
        self._running.discard(request)
        if self._waiting:
            self._run(self._waiting.popleft())
        request.respond(is_run=True, is_rejected=False)

    def _reject(self, request: SimulatedRequest) -> None:
        now_ms = self._fleet.loop.now_ms()
        self._rejected_at_ms.append(now_ms)
        while now_ms - self._rejected_at_ms[0] > 1_000:
            self._rejected_at_ms.popleft()
        request.respond(is_run=False, is_rejected=True)
        limit = self._fleet.max_rejections_per_s
        if limit is not None and len(self._rejected_at_ms) > limit:
            self._fall()

    def _fall(self) -> None:
        self.falls += 1
        self.is_up = False
        lost = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        self._rejected_at_ms.clear()
        for request in lost:
            request.respond(is_run=False, is_rejected=False)
        self._fleet.loop.call_later(DOWN_MS, self._start)

    def _start(self) -> None:
        self.started_at_ms += 1
        self.is_up = True


class SimulatedInstance:
    """An instance with its own view of the load of the targets."""

    def __init__(self, fleet: SimulatedBrittleFleet, name: str) -> None:
        self.name = name
        self.queue = room_queue.RoomQueue(fleet.loop)
        self.brittle = brittle_targets.BrittleTargets(
            lambda target_id: fleet.rank(self.name, target_id)
        )
        self.own_running: collections.Counter[str] = collections.Counter()
        self.known_load_by_id: collections.Counter[str] = collections.Counter()


class SimulatedRequest:
    """A request from its arrival to its end; the caller of a `RoomQueue`."""

    def __init__(
        self,
        fleet: SimulatedBrittleFleet,
        instance: SimulatedInstance,
        asked: tuple[SimulatedInstance, ...] = (),
    ) -> None:
        self._fleet = fleet
        self._instance = instance
        self._asked = asked
        self._tried_ids: set[str] = set()
        self._target: SimulatedTarget | None = None
        self._sent_at_ms = 0

    def send(self) -> None:
        """Sends the request to a target or a peer, or lets it wait."""
        target = self._choose()
        if target is not None:
            self._send_to(target)
            return
        instance, fleet = self._instance, self._fleet
        permits = fleet.permits(instance)
        if not permits and len(self._asked) < peer_forwarder.MAX_PEERS:
            self._hand_over()
        elif len(self._tried_ids) >= MAX_ATTEMPTS or not instance.queue.try_add(
            self, SERVICE, permits=permits, remaining_ms=1_500
        ):
            fleet.refused += 1

    def _hand_over(self) -> None:
        asked = (*self._asked, self._instance)
        holders = [
            instance
            for instance in self._fleet.instances
            if instance not in asked and self._fleet.permits(instance)
        ]
        peer = self._fleet.random_source.choice(holders)
        request = SimulatedRequest(self._fleet, peer, asked)
        self._fleet.loop.call_later(LATENCY_MS, request.send)

    def _choose(self) -> SimulatedTarget | None:
        usable = [
            target for target in self._fleet.targets if self._may_send(target)
        ]
        instance, source = self._instance, self._fleet.random_source
        return min(
            usable,
            default=None,
            key=lambda t: (
                max(
                    instance.known_load_by_id[t.target_id],
                    instance.own_running[t.target_id],
                ),
                source.random(),
            ),
        )

    def _may_send(self, target: SimulatedTarget) -> bool:
        return (
            target.is_up
            and target.target_id not in self._tried_ids
            and self._instance.brittle.may_send(
                target.target_id,
                service=SERVICE,
                started_at_ms=target.started_at_ms,
                slots=self._fleet.slots,
                own_running=self._instance.own_running[target.target_id],
                now_ms=self._fleet.loop.now_ms(),
            )
        )

    def can_send(self) -> bool:
        """Returns whether a target may have room for the request."""
        return self._choose() is not None

    def resume(self) -> None:
        """Sends the request, which waits no more."""
        self.send()

    def stop_waiting(self) -> None:
        """Counts the request as refused."""
        self._fleet.refused += 1

    def _send_to(self, target: SimulatedTarget) -> None:
        self._target = target
        self._sent_at_ms = self._fleet.loop.now_ms()
        self._tried_ids.add(target.target_id)
        self._instance.own_running[target.target_id] += 1
        self._instance.known_load_by_id[target.target_id] += 1
        self._fleet.loop.call_later(LATENCY_MS, target.receive, self)

    def respond(self, *, is_run: bool, is_rejected: bool) -> None:
        """Sends the response of the target, or the loss of its connection."""
        self._fleet.loop.call_later(
            LATENCY_MS, self._end, is_run, is_rejected, self._target.load
        )

    def _end(
        self, is_run: bool, is_rejected: bool, load: tuple[int, int]
    ) -> None:
        target, instance = self._target, self._instance
        instance.own_running[target.target_id] -= 1
        if is_run or is_rejected:
            instance.known_load_by_id[target.target_id] = sum(load)
            self._fleet.record_response(instance, target, load, is_rejected)
        if is_run:
            self._fleet.served += 1
            instance.queue.record_work(
                SERVICE, self._fleet.loop.now_ms() - self._sent_at_ms
            )
        elif len(self._tried_ids) < MAX_ATTEMPTS:
            self.send()
        else:
            self._fleet.refused += 1
        instance.queue.wake(SERVICE)


class SimulatedBrittleFleet:
    """Instances and targets, with a load that begins at once.

    Args:
        size: Number of instances.
        targets: Number of targets.
        slots: Requests that a target processes at once.
        max_rejections_per_s: Rejections in a second above which a target falls
            over; None if it never does.
        seed: Seed of the arrivals and the choices.

    Attributes:
        served: Number of requests that were served.
        refused: Number of requests that were refused.

    Examples:
        >>> fleet = SimulatedBrittleFleet(6, max_rejections_per_s=10)
        >>> fleet.run(load=0.5, duration_ms=2_000)
        >>> fleet.falls, fleet.refused
        (0, 0)
    """

    def __init__(
        self,
        size: int,
        *,
        targets: int = 5,
        slots: int = 4,
        max_rejections_per_s: int | None = None,
        seed: int = 1,
    ) -> None:
        self.loop = virtual_loop.VirtualLoop()
        self.random_source = random.Random(seed)
        self.slots = slots
        self.room = slots
        self.max_rejections_per_s = max_rejections_per_s
        self.served = self.refused = 0
        self.targets = [
            SimulatedTarget(self, f"e{number}") for number in range(targets)
        ]
        names = [f"i{number}" for number in range(size)]
        self._order_by_id = {
            target.target_id: hashing.rendezvous(target.target_id, names)
            for target in self.targets
        }
        self.instances = [SimulatedInstance(self, name) for name in names]
        # Callers are spread unevenly.
        self._weights = [1.0 + number % 3 / 2 for number in range(size)]

    @property
    def falls(self) -> int:
        """Number of times that a target has fallen over."""
        return sum(target.falls for target in self.targets)

    def rank(self, name: str, target_id: str) -> request_limits.SenderRank:
        """Returns the rank of an instance for a target."""
        order = self._order_by_id[target_id]
        return request_limits.SenderRank(order.index(name), len(order))

    def permits(self, instance: SimulatedInstance) -> int:
        """Returns how many requests of an instance busy targets may have."""
        return sum(
            instance.brittle.permits(
                target.target_id,
                service=SERVICE,
                slots=self.slots,
                now_ms=self.loop.now_ms(),
            )
            for target in self.targets
        )

    def record_response(
        self,
        instance: SimulatedInstance,
        target: SimulatedTarget,
        load: tuple[int, int],
        is_rejected: bool,
    ) -> None:
        """Records what a response says, as `BrittleReplicator` does."""
        if self.max_rejections_per_s is None:
            return
        running, waiting = load
        now_ms = self.loop.now_ms()
        notice = {
            "service": SERVICE,
            "started_at_ms": target.started_at_ms,
            "max_rejections_per_s": self.max_rejections_per_s,
        }
        brittle, target_id = instance.brittle, target.target_id
        brittle.record_notice(target_id, now_ms=now_ms, **notice)
        is_news = brittle.record_load(
            target_id,
            running=running,
            waiting=waiting,
            slots=self.slots,
            now_ms=now_ms,
        )
        if is_rejected:
            is_news |= brittle.record_rejection(target_id, now_ms=now_ms)
        if is_news:
            self.loop.call_later(
                BROADCAST_MS, self._broadcast, instance, target_id, notice
            )

    def _broadcast(self, sender: SimulatedInstance, target_id, notice) -> None:
        for instance in self.instances:
            if instance is not sender:
                instance.brittle.record_busy(
                    target_id, now_ms=self.loop.now_ms(), **notice
                )

    def run(self, *, load: float, duration_ms: int) -> None:
        """Plays requests; halfway through the notice, room is as usual.

        Args:
            load: Requests, relative to what all targets can serve.
            duration_ms: Duration after the time of the notice.
        """
        self._play(min(load, 0.3), NOTICE_MS)
        self.served = self.refused = 0
        if self.max_rejections_per_s is not None:
            self.room = 1
        self._play(load, duration_ms)
        self.loop.advance(2_000)

    def _play(self, load: float, duration_ms: int) -> None:
        requests_per_ms = load * len(self.targets) * self.slots / WORK_MS
        at_ms = 0.0
        while True:
            at_ms += self.random_source.expovariate(requests_per_ms)
            if at_ms >= duration_ms:
                break
            (instance,) = self.random_source.choices(
                self.instances, self._weights
            )
            self.loop.call_later(
                round(at_ms), SimulatedRequest(self, instance).send
            )
        self.loop.advance(duration_ms)

    def __repr__(self) -> str:
        return f"SimulatedBrittleFleet(falls={self.falls})"
