"""Concurrency limits per kind of request, and fair queueing between teams.

Each kind of request has its own slots, so that a status check never queues
behind a plan. When the slots of a kind are taken, requests wait in start-time
fair queueing over the teams: each team's next request gets a virtual start
time, and the smallest goes first. A request that can't be served before its
deadline is refused at once.
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
"""Weight of a new observation in the mean service time."""

INITIAL_SERVICE_MS = 0.0
MIN_RETRY_AFTER_MS = 200
DEADLINE_MARGIN = 0.5
"""Share of the mean service time that has to fit in before the deadline.

Service times vary; shedding by the whole mean would refuse requests that would
have finished.
"""


class KindKey(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of request of a service."""

    service: identifiers.ServiceName
    request_kind: str


class Ticket(msgspec.Struct, frozen=True, kw_only=True):
    """A request that asks for a slot.

    Attributes:
        ticket_id: Unique among the requests in progress.
        kind: Its kind.
        team_id: Its team.
        team_weight: Share of the team; 1 for everybody by default.
        priority: Higher goes first, whatever the team.
        deadline_ms: When the caller gives up; milliseconds since the epoch.
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
    """The request has a slot."""

    ticket_id: str


class Shed(msgspec.Struct, frozen=True, kw_only=True):
    """The request is refused; it did not run."""

    ticket_id: str
    failure: failures.Failure


class AdmissionController:
    """Gives out slots.

    `submit`, `finish`, `cancel` and `tick` yield the requests that they admit
    or refuse, which may include the one that was offered.

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
        """Asks for a slot."""
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
        """Gives a slot back; doing so again has no effect."""
        kind = self._kind_by_ticket.pop(ticket_id, None)
        if kind is not None:
            queue = self._by_kind[kind]
            queue.finish(ticket_id, now_ms)
            yield from self._admit(queue, now_ms)

    def cancel(self, ticket_id: str, now_ms: int) -> Iterator[Admitted | Shed]:
        """Removes a request that waits or runs; its caller went away."""
        yield from self.finish(ticket_id, now_ms)

    def tick(self, now_ms: int) -> Iterator[Admitted | Shed]:
        """Refuses waiting requests that can't make their deadline any more."""
        for queue in self._by_kind.values():
            yield from self._admit(queue, now_ms)

    def running_count(self, kind: KindKey) -> int:
        """Returns the number of requests of a kind that have a slot."""
        queue = self._by_kind.get(kind)
        return len(queue.started_ms_by_ticket) if queue else 0

    def waiting_count(self, kind: KindKey) -> int:
        """Returns the number of requests of a kind that wait."""
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
class _Waiting:
    rank: tuple[int, float, int]
    ticket: Ticket = dataclasses.field(compare=False)


class _KindQueue:
    """Slots and waiting requests of one kind."""

    __slots__ = (
        "_counter",
        "_finish_by_team",
        "_virtual_time",
        "service_ms",
        "slots",
        "started_ms_by_ticket",
        "waiting",
    )

    def __init__(self) -> None:
        self.slots = 1
        self.service_ms = INITIAL_SERVICE_MS
        self.started_ms_by_ticket: dict[str, int] = {}
        self.waiting: list[_Waiting] = []
        self._counter = itertools.count()
        self._virtual_time = 0.0
        self._finish_by_team: dict[identifiers.TeamId, float] = {}

    def rejection(self, ticket: Ticket, now_ms: int) -> failures.Failure | None:
        """Returns why the request can't be taken, or None."""
        if self._has_free_slot():
            return None
        if len(self.waiting) >= self.slots * MAX_WAITING_PER_SLOT:
            return failures.Overloaded(
                detail=f"{len(self.waiting)} requests wait already.",
                retry_after_ms=self._retry_after_ms(),
            )
        ahead = sum(w.ticket.priority >= ticket.priority for w in self.waiting)
        needed_ms = self._wait_ms(ahead) + self.service_ms * DEADLINE_MARGIN
        if self.service_ms and now_ms + needed_ms > ticket.deadline_ms:
            return self.deadline_failure()
        return None

    def push(self, ticket: Ticket) -> None:
        """Adds a request that waits, ranked by its team's share."""
        start = max(
            self._virtual_time,
            self._finish_by_team.get(ticket.team_id, 0.0),
        )
        share = 1.0 / max(ticket.team_weight, 1e-6)
        self._finish_by_team[ticket.team_id] = start + share
        rank = (-ticket.priority, start, next(self._counter))
        self.waiting.append(_Waiting(rank=rank, ticket=ticket))

    def pop_admissible(self, now_ms: int) -> Iterator[Ticket]:
        """Yields the requests that may start now, in their order."""
        while self.waiting and self._has_free_slot():
            first = min(self.waiting)
            self.waiting.remove(first)
            self._virtual_time = max(self._virtual_time, first.rank[1])
            self.started_ms_by_ticket[first.ticket.ticket_id] = now_ms
            self._forget_idle_teams()
            yield first.ticket

    def pop_expired(self, now_ms: int) -> list[Ticket]:
        """Removes and returns the requests whose deadline has passed."""
        late = [w for w in self.waiting if w.ticket.deadline_ms <= now_ms]
        for entry in late:
            self.waiting.remove(entry)
        return [entry.ticket for entry in late]

    def finish(self, ticket_id: str, now_ms: int) -> None:
        """Notes that a request ended, or that it gave up waiting."""
        started_ms = self.started_ms_by_ticket.pop(ticket_id, None)
        if started_ms is None:
            self.waiting = [
                w for w in self.waiting if w.ticket.ticket_id != ticket_id
            ]
            return
        took_ms = now_ms - started_ms
        gain = SERVICE_TIME_EWMA_WEIGHT if self.service_ms else 1.0
        self.service_ms += gain * (took_ms - self.service_ms)

    def deadline_failure(self) -> failures.Failure:
        """Returns the refusal of a request that could not end in time."""
        return failures.DeadlineTooClose(
            detail=f"{len(self.waiting)} requests are ahead.",
            retry_after_ms=self._retry_after_ms(),
        )

    def _has_free_slot(self) -> bool:
        return len(self.started_ms_by_ticket) < self.slots

    def _wait_ms(self, ahead: int) -> int:
        return int((ahead + 1) * self.service_ms / self.slots)

    def _retry_after_ms(self) -> int:
        return max(MIN_RETRY_AFTER_MS, self._wait_ms(len(self.waiting)))

    def _forget_idle_teams(self) -> None:
        for team_id, finish in list(self._finish_by_team.items()):
            if finish <= self._virtual_time:
                del self._finish_by_team[team_id]
