"""Tests of `bambooglade.discovery.evacuations`."""

from __future__ import annotations

import itertools
import os
import random

import pytest

from bambooglade.core import clock as clock_lib
from bambooglade.core import event_log
from bambooglade.discovery import evacuations

SETTLE_MS = evacuations.RESTORE_SETTLE_MS


@pytest.fixture
def zones():
    return new_zones()


def new_zones(descriptor: int | None = None) -> evacuations.ZoneEvacuations:
    return evacuations.ZoneEvacuations(
        event_log.EventLog(clock_lib.ManualClock(), descriptor=descriptor)
    )


def record(
    revision: int, is_evacuated: bool, *, zone="z", era=1, ended_ms_ago=0
) -> evacuations.ZoneRecord:
    return evacuations.ZoneRecord(
        zone, revision, is_evacuated, era, ended_ms_ago
    )


def read(zones, *listed, at_revision=20, era=1, now_ms=0):
    """Applies a complete list of the store."""
    zones.apply_list(
        listed, era=era, at_revision=at_revision, now_ms=now_ms, source="store"
    )


def watch(zones, *changes, era=1, now_ms=0):
    zones.apply_changes(
        changes,
        era=era,
        at_revision=max(change.revision for change in changes),
        now_ms=now_ms,
        source="store",
    )


def tell(zones, *records, now_ms=0):
    zones.merge(records, now_ms=now_ms, source="peer:i2")


@pytest.mark.parametrize(
    ("records", "expected"),
    [
        ([record(30, True)], True),
        ([record(30, True), record(31, False)], False),
        ([record(31, False), record(30, True), record(32, True)], True),
        ([record(9, True, era=2), record(50, False, era=1)], True),
        ([record(9, False, era=2), record(50, True, era=1)], False),
    ],
)
def test_newest_record_of_newest_era_wins_in_any_order(records, expected):
    for order in itertools.permutations(records):
        zones = new_zones()
        for known in order * 2:
            tell(zones, known)
        assert zones.is_evacuated("z") is expected, order


def test_evacuation_that_was_taken_back_is_not_believed_from_a_slow_peer(zones):
    read(zones, at_revision=20)
    tell(zones, record(15, True), now_ms=5)
    assert not zones.is_evacuated("z")
    # The peer learns of the end, so that it is not told for ever.
    assert zones.has_news_for([record(15, True)])
    (end,) = zones.records(now_ms=5)
    other = new_zones()
    tell(other, record(15, True))
    tell(other, end, now_ms=6)
    assert not other.is_evacuated("z")
    assert not zones.has_news_for(other.records(now_ms=6))


def test_later_list_without_the_key_ends_an_evacuation(zones):
    read(zones, record(20, True), at_revision=20)
    read(zones, at_revision=19, now_ms=1)
    assert zones.is_evacuated("z")
    read(zones, at_revision=25, now_ms=2)
    assert not zones.is_evacuated("z")
    assert zones.ended_at_ms("z") == 2


def test_list_older_than_a_record_of_a_peer_does_not_end_it(zones):
    tell(zones, record(30, True))
    read(zones, at_revision=29)
    assert zones.is_evacuated("z")


def test_end_is_none_until_the_first_end_and_stays_after_a_repetition(zones):
    assert zones.ended_at_ms("z") is None
    watch(zones, record(21, True), now_ms=100)
    assert zones.ended_at_ms("z") is None
    watch(zones, record(22, False), now_ms=200)
    watch(zones, record(23, True), now_ms=300)
    assert zones.ended_at_ms("z") == 200
    watch(zones, record(24, False), now_ms=400)
    assert zones.ended_at_ms("z") == 400


def test_end_that_a_peer_tells_is_as_old_as_the_peer_says(zones):
    watch(zones, record(21, True), record(22, False), now_ms=100)
    late = new_zones()
    tell(late, *zones.records(now_ms=1_100), now_ms=50_000)
    assert late.ended_at_ms("z") == 49_000


class Restored:
    """Zones whose store returned from an older copy, in era 2."""

    def __init__(self, *, was_evacuated: bool, is_listed: bool) -> None:
        self.zones = new_zones()
        read(self.zones, at_revision=20)
        watch(self.zones, record(21, True))
        if not was_evacuated:
            watch(self.zones, record(22, False))
        self.listed = [record(11, True, era=2)] if is_listed else []
        read(self.zones, *self.listed, era=2, at_revision=15, now_ms=1_000)


