"""State and collaborators that all requests of one process share."""

from __future__ import annotations

import collections
from collections.abc import Callable
from concurrent import futures
import random
from typing import Protocol

from bambooglade.core import event_log
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import view as view_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import brittle_replication
from bambooglade.gateway import codec as codec_lib
from bambooglade.gateway import congestion as congestion_lib
from bambooglade.gateway import connection_pool
from bambooglade.gateway import forwarding_peers as forwarding_peers_lib
from bambooglade.gateway import leaving_replication
from bambooglade.gateway import limit_replication
from bambooglade.gateway import origin_replication
from bambooglade.gateway import request_quarantine
from bambooglade.gateway import retry_budget
from bambooglade.gateway import room_queue as room_queue_lib
from bambooglade.gateway import settings as settings_lib
from bambooglade.gateway import target_prober
from bambooglade.gateway import target_selector as target_selector_lib
from bambooglade.rights import manager as manager_lib
from bambooglade.router import metrics as metrics_lib
from bambooglade.targets import requested_pauses


class UnansweredRequest(Protocol):
    """A request at a target that has not begun to respond."""

    def handle_quarantine_change(self) -> None:
        """Ends the request if it is quarantined now."""
        ...


class GatewayContext:
    """Collaborators of the exchanges of one process.

    Attributes:
        loop: The event loop.
        settings: Settings of the process.
        view: Current configuration and targets.
        codec: Decodes and encodes HTTP headers.
        target_selector: Chooses the target of a request.
        pool: Sends requests to targets.
        prober: Tells whether this instance reaches any target.
        forwarding_peers: Peers that may serve requests of this instance.
        peer_pool: Sends requests to these peers.
        peers: The known peers.
        introduce: Makes this instance known to a peer; returns a future with
            whether the peer responded.
        local_instance: This instance as a peer.
        handed_over_count: Number of requests of peers that this instance
            serves at the moment.
        congestion: Detects congestion of this instance.
        is_rejecting_requests: Whether the process is about to stop and could
            not finish new requests.
        origins: Origins of recent streams, shared with peers.
        quarantine: Prompt parts on which targets crash, shared with peers.
        limits: Request limits of targets, shared with peers.
        leaving: Targets that leave, shared with peers.
        pauses: Pauses that targets have requested of this instance.
        brittle: Brittle targets, shared with peers.
        room_queue: Requests that wait for room at brittle targets.
        unanswered: Dispatchers of requests without a response so far.
        rights: Rights to spend tokens of the teams' prepaid budgets.
        metrics: Counters of this instance.
        log: The event log.
        random_source: Random numbers for retry times and weighted routes.
    """

    __slots__ = (
        "_max_fleet_size",
        "_restarted_at_ms",
        "_retry_budget_by_service",
        "brittle",
        "codec",
        "congestion",
        "forwarding_peers",
        "handed_over_count",
        "introduce",
        "is_rejecting_requests",
        "leaving",
        "limits",
        "local_instance",
        "log",
        "loop",
        "metrics",
        "origins",
        "pauses",
        "peer_pool",
        "peers",
        "pool",
        "prober",
        "quarantine",
        "random_source",
        "rights",
        "room_queue",
        "settings",
        "target_selector",
        "unanswered",
        "view",
    )

    def __init__(
        self,
        *,
        loop: loop_lib.EventLoop,
        settings: settings_lib.GatewaySettings,
        view: view_lib.FleetView,
        codec: codec_lib.HeaderCodec,
        target_selector: target_selector_lib.TargetSelector,
        pool: connection_pool.ConnectionPool,
        prober: target_prober.TargetProber,
        forwarding_peers: forwarding_peers_lib.ForwardingPeers,
        peer_pool: connection_pool.ConnectionPool,
        peers: peers_lib.PeerList,
        introduce: Callable[[peers_lib.Peer], futures.Future],
        local_instance: peers_lib.Peer,
        congestion: congestion_lib.CongestionDetector,
        origins: origin_replication.OriginReplicator,
        quarantine: request_quarantine.RequestQuarantine,
        limits: limit_replication.LimitReplicator,
        leaving: leaving_replication.LeavingReplicator,
        pauses: requested_pauses.RequestedPauses,
        brittle: brittle_replication.BrittleReplicator,
        rights: manager_lib.RightsManager,
        metrics: metrics_lib.Metrics,
        log: event_log.EventLog,
        max_fleet_size: Callable[[], int | None],
        restarted_at_ms: int | None,
        random_source: random.Random,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.view = view
        self.codec = codec
        self.target_selector = target_selector
        self.pool = pool
        self.prober = prober
        self.forwarding_peers = forwarding_peers
        self.peer_pool = peer_pool
        self.peers = peers
        self.introduce = introduce
        self.local_instance = local_instance
        self.handed_over_count = 0
        self.congestion = congestion
        self.is_rejecting_requests = False
        self.origins = origins
        self.quarantine = quarantine
        self.limits = limits
        self.leaving = leaving
        self.pauses = pauses
        self.brittle = brittle
        self.room_queue = room_queue_lib.RoomQueue(loop)
        self.unanswered: set[UnansweredRequest] = set()
        self.rights = rights
        self.metrics = metrics
        self.log = log
        self.random_source = random_source
        self._max_fleet_size = max_fleet_size
        self._restarted_at_ms = restarted_at_ms
        self._retry_budget_by_service: dict[str, retry_budget.RetryBudget] = (
            collections.defaultdict(self._new_retry_budget)
        )

    def retry_budget(self, service: str) -> retry_budget.RetryBudget:
        """Returns the retry budget of a service."""
        return self._retry_budget_by_service[service]

    def try_acquire_retry(self, service: str, *, request_id: str) -> bool:
        """Returns whether a request may be sent to a service once more.

        If so, it draws a retry from the retry budget of the service.

        Args:
            service: Name of the service.
            request_id: Id of the request, for the log.
        """
        budget, now_ms = self.retry_budget(service), self.loop.now_ms()
        is_allowed = budget.try_acquire(now_ms=now_ms)
        self.metrics.record_retry(service=service, is_allowed=is_allowed)
        self.log.event(
            "retry_allowed" if is_allowed else "retry_denied",
            request=request_id,
            service=service,
            retries=budget.retry_count,
            allowed=round(budget.allowed_retries(now_ms=now_ms), 1),
            instances=self._max_fleet_size(),
        )
        return is_allowed

    def _new_retry_budget(self) -> retry_budget.RetryBudget:
        return retry_budget.RetryBudget(
            ratio=self.settings.retry_ratio,
            slack=self.settings.retry_slack,
            window_ms=self.settings.retry_window_ms,
            fleet_size=self._max_fleet_size,
            restarted_at_ms=self._restarted_at_ms,
        )
