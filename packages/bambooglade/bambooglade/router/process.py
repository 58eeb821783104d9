"""One router process: its components, threads and server."""

from __future__ import annotations

import functools
import random
import time

from absl import logging

from bambooglade.core import clock as clocks
from bambooglade.core import identifiers
from bambooglade.fleet import drain as drains
from bambooglade.router import admission_gate
from bambooglade.router import application
from bambooglade.router import budget_inspector
from bambooglade.router import call_session
from bambooglade.router import caller_api
from bambooglade.router import caller_request
from bambooglade.router import construction
from bambooglade.router import counted_store
from bambooglade.router import decision_recorder
from bambooglade.router import dispatch
from bambooglade.router import drain_steps
from bambooglade.router import effect_waiters
from bambooglade.router import fleet_refresh
from bambooglade.router import gauges
from bambooglade.router import granted_tokens_cache
from bambooglade.router import metrics as metrics_lib
from bambooglade.router import operator_api
from bambooglade.router import operator_credentials
from bambooglade.router import operator_service
from bambooglade.router import order_worker
from bambooglade.router import peer_api
from bambooglade.router import runtime as runtimes
from bambooglade.router import settings as settings_lib
from bambooglade.router import target_descriptions
from bambooglade.router import target_directory
from bambooglade.router import target_watcher
from bambooglade.router import ticker
from bambooglade.router import trace
from bambooglade.shards import assignments
from bambooglade.store import platform_http
from bambooglade.table import credentials
from bambooglade.table import view
from bambooglade.targets import warm_ups
from bambooglade.transport import client as client_lib
from bambooglade.transport import codec as codecs
from bambooglade.transport import peers as transport_peers
from bambooglade.transport import sealing
from bambooglade.transport import signing

_DRAIN_POLL_MS = 50
_MS_PER_S = 1_000


