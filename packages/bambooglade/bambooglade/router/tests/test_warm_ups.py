"""Tests of the request limit of targets that have just started."""

from __future__ import annotations

import collections
from concurrent import futures
import logging as std_logging
import time

from absl import logging
import pytest

from bambooglade.core import clock as clocks
from bambooglade.router import target_directory
from bambooglade.router import target_watcher
from bambooglade.router.tests import caller_api_harness
from bambooglade.router.tests import test_dispatch_chat as chats
from bambooglade.table import rows
from bambooglade.targets import load
from bambooglade.targets import warm_ups
from bambooglade.transport import client as client_lib
from bambooglade.transport.tests import raw_server
from bambooglade_standins.plain_service import server as till_server

SERVICE = "jury"
DURATION_MS = 20_000
STEP_MS = 20
START_MS = 1_000_000
EXCLUDED = rows.RoutingState.EXCLUDED


def target_row(target_id="e1", **columns):
    return rows.TargetRow(
        target_id=target_id,
        service=SERVICE,
        availability_zone="zone-a",
        **{"url": f"http://{target_id}", **columns},
    )


def warm_up_row(limit=5.0, duration_ms=DURATION_MS):
    return rows.WarmUpRow(
        service=SERVICE, max_requests_per_s=limit, duration_ms=duration_ms
    )


class Fleet:
    """Directories of several instances, with one table and clock."""

    def __init__(self, size, *table_rows):
        self.clock = clocks.ManualClock(now_ms=START_MS)
        self.table = caller_api_harness.EditableTable(table_rows)
        self.edited_at_ms_by_key: dict[str, int] = {}
        self.urls = frozenset(f"http://i{number}" for number in range(size))
        self.sent_ms_by_target = collections.defaultdict(list)
        self.directories = [self.start(url) for url in sorted(self.urls)]
        self.clock.advance(delta_ms=warm_ups.FLEET_SETTLE_MS)

    def start(self, url, urls=None):
        directory = target_directory.TargetDirectory(
            availability_zone="zone-a",
            instance_id=url,
            table=self.table,
            clock=self.clock,
            warm_ups=warm_ups.WarmUps(
                self.table, edited_at_ms=self.edited_at_ms_by_key.get
            ),
        )
        directory.refresh_warm_ups()
        directory.set_fleet(url, urls or self.urls)
        return directory

    def put(self, *table_rows):
        for row in table_rows:
            self.table.put(row)
            self.edited_at_ms_by_key[row.row_key] = self.clock.now_ms()

    def send_for(self, duration_ms):
        """Each instance sends a request in each step."""
        end_ms = self.clock.now_ms() + duration_ms
        number = 0
        while self.clock.now_ms() < end_ms:
            for directory in self.directories:
                target = directory.choose(SERVICE, blocks=(), tried=()).target
                if target is not None:
                    self.sent_ms_by_target[target.target_id].append(
                        self.clock.now_ms()
                    )
                    attempt_id = f"r{number}"
                    number += 1
                    directory.record_start(target.target_id, attempt_id)
                    directory.record_end(
                        target.target_id, attempt_id, is_complete=True
                    )
            self.clock.advance(delta_ms=STEP_MS)

    def most_in_a_second(self, target_id="e1"):
        return most_in(self.sent_ms_by_target[target_id], 1_000)


def most_in(sent_ms, window_ms):
    most, first = 0, 0
    for last, at_ms in enumerate(sent_ms):
        while sent_ms[first] <= at_ms - window_ms:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize("limit", [0.5, 1.0, 2.5, 5.0, 30.0])
@pytest.mark.parametrize("size", [1, 6, 71])
def test_new_target_gets_at_most_the_limit_from_all_instances(size, limit):
    """Guards against instances that each send the limit, or none at all."""
    fleet = Fleet(size, warm_up_row(limit))
    fleet.put(target_row())
    fleet.send_for(DURATION_MS)
    sent_ms = fleet.sent_ms_by_target["e1"]
    second_ms = max(1_000, round(1_000 / limit))
    assert most_in(sent_ms, second_ms) <= max(1, limit)
    assert len(sent_ms) >= 0.6 * limit * DURATION_MS / 1_000
    sent_ms.clear()
    fleet.send_for(1_000)
    assert len(sent_ms) == size * 1_000 // STEP_MS


