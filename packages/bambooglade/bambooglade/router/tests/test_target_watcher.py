"""Tests that leaving targets get no new work, whichever sign comes first."""

from __future__ import annotations

import threading

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
from bambooglade_standins.engine import server as engine_server

LIMIT_S = 3.0  # the users' bound for a leaving target


class FakeList:
    """A list of the platform that can be silent."""

    def __init__(self) -> None:
        self.listed: list[services.ListedInstance] | None = []

    def targets(self) -> list[services.ListedInstance] | None:
        return self.listed


class Scene:
    """Two engines, a directory and its watcher."""

    def __init__(self) -> None:
        self.servers = {n: engine_server.start()[0] for n in ("e1", "e2")}
        self.registry = leaving.LeavingTargets()
        self.list = FakeList()
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


def say_by_target(scene):
    scene.list.listed = None  # cut off from the list
    url = f"{scene.servers['e1'].url}/control/leave"
    scene.client.request(
        messages.Request(method="POST", url=url, body=b"")
    ).unwrap()


def say_by_list(scene):
    scene.list.listed = [
        services.ListedInstance(
            name="e1",
            availability_zone="z1",
            url=f"{scene.servers['e1'].url}/",
            leaving=True,
        )
    ]


def say_by_gossip(scene):
    scene.list.listed = None
    sign = leaving.LeavingNotice(target_id="e1", url=scene.servers["e1"].url)
    scene.registry.record(sign, leaving.Source.GOSSIP, clocks.Clock().now_ms())


@pytest.mark.parametrize("say", [say_by_target, say_by_list, say_by_gossip])
def test_leaving_target_gets_no_new_work_within_the_bound(say):
    scene = Scene()
    scene.watcher.start()
    assert scene.chosen().target_id == "e1"
    say(scene)
    waited = threading.Event()
    for _ in range(int(LIMIT_S / 0.05)):
        if scene.chosen().target_id == "e2":
            break
        waited.wait(0.05)
    try:
        assert scene.chosen().target_id == "e2"
    finally:
        scene.close()


def test_silent_targets_and_platform_are_survived():
    scene = Scene()
    scene.list.listed = None
    for server in scene.servers.values():
        server.stop()
    for target in scene.directory.all_targets():
        scene.watcher.poll(target)
    scene.watcher.poll_platform()
    assert scene.chosen() is not None
    scene.close()
