"""Tells from the troubles of a run what was disturbed at a time; without I/O.

See Also:
    bambooglade_standins.users_platform.fleet_judge: excuses by it what the
        users' rules excuse.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

from bambooglade_standins.users_platform import fleet_records

CONTACT_MS = 3_000
"""Time without disturbance after which a gateway is in touch."""

AFTER_PRESS_MS = 5_000
"""The same after callers have pressed."""


class Disturbances:
    """Tells what was disturbed at a time, from the troubles of a run.

    Args:
        troubles: The troubles, in any order.
    """

    __slots__ = ("_troubles",)

    def __init__(self, troubles: Iterable[fleet_records.Trouble] = ()) -> None:
        self._troubles = list(troubles)

    def _overlapping(
        self, begin_ms: int, end_ms: int
    ) -> Iterator[fleet_records.Trouble]:
        for trouble in self._troubles:
            is_press = isinstance(trouble, fleet_records.CallersPress)
            lasts_ms = AFTER_PRESS_MS if is_press else CONTACT_MS
            if trouble.began_at_ms <= end_ms and (
                trouble.ended_at_ms >= begin_ms - lasts_ms
            ):
                yield trouble

    def is_calm(self, begin_ms: int, end_ms: int) -> bool:
        """Returns whether only planned work was done since `CONTACT_MS`."""
        return all(
            isinstance(trouble, fleet_records.PLANNED)
            for trouble in self._overlapping(begin_ms, end_ms)
        )

    def is_in_touch(self, gateway: str, begin_ms: int, end_ms: int) -> bool:
        """Returns whether a gateway and the store ran all the while.

        A gateway counts as slow while callers press, and for a time after it.
        """
        return not any(
            isinstance(
                trouble,
                (fleet_records.StoreDisturbed, fleet_records.CallersPress),
            )
            or (
                isinstance(trouble, fleet_records.OF_GATEWAYS)
                and gateway in trouble.names
            )
            for trouble in self._overlapping(begin_ms, end_ms)
        )

    def is_informed(self, gateway: str, begin_ms: int, end_ms: int) -> bool:
        """Returns whether a gateway ran and the store served all the while."""
        ended = (
            fleet_records.GatewaysStopped,
            fleet_records.GatewaysKilled,
            fleet_records.GatewaysFrozen,
        )
        return not any(
            isinstance(trouble, fleet_records.StoreDisturbed)
            or (isinstance(trouble, ended) and gateway in trouble.names)
            for trouble in self._overlapping(begin_ms, end_ms)
        )

    def is_paused(self, engine: str, begin_ms: int, end_ms: int) -> bool:
        """Returns whether an engine was stopped, and so reads late."""
        return any(
            isinstance(trouble, fleet_records.EnginesPaused)
            and engine.partition("~")[0] in trouble.names
            for trouble in self._overlapping(begin_ms, end_ms)
        )

    def is_ended(self, gateway: str, begin_ms: int, end_ms: int) -> bool:
        """Returns whether a gateway was killed, frozen or reset meanwhile."""
        unplanned = set(fleet_records.OF_GATEWAYS) - set(fleet_records.PLANNED)
        return any(
            isinstance(trouble, tuple(unplanned))
            and gateway in trouble.names
            and trouble.began_at_ms <= end_ms
            and trouble.ended_at_ms >= begin_ms
            for trouble in self._troubles
        )

    def is_killed(self, engine: str, begin_ms: int, end_ms: int) -> bool:
        """Returns whether an engine was killed meanwhile."""
        return any(
            isinstance(trouble, fleet_records.EnginesKilled)
            and engine.partition("~")[0] in trouble.names
            and begin_ms <= trouble.began_at_ms <= end_ms
            for trouble in self._troubles
        )

    def is_sound(self, engine: str, begin_ms: int, end_ms: int) -> bool:
        """Returns whether an engine was not disturbed."""
        return not any(
            isinstance(trouble, fleet_records.OF_ENGINES)
            and engine.partition("~")[0] in trouble.names
            for trouble in self._overlapping(begin_ms, end_ms)
        )

    def stops(self) -> Iterator[tuple[str, int]]:
        """Yields the planned stops: names of gateways and times."""
        for trouble in self._troubles:
            if isinstance(trouble, fleet_records.GatewaysStopped):
                for name in trouble.names:
                    yield name, trouble.began_at_ms

    def leaves(self) -> Iterator[fleet_records.EnginesLeave]:
        """Yields the planned replacements of engines."""
        for trouble in self._troubles:
            if isinstance(trouble, fleet_records.EnginesLeave):
                yield trouble

    def evacuations(self) -> Iterator[fleet_records.ZonesEvacuated]:
        """Yields the evacuations of zones."""
        for trouble in self._troubles:
            if isinstance(trouble, fleet_records.ZonesEvacuated):
                yield trouble

    def fatal_parts(self) -> Iterator[fleet_records.CallersSendFatal]:
        """Yields the times in which prompts share a part that is fatal."""
        for trouble in self._troubles:
            is_fatal = isinstance(trouble, fleet_records.CallersSendFatal)
            if is_fatal and not trouble.is_repeated:
                yield trouble

    def is_disturbed_beside_fatal(self, at_ms: int) -> bool:
        """Returns whether more than fatal requests disturbed the fleet."""
        beside = fleet_records.CallersSendFatal, *fleet_records.PLANNED
        return any(
            not isinstance(trouble, beside)
            for trouble in self._overlapping(at_ms, at_ms)
        )

    def __repr__(self) -> str:
        return f"Disturbances({len(self._troubles)})"
