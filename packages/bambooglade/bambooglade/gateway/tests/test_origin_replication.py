"""Tests of `bambooglade.gateway.origin_replication`."""

from __future__ import annotations

from concurrent import futures
import random

import msgspec
import pytest

from bambooglade.core import event_log
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import targets as targets_lib
from bambooglade.eventloop import http_client
from bambooglade.gateway import configuration as configuration_lib
from bambooglade.gateway import origin_archive
from bambooglade.gateway import origin_replication
from bambooglade.gateway import route_history
from bambooglade.gateway import stream_origins
from bambooglade.gateway import version_archive
from bambooglade.store import dependency_monitor
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import virtual_loop

ORIGIN = stream_origins.StreamOrigin(service="jury", software_version="v1")
ZONES = ("z1", "z2")
EXPIRED_MS = stream_origins.RETENTION_MS + 1


CONFIGURATION = configuration_lib.Configuration(
    version=1,
    routes=[
        configuration_lib.Route(
            name="r",
            host=b"h",
            path_prefix=b"/r/",
            kind=configuration_lib.RouteKind.STREAM,
            services=[configuration_lib.WeightedService("jury", 1)],
            timeout_ms=1_000,
            target_latency_ms=100,
        )
    ],
    services=[],
    teams=[],
)


class StubClient:
    """Records calls, whose responses the test sets."""

    def __init__(self) -> None:
        self.calls: list[tuple[tuple[str, int], str, bytes]] = []
        self.responses: list[futures.Future] = []

    def call(self, address, *, method, target, body, timeout_ms):
        del method, timeout_ms
        self.calls.append((address, target, body))
        self.responses.append(futures.Future())
        return self.responses[-1]


def peer(number: int) -> peers_lib.Peer:
    return peers_lib.Peer(
        name=f"i{number}",
        incarnation="1",
        host=f"10.0.0.{number}",
        port=1,
        availability_zone=ZONES[number % len(ZONES)],
    )


def target(version: str) -> targets_lib.RegisteredTarget:
    return targets_lib.RegisteredTarget(
        target_id=f"t-{version}",
        service="jury",
        address=("10.1.0.1", 1),
        availability_zone="z1",
        slots=1,
        software_version=version,
    )


@pytest.fixture
def loop():
    return virtual_loop.VirtualLoop()


@pytest.fixture
def client():
    return StubClient()


def new_replicator(
    loop, client, local_instance, peers, store=None, catch_up=futures.Future
):
    """Returns the replicator of an instance that has known the fleet for long.

    It writes to the store only if the entries of the fleet say that it may.
    """
    log = event_log.EventLog(loop.clock)
    store = memory_store.StoreClient(
        store or memory_store.MemoryStore(loop), log=log
    )
    origins = stream_origins.StreamOrigins()
    routes = route_history.RouteHistory()
    routes.observe(CONFIGURATION, now_ms=loop.now_ms())
    return origin_replication.OriginReplicator(
        loop,
        client,
        peers=lambda: peers,
        local_instance=local_instance,
        origins=origins,
        routes=routes,
        archive=origin_archive.OriginArchive(
            loop,
            store,
            instance=local_instance.name,
            incarnation=local_instance.incarnation,
            log=log,
        ),
        versions=version_archive.VersionArchive(
            loop,
            store,
            origins,
            is_recorder=lambda: False,
            is_first_start=True,
            random_source=random.Random(1),
            log=log,
        ),
        catch_up=catch_up,
        contact=dependency_monitor.DependencyMonitor("store", log=log),
        log=log,
    )


@pytest.fixture
def replicator(loop, client):
    peers = [peer(number) for number in range(1, 9)]
    return new_replicator(loop, client, peer(0), peers)


def observe(replicator, *versions: str) -> None:
    replicator.observe(
        {version: target(version) for version in versions}, until_ms=None
    )


