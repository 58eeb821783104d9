"""Faults that a stand-in target shows on request."""

from __future__ import annotations

import threading

import msgspec


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Switches of one target; all off by default.

    Attributes:
        die_before_answer: Close the connection before running the request.
        die_after_run: Run the request and close without an answer.
        die_after_head: Close the connection after the head and a comment.
        die_at_token: Close the connection before this token; None for never.
        crossed: Answer with the id of another request.
        doubled: Send each event twice.
        skip_token: Leave out this token; None for none.
        truncated: End the answer before its end mark, as if it were whole.
        delay_ms: Wait before the answer.
        slow_factor: Multiplies the time per token.
        refuse_status: Refuse with this HTTP status and run nothing; 0 is off.
        refuse_pause_s: Value of `Retry-After` in the refusal; empty for none.
        remaining: How many requests are affected; None for all.
    """

    die_before_answer: bool = False
    die_after_run: bool = False
    die_after_head: bool = False
    die_at_token: int | None = None
    crossed: bool = False
    doubled: bool = False
    skip_token: int | None = None
    truncated: bool = False
    delay_ms: int = 0
    slow_factor: float = 1.0
    refuse_status: int = 0
    refuse_pause_s: str = ""
    remaining: int | None = None

    def refusal_headers(self) -> dict[str, str]:
        """Returns the headers of the response with `refuse_status`."""
        return (
            {"Retry-After": self.refuse_pause_s} if self.refuse_pause_s else {}
        )


class InjectedCloseError(ConnectionError):
    """Makes the server close the connection without ending the answer."""


class FaultSwitch:
    """Holds the faults in force; callable from any thread.

    Examples:
        >>> switch = FaultSwitch(Faults(crossed=True, remaining=1))
        >>> switch.next().crossed, switch.next().crossed
        (True, False)
    """

    __slots__ = ("_faults", "_lock")

    def __init__(self, faults: Faults | None = None) -> None:
        self._lock = threading.Lock()
        self.set(faults or Faults())

    def set(self, faults: Faults) -> None:
        """Replaces the faults; keeps a copy, since `remaining` counts down."""
        with self._lock:
            self._faults = msgspec.structs.replace(faults)

    def next(self) -> Faults:
        """Returns the faults for the next request."""
        with self._lock:
            faults = self._faults
            if faults.remaining is None:
                return faults
            if faults.remaining <= 0:
                return Faults()
            faults.remaining -= 1
            return faults

    def __repr__(self) -> str:
        return f"FaultSwitch({self._faults!r})"
