"""Tests of `bambooglade.gateway.origin_archive`."""

from __future__ import annotations

import pytest

from bambooglade.core import event_log
from bambooglade.gateway import origin_archive
from bambooglade.gateway import stream_origins
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import virtual_loop

WRITE_MS = origin_archive.WRITE_DELAY_MS + 100
V1 = stream_origins.StreamOrigin(service="jury", software_version="v1")
V2 = stream_origins.StreamOrigin(service="jury", software_version="v2")


@pytest.fixture
def loop():
    return virtual_loop.VirtualLoop()


@pytest.fixture
def store(loop):
    return memory_store.MemoryStore(loop)


def new_archive(loop, store, name: str = "i0", incarnation: str = "1"):
    log = event_log.EventLog(loop.clock)
    client = memory_store.StoreClient(store, log=log)
    return origin_archive.OriginArchive(
        loop, client, instance=name, incarnation=incarnation, log=log
    )


def record(stream_id: str, origin=V1) -> stream_origins.OriginRecord:
    return stream_origins.OriginRecord(stream_id=stream_id, origin=origin)


def find(loop, store, stream_id: str):
    """Looks an origin up as an instance does that has just started."""
    found = new_archive(loop, store, "reader").find(stream_id)
    loop.advance(1_500)
    return found.result(timeout=0)


def archive_keys(store) -> list[str]:
    prefix = origin_archive.PREFIX
    return [key for key in store.list_keys() if key.startswith(prefix)]


def test_origins_outlive_the_instances_that_wrote_them(loop, store):
    new_archive(loop, store, "i0").add([record("a"), record("b", V2)])
    new_archive(loop, store, "i1").add([record("c", V2)])
    loop.advance(WRITE_MS)
    found = [find(loop, store, stream_id) for stream_id in "abcd"]
    assert found == [V1, V2, V2, None]


def test_instance_that_starts_again_keeps_what_it_wrote_before(loop, store):
    for incarnation in "12":
        archive = new_archive(loop, store, "i0", incarnation)
        archive.add([record(f"a{incarnation}")])
        loop.advance(WRITE_MS)
    assert [find(loop, store, s) for s in ("a1", "a2")] == [V1, V1]


def test_origins_of_many_streams_are_found_on_several_pages(
    loop, store, monkeypatch
):
    monkeypatch.setattr(memory_store, "PAGE_ITEMS", 2)
    for number in range(5):
        archive = new_archive(loop, store, f"i{number}")
        archive.add([record(f"a{number}")])
    loop.advance(WRITE_MS)
    assert all(find(loop, store, f"a{number}") == V1 for number in range(5))


def test_calls_and_keys_are_bounded_however_many_streams_begin(loop, store):
    archive = new_archive(loop, store)
    duration_ms = 100_000
    for number in range(duration_ms // 20):
        archive.add([record(f"a{number}"), record(f"b{number}", V2)])
        loop.advance(20)
    renewals = duration_ms // origin_archive.LEASE_RENEWAL_MS
    writes = duration_ms // origin_archive.WRITE_DELAY_MS
    assert store.call_count <= writes + renewals + 2
    assert len(archive_keys(store)) <= origin_archive.SEGMENT_COUNT
    assert find(loop, store, f"a{number - 50}") == V1
    assert find(loop, store, f"b{number - 50}") == V2


def test_segment_ends_at_its_largest_size(loop, store, monkeypatch):
    monkeypatch.setattr(origin_archive, "MAX_SEGMENT_ORIGINS", 3)
    archive = new_archive(loop, store)
    for number in range(9):
        archive.add([record(f"a{number}")])
        loop.advance(WRITE_MS)
    assert len(archive_keys(store)) == 3
    assert all(find(loop, store, f"a{number}") == V1 for number in range(9))


def test_nothing_is_called_while_no_stream_begins(loop, store):
    archive = new_archive(loop, store)
    archive.add([])
    loop.advance(60_000)
    assert store.call_count == 0


def test_keys_end_with_the_lease(loop, store):
    new_archive(loop, store).add([record("a")])
    loop.advance(WRITE_MS)
    assert len(archive_keys(store)) == 1
    loop.advance(origin_archive.LEASE_TTL_MS + 1)
    assert archive_keys(store) == []


@pytest.mark.parametrize(
    "fault", [memory_store.Fault.UNRESPONSIVE, memory_store.Fault.BUSY]
)
def test_origins_are_written_after_an_outage(loop, store, fault):
    archive = new_archive(loop, store)
    store.fault = fault
    archive.add([record("a")])
    loop.advance(4_000)
    archive.add([record("b")])
    loop.advance(4_000)
    store.fault = memory_store.Fault.NONE
    loop.advance(3_000)
    assert [find(loop, store, s) for s in "ab"] == [V1, V1]


def test_new_era_begins_with_a_new_lease(loop, store):
    archive = new_archive(loop, store)
    copy = store.copy()
    archive.add([record("a")])
    loop.advance(WRITE_MS)
    store.restore(copy)
    loop.advance(origin_archive.SEGMENT_MS)
    archive.add([record("b")])
    loop.advance(3_000)
    archive.add([record("c")])
    loop.advance(3_000)
    assert find(loop, store, "c") == V1


def test_lookup_without_a_store_ends_with_nothing(loop, store):
    store.fault = memory_store.Fault.BUSY
    assert find(loop, store, "a") is None


@pytest.mark.parametrize("value", [b"", b"{}", b'[{"origin": 1}]', b"\xff"])
def test_key_that_cannot_be_read_hides_no_other_key(loop, store, value):
    store.put_now(f"{origin_archive.PREFIX}i9/0", value)
    new_archive(loop, store).add([record("a")])
    loop.advance(WRITE_MS)
    assert find(loop, store, "a") == V1


def test_lookups_of_the_same_time_share_one_call(loop, store):
    archive = new_archive(loop, store)
    archive.add([record("a")])
    loop.advance(WRITE_MS)
    reader = new_archive(loop, store, "reader")
    call_count = store.call_count
    found = [reader.find("a") for _ in range(20)]
    loop.advance(100)
    assert [f.result(timeout=0) for f in found] == [V1] * 20
    assert store.call_count == call_count + 1
