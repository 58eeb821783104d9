"""Starts the router and the stand-ins as separate processes, for tests."""

from __future__ import annotations

import pathlib
import re
import signal
import subprocess
import sys
import time

import msgspec

from bambooglade.core import identifiers
from bambooglade.router import operator_credentials
from bambooglade.router import operator_messages
from bambooglade.table import credentials
from bambooglade.table import rows
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages

START_TIMEOUT_S = 30.0
_POLL_S = 0.05
_URL = re.compile(r"url=(http://\S+)")
_SETTINGS = """
[instance]
name = "{zone}"
availability_zone = "{zone}"
host = "127.0.0.1"
port = 0
seeds = [{seeds}]
arbiter_zones = ["zone-a", "zone-b"]
shard_count = 4
table_page_count = 2

[platform]
key_value_url = "{key_value_url}"

[security]
shared_key = "{shared_key}"
bootstrap_operator_key_hash = "{operator_hash}"

[limits]
drain_bound_ms = 8_000
{limits}
"""


class Process:
    """A child process, and the URL that its log reports."""

    def __init__(self, name, arguments, directory):
        self.log = pathlib.Path(directory) / f"{name}.log"
        with self.log.open("wb") as log:
            self._child = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.url = self._wait_for_url()

    def send_signal(self, signal_number):
        self._child.send_signal(signal_number)

    def wait(self, timeout_s=20.0):
        try:
            return self._child.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise AssertionError(
                self.log.read_text(errors="replace")
            ) from error

    def end(self):
        if self._child.poll() is None:
            self._child.send_signal(signal.SIGCONT)
            self._child.kill()
            self._child.wait()

    def _wait_for_url(self):
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end and self._child.poll() is None:
            found = _URL.search(self.log.read_text(errors="replace"))
            if found:
                return found.group(1)
            time.sleep(_POLL_S)
        raise AssertionError(self.log.read_text(errors="replace"))


class ProcessFleet:
    """A key-value service, an engine, a till and instances in two zones.

    Attributes:
        limits: Further lines of the section `limits` of the settings.
    """

    limits = ""

    def __init__(self, directory):
        self._directory = directory
        self._client = client_lib.HttpClient()
        self._operator = credentials.new_key(
            operator_credentials.BOOTSTRAP_OPERATOR
        )
        self._processes = []
        self.instances = []
        try:
            self._start_all()
        except BaseException:
            self.end()
            raise

    def _start_all(self):
        self.key_value = self._start(
            "store", "bambooglade_standins.key_value", "--port=0"
        )
        self.engine = self._start(
            "engine",
            "bambooglade_standins.engine",
            "--model=critique",
            "--target_id=engine-1",
            "--zone=zone-a",
        )
        self.till = self._start(
            "till", "bambooglade_standins.plain_service", "--target_id=till-1"
        )
        for zone in ("zone-a", "zone-a", "zone-b", "zone-b"):
            self._start_instance(zone)
        self.wait_until(self._all_members_known)

    def end(self):
        for process in self._processes:
            process.end()

    def create_team(self, team_id, *, tokens):
        created = credentials.new_key(team_id)
        table_rows = (
            *_rows(self.engine.url, self.till.url),
            rows.TeamRow(team_id=team_id, key_hash=created.key_hash),
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
        self.top_up(f"team/{team_id}", tokens, edit_id="first")
        self.wait_until(lambda: all(map(self._has_rows, self.instances)))
        return created.key

    def top_up(self, budget_id, tokens, *, edit_id):
        self.request_operator(
            "/top-ups",
            operator_messages.TopUpBudget(
                edit_id=edit_id, budget_id=budget_id, tokens=tokens
            ),
        )

    def budget(self, budget_id):
        return msgspec.json.decode(
            self.request_operator(f"/budgets/{budget_id}"),
            type=operator_messages.BudgetDescription,
        )

    def request_operator(self, path, body=None, *, instance=None):
        instance = instance or self.instances[-1]
        response = self._client.request(
            messages.Request(
                method="POST" if body else "GET",
                url=f"{instance.url}/operator{path}",
                headers=(
                    messages.Header(
                        "Authorization", f"Bearer {self._operator.key}"
                    ),
                ),
                body=msgspec.json.encode(body) if body else None,
            )
        ).unwrap()
        assert response.head.status == 200, response.body
        return response.body

    def run_count_by_key(self):
        """Returns the number of runs by request key."""
        response = self._client.request(
            messages.Request(method="GET", url=f"{self.till.url}/runs")
        ).unwrap()
        return msgspec.json.decode(response.body)

    def _start(self, name, *arguments):
        process = Process(name, arguments, self._directory)
        self._processes.append(process)
        return process

    def _start_instance(self, zone):
        name = f"instance-{len(self.instances)}"
        path = pathlib.Path(self._directory) / f"{name}.toml"
        seeds = ", ".join(
            f'"{each.url.removeprefix("http://")}"' for each in self.instances
        )
        path.write_text(
            _SETTINGS.format(
                zone=zone,
                seeds=seeds,
                key_value_url=self.key_value.url,
                shared_key="k" * 40,
                operator_hash=self._operator.key_hash,
                limits=self.limits,
            )
        )
        self.instances.append(
            self._start(name, "bambooglade.router.main", f"--settings={path}")
        )

    def _all_members_known(self):
        return all(self._lists_all_members(each) for each in self.instances)

    def _lists_all_members(self, instance):
        return len(self.instance_states(instance)) == len(self.instances)

    def instance_states(self, instance):
        """Returns the states of all instances in the view of one of them."""
        fleet = msgspec.json.decode(
            self.request_operator("/fleet", instance=instance),
            type=operator_messages.FleetDescription,
        )
        return [each.state for each in fleet.instances]

    def _has_rows(self, instance):
        listed = msgspec.json.decode(
            self.request_operator("/rows", instance=instance),
            type=operator_messages.RowList,
        )
        return any(row.row_key.startswith("team/") for row in listed.rows)

    def wait_until(self, condition):
        end = time.monotonic() + START_TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, "the condition was not met in time"
            time.sleep(_POLL_S)


def _rows(engine_url, till_url):
    return (
        rows.ServiceRow(service="critique", form=rows.ServiceForm.MODEL),
        rows.KindRow(service="critique", request_kind="review"),
        rows.ServiceRow(service="till", form=rows.ServiceForm.PLAIN),
        rows.KindRow(
            service="till",
            request_kind="deduct",
            path_prefix="/deduct",
            method="POST",
            repeatable=False,
            cost_tokens=5,
        ),
        rows.TargetRow(
            target_id="engine-1",
            service="critique",
            availability_zone="zone-a",
            url=engine_url,
        ),
        rows.TargetRow(
            target_id="till-1",
            service="till",
            availability_zone="zone-a",
            url=till_url,
        ),
    )


def new_key(zone):
    """Returns a request key whose arbiter is the zone."""
    return identifiers.new_request_key(
        arbiter=identifiers.AvailabilityZone(zone)
    )
