"""Creates, starts and stops the components of one gateway process."""

from __future__ import annotations

from concurrent import futures
import os
import random
import signal

from bambooglade.core import clock as clock_lib
from bambooglade.core import event_log
from bambooglade.discovery import codec as item_codec_lib
from bambooglade.discovery import peer_puller
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import registration as registration_lib
from bambooglade.discovery import relays as relays_lib
from bambooglade.discovery import store_watcher as store_watcher_lib
from bambooglade.discovery import targets as targets_lib
from bambooglade.discovery import view as view_lib
from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import connection_limit
from bambooglade.eventloop import http_client
from bambooglade.eventloop import http_server
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.gateway import brittle_replication
from bambooglade.gateway import codec as header_codec_lib
from bambooglade.gateway import congestion as congestion_lib
from bambooglade.gateway import connection_pool
from bambooglade.gateway import context as context_lib
from bambooglade.gateway import forwarding_peers as forwarding_peers_lib
from bambooglade.gateway import frontend as frontend_lib
from bambooglade.gateway import given_up_clients
from bambooglade.gateway import leaving_replication
from bambooglade.gateway import limit_replication
from bambooglade.gateway import origin_archive
from bambooglade.gateway import origin_replication
from bambooglade.gateway import peer_api
from bambooglade.gateway import request_quarantine
from bambooglade.gateway import route_history
from bambooglade.gateway import settings as settings_lib
from bambooglade.gateway import stream_origins
from bambooglade.gateway import target_prober
from bambooglade.gateway import target_selector as target_selector_lib
from bambooglade.gateway import version_archive
from bambooglade.http1 import messages
from bambooglade.rights import homes as homes_lib
from bambooglade.rights import ledger_copies
from bambooglade.rights import lending
from bambooglade.rights import manager as manager_lib
from bambooglade.router import metrics as metrics_lib
from bambooglade.scheduling import link_budget
from bambooglade.scheduling import rotation as rotation_lib
from bambooglade.store import dependency_monitor
from bambooglade.store import store_api
from bambooglade.targets import cold_starts
from bambooglade.targets import requested_pauses

MAINTENANCE_INTERVAL_MS = 500
"""Time between two rounds of maintenance, for instance of idle connections."""

BALANCER_DETECTION_MS = 2_500
"""Time until the load balancer sends no new connections.

It notices after two failed readiness checks, which are 1 s apart.
"""

MAX_PROBE_CONNECTIONS = 64
"""Most connections for readiness, and for metrics; few clients ask for them."""

MAX_STOP_RESERVE_MS = 900
"""Most time that is reserved at the end of the stop time-out.

In it, the last responses are sent, and rights are returned to the store.
"""

STOP_RESERVE_FRACTION = 0.11
"""The same as a part of a short time-out.

Requests that engines work on may be ended in the last sixth of the time-out
only.
"""

FLEET_DISCOVERY_MS = 2_000
"""Time after the start from which peers that were heard of count as the fleet.

While the store is unavailable, they are all that is known.
"""

MAX_FLEET_DISCOVERY_MS = 10_000
"""Time after the start from which an instance without peers is the only one.

It is longer than an instance is cut off from the store and its peers alone.
"""

STOP_POLL_MS = 50
"""Time between two checks whether all requests have ended."""


