"""Makes the calls to the key-value service that the decisions ask for."""

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

THREADS = 4

ResponseHandler = Callable[[effects.DocumentAnswer], None]


class DocumentClient:
    """Queues requests, calls the service on threads, delivers the answers.

    `submit` does not block. `tick` has to be called regularly, as requests may
    wait for the budget.

    Args:
        store: The service.
        budget: Shared with the watches of the same service.
        clock: Tells the time.
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
            max_workers=THREADS, thread_name_prefix="documents"
        )

    def submit(self, request: call_queue.Request) -> None:
        """Queues a request; its answer comes through `on_response`."""
        with self._lock:
            answers = list(self._queue.put(request, self._clock.now_ms()))
        self._deliver_all(answers)
        self._send_due()

    def tick(self) -> None:
        """Sends what may be sent by now, and ends what waited too long."""
        with self._lock:
            answers = list(self._queue.pop_expired(self._clock.now_ms()))
        self._deliver_all(answers)
        self._send_due()

    def set_fleet_size(self, fleet_size: int) -> None:
        """Takes the share of a fleet of this size."""
        with self._lock:
            self._budget.set_fleet_size(fleet_size, now_ms=self._clock.now_ms())

    def acquire_read(self) -> bool:
        """Returns whether a read or a watch may start now, and counts it."""
        with self._lock:
            return self._budget.acquire_read(now_ms=self._clock.now_ms())

    def record_outcome(self, *, answered: bool) -> None:
        """Notes how a call fared that was made with `acquire_read`."""
        with self._lock:
            if answered:
                self._budget.backoff.record_success()
            else:
                self._budget.backoff.record_failure(self._clock.now_ms())

    def close(self) -> None:
        """Waits for the calls in progress and stops the threads."""
        with self._lock:
            self._closed = True
        self._executor.shutdown(wait=True)

    def _send_due(self) -> None:
        with self._lock:
            if self._closed:
                return
            for request in self._queue.pop_due(self._clock.now_ms()):
                called = self._executor.submit(self._call, request)
                called.add_done_callback(_log_error)

    def _call(self, request: call_queue.Request) -> None:
        """Calls the service; every request is answered, whatever happens."""
        answer = call_queue.failed_response(request)
        try:
            if isinstance(request, effects.ReadDocument):
                answer = self._store.read(request)
            else:
                answer = self._store.write(request)
        finally:
            self._answered(answer)

    def _answered(self, answer: effects.DocumentAnswer) -> None:
        with self._lock:
            answers = list(self._queue.complete(answer, self._clock.now_ms()))
        self._deliver_all(answers)
        self._send_due()

    def _deliver_all(self, answers: Iterable[effects.DocumentAnswer]) -> None:
        for answer in answers:
            self._on_response(answer)

    def __repr__(self) -> str:
        return f"DocumentClient({self._queue!r})"


def _log_error(called: futures.Future[None]) -> None:
    if not called.cancelled() and called.exception() is not None:
        logging.error("event=call_failed error=%r", called.exception())
