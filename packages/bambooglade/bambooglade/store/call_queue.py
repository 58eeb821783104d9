"""Requests for documents that wait for the call budget; pure."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from bambooglade.core import effects
from bambooglade.store import call_budget

MAX_QUEUED = 5_000
QUEUE_TIMEOUT_MS = 5_000
"""A request that waited so long is answered without a call."""

Request = effects.ReadDocument | effects.WriteDocument


class _Waiting(msgspec.Struct, frozen=True, kw_only=True):
    request: Request
    since_ms: int


class CallQueue:
    """Merges, orders and bounds the requests of one instance.

    Waiting reads of a key are merged into one. Writes of a key are made one
    after the other; one whose expected revision the service has already
    passed is answered as conflicted without a call. Every request is answered
    once, except that merged reads are answered together.

    Args:
        budget: Says when a call may be made.
    """

    __slots__ = ("_budget", "_in_flight", "_reads", "_writes")

    def __init__(self, budget: call_budget.CallBudget) -> None:
        self._budget = budget
        self._reads: dict[str, _Waiting] = {}
        self._writes: dict[str, list[_Waiting]] = {}
        self._in_flight: set[str] = set()

    def put(
        self, request: Request, now_ms: int
    ) -> Iterator[effects.DocumentAnswer]:
        """Queues a request; yields its answer if the queue is full."""
        if len(self) >= MAX_QUEUED:
            yield failed_response(request)
            return
        waiting = _Waiting(request=request, since_ms=now_ms)
        if isinstance(request, effects.ReadDocument):
            self._reads.setdefault(request.key, waiting)
        else:
            self._writes.setdefault(request.key, []).append(waiting)

    def pop_due(self, now_ms: int) -> Iterator[Request]:
        """Yields the requests that are to be sent now; writes go first."""
        for key in [key for key in self._writes if key not in self._in_flight]:
            if not self._budget.acquire_write(now_ms=now_ms):
                break
            self._in_flight.add(key)
            yield self._next_write(key)
        for key in list(self._reads):
            if not self._budget.acquire_read(now_ms=now_ms):
                break
            yield self._reads.pop(key).request

    def complete(
        self, answer: effects.DocumentAnswer, now_ms: int
    ) -> Iterator[effects.DocumentAnswer]:
        """Notes an answer, and yields it with those that follow from it."""
        lost = isinstance(answer, (effects.ReadFailed, effects.WriteUncertain))
        if lost:
            self._budget.backoff.record_failure(now_ms)
        else:
            self._budget.backoff.record_success()
        if isinstance(answer, (effects.DocumentRead, effects.ReadFailed)):
            yield answer
            return
        self._in_flight.discard(answer.key)
        yield answer
        if isinstance(answer, effects.WriteApplied):
            yield from self._overtaken(answer.key, answer.revision)

    def pop_expired(self, now_ms: int) -> Iterator[effects.DocumentAnswer]:
        """Answers the requests that waited too long."""
        for key, waiting in list(self._reads.items()):
            if now_ms - waiting.since_ms >= QUEUE_TIMEOUT_MS:
                del self._reads[key]
                yield failed_response(waiting.request)
        for key in list(self._writes):
            yield from self._expired_writes(key, now_ms)

    def _next_write(self, key: str) -> Request:
        queued = self._writes[key]
        request = queued.pop(0).request
        if not queued:
            del self._writes[key]
        return request

    def _overtaken(
        self, key: str, revision: int
    ) -> Iterator[effects.DocumentAnswer]:
        """Answers the waiting writes that were based on an older revision."""
        for waiting in self._writes.pop(key, []):
            if waiting.request.expected_revision < revision:
                yield effects.WriteConflicted(key=key)
            else:
                self._writes.setdefault(key, []).append(waiting)

    def _expired_writes(
        self, key: str, now_ms: int
    ) -> Iterator[effects.DocumentAnswer]:
        queued = self._writes.pop(key)
        for waiting in queued:
            if now_ms - waiting.since_ms >= QUEUE_TIMEOUT_MS:
                yield failed_response(waiting.request)
            else:
                self._writes.setdefault(key, []).append(waiting)

    def __len__(self) -> int:
        return len(self._reads) + sum(map(len, self._writes.values()))

    def __repr__(self) -> str:
        return f"CallQueue(waiting={len(self)}, writing={len(self._in_flight)})"


def failed_response(request: Request) -> effects.DocumentAnswer:
    """Returns the answer to a request that the service did not answer."""
    if isinstance(request, effects.ReadDocument):
        return effects.ReadFailed(key=request.key)
    return effects.WriteUncertain(key=request.key)
