"""Tests that clients can't make a router process run out of memory.

The crowds are those of the gateway's tests. They send to the address of
messages between instances, whose bodies are read before they are verified.
"""

from __future__ import annotations

import os
import pathlib
import time
from urllib import error
from urllib import parse
from urllib import request as request_lib

import pytest

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.router.tests import separate_processes
from bambooglade.transport import peers
from bambooglade_standins.users_platform import uncontrolled_clients as clients

pytestmark = pytest.mark.isolated

MEMORY_MB = 300
"""Memory of a machine; the router has no setting for it."""

MAX_DESCRIPTORS = 600
"""The default limit of 512 connections, and others that the process needs."""

CALM_S = 2.0
ATTACK_BOUND_S = 12.0
ANSWER_BOUND_S = 60.0
ATTACKS = (
    "body short by one byte",
    "large chunks",
    "one-byte chunks",
    "two-byte chunks",
    "chunk extension",
    "trailer line",
    "unfinished heads",
    "whole bodies",
    "pipelined large requests",
    "connections",
)


class SingleInstance(separate_processes.ProcessFleet):
    """A key-value service and one instance."""

    def _start_all(self):
        self.key_value = self._start(
            "store", "bambooglade_standins.key_value", "--port=0"
        )
        self._start_instance("zone-a")

    @property
    def proc(self) -> pathlib.Path:
        return pathlib.Path(f"/proc/{self._processes[-1]._child.pid}")

    @property
    def is_running(self) -> bool:
        return self._processes[-1]._child.poll() is None


@pytest.fixture
def fleet(tmp_path):
    with clients.only_one():
        started = SingleInstance(tmp_path)
        yield started
        started.end()


def peak_mb(proc: pathlib.Path) -> float:
    for line in (proc / "status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) * 1_024 / 1_000_000
    return 0.0


def is_answered(url: str) -> bool:
    """Returns whether one ordinary request is answered, after refusals."""
    due_s = time.monotonic() + ANSWER_BOUND_S
    while time.monotonic() < due_s:
        try:
            with request_lib.urlopen(f"{url}/readyz", timeout=10) as response:
                return response.status == 200
        except (error.URLError, OSError):
            time.sleep(0.2)
    return False


@pytest.mark.parametrize("name", ATTACKS)
def test_router_process_survives_uncontrolled_clients(fleet, name):
    """Guards against memory or descriptors that grow with hostile clients."""
    url = parse.urlsplit(fleet.instances[0].url)
    attack = clients.ATTACK_BY_NAME[name]
    loop = loop_lib.EventLoop(clock_lib.Clock())
    crowd = clients.Crowd(
        loop,
        (url.hostname, url.port),
        attack,
        attack.payload(
            clients.Request(peers.PATH.encode(), [(b"Host", b"router")])
        ),
    )
    began_s = changed_s = time.monotonic()
    before, most_descriptors = None, 0
    try:
        while time.monotonic() < min(
            began_s + ATTACK_BOUND_S, changed_s + CALM_S
        ):
            loop.run_once(50)
            most_descriptors = max(
                most_descriptors, len(os.listdir(fleet.proc / "fd"))
            )
            progress = (crowd.sent_bytes, crowd.unread_bytes)
            if progress != before:
                before, changed_s = progress, time.monotonic()
        answered = is_answered(fleet.instances[0].url)
    finally:
        crowd.close()
        loop.close()
    found_mb = peak_mb(fleet.proc)
    print(
        f"MEASURED router {name}: sent={crowd.sent_bytes} peak={found_mb:.1f}"
        f" descriptors={most_descriptors}"
    )
    assert fleet.is_running
    assert found_mb < MEMORY_MB
    assert most_descriptors < MAX_DESCRIPTORS
    assert answered, "no ordinary request was answered"
