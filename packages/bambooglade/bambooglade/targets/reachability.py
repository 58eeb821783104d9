"""Whether this instance reaches any target of a service; without I/O.

A connection that fails to open says nothing about whose fault it is. If none
opens to the targets of any availability zone, the fault is probably that of the
links of this instance, and other instances may still reach the targets.

See Also:
    bambooglade.gateway.target_prober: opens connections to find out.
"""

from __future__ import annotations

from collections.abc import Sequence

from bambooglade.discovery import targets as targets_lib

EVIDENCE_MAX_AGE_MS = 2_000
"""Age above which failed connections and responses are no evidence any more."""

MIN_FAILED_TARGETS = 2
"""Least number of failed targets, unless the service has only one.

A single one may be down.
"""

MAX_RESPONDING = 8
"""Most targets with recent responses that have to fail, the latest first."""

FLAPPING_PERIOD_MS = 30_000
"""Time after a cut within which the next one makes the return slower."""

MIN_HOLD_MS = 500
MAX_HOLD_MS = 8_000
"""Time for which connections have to open before flapping links are used.

It doubles with each cut within the period above.
"""

SLOW_CONNECT_MS = 60
"""Time to open from which a connection shows a link that is full.

On a link with room, connecting takes a few milliseconds at most.
"""

OPENED_MAX_AGE_MS = 500
"""Time after an opened connection in which failures start no checks."""


class TargetReachability:
    """Tells for each service whether this instance is cut off from it.

    Examples:
        >>> def target(name, zone):
        ...     return targets_lib.RegisteredTarget(target_id=name,
        ...         service="s", address=("10.0.0.1", 1), slots=1,
        ...         availability_zone=zone)
        >>> ready = [target("a", "x"), target("b", "x"), target("c", "y")]
        >>> reachability = TargetReachability()
        >>> reachability.record_failure(ready[0], ready, now_ms=0)
        False
        >>> [t.target_id for t in reachability.unverified("s", ready, now_ms=0)]
        ['c']
        >>> reachability.record_failure(ready[2], ready, now_ms=9)
        True
        >>> reachability.is_cut_off("s")
        True
        >>> reachability.record_success(ready[0], now_ms=20)
        True
        >>> reachability.is_cut_off("s")
        False
    """

    __slots__ = ("_links_by_service", "_slow_at_ms")

    def __init__(self) -> None:
        self._links_by_service: dict[str, _ServiceLinks] = {}
        self._slow_at_ms: int | None = None

    @property
    def cut_off_services(self) -> list[str]:
        """Services of which no target is reached, in order of the cuts."""
        return [
            service
            for service, links in self._links_by_service.items()
            if links.is_cut_off
        ]

    def is_cut_off(self, service: str) -> bool:
        """Returns whether this instance reaches no target of a service."""
        links = self._links_by_service.get(service)
        return links is not None and links.is_cut_off

    def record_response(
        self, target: targets_lib.RegisteredTarget, *, now_ms: int
    ) -> None:
        """Records that a target has responded on an open connection.

        It has to fail as well before the service counts as cut off. While new
        connections do not open, this alone does not end a cut.
        """
        links = self._links_by_service.setdefault(
            target.service, _ServiceLinks()
        )
        links.down_ids.discard(target.target_id)
        responded_at_ms_by_id = links.responded_at_ms_by_id
        responded_at_ms_by_id.pop(target.target_id, None)
        responded_at_ms_by_id[target.target_id] = now_ms
        if len(responded_at_ms_by_id) > MAX_RESPONDING:
            del responded_at_ms_by_id[next(iter(responded_at_ms_by_id))]

    def record_failure(
        self,
        target: targets_lib.RegisteredTarget,
        ready: Sequence[targets_lib.RegisteredTarget],
        *,
        now_ms: int,
        is_link_full: bool = False,
    ) -> bool:
        """Records that a connection to a target did not open.

        Args:
            target: The target.
            ready: All ready targets of its service.
            now_ms: The current time.
            is_link_full: Whether the own link explains the failure.

        Returns:
            Whether this shows that the instance is cut off from the service.
        """
        links = self._links_by_service.setdefault(
            target.service, _ServiceLinks()
        )
        links.failed_at_ms_by_id[target.target_id] = now_ms
        links.forget_down_targets({t.target_id for t in ready})
        links.opened_since_ms = None
        if (
            links.is_cut_off
            or is_link_full
            or self.is_link_full(now_ms)
            or self.unverified(target.service, ready, now_ms=now_ms)
        ):
            return False
        links.begin_cut(now_ms)
        return True

    def is_link_full(self, now_ms: int) -> bool:
        """Returns whether the own link carries packets, but slowly.

        Connections time out then too, and those to peers do as well.
        """
        return (
            self._slow_at_ms is not None
            and now_ms - self._slow_at_ms <= EVIDENCE_MAX_AGE_MS
        )

    def record_success(
        self,
        target: targets_lib.RegisteredTarget,
        *,
        now_ms: int,
        took_ms: int = 0,
    ) -> bool:
        """Records that a connection to a target has opened.

        Like one that has responded, it has to fail as well before the service
        counts as cut off.

        Args:
            target: The target.
            now_ms: The current time.
            took_ms: Time that it took to open.

        Returns:
            Whether this ends a cut.
        """
        if took_ms >= SLOW_CONNECT_MS:
            self._slow_at_ms = now_ms
        links = self._links_by_service.setdefault(
            target.service, _ServiceLinks()
        )
        links.record_down_targets(now_ms)
        self.record_response(target, now_ms=now_ms)
        links.opened_at_ms = now_ms
        if not links.is_cut_off:
            return False
        if links.opened_since_ms is None:
            links.opened_since_ms = now_ms
        if now_ms - links.opened_since_ms < links.hold_ms:
            return False
        links.end_cut(now_ms)
        return True

    def end_hold(self, service: str, *, now_ms: int) -> bool:
        """Ends a cut if connections open, for however short a time.

        Flapping links are better than none.

        Args:
            service: The service.
            now_ms: The current time.

        Returns:
            Whether this ends a cut.
        """
        links = self._links_by_service.get(service)
        if links is None or not links.is_cut_off:
            return False
        links.hold_ms = 0
        if links.opened_since_ms is None:
            return False
        links.end_cut(now_ms)
        return True

    def end_cut(self, service: str, *, now_ms: int) -> None:
        """Ends a cut from a service that has no targets any more."""
        links = self._links_by_service.get(service)
        if links is not None and links.is_cut_off:
            links.end_cut(now_ms)

    def has_opened_lately(self, service: str, *, now_ms: int) -> bool:
        """Returns whether a connection to the service has just opened."""
        links = self._links_by_service.get(service)
        return (
            links is not None
            and links.opened_at_ms is not None
            and now_ms - links.opened_at_ms < OPENED_MAX_AGE_MS
        )

    def unverified(
        self,
        service: str,
        ready: Sequence[targets_lib.RegisteredTarget],
        *,
        now_ms: int,
    ) -> list[targets_lib.RegisteredTarget]:
        """Returns targets that have to fail too before the service is cut off.

        These are the targets that responded lately, and one of each
        availability zone without a failure, since a zone may be cut off as a
        whole. Two are enough to begin with. Targets that are down do not count,
        unless all are.
        """
        links = self._links_by_service.get(service) or _ServiceLinks()
        failed_ids = links.failed_ids(now_ms)
        responding_ids = links.responding_ids(now_ms)
        ready = [t for t in ready if t.target_id not in links.down_ids] or ready
        failed = [t for t in ready if t.target_id in failed_ids]
        others = [t for t in ready if t.target_id not in failed_ids]
        chosen = [t for t in others if t.target_id in responding_ids]
        covered = {target.availability_zone for target in (*failed, *chosen)}
        for target in others:
            if target.availability_zone not in covered:
                covered.add(target.availability_zone)
                chosen.append(target)
        is_enough = len(failed) >= min(MIN_FAILED_TARGETS, len(ready))
        if not is_enough:
            return (chosen or others)[:MIN_FAILED_TARGETS]
        return chosen

    def __repr__(self) -> str:
        return f"TargetReachability(cut_off={self.cut_off_services})"


