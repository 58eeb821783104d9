"""Keeps the rejections of brittle targets within what they bear; without I/O.

A brittle target falls over if it rejects more than a stated number of requests
in a second. How many requests it takes may shrink, so that the fleet learns of
its room by rejections alone, each of which several instances may cause at once.

A busy target therefore has permits: one for each slot, and half as many more as
it bears rejections. They are dealt to the instances by rank. A request holds a
permit until its response, and a rejection withholds it for a second. Once all
permits beyond the slots are withheld, the others find a slot. So a target
rejects no more requests in a second than it has permits beyond its slots,
whatever the instances do and however many they are.

A target with free slots needs no permits, since a fleet may have more instances
than permits.

See Also:
    bambooglade.targets.request_limits: ranks instances for limits in the same
        way.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

from bambooglade.core import identifiers
from bambooglade.targets import request_limits

WITHHELD_MS = 1_000
"""Time for which a rejection withholds its permit.

Rejections are counted over a second.
"""

BUSY_MS = 10_000
"""Time for which a target counts as busy after it had hardly any room.

Each time that it ends, the fleet learns by a few rejections that the target is
busy still.
"""

START_BUSY_MS = 3_000
"""Time for which a new run of a target counts as busy.

All instances see an empty target at once.
"""

BUSY_FRACTION = 0.7
"""Part of the slots in use from which a target counts as busy."""

NOTICE_TTL_MS = 5_000
"""Time without any response of its targets after which a service counts as
brittle no more."""

RETRY_AFTER_MS = 300
"""Time after which a rejected caller may find a permit."""


class BrittleTargets:
    """Which targets of brittle services may get a request of this instance.

    Args:
        rank_of: Returns the rank of this instance for a target.

    Examples:
        >>> brittle = BrittleTargets(
        ...     lambda target_id: request_limits.SenderRank(0, 6))
        >>> run = {"service": "s", "started_at_ms": 7}
        >>> brittle.record_notice("e1", max_rejections_per_s=8, now_ms=0, **run)
        >>> brittle.may_send("e1", slots=4, own_running=9, now_ms=0, **run)
        True
        >>> brittle.record_rejection("e1", now_ms=0)
        True
        >>> [brittle.may_send("e1", slots=4, own_running=n, now_ms=5, **run)
        ...     for n in range(3)]
        [True, False, False]
    """

    __slots__ = ("_notice_by_service", "_rank_of", "_state_by_id")

    def __init__(
        self,
        rank_of: Callable[[identifiers.TargetId], request_limits.SenderRank],
    ) -> None:
        self._rank_of = rank_of
        self._notice_by_service: dict[str, _Notice] = {}
        self._state_by_id: dict[identifiers.TargetId, _TargetState] = {}

    def record_notice(
        self,
        target_id: identifiers.TargetId,
        *,
        service: str,
        started_at_ms: int,
        max_rejections_per_s: int | None,
        now_ms: int,
    ) -> None:
        """Records what a response says of its service.

        Args:
            target_id: Id of the target.
            service: Its service.
            started_at_ms: Start of its run.
            max_rejections_per_s: Rejections in a second that a target of the
                service bears; None if it is not brittle.
            now_ms: Current time.
        """
        if max_rejections_per_s is None:
            if self._notice_by_service.pop(service, None) is not None:
                for known_id, state in list(self._state_by_id.items()):
                    if state.service == service:
                        del self._state_by_id[known_id]
            return
        is_new = service not in self._notice_by_service
        self._notice_by_service[service] = _Notice(max_rejections_per_s, now_ms)
        state = self._state_by_id.get(target_id)
        if state is None or state.started_at_ms < started_at_ms:
            self._state_by_id[target_id] = _TargetState(
                service,
                started_at_ms,
                busy_until_ms=now_ms
                if is_new or state is None
                else now_ms + START_BUSY_MS,
            )

    def record_load(
        self,
        target_id: identifiers.TargetId,
        *,
        running: int,
        waiting: int,
        slots: int,
        now_ms: int,
    ) -> bool:
        """Records the load that a response of a target reports.

        Returns:
            Whether the other instances should learn that it is busy.
        """
        is_busy = waiting > 0 or running >= BUSY_FRACTION * slots
        return is_busy and self._extend_busy(target_id, now_ms)

    def record_rejection(
        self, target_id: identifiers.TargetId, *, now_ms: int
    ) -> bool:
        """Records that a target has rejected a request for want of room.

        Returns:
            Whether the other instances should learn that it is busy.
        """
        state = self._state_by_id.get(target_id)
        if state is None:
            return False
        state.rejected_at_ms.append(now_ms)
        return self._extend_busy(target_id, now_ms)

    def _extend_busy(
        self, target_id: identifiers.TargetId, now_ms: int
    ) -> bool:
        """Lets a target count as busy from now on.

        Returns:
            Whether it would have counted as busy for a shorter time only.
        """
        state = self._state_by_id.get(target_id)
        if state is None or state.busy_until_ms - now_ms >= BUSY_MS // 2:
            return False
        state.busy_until_ms = now_ms + BUSY_MS
        return True

    def record_busy(
        self,
        target_id: identifiers.TargetId,
        *,
        service: str,
        started_at_ms: int,
        max_rejections_per_s: int,
        now_ms: int,
    ) -> None:
        """Records that a peer has found a target to have hardly any room."""
        self.record_notice(
            target_id,
            service=service,
            started_at_ms=started_at_ms,
            max_rejections_per_s=max_rejections_per_s,
            now_ms=now_ms,
        )
        state = self._state_by_id[target_id]
        state.busy_until_ms = max(state.busy_until_ms, now_ms + BUSY_MS)

    def brittle_services(self, *, now_ms: int) -> list[str]:
        """Returns the services whose targets state that they are brittle."""
        return [
            service
            for service in self._notice_by_service
            if self.max_rejections_per_s(service, now_ms=now_ms) is not None
        ]

    def max_rejections_per_s(self, service: str, *, now_ms: int) -> int | None:
        """Returns what targets of a service bear; None if it is not brittle."""
        notice = self._notice_by_service.get(service)
        if notice is None or now_ms - notice.noticed_at_ms > NOTICE_TTL_MS:
            return None
        return notice.max_rejections_per_s

    def may_send(
        self,
        target_id: identifiers.TargetId,
        *,
        service: str,
        started_at_ms: int,
        slots: int,
        own_running: int,
        now_ms: int,
    ) -> bool:
        """Returns whether a target may get a request of this instance.

        Args:
            target_id: Id of the target.
            service: Its service.
            started_at_ms: Start of its run.
            slots: Requests that it processes at once.
            own_running: Requests of this instance that it processes or holds.
            now_ms: Current time.
        """
        if self.max_rejections_per_s(service, now_ms=now_ms) is None:
            return True
        state = self._state_by_id.get(target_id)
        if state is None or state.started_at_ms < started_at_ms:
            state = self._state_by_id[target_id] = _TargetState(
                service, started_at_ms, busy_until_ms=now_ms + START_BUSY_MS
            )
        if state.busy_until_ms <= now_ms:
            return True
        permits = self.permits(
            target_id, service=service, slots=slots, now_ms=now_ms
        )
        return own_running + state.withheld(now_ms) < permits

    def permits(
        self,
        target_id: identifiers.TargetId,
        *,
        service: str,
        slots: int,
        now_ms: int,
    ) -> int:
        """Returns how many requests of this instance a busy target may have.

        Args:
            target_id: Id of the target.
            service: Its service.
            slots: Requests that it processes at once.
            now_ms: Current time.
        """
        return permits_of(
            self._rank_of(target_id),
            total=self.total_permits(service, slots=slots, now_ms=now_ms),
        )

    def total_permits(self, service: str, *, slots: int, now_ms: int) -> int:
        """Returns how many requests of all instances a busy target may have.

        These are its slots, and half of the rejections that it bears. The other
        half is left for instances whose views of the fleet differ.

        Args:
            service: Its service.
            slots: Requests that it processes at once.
            now_ms: Current time.
        """
        bearable = self.max_rejections_per_s(service, now_ms=now_ms) or 0
        return slots + bearable // 2

    def evict_missing(
        self, known: set[identifiers.TargetId], *, now_ms: int
    ) -> None:
        """Evicts ended notices, and what is kept of unregistered targets."""
        for service, notice in list(self._notice_by_service.items()):
            if now_ms - notice.noticed_at_ms > NOTICE_TTL_MS:
                del self._notice_by_service[service]
        for target_id, state in list(self._state_by_id.items()):
            if (
                target_id not in known
                or state.service not in self._notice_by_service
            ):
                del self._state_by_id[target_id]

    def __repr__(self) -> str:
        return f"BrittleTargets(services={sorted(self._notice_by_service)})"


def permits_of(rank: request_limits.SenderRank, *, total: int) -> int:
    """Returns how many of the permits of a target an instance has.

    The first instances in the ranking have one more if they can't be divided.

    Args:
        rank: Rank of the instance for the target.
        total: Permits of all instances together.

    Examples:
        >>> [permits_of(request_limits.SenderRank(r, 6), total=8)
        ...     for r in range(6)]
        [2, 2, 1, 1, 1, 1]
    """
    return request_limits.share_of(rank, total=total)


class _Notice:
    """What a service has last said of itself."""

    __slots__ = ("max_rejections_per_s", "noticed_at_ms")

    def __init__(self, max_rejections_per_s: int, noticed_at_ms: int) -> None:
        self.max_rejections_per_s = max_rejections_per_s
        self.noticed_at_ms = noticed_at_ms


class _TargetState:
    """State of one run of a target."""

    __slots__ = ("busy_until_ms", "rejected_at_ms", "service", "started_at_ms")

    def __init__(
        self, service: str, started_at_ms: int, *, busy_until_ms: int
    ) -> None:
        self.service = service
        self.started_at_ms = started_at_ms
        self.busy_until_ms = busy_until_ms
        self.rejected_at_ms: collections.deque[int] = collections.deque()

    def withheld(self, now_ms: int) -> int:
        """Returns the number of permits that rejections withhold."""
        while (
            self.rejected_at_ms
            and now_ms - self.rejected_at_ms[0] > WITHHELD_MS
        ):
            self.rejected_at_ms.popleft()
        return len(self.rejected_at_ms)
