"""Targets that are leaving, by the earliest of several signs."""

from __future__ import annotations

from collections.abc import Iterable
import enum

import msgspec

from bambooglade.core import identifiers

RETENTION_MS = 120_000
"""Time after which a target without any sign of leaving may return."""


class Source(enum.StrEnum):
    """Who said that a target is leaving."""

    LIST = "list"
    GOSSIP = "gossip"
    TARGET = "target"


class LeavingNotice(msgspec.Struct, frozen=True, kw_only=True):
    """A sign that a target is leaving.

    Attributes:
        target_id: The target.
        url: Address of the process that leaves; another process may take over
            the name.
        age_ms: How long ago the sign was first seen.
    """

    target_id: identifiers.TargetId
    url: str
    age_ms: int = 0


class LeavingTargets:
    """Remembers which targets are leaving, whoever said so first.

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

    __slots__ = ("_by_place",)

    def __init__(self) -> None:
        self._by_place: dict[tuple[identifiers.TargetId, str], _Seen] = {}

    def record(self, sign: LeavingNotice, source: Source, now_ms: int) -> bool:
        """Takes a sign; returns whether it is the first of this target.

        A sign of the list or the target itself extends the memory; gossip
        does not, else instances would remind each other for ever.
        """
        place = (sign.target_id, sign.url)
        since_ms = now_ms - sign.age_ms
        seen = self._by_place.get(place)
        if seen is None and sign.age_ms >= RETENTION_MS:
            return False
        if seen is None:
            self._by_place[place] = _Seen(since_ms, source)
            return True
        if source is not Source.GOSSIP:
            seen.renewed_ms = now_ms
        return False

    def is_leaving(
        self, target_id: identifiers.TargetId, url: str, now_ms: int
    ) -> bool:
        """Returns whether the target must get no new requests."""
        seen = self._by_place.get((target_id, url))
        return seen is not None and now_ms - seen.renewed_ms < RETENTION_MS

    def active_notices(self, now_ms: int) -> Iterable[LeavingNotice]:
        """Yields the signs to pass on, and drops those that ran out."""
        for place, seen in list(self._by_place.items()):
            age_ms = now_ms - seen.renewed_ms
            if age_ms >= RETENTION_MS:
                del self._by_place[place]
                continue
            yield LeavingNotice(
                target_id=place[0], url=place[1], age_ms=max(0, age_ms)
            )

    def __repr__(self) -> str:
        names = sorted(target_id for target_id, _ in self._by_place)
        return f"LeavingTargets({names})"


class _Seen:
    __slots__ = ("renewed_ms", "source")

    def __init__(self, renewed_ms: int, source: Source) -> None:
        self.renewed_ms = renewed_ms
        self.source = source