@pytest.mark.parametrize("was_evacuated", [False, True])
@pytest.mark.parametrize("is_listed", [False, True])
def test_known_state_is_kept_after_a_restore_until_it_has_settled(
    was_evacuated, is_listed
):
    restored = Restored(was_evacuated=was_evacuated, is_listed=is_listed)
    zones = restored.zones
    assert zones.is_evacuated("z") is was_evacuated
    zones.settle(now_ms=1_000 + SETTLE_MS - 1)
    assert zones.is_evacuated("z") is was_evacuated
    # A repeated list of the same era does not extend or shorten the time.
    read(zones, *restored.listed, era=2, at_revision=16, now_ms=2_500)
    assert zones.is_evacuated("z") is was_evacuated
    zones.settle(now_ms=1_000 + SETTLE_MS)
    assert zones.is_evacuated("z") is is_listed


@pytest.mark.parametrize("was_evacuated", [False, True])
@pytest.mark.parametrize("is_listed", [False, True])
@pytest.mark.parametrize("is_written", [False, True])
def test_write_in_the_new_era_counts_at_once_and_for_good(
    was_evacuated, is_listed, is_written
):
    zones = Restored(was_evacuated=was_evacuated, is_listed=is_listed).zones
    watch(zones, record(16, is_written, era=2), now_ms=1_100)
    assert zones.is_evacuated("z") is is_written
    zones.settle(now_ms=1_000 + 2 * SETTLE_MS)
    assert zones.is_evacuated("z") is is_written


def test_write_in_the_new_era_that_a_second_list_shows_counts_at_once():
    zones = Restored(was_evacuated=False, is_listed=False).zones
    read(zones, record(17, True, era=2), era=2, at_revision=18, now_ms=1_100)
    assert zones.is_evacuated("z")


def test_restarted_instance_ends_what_its_peers_keep_from_the_last_era(zones):
    read(zones, era=2, at_revision=15, now_ms=0)
    tell(zones, record(21, True), now_ms=100)
    assert zones.is_evacuated("z")
    zones.settle(now_ms=SETTLE_MS)
    assert not zones.is_evacuated("z")
    tell(zones, record(21, True), now_ms=SETTLE_MS + 1)
    assert not zones.is_evacuated("z")


@pytest.mark.parametrize("now_ms", [1_100, 1_000 + SETTLE_MS])
@pytest.mark.parametrize(
    ("was_evacuated", "told"),
    [(True, record(15, False, era=2)), (False, record(11, True, era=2))],
)
def test_peer_whose_list_has_settled_is_believed_at_once(
    now_ms, was_evacuated, told
):
    zones = Restored(
        was_evacuated=was_evacuated, is_listed=told.is_evacuated
    ).zones
    tell(zones, told, now_ms=now_ms)
    assert zones.is_evacuated("z") is told.is_evacuated


def test_keys_are_known_once_read_or_told(zones):
    tell(zones, record(1, True))
    assert not zones.is_known
    zones.mark_known(now_ms=3)
    read(zones, now_ms=9)
    assert zones.known_since_ms == 3


def test_peers_agree_without_endless_news():
    """Guards against peers that answer each other without a pause."""
    first, second = new_zones(), new_zones()
    read(first, record(12, True, zone="a"), at_revision=20)
    watch(first, record(21, False, zone="a"), record(22, True, zone="b"))
    for index in range(2 * evacuations.MAX_ENDED_ZONES):
        watch(
            second,
            record(30 + 2 * index, True, zone=f"e{index}"),
            record(31 + 2 * index, False, zone=f"e{index}"),
        )
    for _ in range(3):
        tell(second, *first.records(now_ms=0))
        tell(first, *second.records(now_ms=0))
    assert not first.has_news_for(second.records(now_ms=0))
    assert not second.has_news_for(first.records(now_ms=0))
    assert first.evacuated_zones == second.evacuated_zones == []


def test_records_are_bounded(zones):
    for index in range(5_000):
        tell(zones, record(index + 1, True, zone=f"a{index}"))
        tell(zones, record(index + 1, index % 2 == 0, zone=f"b{index}"))
    assert len(zones.records(now_ms=0)) <= (
        evacuations.MAX_EVACUATED_ZONES + evacuations.MAX_ENDED_ZONES
    )


@pytest.mark.parametrize(
    "malformed",
    [
        record(1, True, zone=""),
        record(1, True, zone="z" * 201),
        record(1, True, zone="z\n"),
        record(1, True, era=10**15),
        record(-1, True),
        record(1, True, era=-1),
    ],
)
def test_malformed_record_of_a_peer_is_ignored(zones, malformed):
    tell(zones, malformed)
    assert zones.records(now_ms=0) == []


