"""Tests of `bambooglade.gateway.version_archive`."""

from __future__ import annotations

import random

import msgspec
import pytest

from bambooglade.core import event_log
from bambooglade.discovery import targets as targets_lib
from bambooglade.gateway import stream_origins
from bambooglade.gateway import version_archive
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import virtual_loop

KEY = version_archive.KEY
RETENTION_MS = stream_origins.RETENTION_MS
NOW_MS = 1_000_000


@pytest.fixture
def loop():
    loop = virtual_loop.VirtualLoop()
    loop.advance(NOW_MS)
    return loop


@pytest.fixture
def store(loop):
    return memory_store.MemoryStore(loop)


class Instance:
    """An archive with what it needs, as one instance has them."""

    def __init__(self, loop, store, *, is_first_start=False, is_recorder=True):
        log = event_log.EventLog(loop.clock)
        self.loop = loop
        self.origins = stream_origins.StreamOrigins(
            known_since_ms=(
                stream_origins.SINCE_EVER_MS
                if is_first_start
                else loop.now_ms()
            )
        )
        self.archive = version_archive.VersionArchive(
            loop,
            memory_store.StoreClient(store, log=log),
            self.origins,
            is_recorder=lambda: is_recorder,
            is_first_start=is_first_start,
            random_source=random.Random(1),
            log=log,
        )

    def observe(self, *versions: str, duration_ms: int = 50) -> None:
        """Sees these versions, and lets some time pass."""
        targets = [
            targets_lib.RegisteredTarget(
                target_id=f"t-{version}",
                service="jury",
                address=("10.0.0.1", 1),
                availability_zone="z",
                slots=1,
                software_version=version,
            )
            for version in versions
        ]
        self.origins.observe(targets, now_ms=self.loop.now_ms())
        self.archive.observe(targets)
        self.loop.advance(duration_ms)

    @property
    def sole_version(self) -> str | None:
        origin = self.origins.sole_origin(["jury"], now_ms=self.loop.now_ms())
        return origin.software_version if origin else None


def recorded(store) -> dict[str, bool]:
    """Returns for each recorded version whether it is still present."""
    value = store.peek(KEY)
    if value is None:
        return {}
    record = msgspec.json.decode(value, type=version_archive.VersionRecord)
    versions = record.left_at_ms_by_version_by_service.get("jury", {})
    return {version: at_ms is None for version, at_ms in versions.items()}


@pytest.mark.parametrize(
    ("seen", "expected"),
    [
        ([["v1"]], {"v1": True}),
        ([["v1"], ["v1", "v2"]], {"v1": True, "v2": True}),
        ([["v1"], ["v1", "v2"], ["v2"]], {"v1": False, "v2": True}),
        ([["v1"], ["v2"], ["v1"]], {"v1": True, "v2": False}),
        ([["v1"], []], {"v1": True}),
    ],
)
def test_versions_are_recorded_when_they_appear_and_leave(
    loop, store, seen, expected
):
    instance = Instance(loop, store, is_first_start=True)
    for versions in seen:
        instance.observe(*versions)
    assert recorded(store) == expected


def test_versions_that_left_long_ago_are_dropped(loop, store):
    instance = Instance(loop, store, is_first_start=True)
    instance.observe("v1")
    instance.observe("v2", duration_ms=RETENTION_MS + 1)
    instance.observe("v3")
    assert recorded(store) == {"v2": False, "v3": True}


def test_calls_to_the_store_do_not_grow_with_time(loop, store):
    instances = [Instance(loop, store, is_first_start=True) for _ in range(3)]
    for instance in instances:
        instance.observe("v1")
    call_count = store.call_count
    for _ in range(100):
        for instance in instances:
            instance.observe("v1", duration_ms=200)
    assert store.call_count == call_count


