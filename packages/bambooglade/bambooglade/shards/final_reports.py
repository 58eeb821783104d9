"""Final reports of a former primary to its successor."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.shards import assignments
from bambooglade.shards import messages

RESEND_MS = 500
"""Pause between two sends of the same report."""

RETENTION_MS = 3_600_000
"""An unacknowledged report is dropped after this time."""


@dataclasses.dataclass(slots=True)
class _Report:
    message: messages.FinalReport
    since_ms: int
    sent_at_ms: int = 0


class FinalReports:
    """Final reports of one shard that the successor has not acknowledged.

    Args:
        zone_shard: The shard and zone.
    """

    __slots__ = ("_by_epoch", "_zone_shard")

    def __init__(self, zone_shard: assignments.ZoneShard) -> None:
        self._zone_shard = zone_shard
        self._by_epoch: dict[identifiers.Epoch, _Report] = {}

    @property
    def is_empty(self) -> bool:
        """Whether every report was acknowledged."""
        return not self._by_epoch

    def add(
        self,
        epoch: identifiers.Epoch,
        records: tuple[messages.RecordCopy, ...],
        now_ms: int,
    ) -> None:
        """Adds the report of an epoch that ended."""
        message = messages.FinalReport(
            place=self._zone_shard, epoch=epoch, records=records
        )
        self._by_epoch[epoch] = _Report(message=message, since_ms=now_ms)

    def acknowledge(self, epoch: identifiers.Epoch) -> None:
        """Removes an acknowledged report."""
        self._by_epoch.pop(epoch, None)

    def send_due(
        self, primary: identifiers.InstanceId | None, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Sends due reports to the current primary; drops expired ones."""
        for epoch, report in list(self._by_epoch.items()):
            if now_ms - report.since_ms > RETENTION_MS:
                del self._by_epoch[epoch]
            elif primary and now_ms - report.sent_at_ms >= RESEND_MS:
                report.sent_at_ms = now_ms
                yield effects.Send(recipient=primary, message=report.message)

    def __repr__(self) -> str:
        return f"FinalReports(epochs={sorted(self._by_epoch)})"
