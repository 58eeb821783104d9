"""Shares the request limits of targets with the other instances.

See Also:
    bambooglade.targets.request_limits: decides what the fleet may send.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import random

from bambooglade.core import event_log
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import relays as relays_lib
from bambooglade.discovery import targets as targets_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.gateway import peer_broadcast
from bambooglade.store import dependency_monitor
from bambooglade.targets import request_limits

PATH = "/v1/request-limits"

FLUSH_DELAY_MS = 20
"""Time for which changed limits are collected before they are sent to peers."""

SHARE_MS_PER_INSTANCE = 50
"""Shortest interval between two repetitions, for each instance of the fleet.

It bounds the messages that an instance of a large fleet receives.
"""

FLEET_TTL_MS = 500
"""Time for which the fleet is taken as unchanged, and the ranks in it."""


class LimitMessage(peer_broadcast.BroadcastMessage, frozen=True, kw_only=True):
    """Observed limits, sent to a peer.

    Attributes:
        notices: The observations.
    """

    notices: list[request_limits.LimitNotice]


class LimitReplicator:
    """Limits that this instance and its peers have observed.

    Args:
        loop: The event loop.
        client: HTTP client for calls to peers.
        peers: Returns the other known instances.
        relays: Tells which peers to inform.
        contact: Tracks whether the store is reachable.
        local_instance: Entry of this instance.
        log: Receives an event for each limit that changes.
        random_source: Source of the jitter in the intervals.
        is_fleet_known: Returns whether the peers are known, so that ranks
            among them are right; None if they always are.
        must_hold_cold: Returns whether cold targets get no request of this
            instance, whatever its rank; None if that is never so.
        find_cold: Returns the cold run of a target; None if none is ever cold.

    Attributes:
        limits: The limits that this instance knows.
    """

    __slots__ = (
        "_broadcast",
        "_find_cold",
        "_fleet",
        "_fleet_read_at_ms",
        "_is_fleet_known",
        "_is_flush_due",
        "_is_stopped",
        "_local_instance",
        "_log",
        "_loop",
        "_must_hold_cold",
        "_names_by_id",
        "_peers",
        "_random",
        "_rank_by_id",
        "limits",
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
        log: event_log.EventLog,
        random_source: random.Random,
        is_fleet_known: Callable[[], bool] | None = None,
        must_hold_cold: Callable[[], bool] | None = None,
        find_cold: request_limits.FindCold | None = None,
    ) -> None:
        self._loop = loop
        self._is_fleet_known = is_fleet_known or (lambda: True)
        self._must_hold_cold = must_hold_cold or (lambda: False)
        self._broadcast = peer_broadcast.PeerBroadcast(
            client,
            path=PATH,
            peers=peers,
            relays=relays,
            contact=contact,
            local_instance=local_instance,
        )
        self._peers = peers
        self._local_instance = local_instance
        self._log = log
        self._random = random_source
        self._fleet: tuple[peers_lib.Peer, ...] = ()
        self._fleet_read_at_ms = 0
        self._rank_by_id: dict[str, request_limits.SenderRank] = {}
        self._names_by_id: dict[str, tuple[str, ...]] = {}
        self._is_flush_due = False
        self._is_stopped = False
        self._find_cold = find_cold
        self.limits = request_limits.RequestLimits(
            self.rank_of, find_cold=find_cold, cold_rank_of=self._cold_rank_of
        )

    def start(self) -> None:
        """Starts to repeat what this instance observes."""
        tasks.keep_running(self._loop, self._share_repeatedly)

    def stop(self) -> None:
        """Stops before the next repetition."""
        self._is_stopped = True

    def record(
        self,
        target: targets_lib.RegisteredTarget,
        max_requests_per_s: float | None,
        *,
        request_id: str,
    ) -> None:
        """Records the limit that a response states, or that it states none."""
        has_changed = self.limits.record(
            target.target_id,
            target.started_at_ms,
            max_requests_per_s,
            now_ms=self._loop.now_ms(),
        )
        if not has_changed:
            return
        self._log.event(
            "target_limit_changed",
            request=request_id,
            target=target.target_id,
            max_requests_per_s=max_requests_per_s,
            source="response",
        )
        if not self._is_flush_due:
            self._is_flush_due = True
            self._loop.call_later(FLUSH_DELAY_MS, self._flush)

    def record_dispatch(self, target: targets_lib.RegisteredTarget) -> None:
        """Records that this instance sends a request to a target."""
        self.limits.record_dispatch(
            target.target_id, target.started_at_ms, now_ms=self._loop.now_ms()
        )

    def apply_message(self, message: LimitMessage) -> None:
        """Merges what a peer observed; a relay forwards it in its zone."""
        now_ms = self._loop.now_ms()
        for notice in message.notices:
            if self.limits.merge(notice, now_ms=now_ms):
                self._log.event(
                    "target_limit_changed",
                    target=notice.target_id,
                    max_requests_per_s=notice.limit_per_s,
                    age_ms=notice.age_ms,
                    source=f"peer:{message.sender.name}",
                )
        self._broadcast.forward(message)

    def evict_missing(self, known: set[str]) -> None:
        """Evicts the limits of targets that are not registered any more."""
        self.limits.evict_missing(known, now_ms=self._loop.now_ms())
        for target_id in self._rank_by_id.keys() - known:
            del self._rank_by_id[target_id]
        for target_id in self._names_by_id.keys() - known:
            del self._names_by_id[target_id]

    def _flush(self) -> None:
        self._is_flush_due = False
        self._share(
            self.limits.notices_to_share(
                now_ms=self._loop.now_ms(), only_changed=True
            )
        )

    def _share_repeatedly(self) -> tasks.Task:
        while not self._is_stopped:
            interval_ms = max(
                request_limits.SHARE_MS,
                SHARE_MS_PER_INSTANCE * (len(self._peers()) + 1),
            )
            yield tasks.sleep(
                self._loop, interval_ms * (0.75 + self._random.random() / 2)
            )
            self._share(
                notice
                for notice in self.limits.notices_to_share(
                    now_ms=self._loop.now_ms()
                )
                if self.rank_of(notice.target_id).rank == 0
            )

    def _share(self, notices: Iterable[request_limits.LimitNotice]) -> None:
        due = list(notices)
        if due:
            self._broadcast.publish(
                LimitMessage(notices=due, sender=self._local_instance)
            )

    def cold_senders(
        self, targets: Iterable[targets_lib.RegisteredTarget]
    ) -> set[str]:
        """Returns the peers that may send to the cold ones of the targets.

        Returns:
            Their names; empty if this instance is a sender itself.
        """
        names: set[str] = set()
        if self._find_cold is None:
            return names
        now_ms = self._loop.now_ms()
        for target in targets:
            cold = self._find_cold(target.target_id, now_ms=now_ms)
            if cold is None:
                continue
            total = request_limits.cold_window_requests(cold.max_requests_per_s)
            if self._cold_rank_of(target.target_id).rank < total:
                return set()
            names.update(self.ranked_names(target.target_id)[:total])
        return names - {self._local_instance.name}

    def _cold_rank_of(self, target_id: str) -> request_limits.SenderRank:
        if self._must_hold_cold():
            return request_limits.UNKNOWN_RANK
        return self.rank_of(target_id)

    def rank_of(self, target_id: str) -> request_limits.SenderRank:
        """Returns the rank of this instance among the fleet for a target.

        An instance that has just started would take itself for the only one,
        and send at the whole rate of a target beside the senders.
        """
        if not self._is_fleet_known():
            return request_limits.UNKNOWN_RANK
        self._refresh_fleet()
        rank = self._rank_by_id.get(target_id)
        if rank is None:
            names = self.ranked_names(target_id)
            rank = request_limits.SenderRank(
                names.index(self._local_instance.name), len(names)
            )
            self._rank_by_id[target_id] = rank
        return rank

    def ranked_names(self, target_id: str) -> tuple[str, ...]:
        """Returns the names of all instances in their order for a target."""
        self._refresh_fleet()
        names = self._names_by_id.get(target_id)
        if names is None:
            ranked = peers_lib.rank_across_zones(
                f"sender/{target_id}", self._fleet
            )
            names = tuple(instance.name for instance in ranked)
            self._names_by_id[target_id] = names
        return names

    def _refresh_fleet(self) -> None:
        """Forgets the ranks if the fleet has changed; they are dear."""
        now_ms = self._loop.now_ms()
        if self._fleet and now_ms - self._fleet_read_at_ms <= FLEET_TTL_MS:
            return
        self._fleet_read_at_ms = now_ms
        fleet = (*self._peers(), self._local_instance)
        if fleet != self._fleet:
            self._fleet = fleet
            self._rank_by_id.clear()
            self._names_by_id.clear()

    def __repr__(self) -> str:
        return f"LimitReplicator({self.limits!r})"
