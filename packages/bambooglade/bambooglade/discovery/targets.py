"""Targets, as they register themselves."""

from __future__ import annotations


class RegisteredTarget:
    """A target's own entry.

    Attributes:
        target_id: Id of this incarnation or of several ones in turn.
        born_ms: When the incarnation started, ms since the epoch; 0 unknown.
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
        "born_ms",
        "cold_remaining_ms",
        "is_draining",
        "service",
        "slots",
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
        born_ms: int = 0,
        is_draining: bool = False,
        cold_remaining_ms: int = 0,
    ) -> None:
        self.target_id = target_id
        self.born_ms = born_ms
        self.service = service
        self.address = address
        self.availability_zone = availability_zone
        self.slots = slots
        self.is_draining = is_draining
        self.cold_remaining_ms = cold_remaining_ms

    def __repr__(self) -> str:
        state = "draining" if self.is_draining else "ready"
        return (
            f"RegisteredTarget({self.target_id!r}, {self.service!r}, {state})"
        )
