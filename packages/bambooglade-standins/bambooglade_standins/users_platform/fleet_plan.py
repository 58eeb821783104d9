"""Chooses fleets, requests, changes and troubles of the fleet soak; no I/O.

See Also:
    bambooglade_standins.users_platform.soak_fleet: carries the plan out.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
import math
import random

import msgspec

from bambooglade_standins.users_platform import caller_process
from bambooglade_standins.users_platform import endless_bytes
from bambooglade_standins.users_platform import fleet_records
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
TOP_UP = "top-up"
"""Change that raises the prepaid total, which is small from the start."""

STORM = "storm"
"""Changes that come in quick succession."""

GRACE_S = 8
"""Time that a process has to stop, as on the users' deployments."""

GAPS_MS_CHOICES = ((100, 2_500), (1_500, 6_000))
"""Shortest and longest times from one trouble to the next; they overlap in some
runs, and come in series in others."""

CALM_GAPS_MS = (4_000, 7_000)
"""The same after planned work alone, so that it is not excused by others."""

LAST_TROUBLE_MS = 3_000
"""Time before the end of the run after which no trouble begins."""

ABSENCE_MS = (1_500, 4_000)
"""Shortest and longest time for which all engines of a service are gone."""

EVACUATION_MS = (7_000, 10_000)
"""Shortest and longest evacuation of a zone; 5,000 ms until its effect."""

COLD = "cold"
COLD_START_S = 3
COLD_PER_S = 10
"""What the configuration says of cold engines, if troubles include `COLD`."""

COLD_AGAIN_MS = (4_000, 8_000)
"""Shortest and longest time for which running engines are cold again."""

CALM_AFTER_ABSENCE_MS = 12_000
"""Time before the next trouble, in which requests have to be served again."""

STORM_CHANGES = 6
STORM_GAP_MS = 150
"""Changes in quick succession, and the time from one to the next."""

PREPAID_S = 8
"""Time for which the first prepaid total lasts, at the usual load."""

TOP_UP_TOKENS = 15_000
MEAN_TOKENS = 500
"""Tokens of a usual request, over all kinds."""
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