@pytest.mark.parametrize("is_recorder", [False, True])
def test_instance_after_a_kill_of_all_knows_what_served_before(
    loop, store, is_recorder
):
    first = Instance(loop, store, is_first_start=True)
    first.observe("v1")
    first.observe("v2")
    second = Instance(loop, store, is_recorder=is_recorder)
    second.archive.start()
    second.observe("v2", duration_ms=RETENTION_MS // 2)
    assert second.sole_version is None
    assert second.origins.has_several_versions("jury")
    second.observe("v2", duration_ms=RETENTION_MS // 2 + 1)
    second.observe("v2")
    assert second.sole_version == "v2"


def test_instance_after_a_kill_of_all_trusts_a_record_of_one_version(
    loop, store
):
    Instance(loop, store, is_first_start=True).observe("v1")
    second = Instance(loop, store, is_recorder=False)
    second.observe("v1")
    assert second.sole_version is None
    second.archive.load()
    loop.advance(50)
    assert second.sole_version == "v1"


def test_upgrade_from_a_build_without_the_record_takes_nothing_for_known(
    loop, store
):
    instance = Instance(loop, store)
    instance.observe("v1")
    successor = Instance(loop, store)
    successor.archive.start()
    successor.observe("v1")
    assert recorded(store) == {"v1": True}
    assert successor.sole_version is None


@pytest.mark.parametrize(
    "value", [b"", b"[]", b'{"known_since_ms": "x"}', b"\xff", b'{"other": 1}']
)
def test_record_that_cannot_be_read_counts_as_unknown(loop, store, value):
    store.put_now(KEY, value)
    instance = Instance(loop, store)
    instance.observe("v1")
    assert instance.sole_version is None
    assert recorded(store) == {"v1": True}


def test_unknown_fields_of_a_later_build_are_ignored(loop, store):
    store.put_now(
        KEY,
        b'{"known_since_ms": 0, "later": [1],'
        b' "left_at_ms_by_version_by_service": {"jury": {"v1": null}}}',
    )
    instance = Instance(loop, store, is_recorder=False)
    instance.observe("v1")
    instance.archive.load()
    loop.advance(50)
    assert instance.sole_version == "v1"


@pytest.mark.parametrize("writer", [0, 1])
def test_store_from_an_older_copy_gets_the_versions_again(loop, store, writer):
    instances = [Instance(loop, store, is_first_start=True) for _ in range(2)]
    for instance in instances:
        instance.observe("v1")
    copy = store.copy()
    for instance in instances:
        instance.observe("v2")
    store.restore(copy)
    assert recorded(store) == {"v1": True}
    instances[writer].archive.load()
    loop.advance(50)
    instances[writer].observe("v2")
    assert recorded(store) == {"v1": False, "v2": True}


@pytest.mark.parametrize(
    "fault",
    [
        memory_store.Fault.UNRESPONSIVE,
        memory_store.Fault.BUSY,
        memory_store.Fault.LOSE_RESPONSES,
    ],
)
def test_change_during_an_outage_is_recorded_after_it(loop, store, fault):
    instance = Instance(loop, store, is_first_start=True)
    instance.observe("v1")
    store.fault = fault
    instance.observe("v2", duration_ms=3_000)
    store.fault = memory_store.Fault.NONE
    for _ in range(6):
        instance.observe("v2", duration_ms=500)
    assert recorded(store) == {"v1": False, "v2": True}


@pytest.mark.parametrize("is_recorder_away", [False, True])
@pytest.mark.parametrize("is_back", [False, True])
def test_change_that_no_recorder_wrote_is_recorded_by_another_instance(
    loop, store, is_back, is_recorder_away
):
    """The store turns the recorder away while a version comes and goes."""
    recorder = Instance(loop, store, is_first_start=True)
    other = Instance(loop, store, is_first_start=True, is_recorder=False)
    for instance in (recorder, other):
        instance.observe("v1")
    if not is_recorder_away:
        recorder.observe("v1", "v2")
    other.observe("v1", "v2", duration_ms=500)
    if is_back:
        other.observe("v1")
    versions = ("v1",) if is_back else ("v1", "v2")
    for _ in range(6):
        other.observe(*versions, duration_ms=500)
    assert recorded(store) == {"v1": True, "v2": not is_back}


def test_instances_that_are_no_recorders_read_once_a_change(loop, store):
    recorder = Instance(loop, store, is_first_start=True)
    others = [
        Instance(loop, store, is_first_start=True, is_recorder=False)
        for _ in range(5)
    ]
    for versions in (("v1",), ("v1", "v2")):
        recorder.observe(*versions)
        call_count = store.call_count
        for _ in range(100):
            for instance in others:
                instance.observe(*versions, duration_ms=20)
        assert store.call_count == call_count + len(others)


@pytest.mark.parametrize(
    ("idle_ms", "is_listed", "reads"),
    [(50, True, 1), (50, False, 2), (60_000, True, 2)],
)
def test_read_at_the_start_is_the_check_of_the_first_versions(
    loop, store, idle_ms, is_listed, reads
):
    """Guards against two reads of the same record by each starting instance.

    A record that lacks a version, or that was read long before, is read again.
    """
    first = Instance(loop, store, is_first_start=True)
    first.observe("v1")
    if not is_listed:
        first.observe("v2")
    instance = Instance(loop, store, is_recorder=False)
    call_count = store.call_count
    instance.archive.start()
    loop.advance(idle_ms)
    for _ in range(6):
        instance.observe("v1", duration_ms=500)
    written = not is_listed
    assert store.call_count - call_count == reads + written


def test_change_and_back_after_the_start_is_checked_again(loop, store):
    """Guards against a check that relies on a record read before a change."""
    recorder = Instance(loop, store, is_first_start=True)
    recorder.observe("v1")
    instance = Instance(loop, store, is_recorder=False)
    instance.archive.start()
    instance.observe("v1", duration_ms=500)
    recorder.observe("v1", "v2")
    instance.observe("v1", "v2", duration_ms=500)
    for _ in range(6):
        instance.observe("v1", duration_ms=500)
    assert recorded(store) == {"v1": True, "v2": False}


def test_time_of_a_clock_that_is_ahead_counts_as_now(loop, store):
    record = version_archive.VersionRecord(
        known_since_ms=0,
        left_at_ms_by_version_by_service={"jury": {"v1": NOW_MS + 5_000}},
    )
    seen = record.seen_versions(now_ms=NOW_MS)
    assert seen.age_ms_by_version_by_service == {"jury": {"v1": 0}}
