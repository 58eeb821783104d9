"""Calls to the platform's service by all nodes, calm and after an outage.

Each node asks for what a router asks for: it refills the documents of the
shards that it serves (a read, then a write), refreshes a page of the table,
and follows the table by a watch. While the service is down, each document
that could not be refilled is asked for again every few seconds. The refills
are a model with a stated rate; queue, budget and pauses are the product's.
"""

from __future__ import annotations

from collections.abc import Iterator
import random

import fire
import msgspec

from bambooglade.core import effects
from bambooglade.store import call_budget
from bambooglade.store import call_queue
from bambooglade.store import prefix_watch
from bambooglade_standins.virtual import event_queue

TICK_MS = 100
LATENCY_MS = 5
CALL_TIMEOUT_MS = 3_000
CALM_MS = 120_000
OUTAGE_MS = 120_000
AFTER_MS = 60_000
RECOVERY_LIMIT_MS = 600_000
OVERDUE_MS = 15_000
RETRY_MS = 2_000
REFRESH_MS = 1_000
REFRESH_FLEET = 9
_MS_PER_S = 1_000


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """A deployment.

    Attributes:
        nodes: Instances.
        documents: Shard documents of all zones together.
        refill_period_ms: Mean pause between two refills of a document.
    """

    nodes: int
    documents: int
    refill_period_ms: int


TODAY = Size(nodes=9, documents=64 * 4, refill_period_ms=30_000)
PLANNED = Size(nodes=360, documents=4_096 * 7, refill_period_ms=300_000)


class Phase(msgspec.Struct, frozen=True, kw_only=True):
    """Calls a second of all nodes in one phase; `worst` is the worst second."""

    nodes: int
    phase: str
    budgeted: bool
    reads_per_s: float
    writes_per_s: float
    worst_reads: int
    worst_writes: int
    watches: int

    def __str__(self) -> str:
        return (
            f"experiment=service_calls nodes={self.nodes} phase={self.phase} "
            f"budget={'on' if self.budgeted else 'off'} "
            f"reads_per_s={self.reads_per_s:.1f} "
            f"writes_per_s={self.writes_per_s:.1f} "
            f"worst_reads_in_a_second={self.worst_reads} "
            f"worst_writes_in_a_second={self.worst_writes} "
            f"watches={self.watches} "
            f"limit_reads_per_s={call_budget.READS_PER_S} "
            f"limit_writes_per_s={call_budget.WRITES_PER_S}"
        )


class Recovery(msgspec.Struct, frozen=True, kw_only=True):
    """When no document was overdue any more after an outage."""

    nodes: int
    budgeted: bool
    seconds: int
    overdue_documents: int

    def __str__(self) -> str:
        return (
            f"experiment=service_calls nodes={self.nodes} phase=recovery "
            f"budget={'on' if self.budgeted else 'off'} "
            f"seconds={self.seconds} "
            f"overdue_documents={self.overdue_documents}"
        )


class _Service:
    """Counts calls a second; answers all, or none while it is down."""

    def __init__(self, queue: event_queue.EventQueue) -> None:
        self._queue = queue
        self.down = False
        self.reads_by_second: dict[int, int] = {}
        self.writes_by_second: dict[int, int] = {}

    def call(self, node: _Node, request: call_queue.Request) -> None:
        """Takes a call and answers it after the latency or the time-out."""
        is_read = isinstance(request, effects.ReadDocument)
        counts = self.reads_by_second if is_read else self.writes_by_second
        second = self._queue.now_ms // _MS_PER_S
        counts[second] = counts.get(second, 0) + 1
        if self.down:
            no_answer = call_queue.failed_response(request)
            self._answer(node, no_answer, CALL_TIMEOUT_MS)
        elif is_read:
            read = effects.DocumentRead(key=request.key, revision=1, value=b"")
            self._answer(node, read, LATENCY_MS)
        else:
            applied = effects.WriteApplied(key=request.key, revision=1)
            self._answer(node, applied, LATENCY_MS)

    def _answer(
        self, node: _Node, answer: effects.DocumentAnswer, delay_ms: int
    ) -> None:
        self._queue.after(
            delay_ms=delay_ms, action=lambda: node.answered(answer)
        )


