"""Decodes what operators write to the users' store.

See Also:
    bambooglade.gateway.configuration: the result of decoding.
"""

from __future__ import annotations

import msgspec

from bambooglade.core import json_documents
from bambooglade.gateway import configuration
from bambooglade.targets import cold_starts

OPERATOR_PREFIX = "op/"
"""Prefix of the keys that only operators write."""

CONFIGURATION_KEY = "op/config"

EVACUATION_PREFIX = "op/evacuate/"
"""Prefix of the keys that evacuate a zone; the zone follows."""

MAX_ZONE_CHARACTERS = 200
"""Longest name of a zone; keys of the store have at most 200 bytes."""

MAX_COLD_START_S = 86_400.0
"""Longest time for which the targets of a service may be cold.

Registrations have the same bound.
"""

_KIND_BY_ROUTE_TYPE = {
    "safe": configuration.RouteKind.SAFE,
    "unsafe": configuration.RouteKind.UNSAFE,
    "streaming": configuration.RouteKind.STREAM,
}


class MalformedConfigurationError(ValueError):
    """The value is malformed; the last valid configuration stays in force."""


class MalformedEvacuationError(ValueError):
    """The key names no zone."""


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 1_000.0
    service: str = ""
    traffic_split: list[_Split] = []
    priority: int = 5
    max_attempts: int = 1
    public: bool = False
    # Whether requests declare prompts; callers are not bound to targets.
    session_affinity: bool = False
    stream_resumption: bool = False
    # Objective for the pause between two events of a stream.
    target_gap_ms: float | None = None
    # Regions in which requests may run; empty for all.
    allowed_regions: list[str] = []


class _Engine(msgspec.Struct, rename="camel"):
    slots: int = 1
    # Memory for requests and cached prompt parts.
    kv_capacity_tokens: int = 0
    # Most output tokens that one event of a stream carries.
    stride: int = 1


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_connections: int = 64
    engine: _Engine | None = None
    # Seconds for which a target is cold after it starts, and the requests per
    # second that it tolerates meanwhile; 0 for no limit.
    cold_start_s: float | None = None
    cold_per_s: float | None = None


class _Team(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # In tokens; None for no limit.
    prepaid: int | None = None


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    # Teams, with their API keys and prepaid tokens.
    tenants: list[_Team] = []
    limits: _Limits = _Limits()


_DECODER = msgspec.json.Decoder(_Configuration, strict=False)


def decode(value: bytes) -> configuration.Configuration:
    """Returns the configuration.

    Args:
        value: Value of the store key `CONFIGURATION_KEY`, in JSON.

    Raises:
        MalformedConfigurationError: The value is not a configuration.
    """
    try:
        wire = json_documents.decode_with(_DECODER, value)
        return configuration.Configuration(
            version=wire.version,
            routes=[_route(route) for route in wire.routes],
            services=[_service(service) for service in wire.services],
            teams=[_team(team) for team in wire.tenants],
            limits=_limits(wire.limits),
        )
    except (msgspec.DecodeError, KeyError, UnicodeError) as error:
        raise MalformedConfigurationError(str(error)) from error


def evacuated_zone(key: str) -> str:
    """Returns the zone that a key below `EVACUATION_PREFIX` evacuates.

    Names that an entry of a target may have are valid, but for those with a
    slash, or with spaces at an end, which are errors of typing.

    Args:
        key: The key.

    Raises:
        MalformedEvacuationError: The key names no zone.

    Examples:
        >>> evacuated_zone("op/evacuate/scot-a")
        'scot-a'
    """
    zone = key.removeprefix(EVACUATION_PREFIX)
    if (
        not zone
        or len(zone) > MAX_ZONE_CHARACTERS
        or "/" in zone
        or zone != zone.strip()
        or not zone.isprintable()
    ):
        raise MalformedEvacuationError(
            "expected the name of a zone, printable and without slashes or"
            " spaces at its ends"
        )
    return zone


def _route(wire: _Route) -> configuration.Route:
    splits = wire.traffic_split or [_Split(wire.service)]
    return configuration.Route(
        name=wire.name,
        host=wire.hostname.lower().encode(),
        path_prefix=wire.path_prefix.encode(),
        kind=_KIND_BY_ROUTE_TYPE[wire.route_type],
        services=[
            configuration.WeightedService(split.service, split.weight)
            for split in splits
        ],
        timeout_ms=round(wire.timeout_ms),
        target_latency_ms=round(wire.target_latency_ms),
        priority=wire.priority,
        max_attempts=wire.max_attempts,
        is_public=wire.public,
        has_prompt=wire.session_affinity,
        is_resumable=wire.stream_resumption,
        max_event_gap_ms=(
            None if wire.target_gap_ms is None else round(wire.target_gap_ms)
        ),
        allowed_regions=wire.allowed_regions,
    )


def _service(wire: _Service) -> configuration.Service:
    engine = None
    if wire.engine is not None:
        engine = configuration.EngineCapacity(
            slots=wire.engine.slots,
            cache_tokens=wire.engine.kv_capacity_tokens,
            tokens_per_event=wire.engine.stride,
        )
    return configuration.Service(
        name=wire.name,
        max_connections=wire.max_connections,
        engine=engine,
        cold_start=_cold_start(wire),
    )


def _cold_start(wire: _Service) -> cold_starts.ColdStart | None:
    if not wire.cold_per_s or wire.cold_per_s < 0:
        return None
    duration_s = min(MAX_COLD_START_S, max(0.0, wire.cold_start_s or 0.0))
    return cold_starts.ColdStart(
        duration_ms=round(duration_s * 1_000),
        max_requests_per_s=wire.cold_per_s,
    )


def _team(wire: _Team) -> configuration.Team:
    return configuration.Team(
        name=wire.name,
        keys=[key.encode() for key in wire.api_keys],
        priority=wire.priority,
        prepaid_tokens=wire.prepaid,
    )


def _limits(wire: _Limits) -> configuration.ClientLimits:
    return configuration.ClientLimits(
        max_header_bytes=wire.max_header_bytes,
        max_body_bytes=wire.max_body_bytes,
        header_timeout_ms=round(wire.header_timeout_ms),
        idle_timeout_ms=round(wire.idle_timeout_ms),
    )
