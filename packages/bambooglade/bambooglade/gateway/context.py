"""What the requests of one process share."""

from __future__ import annotations

import collections
import random

from bambooglade.core import event_log
from bambooglade.discovery import view as view_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import codec as codec_lib
from bambooglade.gateway import congestion as congestion_lib
from bambooglade.gateway import placement as placement_lib
from bambooglade.gateway import retry_allowance
from bambooglade.gateway import settings as settings_lib
from bambooglade.gateway import target_pool
from bambooglade.rights import manager as manager_lib
from bambooglade.router import metrics as metrics_lib


class GatewayContext:
    """Collaborators of an exchange.

    Attributes:
        loop: The event loop.
        settings: Settings of the process.
        view: Configuration and targets.
        codec: Decodes headers.
        placement: Chooses targets.
        pool: Sends to targets.
        congestion: Whether this instance is congested.
        is_refusing: Whether it stops too soon to finish new requests.
        rights: Spending rights.
        metrics: Counters.
        log: The log.
        random_source: Spreads returns and weighted routes.
    """

    __slots__ = (
        "_allowance_by_service",
        "_fleet_size",
        "codec",
        "congestion",
        "is_refusing",
        "log",
        "loop",
        "metrics",
        "placement",
        "pool",
        "random_source",
        "rights",
        "settings",
        "view",
    )

    def __init__(
        self,
        *,
        loop: loop_lib.EventLoop,
        settings: settings_lib.GatewaySettings,
        view: view_lib.FleetView,
        codec: codec_lib.HeaderCodec,
        placement: placement_lib.Placement,
        pool: target_pool.TargetPool,
        congestion: congestion_lib.Congestion,
        rights: manager_lib.RightsManager,
        metrics: metrics_lib.Metrics,
        log: event_log.EventLog,
        fleet_size,
        random_source: random.Random,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.view = view
        self.codec = codec
        self.placement = placement
        self.pool = pool
        self.congestion = congestion
        self.is_refusing = False
        self.rights = rights
        self.metrics = metrics
        self.log = log
        self.random_source = random_source
        self._fleet_size = fleet_size
        self._allowance_by_service: dict[
            str, retry_allowance.RetryAllowance
        ] = collections.defaultdict(self._new_allowance)

    def retries(self, service: str) -> retry_allowance.RetryAllowance:
        """Returns the retries that requests to a service may draw on."""
        return self._allowance_by_service[service]

    def _new_allowance(self) -> retry_allowance.RetryAllowance:
        return retry_allowance.RetryAllowance(
            ratio=self.settings.retry_ratio,
            slack=self.settings.retry_slack,
            window_ms=self.settings.retry_window_ms,
            fleet_size=self._fleet_size,
        )