class RouterProcess:
    """Runs the components of an instance and connects them to the network.

    Args:
        settings: The validated settings.
        clock: Source of the current time.

    See Also:
        bambooglade.router.main: entry point that runs it.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        *,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock or clocks.Clock()
        self._is_started = False
        self._application = application.Application()
        self._message_budget = construction.message_budget(
            settings, self._clock
        )
        self._server = construction.server(
            self._application, settings, self._clock, self._message_budget
        )
        self.instance_id = construction.new_instance_id(settings.instance.name)
        self._metrics = metrics_lib.Metrics()
        self._store_client = construction.store(settings)
        self._store = counted_store.CountedStore(
            self._store_client, self._metrics
        )
        self._granted_tokens = granted_tokens_cache.GrantedTokensCache(
            self._store, shard_count=settings.instance.shard_count
        )
        self._networked = construction.networked(
            self.instance_id,
            self.url,
            settings=settings,
            granted_tokens=self._granted_tokens,
        )
        self._drain = self._build_drain()
        self._build()

    @property
    def url(self) -> str:
        """Base URL of the instance."""
        return self._server.url

    @property
    def table(self) -> view.TableView:
        """Rows in force at this instance."""
        return self._networked.table

    def peers(self) -> tuple[identifiers.InstanceId, ...]:
        """Returns the other instances that are not marked dead."""
        return self._networked.membership.peers()

    def start(self) -> None:
        """Starts all threads and the server."""
        self._runtime.start(self._peers)
        self._watch.start()
        self._gauge_ticker.start()
        self._fleet_ticker.start()
        self._target_watcher.start()
        self._order_ticker.start()
        self._server.start()
        self._is_started = True
        logging.info(
            "event=instance_started instance=%s zone=%s url=%s",
            self.instance_id,
            self._settings.instance.availability_zone,
            self.url,
        )

    def stop(self) -> None:
        """Stops gracefully, within the time limit of the settings.

        The instance first reports to the load balancer that it is not ready.
        Calls in flight then end, settlements are acknowledged and shards are
        handed over before the instance leaves the fleet.
        """
        self._server.drain()
        self._runtime.decide(self._drain.begin)
        while not self._drain.is_ended:
            time.sleep(_DRAIN_POLL_MS / _MS_PER_S)
            self._runtime.decide(self._drain.tick)
        logging.info("event=instance_stopped instance=%s", self.instance_id)
        self._server.stop()
        self._close()

    def kill(self) -> None:
        """Stops immediately without a drain, to simulate a crash in tests."""
        self._is_started = False
        self._runtime.halt()
        self._server.kill()
        self._close()

    def _build_drain(self) -> drains.Drain:
        components = self._networked.components
        membership = self._networked.membership
        bound_ms = self._settings.limits.drain_bound_ms
        return drains.Drain(
            steps=tuple(
                drain_steps.build_steps(
                    components, membership, bound_ms=bound_ms
                )
            ),
            bound_ms=bound_ms,
        )

    def _build(self) -> None:
        waiters = effect_waiters.EffectWaiters()
        random_source = random.Random()
        ring = trace.TraceRing(capacity=self._settings.limits.trace_capacity)
        self._runtime = runtimes.Runtime(
            parts=self._networked.components,
            machine=decision_recorder.DecisionRecorder(
                self._networked.components.machine,
                ring=ring,
                instance_id=self.instance_id,
                fleet=self._networked.membership,
            ),
            clock=self._clock,
            store=self._store,
            budget=construction.budget(
                self._settings, random_source, self._clock
            ),
            waiters=waiters,
        )
        self._peers = self._build_peers()
        self._watch = construction.watch(
            self._store, self._runtime, self._networked.table, random_source
        )
        dispatch_context = self._build_dispatch_context(ring)
        directory = dispatch_context.directory
        self._fleet_ticker = self._build_fleet_ticker(directory)
        self._gauge_ticker = self._build_gauge_ticker(directory)
        self._operator_service = operator_service.OperatorService(
            networked=self._networked,
            runtime=self._runtime,
            waiters=waiters,
            inspector=budget_inspector.BudgetInspector(
                networked=self._networked,
                runtime=self._runtime,
                waiters=waiters,
                store=self._store,
            ),
            ring=ring,
            targets=lambda: tuple(
                target_descriptions.describe(dispatch_context.directory)
            ),
            granted_tokens=self._granted_tokens,
            clock=self._clock,
        )
        self._application.connect(
            callers=self._build_caller_api(dispatch_context, ring),
            operators=self._build_operator_api(),
            instances=peer_api.PeerApi(self._peers),
        )

    def _build_peers(self) -> transport_peers.Peers:
        security = self._settings.security
        previous = security.previous_shared_key
        signer = signing.Signer(
            security.shared_key.reveal().encode(),
            also_accepted=previous.reveal().encode() if previous else None,
        )
        sealer = sealing.Sealer(
            instance_id=self.instance_id,
            signer=signer,
            clock=self._clock,
            codec=codecs.Codec(),
            aliases=(identifiers.InstanceId(f"url:{self.url}"),),
        )
        return transport_peers.Peers(
            sealer=sealer,
            clock=self._clock,
            url_of=self._networked.membership.url,
            receive=self._runtime.receive,
            on_refused=self._connection_refused,
            client=client_lib.HttpClient(ca_file=security.ca_file),
        )

    def _keep_served(self, place: assignments.ZoneShard) -> None:
        self._runtime.decide(
            functools.partial(
                self._networked.components.host.keep_served, place
            )
        )

    def _connection_refused(self, peer: identifiers.InstanceId) -> None:
        self._runtime.decide(
            functools.partial(
                self._networked.membership.record_connection_refused, peer
            )
        )

    def _build_dispatch_context(
        self, ring: trace.TraceRing
    ) -> dispatch.DispatchContext:
        client = client_lib.HttpClient()
        table = self._networked.table
        directory = target_directory.TargetDirectory(
            availability_zone=identifiers.AvailabilityZone(
                self._settings.instance.availability_zone
            ),
            instance_id=self.instance_id,
            table=table,
            clock=self._clock,
            leaving_targets=self._networked.leaving_targets,
            warm_ups=warm_ups.WarmUps(
                table,
                edited_at_ms=lambda row_key: (
                    record.edited_at_ms
                    if (record := table.record(row_key)) is not None
                    else None
                ),
                is_loaded=lambda: table.loaded,
            ),
        )
        platform = self._settings.platform
        weights_url = platform.weight_store_url
        self._target_watcher = target_watcher.TargetWatcher(
            directory=directory,
            client=client,
            instance_list=self._instance_list(),
            weight_store=(
                platform_http.HttpWeightStore(url=weights_url)
                if weights_url
                else None
            ),
        )
        self._order_ticker = self._build_order_ticker(client)
        return dispatch.DispatchContext(
            directory=directory,
            client=client,
            clock=self._clock,
            ring=ring,
            instance_id=self.instance_id,
            suspicions=self._networked.suspicions,
        )

    def _build_order_ticker(
        self, client: client_lib.HttpClient
    ) -> ticker.Ticker:
        worker = order_worker.OrderWorker(
            instance_id=self.instance_id,
            table=self._networked.table,
            assignment_map=self._networked.components.assignment_map,
            shard_count=self._settings.instance.shard_count,
            client=client,
            clock=self._clock,
            on_unassigned=self._keep_served,
        )
        return ticker.Ticker(
            action=worker.run_once,
            pause_ms=order_worker.PERIOD_MS,
            name="orders",
        )

    def _instance_list(self) -> platform_http.HttpInstanceList | None:
        url = self._settings.platform.instance_list_url
        return platform_http.HttpInstanceList(url=url) if url else None

    def _build_fleet_ticker(
        self, directory: target_directory.TargetDirectory
    ) -> ticker.Ticker:
        refresh = fleet_refresh.FleetRefresh(
            instance_list=self._instance_list(),
            membership=self._networked.membership,
            runtime=self._runtime,
            clock=self._clock,
            directory=directory,
            own_url=self.url,
        )
        return ticker.Ticker(
            action=refresh.refresh,
            pause_ms=fleet_refresh.PAUSE_MS,
            name="fleet",
        )

    def _build_gauge_ticker(
        self, directory: target_directory.TargetDirectory
    ) -> ticker.Ticker:
        instance_gauges = gauges.Gauges(
            self._networked, self._metrics, directory, self._message_budget
        )
        return ticker.Ticker(
            action=lambda: self._runtime.decide(instance_gauges.refresh),
            pause_ms=gauges.PAUSE_MS,
            name="gauges",
        )

    def _build_caller_api(
        self, dispatch_context: dispatch.DispatchContext, ring: trace.TraceRing
    ) -> caller_api.CallerApi:
        session_context = call_session.SessionContext(
            port=self._runtime,
            gate=admission_gate.AdmissionGate(self._clock),
            clock=self._clock,
            ring=ring,
            metrics=self._metrics,
            instance_id=self.instance_id,
            availability_zone=self._settings.instance.availability_zone,
            is_excluded=dispatch_context.directory.is_excluded,
        )
        return caller_api.CallerApi(
            session_context=session_context,
            dispatch_context=dispatch_context,
            table=self._networked.table,
            authenticator=credentials.TeamAuthenticator(
                self._networked.table, credentials.Verifier()
            ),
            is_ready=self._is_ready,
            deadlines=caller_request.DeadlineLimits(
                default_ms=self._settings.limits.default_deadline_ms,
                maximum_ms=self._settings.limits.max_deadline_ms,
            ),
        )

    def _build_operator_api(self) -> operator_api.OperatorApi:
        authenticator = operator_credentials.OperatorAuthenticator(
            self._networked.table,
            bootstrap_key_hash=(
                self._settings.security.bootstrap_operator_key_hash
            ),
        )
        return operator_api.OperatorApi(
            self._operator_service, authenticator=authenticator
        )

    def _is_ready(self) -> bool:
        return (
            self._is_started
            and self._drain.is_ready
            and self._networked.table.loaded
        )

    def _close(self) -> None:
        self._target_watcher.stop()
        self._order_ticker.stop(timeout_ms=construction.STOP_TIMEOUT_MS)
        self._fleet_ticker.stop(timeout_ms=construction.STOP_TIMEOUT_MS)
        self._gauge_ticker.stop(timeout_ms=construction.STOP_TIMEOUT_MS)
        self._store_client.close()
        self._watch.close()
        self._runtime.stop()
        self._peers.close()
        self._operator_service.close()

    def __repr__(self) -> str:
        return f"RouterProcess(instance_id={self.instance_id!r})"
