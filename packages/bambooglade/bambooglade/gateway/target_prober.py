"""Finds out whether this instance reaches any target of a service.

A failed connection, or silence of all targets, starts checks: bare connections
to a target of each availability zone, at the same time. Their results decide
within one connection time-out whether a target or this instance is at fault.

As no request is sent while the instance counts as cut off, only checks can end
that. They go to whatever targets are registered at the time: those that had
failed may be gone, and others have come in their place.
"""

from __future__ import annotations

from collections.abc import Callable

from bambooglade.core import event_log
from bambooglade.discovery import targets as targets_lib
from bambooglade.discovery import view as view_lib
from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import connection_pool
from bambooglade.gateway import target_selector
from bambooglade.targets import reachability as reachability_lib

RECHECK_INTERVAL_MS = 500
"""Least time between two checks of a target that is not reached."""

MAX_RECORDED_CHECKS = 1_024
"""Latest checked targets whose time is kept."""

RECHECK_SPACING_MS = 50
"""Least mean time between all these checks; it bounds their number."""

MAX_CHECKS = 8
"""Most targets of a service that are checked at a time while it is cut off."""


class TargetProber:
    """Opens connections to targets to tell their faults from those of links.

    A target that is not reached is checked until it is, so that no request has
    to find out.

    Args:
        loop: The event loop.
        pool: Opens the connections, and keeps those that have opened.
        view: Lists the targets.
        selector: Avoids targets that are not reached.
        log: Receives an event when a cut begins or ends.

    Attributes:
        reachability: The services that this instance is cut off from.
        listeners: Called with the ready targets of a service when a cut begins.
        refusal_listeners: Called with each target that refuses a connection.
    """

    __slots__ = (
        "_checked_at_ms_by_run",
        "_checked_runs",
        "_is_closed",
        "_last_response_ms",
        "_log",
        "_loop",
        "_pool",
        "_selector",
        "_unreached_ids",
        "_view",
        "listeners",
        "reachability",
        "refusal_listeners",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        pool: connection_pool.ConnectionPool,
        view: view_lib.FleetView,
        selector: target_selector.TargetSelector,
        *,
        log: event_log.EventLog,
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._view = view
        self._selector = selector
        self._log = log
        self._checked_runs: set[targets_lib.TargetRun] = set()
        self._checked_at_ms_by_run: dict[targets_lib.TargetRun, int] = {}
        self._unreached_ids: set[str] = set()
        self._last_response_ms = 0
        self._is_closed = False
        self.reachability = reachability_lib.TargetReachability()
        self.listeners: list[
            Callable[[list[targets_lib.RegisteredTarget]], None]
        ] = []
        self.refusal_listeners: list[
            Callable[[targets_lib.RegisteredTarget], None]
        ] = []

    def is_cut_off(self, service: str) -> bool:
        """Returns whether this instance reaches no target of a service."""
        return self.reachability.is_cut_off(service)

    def record_response(self, target: targets_lib.RegisteredTarget) -> None:
        """Records that a target has sent a part of a response."""
        self._last_response_ms = self._loop.now_ms()
        self.reachability.record_response(target, now_ms=self._last_response_ms)

    def is_link_full(self) -> bool:
        """Returns whether the own link carries packets, but slowly.

        Either connections show it, or this instance has sent more than the
        link carries.
        """
        now_ms = self._loop.now_ms()
        return self._loop.link.is_busy(
            now_ms
        ) or self.reachability.is_link_full(now_ms)

    def record_connected(
        self, target: targets_lib.RegisteredTarget, took_ms: int
    ) -> None:
        """Records that a connection to a target has opened.

        Args:
            target: The target.
            took_ms: Time that it took to open.
        """
        self._unreached_ids.discard(target.target_id)
        self._selector.record_reached(target)
        is_end = self.reachability.record_success(
            target, now_ms=self._loop.now_ms(), took_ms=took_ms
        )
        if is_end:
            self._log.event(
                "targets_reachable",
                service=target.service,
                target=target.target_id,
            )

    def record_unserved(self, service: str) -> None:
        """Records that no peer serves requests to a service either.

        Then it is used as soon as any connection opens.

        Args:
            service: The service.
        """
        if self.reachability.end_hold(service, now_ms=self._loop.now_ms()):
            self._log.event(
                "targets_reachable", service=service, reason="no peer serves it"
            )

    def observe_target(self, target: targets_lib.RegisteredTarget) -> None:
        """Checks a new run of a target of a service that is cut off."""
        if (
            self.is_cut_off(target.service)
            and not target.is_draining
            and target.run not in self._checked_at_ms_by_run
        ):
            self._check(target)

    def record_failure(
        self, target: targets_lib.RegisteredTarget, *, is_refused: bool = False
    ) -> None:
        """Records that a connection did not open; checks other targets.

        Args:
            target: The target.
            is_refused: Whether its host has responded that nothing listens.
        """
        for listener in self.refusal_listeners if is_refused else ():
            listener(target)
        service, now_ms = target.service, self._loop.now_ms()
        ready = self._view.ready_targets(service)
        self._selector.record_connect_failure(target, now_ms=now_ms)
        self._schedule_recheck(target)
        if self._view.is_evacuated(target):
            # Its zone may be switched off; the other zones are not tested.
            return
        if self.reachability.record_failure(
            target, ready, now_ms=now_ms, is_link_full=self.is_link_full()
        ):
            self._handle_cut(service, ready)
        elif not self._needs_no_check(service):
            for unverified in self.reachability.unverified(
                service, ready, now_ms=now_ms
            ):
                self._check(unverified)

    def suspect(
        self, target: targets_lib.RegisteredTarget, *, silent_since_ms: int
    ) -> None:
        """Checks a target that is silent.

        If all are, one connection that opens to any of them is enough.

        Args:
            target: The target.
            silent_since_ms: Time since which it has sent nothing.
        """
        if self._last_response_ms <= silent_since_ms:
            is_checked = self._needs_no_check(target.service)
        else:
            is_checked = (
                self.is_cut_off(target.service)
                or self.is_link_full()
                or self._was_checked_lately(target)
            )
        if not is_checked:
            self._check(target)

    def _was_checked_lately(self, target: targets_lib.RegisteredTarget) -> bool:
        checked_at_ms = self._checked_at_ms_by_run.get(target.run)
        return (
            checked_at_ms is not None
            and self._loop.now_ms() - checked_at_ms < RECHECK_INTERVAL_MS
        )

    def close(self) -> None:
        """Ends the checks."""
        self._is_closed = True

    def _needs_no_check(self, service: str) -> bool:
        return (
            self.is_cut_off(service)
            or self.is_link_full()
            or self.reachability.has_opened_lately(
                service, now_ms=self._loop.now_ms()
            )
        )

    def _handle_cut(
        self, service: str, ready: list[targets_lib.RegisteredTarget]
    ) -> None:
        self._log.event(
            "targets_unreachable",
            service=service,
            ready=len(ready),
            last_response_ms=self._last_response_ms or None,
        )
        for listener in self.listeners:
            listener(ready)
        self._loop.call_later(RECHECK_INTERVAL_MS, self._check_service, service)

    def _check_service(self, service: str) -> None:
        """Checks targets of a service until it is cut off no more.

        Those that were not checked for the longest time come first.
        """
        if self._is_closed or not self.is_cut_off(service):
            return
        is_registered = any(
            target.service == service and not self._view.is_evacuated(target)
            for target in self._view.target_by_id.values()
        )
        if not is_registered:
            self.reachability.end_cut(service, now_ms=self._loop.now_ms())
            self._log.event("targets_unregistered", service=service)
            return
        due = sorted(
            self._view.ready_targets(service),
            key=lambda target: self._checked_at_ms_by_run.get(target.run, 0),
        )
        for target in due[:MAX_CHECKS]:
            self._check(target)
        self._loop.call_later(RECHECK_INTERVAL_MS, self._check_service, service)

    def _schedule_recheck(self, target: targets_lib.RegisteredTarget) -> None:
        if target.target_id in self._unreached_ids:
            return
        self._unreached_ids.add(target.target_id)
        delay_ms = max(
            RECHECK_INTERVAL_MS, RECHECK_SPACING_MS * len(self._unreached_ids)
        )
        self._loop.call_later(delay_ms, self._recheck, target)

    def _recheck(self, target: targets_lib.RegisteredTarget) -> None:
        """Checks a target again, unless it has left or is reached now."""
        if target.target_id not in self._unreached_ids:
            return
        self._unreached_ids.discard(target.target_id)
        known = self._view.target_by_id.get(target.target_id)
        if self._is_closed or known is None or known.run != target.run:
            return
        if self.is_cut_off(known.service):
            self._schedule_recheck(known)
        else:
            self._check(known)

    def _check(self, target: targets_lib.RegisteredTarget) -> None:
        if target.run in self._checked_runs:
            return
        self._checked_runs.add(target.run)
        self._checked_at_ms_by_run.pop(target.run, None)
        self._checked_at_ms_by_run[target.run] = self._loop.now_ms()
        if len(self._checked_at_ms_by_run) > MAX_RECORDED_CHECKS:
            oldest = next(iter(self._checked_at_ms_by_run))
            del self._checked_at_ms_by_run[oldest]
        _Check(self._loop, self._pool, target, self._handle_result)

    def _handle_result(
        self,
        target: targets_lib.RegisteredTarget,
        connection: connection_lib.Connection | None,
        took_ms: int,
        is_refused: bool,
    ) -> None:
        self._checked_runs.discard(target.run)
        if connection is None:
            self.record_failure(target, is_refused=is_refused)
            return
        if self._is_closed:
            connection.close()
            return
        self._pool.keep_unused(target, connection)
        self.record_connected(target, took_ms)

    def __repr__(self) -> str:
        return f"TargetProber({self.reachability!r})"


class _Check:
    """One connection to a target, and whether it opens in time."""

    __slots__ = (
        "_connection",
        "_handle_result",
        "_loop",
        "_started_at_ms",
        "_target",
        "_timer",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        pool: connection_pool.ConnectionPool,
        target: targets_lib.RegisteredTarget,
        handle_result: Callable[
            [
                targets_lib.RegisteredTarget,
                connection_lib.Connection | None,
                int,
                bool,
            ],
            None,
        ],
    ) -> None:
        self._loop = loop
        self._started_at_ms = loop.now_ms()
        self._target = target
        self._handle_result = handle_result
        self._connection = pool.connect(loop, target.address, self)
        self._timer = loop.call_later(
            connection_pool.CONNECT_TIMEOUT_MS, self._timed_out
        )

    def connected(self) -> None:
        """Reports that the connection has opened."""
        self._timer.cancel()
        self._report(self._connection)

    def received(self, data: bytes) -> None:
        """Never called: the connection has another handler once it is open."""

    def closed(self, *, is_clean: bool) -> None:
        """Reports that the connection was refused, or could not be tried."""
        del is_clean
        self._timer.cancel()
        is_unopened = isinstance(
            self._connection, connection_lib.UnopenedConnection
        )
        self._report(None, is_refused=not is_unopened)

    def _timed_out(self) -> None:
        self._connection.close()
        self._report(None)

    def _report(
        self,
        connection: connection_lib.Connection | None,
        *,
        is_refused: bool = False,
    ) -> None:
        took_ms = self._loop.now_ms() - self._started_at_ms
        self._handle_result(self._target, connection, took_ms, is_refused)
