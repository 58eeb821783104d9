"""Settings of a gateway process.

See Also:
    bambooglade.platform.node_file: reads them from the users' file.
"""

from __future__ import annotations

from collections.abc import Sequence

Address = tuple[str, int]


class InvalidSettingsError(ValueError):
    """A setting is missing or wrong; the message names it and the remedy."""


class GatewaySettings:
    """What a process has to know before it can start.

    Attributes:
        instance: Name of the instance; a restarted process keeps it.
        availability_zone: Where it runs.
        caller_address: Where callers are served.
        readiness_address: Where the balancer asks whether it is ready.
        peer_address: Where other instances are served.
        metrics_address: Where metrics are served.
        store_address: The key-value service.
        seed_addresses: `peer_address` of instances to ask first.
        stop_timeout_ms: How long a planned stop may take.
        retry_ratio: Retries of the fleet to a service, per request.
        retry_window_ms: Window in which retries are counted.
        retry_slack: Retries of the fleet in a window beyond the ratio.
        max_descriptors: File descriptors that the process may use.
        link_mbps: What the network link carries, in Mbit/s; 0 if not known.
        change_bound_ms: Time in which a change has to be in force: one of the
            configuration, or a target that is leaving.
    """

    __slots__ = (
        "availability_zone",
        "caller_address",
        "change_bound_ms",
        "instance",
        "link_mbps",
        "max_descriptors",
        "metrics_address",
        "peer_address",
        "readiness_address",
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
        max_descriptors: int = 1_024,
        link_mbps: float = 0.0,
        change_bound_ms: int = 2_000,
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
        self.max_descriptors = max_descriptors
        self.link_mbps = link_mbps
        self.change_bound_ms = change_bound_ms

    def __repr__(self) -> str:
        return f"GatewaySettings(instance={self.instance!r})"


def parse_address(text: str) -> Address:
    """Returns IP number and port.

    Raises:
        InvalidSettingsError: The text is no address.

    Examples:
        >>> parse_address("10.1.0.40:8227")
        ('10.1.0.40', 8227)
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise InvalidSettingsError(
            f"{text!r} is no address; write an IP number and a port,"
            ' for instance "10.1.0.40:8227"'
        )
    return host, int(port)


def format_address(address: Address) -> str:
    """Returns an address as text.

    Examples:
        >>> format_address(("10.1.0.40", 8227))
        '10.1.0.40:8227'
    """
    return f"{address[0]}:{address[1]}"
