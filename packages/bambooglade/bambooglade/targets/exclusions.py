"""Finds the targets that operators exclude from new requests; without I/O.

Operators exclude a target by the state of its row, or all targets of a zone by
the state of the zone's row. The state lies only in the operators' table, which
replicates it; every choice of a target reads the rows in force, so that an
installed edit applies to the next choice. It has no expiry, also while the
instance is cut off. A choice costs one look-up of a row for each target of the
service.
"""

from __future__ import annotations

from collections.abc import Iterator

from absl import logging

from bambooglade.core import identifiers
from bambooglade.table import rows
from bambooglade.table import view
from bambooglade.targets import target as target_lib

EXCLUDED_TARGET = "excluded by an operator"
EXCLUDED_ZONE = "zone excluded by an operator"


def reason(target: target_lib.Target, table: view.TableView) -> str:
    """Returns why operators exclude a target; empty if they do not.

    Examples:
        >>> excluded = rows.RoutingState.EXCLUDED
        >>> table = view.FixedTable([
        ...     rows.ZoneRow(availability_zone="a", state=excluded)])
        >>> target = target_lib.Target(target_id="e1", service="s",
        ...     availability_zone="a", url="http://127.0.0.1")
        >>> reason(target, table)
        'zone excluded by an operator'
    """
    if target.state is rows.RoutingState.EXCLUDED:
        return EXCLUDED_TARGET
    if is_zone_excluded(target.availability_zone, table):
        return EXCLUDED_ZONE
    return ""


def is_zone_excluded(
    availability_zone: identifiers.AvailabilityZone, table: view.TableView
) -> bool:
    """Returns whether the targets of a zone get no new requests."""
    row = table.get(f"zone/{availability_zone}")
    return (
        isinstance(row, rows.ZoneRow)
        and row.state is rows.RoutingState.EXCLUDED
    )


class ExclusionLog:
    """Logs the zones and targets whose state operators have changed.

    Args:
        table: The rows in force.

    Examples:
        >>> ExclusionLog(view.FixedTable([])).refresh()
        (0, 0)
    """

    __slots__ = ("_excluded_keys", "_table")

    def __init__(self, table: view.TableView) -> None:
        self._table = table
        self._excluded_keys: frozenset[str] = frozenset()

    def refresh(self) -> tuple[int, int]:
        """Logs the changes since the last call.

        Returns:
            The number of excluded zones, and of targets that are excluded by
            their own rows.
        """
        keys = frozenset(self._find_excluded_keys())
        for row_key in sorted(keys ^ self._excluded_keys):
            event = "excluded" if row_key in keys else "exclusion_ended"
            logging.info("event=%s row=%s", event, row_key)
        self._excluded_keys = keys
        zone_count = sum(key.startswith("zone/") for key in keys)
        return zone_count, len(keys) - zone_count

    def _find_excluded_keys(self) -> Iterator[str]:
        for row_type in (rows.ZoneRow, rows.TargetRow):
            for row in self._table.of_type(row_type):
                if row.state is rows.RoutingState.EXCLUDED:
                    yield row.row_key

    def __repr__(self) -> str:
        return f"ExclusionLog({sorted(self._excluded_keys)})"
