"""Decides for how long an overloaded instance stays out of rotation; no I/O.

A load balancer that hashes callers sends a large caller back to the same
instance as soon as that is ready again, and overloads it anew: an instance that
leaves the rotation for a second at a time spends most of its time overloaded.
A return that ends in overload therefore makes the next leave several times as
long. The caller meets other instances meanwhile, until one can serve it.
Requests that still arrive are served as far as there is room.
"""

from __future__ import annotations

FIRST_LEAVE_MS = 12_000
"""First time out of rotation.

The balancer needs 2 s to notice, so that the caller meets five others in it.
"""

LEAVE_FACTOR = 4

MAX_LEAVE_MS = 60_000
"""Longest time; by then the demand may have changed."""

RELAPSE_MS = 12_000
"""Time after a return in which overload shows that it was too early."""


class Rotation:
    """Whether an instance should get new connections.

    Examples:
        >>> rotation = Rotation()
        >>> rotation.record(is_overloaded=True, now_ms=0)
        >>> rotation.is_out(now_ms=11_999), rotation.is_out(now_ms=12_000)
        (True, False)
        >>> rotation.record(is_overloaded=True, now_ms=14_000)
        >>> rotation.is_out(now_ms=61_999), rotation.is_out(now_ms=62_000)
        (True, False)
    """

    __slots__ = ("_leave_ms", "_out_until_ms")

    def __init__(self) -> None:
        self._leave_ms = 0
        self._out_until_ms: int | None = None

    def record(self, *, is_overloaded: bool, now_ms: int) -> None:
        """Records whether the instance is overloaded.

        Overload while it is out keeps it out for the same time again, since
        callers on open connections may still press.
        """
        if not is_overloaded:
            return
        if (
            self._out_until_ms is None
            or now_ms >= self._out_until_ms + RELAPSE_MS
        ):
            self._leave_ms = FIRST_LEAVE_MS
        elif now_ms >= self._out_until_ms:
            self._leave_ms = min(MAX_LEAVE_MS, LEAVE_FACTOR * self._leave_ms)
        self._out_until_ms = now_ms + self._leave_ms

    def is_out(self, now_ms: int) -> bool:
        """Returns whether new connections should go to other instances."""
        return self._out_until_ms is not None and now_ms < self._out_until_ms

    def __repr__(self) -> str:
        return f"Rotation(leave_ms={self._leave_ms})"
