"""Tests that leaving targets get no new work, whatever announces them."""

from __future__ import annotations

import threading

import msgspec
import pytest

from bambooglade.core import clock as clocks
from bambooglade.router import target_directory
from bambooglade.router import target_watcher
from bambooglade.store import services
from bambooglade.table import rows
from bambooglade.table import view
from bambooglade.targets import leaving
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages
from bambooglade.transport.tests import raw_server
from bambooglade_standins.engine import server as engine_server

LEAVING_BOUND_S = 3.0  # required bound after a leaving target is announced


class FakeInstanceList:
    """A fake of the platform's list; `None` stands for no response."""

    def __init__(self) -> None:
        self.listed: list[services.ListedInstance] | None = []

    def targets(self) -> list[services.ListedInstance] | None:
        return self.listed


class WatchedEngines:
    """Two engines, with a directory and a watcher of them."""

    def __init__(self) -> None:
        self.servers = {n: engine_server.start()[0] for n in ("e1", "e2")}
        self.registry = leaving.LeavingTargets()
        self.list = FakeInstanceList()
        table = view.FixedTable(
            [
                rows.TargetRow(
                    target_id=name,
                    service="jury",
                    availability_zone="z1" if name == "e1" else "z2",
                    url=server.url,
                )
                for name, server in self.servers.items()
            ]
        )
        self.client = client_lib.HttpClient()
        self.directory = target_directory.TargetDirectory(
            availability_zone="z1",
            instance_id="i1",
            table=table,
            clock=clocks.Clock(),
            leaving_targets=self.registry,
        )
        self.watcher = target_watcher.TargetWatcher(
            directory=self.directory,
            client=self.client,
            instance_list=self.list,
        )

    def chosen(self):
        return self.directory.choose("jury", blocks=(), tried=()).target

    def close(self) -> None:
        self.watcher.stop()
        self.client.close()
        for server in self.servers.values():
            server.stop()


def announce_by_target(engines):
    engines.list.listed = None  # the list does not respond
    url = f"{engines.servers['e1'].url}/control/leave"
    engines.client.request(
        messages.Request(method="POST", url=url, body=b"")
    ).unwrap()


def announce_by_list(engines):
    engines.list.listed = [
        services.ListedInstance(
            name="e1",
            availability_zone="z1",
            url=f"{engines.servers['e1'].url}/",
            leaving=True,
        )
    ]


def announce_by_gossip(engines):
    engines.list.listed = None
    notice = leaving.LeavingNotice(
        target_id="e1", url=engines.servers["e1"].url
    )
    engines.registry.record(
        notice, leaving.Source.GOSSIP, clocks.Clock().now_ms()
    )


@pytest.mark.parametrize(
    "announce", [announce_by_target, announce_by_list, announce_by_gossip]
)
def test_leaving_target_gets_no_new_work_after_the_bound(announce):
    engines = WatchedEngines()
    engines.watcher.start()
    assert engines.chosen().target_id == "e1"
    announce(engines)
    waited = threading.Event()
    for _ in range(int(LEAVING_BOUND_S / 0.05)):
        if engines.chosen().target_id == "e2":
            break
        waited.wait(0.05)
    try:
        assert engines.chosen().target_id == "e2"
    finally:
        engines.close()


def test_watcher_tolerates_unreachable_targets_and_platform():
    engines = WatchedEngines()
    engines.list.listed = None
    for server in engines.servers.values():
        server.stop()
    for target in engines.directory.all_targets():
        engines.watcher.poll(target)
    engines.watcher.poll_platform()
    assert engines.chosen() is not None
    engines.close()


@pytest.mark.parametrize(
    "body",
    [
        b'{"x":' + b"[" * 60_000 + b"]" * 60_000 + b"}",
        b"\xff",
        b"[]",
        b'{"running":' + b"9" * 400 + b"}",
        b'{"age_ms":-' + b"9" * 400 + b"}",
    ],
    ids=["nested_too_deeply", "no_json", "no_object", "too_large", "too_small"],
)
def test_report_that_cannot_be_decoded_is_ignored(body):
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    engines = WatchedEngines()
    with raw_server.listening(raw_server.respond_then_close(data + body)) as (
        url,
        _,
    ):
        target = engines.directory.all_targets()[0]
        engines.watcher.poll(
            msgspec.structs.replace(target, url=url.rstrip("/"))
        )
    assert engines.chosen() is not None
    engines.close()
