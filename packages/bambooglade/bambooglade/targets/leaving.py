"""Registry of targets that are about to stop.

The list of targets, the target itself and the gossip of other instances report
this independently; the first report is enough to stop sending requests there.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum

import msgspec

from bambooglade.core import identifiers

RETENTION_MS = 120_000
"""Time without a renewed notice after which a target may be used again."""


class Source(enum.StrEnum):
    """Origin of the report that a target is leaving."""

    LIST = "list"
    GOSSIP = "gossip"
    TARGET = "target"


class LeavingNotice(msgspec.Struct, frozen=True, kw_only=True):
    """A report that a target is leaving.

    Attributes:
        target_id: The target.
        url: Base URL of the process that is leaving. It is part of the
            identity, because another process may start under the same name.
        age_ms: Time since the report was last confirmed by the list of targets
            or by the target itself.
    """

    target_id: identifiers.TargetId
    url: str
    age_ms: int = 0


class LeavingTargets:
    """The targets that are leaving, from all sources.

    Examples:
        >>> leaving = LeavingTargets()
        >>> leaving.record(LeavingNotice(target_id="e1", url="u"),
        ...     Source.GOSSIP, now_ms=0)
        True
        >>> leaving.is_leaving("e1", "u", now_ms=5)
        True
        >>> leaving.is_leaving("e1", "other", now_ms=5)
        False
    """

    __slots__ = ("_entry_by_target",)

    def __init__(self) -> None:
        self._entry_by_target: dict[
            tuple[identifiers.TargetId, str], _Entry
        ] = {}

    def record(
        self, notice: LeavingNotice, source: Source, now_ms: int
    ) -> bool:
        """Records a notice; returns whether the target was not leaving before.

        Notices from the list or from the target itself renew the entry. Gossip
        does not, because otherwise instances would renew each other's entries
        forever.
        """
        key = (notice.target_id, notice.url)
        since_ms = now_ms - notice.age_ms
        entry = self._entry_by_target.get(key)
        if entry is None and notice.age_ms >= RETENTION_MS:
            return False
        if entry is None:
            self._entry_by_target[key] = _Entry(since_ms, source)
            return True
        if source is not Source.GOSSIP:
            entry.renewed_ms = now_ms
        return False

    def is_leaving(
        self, target_id: identifiers.TargetId, url: str, now_ms: int
    ) -> bool:
        """Returns whether the target must not get new requests."""
        entry = self._entry_by_target.get((target_id, url))
        return entry is not None and now_ms - entry.renewed_ms < RETENTION_MS

    def active_notices(self, now_ms: int) -> Iterable[LeavingNotice]:
        """Removes expired entries, and yields a notice for each other one."""
        for key, entry in list(self._entry_by_target.items()):
            age_ms = now_ms - entry.renewed_ms
            if age_ms >= RETENTION_MS:
                del self._entry_by_target[key]
                continue
            yield LeavingNotice(
                target_id=key[0], url=key[1], age_ms=max(0, age_ms)
            )

    def __repr__(self) -> str:
        names = sorted(target_id for target_id, _ in self._entry_by_target)
        return f"LeavingTargets({names})"


class _Entry:
    __slots__ = ("renewed_ms", "source")

    def __init__(self, renewed_ms: int, source: Source) -> None:
        self.renewed_ms = renewed_ms
        self.source = source
