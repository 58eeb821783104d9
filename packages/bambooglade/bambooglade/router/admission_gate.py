"""Lets threads wait for a slot of their kind of request."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import threading

import result

from bambooglade.core import clock as clocks
from bambooglade.core import failures
from bambooglade.targets import admission

_POLL_S = 0.05


class CallerGoneFailure(failures.Failure, frozen=True, kw_only=True):
    """The caller went away before the request was dispatched."""

    kind = "caller_gone"
    http_status = 499
    remedy = "Send the request again with the same key."


class AdmissionGate:
    """Thread-safe front of `admission.Admission`.

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

    __slots__ = ("_admission", "_changed", "_clock", "_decision_by_ticket")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._admission = admission.Admission()
        self._changed = threading.Condition()
        self._decision_by_ticket: dict[
            str, admission.Admitted | admission.Shed
        ] = {}

    def enter(
        self, ticket: admission.Ticket, *, gone: Callable[[], bool]
    ) -> result.Result[None, failures.Failure]:
        """Waits for a slot, or is refused.

        Args:
            ticket: What is asked for.
            gone: Tells whether the caller went away.
        """
        with self._changed:
            self._note(self._admission.offer(ticket, self._clock.now_ms()))
            while ticket.ticket_id not in self._decision_by_ticket:
                self._changed.wait(_POLL_S)
                if gone():
                    return self._give_up(ticket)
                self._note(self._admission.tick(self._clock.now_ms()))
            decision = self._decision_by_ticket.pop(ticket.ticket_id)
        if isinstance(decision, admission.Shed):
            return result.Err(decision.failure)
        return result.Ok(None)

    def leave(self, ticket: admission.Ticket) -> None:
        """Gives the slot back."""
        with self._changed:
            self._note(
                self._admission.finish(ticket.ticket_id, self._clock.now_ms())
            )

    def _give_up(
        self, ticket: admission.Ticket
    ) -> result.Err[failures.Failure]:
        self._decision_by_ticket.pop(ticket.ticket_id, None)
        self._note(
            self._admission.give_up(ticket.ticket_id, self._clock.now_ms())
        )
        return result.Err(CallerGoneFailure(detail="The caller went away."))

    def _note(
        self, decisions: Iterable[admission.Admitted | admission.Shed]
    ) -> None:
        for decision in decisions:
            self._decision_by_ticket[decision.ticket_id] = decision
            self._changed.notify_all()

    def __repr__(self) -> str:
        return f"AdmissionGate({self._admission!r})"
