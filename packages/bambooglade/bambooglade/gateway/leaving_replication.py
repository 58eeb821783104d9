"""Shares with the other instances which targets state that they leave.

A target that leaves states it in its responses. Its entry in the store may say
so later, or not be readable.

See Also:
    bambooglade.discovery.view: excludes these targets.
"""

from __future__ import annotations

from collections.abc import Callable

from bambooglade.core import event_log
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import relays as relays_lib
from bambooglade.discovery import targets as targets_lib
from bambooglade.discovery import view as view_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import peer_broadcast
from bambooglade.store import dependency_monitor

PATH = "/v1/leaving-targets"

FLUSH_DELAY_MS = 20
"""Time for which notices are collected before they are sent to peers."""


class LeavingMessage(
    peer_broadcast.BroadcastMessage, frozen=True, kw_only=True
):
    """Targets that leave, sent to a peer.

    Attributes:
        runs: The targets, each with the start that tells its runs apart.
    """

    runs: list[targets_lib.TargetRun]


class LeavingReplicator:
    """Marks targets as leaving, here and at the peers.

    Args:
        loop: The event loop.
        client: HTTP client for calls to peers.
        view: View in which the targets are marked.
        peers: Returns the other known instances.
        relays: Tells which peers to inform.
        contact: Tracks whether the store is reachable.
        local_instance: Entry of this instance.
        log: Receives an event for each target that leaves.
    """

    __slots__ = (
        "_broadcast",
        "_local_instance",
        "_log",
        "_loop",
        "_unsent",
        "_view",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        client: http_client.HttpClient,
        view: view_lib.FleetView,
        *,
        peers: Callable[[], list[peers_lib.Peer]],
        relays: relays_lib.RelaySelector,
        contact: dependency_monitor.DependencyMonitor,
        local_instance: peers_lib.Peer,
        log: event_log.EventLog,
    ) -> None:
        self._loop = loop
        self._view = view
        self._broadcast = peer_broadcast.PeerBroadcast(
            client,
            path=PATH,
            peers=peers,
            relays=relays,
            contact=contact,
            local_instance=local_instance,
        )
        self._local_instance = local_instance
        self._log = log
        self._unsent: list[targets_lib.TargetRun] = []

    def record(
        self, target: targets_lib.RegisteredTarget, *, request_id: str
    ) -> None:
        """Records that a response of a target states that it leaves."""
        if not self._view.record_leaving(target.run):
            return
        self._log.event(
            "target_leaving",
            request=request_id,
            target=target.target_id,
            target_started_ms=target.started_at_ms,
            source="response",
        )
        if not self._unsent:
            self._loop.call_later(FLUSH_DELAY_MS, self._flush)
        self._unsent.append(target.run)

    def apply_message(self, message: LeavingMessage) -> None:
        """Marks the targets that a peer saw; a relay forwards the message."""
        self.apply_runs(message.runs, source=f"peer:{message.sender.name}")
        self._broadcast.forward(message)

    def apply_runs(
        self, runs: list[targets_lib.TargetRun], *, source: str
    ) -> None:
        """Marks targets as leaving that a peer names."""
        for run in runs:
            if self._view.record_leaving(run):
                self._log.event(
                    "target_leaving",
                    target=run.target_id,
                    target_started_ms=run.started_at_ms,
                    source=source,
                )

    def _flush(self) -> None:
        unsent, self._unsent = self._unsent, []
        self._broadcast.publish(
            LeavingMessage(runs=unsent, sender=self._local_instance)
        )

    def __repr__(self) -> str:
        return f"LeavingReplicator(unsent={len(self._unsent)})"
