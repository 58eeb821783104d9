"""Blocks threads until their request gets a slot of its kind."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import threading

import result

from bambooglade.core import clock as clocks
from bambooglade.core import failures
from bambooglade.targets import admission

_POLL_S = 0.1

_Future = futures.Future[admission.Admitted | admission.Shed]


class CallerGoneFailure(failures.Failure, frozen=True, kw_only=True):
    """The caller disconnected before the request was dispatched."""

    kind = "caller_gone"
    http_status = 499
    remedy = "Send the request again with the same key."


_CALLER_GONE = CallerGoneFailure(
    detail="The caller disconnected before a slot was free."
)


class AdmissionGate:
    """Thread-safe, blocking wrapper of `admission.AdmissionController`.

    Args:
        clock: Source of the current time.

    Examples:
        >>> gate = AdmissionGate(clocks.ManualClock())
        >>> ticket = admission.Ticket(ticket_id="a", team_id="t1", slots=1,
        ...     kind=admission.KindKey(service="s", request_kind="k"),
        ...     deadline_ms=1_000)
        >>> gate.acquire(ticket, is_caller_gone=lambda: False)
        Ok(None)
        >>> gate.release(ticket)
    """

    __slots__ = ("_admission", "_clock", "_future_by_ticket", "_lock")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._admission = admission.AdmissionController()
        self._lock = threading.Lock()
        self._future_by_ticket: dict[str, _Future] = {}

    def acquire(
        self,
        ticket: admission.Ticket,
        *,
        is_caller_gone: Callable[[], bool],
        find_refusal: Callable[[], failures.Failure | None] = lambda: None,
    ) -> result.Result[None, failures.Failure]:
        """Waits until the request is admitted or rejected.

        Args:
            ticket: The request for a slot.
            is_caller_gone: Returns whether the caller has disconnected; polled
                while the request waits.
            find_refusal: Returns why the request can't be served by any target;
                None if it may wait. It is checked first, and polled while the
                request waits.

        Returns:
            The failure if the request was rejected, its deadline passed or its
            caller disconnected. The slot has to be released only after `Ok`.
        """
        refusal = find_refusal()
        if refusal is not None:
            return result.Err(refusal)
        future: _Future = futures.Future()
        with self._lock:
            self._future_by_ticket[ticket.ticket_id] = future
            self._complete_futures(
                self._admission.submit(ticket, self._clock.now_ms())
            )
        while True:
            try:
                decision = future.result(_POLL_S)
                break
            except futures.TimeoutError:
                if is_caller_gone():
                    return self._cancel(ticket, _CALLER_GONE)
                refusal = find_refusal()
                if refusal is not None:
                    return self._cancel(ticket, refusal)
                self._reject_if_expired(ticket)
        if isinstance(decision, admission.Shed):
            return result.Err(decision.failure)
        return result.Ok(None)

    def release(self, ticket: admission.Ticket) -> None:
        """Releases the slot of an admitted request."""
        with self._lock:
            self._complete_futures(
                self._admission.finish(ticket.ticket_id, self._clock.now_ms())
            )

    def _cancel(
        self, ticket: admission.Ticket, failure: failures.Failure
    ) -> result.Err[failures.Failure]:
        with self._lock:
            self._future_by_ticket.pop(ticket.ticket_id, None)
            self._complete_futures(
                self._admission.cancel(ticket.ticket_id, self._clock.now_ms())
            )
        return result.Err(failure)

    def _reject_if_expired(self, ticket: admission.Ticket) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= ticket.deadline_ms:
            with self._lock:
                self._complete_futures(self._admission.tick(now_ms))

    def _complete_futures(
        self, decisions: Iterable[admission.Admitted | admission.Shed]
    ) -> None:
        for decision in decisions:
            future = self._future_by_ticket.pop(decision.ticket_id, None)
            if future is not None:
                future.set_result(decision)

    def __repr__(self) -> str:
        return f"AdmissionGate({self._admission!r})"
