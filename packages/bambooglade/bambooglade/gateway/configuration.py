"""Routes, services and teams, as one version of the configuration has them.

The gateway does not know where a configuration comes from; `bambooglade.
platform` decodes the users' one.
"""

from __future__ import annotations

from collections.abc import Sequence
import enum


class RouteKind(enum.Enum):
    """What may be repeated of the requests of a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class WeightedService:
    """A service with its share of a route's requests."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float = 1.0) -> None:
        self.service = service
        self.weight = weight


class Route:
    """Where requests of a host and path go.

    Attributes:
        name: Name of the route.
        host: Host, in lower case.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        services: The services, with their weights.
        timeout_ms: Longest time that a request may be kept waiting.
        target_latency_ms: Time within which a response is on time.
        priority: Rank; 0 is the highest.
        max_attempts: Targets on which one request may run.
        is_public: Whether no key is needed.
        has_prompt: Whether requests declare prompts, whose parts are cached.
        is_resumable: Whether a broken stream may go on at another target.
        max_gap_ms: Longest pause between events that is on time.
    """

    __slots__ = (
        "has_prompt",
        "host",
        "is_public",
        "is_resumable",
        "kind",
        "max_attempts",
        "max_gap_ms",
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
        max_gap_ms: int | None = None,
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
        self.max_gap_ms = max_gap_ms

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.is_resumable

    def __repr__(self) -> str:
        return f"Route({self.name!r}, {self.kind.value})"


class EngineCapacity:
    """What one model engine of a service can hold.

    Attributes:
        slots: Requests that are processed at once.
        cache_tokens: Tokens of memory for requests and cached prompt parts.
        tokens_per_event: Output tokens that one event of a stream may carry.
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
        max_connections: Connections that one target accepts in all.
        engine: Capacity of its targets, if they are model engines.
    """

    __slots__ = ("engine", "max_connections", "name")

    def __init__(
        self,
        *,
        name: str,
        max_connections: int,
        engine: EngineCapacity | None = None,
    ) -> None:
        self.name = name
        self.max_connections = max_connections
        self.engine = engine


class Team:
    """A team, with what it prepaid.

    Attributes:
        name: Name of the team.
        keys: Its API keys.
        priority: Rank that goes before that of a route; None for none.
        prepaid_tokens: Tokens that it may use in all; None for no limit.
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
    """Bounds on what a client may send, and how long it may take."""

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
        "_prefix_sizes_by_host",
        "_route_by_prefix",
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
        sizes: dict[bytes, set[int]] = {}
        for route in routes:
            sizes.setdefault(route.host, set()).add(len(route.path_prefix))
        self._prefix_sizes_by_host = {
            host: sorted(values, reverse=True) for host, values in sizes.items()
        }

    @property
    def requires_keys(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return bool(self.team_by_name)

    @property
    def route_count(self) -> int:
        """Number of routes."""
        return len(self._route_by_prefix)

    def find_route(self, host: bytes, path: bytes) -> Route | None:
        """Returns the route with the longest prefix of the path, or None."""
        for size in self._prefix_sizes_by_host.get(host, ()):
            route = self._route_by_prefix.get((host, path[:size]))
            if route is not None:
                return route
        return None

    def __repr__(self) -> str:
        return (
            f"Configuration(version={self.version}, routes={self.route_count})"
        )
