"""Decodes the settings file that the users' platform writes for a process."""

from __future__ import annotations

import os
import pathlib

import msgspec

from bambooglade.gateway import settings

PATH_VARIABLE = "BAMBOOGLADE_NODE_FILE"
DEFAULT_PATH = "/etc/bambooglade/node.toml"


class _Listen(msgspec.Struct, rename="camel"):
    # Address on which callers are served.
    frontend: str = ""
    readiness: str = ""
    # Address of the API between instances; the platform itself does not use it.
    control_plane: str = ""


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    memory_mb: float = 300
    max_fds: int = 1_024
    link_mbps: float = 0.0


class _Bounds(msgspec.Struct, frozen=True, rename="camel"):
    # Longest duration of a planned stop.
    grace_s: float = 8
    # Time after which no requests may go to a target that is leaving.
    drain_ms: float = 2_000
    # Time within which a change of the configuration has to be in force.
    config_apply_ms: float = 2_000
    retry_budget_ratio: float = 0.2
    # Window of the retry budget, not of the teams' token budgets.
    budget_window_s: float = 10
    retry_budget_slack: float = 50


class _Platform(msgspec.Struct, rename="camel"):
    # Address of the key-value store.
    address: str
    writes_per_s: float = 400
    reads_per_s: float = 2_000


class _NodeFile(msgspec.Struct, rename="camel"):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    platform: _Platform
    seeds: list[str] = []
    # First and last free port. Metrics are served on the first, and requests of
    # other instances on the second one.
    internal_port_range: list[int] = []
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()
    # Region of each availability zone.
    zones: dict[str, str] = {}
    heartbeat_ms: float = 1_200
    # Whether the whole system starts for the first time.
    bootstrap: bool = False


def path() -> pathlib.Path:
    """Returns the path of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def decode(text: bytes) -> settings.GatewaySettings:
    """Returns the settings; unknown fields are ignored.

    Args:
        text: Contents of the file in TOML.

    Raises:
        settings.InvalidSettingsError: A field is missing or has a wrong type;
            the message names it.
    """
    try:
        wire = msgspec.toml.decode(text, type=_NodeFile, strict=False)
    except msgspec.DecodeError as error:
        raise settings.InvalidSettingsError(
            f"{error}; correct the field in the settings file"
        ) from error
    return settings.GatewaySettings(
        instance=wire.node_name,
        availability_zone=wire.zone,
        caller_address=settings.parse_address(wire.listen.frontend),
        readiness_address=settings.parse_address(wire.listen.readiness),
        peer_address=settings.parse_address(wire.listen.control_plane),
        metrics_address=(wire.ip, (wire.internal_port_range or [0])[0]),
        forwarding_address=_forwarding_address(
            wire.ip, wire.internal_port_range
        ),
        store_address=settings.parse_address(wire.platform.address),
        seed_addresses=[settings.parse_address(seed) for seed in wire.seeds],
        stop_timeout_ms=round(wire.bounds.grace_s * 1_000),
        retry_ratio=wire.bounds.retry_budget_ratio,
        retry_window_ms=round(wire.bounds.budget_window_s * 1_000),
        retry_slack=wire.bounds.retry_budget_slack,
        max_descriptors=wire.limits.max_fds,
        memory_mb=wire.limits.memory_mb,
        link_mbps=wire.limits.link_mbps,
        max_propagation_ms=round(
            min(wire.bounds.config_apply_ms, wire.bounds.drain_ms)
        ),
        is_first_start=wire.bootstrap,
        region_by_zone=wire.zones,
    )


def _forwarding_address(
    ip: str, port_range: list[int]
) -> settings.Address | None:
    """Returns the second port of a range, if it has two."""
    if len(port_range) < 2 or port_range[1] <= port_range[0]:
        return None
    return ip, port_range[0] + 1
