"""Availability zones whose targets get no more requests; without I/O.

Operators evacuate a zone by a key in the store, and end it by deleting the key.
An instance learns of it from the store or from a peer, in any order and more
than once. Each record therefore carries the era and the revision of the store,
and the newest one wins; deletions are records too, so that an older record that
a peer still has does not come back.

A store that returned from an older copy may lack a key, or have one again that
was deleted. What was known before stays in force until the keys were listed in
the new era and operators had `RESTORE_SETTLE_MS` to repeat what was lost. A
write in the new era takes effect at once.

There are as many records as zones that were ever evacuated, usually below 10;
an operator changes a few in a minute. Reading is one look-up.

See Also:
    bambooglade.discovery.view: omits the targets of these zones.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from bambooglade.core import event_log
from bambooglade.store import store_era

RESTORE_SETTLE_MS = 2_000
"""Time after the first list of a new era for which it ends or begins nothing.

In it, operators repeat changes that the store lost with the seconds that its
copy lacks.
"""

MAX_EVACUATED_ZONES = 1_024
"""Most zones that are evacuated at once; further ones are not recorded."""

MAX_ENDED_ZONES = 64
"""Most zones whose end of an evacuation is remembered; the oldest is evicted.

An evicted one is not needed for correctness on an instance that has read the
keys: it recognizes an outdated record by the revision of that read.
"""

MAX_MALFORMED_KEYS = 256
"""Most malformed keys that are remembered, so that each is logged once."""

MAX_ZONE_CHARACTERS = 200
"""Longest name of a zone; keys of the store have at most 200 bytes."""


class ZoneRecord(msgspec.Struct, frozen=True, array_like=True):
    """Whether a zone is evacuated, as of a revision of the store.

    Attributes:
        zone: Name of the availability zone.
        revision: Revision of the write or deletion of the operator's key, or
            of a list that lacks it.
        is_evacuated: Whether the key exists.
        era: Era of the store to which the revision belongs; 0 if unknown.
        ended_ms_ago: Time since the sender learned of the end; 0 while the zone
            is evacuated.
    """

    zone: str
    revision: int
    is_evacuated: bool
    era: int = 0
    ended_ms_ago: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Era and revision; the record with the greater one is newer."""
        return self.era, self.revision


class _Belief:
    """Newest record of a zone.

    Attributes:
        record: The record.
        ended_at_ms: Time of the last end of an evacuation; None if there was
            none.
    """

    __slots__ = ("ended_at_ms", "record")

    def __init__(self, record: ZoneRecord, ended_at_ms: int | None) -> None:
        self.record = record
        self.ended_at_ms = ended_at_ms


