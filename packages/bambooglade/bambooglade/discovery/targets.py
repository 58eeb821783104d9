"""Targets that are registered in the store."""

from __future__ import annotations

import msgspec


class TargetRun(msgspec.Struct, frozen=True, array_like=True):
    """One run of a target; successive runs may share its id.

    Attributes:
        target_id: Id of the target.
        started_at_ms: Start of the run in ms since the epoch; 0 if unknown.
    """

    target_id: str
    started_at_ms: int = 0


class RegisteredTarget:
    """Entry that a target has registered.

    Attributes:
        target_id: Id of the target; successive incarnations may share it.
        started_at_ms: Start time of the incarnation in ms since the epoch; 0 if
            unknown.
        service: Service that the target provides.
        address: IP address and port.
        availability_zone: Availability zone that the target runs in.
        slots: Number of requests that the target processes concurrently.
        is_draining: Whether the target accepts no new requests, before it
            stops.
        cold_remaining_ms: Remaining time for which the target is slow after its
            start.
        software_version: Version of the target's software; empty if unknown.
    """

    __slots__ = (
        "address",
        "availability_zone",
        "cold_remaining_ms",
        "is_draining",
        "service",
        "slots",
        "software_version",
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
        software_version: str = "",
    ) -> None:
        self.target_id = target_id
        self.started_at_ms = started_at_ms
        self.service = service
        self.address = address
        self.availability_zone = availability_zone
        self.slots = slots
        self.is_draining = is_draining
        self.cold_remaining_ms = cold_remaining_ms
        self.software_version = software_version

    @property
    def run(self) -> TargetRun:
        """The run of the target that registered this entry."""
        return TargetRun(self.target_id, self.started_at_ms)

    def is_equivalent_to(self, other: RegisteredTarget | None) -> bool:
        """Returns whether both entries lead to the same routing decisions.

        The remaining cold time falls with each entry that a target writes,
        which does not affect routing: the time of the first entry is counted
        down. A time that has not fallen means that the target is cold for
        longer than the entry before had told. Whether a time that has fallen
        prolongs it depends on when the entries were read, which the caller
        checks.

        Args:
            other: The entry before; None if there was none.
        """
        return other is not None and (
            self.service == other.service
            and self.address == other.address
            and self.availability_zone == other.availability_zone
            and self.slots == other.slots
            and self.started_at_ms == other.started_at_ms
            and self.is_draining == other.is_draining
            and self.software_version == other.software_version
            and (
                0 < self.cold_remaining_ms < other.cold_remaining_ms
                or self.cold_remaining_ms == other.cold_remaining_ms == 0
            )
        )

    def __repr__(self) -> str:
        state = "draining" if self.is_draining else "ready"
        return (
            f"RegisteredTarget({self.target_id!r}, {self.service!r}, {state})"
        )