@pytest.mark.parametrize(
    ("services", "versions_before", "versions_after", "waited_ms", "is_sent"),
    [
        (["jury"], ["v1"], ["v1"], 0, False),
        (["jury"], ["v1", "v2"], ["v1", "v2"], 0, True),
        (["jury"], ["v1"], ["v1", "v2"], 0, True),
        (
            ["jury"],
            ["v1"],
            ["v1", "v2"],
            stream_origins.RETENTION_MS + 1,
            False,
        ),
        (["jury", "panel"], ["v1"], ["v1"], 0, True),
    ],
)
def test_origin_is_sent_to_one_instance_a_zone_if_it_is_ambiguous(
    replicator,
    loop,
    client,
    services,
    versions_before,
    versions_after,
    waited_ms,
    is_sent,
):
    observe(replicator, *versions_before)
    replicator.record("a1", ORIGIN, services=services)
    loop.advance(waited_ms)
    observe(replicator, *versions_after)
    loop.advance(origin_replication.FLUSH_DELAY_MS)
    observe(replicator, *versions_after)
    loop.advance(origin_replication.FLUSH_DELAY_MS)
    assert len(client.calls) == (len(ZONES) if is_sent else 0)
    for _, path, body in client.calls:
        message = msgspec.json.decode(
            body, type=origin_replication.OriginRecords
        )
        assert path == origin_replication.RECORD_PATH
        assert [r.stream_id for r in message.records] == ["a1"]


KNOWN = http_client.Response(
    200, b'{"origin":{"service":"jury","software_version":"v1"}}'
)
UNKNOWN = http_client.Response(200, b'{"origin":null}')
MALFORMED = http_client.Response(200, b'{"origin":')
UNSUPPORTED = http_client.Response(404, b"")


@pytest.mark.parametrize(
    ("responses", "found"),
    [
        ([KNOWN], ORIGIN),
        ([None, KNOWN], ORIGIN),
        ([UNKNOWN, MALFORMED, UNSUPPORTED, KNOWN], ORIGIN),
        ([UNKNOWN, None, MALFORMED, UNSUPPORTED], None),
    ],
)
def test_lookup_ends_with_the_first_origin_or_the_last_response(
    replicator, client, responses, found
):
    lookup = replicator.find("a1")
    assert len(client.calls) == len(ZONES) * origin_replication.LOOKUPS_PER_ZONE
    for pending, response in zip(client.responses, responses, strict=False):
        assert not lookup.done()
        pending.set_result(response)
    assert lookup.result(timeout=0) == found


def lookup_response(*versions: str, **fields) -> http_client.Response:
    """Returns the response of a holder that doesn't know the origin."""
    seen = stream_origins.SeenVersions(
        age_ms_by_version_by_service={"jury": dict.fromkeys(versions, 0)},
        known_for_ms=EXPIRED_MS,
    )
    return http_client.Response(
        200, msgspec.json.encode({"seen_versions": seen, **fields})
    )


UNCONFIRMED = lookup_response("v1")
"""As instances of 15486ae respond."""

CONFIRMED = lookup_response("v1", is_confirmed=True)
CONFIRMED_MOVED = lookup_response("v1", is_confirmed=True, services=["panel"])
UNCONFIRMED_MOVED = lookup_response("v1", services=["jury", "panel"])
CONFIRMED_TWO = lookup_response("v1", "v2", is_confirmed=True)


@pytest.mark.parametrize(
    ("stood_still_ms", "is_caught_up", "first", "second", "is_found"),
    [
        (0, True, UNCONFIRMED, None, True),
        (0, True, None, None, True),
        (0, False, UNCONFIRMED, UNCONFIRMED, False),
        (0, False, UNCONFIRMED, UNKNOWN, False),
        (0, False, UNCONFIRMED, MALFORMED, False),
        (0, False, UNCONFIRMED, CONFIRMED, True),
        (0, False, UNCONFIRMED, CONFIRMED_TWO, False),
        (0, False, UNCONFIRMED, CONFIRMED_MOVED, False),
        (0, True, UNCONFIRMED_MOVED, None, False),
        (0, False, None, None, False),
        (5_000, False, UNCONFIRMED, None, False),
        (5_000, True, UNCONFIRMED, None, True),
    ],
)
def test_unrecorded_origin_counts_only_if_the_versions_are_confirmed(
    loop, client, stood_still_ms, is_caught_up, first, second, is_found
):
    def catch_up() -> futures.Future:
        done: futures.Future = futures.Future()
        if is_caught_up:
            replicator.observe({"v1": target("v1")}, until_ms=loop.now_ms())
            done.set_result(True)
        return done

    peers = [peer(number) for number in range(1, 9)]
    replicator = new_replicator(loop, client, peer(0), peers, catch_up=catch_up)
    replicator.observe({"v1": target("v1")}, until_ms=loop.now_ms())
    loop.advance(1 + stood_still_ms)
    resolved = replicator.resolve("a2", stream_id="a1", host=b"h", path=b"/r/1")
    for response in (first, second):
        pending, client.responses = client.responses, []
        for call in pending:
            if not call.done():
                call.set_result(response)
        loop.advance(origin_replication.CATCH_UP_TIMEOUT_MS)
    assert resolved.result(timeout=0) == (ORIGIN if is_found else None)