class GatewayProcess:
    """The gateway of one instance, which serves callers.

    Args:
        settings: Settings of the process.
        store: Client of the key-value service; uses the same loop and client.
        loop: The event loop.
        client: HTTP client for the store and peers.
        item_codec: Decodes configuration and targets from the store.
        header_codec: Decodes and encodes HTTP headers.
        log: The event log.
        connect: Starts to open a connection to a target.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        *,
        store: store_api.TransactionalStore,
        loop: loop_lib.EventLoop,
        client: http_client.HttpClient,
        item_codec: item_codec_lib.ItemCodec,
        header_codec: header_codec_lib.HeaderCodec,
        log: event_log.EventLog,
        connect: connection_pool.Connect = connection_lib.connect,
    ) -> None:
        self.settings = settings
        self.loop = loop
        loop.byte_budget.set_memory(settings.memory_mb)
        loop.link = link_budget.LinkBudget(settings.link_mbps)
        self._connect = connect
        self._log = log
        self._era = store.era
        self._random_source = random.Random(os.urandom(8))
        self._incarnation = f"{self._random_source.getrandbits(48):012x}"
        self._created_at_ms = loop.now_ms()
        self._is_draining = False
        self._is_stopped = False
        self._prepaid_by_team: dict[str, int] = {}
        self._ranked_peers: list[peers_lib.Peer] | None = None
        self._records_versions = False
        self._contact = dependency_monitor.DependencyMonitor("store", log=log)
        self.view = view_lib.FleetView(item_codec, log=log)
        self._peers = peers_lib.PeerList(settings.instance)
        self.local_instance = peers_lib.Peer(
            name=settings.instance,
            incarnation=self._incarnation,
            host=settings.peer_address[0],
            port=settings.peer_address[1],
            availability_zone=settings.availability_zone,
            link_mbps=settings.link_mbps,
            forwarding_port=(
                settings.forwarding_address[1]
                if settings.forwarding_address
                else 0
            ),
            archives_streams=True,
        )
        self.rights = self._new_rights_manager(store, client)
        origins = stream_origins.StreamOrigins(
            known_since_ms=(
                stream_origins.SINCE_EVER_MS
                if settings.is_first_start
                else loop.now_ms()
            ),
            known_until_ms=loop.now_ms(),
        )
        self._versions = version_archive.VersionArchive(
            loop,
            store,
            origins,
            is_recorder=lambda: self.records_versions,
            is_first_start=settings.is_first_start,
            random_source=self._random_source,
            log=log,
        )
        self._origins = origin_replication.OriginReplicator(
            loop,
            client,
            peers=self.known_peers,
            local_instance=self.local_instance,
            origins=origins,
            routes=route_history.RouteHistory(),
            archive=origin_archive.OriginArchive(
                loop,
                store,
                instance=settings.instance,
                incarnation=self._incarnation,
                log=log,
            ),
            versions=self._versions,
            catch_up=self._catch_up,
            contact=self._contact,
            log=log,
        )
        self.view.listeners.append(self._observe_configuration)
        self.view.listeners.append(self._observe_versions)
        self.view.registration_listeners.append(self._origins.observe_target)
        self._relays = relays_lib.RelaySelector(
            self.local_instance,
            peers=self.known_peers,
            change_bound_ms=settings.max_propagation_ms,
        )
        self.quarantine = request_quarantine.RequestQuarantine(
            loop,
            client,
            store,
            relays=self._relays,
            must_watch_store=self._must_watch_store,
            contact=self._contact,
            local_instance=self.local_instance,
            log=log,
            random_source=self._random_source,
        )
        self.cold_starts = cold_starts.ColdStarts(
            self._cold_start_of,
            evacuation_ended_at_ms=self.view.evacuations.ended_at_ms,
        )
        self.view.registration_listeners.append(self._observe_cold_start)
        self.limits = limit_replication.LimitReplicator(
            loop,
            client,
            peers=self.known_peers,
            relays=self._relays,
            contact=self._contact,
            local_instance=self.local_instance,
            log=log,
            random_source=self._random_source,
            is_fleet_known=lambda: (
                settings.is_first_start or self._is_fleet_known
            ),
            must_hold_cold=lambda: not self._has_found_peers,
            find_cold=self.cold_starts.find,
        )
        self.leaving = leaving_replication.LeavingReplicator(
            loop,
            client,
            self.view,
            peers=self.known_peers,
            relays=self._relays,
            contact=self._contact,
            local_instance=self.local_instance,
            log=log,
        )
        self._pauses = requested_pauses.RequestedPauses(self._random_source)
        self.brittle = brittle_replication.BrittleReplicator(
            loop,
            client,
            peers=self.known_peers,
            relays=self._relays,
            contact=self._contact,
            local_instance=self.local_instance,
            rank_of=self.limits.rank_of,
            ranked_names=self.limits.ranked_names,
            log=log,
        )
        self.quarantine.listeners.append(self._cancel_quarantined)
        self._metrics = metrics_lib.Metrics()
        self._congestion = congestion_lib.CongestionDetector()
        self._was_congested = False
        self._rotation = rotation_lib.Rotation()
        self._was_out_of_rotation = False
        self._context = self._new_context(header_codec)
        self._components = self._new_components(store, client, item_codec)
        self._frontends: list[frontend_lib.Frontend] = []
        self._servers: list[http_server.HttpServer] = []

    def _new_rights_manager(
        self,
        store: store_api.TransactionalStore,
        client: http_client.HttpClient,
    ) -> manager_lib.RightsManager:
        homes = homes_lib.HomeSelector(
            self.local_instance,
            peers=self.known_peers,
            team_count=self._team_count,
        )
        lenders = lending.LendingClient(
            self.loop,
            client,
            peers=self.known_peers,
            homes=homes,
            local_instance=self.local_instance,
            random_source=self._random_source,
        )
        copier = ledger_copies.LedgerCopier(
            client,
            peers=self.known_peers,
            local_instance=self.local_instance,
            homes_of=homes.of,
        )
        return manager_lib.RightsManager(
            self.loop,
            store,
            lenders,
            instance_address=f"{self.settings.instance}@{self.settings.peer_address[0]}",
            incarnation=self._incarnation,
            prepaid_of=self._prepaid_tokens,
            homes=homes,
            contact=self._contact,
            copy_ledgers=copier.send,
            log=self._log,
        )

    def _new_context(
        self, header_codec: header_codec_lib.HeaderCodec
    ) -> context_lib.GatewayContext:
        pool = connection_pool.ConnectionPool(
            self.loop,
            idle_timeout_of=lambda head: (
                header_codec.decode_response(head).idle_timeout_ms
            ),
            connected=self._record_connect_time,
            connect=self._connect,
        )
        target_selector = target_selector_lib.TargetSelector(
            self.settings.availability_zone,
            self.limits.limits,
            self._pauses,
            self.brittle.targets,
            self._random_source,
        )
        self._prober = target_prober.TargetProber(
            self.loop, pool, self.view, target_selector, log=self._log
        )
        self._prober.listeners.append(self._handle_cut_off)
        self._prober.refusal_listeners.append(self._record_refusal)
        self.view.registration_listeners.append(self._prober.observe_target)
        return context_lib.GatewayContext(
            loop=self.loop,
            settings=self.settings,
            view=self.view,
            codec=header_codec,
            target_selector=target_selector,
            pool=pool,
            prober=self._prober,
            forwarding_peers=forwarding_peers_lib.ForwardingPeers(
                self.settings.availability_zone,
                self.known_peers,
                self._random_source,
            ),
            peer_pool=connection_pool.ConnectionPool(
                self.loop,
                idle_timeout_of=lambda head: None,
                connected=lambda endpoint, took_ms, is_open: None,
                is_trusted=True,
            ),
            peers=self._peers,
            introduce=lambda peer: self._puller.introduce(peer),
            local_instance=self.local_instance,
            congestion=self._congestion,
            origins=self._origins,
            quarantine=self.quarantine,
            limits=self.limits,
            leaving=self.leaving,
            pauses=self._pauses,
            brittle=self.brittle,
            rights=self.rights,
            metrics=self._metrics,
            log=self._log,
            max_fleet_size=self._max_fleet_size,
            restarted_at_ms=(
                None if self.settings.is_first_start else self.loop.now_ms()
            ),
            random_source=self._random_source,
        )

    def _new_components(
        self,
        store: store_api.TransactionalStore,
        client: http_client.HttpClient,
        item_codec: item_codec_lib.ItemCodec,
    ):
        self._follower = store_watcher_lib.StoreWatcher(
            self.loop,
            store,
            self.view,
            codec=item_codec,
            relays=self._relays,
            contact=self._contact,
            random_source=self._random_source,
        )
        self._registration = registration_lib.Registration(
            self.loop,
            store,
            local_instance=self.local_instance,
            peers=self._peers,
            contact=self._contact,
            must_probe=self._relays.uses_relays,
            random_source=self._random_source,
        )
        self._puller = peer_puller.PeerPuller(
            self.loop,
            client,
            self.view,
            era=store.era,
            peers=self._peers,
            relays=self._relays,
            read_configuration=self._follower.read_configuration,
            quarantine=self.quarantine,
            leaving=self.leaving,
            local_instance=self.local_instance,
            seeds=lambda: self.settings.seed_addresses,
            contact=self._contact,
            log=self._log,
            random_source=self._random_source,
        )
        return (
            self._follower,
            self._registration,
            self._puller,
            self.quarantine,
            self.limits,
            self._versions,
        )

    def _handle_cut_off(
        self, unreachable: list[targets_lib.RegisteredTarget]
    ) -> None:
        """Discards what was taken for faults of targets, or for congestion."""
        self._context.target_selector.forget_failures(
            target.target_id for target in unreachable
        )
        for target in unreachable:
            self._context.pool.close_address(target.address)
        self._congestion.reset()

    def _record_connect_time(
        self,
        target: targets_lib.RegisteredTarget,
        took_ms: int,
        is_open: bool,
    ) -> None:
        now_ms = self.loop.now_ms()
        if is_open:
            self._prober.record_connected(target, took_ms)
        elif self._prober.is_cut_off(target.service):
            return
        if target.availability_zone == self.settings.availability_zone:
            self._congestion.record_connect_time(
                target.target_id, took_ms, now_ms=now_ms
            )
        is_congested = self._congestion.is_congested(now_ms)
        if is_congested != self._was_congested:
            self._was_congested = is_congested
            self._log.event(
                "congested" if is_congested else "not_congested",
                connect_ms=took_ms,
                target=target.target_id,
            )

    def known_peers(self) -> list[peers_lib.Peer]:
        """Returns the other instances that were seen recently."""
        return self._peers.recent(now_ms=self.loop.now_ms())

    @property
    def _is_fleet_known(self) -> bool:
        """Whether peers are known, or there are none."""
        age_ms = self.loop.now_ms() - self._created_at_ms
        return self._has_found_peers or (
            age_ms >= FLEET_DISCOVERY_MS and bool(self.known_peers())
        )

    @property
    def _has_found_peers(self) -> bool:
        """Whether instances that have started together know each other.

        Cold targets bear few senders beside the usual ones, while a peer may
        not know the other instances that have just started.
        """
        age_ms = self.loop.now_ms() - self._created_at_ms
        return (
            self._registration.has_initial_peers
            or age_ms >= MAX_FLEET_DISCOVERY_MS
        )

    def _cold_start_of(self, service: str) -> cold_starts.ColdStart | None:
        configuration = self.view.configuration
        known = configuration and configuration.service_by_name.get(service)
        return known.cold_start if known else None

    def _observe_cold_start(self, target: targets_lib.RegisteredTarget) -> None:
        now_ms = self.loop.now_ms()
        self.cold_starts.observe(
            target,
            is_watching=self.view.has_targets,
            is_recovering=self.view.is_recovering(now_ms),
            now_ms=now_ms,
        )

    def _record_refusal(self, target: targets_lib.RegisteredTarget) -> None:
        self.cold_starts.record_refusal(target.run, now_ms=self.loop.now_ms())

    def _log_cold_targets(self, now_ms: int) -> None:
        for cold, is_cold in self.cold_starts.changes(now_ms=now_ms):
            self._log.event(
                "target_cold" if is_cold else "target_warm",
                target=cold.run.target_id,
                target_started_ms=cold.run.started_at_ms,
                service=cold.service,
                max_requests_per_s=cold.max_requests_per_s if is_cold else None,
                remaining_ms=cold.until_ms - now_ms if is_cold else None,
            )

    def _observe_configuration(self) -> None:
        if self.view.configuration is not None:
            self._origins.observe_configuration(self.view.configuration)

    def _observe_versions(self) -> None:
        self._origins.observe(
            self.view.target_by_id,
            until_ms=self.view.read_at_ms,
            unseen_until_ms=self.view.unseen_until_ms,
        )

    def _catch_up(self) -> futures.Future:
        """Reads what has changed until now; returns whether that was read."""
        return tasks.spawn(self._read_changes())

    def _read_changes(self) -> tasks.Task:
        is_successful = yield self._follower.catch_up()
        self._observe_versions()
        return is_successful

    @property
    def records_versions(self) -> bool:
        """Whether this instance records the versions of services.

        Until it knows the fleet, it would take itself for the only one.
        """
        if not self._registration.has_initial_peers:
            return False
        peers = self.known_peers()
        if peers is not self._ranked_peers:
            self._ranked_peers = peers
            ranked = origin_replication.ranked_recorders(
                [*peers, self.local_instance]
            )
            recorders = ranked[: version_archive.RECORDER_COUNT]
            self._records_versions = self.local_instance in recorders
        return self._records_versions

    def _must_watch_store(self) -> bool:
        return self._relays.must_watch_store(
            now_ms=self.loop.now_ms(), checked_at_ms=self.view.checked_at_ms
        )

    def _cancel_quarantined(self) -> None:
        for dispatcher in list(self._context.unanswered):
            dispatcher.handle_quarantine_change()

    def _fleet_size(self) -> int:
        return self._peers.fleet_size(self.loop.now_ms())

    def _max_fleet_size(self) -> int | None:
        """Returns the number of instances that may be serving, once known.

        In the first start of the whole system, none serves yet.
        """
        if not (
            self._registration.has_initial_peers or self.settings.is_first_start
        ):
            return None
        return self._peers.max_fleet_size

    def _team_count(self) -> int:
        configuration = self.view.configuration
        return len(configuration.team_by_name) if configuration else 0

    def _prepaid_tokens(self, team: str) -> int | None:
        configuration = self.view.configuration
        if configuration is None or team not in configuration.team_by_name:
            return None
        return configuration.team_by_name[team].prepaid_tokens

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections."""
        return (
            self.view.is_ready
            and not self._is_draining
            and not self._congestion.is_congested(self.loop.now_ms())
            and not self._rotation.is_out(self.loop.now_ms())
            and not self._is_isolated
        )

    @property
    def _is_isolated(self) -> bool:
        """Whether requests reach neither a target nor a peer from here."""
        unreachable = self.unreachable_services
        services = {t.service for t in self.view.target_by_id.values()}
        if not unreachable or services - set(unreachable):
            return False
        return not self._context.forwarding_peers.is_serving

    @property
    def unreachable_services(self) -> list[str]:
        """Services of which this instance reaches no target."""
        return self._prober.reachability.cut_off_services

    @property
    def handed_over_count(self) -> int:
        """Number of requests of peers that are being served."""
        return self._context.handed_over_count

    @property
    def is_stopped(self) -> bool:
        """Whether a planned stop is complete."""
        return self._is_stopped

    def start(self) -> None:
        """Starts listening, and starts following the store."""
        settings = self.settings
        api = peer_api.PeerApi(
            view=self.view,
            era=self._era,
            peers=self._peers,
            local_instance=self.local_instance,
            rights=self.rights,
            origins=self._origins,
            quarantine=self.quarantine,
            limits=self.limits,
            leaving=self.leaving,
            brittle=self.brittle,
            log=self._log,
            loop=self.loop,
        )
        handler_by_address = {
            settings.peer_address: api.handle,
            settings.readiness_address: self._handle_readiness,
            settings.metrics_address: self._handle_metrics,
        }
        self._servers = [
            http_server.HttpServer(
                self.loop,
                address,
                handler,
                limit=self._connection_limit(
                    is_for_peers=address == settings.peer_address
                ),
            )
            for address, handler in handler_by_address.items()
        ]
        self._frontends = [
            frontend_lib.Frontend(self._context, settings.caller_address)
        ]
        if settings.forwarding_address is not None:
            self._frontends.append(
                frontend_lib.Frontend(
                    self._context,
                    settings.forwarding_address,
                    is_for_peers=True,
                )
            )
        self._given_up_clients = given_up_clients.GivenUpClients(
            self.loop.byte_budget,
            [each.limit for each in (*self._servers, *self._frontends)],
            metrics=self._metrics,
            log=self._log,
        )
        for component in self._components:
            component.start()
        self.loop.call_later(MAINTENANCE_INTERVAL_MS, self._run_maintenance)
        self._log.event(
            "started",
            incarnation=self._incarnation,
            zone=settings.availability_zone,
            callers=settings_lib.format_address(settings.caller_address),
            store=settings_lib.format_address(settings.store_address),
        )

    def _update_rotation(self) -> None:
        """Leaves the rotation for longer if returns end in overload.

        Connections that open slowly while the link has room have causes that
        soon pass, such as targets that restart.
        """
        now_ms = self.loop.now_ms()
        link = self.loop.link
        is_congested = self._congestion.is_congested(now_ms)
        self._rotation.record(
            is_overloaded=link.is_overloaded(now_ms)
            or (is_congested and link.is_busy(now_ms)),
            now_ms=now_ms,
        )
        is_out = self._rotation.is_out(now_ms)
        if is_out != self._was_out_of_rotation:
            self._was_out_of_rotation = is_out
            self._log.event(
                "rotation_left" if is_out else "rotation_rejoined",
                link_wait_ms=self.loop.link.wait_ms(now_ms),
            )

    def _connection_limit(
        self, *, is_for_peers: bool
    ) -> connection_limit.ConnectionLimit:
        max_descriptors = self.settings.max_descriptors
        max_connections = MAX_PROBE_CONNECTIONS
        if is_for_peers:
            max_connections = frontend_lib.max_connections(max_descriptors)
        return connection_limit.ConnectionLimit(
            max_connections,
            is_short=lambda: frontend_lib.is_short(self.loop, max_descriptors),
        )

    def _handle_readiness(self, request: messages.Request) -> http_server.Reply:
        del request
        return http_server.Reply(200 if self.is_ready else 503)

    def _handle_metrics(self, request: messages.Request) -> http_server.Reply:
        del request
        self._metrics.set_gauge(metrics_lib.INSTANCES, self._fleet_size())
        self._metrics.set_gauge(
            metrics_lib.UNREACHABLE_SERVICES,
            len(self.unreachable_services),
        )
        self._metrics.set_gauge(
            metrics_lib.MALFORMED_TARGETS, self.view.malformed_count
        )
        self._metrics.set_gauge(
            metrics_lib.EVACUATED_ZONES,
            len(self.view.evacuations.evacuated_zones),
        )
        self._metrics.set_gauge(
            metrics_lib.EVACUATED_ZONE_REQUESTS,
            sum(
                self._context.target_selector.own_running(target.target_id)
                for target in self.view.target_by_id.values()
                if self.view.is_evacuated(target)
            ),
        )
        self._metrics.set_gauge(
            metrics_lib.BRITTLE_SERVICES,
            len(
                self.brittle.targets.brittle_services(now_ms=self.loop.now_ms())
            ),
        )
        self._metrics.set_gauge(
            metrics_lib.COLD_TARGETS, self.cold_starts.cold_count
        )
        self._metrics.set_gauge(
            metrics_lib.SILENT_TARGETS,
            self._context.target_selector.unanswered_count(
                now_ms=self.loop.now_ms()
            ),
        )
        self._metrics.set_gauge(
            metrics_lib.WAITING_REQUESTS,
            self._context.room_queue.waiting_count,
        )
        self._metrics.set_gauge(
            metrics_lib.LINK_WAIT_MS, self.loop.link.wait_ms(self.loop.now_ms())
        )
        self._metrics.set_gauge(
            metrics_lib.OUT_OF_ROTATION, int(self._was_out_of_rotation)
        )
        self._metrics.set_gauge(
            metrics_lib.QUARANTINES, len(self.quarantine.suspicions.quarantines)
        )
        self._metrics.set_gauge(
            metrics_lib.HELD_BYTES, self.loop.byte_budget.held_bytes
        )
        self._metrics.set_gauge(
            metrics_lib.ACCEPTED_CONNECTIONS,
            self._given_up_clients.connections,
        )
        errors = self._context.target_selector.model.errors
        self._metrics.set_gauge(metrics_lib.PREDICTION_ERROR, errors.usual)
        self._metrics.set_gauge(metrics_lib.PREDICTIONS_OFF, errors.off_share)
        rendered = self._metrics.render()
        return http_server.Reply(200, rendered.body, rendered.content_type)

    def _run_maintenance(self) -> None:
        now_ms = self.loop.now_ms()
        self._given_up_clients.report()
        self.view.expire_lapsed_targets(now_ms)
        self._observe_versions()
        self.quarantine.evict_expired()
        self._context.pool.close_idle(now_ms=now_ms)
        self._context.peer_pool.close_idle(now_ms=now_ms)
        self._context.forwarding_peers.evict_expired(now_ms=now_ms)
        known_ids = set(self.view.target_by_id)
        self._context.target_selector.evict_missing(known_ids)
        self._log_cold_targets(now_ms)
        self.cold_starts.evict_missing(known_ids, now_ms=now_ms)
        self.limits.evict_missing(known_ids)
        self.brittle.evict_missing(known_ids)
        self._pauses.evict_expired(now_ms=now_ms)
        self._update_rotation()
        self._draw_for_changed_teams()
        if not self._is_stopped:
            self.loop.call_later(MAINTENANCE_INTERVAL_MS, self._run_maintenance)

    def _draw_for_changed_teams(self) -> None:
        """Draws rights for teams that are new or whose prepaid tokens changed.

        Nothing is drawn before the fleet is known, since an instance that takes
        itself for the only one would hold rights of every team.
        """
        configuration = self.view.configuration
        if (
            configuration is None
            or self._contact.is_unavailable
            or self._is_draining
        ):
            return
        if not self._registration.has_initial_peers:
            return
        changed = [
            team.name
            for team in configuration.team_by_name.values()
            if team.prepaid_tokens is not None
            and self._prepaid_by_team.get(team.name) != team.prepaid_tokens
        ]
        for team in changed:
            self._prepaid_by_team[team] = self._prepaid_tokens(team)
        self.rights.refresh_teams(changed)
        self.rights.tick()

    def reload(self, settings: settings_lib.GatewaySettings) -> None:
        """Applies new settings, but those that only a start can apply."""
        before, self.settings = self.settings, settings
        self._context.settings = settings
        self._log.event(
            "settings_reloaded",
            store=settings_lib.format_address(settings.store_address),
        )
        names = settings_lib.needing_restart(before, settings)
        if names:
            self._log.event(
                "settings_need_restart",
                settings=",".join(names),
                remedy="restart the instance; until then, their values from"
                " its start stay in force",
            )

    def stop(self) -> None:
        """Starts a planned stop, in which requests in flight are finished."""
        if self._is_draining:
            return
        self._is_draining = True
        self._log.event(
            "stopping",
            requests=self._active_requests(),
            timeout_ms=self.settings.stop_timeout_ms,
        )
        for frontend in self._frontends:
            frontend.drain()
        tasks.spawn(self._drain_and_stop())

    def _active_requests(self) -> int:
        return sum(frontend.active_requests for frontend in self._frontends)

    def _unsent_bytes(self) -> int:
        return sum(frontend.unsent_bytes for frontend in self._frontends)

    def _drain_and_stop(self) -> tasks.Task:
        started_ms = self.loop.now_ms()
        notice_ms = min(
            BALANCER_DETECTION_MS, self.settings.stop_timeout_ms // 2
        )
        reserve_ms = min(
            MAX_STOP_RESERVE_MS,
            round(STOP_RESERVE_FRACTION * self.settings.stop_timeout_ms),
        )
        bound_ms = self.settings.stop_timeout_ms - reserve_ms
        yield tasks.sleep(self.loop, notice_ms)
        self._context.is_rejecting_requests = True
        while self._active_requests():
            if self.loop.now_ms() - started_ms >= bound_ms:
                break
            for frontend in self._frontends:
                frontend.close_idle()
            yield tasks.sleep(self.loop, STOP_POLL_MS)
        unfinished = self._active_requests()
        for frontend in self._frontends:
            frontend.close_idle()
            frontend.end_requests("this instance stops before it is finished")
        rights_returned = self.rights.return_unused()
        due_ms = self.loop.now_ms() + reserve_ms // 2
        while self._unsent_bytes() and self.loop.now_ms() < due_ms:
            yield tasks.sleep(self.loop, STOP_POLL_MS)
        unsent_bytes = self._unsent_bytes()
        for frontend in self._frontends:
            frontend.close()
        yield rights_returned
        for component in self._components:
            component.stop()
        yield tasks.sleep(self.loop, STOP_POLL_MS)
        self._log.event(
            "stopped",
            unfinished_requests=unfinished,
            unsent_bytes=unsent_bytes,
            took_ms=self.loop.now_ms() - started_ms,
        )
        self._is_stopped = True

    def close(self) -> None:
        """Closes all connections and servers without draining."""
        self._is_stopped = True
        for component in self._components:
            component.stop()
        self._prober.close()
        for frontend in self._frontends:
            frontend.close()
        for server in self._servers:
            server.close()

    def __repr__(self) -> str:
        return f"GatewayProcess({self.settings.instance!r})"


class SignalDispatcher:
    """Runs callbacks on the event loop when signals arrive.

    Args:
        loop: The event loop.
        callback_by_signal: Callback for each signal number.
    """

    __slots__ = ("_callback_by_signal", "_pipe")

    def __init__(self, loop: loop_lib.EventLoop, callback_by_signal) -> None:
        self._callback_by_signal = callback_by_signal
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        os.set_blocking(writer, False)
        self._pipe = reader, writer
        for signal_number in callback_by_signal:
            signal.signal(signal_number, lambda *_: None)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        loop.watch(reader, loop_lib.READ, self._dispatch)

    def _dispatch(self, events: int) -> None:
        del events
        for signal_number in os.read(self._pipe[0], 64):
            callback = self._callback_by_signal.get(signal_number)
            if callback is not None:
                callback()


def new_log(
    clock: clock_lib.Clock, settings: settings_lib.GatewaySettings
) -> event_log.EventLog:
    """Returns an event log of the process on standard output."""
    return event_log.EventLog(
        clock,
        instance=settings.instance,
        descriptor=event_log.STANDARD_OUTPUT,
    )
