"""Concurrency limits per kind of request, and fair queueing between teams.

Each kind of request has its own slots, so that a status check never queues
behind a plan. When all slots of a kind are in use, requests wait in a
start-time fair queue over the teams: each request gets a virtual start time
that depends on its team's weight, and the smallest start time is served first.
A request that cannot be served before its deadline is rejected immediately.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import itertools

import msgspec

from bambooglade.core import failures
from bambooglade.core import identifiers

MAX_WAITING_PER_SLOT = 4
SERVICE_TIME_EWMA_WEIGHT = 0.1
"""Weight of a new observation in the moving average of the service time."""

INITIAL_SERVICE_MS = 0.0
MIN_RETRY_AFTER_MS = 200
DEADLINE_MARGIN = 0.5
"""Fraction of the mean service time that must fit before the deadline.

Service times vary, so requiring the full mean would reject requests that would
have finished in time.
"""


class KindKey(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies one kind of request of one service."""

    service: identifiers.ServiceName
    request_kind: str


class Ticket(msgspec.Struct, frozen=True, kw_only=True):
    """A request for a slot.

    Attributes:
        ticket_id: Unique among the requests in progress.
        kind: Kind of the request.
        team_id: Team that sent the request.
        team_weight: Relative share of the team; 1 by default.
        priority: Requests of a higher priority are served first, regardless
            of their team.
        deadline_ms: Time after which the caller no longer waits for the
            response; milliseconds since the epoch.
        slots: Concurrency limit of the kind.
    """

    ticket_id: str
    kind: KindKey
    team_id: identifiers.TeamId
    team_weight: float = 1.0
    priority: int = 0
    deadline_ms: int
    slots: int


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """The request was assigned a slot and may run."""

    ticket_id: str


class Shed(msgspec.Struct, frozen=True, kw_only=True):
    """The request was rejected before it ran."""

    ticket_id: str
    failure: failures.Failure


class AdmissionController:
    """Assigns slots to requests, and queues or rejects the others.

    `submit`, `finish`, `cancel` and `tick` yield a decision for each request
    that they admit or reject. These may be requests that were submitted
    earlier.

    Examples:
        >>> admission = AdmissionController()
        >>> kind = KindKey(service="jury", request_kind="critique")
        >>> def ticket(name):
        ...     return Ticket(ticket_id=name, kind=kind, team_id="t1",
        ...         deadline_ms=1_000, slots=1)
        >>> list(admission.submit(ticket("a"), 0))
        [Admitted(ticket_id='a')]
        >>> list(admission.submit(ticket("b"), 0))
        []
        >>> list(admission.finish("a", 10))
        [Admitted(ticket_id='b')]
    """

    __slots__ = ("_by_kind", "_kind_by_ticket")

    def __init__(self) -> None:
        self._by_kind: dict[KindKey, _KindQueue] = {}
        self._kind_by_ticket: dict[str, KindKey] = {}

    def submit(self, ticket: Ticket, now_ms: int) -> Iterator[Admitted | Shed]:
        """Submits a request; it is queued if no decision on it is yielded."""
        queue = self._by_kind.setdefault(ticket.kind, _KindQueue())
        queue.slots = ticket.slots
        failure = queue.rejection(ticket, now_ms)
        if failure is not None:
            yield Shed(ticket_id=ticket.ticket_id, failure=failure)
            return
        self._kind_by_ticket[ticket.ticket_id] = ticket.kind
        queue.push(ticket)
        yield from self._admit(queue, now_ms)

    def finish(self, ticket_id: str, now_ms: int) -> Iterator[Admitted | Shed]:
        """Releases the slot of a request; idempotent."""
        kind = self._kind_by_ticket.pop(ticket_id, None)
        if kind is not None:
            queue = self._by_kind[kind]
            queue.finish(ticket_id, now_ms)
            yield from self._admit(queue, now_ms)

    def cancel(self, ticket_id: str, now_ms: int) -> Iterator[Admitted | Shed]:
        """Removes a queued or running request whose caller disconnected."""
        yield from self.finish(ticket_id, now_ms)

    def tick(self, now_ms: int) -> Iterator[Admitted | Shed]:
        """Rejects queued requests whose deadline has passed."""
        for queue in self._by_kind.values():
            yield from self._admit(queue, now_ms)

    def running_count(self, kind: KindKey) -> int:
        """Returns the number of requests of a kind that hold a slot."""
        queue = self._by_kind.get(kind)
        return len(queue.started_ms_by_ticket) if queue else 0

    def waiting_count(self, kind: KindKey) -> int:
        """Returns the number of queued requests of a kind."""
        queue = self._by_kind.get(kind)
        return len(queue.waiting) if queue else 0

    def _admit(
        self, queue: _KindQueue, now_ms: int
    ) -> Iterator[Admitted | Shed]:
        for ticket in queue.pop_expired(now_ms):
            self._kind_by_ticket.pop(ticket.ticket_id, None)
            yield Shed(
                ticket_id=ticket.ticket_id,
                failure=queue.deadline_failure(),
            )
        for ticket in queue.pop_admissible(now_ms):
            yield Admitted(ticket_id=ticket.ticket_id)

    def __repr__(self) -> str:
        return f"AdmissionController(tickets={len(self._kind_by_ticket)})"