class _ServiceLinks:
    """Evidence about the links to the targets of one service.

    Attributes:
        down_ids: Targets that failed while others were reached. They fail by
            themselves, so that their failures say nothing about the links.
    """

    __slots__ = (
        "cut_ended_at_ms",
        "down_ids",
        "failed_at_ms_by_id",
        "hold_ms",
        "is_cut_off",
        "opened_at_ms",
        "opened_since_ms",
        "responded_at_ms_by_id",
    )

    def __init__(self) -> None:
        self.down_ids: set[str] = set()
        self.failed_at_ms_by_id: dict[str, int] = {}
        self.responded_at_ms_by_id: dict[str, int] = {}
        self.is_cut_off = False
        self.opened_at_ms: int | None = None
        self.opened_since_ms: int | None = None
        self.hold_ms = 0
        self.cut_ended_at_ms: int | None = None

    def failed_ids(self, now_ms: int) -> set[str]:
        """Returns the targets that failed lately, and forgets the others."""
        self.failed_at_ms_by_id = {
            target_id: failed_at_ms
            for target_id, failed_at_ms in self.failed_at_ms_by_id.items()
            if now_ms - failed_at_ms <= EVIDENCE_MAX_AGE_MS
        }
        return set(self.failed_at_ms_by_id)

    def record_down_targets(self, now_ms: int) -> None:
        """Records that a connection opened while others had failed lately."""
        self.down_ids |= self.failed_ids(now_ms)
        self.failed_at_ms_by_id.clear()

    def forget_down_targets(self, known_ids: set[str]) -> None:
        """Forgets the targets that are not registered any more."""
        self.down_ids &= known_ids

    def responding_ids(self, now_ms: int) -> set[str]:
        """Returns the targets that responded lately."""
        return {
            target_id
            for target_id, responded_at_ms in self.responded_at_ms_by_id.items()
            if now_ms - responded_at_ms <= EVIDENCE_MAX_AGE_MS
        }

    def begin_cut(self, now_ms: int) -> None:
        """Begins a cut; the end of one that flaps has to show itself longer."""
        is_flapping = (
            self.cut_ended_at_ms is not None
            and now_ms - self.cut_ended_at_ms < FLAPPING_PERIOD_MS
        )
        self.hold_ms = (
            min(MAX_HOLD_MS, max(MIN_HOLD_MS, 2 * self.hold_ms))
            if is_flapping
            else 0
        )
        self.is_cut_off = True
        self.opened_since_ms = None

    def end_cut(self, now_ms: int) -> None:
        """Ends a cut."""
        self.is_cut_off = False
        self.cut_ended_at_ms = now_ms
