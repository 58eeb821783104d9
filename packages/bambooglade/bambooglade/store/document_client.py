"""Client that executes document reads and writes on the key-value service."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import threading

from absl import logging

from bambooglade.core import clock as clocks
from bambooglade.core import effects
from bambooglade.store import call_budget
from bambooglade.store import call_queue
from bambooglade.store import services

THREAD_COUNT = 4

ResponseHandler = Callable[[effects.DocumentResponse], None]


class DocumentClient:
    """Queues requests and calls the service from a pool of threads.

    `submit` does not block. `tick` has to be called regularly, because queued
    requests may wait for the call budget.

    Args:
        store: The key-value service.
        budget: Call budget, shared with the watches of the same service.
        clock: Clock for rate limits, back-off and timeouts.
        on_response: Called with each response, on a thread of this client or
            from within `submit` when the queue is full.
    """

    __slots__ = (
        "_budget",
        "_clock",
        "_closed",
        "_executor",
        "_lock",
        "_on_response",
        "_queue",
        "_store",
    )

    def __init__(
        self,
        *,
        store: services.KeyValueStore,
        budget: call_budget.CallBudget,
        clock: clocks.Clock,
        on_response: ResponseHandler,
    ) -> None:
        self._store = store
        self._budget = budget
        self._queue = call_queue.CallQueue(budget)
        self._clock = clock
        self._on_response = on_response
        self._lock = threading.Lock()
        self._closed = False
        self._executor = futures.ThreadPoolExecutor(
            max_workers=THREAD_COUNT, thread_name_prefix="documents"
        )

    def submit(self, request: call_queue.Request) -> None:
        """Queues a request; its response is passed to `on_response`."""
        with self._lock:
            responses = list(self._queue.put(request, self._clock.now_ms()))
        self._deliver(responses)
        self._send_due()

    def tick(self) -> None:
        """Sends the requests that the budget allows and fails expired ones."""
        with self._lock:
            responses = list(self._queue.pop_expired(self._clock.now_ms()))
        self._deliver(responses)
        self._send_due()

    def set_fleet_size(self, fleet_size: int) -> None:
        """Sets the call rates to this instance's share in the fleet."""
        with self._lock:
            self._budget.set_fleet_size(fleet_size, now_ms=self._clock.now_ms())

    def acquire_read(self) -> bool:
        """Counts a read or watch against the budget if it may start now.

        Returns:
            Whether the caller may start the read or watch.
        """
        with self._lock:
            return self._budget.acquire_read(now_ms=self._clock.now_ms())

    def record_outcome(self, *, answered: bool) -> None:
        """Records the outcome of a call that `acquire_read` permitted.

        Args:
            answered: Whether the service responded.
        """
        with self._lock:
            if answered:
                self._budget.backoff.record_success()
            else:
                self._budget.backoff.record_failure(self._clock.now_ms())

    def close(self) -> None:
        """Waits for the calls in flight and stops the threads."""
        with self._lock:
            self._closed = True
        self._executor.shutdown(wait=True)

    def _send_due(self) -> None:
        with self._lock:
            if self._closed:
                return
            for request in self._queue.pop_due(self._clock.now_ms()):
                future = self._executor.submit(self._call, request)
                future.add_done_callback(_log_exception)

    def _call(self, request: call_queue.Request) -> None:
        """Calls the service; an exception still yields a failed response."""
        response = call_queue.failed_response(request)
        try:
            if isinstance(request, effects.ReadDocument):
                response = self._store.read(request)
            else:
                response = self._store.write(request)
        finally:
            self._complete(response)

    def _complete(self, response: effects.DocumentResponse) -> None:
        with self._lock:
            responses = list(
                self._queue.complete(response, self._clock.now_ms())
            )
        self._deliver(responses)
        self._send_due()

    def _deliver(self, responses: Iterable[effects.DocumentResponse]) -> None:
        for response in responses:
            self._on_response(response)

    def __repr__(self) -> str:
        return f"DocumentClient({self._queue!r})"


def _log_exception(future: futures.Future[None]) -> None:
    if not future.cancelled() and future.exception() is not None:
        logging.error("event=call_failed error=%r", future.exception())