def test_target_without_a_row_of_its_service_has_no_limit():
    """Guards against a limit that no operator has stated."""
    fleet = Fleet(2)
    fleet.put(target_row())
    fleet.send_for(1_000)
    assert len(fleet.sent_ms_by_target["e1"]) == 2 * 1_000 // STEP_MS


def start_at_another_url(fleet):
    fleet.put(target_row(url="http://elsewhere"))


def refuse_a_connection(fleet):
    for directory in fleet.directories:
        (target,) = directory.all_targets()
        directory.record_refused_connection(target)


def report_a_start(fleet):
    for directory in fleet.directories:
        (target,) = directory.all_targets()
        directory.apply_load_report(target, load.LoadReport(uptime_ms=100))


def end_an_exclusion(fleet):
    fleet.put(target_row(state=EXCLUDED))
    for directory in fleet.directories:
        directory.refresh_warm_ups()
    fleet.put(target_row())


def end_an_exclusion_of_the_zone(fleet):
    fleet.put(rows.ZoneRow(availability_zone="zone-a", state=EXCLUDED))
    for directory in fleet.directories:
        directory.refresh_warm_ups()
    fleet.put(rows.ZoneRow(availability_zone="zone-a"))


@pytest.mark.parametrize(
    "begin",
    [
        start_at_another_url,
        refuse_a_connection,
        report_a_start,
        end_an_exclusion,
        end_an_exclusion_of_the_zone,
    ],
    ids=lambda begin: begin.__name__,
)
def test_target_that_starts_again_is_limited_again(begin):
    """Guards against full load on a process that has just started."""
    fleet = Fleet(6, warm_up_row(), target_row())
    fleet.send_for(1_000)
    assert fleet.most_in_a_second() > 100
    fleet.sent_ms_by_target.clear()
    begin(fleet)
    fleet.send_for(DURATION_MS - 200)
    assert 1 <= fleet.most_in_a_second() <= 5
    fleet.send_for(1_500)
    assert fleet.most_in_a_second() > 100


@pytest.mark.parametrize(
    ("edited_ago_ms", "is_limited"), [(None, False), (1_000, True)]
)
def test_restarted_instances_limit_only_targets_with_a_recent_edit(
    edited_ago_ms, is_limited
):
    """Guards against a restart of the fleet that holds all callers back."""
    fleet = Fleet(2, warm_up_row(), target_row())
    if edited_ago_ms is not None:
        fleet.put(target_row())
        fleet.clock.advance(delta_ms=edited_ago_ms)
    fleet.directories = [fleet.start(url) for url in sorted(fleet.urls)]
    fleet.send_for(5_000)
    assert (fleet.most_in_a_second() <= 5) is is_limited


def test_new_instance_is_no_sender_before_it_knows_the_fleet():
    """Guards against an instance that takes itself for the only one."""
    fleet = Fleet(6, warm_up_row(duration_ms=60_000))
    fleet.put(target_row())
    started = fleet.start("http://i6", urls=frozenset())
    fleet.put(target_row("e2"))
    fleet.directories = [started]
    fleet.send_for(warm_ups.FLEET_SETTLE_MS - STEP_MS)
    assert not fleet.sent_ms_by_target["e2"]


def test_uptime_ends_the_limit_of_a_target_that_has_been_running():
    """Guards against a limit for a new row of a target that is warm."""
    fleet = Fleet(1, warm_up_row())
    fleet.put(target_row())
    (directory,) = fleet.directories
    fleet.send_for(100)
    (target,) = directory.all_targets()
    directory.apply_load_report(target, load.LoadReport(uptime_ms=DURATION_MS))
    fleet.send_for(1_000)
    assert fleet.most_in_a_second() > 40