class TroubleChooser:
    """Chooses troubles of one kind.

    Args:
        source: Source of the choices.
        size: Size of the fleet.
        grace_s: Time that a process has to stop.
    """

    __slots__ = ("_grace_ms", "_random", "_size")

    def __init__(
        self, source: random.Random, size: FleetSize, *, grace_s: float
    ) -> None:
        self._random = source
        self._size = size
        self._grace_ms = round(1_000 * grace_s)

    def _span(self, at_ms: int, least_ms: int, most_ms: int) -> dict[str, int]:
        return {
            "began_at_ms": at_ms,
            "ended_at_ms": at_ms + self._random.randint(least_ms, most_ms),
        }

    def _some(self, names: Sequence[str]) -> tuple[str, ...]:
        """Returns one of the names, some or all of them."""
        count = self._random.choice(
            (1, 1, math.ceil(len(names) / 2), len(names))
        )
        return tuple(sorted(self._random.sample(names, count)))

    def _engines(self) -> tuple[str, ...]:
        service = self._random.choice((*ENGINE_SERVICES, PLAIN_SERVICE))
        count = self._size.engines_by_service[service]
        return self._some([f"{service}-{n}" for n in range(count)])

    def _gateways(self) -> tuple[str, ...]:
        return self._some([f"edge-{n}" for n in range(self._size.gateways)])

    def pause_engines(self, at_ms: int) -> fleet_records.Trouble:
        """Returns a pause of engines."""
        return fleet_records.EnginesPaused(
            **self._span(at_ms, *PAUSES_MS), names=self._engines()
        )

    def kill_engines(self, at_ms: int) -> fleet_records.Trouble:
        """Returns a crash of engines."""
        return fleet_records.EnginesKilled(
            **self._span(at_ms, 300, 4_000), names=self._engines()
        )

    def misbehave(
        self, at_ms: int, behaviour: fleet_records.Behaviour
    ) -> fleet_records.Trouble:
        """Returns a time in which engines do not serve as they should."""
        return fleet_records.EnginesMisbehave(
            **self._span(at_ms, 1_000, 8_000),
            names=self._engines(),
            behaviour=behaviour,
        )

    def leave(self, at_ms: int) -> fleet_records.Trouble:
        """Returns a planned replacement of engines."""
        return fleet_records.EnginesLeave(
            **self._span(at_ms, 4_000, 5_000), names=self._engines()[:1]
        )

    def stop_gateways(self, at_ms: int) -> fleet_records.Trouble:
        """Returns a planned stop of some gateways, never of all."""
        names = self._gateways()[: max(1, self._size.gateways // 2)]
        return fleet_records.GatewaysStopped(
            began_at_ms=at_ms,
            ended_at_ms=at_ms + self._grace_ms + 500,
            names=names,
        )

    def kill_gateways(self, at_ms: int) -> fleet_records.Trouble:
        """Returns a kill of gateways."""
        return fleet_records.GatewaysKilled(
            **self._span(at_ms, 300, 2_500), names=self._gateways()
        )

    def freeze_gateways(self, at_ms: int) -> fleet_records.Trouble:
        """Returns a pause of gateways."""
        return fleet_records.GatewaysFrozen(
            **self._span(at_ms, 500, 4_000), names=self._gateways()
        )

    def disturb_store(self, at_ms: int) -> fleet_records.Trouble:
        """Returns a time in which the store does not serve as usual."""
        return fleet_records.StoreDisturbed(
            **self._span(at_ms, 1_000, 8_000),
            fault=self._random.choice(STORE_FAULTS),
        )

    def press(self, at_ms: int) -> fleet_records.Trouble:
        """Returns a burst of requests."""
        return fleet_records.CallersPress(
            **self._span(at_ms, 2_000, 6_000),
            factor=self._random.choice((2.0, 4.0)),
            is_impatient=self._random.random() < 0.5,
        )

    def send_fatal(self, at_ms: int) -> fleet_records.Trouble:
        """Returns a time in which callers send what engines crash on."""
        return fleet_records.CallersSendFatal(
            **self._span(at_ms, 6_000, 15_000),
            is_repeated=self._random.random() < 0.5,
        )

    def end_services(self, at_ms: int) -> fleet_records.Trouble:
        """Returns the end of all engines of one service, or of all."""
        services = self._random.choice(
            (("jury",), (PLAIN_SERVICE,), (*ENGINE_SERVICES, PLAIN_SERVICE))
        )
        return fleet_records.ServicesEnded(
            **self._span(at_ms, *ABSENCE_MS),
            names=tuple(
                f"{service}-{number}"
                for service in services
                for number in range(self._size.engines_by_service[service])
            ),
            keeps_ids=self._random.random() < 0.3,
        )

    def send_without_end(self, at_ms: int) -> fleet_records.Trouble:
        """Returns a time in which engines send bytes without end."""
        return self.misbehave(
            at_ms,
            fleet_records.Behaviour(
                endless=self._random.choice([*endless_bytes.BY_NAME])
            ),
        )

    def reload_gateways(self, at_ms: int) -> fleet_records.Trouble:
        """Returns a change of the settings files of gateways."""
        return fleet_records.GatewaysReloaded(
            **self._span(at_ms, 100, 1_000), names=self._gateways()
        )

    def reset_connections(self, at_ms: int) -> fleet_records.Trouble:
        """Returns a reset of the connections of gateways to engines."""
        return fleet_records.ConnectionsReset(
            began_at_ms=at_ms, ended_at_ms=at_ms, names=self._gateways()
        )

    def cool(self, at_ms: int) -> fleet_records.Trouble:
        """Returns a crash of engines, or that they are cold without one."""
        if self._random.random() < 0.5:
            return self.kill_engines(at_ms)
        return fleet_records.EnginesCold(
            **self._span(at_ms, *COLD_AGAIN_MS), names=self._engines()
        )

    def evacuate(self, at_ms: int) -> fleet_records.Trouble:
        """Returns an evacuation of a zone."""
        zone = zone_name(self._random.randrange(self._size.zones))
        return fleet_records.ZonesEvacuated(
            **self._span(at_ms, *EVACUATION_MS), names=(zone,)
        )

    def __repr__(self) -> str:
        return f"TroubleChooser(grace_ms={self._grace_ms})"


def _misbehave(
    **behaviour: float,
) -> Callable[[TroubleChooser, int], fleet_records.Trouble]:
    return lambda chooser, at_ms: chooser.misbehave(
        at_ms, fleet_records.Behaviour(**behaviour)
    )


STORE_FAULTS = ("UNRESPONSIVE", "BUSY", "LOSE_RESPONSES", "DELAY_WRITES")
CHOOSE_BY_NAME: dict[
    str, Callable[[TroubleChooser, int], fleet_records.Trouble]
] = {
    "pause": TroubleChooser.pause_engines,
    "crash": TroubleChooser.kill_engines,
    "fail": _misbehave(failed_share=0.5),
    "lose": _misbehave(lost_share=0.5),
    "truncate": _misbehave(truncated_share=0.5),
    "slow": _misbehave(slowdown=6.0),
    "full": _misbehave(is_full=True),
    "leave": TroubleChooser.leave,
    "stop": TroubleChooser.stop_gateways,
    "kill": TroubleChooser.kill_gateways,
    "freeze": TroubleChooser.freeze_gateways,
    "store": TroubleChooser.disturb_store,
    "rest": _misbehave(is_full=True, pause_s=2.5),
    "press": TroubleChooser.press,
    "fatal": TroubleChooser.send_fatal,
    "gone": TroubleChooser.end_services,
    "broken": _misbehave(broken_share=1.0),
    "endless": TroubleChooser.send_without_end,
    "hup": TroubleChooser.reload_gateways,
    "reset": TroubleChooser.reset_connections,
    "evacuate": TroubleChooser.evacuate,
    COLD: TroubleChooser.cool,
}
"""Kinds of troubles that come at random, alone or together."""

PLANNED_KINDS = ("stop", "leave", "hup")
PAUSES_AT_CHANGES = "pauses"
"""Pauses of engines soon after a change of the configuration."""


class Plan:
    """Changes of the configuration, and troubles.

    Args:
        seed: Seed of the choices.
        size: Size of the fleet.
        kinds_of_changes: What the changes change.
        troubles: Kinds of troubles: names of `CHOOSE_BY_NAME`, and either
            `PAUSES_AT_CHANGES` or `TOP_UP` and `STORM`.
        duration_ms: Time for which callers send requests.
        grace_s: Time that a process has to stop.

    Attributes:
        changes: Versions of the configuration; times are from the beginning.
        troubles: Troubles in order; times are from the beginning.
    """

    __slots__ = ("_kinds_of_changes", "_random", "_size", "changes", "troubles")

    def __init__(
        self,
        seed: int,
        size: FleetSize,
        *,
        kinds_of_changes: Sequence[str],
        troubles: Sequence[str],
        duration_ms: int,
        grace_s: float = GRACE_S,
    ) -> None:
        self._random = random.Random(seed)
        self._size = size
        self._kinds_of_changes = kinds_of_changes
        first_state = self._first_state()
        if COLD in troubles:
            first_state = msgspec.structs.replace(
                first_state, cold_start_s=COLD_START_S, cold_per_s=COLD_PER_S
            )
        self.changes: list[fleet_records.Change] = [first_state]
        self.troubles: list[fleet_records.Trouble] = []
        if PAUSES_AT_CHANGES in troubles:
            self._choose_changes(duration_ms)
        else:
            self._choose_series(troubles, duration_ms)
        kinds = [kind for kind in troubles if kind in CHOOSE_BY_NAME]
        if kinds:
            chooser = TroubleChooser(self._random, size, grace_s=grace_s)
            self.troubles += self._choose_troubles(kinds, chooser, duration_ms)
        self.troubles.sort(key=lambda trouble: trouble.began_at_ms)

    def __repr__(self) -> str:
        return (
            f"Plan(changes={len(self.changes)}, troubles={len(self.troubles)})"
        )

    def _choose_troubles(
        self, kinds: Sequence[str], chooser: TroubleChooser, duration_ms: int
    ) -> Iterator[fleet_records.Trouble]:
        is_planned_only = set(kinds) <= set(PLANNED_KINDS)
        gaps_ms = (
            CALM_GAPS_MS
            if is_planned_only
            else self._random.choice(GAPS_MS_CHOICES)
        )
        at_ms = FIRST_CHANGE_MS
        while at_ms < duration_ms - LAST_TROUBLE_MS:
            trouble = CHOOSE_BY_NAME[self._random.choice(kinds)](chooser, at_ms)
            yield trouble
            if isinstance(trouble, fleet_records.ServicesEnded):
                at_ms = trouble.ended_at_ms + CALM_AFTER_ABSENCE_MS
            at_ms += self._random.randint(*gaps_ms)

    def _choose_series(self, kinds: Collection[str], duration_ms: int) -> None:
        """Chooses top-ups, and changes that come in quick succession."""
        (state,) = self.changes
        if TOP_UP in kinds:
            first = round(PREPAID_S * MEAN_TOKENS * self._size.rate_per_s)
            state = msgspec.structs.replace(state, prepaid_tokens=first)
        self.changes = [state]
        for begin_ms in range(FIRST_CHANGE_MS, duration_ms, CHANGE_PERIOD_MS):
            if TOP_UP in kinds:
                state = msgspec.structs.replace(
                    state,
                    at_ms=begin_ms,
                    how=TOP_UP,
                    prepaid_tokens=state.prepaid_tokens + TOP_UP_TOKENS,
                )
                self.changes.append(state)
            for number in range(STORM_CHANGES if STORM in kinds else 0):
                at_ms = begin_ms + (number + 1) * STORM_GAP_MS
                state = self._changed(state, at_ms)
                self.changes.append(state)

    def _choose_changes(self, duration_ms: int) -> None:
        """Chooses changes, and a pause soon after each."""
        (state,) = self.changes
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
        self.troubles.append(
            fleet_records.EnginesPaused(
                began_at_ms=at_ms,
                ended_at_ms=at_ms + self._random.randint(*PAUSES_MS),
                names=tuple(
                    sorted(self._random.sample(names, math.ceil(share * count)))
                ),
            )
        )

    def _first_state(self) -> fleet_records.Change:
        return fleet_records.Change(
            at_ms=0,
            how="first",
            idle_timeout_ms=self._random.choice(IDLE_TIMEOUTS_MS),
            route_by_kind={
                kind: fleet_records.RouteState(
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
        self, state: fleet_records.Change, at_ms: int
    ) -> fleet_records.Change:
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
        return msgspec.structs.replace(
            state,
            at_ms=at_ms,
            how=how,
            idle_timeout_ms=idle_timeout_ms,
            route_by_kind=routes,
        )


def zone_name(number: int) -> str:
    """Returns the name of an availability zone."""
    return f"zone-{number}"


def encode_configuration(
    change: fleet_records.Change, *, version: int, size: FleetSize
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
    if change.cold_per_s:
        for service in services:
            service["coldStartS"] = change.cold_start_s
            service["coldPerS"] = change.cold_per_s
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
                    "prepaid": change.prepaid_tokens,
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
