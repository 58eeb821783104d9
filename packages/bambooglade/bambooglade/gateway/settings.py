"""Settings of a gateway process.

See Also:
    bambooglade.platform.node_file: decodes them from the platform's file.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import types

Address = tuple[str, int]


class InvalidSettingsError(ValueError):
    """A setting is missing or invalid; the message names it and the remedy."""


class GatewaySettings:
    """Settings that a gateway process needs to start.

    Attributes:
        instance: Name of the instance; a restarted process keeps it.
        availability_zone: Availability zone of the instance.
        caller_address: Address on which callers are served.
        readiness_address: Address of the readiness check for the load balancer.
        peer_address: Address on which other instances are served.
        metrics_address: Address on which metrics are served.
        store_address: Address of the key-value service.
        seed_addresses: `peer_address` of the instances that are queried first.
        stop_timeout_ms: Longest duration of a planned stop.
        retry_ratio: Allowed retries of the fleet to a service, per request.
        retry_window_ms: Length of the window in which retries are counted.
        retry_slack: Allowed retries of the fleet per window in addition to the
            ratio.
        forwarding_address: Address on which requests of peers are taken; None
            if none are.
        max_descriptors: Most file descriptors that the process may open.
        memory_mb: Memory that the process may take.
        link_mbps: Capacity of the network link in Mbit/s; 0 if it is unknown.
        max_propagation_ms: Time within which an instance has to apply a change
            of the configuration or a target that is leaving.
        is_first_start: Whether the whole system starts for the first time, so
            that no stream can have begun before.
        region_by_zone: Region of each availability zone, for routes whose
            requests may run in some regions only.
    """

    __slots__ = (
        "availability_zone",
        "caller_address",
        "forwarding_address",
        "instance",
        "is_first_start",
        "link_mbps",
        "max_descriptors",
        "max_propagation_ms",
        "memory_mb",
        "metrics_address",
        "peer_address",
        "readiness_address",
        "region_by_zone",
        "retry_ratio",
        "retry_slack",
        "retry_window_ms",
        "seed_addresses",
        "stop_timeout_ms",
        "store_address",
    )

    def __init__(
        self,
        *,
        instance: str,
        availability_zone: str,
        caller_address: Address,
        readiness_address: Address,
        peer_address: Address,
        metrics_address: Address,
        store_address: Address,
        seed_addresses: Sequence[Address] = (),
        stop_timeout_ms: int = 8_000,
        retry_ratio: float = 0.2,
        retry_window_ms: int = 10_000,
        retry_slack: float = 50.0,
        forwarding_address: Address | None = None,
        max_descriptors: int = 1_024,
        memory_mb: float = 300.0,
        link_mbps: float = 0.0,
        max_propagation_ms: int = 2_000,
        is_first_start: bool = False,
        region_by_zone: Mapping[str, str] = types.MappingProxyType({}),
    ) -> None:
        self.instance = instance
        self.availability_zone = availability_zone
        self.caller_address = caller_address
        self.readiness_address = readiness_address
        self.peer_address = peer_address
        self.metrics_address = metrics_address
        self.store_address = store_address
        self.seed_addresses = tuple(seed_addresses)
        self.stop_timeout_ms = stop_timeout_ms
        self.retry_ratio = retry_ratio
        self.retry_window_ms = retry_window_ms
        self.retry_slack = retry_slack
        self.forwarding_address = forwarding_address
        self.max_descriptors = max_descriptors
        self.memory_mb = memory_mb
        self.link_mbps = link_mbps
        self.max_propagation_ms = max_propagation_ms
        self.is_first_start = is_first_start
        self.region_by_zone = dict(region_by_zone)

    def __repr__(self) -> str:
        return f"GatewaySettings(instance={self.instance!r})"


NEEDING_RESTART = (
    "instance",
    "availability_zone",
    "caller_address",
    "readiness_address",
    "peer_address",
    "metrics_address",
    "forwarding_address",
    "max_descriptors",
    "memory_mb",
    "link_mbps",
    "max_propagation_ms",
    "retry_ratio",
    "retry_slack",
    "retry_window_ms",
)
"""Settings that are read at the start of a process only.

The others apply at once when the file has changed.
"""


def needing_restart(
    before: GatewaySettings, after: GatewaySettings
) -> list[str]:
    """Returns the names of the changed settings that only a start applies.

    Args:
        before: Settings of the process.
        after: Settings that were read since.
    """
    return [
        name
        for name in NEEDING_RESTART
        if getattr(before, name) != getattr(after, name)
    ]


def parse_address(text: str) -> Address:
    """Returns the IP address and port of a text.

    Raises:
        InvalidSettingsError: The text is not of the form `host:port`.

    Examples:
        >>> parse_address("10.1.0.40:8227")
        ('10.1.0.40', 8227)
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise InvalidSettingsError(
            f"{text!r} is not an address; write an IP address and a port,"
            ' for instance "10.1.0.40:8227"'
        )
    return host, int(port)


def format_address(address: Address) -> str:
    """Returns the text `host:port` of an address.

    Examples:
        >>> format_address(("10.1.0.40", 8227))
        '10.1.0.40:8227'
    """
    return f"{address[0]}:{address[1]}"