@dataclasses.dataclass(slots=True, order=True)
class _QueueEntry:
    rank: tuple[int, float, int]
    ticket: Ticket = dataclasses.field(compare=False)


class _KindQueue:
    """Slots and queued requests of one kind."""

    __slots__ = (
        "_arrival_numbers",
        "_finish_time_by_team",
        "_virtual_time",
        "mean_service_ms",
        "slots",
        "started_ms_by_ticket",
        "waiting",
    )

    def __init__(self) -> None:
        self.slots = 1
        self.mean_service_ms = INITIAL_SERVICE_MS
        self.started_ms_by_ticket: dict[str, int] = {}
        self.waiting: list[_QueueEntry] = []
        self._arrival_numbers = itertools.count()
        self._virtual_time = 0.0
        self._finish_time_by_team: dict[identifiers.TeamId, float] = {}

    def rejection(self, ticket: Ticket, now_ms: int) -> failures.Failure | None:
        """Returns why the request must be rejected, or None."""
        if self._has_free_slot():
            return None
        if len(self.waiting) >= self.slots * MAX_WAITING_PER_SLOT:
            return failures.Overloaded(
                detail=(
                    f"The queue is full: {len(self.waiting)} requests are "
                    "waiting."
                ),
                retry_after_ms=self._retry_after_ms(),
            )
        ahead = sum(w.ticket.priority >= ticket.priority for w in self.waiting)
        needed_ms = (
            self._wait_ms(ahead) + self.mean_service_ms * DEADLINE_MARGIN
        )
        if self.mean_service_ms and now_ms + needed_ms > ticket.deadline_ms:
            return self.deadline_failure()
        return None

    def push(self, ticket: Ticket) -> None:
        """Queues a request with a virtual start time for its team."""
        start = max(
            self._virtual_time,
            self._finish_time_by_team.get(ticket.team_id, 0.0),
        )
        cost = 1.0 / max(ticket.team_weight, 1e-6)
        self._finish_time_by_team[ticket.team_id] = start + cost
        rank = (-ticket.priority, start, next(self._arrival_numbers))
        self.waiting.append(_QueueEntry(rank=rank, ticket=ticket))

    def pop_admissible(self, now_ms: int) -> Iterator[Ticket]:
        """Removes and yields the requests that may start now, in order."""
        while self.waiting and self._has_free_slot():
            first = min(self.waiting)
            self.waiting.remove(first)
            self._virtual_time = max(self._virtual_time, first.rank[1])
            self.started_ms_by_ticket[first.ticket.ticket_id] = now_ms
            self._evict_idle_teams()
            yield first.ticket

    def pop_expired(self, now_ms: int) -> list[Ticket]:
        """Removes and returns the requests whose deadline has passed."""
        expired = [w for w in self.waiting if w.ticket.deadline_ms <= now_ms]
        for entry in expired:
            self.waiting.remove(entry)
        return [entry.ticket for entry in expired]

    def finish(self, ticket_id: str, now_ms: int) -> None:
        """Releases a slot, or removes a request that is still queued."""
        started_ms = self.started_ms_by_ticket.pop(ticket_id, None)
        if started_ms is None:
            self.waiting = [
                w for w in self.waiting if w.ticket.ticket_id != ticket_id
            ]
            return
        took_ms = now_ms - started_ms
        weight = SERVICE_TIME_EWMA_WEIGHT if self.mean_service_ms else 1.0
        self.mean_service_ms += weight * (took_ms - self.mean_service_ms)

    def deadline_failure(self) -> failures.Failure:
        """Returns the failure for a request that cannot meet its deadline."""
        return failures.DeadlineTooClose(
            detail=(
                f"The deadline cannot be met: {len(self.waiting)} requests "
                "are queued."
            ),
            retry_after_ms=self._retry_after_ms(),
        )

    def _has_free_slot(self) -> bool:
        return len(self.started_ms_by_ticket) < self.slots

    def _wait_ms(self, ahead: int) -> int:
        return int((ahead + 1) * self.mean_service_ms / self.slots)

    def _retry_after_ms(self) -> int:
        return max(MIN_RETRY_AFTER_MS, self._wait_ms(len(self.waiting)))

    def _evict_idle_teams(self) -> None:
        for team_id, finish in list(self._finish_time_by_team.items()):
            if finish <= self._virtual_time:
                del self._finish_time_by_team[team_id]