def test_each_change_of_belief_is_one_event_and_one_notification():
    reader, writer = os.pipe()
    zones = new_zones(writer)
    calls = []
    zones.listeners.append(lambda: calls.append(zones.evacuated_zones))
    read(zones)
    for _ in range(3):
        tell(zones, record(21, True))
    read(zones, record(21, True), at_revision=25)
    watch(zones, record(26, False))
    tell(zones, record(21, True))
    assert calls == [["z"], []]
    lines = os.read(reader, 65_536).decode().splitlines()
    os.close(reader)
    os.close(writer)
    assert [line.partition("event=")[2] for line in lines] == [
        "zone_evacuated zone=z revision=21 source=peer:i2",
        "zone_evacuation_ended zone=z revision=26 source=store",
    ]


class Store:
    """The keys of the zones, with a history that a restore cuts off."""

    def __init__(self) -> None:
        self.era, self.revision = 1, 10
        self.revision_by_zone: dict[str, int] = {}
        self.history: list[evacuations.ZoneRecord] = []

    def write(self, zone: str, is_evacuated: bool) -> None:
        self.revision += 1
        self.revision_by_zone.pop(zone, None)
        if is_evacuated:
            self.revision_by_zone[zone] = self.revision
        self.history.append(
            record(self.revision, is_evacuated, zone=zone, era=self.era)
        )

    def copy(self):
        return self.revision, dict(self.revision_by_zone)

    def restore(self, copied) -> None:
        self.era += 1
        self.revision, self.revision_by_zone = copied[0], dict(copied[1])
        self.history = []


class Reader:
    """An instance that lists and watches the store."""

    def __init__(self, store: Store) -> None:
        self.zones = new_zones()
        self._store = store
        self._read_to = (0, 0)

    def read(self, now_ms: int) -> None:
        """Lists the keys in a new era, and reads the changes later on."""
        store = self._store
        era, revision = self._read_to
        if era != store.era:
            listed = [
                record(written_at, True, zone=zone, era=store.era)
                for zone, written_at in store.revision_by_zone.items()
            ]
            read(
                self.zones,
                *listed,
                era=store.era,
                at_revision=store.revision,
                now_ms=now_ms,
            )
        else:
            self.zones.apply_changes(
                [c for c in store.history if c.revision > revision],
                era=era,
                at_revision=store.revision,
                now_ms=now_ms,
                source="store",
            )
        self._read_to = store.era, store.revision


@pytest.mark.parametrize("seed", range(200))
def test_instances_agree_with_the_store_whatever_happened(seed):
    """Guards against records that some instances believe for ever."""
    source = random.Random(seed)
    store, now_ms = Store(), 0
    readers = [Reader(store) for _ in range(5)]
    copied = store.copy()
    for _ in range(80):
        now_ms += source.choice([0, 10, 400, 1_500])
        reader, other = source.sample(readers, 2)
        step = source.random()
        if step < 0.3:
            store.write(source.choice("abc"), source.random() < 0.5)
        elif step < 0.6:
            reader.read(now_ms)
        elif step < 0.85:
            tell(other.zones, *reader.zones.records(now_ms=now_ms))
        elif step < 0.9:
            copied = store.copy()
        elif step < 0.94:
            store.restore(copied)
        else:
            readers[source.randrange(len(readers))] = Reader(store)
    # Two instances read the store, and the others only hear of it.
    for _ in range(4):
        now_ms += SETTLE_MS
        for reader in readers[:2]:
            reader.read(now_ms)
        for reader, other in itertools.permutations(readers, 2):
            tell(
                other.zones,
                *reader.zones.records(now_ms=now_ms),
                now_ms=now_ms,
            )
    expected = sorted(store.revision_by_zone)
    assert [r.zones.evacuated_zones for r in readers] == [expected] * 5
    for reader, other in itertools.permutations(readers, 2):
        assert not reader.zones.has_news_for(other.zones.records(now_ms=now_ms))


# Guards against targets that get full load at the end of an evacuation whose
# beginning was not heard of, as this zone had been evacuated before.
@pytest.mark.parametrize(
    ("apply_end", "ended_at_ms"),
    [
        (
            lambda z: tell(
                z, record(40, False, ended_ms_ago=300), now_ms=9_000
            ),
            8_700,
        ),
        (lambda z: watch(z, record(40, False), now_ms=9_000), 9_000),
        # Neither repeats an end that was heard of before.
        (
            lambda z: tell(
                z, record(31, False, ended_ms_ago=8_899), now_ms=9_000
            ),
            101,
        ),
        (lambda z: read(z, at_revision=9, era=2, now_ms=9_000), 101),
    ],
)
def test_end_of_an_evacuation_that_was_missed_is_recorded(
    zones, apply_end, ended_at_ms
):
    watch(zones, record(30, True), now_ms=100)
    watch(zones, record(31, False), now_ms=101)
    apply_end(zones)
    assert not zones.is_evacuated("z")
    assert zones.ended_at_ms("z") == ended_at_ms
