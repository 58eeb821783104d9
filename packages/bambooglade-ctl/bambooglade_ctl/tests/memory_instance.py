"""An instance that keeps everything in memory, behind the real interface."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent import futures
import contextlib
import threading

import argon2
import result
from werkzeug import serving
from werkzeug import wrappers

from bambooglade.core import failures
from bambooglade.router import metrics
from bambooglade.router import operator_api
from bambooglade.router import operator_credentials
from bambooglade.router import operator_messages as messages
from bambooglade.router import trace
from bambooglade.table import page_draft
from bambooglade.table import view

BOOTSTRAP_KEY = "bg_bootstrap_s3cr3t"
NOW_MS = 1_700_000_000_000


def alive(instance_id: str, url: str) -> messages.InstanceDescription:
    """Returns the description of an instance that is well."""
    return messages.InstanceDescription(
        instance_id=instance_id,
        availability_zone="scot-a",
        url=url,
        state=messages.InstanceState.ALIVE,
    )


def done(answer: result.Result) -> futures.Future:
    """Returns a future that is complete already."""
    future: futures.Future = futures.Future()
    future.set_result(answer)
    return future


class MemoryPort:
    """Rows, budgets and decisions in dictionaries."""

    def __init__(self) -> None:
        self.rows_by_key: dict[str, messages.VersionedRow] = {}
        self.prepaid_by_id: dict[str, int] = {}
        self.edit_ids: set[tuple[str, str]] = set()
        self.decisions: tuple[trace.Decision, ...] = ()
        self.instances: tuple[messages.InstanceDescription, ...] = ()
        self.lost_answers = 0
        self.metrics = metrics.Metrics()
        self.instance_id = "i1"

    def rows(self, prefix: str) -> futures.Future:
        listed = sorted(
            (row for row in self.rows_by_key.values()),
            key=lambda row: row.row_key,
        )
        kept = tuple(row for row in listed if row.row_key.startswith(prefix))
        return done(result.Ok(messages.RowList(rows=kept)))

    def edit_rows(
        self, request: messages.EditRows, operator: messages.Operator
    ) -> futures.Future:
        outcomes = tuple(
            self._edit(request.edit_id, edit, operator.name)
            for edit in request.edits
        )
        return done(
            result.Ok(
                messages.EditOutcomes(
                    edit_id=request.edit_id, outcomes=outcomes
                )
            )
        )

    def _edit(
        self, edit_id: str, edit: messages.RowEdit, operator: str
    ) -> messages.RowOutcome:
        current = self.rows_by_key.get(edit.row_key)
        version = current.version if current else 0
        if (edit.row_key, edit_id) in self.edit_ids:
            return messages.RowOutcome(row_key=edit.row_key, version=version)
        if edit.expected_version != version:
            return messages.RowOutcome(
                row_key=edit.row_key,
                version=version,
                current=current,
                refusal=messages.Refusal(
                    kind=page_draft.StaleEdit.kind,
                    detail="Stale.",
                    remedy="Read it again.",
                ),
            )
        self.edit_ids.add((edit.row_key, edit_id))
        self.put(edit.row, edit.row_key, version + 1, operator)
        return messages.RowOutcome(row_key=edit.row_key, version=version + 1)

    def put(
        self, row: object, row_key: str, version: int, operator: str
    ) -> None:
        """Installs a row, as another operator's edit would."""
        self.rows_by_key[row_key] = messages.VersionedRow(
            row_key=row_key,
            row=row,
            version=version,
            edited_by=operator,
            edited_at_ms=NOW_MS,
        )

    def top_up(
        self, request: messages.TopUpBudget, operator: messages.Operator
    ) -> futures.Future:
        budget_id = request.budget_id
        if (budget_id, request.edit_id) not in self.edit_ids:
            self.edit_ids.add((budget_id, request.edit_id))
            prepaid = self.prepaid_by_id.get(budget_id, 0)
            self.prepaid_by_id[budget_id] = prepaid + request.tokens
        return done(
            result.Ok(
                messages.BudgetToppedUp(
                    edit_id=request.edit_id,
                    budget_id=budget_id,
                    prepaid_tokens=self.prepaid_by_id[budget_id],
                )
            )
        )

    def describe_budget(self, budget_id: str) -> futures.Future:
        prepaid = self.prepaid_by_id.get(budget_id)
        if prepaid is None:
            return done(
                result.Err(failures.NotFound(detail=f"No {budget_id}."))
            )
        zone = messages.ZoneRights(
            availability_zone="scot-a",
            granted_tokens=40,
            returned_tokens=10,
            settled_tokens=7,
            held_tokens=3,
            orphaned_tokens=2,
            is_current=True,
        )
        return done(
            result.Ok(
                messages.BudgetDescription(
                    budget_id=budget_id, prepaid_tokens=prepaid, zones=(zone,)
                )
            )
        )

    def release_held(
        self, request: messages.ReleaseHeld, operator: messages.Operator
    ) -> futures.Future:
        return done(
            result.Ok(
                messages.HeldReleased(
                    edit_id=request.edit_id,
                    budget_id=request.budget_id,
                    released_tokens=request.tokens,
                )
            )
        )

    def fleet(self) -> futures.Future:
        return done(
            result.Ok(
                messages.FleetDescription(
                    seen_by=self.instance_id, instances=self.instances
                )
            )
        )

    def shards(self) -> futures.Future:
        shard = messages.ShardDescription(
            shard=3,
            availability_zone="scot-a",
            epoch=2,
            primary="i1",
            backup=None,
        )
        return done(
            result.Ok(
                messages.ShardList(seen_by=self.instance_id, shards=(shard,))
            )
        )

    def targets(self) -> futures.Future:
        target = messages.TargetDescription(
            target_id="e1",
            service="pantry-llm",
            availability_zone="scot-a",
            url="http://127.0.0.1:1",
            state="ready",
            weight=1.5,
        )
        return done(
            result.Ok(
                messages.TargetList(seen_by=self.instance_id, targets=(target,))
            )
        )

    def explain(self, key: str) -> futures.Future:
        return done(
            result.Ok(
                messages.Explanation(
                    key=key,
                    seen_by=self.instance_id,
                    decisions=self.decisions,
                )
            )
        )


class _LossyApi:
    """Loses as many answers to changes as the port is told to."""

    def __init__(self, port: MemoryPort) -> None:
        self._port = port
        hasher = argon2.PasswordHasher(
            time_cost=1, memory_cost=8, parallelism=1
        )
        authenticator = operator_credentials.OperatorAuthenticator(
            view.FixedTable([]), bootstrap_key_hash=hasher.hash("s3cr3t")
        )
        self._api = operator_api.OperatorApi(port, authenticator=authenticator)

    def __call__(self, environ: dict, start_response: object) -> object:
        request = wrappers.Request(environ)
        if request.path == "/metrics":
            rendered = self._port.metrics.render()
            return wrappers.Response(rendered.body)(environ, start_response)
        response = self._api.respond(request)
        if request.method == "POST" and self._port.lost_answers > 0:
            self._port.lost_answers -= 1
            raise ConnectionError("the answer is lost")
        return response(environ, start_response)


class _QuietHandler(serving.WSGIRequestHandler):
    """Writes no log."""

    def log(self, *arguments: object) -> None:
        pass


@contextlib.contextmanager
def serve(port: MemoryPort) -> Iterator[str]:
    """Serves the port, and gives its base URL."""
    server = serving.make_server(
        "127.0.0.1",
        0,
        _LossyApi(port),
        threaded=True,
        request_handler=_QuietHandler,
    )
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield f"http://127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
