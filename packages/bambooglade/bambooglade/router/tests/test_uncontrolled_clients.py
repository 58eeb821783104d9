"""Tests that clients can't make a router process run out of memory.

The crowds are those of the gateway's tests. A router listens on one address,
and serves callers, other instances, operators, readiness and metrics by the
path. The bodies of messages between instances are read before they are
verified, and those of callers with a key stay in use, since their target never
responds.
"""

from __future__ import annotations

import os
import pathlib
import socket
import time
from urllib import error
from urllib import parse
from urllib import request as request_lib

import pytest

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.router import operator_messages
from bambooglade.router.tests import separate_processes
from bambooglade.table import credentials
from bambooglade.table import rows
from bambooglade.transport import peers
from bambooglade_standins.users_platform import uncontrolled_clients as clients

pytestmark = pytest.mark.isolated

MEMORY_MB = 300
"""Memory of a machine, which is the default of the setting."""

LOW_MEMORY_MB = 100
"""A lower setting; an idle process takes about 50 MB."""

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


PATH_BY_ADDRESS = {
    "peers": peers.PATH,
    "callers with a key": "/services/till/deduct",
    "callers": "/services/till/deduct",
    "operators": "/operator/rows",
    "readiness": "/readyz",
    "metrics": "/metrics",
}
SERVICE_ROWS = (
    rows.ServiceRow(service="till", form=rows.ServiceForm.PLAIN),
    rows.KindRow(
        service="till",
        request_kind="deduct",
        path_prefix="/deduct",
        cost_tokens=0,
    ),
)


class SingleInstance(separate_processes.ProcessFleet):
    """A key-value service, one instance, and a target that never responds.

    Args:
        directory: Directory of the settings and logs.
        limits: Further lines of the section `limits` of the settings.
    """

    def __init__(self, directory, limits=""):
        self.limits = limits
        self._target = socket.create_server(("127.0.0.1", 0), backlog=1_024)
        super().__init__(directory)

    def end(self):
        super().end()
        self._target.close()

    def create_key(self) -> str:
        """Creates a team whose requests are sent to the target."""
        created = credentials.new_key("t1")
        table_rows = (
            rows.TeamRow(team_id="t1", key_hash=created.key_hash),
            *SERVICE_ROWS,
            rows.TargetRow(
                target_id="till-1",
                service="till",
                availability_zone="zone-a",
                url=f"http://127.0.0.1:{self._target.getsockname()[1]}",
            ),
        )
        self.request_operator(
            "/rows",
            operator_messages.EditRows(
                edit_id="rows",
                edits=tuple(
                    operator_messages.RowEdit(
                        row_key=row.row_key, expected_version=0, row=row
                    )
                    for row in table_rows
                ),
            ),
        )
        return created.key

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


@pytest.fixture
def small_fleet(tmp_path):
    with clients.only_one():
        started = SingleInstance(tmp_path, f"memory_mb = {LOW_MEMORY_MB}")
        yield started
        started.end()


def peak_mb(proc: pathlib.Path) -> float:
    for line in (proc / "status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) * 1_024 / 1_000_000
    return 0.0


def is_answered_at(url: str, path: str) -> bool:
    """Returns whether a small request to a path gets any response."""
    due_s = time.monotonic() + ANSWER_BOUND_S
    while time.monotonic() < due_s:
        try:
            with request_lib.urlopen(f"{url}{path}", timeout=10):
                return True
        except error.HTTPError:
            return True
        except (error.URLError, OSError):
            time.sleep(0.2)
    return False


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


def new_request(fleet, address: str) -> clients.Request:
    fields = [(b"Host", b"router")]
    if address == "callers with a key":
        key = fleet.create_key()
        fields.append((b"Authorization", f"Bearer {key}".encode()))
    return clients.Request(PATH_BY_ADDRESS[address].encode(), fields)


def check_attack(
    fleet,
    address: str,
    name: str,
    attack: clients.Attack,
    *,
    memory_mb: float,
) -> None:
    """Checks that an instance survives a crowd, and answers meanwhile."""
    url = parse.urlsplit(fleet.instances[0].url)
    payload = attack.payload(new_request(fleet, address))
    loop = loop_lib.EventLoop(clock_lib.Clock())
    crowd = clients.Crowd(loop, (url.hostname, url.port), attack, payload)
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
        answered_here = is_answered_at(
            fleet.instances[0].url, PATH_BY_ADDRESS[address]
        )
    finally:
        crowd.close()
        loop.close()
    found_mb = peak_mb(fleet.proc)
    print(
        f"MEASURED router {address} {name}: sent={crowd.sent_bytes}"
        f" peak={found_mb:.1f} descriptors={most_descriptors}"
        f" memory_mb={memory_mb}"
    )
    assert fleet.is_running
    assert found_mb < memory_mb
    assert most_descriptors < MAX_DESCRIPTORS
    assert answered, "no ordinary request was answered"
    assert answered_here, "no request to the attacked path was answered"


@pytest.mark.parametrize("name", ATTACKS)
@pytest.mark.parametrize("address", PATH_BY_ADDRESS)
def test_router_process_survives_uncontrolled_clients(fleet, address, name):
    """Guards against memory or descriptors that grow with hostile clients."""
    attack = clients.ATTACK_BY_NAME[name]
    check_attack(fleet, address, name, attack, memory_mb=MEMORY_MB)


@pytest.mark.parametrize("name", ["body short by one byte", "whole bodies"])
@pytest.mark.parametrize("address", PATH_BY_ADDRESS)
def test_router_process_keeps_to_the_memory_of_its_settings(
    small_fleet, address, name
):
    """Guards against a setting of the memory that has no effect."""
    attack = clients.Attack(
        clients.ATTACK_BY_NAME[name].payload, connections=clients.MANY
    )
    check_attack(small_fleet, address, name, attack, memory_mb=LOW_MEMORY_MB)
