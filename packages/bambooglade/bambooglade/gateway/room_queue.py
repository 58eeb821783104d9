"""Requests that wait at this instance until a target may have room for them.

The targets of a brittle service get no more requests than they are known to
have room for. A request waits here for a short time instead of at a target,
unless more wait already than could be sent in that time.

See Also:
    bambooglade.targets.brittle_targets: tells which targets may have room.
"""

from __future__ import annotations

from typing import Protocol

from bambooglade.eventloop import loop as loop_lib

MAX_WAIT_MS = 400
"""Longest time that a request waits; a caller may find room elsewhere."""

POLL_INTERVAL_MS = 50
"""Interval at which waiting requests look for room that no response showed."""

DEFAULT_WORK_MS = 100.0
"""Time that a target needs for a request, before any was measured."""

WORK_DECAY = 0.9
"""Weight of the previous measurements of that time."""


class WaitingRequest(Protocol):
    """A request that waits for room at a target."""

    def can_send(self) -> bool:
        """Returns whether a target may have room for the request."""
        ...

    def resume(self) -> None:
        """Sends the request, which waits no more."""
        ...

    def stop_waiting(self) -> None:
        """Ends a request that has waited for too long."""
        ...


class RoomQueue:
    """Waiting requests of each service, in the order of their arrival.

    Args:
        loop: The event loop.

    See Also:
        bambooglade.gateway.dispatching: adds requests, and wakes others.
    """

    __slots__ = (
        "_loop",
        "_polled_services",
        "_timer_by_request_by_service",
        "_work_ms_by_service",
    )

    def __init__(self, loop: loop_lib.EventLoop) -> None:
        self._loop = loop
        self._timer_by_request_by_service: dict[
            str, dict[WaitingRequest, loop_lib.Timer]
        ] = {}
        self._polled_services: set[str] = set()
        self._work_ms_by_service: dict[str, float] = {}

    def try_add(
        self,
        request: WaitingRequest,
        service: str,
        *,
        permits: int,
        remaining_ms: int,
    ) -> bool:
        """Lets a request wait, unless it could not be sent in time.

        Args:
            request: The request.
            service: Its service.
            permits: Requests that this instance may have at the busy targets.
            remaining_ms: Time that is left for waiting.

        Returns:
            Whether it waits.
        """
        waiting = self._timer_by_request_by_service.setdefault(service, {})
        wait_ms = min(MAX_WAIT_MS, remaining_ms)
        work_ms = self._work_ms_by_service.get(service, DEFAULT_WORK_MS)
        if len(waiting) >= permits * wait_ms / work_ms:
            return False
        if service not in self._polled_services:
            self._polled_services.add(service)
            self._loop.call_later(POLL_INTERVAL_MS, self._poll, service)
        waiting[request] = self._loop.call_later(
            wait_ms, self._time_out, service, request
        )
        return True

    def record_work(self, service: str, took_ms: int) -> None:
        """Records how long a target needed for a request."""
        known_ms = self._work_ms_by_service.get(service, took_ms)
        self._work_ms_by_service[service] = max(
            1.0, WORK_DECAY * known_ms + (1 - WORK_DECAY) * took_ms
        )

    def wake(self, service: str) -> None:
        """Sends the requests that have waited longest, while there is room."""
        waiting = self._timer_by_request_by_service.get(service)
        for request in list(waiting or ()):
            if request not in waiting:
                continue
            if not request.can_send():
                return
            self.discard(service, request)
            request.resume()

    def discard(self, service: str, request: WaitingRequest) -> None:
        """Removes a request that waits no more, if it does."""
        waiting = self._timer_by_request_by_service.get(service, {})
        timer = waiting.pop(request, None)
        if timer is not None:
            timer.cancel()

    def _time_out(self, service: str, request: WaitingRequest) -> None:
        self.discard(service, request)
        request.stop_waiting()

    def _poll(self, service: str) -> None:
        self.wake(service)
        if self._timer_by_request_by_service[service]:
            self._loop.call_later(POLL_INTERVAL_MS, self._poll, service)
        else:
            self._polled_services.discard(service)

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return sum(map(len, self._timer_by_request_by_service.values()))

    def __repr__(self) -> str:
        return f"RoomQueue(waiting={self.waiting_count})"