def test_holder_confirms_nothing_that_it_learned_before_the_lookup(
    loop, client
):
    replicator = new_replicator(loop, client, peer(0), [])
    replicator.observe({"v1": target("v1")}, until_ms=loop.now_ms())
    loop.advance(1)
    lookup = origin_replication.OriginLookup(
        stream_id="a1", needs_confirmation=True
    )
    responded = replicator.respond_to_lookup(lookup)
    loop.advance(origin_replication.CATCH_UP_TIMEOUT_MS)
    assert not responded.result(timeout=0).is_confirmed


def test_holder_and_reader_agree_while_the_origin_ranks_first(client, loop):
    """Whichever instance records the stream, every other one asks a holder."""
    members = [peer(number) for number in range(9)]

    def replicator_of(local_instance):
        peers = [m for m in members if m != local_instance]
        return new_replicator(loop, client, local_instance, peers)

    for origin in members:
        for number in range(20):
            client.calls.clear()
            writer = replicator_of(origin)
            observe(writer, "v1", "v2")
            writer.record(f"a{number}", ORIGIN, services=["jury"])
            loop.advance(origin_replication.FLUSH_DELAY_MS)
            holders = {address for address, _, _ in client.calls}
            for reader in members:
                client.calls.clear()
                replicator_of(reader).find(f"a{number}")
                asked = {address for address, _, _ in client.calls}
                assert holders & {*asked, reader.address}


def archived_ids(store) -> set[str]:
    prefix = origin_archive.PREFIX
    return {
        stream_id
        for key in store.list_keys()
        if key.startswith(prefix)
        for archived in msgspec.json.decode(
            store.peek(key), type=list[origin_archive.ArchivedOrigins]
        )
        for stream_id in archived.stream_ids
    }


@pytest.mark.parametrize(
    ("versions", "able", "count"),
    [
        (["v1"], range(9), 0),
        (["v1", "v2"], range(9), 9),
        (["v1", "v2"], [2, 3], 9),
        (["v1", "v2"], [3], 4),
        (["v1", "v2"], [], 0),
    ],
)
def test_one_instance_of_each_zone_archives_what_its_zone_reports(
    loop, versions, able, count
):
    """Instances of earlier builds are passed over; zone z1 has five of nine."""
    store = memory_store.MemoryStore(loop)
    members = [
        msgspec.structs.replace(peer(n), archives_streams=n in able)
        for n in range(9)
    ]
    client = StubClient()
    replicator_by_address = {
        member.address: new_replicator(
            loop, client, member, [m for m in members if m != member], store
        )
        for member in members
    }
    for number, replicator in enumerate(replicator_by_address.values()):
        observe(replicator, *versions)
        replicator.record(f"a{number}", ORIGIN, services=["jury"])
    loop.advance(origin_replication.FLUSH_DELAY_MS)
    for address, path, body in client.calls:
        assert path == origin_replication.RECORD_PATH
        replicator_by_address[address].apply_records(
            msgspec.json.decode(body, type=origin_replication.OriginRecords)
        )
    loop.advance(1_000)
    assert len(archived_ids(store)) == count
    writers = {key.split("/")[2] for key in store.list_keys()}
    assert len(writers) <= len(ZONES)


PEER_OF_EARLIER_BUILD = (
    b'{"name":"i1","incarnation":"1","host":"10.0.0.1","port":1,'
    b'"availability_zone":"z1","link_mbps":20.0,"forwarding_port":2}'
)
"""As instances of 396483c register."""


def test_peer_of_an_earlier_build_writes_nothing_to_the_store():
    decoded = msgspec.json.decode(PEER_OF_EARLIER_BUILD, type=peers_lib.Peer)
    assert origin_replication.ranked_recorders([decoded]) == []
