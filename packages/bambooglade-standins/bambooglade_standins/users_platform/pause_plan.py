"""Chooses fleets, requests, changes and pauses of the pause soak; without I/O.

See Also:
    bambooglade_standins.users_platform.soak_pauses: carries the plan out.
"""

from __future__ import annotations

from collections.abc import Sequence
import math
import random

import msgspec

from bambooglade_standins.users_platform import caller_process
from bambooglade_standins.users_platform import pause_records
from bambooglade_standins.users_platform import platform_harness as harness_lib

ENGINE_SERVICES = ("jury", "panel")
"""Services of model engines, between which routes move."""

PLAIN_SERVICE = "portal"
VERSION = "v1"
IDLE_TIMEOUTS_MS = (2_500, 4_000, 6_000, 10_000, 15_000)
PAUSE_DELAY_MS = 600
"""Time from a change of the configuration until engines are stopped."""

PAUSES_MS = (1_000, 1_300)
"""Shortest and longest pause."""

CHANGE_PERIOD_MS = 6_000
OVERLAP_DELAY_MS = 700
"""Time after a change until another one, which falls into the pause."""

OVERLAP_SHARE = 0.4
FIRST_CHANGE_MS = 4_000
PAUSED_SHARES = (0.6, 1.0)
CHANGES = ("idle", "timeout", "route")
MAX_ATTEMPTS_BY_KIND = {
    "critique": 1,
    "feedback": 2,
    "tag": 1,
    "submit": 1,
    "check": 2,
}
"""Numbers of engines at which a request of each kind may run."""

REPEATABLE_KINDS = ("feedback", "check")
TIMEOUT_MS_BY_KIND = {
    "critique": 15_000,
    "feedback": 12_000,
    "tag": 3_000,
    "submit": 1_200,
    "check": 1_200,
}
TIMEOUT_FACTORS = (0.7, 1.0, 1.4)
MOVED_KINDS = ("critique", "feedback", "feedback", "tag")
"""Kinds whose routes move to other services, the resumable one more often."""

ROUTE_CHOICES = (("jury",), ("panel",), ("jury", "panel"))

KINDS = [
    caller_process.Kind(
        name="critique",
        weight=13.1,
        events=(30, 64),
        pace_ms=(20, 50),
        deadline_ms=15_000,
        max_gap_ms=4_000,
    ),
    caller_process.Kind(
        name="feedback",
        weight=21.1,
        events=(20, 64),
        pace_ms=(20, 50),
        deadline_ms=12_000,
        max_gap_ms=3_200,
        is_repeatable=True,
    ),
    caller_process.Kind(
        name="tag",
        weight=19.4,
        events=(4, 8),
        pace_ms=(20, 50),
        deadline_ms=3_000,
        max_gap_ms=3_200,
    ),
    caller_process.Kind(
        name="submit", weight=13.4, pace_ms=(20, 60), deadline_ms=2_500
    ),
    caller_process.Kind(
        name="check",
        weight=8.0,
        method="GET",
        pace_ms=(20, 60),
        deadline_ms=2_500,
        is_repeatable=True,
    ),
]
"""Kinds of requests, with the mix of the deployments."""


