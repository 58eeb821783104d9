"""Routes, services and teams of one version of the configuration.

This module is independent of the source of a configuration.
`bambooglade.platform` decodes the format of the users' platform.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import enum

from bambooglade.scheduling import urgency as urgency_lib
from bambooglade.targets import cold_starts


class RouteKind(enum.Enum):
    """Which retries the requests of a route allow.

    SAFE requests may run more than once, UNSAFE requests only once. STREAM
    requests get a stream of events, and may run more than once only if their
    route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class WeightedService:
    """A service and its relative share of a route's requests."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float = 1.0) -> None:
        self.service = service
        self.weight = weight


class Route:
    """Services and limits for the requests with one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name, in lower case.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: Which retries the requests allow.
        services: The services, with their weights.
        timeout_ms: Longest time from the first byte of a request to the end of
            its response.
        target_latency_ms: Service-level objective for the response time; for
            model engines, for the time to the first token.
        priority: 0 is the highest.
        max_attempts: Number of targets on which one request may run.
        is_public: Whether requests need no API key.
        has_prompt: Whether requests declare prompts, whose parts targets cache.
        is_resumable: Whether a broken stream may be resumed at another target.
        max_event_gap_ms: Service-level objective for the pause between two
            events of a stream; None for none.
        allowed_regions: Regions in which requests may run; empty for all.
    """

    __slots__ = (
        "allowed_regions",
        "has_prompt",
        "host",
        "is_public",
        "is_resumable",
        "kind",
        "max_attempts",
        "max_event_gap_ms",
        "name",
        "path_prefix",
        "priority",
        "services",
        "target_latency_ms",
        "timeout_ms",
    )

    def __init__(
        self,
        *,
        name: str,
        host: bytes,
        path_prefix: bytes,
        kind: RouteKind,
        services: Sequence[WeightedService],
        timeout_ms: int,
        target_latency_ms: int,
        priority: int = 5,
        max_attempts: int = 1,
        is_public: bool = False,
        has_prompt: bool = False,
        is_resumable: bool = False,
        max_event_gap_ms: int | None = None,
        allowed_regions: Collection[str] = (),
    ) -> None:
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.kind = kind
        self.services = tuple(services)
        self.timeout_ms = timeout_ms
        self.target_latency_ms = target_latency_ms
        self.priority = priority
        self.max_attempts = max_attempts
        self.is_public = is_public
        self.has_prompt = has_prompt
        self.is_resumable = is_resumable
        self.max_event_gap_ms = max_event_gap_ms
        self.allowed_regions = frozenset(allowed_regions)

    @property
    def service_names(self) -> list[str]:
        """Names of the services that receive requests of the route."""
        weighted = [s.service for s in self.services if s.weight]
        return weighted or [self.services[0].service]

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.is_resumable

    def __repr__(self) -> str:
        return f"Route({self.name!r}, {self.kind.value})"


class EngineCapacity:
    """Capacity of one model engine of a service.

    Attributes:
        slots: Requests that are processed concurrently.
        cache_tokens: Size of the memory for requests and cached prompt parts,
            in tokens.
        tokens_per_event: Most output tokens that one event of a stream carries.
    """

    __slots__ = ("cache_tokens", "slots", "tokens_per_event")

    def __init__(
        self, *, slots: int, cache_tokens: int, tokens_per_event: int = 1
    ) -> None:
        self.slots = slots
        self.cache_tokens = cache_tokens
        self.tokens_per_event = tokens_per_event


class Service:
    """A group of targets that serve the same requests.

    Attributes:
        name: Name of the service.
        max_connections: Most connections that one target accepts.
        engine: Capacity of its targets if they are model engines, else None.
        cold_start: How long a target is cold after its start, and the requests
            per second that it tolerates meanwhile; None if it tolerates any.
    """

    __slots__ = ("cold_start", "engine", "max_connections", "name")

    def __init__(
        self,
        *,
        name: str,
        max_connections: int,
        engine: EngineCapacity | None = None,
        cold_start: cold_starts.ColdStart | None = None,
    ) -> None:
        self.name = name
        self.max_connections = max_connections
        self.engine = engine
        self.cold_start = cold_start


class Team:
    """A team with its API keys and prepaid tokens.

    Attributes:
        name: Name of the team.
        keys: Its API keys.
        priority: Overrides the priority of a route; None to use the route's.
        prepaid_tokens: Total tokens that it may use; None for no limit.
    """

    __slots__ = ("keys", "name", "prepaid_tokens", "priority")

    def __init__(
        self,
        *,
        name: str,
        keys: Sequence[bytes],
        priority: int | None = None,
        prepaid_tokens: int | None = None,
    ) -> None:
        self.name = name
        self.keys = tuple(keys)
        self.priority = priority
        self.prepaid_tokens = prepaid_tokens

    def __repr__(self) -> str:
        return f"Team({self.name!r}, prepaid_tokens={self.prepaid_tokens})"


class ClientLimits:
    """Limits on the size of requests and the time in which they arrive."""

    __slots__ = (
        "header_timeout_ms",
        "idle_timeout_ms",
        "max_body_bytes",
        "max_header_bytes",
    )

    def __init__(
        self,
        *,
        max_header_bytes: int = 16_384,
        max_body_bytes: int = 4_194_304,
        header_timeout_ms: int = 3_000,
        idle_timeout_ms: int = 15_000,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class Configuration:
    """One version of the configuration, indexed for look-ups.

    Examples:
        >>> def route(prefix):
        ...     return Route(name=prefix.decode(), host=b"h",
        ...         path_prefix=prefix, kind=RouteKind.SAFE, services=[],
        ...         timeout_ms=1_000, target_latency_ms=100)
        >>> configuration = Configuration(version=1,
        ...     routes=[route(b"/a/"), route(b"/a/b/")], services=[], teams=[])
        >>> configuration.find_route(b"h", b"/a/b/c")
        Route('/a/b/', safe)
        >>> configuration.find_route(b"h", b"/b") is None
        True
    """

    __slots__ = (
        "_prefix_lengths_by_host",
        "_route_by_prefix",
        "_urgency_by_service_and_priority",
        "limits",
        "service_by_name",
        "team_by_key",
        "team_by_name",
        "version",
    )

    def __init__(
        self,
        *,
        version: int,
        routes: Sequence[Route],
        services: Sequence[Service],
        teams: Sequence[Team],
        limits: ClientLimits | None = None,
    ) -> None:
        self.version = version
        self.limits = limits or ClientLimits()
        self.service_by_name = {service.name: service for service in services}
        self.team_by_name = {team.name: team for team in teams}
        self.team_by_key = {key: team for team in teams for key in team.keys}
        self._route_by_prefix = {
            (route.host, route.path_prefix): route for route in routes
        }
        self._urgency_by_service_and_priority = urgency_lib.rank_routes(
            route for route in routes if route.services
        )
        lengths: dict[bytes, set[int]] = {}
        for route in routes:
            lengths.setdefault(route.host, set()).add(len(route.path_prefix))
        self._prefix_lengths_by_host = {
            host: sorted(values, reverse=True)
            for host, values in lengths.items()
        }

    @property
    def requires_keys(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return bool(self.team_by_name)

    @property
    def routes(self) -> Iterable[Route]:
        """All routes."""
        return self._route_by_prefix.values()

    @property
    def route_count(self) -> int:
        """Number of routes."""
        return len(self._route_by_prefix)

    def service(self, name: str) -> Service:
        """Returns a service, with default settings if it has none."""
        known = self.service_by_name.get(name)
        return known or Service(name=name, max_connections=1)

    def urgency(self, service: str, route: Route) -> urgency_lib.Urgency:
        """Returns how urgent a route is among those of a service."""
        known = self._urgency_by_service_and_priority.get(
            (service, route.priority)
        )
        return known or urgency_lib.Urgency(
            rank=0, target_latency_ms=route.target_latency_ms
        )

    def find_route(self, host: bytes, path: bytes) -> Route | None:
        """Returns the route with the longest prefix of the path, or None."""
        for length in self._prefix_lengths_by_host.get(host, ()):
            route = self._route_by_prefix.get((host, path[:length]))
            if route is not None:
                return route
        return None

    def __repr__(self) -> str:
        return (
            f"Configuration(version={self.version}, routes={self.route_count})"
        )
