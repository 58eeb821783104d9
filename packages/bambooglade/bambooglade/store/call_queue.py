"""Queue of document requests that wait for the call budget; no I/O."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from bambooglade.core import effects
from bambooglade.store import call_budget

MAX_QUEUED = 5_000
QUEUE_TIMEOUT_MS = 5_000
"""Requests queued for this long fail without a call."""

Request = effects.ReadDocument | effects.WriteDocument


class _QueuedRequest(msgspec.Struct, frozen=True, kw_only=True):
    request: Request
    queued_at_ms: int


class CallQueue:
    """Merges, orders and bounds the requests of one instance.

    Queued reads of the same key are merged into one call. Writes of the same
    key are sent one at a time; a write whose expected revision is older than
    the revision of a write just applied conflicts without a call. Every
    request gets one response, except that merged reads share one.

    Args:
        budget: Limits the rate of the calls.
    """

    __slots__ = ("_budget", "_in_flight", "_reads", "_writes")

    def __init__(self, budget: call_budget.CallBudget) -> None:
        self._budget = budget
        self._reads: dict[str, _QueuedRequest] = {}
        self._writes: dict[str, list[_QueuedRequest]] = {}
        self._in_flight: set[str] = set()

    def put(
        self, request: Request, now_ms: int
    ) -> Iterator[effects.DocumentResponse]:
        """Queues a request; yields a failed response if the queue is full."""
        if len(self) >= MAX_QUEUED:
            yield failed_response(request)
            return
        queued = _QueuedRequest(request=request, queued_at_ms=now_ms)
        if isinstance(request, effects.ReadDocument):
            self._reads.setdefault(request.key, queued)
        else:
            self._writes.setdefault(request.key, []).append(queued)

    def pop_due(self, now_ms: int) -> Iterator[Request]:
        """Yields the requests that the budget allows now, writes first."""
        for key in [key for key in self._writes if key not in self._in_flight]:
            if not self._budget.acquire_write(now_ms=now_ms):
                break
            self._in_flight.add(key)
            yield self._pop_write(key)
        for key in list(self._reads):
            if not self._budget.acquire_read(now_ms=now_ms):
                break
            yield self._reads.pop(key).request

    def complete(
        self, response: effects.DocumentResponse, now_ms: int
    ) -> Iterator[effects.DocumentResponse]:
        """Processes the response to a call.

        Yields:
            The response, then conflicts of queued writes that an applied write
            made outdated.
        """
        is_failure = isinstance(
            response, (effects.ReadFailed, effects.WriteUncertain)
        )
        if is_failure:
            self._budget.backoff.record_failure(now_ms)
        else:
            self._budget.backoff.record_success()
        if isinstance(response, (effects.DocumentRead, effects.ReadFailed)):
            yield response
            return
        self._in_flight.discard(response.key)
        yield response
        if isinstance(response, effects.WriteApplied):
            yield from self._pop_outdated_writes(
                response.key, response.revision
            )

    def pop_expired(self, now_ms: int) -> Iterator[effects.DocumentResponse]:
        """Removes requests queued too long and yields failed responses."""
        for key, queued in list(self._reads.items()):
            if now_ms - queued.queued_at_ms >= QUEUE_TIMEOUT_MS:
                del self._reads[key]
                yield failed_response(queued.request)
        for key in list(self._writes):
            yield from self._pop_expired_writes(key, now_ms)

    def _pop_write(self, key: str) -> Request:
        queue = self._writes[key]
        request = queue.pop(0).request
        if not queue:
            del self._writes[key]
        return request

    def _pop_outdated_writes(
        self, key: str, revision: int
    ) -> Iterator[effects.DocumentResponse]:
        """Yields conflicts of queued writes that expect an older revision."""
        for queued in self._writes.pop(key, []):
            if queued.request.expected_revision < revision:
                yield effects.WriteConflicted(key=key)
            else:
                self._writes.setdefault(key, []).append(queued)

    def _pop_expired_writes(
        self, key: str, now_ms: int
    ) -> Iterator[effects.DocumentResponse]:
        queue = self._writes.pop(key)
        for queued in queue:
            if now_ms - queued.queued_at_ms >= QUEUE_TIMEOUT_MS:
                yield failed_response(queued.request)
            else:
                self._writes.setdefault(key, []).append(queued)

    def __len__(self) -> int:
        return len(self._reads) + sum(map(len, self._writes.values()))

    def __repr__(self) -> str:
        return f"CallQueue(queued={len(self)}, writing={len(self._in_flight)})"


def failed_response(request: Request) -> effects.DocumentResponse:
    """Returns the response to a request that the service did not answer."""
    if isinstance(request, effects.ReadDocument):
        return effects.ReadFailed(key=request.key)
    return effects.WriteUncertain(key=request.key)
