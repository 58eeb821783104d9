"""Services to which routes led recently; without I/O.

A stream goes on at the service at which it began. A route may have moved to
another service since, so that its present services are not all there were.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

from bambooglade.gateway import configuration as configuration_lib
from bambooglade.gateway import stream_origins


class RouteHistory:
    """Remembers the services that routes have left.

    See Also:
        bambooglade.gateway.stream_origins: the same for software versions.

    Examples:
        >>> def configuration(version, service):
        ...     route = configuration_lib.Route(name="r", host=b"h",
        ...         path_prefix=b"/a/", timeout_ms=1, target_latency_ms=1,
        ...         kind=configuration_lib.RouteKind.STREAM,
        ...         services=[configuration_lib.WeightedService(service, 1)])
        ...     return configuration_lib.Configuration(version=version,
        ...         routes=[route], services=[], teams=[])
        >>> history = RouteHistory()
        >>> history.observe(configuration(1, "jury"), now_ms=0)
        False
        >>> history.observe(configuration(2, "panel"), now_ms=0)
        True
        >>> sorted(history.possible_services(b"h", b"/a/b", now_ms=0))
        ['jury', 'panel']
    """

    __slots__ = ("_configuration", "_left_at_ms_by_host_and_prefix")

    def __init__(self) -> None:
        self._configuration: configuration_lib.Configuration | None = None
        self._left_at_ms_by_host_and_prefix: dict[
            tuple[bytes, bytes], dict[str, int]
        ] = collections.defaultdict(dict)

    def observe(
        self, configuration: configuration_lib.Configuration, *, now_ms: int
    ) -> bool:
        """Records a configuration; returns whether paths got other services.

        Args:
            configuration: The configuration that is in force now.
            now_ms: Current time.
        """
        if configuration is self._configuration:
            return False
        self._evict_expired(now_ms)
        known, self._configuration = self._configuration, configuration
        if known is None:
            return False
        changes = [
            self._record_change(key, known, configuration, now_ms)
            for key in _host_and_prefixes(known, configuration)
        ]
        return any(changes)

    def possible_services(
        self, host: bytes, path: bytes, *, now_ms: int
    ) -> set[str]:
        """Returns the services that got requests for a path recently.

        Args:
            host: Host of the requests.
            path: Their path.
            now_ms: Current time.
        """
        if self._configuration is None:
            return set()
        return self._possible_services(self._configuration, host, path, now_ms)

    def _possible_services(
        self,
        configuration: configuration_lib.Configuration,
        host: bytes,
        path: bytes,
        now_ms: int,
    ) -> set[str]:
        route = configuration.find_route(host, path)
        services = _service_names(route)
        shortest = len(route.path_prefix) if route is not None else 0
        for length in range(shortest, len(path) + 1):
            left_at_ms = self._left_at_ms_by_host_and_prefix.get(
                (host, path[:length]), {}
            )
            services.update(
                service
                for service, at_ms in left_at_ms.items()
                if now_ms - at_ms <= stream_origins.RETENTION_MS
            )
        return services

    def _record_change(
        self,
        key: tuple[bytes, bytes],
        known: configuration_lib.Configuration,
        configuration: configuration_lib.Configuration,
        now_ms: int,
    ) -> bool:
        """Records the services that the paths of a host and prefix leave.

        Returns:
            Whether these paths had a route, and now have other services.
        """
        present = _service_names(configuration.find_route(*key))
        left = self._possible_services(known, *key, now_ms) - present
        if left:
            self._left_at_ms_by_host_and_prefix[key].update(
                dict.fromkeys(left, now_ms)
            )
        return _service_names(known.find_route(*key)) not in (set(), present)

    def _evict_expired(self, now_ms: int) -> None:
        expired = [
            key
            for key, left_at_ms in self._left_at_ms_by_host_and_prefix.items()
            if now_ms - max(left_at_ms.values()) > stream_origins.RETENTION_MS
        ]
        for key in expired:
            del self._left_at_ms_by_host_and_prefix[key]

    def __repr__(self) -> str:
        return f"RouteHistory({self._configuration!r})"


def _service_names(route: configuration_lib.Route | None) -> set[str]:
    return set(route.service_names) if route is not None else set()


def _host_and_prefixes(
    *configurations: configuration_lib.Configuration,
) -> Iterable[tuple[bytes, bytes]]:
    """Returns the host and prefix of each route of any of them."""
    return dict.fromkeys(
        (route.host, route.path_prefix)
        for configuration in configurations
        for route in configuration.routes
    )