class _Node:
    """What one router asks of the service."""

    def __init__(
        self,
        *,
        size: Size,
        queue: event_queue.EventQueue,
        service: _Service,
        budgeted: bool,
        seed: int,
    ) -> None:
        self._random = random.Random(seed)
        self._size = size
        self._queue = queue
        self._service = service
        self._budgeted = budgeted
        budget = call_budget.CallBudget(
            random_source=self._random, now_ms=queue.now_ms
        )
        budget.set_fleet_size(size.nodes, now_ms=queue.now_ms)
        self._calls = call_queue.CallQueue(budget)
        self._due_ms_by_key = {
            f"accounts/{index}": self._random.randrange(size.refill_period_ms)
            for index in range(size.documents // size.nodes)
        }
        self._asked_since_by_key: dict[str, int] = {}
        self._refresh_ms = self._random.randrange(REFRESH_MS)
        self._watch_ms = self._random.randrange(prefix_watch.WATCH_TIMEOUT_MS)
        self._schedule(self._random.randrange(TICK_MS))

    @property
    def overdue(self) -> int:
        """Documents that are asked for since more than `OVERDUE_MS`."""
        limit_ms = self._queue.now_ms - OVERDUE_MS
        return sum(
            since_ms < limit_ms
            for since_ms in self._asked_since_by_key.values()
        )

    def answered(self, answer: effects.DocumentAnswer) -> None:
        """Takes an answer of the service."""
        now_ms = self._queue.now_ms
        if not self._budgeted:
            self._take_answer(answer)
            return
        for each in self._calls.complete(answer, now_ms):
            self._take_answer(each)
        self._send_due()

    def _schedule(self, delay_ms: int) -> None:
        self._queue.after(delay_ms=delay_ms, action=self._tick)

    def _tick(self) -> None:
        self._schedule(TICK_MS)
        for request in self._wanted():
            self._submit(request)
        for answer in list(self._calls.pop_expired(self._queue.now_ms)):
            self._take_answer(answer)
        self._send_due()

    def _wanted(self) -> Iterator[effects.ReadDocument]:
        now_ms = self._queue.now_ms
        for key, due_ms in self._due_ms_by_key.items():
            if due_ms <= now_ms:
                self._asked_since_by_key.setdefault(key, now_ms)
                retry_ms = self._random.randrange(RETRY_MS)
                self._due_ms_by_key[key] = now_ms + RETRY_MS + retry_ms
                yield effects.ReadDocument(key=key)
        if now_ms >= self._refresh_ms:
            fleet = max(1, self._size.nodes // REFRESH_FLEET)
            self._refresh_ms = now_ms + REFRESH_MS * fleet
            yield effects.ReadDocument(key="table/0")
        if now_ms >= self._watch_ms:
            # A watch that ended reads the prefix and is started again.
            down_ms = RETRY_MS // 2
            again_ms = prefix_watch.WATCH_TIMEOUT_MS * 7 // 8
            self._watch_ms = now_ms + (
                down_ms if self._service.down else again_ms
            )
            yield effects.ReadDocument(key="watch")
            yield effects.ReadDocument(key="prefix")

    def _submit(self, request: call_queue.Request) -> None:
        if not self._budgeted:
            self._service.call(self, request)
            return
        for answer in list(self._calls.put(request, self._queue.now_ms)):
            self._take_answer(answer)

    def _send_due(self) -> None:
        for request in list(self._calls.pop_due(self._queue.now_ms)):
            self._service.call(self, request)

    def _take_answer(self, answer: effects.DocumentAnswer) -> None:
        if not answer.key.startswith("accounts/"):
            return
        if isinstance(answer, effects.DocumentRead):
            self._submit(
                effects.WriteDocument(
                    key=answer.key, expected_revision=1, value=b""
                )
            )
        elif isinstance(answer, effects.WriteApplied):
            self._asked_since_by_key.pop(answer.key, None)
            pause_ms = self._random.expovariate(1 / self._size.refill_period_ms)
            self._due_ms_by_key[answer.key] = self._queue.now_ms + int(pause_ms)


def measure(
    size: Size, *, budgeted: bool, seed: int = 1
) -> Iterator[Phase | Recovery]:
    """Measures a calm time, an outage, and the minute after it."""
    queue = event_queue.EventQueue()
    service = _Service(queue)
    nodes = [
        _Node(
            size=size,
            queue=queue,
            service=service,
            budgeted=budgeted,
            seed=seed * 1_000 + index,
        )
        for index in range(size.nodes)
    ]
    queue.run_for(duration_ms=CALM_MS)
    yield _phase(service, size, "calm", budgeted, 0, CALM_MS)
    service.down = True
    queue.run_for(duration_ms=OUTAGE_MS)
    service.down = False
    ended_ms = queue.now_ms
    yield _phase(service, size, "outage", budgeted, CALM_MS, ended_ms)
    recovery_ms = _run_minute(queue, nodes)
    yield _phase(
        service, size, "after_outage", budgeted, ended_ms, queue.now_ms
    )
    while recovery_ms is None and queue.now_ms - ended_ms < RECOVERY_LIMIT_MS:
        recovery_ms = _run_second(queue, nodes, ended_ms)
    yield Recovery(
        nodes=size.nodes,
        budgeted=budgeted,
        seconds=(recovery_ms or RECOVERY_LIMIT_MS) // _MS_PER_S,
        overdue_documents=sum(node.overdue for node in nodes),
    )


def _run_minute(
    queue: event_queue.EventQueue, nodes: list[_Node]
) -> int | None:
    """Runs a minute; returns after how long no document was overdue."""
    recovery_ms = None
    started_ms = queue.now_ms
    while queue.now_ms - started_ms < AFTER_MS:
        elapsed_ms = _run_second(queue, nodes, started_ms)
        recovery_ms = recovery_ms or elapsed_ms
    return recovery_ms


def _run_second(
    queue: event_queue.EventQueue, nodes: list[_Node], since_ms: int
) -> int | None:
    queue.run_for(duration_ms=_MS_PER_S)
    if any(node.overdue for node in nodes):
        return None
    return queue.now_ms - since_ms


def _phase(
    service: _Service,
    size: Size,
    name: str,
    budgeted: bool,
    from_ms: int,
    to_ms: int,
) -> Phase:
    seconds = range(from_ms // _MS_PER_S, to_ms // _MS_PER_S)
    reads = [service.reads_by_second.get(second, 0) for second in seconds]
    writes = [service.writes_by_second.get(second, 0) for second in seconds]
    return Phase(
        nodes=size.nodes,
        phase=name,
        budgeted=budgeted,
        reads_per_s=sum(reads) / len(reads),
        writes_per_s=sum(writes) / len(writes),
        worst_reads=max(reads),
        worst_writes=max(writes),
        watches=size.nodes,
    )


def lines(*, seed: int = 1) -> Iterator[str]:
    """Yields the phases for both sizes, with the budget and without."""
    for size in (TODAY, PLANNED):
        for budgeted in (True, False):
            yield from map(str, measure(size, budgeted=budgeted, seed=seed))


def main(*, seed: int = 1) -> None:
    """Prints the lines."""
    for line in lines(seed=seed):
        print(line, flush=True)


if __name__ == "__main__":
    fire.Fire(main)
