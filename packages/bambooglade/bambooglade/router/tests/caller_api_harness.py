"""Test harness of the caller interface over HTTP.

A fake coordinator permits all calls, so that only the dispatch is tested.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
from concurrent import futures
import contextlib
import threading

from bambooglade.core import clock as clocks
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.router import admission_gate
from bambooglade.router import call_session
from bambooglade.router import caller_api
from bambooglade.router import calls_port
from bambooglade.router import dispatch
from bambooglade.router import metrics
from bambooglade.router import target_directory
from bambooglade.router import trace
from bambooglade.table import credentials
from bambooglade.table import rows
from bambooglade.table import view
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages
from bambooglade.transport import server as server_lib

ZONE = identifiers.AvailabilityZone("scot-a")
OTHER_ZONE = identifiers.AvailabilityZone("scot-b")
MODEL = "model-1"
TILL = "till"
TIMEOUT_S = 10


class PermissiveCoordinator:
    """Fake coordinator that permits every call and records the run ends.

    A key with a stored response is replayed.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.run_ends_by_key = collections.defaultdict(list)
        self.run_end_added = threading.Condition()
        self.call_by_key = {}

    def begin(self, call: calls.Call) -> futures.Future:
        future = futures.Future()
        with self._lock:
            self.call_by_key.setdefault(call.key, call)
            run_ends = self.run_ends_by_key[call.key]
        if run_ends and run_ends[-1].answer:
            bill = calls.Bill(
                key=call.key, spent_tokens=run_ends[-1].spent_tokens
            )
            future.set_result(
                calls.Replay(
                    key=call.key, response=run_ends[-1].answer, bill=bill
                )
            )
        else:
            future.set_result(calls.Permit(key=call.key))
        return future

    def finish(self, key, run_end: calls.RunEnd) -> futures.Future:
        future = futures.Future()
        with self.run_end_added:
            self.run_ends_by_key[key].append(run_end)
            self.run_end_added.notify_all()
        bill = calls.Bill(key=key, spent_tokens=run_end.spent_tokens)
        future.set_result(calls.Billed(key=key, bill=bill))
        return future

    def cancel(self, call: calls.Call) -> None:
        raise AssertionError(
            f"unexpected cancellation of {call.key}, which was permitted"
        )

    def lookup(self, key, *, team_id) -> futures.Future:
        future = futures.Future()
        call = self.call_by_key.get(key)
        is_own = call and calls_port.belongs_to_team(call.fingerprint, team_id)
        state = calls_port.CallState.ABSENT
        if is_own and self.run_ends_by_key[key]:
            state = calls_port.CallState.FINISHED
        future.set_result(calls_port.CallStatus(key=key, state=state))
        return future

    def wait_for_run_end(self, key) -> calls.RunEnd:
        with self.run_end_added:
            assert self.run_end_added.wait_for(
                lambda: self.run_ends_by_key[key], TIMEOUT_S
            )
            (run_end,) = self.run_ends_by_key[key]
            return run_end


class EditableTable(view.FixedTable):
    """A table in which tests replace rows."""

    def put(self, row: rows.Row) -> None:
        self._by_row_key = {**self._by_row_key, row.row_key: row}


class CallerApiHarness:
    """A running caller interface and a client for it."""

    def __init__(self, targets: list[rows.TargetRow], **kind_options) -> None:
        team_key = credentials.new_key("t1")
        other_key = credentials.new_key("t2")
        self.key_by_team = {"t1": team_key.key, "t2": other_key.key}
        self.table = table = EditableTable(
            [
                rows.TeamRow(team_id="t1", key_hash=team_key.key_hash),
                rows.TeamRow(team_id="t2", key_hash=other_key.key_hash),
                rows.ServiceRow(service=MODEL, form=rows.ServiceForm.MODEL),
                rows.ServiceRow(service=TILL, form=rows.ServiceForm.PLAIN),
                rows.KindRow(
                    service=MODEL, request_kind="critique", **kind_options
                ),
                rows.KindRow(
                    service=TILL,
                    request_kind="status",
                    path_prefix="/status",
                    cost_tokens=1,
                ),
                rows.KindRow(
                    service=TILL,
                    request_kind="deduct",
                    path_prefix="/deduct",
                    method="POST",
                    repeatable=False,
                    cost_tokens=2,
                ),
                *targets,
            ]
        )
        clock = clocks.Clock()
        self.port = PermissiveCoordinator()
        self.ring = trace.TraceRing(capacity=100)
        self.metrics = metrics.Metrics()
        self.directory = target_directory.TargetDirectory(
            availability_zone=ZONE,
            instance_id="i1",
            table=table,
            clock=clock,
        )
        self.target_client = client_lib.HttpClient()
        api = caller_api.CallerApi(
            session_context=call_session.SessionContext(
                port=self.port,
                gate=admission_gate.AdmissionGate(clock),
                clock=clock,
                ring=self.ring,
                metrics=self.metrics,
                instance_id="i1",
                availability_zone=ZONE,
                is_excluded=self.directory.is_excluded,
            ),
            dispatch_context=dispatch.DispatchContext(
                directory=self.directory,
                client=self.target_client,
                clock=clock,
                ring=self.ring,
                instance_id="i1",
            ),
            table=table,
            authenticator=credentials.TeamAuthenticator(
                table, credentials.Verifier()
            ),
            is_ready=lambda: True,
        )
        self.server = server_lib.HttpServer(api, host="127.0.0.1", port=0)
        self.server.start()
        self.client = client_lib.HttpClient()

    def new_request(
        self, method, path, *, body=None, team="t1", **headers
    ) -> messages.Request:
        fields = {
            "Authorization": f"Bearer {self.key_by_team.get(team, 'none')}",
            **{name.replace("_", "-"): text for name, text in headers.items()},
        }
        return messages.Request(
            method=method,
            url=f"{self.server.url}{path}",
            body=body,
            headers=tuple(
                messages.Header(name, text) for name, text in fields.items()
            ),
        )

    def send(self, method, path, **options) -> messages.Response:
        return self.client.request(
            self.new_request(method, path, **options)
        ).unwrap()


@contextlib.contextmanager
def running_harness(
    started: dict[str, server_lib.HttpServer],
    service: str,
    **kind_options,
) -> Iterator[CallerApiHarness]:
    """Runs a harness with running targets; the first is in the same zone."""
    harness = CallerApiHarness(
        [
            rows.TargetRow(
                target_id=target_id,
                service=service,
                availability_zone=OTHER_ZONE if number else ZONE,
                url=server.url,
            )
            for number, (target_id, server) in enumerate(started.items())
        ],
        **kind_options,
    )
    try:
        yield harness
    finally:
        harness.client.close()
        harness.server.stop()
        harness.target_client.close()
        for server in started.values():
            server.stop()