def test_other_targets_get_the_requests_meanwhile():
    """Guards against callers that are refused while others have capacity."""
    fleet = Fleet(6, warm_up_row(), target_row("e2"))
    fleet.put(target_row())
    fleet.send_for(2_000)
    sent = sum(map(len, fleet.sent_ms_by_target.values()))
    assert sent == 6 * 2_000 // STEP_MS
    assert fleet.most_in_a_second("e1") <= 5


def test_threads_of_an_instance_share_its_places():
    """Guards against two threads that take the same place."""
    fleet = Fleet(1, warm_up_row(5.0))
    fleet.put(target_row())
    (directory,) = fleet.directories

    def choose(number):
        del number
        return directory.choose(SERVICE, blocks=(), tried=()).target

    with futures.ThreadPoolExecutor(8) as pool:
        chosen = list(pool.map(choose, range(400)))
    assert sum(target is not None for target in chosen) == 5


def test_limit_is_logged_and_counted_while_it_lasts(caplog):
    """Guards against a limit that operators can't see."""
    logging.get_absl_logger().setLevel(std_logging.INFO)
    fleet = Fleet(1, warm_up_row())
    fleet.put(target_row())
    (directory,) = fleet.directories
    with caplog.at_level(std_logging.INFO, logger="absl"):
        counts = [directory.refresh_warm_ups() for _ in range(2)]
        fleet.clock.advance(delta_ms=DURATION_MS)
        counts.append(directory.refresh_warm_ups())
    assert counts == [1, 1, 0]
    events = [record.getMessage() for record in caplog.records]
    columns = "target=e1 service=jury max_requests_per_s=5.0"
    assert events == [
        f"event=target_warming_up {columns}",
        f"event=target_warm {columns}",
    ]


def test_records_of_targets_that_are_gone_are_evicted():
    """Guards against records that grow with each target that ever was."""
    fleet = Fleet(1, warm_up_row(), target_row())
    limits = warm_ups.WarmUps(fleet.table)
    list(limits.refresh(now_ms=0))
    assert len(limits._record_by_target) == 1
    fleet.table._by_row_key = {}
    list(limits.refresh(now_ms=1))
    assert not limits._record_by_target


def test_watcher_notices_a_start_and_a_refused_connection():
    """Guards against limits that only the instance with requests keeps."""
    body = b'{"uptime_ms":100}'
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    with raw_server.listening(raw_server.respond_then_close(head + body)) as (
        url,
        _,
    ):
        fleet = Fleet(1, warm_up_row(), target_row(url=url.rstrip("/")))
        (directory,) = fleet.directories
        client = client_lib.HttpClient()
        watcher = target_watcher.TargetWatcher(
            directory=directory, client=client
        )
        (target,) = directory.all_targets()
        assert directory.refresh_warm_ups() == 0
        watcher.poll(target)
        assert directory.refresh_warm_ups() == 1
    fleet.clock.advance(delta_ms=DURATION_MS)
    assert directory.refresh_warm_ups() == 0
    watcher.poll(target)
    assert directory.refresh_warm_ups() == 1
    watcher.stop()
    client.close()


@pytest.mark.parametrize(
    "service", [caller_api_harness.TILL, caller_api_harness.MODEL]
)
def test_refused_call_limits_the_target_that_comes_instead(service):
    """Guards against full load on a target that no poll has found down."""
    is_till = service == caller_api_harness.TILL
    start = till_server.start if is_till else chats.start_engine
    server, _ = start("e1")
    with caller_api_harness.running_harness({"e1": server}, service) as harness:
        harness.table.put(
            rows.WarmUpRow(
                service=service, max_requests_per_s=1, duration_ms=30_000
            )
        )
        assert harness.directory.refresh_warm_ups() == 0
        server.stop()
        if is_till:
            response = harness.send("GET", "/services/till/status?file=7")
        else:
            response = harness.send(
                "POST", "/v1/chat/completions", body=chats.chat_body()
            )
        assert harness.directory.refresh_warm_ups() == 1
        started_s = time.monotonic()
        refused = harness.send("GET", "/services/till/status?file=7")
    assert response.head.status == 503
    if is_till:
        assert refused.head.status == 503
        assert b"no_target" in refused.body
        assert b'"ran":"no"' in refused.body
        assert time.monotonic() - started_s < 2.0