class FleetSize(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of processes, and the load.

    Attributes:
        gateways: Number of gateways.
        engines_by_service: Number of engines of each service.
        rate_per_s: Requests per second.
        slack: Slack of the retry budget.
        slots: Slots of a model engine.
        queue: Requests that may wait at a model engine.
        backlog: Size of the accept queue of an engine.
        max_connections: Most connections of a model engine.
        idle_timeout_s: Time after which engines close idle connections.
        zones: Number of availability zones.
        dropped_share: Share of streams that may be resumed whose connection to
            the caller breaks once.
    """

    gateways: int
    engines_by_service: dict[str, int]
    rate_per_s: float
    slack: float
    slots: int = 64
    queue: int = 192
    backlog: int = 128
    max_connections: int = 360
    idle_timeout_s: int = 8
    zones: int = 4
    dropped_share: float = 0.1


SIZES = {
    "small": FleetSize(
        gateways=3,
        engines_by_service={"jury": 3, "panel": 2, "portal": 2},
        rate_per_s=40,
        slack=12,
        slots=24,
        queue=8,
        backlog=8,
    ),
    "one-zone": FleetSize(
        gateways=5,
        engines_by_service={"jury": 2, "panel": 2, "portal": 1},
        rate_per_s=80,
        slack=12,
        zones=1,
        dropped_share=0.5,
    ),
    "quetzal": FleetSize(
        gateways=6,
        engines_by_service={"jury": 5, "panel": 3, "portal": 4},
        rate_per_s=75,
        slack=52,
    ),
    "quetzal-heavy": FleetSize(
        gateways=6,
        engines_by_service={"jury": 5, "panel": 3, "portal": 4},
        rate_per_s=140,
        slack=52,
        slots=24,
        queue=12,
        backlog=16,
    ),
    "thistle-meals": FleetSize(
        gateways=9,
        engines_by_service={"jury": 5, "panel": 3, "portal": 4},
        rate_per_s=82,
        slack=58,
    ),
    "grown": FleetSize(
        gateways=40,
        engines_by_service={"jury": 20, "panel": 10, "portal": 12},
        rate_per_s=250,
        slack=200,
    ),
}
"""Sizes of the deployments, and smaller ones."""


class Plan:
    """Changes of the configuration, and pauses of engines soon after them.

    Args:
        seed: Seed of the choices.
        size: Size of the fleet.
        kinds_of_changes: What the changes change.
        duration_ms: Time for which callers send requests.

    Attributes:
        changes: Versions of the configuration; times are from the beginning.
        pauses: Pauses of engines; times are from the beginning.
    """

    __slots__ = ("_kinds_of_changes", "_random", "_size", "changes", "pauses")

    def __init__(
        self,
        seed: int,
        size: FleetSize,
        *,
        kinds_of_changes: Sequence[str],
        duration_ms: int,
    ) -> None:
        self._random = random.Random(seed)
        self._size = size
        self._kinds_of_changes = kinds_of_changes
        self.changes: list[pause_records.Change] = []
        self.pauses: list[pause_records.Pause] = []
        self._choose(duration_ms)

    def __repr__(self) -> str:
        return f"Plan(changes={len(self.changes)}, pauses={len(self.pauses)})"

    def _choose(self, duration_ms: int) -> None:
        """Chooses changes, and a pause soon after each."""
        state = self._first_state()
        self.changes.append(state)
        at_ms = FIRST_CHANGE_MS
        while at_ms + PAUSE_DELAY_MS + PAUSES_MS[1] < duration_ms:
            state = self._changed(state, at_ms)
            self.changes.append(state)
            self._plan_pause(at_ms + PAUSE_DELAY_MS)
            if self._random.random() < OVERLAP_SHARE:
                state = self._changed(state, at_ms + OVERLAP_DELAY_MS)
                self.changes.append(state)
            at_ms += CHANGE_PERIOD_MS

    def _plan_pause(self, at_ms: int) -> None:
        service = self._random.choice(ENGINE_SERVICES)
        share = self._random.choice(PAUSED_SHARES)
        count = self._size.engines_by_service[service]
        names = [f"{service}-{number}" for number in range(count)]
        self.pauses.append(
            pause_records.Pause(
                began_at_ms=at_ms,
                ended_at_ms=at_ms + self._random.randint(*PAUSES_MS),
                engines=tuple(
                    sorted(self._random.sample(names, math.ceil(share * count)))
                ),
            )
        )

    def _first_state(self) -> pause_records.Change:
        return pause_records.Change(
            at_ms=0,
            how="first",
            idle_timeout_ms=self._random.choice(IDLE_TIMEOUTS_MS),
            route_by_kind={
                kind: pause_records.RouteState(
                    services=(
                        ("jury",)
                        if any(k.name == kind and k.events[1] for k in KINDS)
                        else (PLAIN_SERVICE,)
                    ),
                    timeout_ms=timeout_ms,
                    max_attempts=MAX_ATTEMPTS_BY_KIND[kind],
                    is_repeatable=kind in REPEATABLE_KINDS,
                )
                for kind, timeout_ms in TIMEOUT_MS_BY_KIND.items()
            },
        )

    def _changed(
        self, state: pause_records.Change, at_ms: int
    ) -> pause_records.Change:
        """Returns the next version of the configuration."""
        how = self._random.choice(self._kinds_of_changes)
        idle_timeout_ms = state.idle_timeout_ms
        routes = dict(state.route_by_kind)
        if how == "idle":
            idle_timeout_ms = self._random.choice(
                [t for t in IDLE_TIMEOUTS_MS if t != idle_timeout_ms]
            )
        elif how == "timeout":
            factor = self._random.choice(TIMEOUT_FACTORS)
            for kind, timeout_ms in TIMEOUT_MS_BY_KIND.items():
                routes[kind] = msgspec.structs.replace(
                    routes[kind], timeout_ms=round(factor * timeout_ms)
                )
        else:
            kind = self._random.choice(MOVED_KINDS)
            others = [s for s in ROUTE_CHOICES if s != routes[kind].services]
            routes[kind] = msgspec.structs.replace(
                routes[kind], services=self._random.choice(others)
            )
        return pause_records.Change(
            at_ms=at_ms,
            how=how,
            idle_timeout_ms=idle_timeout_ms,
            route_by_kind=routes,
        )


def encode_configuration(
    change: pause_records.Change, *, version: int, size: FleetSize
) -> bytes:
    """Returns a configuration, as the operator writes it.

    Args:
        change: What the version says.
        version: Its number.
        size: Size of the fleet.
    """
    routes = [
        {
            "name": kind,
            "hostname": harness_lib.HOST.decode(),
            "pathPrefix": f"/{kind}/",
            "routeType": _route_type(kind),
            "timeoutMs": route.timeout_ms,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": route.services[0],
            "trafficSplit": (
                [{"service": s, "weight": 0.5} for s in route.services]
                if len(route.services) > 1
                else []
            ),
            "maxAttempts": route.max_attempts,
            "public": False,
            "sessionAffinity": _is_stream(kind),
            "streamResumption": _is_stream(kind) and route.is_repeatable,
            "targetGapMs": 400,
        }
        for kind, route in change.route_by_kind.items()
    ]
    services = [
        {
            "name": name,
            "maxConnections": size.max_connections,
            "engine": {
                "slots": size.slots,
                "kvCapacityTokens": 500_000,
                "stride": 6,
            },
        }
        for name in ENGINE_SERVICES
    ]
    services.append({"name": PLAIN_SERVICE, "maxConnections": 96})
    return msgspec.json.encode(
        {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 4_096,
                "maxBodyBytes": 100_000,
                "headerTimeoutMs": 3_000,
                "idleTimeoutMs": change.idle_timeout_ms,
            },
            "tenants": [
                {
                    "name": harness_lib.TEAM,
                    "apiKeys": [harness_lib.KEY.decode()],
                    "prepaid": 10**9,
                }
            ],
        }
    )


def _is_stream(kind: str) -> bool:
    return any(k.name == kind and k.events[1] for k in KINDS)


def _route_type(kind: str) -> str:
    if _is_stream(kind):
        return "streaming"
    return "safe" if kind in REPEATABLE_KINDS else "unsafe"
