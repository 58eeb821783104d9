"""Shares with the other instances which brittle targets are busy.

See Also:
    bambooglade.targets.brittle_targets: decides what these get.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from bambooglade.core import event_log
from bambooglade.core import identifiers
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import relays as relays_lib
from bambooglade.discovery import targets as targets_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import metadata as metadata_lib
from bambooglade.gateway import peer_broadcast
from bambooglade.store import dependency_monitor
from bambooglade.targets import brittle_targets
from bambooglade.targets import request_limits

PATH = "/v1/busy-targets"


class BusyTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target of a brittle service that has hardly any room.

    Attributes:
        target_id: Id of the target.
        service: Its service.
        started_at_ms: Start of its run.
        max_rejections_per_s: Rejections in a second that it bears.
    """

    target_id: str
    service: str
    started_at_ms: int
    max_rejections_per_s: int


class BusyMessage(peer_broadcast.BroadcastMessage, frozen=True, kw_only=True):
    """Busy targets, sent to a peer."""

    targets: list[BusyTarget]


class BrittleReplicator:
    """Brittle targets that this instance and its peers have observed.

    Args:
        loop: The event loop.
        client: HTTP client for calls to peers.
        peers: Returns the other known instances.
        relays: Tells which peers to inform.
        contact: Tracks whether the store is reachable.
        local_instance: Entry of this instance.
        rank_of: Returns the rank of this instance for a target.
        ranked_names: Returns the names of all instances in this order.
        log: Receives an event for each target that becomes busy.

    Attributes:
        targets: The brittle targets that this instance knows.
    """

    __slots__ = (
        "_broadcast",
        "_local_instance",
        "_log",
        "_loop",
        "_ranked_names",
        "targets",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        client: http_client.HttpClient,
        *,
        peers: Callable[[], list[peers_lib.Peer]],
        relays: relays_lib.RelaySelector,
        contact: dependency_monitor.DependencyMonitor,
        local_instance: peers_lib.Peer,
        rank_of: Callable[[identifiers.TargetId], request_limits.SenderRank],
        ranked_names: Callable[[identifiers.TargetId], tuple[str, ...]],
        log: event_log.EventLog,
    ) -> None:
        self._loop = loop
        self._broadcast = peer_broadcast.PeerBroadcast(
            client,
            path=PATH,
            peers=peers,
            relays=relays,
            contact=contact,
            local_instance=local_instance,
        )
        self._local_instance = local_instance
        self._ranked_names = ranked_names
        self._log = log
        self.targets = brittle_targets.BrittleTargets(rank_of)

    def record_response(
        self,
        target: targets_lib.RegisteredTarget,
        response: metadata_lib.ResponseMetadata,
        *,
        request_id: str,
    ) -> None:
        """Records what a response says of the target and its service."""
        if response.max_rejections_per_s == 0:
            return
        now_ms = self._loop.now_ms()
        self.targets.record_notice(
            target.target_id,
            service=target.service,
            started_at_ms=target.started_at_ms,
            max_rejections_per_s=response.max_rejections_per_s,
            now_ms=now_ms,
        )
        if response.max_rejections_per_s is None:
            return
        is_news = False
        if response.load is not None:
            is_news = self.targets.record_load(
                target.target_id,
                running=response.load.running,
                waiting=response.load.waiting,
                slots=response.load.slots,
                now_ms=now_ms,
            )
        if response.is_not_executed:
            is_news |= self.targets.record_rejection(
                target.target_id, now_ms=now_ms
            )
        if is_news:
            self._log.event(
                "brittle_target_busy",
                request=request_id,
                target=target.target_id,
                service=target.service,
                max_rejections_per_s=response.max_rejections_per_s,
                is_rejection=response.is_not_executed,
                source="response",
            )
            self._publish(target, response.max_rejections_per_s)

    def _publish(
        self, target: targets_lib.RegisteredTarget, max_rejections_per_s: int
    ) -> None:
        busy = BusyTarget(
            target.target_id,
            target.service,
            target.started_at_ms,
            max_rejections_per_s,
        )
        self._broadcast.publish(
            BusyMessage(targets=[busy], sender=self._local_instance)
        )

    def apply_message(self, message: BusyMessage) -> None:
        """Merges what a peer observed; a relay forwards it in its zone.

        A target that bears no rejection would get no request at all, which no
        response can state.
        """
        for busy in message.targets:
            if busy.max_rejections_per_s <= 0:
                self._log.event(
                    "peer_notice_invalid",
                    target=busy.target_id,
                    max_rejections_per_s=busy.max_rejections_per_s,
                    source=f"peer:{message.sender.name}",
                )
                continue
            self.targets.record_busy(
                busy.target_id,
                service=busy.service,
                started_at_ms=busy.started_at_ms,
                max_rejections_per_s=busy.max_rejections_per_s,
                now_ms=self._loop.now_ms(),
            )
            self._log.event(
                "brittle_target_busy",
                target=busy.target_id,
                service=busy.service,
                max_rejections_per_s=busy.max_rejections_per_s,
                source=f"peer:{message.sender.name}",
            )
        self._broadcast.forward(message)

    def permits(self, targets: Iterable[targets_lib.RegisteredTarget]) -> int:
        """Returns how many requests of this instance busy targets may have."""
        now_ms = self._loop.now_ms()
        return sum(
            self.targets.permits(
                target.target_id,
                service=target.service,
                slots=target.slots,
                now_ms=now_ms,
            )
            for target in targets
        )

    def permit_holders(
        self, targets: Iterable[targets_lib.RegisteredTarget]
    ) -> set[str]:
        """Returns the instances that have a permit of one of these targets."""
        now_ms = self._loop.now_ms()
        return {
            name
            for target in targets
            for name in self._ranked_names(target.target_id)[
                : self.targets.total_permits(
                    target.service, slots=target.slots, now_ms=now_ms
                )
            ]
        }

    def evict_missing(self, known: set[str]) -> None:
        """Evicts what is kept of targets that are not registered any more."""
        self.targets.evict_missing(known, now_ms=self._loop.now_ms())

    def __repr__(self) -> str:
        return f"BrittleReplicator({self.targets!r})"