class ZoneEvacuations:
    """Newest known record of each zone.

    Args:
        log: Receives an event for each zone whose state changes.

    Attributes:
        known_since_ms: Time at which the keys were first read, here or by a
            peer that told; None before. Evacuations that ended earlier are
            known only if a peer told.
        listeners: Called after each call that changed a record.

    Examples:
        >>> from bambooglade.core import clock
        >>> zones = ZoneEvacuations(event_log.EventLog(clock.ManualClock()))
        >>> evacuated = ZoneRecord("scot-a", 12, True)
        >>> zones.apply_changes([evacuated], era=0, at_revision=12, now_ms=0,
        ...     source="store")
        >>> zones.is_evacuated("scot-a"), zones.is_evacuated("scot-b")
        (True, False)
        >>> zones.merge([ZoneRecord("scot-a", 11, False)], now_ms=5,
        ...     source="peer:i2")
        >>> zones.is_evacuated("scot-a"), zones.ended_at_ms("scot-a")
        (True, None)
        >>> zones.merge([ZoneRecord("scot-a", 13, False)], now_ms=9,
        ...     source="peer:i2")
        >>> zones.is_evacuated("scot-a"), zones.ended_at_ms("scot-a")
        (False, 9)
    """

    __slots__ = (
        "_belief_by_zone",
        "_complete_order",
        "_deferred_by_zone",
        "_evacuated_zones",
        "_first_listed_revision",
        "_has_changed",
        "_is_full",
        "_log",
        "_malformed_keys",
        "_settles_at_ms",
        "known_since_ms",
        "listeners",
    )

    def __init__(self, log: event_log.EventLog) -> None:
        self._log = log
        self._belief_by_zone: dict[str, _Belief] = {}
        self._evacuated_zones: set[str] = set()
        # Listed records that contradict what was known in an earlier era.
        self._deferred_by_zone: dict[str, ZoneRecord] = {}
        self._complete_order: tuple[int, int] | None = None
        self._first_listed_revision = 0
        self._settles_at_ms = 0
        self._has_changed = False
        self._is_full = False
        # A dict for its order; the values are not used.
        self._malformed_keys: dict[str, None] = {}
        self.known_since_ms: int | None = None
        self.listeners: list[Callable[[], None]] = []

    @property
    def is_known(self) -> bool:
        """Whether the keys were read, here or by a peer that told."""
        return self.known_since_ms is not None

    @property
    def evacuated_zones(self) -> list[str]:
        """Names of the zones that are evacuated, sorted."""
        return sorted(self._evacuated_zones)

    def is_evacuated(self, zone: str) -> bool:
        """Returns whether the targets of a zone may get no requests."""
        return zone in self._evacuated_zones

    def ended_at_ms(self, zone: str) -> int | None:
        """Returns when the last evacuation of a zone ended.

        Args:
            zone: Name of the availability zone.

        Returns:
            The time, by the clock of this instance, at which the first instance
            from which it was heard learned of it; None if the zone was never
            evacuated, as far as is known, or is so for the first time.
        """
        belief = self._belief_by_zone.get(zone)
        return belief.ended_at_ms if belief is not None else None

    def apply_list(
        self,
        listed: Iterable[ZoneRecord],
        *,
        era: int,
        at_revision: int,
        now_ms: int,
        source: str,
    ) -> None:
        """Applies a complete list of the keys.

        Evacuations that are not in the list have ended.

        Args:
            listed: Records of all keys.
            era: Era of the store at the time of the list.
            at_revision: Revision of the store as of which it is complete.
            now_ms: Current time.
            source: Origin of the list, for the log.
        """
        self._settle(now_ms)
        order = era, at_revision
        if self._complete_order is None or era != self._complete_order[0]:
            if self._complete_order is not None and order < (
                self._complete_order
            ):
                return
            self._first_listed_revision = at_revision
            self._settles_at_ms = now_ms + RESTORE_SETTLE_MS
        self._advance(order, now_ms)
        record_by_zone = {record.zone: record for record in listed}
        for record in record_by_zone.values():
            self._apply_listed(record, now_ms, source)
        for zone, belief in list(self._belief_by_zone.items()):
            known = belief.record
            if zone not in record_by_zone and (
                known.is_evacuated or known.era < era
            ):
                missing = ZoneRecord(zone, at_revision, False, era)
                self._apply_listed(missing, now_ms, source)
        self._notify()

    def apply_changes(
        self,
        changes: Iterable[ZoneRecord],
        *,
        era: int,
        at_revision: int,
        now_ms: int,
        source: str,
    ) -> None:
        """Applies all changes of the keys up to a revision of the store.

        Args:
            changes: Records of the keys that were written or deleted.
            era: Era of the store.
            at_revision: Revision up to which these are all changes.
            now_ms: Current time.
            source: Origin of the changes, for the log.
        """
        self._settle(now_ms)
        self._advance((era, at_revision), now_ms)
        for record in changes:
            self._apply_newest(record, now_ms, source, states_end=True)
        self._notify()

    def merge(
        self, records: Iterable[ZoneRecord], *, now_ms: int, source: str
    ) -> None:
        """Merges records of a peer, which may be older or newer.

        Args:
            records: Records; malformed ones are ignored.
            now_ms: Current time.
            source: The peer, for the log.
        """
        self._settle(now_ms)
        for record in records:
            if not _is_valid(record):
                continue
            if self._is_outdated(record):
                self._apply_outdated(record, now_ms, source)
            else:
                self._apply_newest(record, now_ms, source, states_end=True)
        self._notify()

    def mark_known(self, *, now_ms: int) -> None:
        """Records that a peer which had read the keys has told all of them."""
        if self.known_since_ms is None:
            self.known_since_ms = now_ms

    def record_malformed(
        self, key: str, *, revision: int, error: ValueError
    ) -> None:
        """Logs once that a key evacuates no zone, since it names none.

        Args:
            key: The key.
            revision: Revision of the key.
            error: What is wrong with it.
        """
        if key in self._malformed_keys:
            return
        self._malformed_keys[key] = None
        if len(self._malformed_keys) > MAX_MALFORMED_KEYS:
            del self._malformed_keys[next(iter(self._malformed_keys))]
        self._log.event(
            "zone_evacuation_malformed",
            key=key,
            revision=revision,
            source="store",
            error=error,
            remedy="the key has no effect; name the zone as its targets do",
        )

    def settle(self, *, now_ms: int) -> None:
        """Applies the list of a new era once its time for repetition is over.

        Args:
            now_ms: Current time.
        """
        self._settle(now_ms)
        self._notify()

    def records(self, *, now_ms: int) -> list[ZoneRecord]:
        """Returns the records of all zones, for peers."""
        return [
            msgspec.structs.replace(
                belief.record,
                ended_ms_ago=0
                if belief.record.is_evacuated or belief.ended_at_ms is None
                else max(0, now_ms - belief.ended_at_ms),
            )
            for belief in self._belief_by_zone.values()
        ]

    def has_news_for(self, known: Iterable[ZoneRecord]) -> bool:
        """Returns whether a peer with these records lacks a change.

        An end is no news for a peer that does not know of the evacuation: it
        may have evicted the record, and would be told for ever.

        Args:
            known: All records of the peer.
        """
        order_by_zone, evacuated_count = {}, 0
        for record in known:
            order_by_zone[record.zone] = record.order
            evacuated_count += record.is_evacuated
        has_room = evacuated_count < MAX_EVACUATED_ZONES
        return any(
            record.order > order_by_zone[record.zone]
            if record.zone in order_by_zone
            else record.is_evacuated and has_room
            for record in self._all_records()
        )

    def _all_records(self) -> Iterable[ZoneRecord]:
        return (belief.record for belief in self._belief_by_zone.values())

    def _advance(self, order: tuple[int, int], now_ms: int) -> None:
        self.mark_known(now_ms=now_ms)
        if self._complete_order is None or order > self._complete_order:
            self._complete_order = order

    def _apply_listed(
        self, record: ZoneRecord, now_ms: int, source: str
    ) -> None:
        """Applies a record of a list; defers it if an earlier era disagrees."""
        belief = self._belief_by_zone.get(record.zone)
        is_contradiction = (
            belief is not None
            and belief.record.era < record.era
            and belief.record.is_evacuated != record.is_evacuated
        )
        is_new_write = (
            record.is_evacuated
            and record.revision > self._first_listed_revision
        )
        is_settling = now_ms < self._settles_at_ms
        if is_contradiction and not is_new_write and is_settling:
            self._deferred_by_zone[record.zone] = record
        else:
            self._apply_newest(record, now_ms, source)

    def _settle(self, now_ms: int) -> None:
        if not self._deferred_by_zone or now_ms < self._settles_at_ms:
            return
        deferred, self._deferred_by_zone = self._deferred_by_zone, {}
        for record in deferred.values():
            self._apply_newest(record, now_ms, "store")

    def _is_outdated(self, record: ZoneRecord) -> bool:
        """Returns whether the keys were read later, without this evacuation."""
        deferred = self._deferred_by_zone.get(record.zone)
        is_listed = deferred is not None and deferred.is_evacuated
        return (
            record.is_evacuated
            and not is_listed
            and not self.is_evacuated(record.zone)
            and self._complete_order is not None
            and record.order <= self._complete_order
        )

    def _apply_outdated(
        self, record: ZoneRecord, now_ms: int, source: str
    ) -> None:
        """Applies an evacuation of a peer that has ended meanwhile.

        The peer learns of the end from the record of it.
        """
        belief = self._belief_by_zone.get(record.zone)
        if belief is not None and record.order <= belief.record.order:
            return
        era, revision = self._complete_order
        end = ZoneRecord(record.zone, revision, False, era)
        if record.era < era and now_ms < self._settles_at_ms:
            self._apply_newest(record, now_ms, source)
            self._deferred_by_zone.setdefault(record.zone, end)
        else:
            self._apply_newest(end, now_ms, source)

    def _apply_newest(
        self,
        record: ZoneRecord,
        now_ms: int,
        source: str,
        *,
        states_end: bool = False,
    ) -> None:
        """Applies a record if it is the newest of its zone.

        Args:
            record: The record.
            now_ms: Current time.
            source: Origin of the record, for the log.
            states_end: Whether the record tells when an evacuation ended, also
                one whose beginning was not heard of. A list only tells that
                the zone is not evacuated.
        """
        belief = self._belief_by_zone.get(record.zone)
        if belief is not None and record.order <= belief.record.order:
            return
        was_evacuated = belief is not None and belief.record.is_evacuated
        ended_at_ms = belief.ended_at_ms if belief is not None else None
        if record.is_evacuated and not was_evacuated and self._refuse(record):
            return
        if not record.is_evacuated:
            stated_ms = now_ms - max(0, record.ended_ms_ago)
            if was_evacuated or ended_at_ms is None:
                ended_at_ms = stated_ms
            elif states_end:
                ended_at_ms = max(ended_at_ms, stated_ms)
        # The order of the beliefs is that in which they changed.
        self._belief_by_zone.pop(record.zone, None)
        self._belief_by_zone[record.zone] = _Belief(record, ended_at_ms)
        self._has_changed = True
        if record.is_evacuated == was_evacuated:
            self._evict_ended()
            return
        if record.is_evacuated:
            self._evacuated_zones.add(record.zone)
        else:
            self._evacuated_zones.discard(record.zone)
        self._evict_ended()
        self._log.event(
            "zone_evacuated"
            if record.is_evacuated
            else "zone_evacuation_ended",
            zone=record.zone,
            revision=record.revision,
            source=source,
        )

    def _refuse(self, record: ZoneRecord) -> bool:
        """Returns whether too many zones are evacuated to record another."""
        is_full = len(self._evacuated_zones) >= MAX_EVACUATED_ZONES
        if is_full and not self._is_full:
            self._log.event(
                "zone_evacuations_full",
                zone=record.zone,
                evacuated=len(self._evacuated_zones),
                remedy="delete keys of zones that no longer exist",
            )
        self._is_full = is_full
        return is_full

    def _evict_ended(self) -> None:
        if len(self._belief_by_zone) - len(self._evacuated_zones) <= (
            MAX_ENDED_ZONES
        ):
            return
        oldest = next(
            zone
            for zone in self._belief_by_zone
            if zone not in self._evacuated_zones
        )
        del self._belief_by_zone[oldest]

    def _notify(self) -> None:
        if not self._has_changed:
            return
        self._has_changed = False
        for listener in list(self.listeners):
            listener()

    def __repr__(self) -> str:
        return f"ZoneEvacuations({self.evacuated_zones})"


def _is_valid(record: ZoneRecord) -> bool:
    return (
        0 < len(record.zone) <= MAX_ZONE_CHARACTERS
        and record.zone.isprintable()
        and 0 <= record.era < store_era.MAX_ERA
        and record.revision >= 0
    )
