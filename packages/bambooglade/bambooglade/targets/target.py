"""Targets as used by the routing policy."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from bambooglade.core import identifiers
from bambooglade.table import rows
from bambooglade.table import view


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A target of a service.

    Attributes:
        target_id: Name of the target.
        service: Service that the target belongs to.
        availability_zone: Zone in which the target runs.
        url: Base URL, with an IP address as host.
        weight: Capacity relative to the other targets.
        state: Whether its row allows new requests; see `targets.exclusions`.
    """

    target_id: identifiers.TargetId
    service: identifiers.ServiceName
    availability_zone: identifiers.AvailabilityZone
    url: str
    weight: float = 1.0
    state: rows.RoutingState = rows.RoutingState.ACTIVE


def service_targets(
    table: view.TableView, service: identifiers.ServiceName
) -> Iterator[Target]:
    """Yields the targets of a service, sorted by name.

    Examples:
        >>> table = view.FixedTable([rows.TargetRow(target_id="e1",
        ...     service="jury", availability_zone="z", url="http://127.0.0.1")])
        >>> [target.target_id for target in service_targets(table, "jury")]
        ['e1']
    """
    return (
        _target_of(row)
        for row in table.of_type(rows.TargetRow)
        if row.service == service
    )


def all_targets(table: view.TableView) -> Iterator[Target]:
    """Yields the targets of all services, sorted by name."""
    return map(_target_of, table.of_type(rows.TargetRow))


def _target_of(row: rows.TargetRow) -> Target:
    return Target(
        target_id=identifiers.TargetId(row.target_id),
        service=identifiers.ServiceName(row.service),
        availability_zone=identifiers.AvailabilityZone(row.availability_zone),
        url=row.url.rstrip("/"),
        weight=row.weight,
        state=row.state,
    )
