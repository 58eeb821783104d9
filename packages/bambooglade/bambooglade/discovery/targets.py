"""Targets, as they register themselves."""

from __future__ import annotations


class RegisteredTarget:
    """A target's own entry.

    Attributes:
        target_id: Id of this incarnation or of several ones in turn.
        started_at_ms: When the incarnation started, ms since the epoch; 0
            unknown.
        service: Service that it serves.
        address: IP number and port.
        availability_zone: Where it stands.
        slots: Requests that it processes at once.
        is_draining: Whether it is about to stop.
        cold_remaining_ms: How much longer it is slow after its start.
    """

    __slots__ = (
        "address",
        "availability_zone",
        "cold_remaining_ms",
        "is_draining",
        "service",
        "slots",
        "started_at_ms",
        "target_id",
    )

    def __init__(
        self,
        *,
        target_id: str,
        service: str,
        address: tuple[str, int],
        availability_zone: str,
        slots: int,
        started_at_ms: int = 0,
        is_draining: bool = False,
        cold_remaining_ms: int = 0,
    ) -> None:
        self.target_id = target_id
        self.started_at_ms = started_at_ms
        self.service = service
        self.address = address
        self.availability_zone = availability_zone
        self.slots = slots
        self.is_draining = is_draining
        self.cold_remaining_ms = cold_remaining_ms

    def is_like(self, other: RegisteredTarget | None) -> bool:
        """Returns whether requests would be sent alike to both.

        How long a target is slow yet, and what it counts, changes with each
        entry that it writes and decides nothing.
        """
        return other is not None and (
            self.service == other.service
            and self.address == other.address
            and self.availability_zone == other.availability_zone
            and self.slots == other.slots
            and self.started_at_ms == other.started_at_ms
            and self.is_draining == other.is_draining
            and bool(self.cold_remaining_ms) == bool(other.cold_remaining_ms)
        )

    def __repr__(self) -> str:
        state = "draining" if self.is_draining else "ready"
        return (
            f"RegisteredTarget({self.target_id!r}, {self.service!r}, {state})"
        )
