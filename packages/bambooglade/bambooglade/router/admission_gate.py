"""Lets threads wait for a slot of their kind of request."""

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
    """The caller went away before the request was dispatched."""

    kind = "caller_gone"
    http_status = 499
    remedy = "Send the request again with the same key."


class AdmissionGate:
    """Thread-safe front of `admission.AdmissionController`.

    Args:
        clock: The clock.

    Examples:
        >>> gate = AdmissionGate(clocks.ManualClock())
        >>> ticket = admission.Ticket(ticket_id="a", team_id="t1", slots=1,
        ...     kind=admission.KindKey(service="s", request_kind="k"),
        ...     deadline_ms=1_000)
        >>> gate.enter(ticket, gone=lambda: False)
        Ok(None)
        >>> gate.leave(ticket)
    """

    __slots__ = ("_admission", "_clock", "_future_by_ticket", "_lock")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._admission = admission.AdmissionController()
        self._lock = threading.Lock()
        self._future_by_ticket: dict[str, _Future] = {}

    def enter(
        self, ticket: admission.Ticket, *, gone: Callable[[], bool]
    ) -> result.Result[None, failures.Failure]:
        """Waits for a slot, or is refused.

        Args:
            ticket: What is asked for.
            gone: Tells whether the caller went away.
        """
        future: _Future = futures.Future()
        with self._lock:
            self._future_by_ticket[ticket.ticket_id] = future
            self._note(self._admission.submit(ticket, self._clock.now_ms()))
        while True:
            try:
                decision = future.result(_POLL_S)
                break
            except futures.TimeoutError:
                if gone():
                    return self._give_up(ticket)
                self._expire(ticket)
        if isinstance(decision, admission.Shed):
            return result.Err(decision.failure)
        return result.Ok(None)

    def leave(self, ticket: admission.Ticket) -> None:
        """Gives the slot back."""
        with self._lock:
            self._note(
                self._admission.finish(ticket.ticket_id, self._clock.now_ms())
            )

    def _give_up(
        self, ticket: admission.Ticket
    ) -> result.Err[failures.Failure]:
        with self._lock:
            self._future_by_ticket.pop(ticket.ticket_id, None)
            self._note(
                self._admission.cancel(ticket.ticket_id, self._clock.now_ms())
            )
        return result.Err(CallerGoneFailure(detail="The caller went away."))

    def _expire(self, ticket: admission.Ticket) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= ticket.deadline_ms:
            with self._lock:
                self._note(self._admission.tick(now_ms))

    def _note(
        self, decisions: Iterable[admission.Admitted | admission.Shed]
    ) -> None:
        for decision in decisions:
            future = self._future_by_ticket.pop(decision.ticket_id, None)
            if future is not None:
                future.set_result(decision)

    def __repr__(self) -> str:
        return f"AdmissionGate({self._admission!r})"
