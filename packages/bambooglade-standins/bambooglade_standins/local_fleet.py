"""A whole small deployment on the loopback address, in one process.

Instances, key-value service, engines and a till speak HTTP to each other as
they do in a deployment; they run as threads, so that tests can look at them.
"""

from __future__ import annotations

import time

import msgspec

from bambooglade.core import identifiers
from bambooglade.router import operator_credentials
from bambooglade.router import operator_messages
from bambooglade.router import process
from bambooglade.router import settings as settings_lib
from bambooglade.table import credentials
from bambooglade.table import rows
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages
from bambooglade.transport import server
from bambooglade_standins.engine import app as engine_app
from bambooglade_standins.engine import server as engine_server
from bambooglade_standins.key_value import server as key_value_server
from bambooglade_standins.key_value import store as key_value_store
from bambooglade_standins.plain_service import server as plain_server

MODEL = "critique"
TILL = "till"
DEDUCTION_TOKENS = 5
SHARED_KEY = "a shared key of the tests, 32 bytes"
READY_TIMEOUT_S = 20.0
_POLL_S = 0.02
_OK = 200


class NotReadyError(RuntimeError):
    """The deployment did not become ready in time."""


class TlsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Paths of PEM files, as in the settings of an instance."""

    certificate_file: str | None = None
    key_file: str | None = None
    ca_file: str | None = None


class LocalFleet:
    """Starts and stops the parts; a context manager.

    Args:
        zones: Availability zones; each gets an engine.
        shard_count: Number of shards.
        token_ms: Time per generated token of the engines.
        drain_bound_ms: How long a planned stop of an instance may take.
        tls: Certificates for callers and instances; None for plain TCP.
    """

    def __init__(
        self,
        *,
        zones: tuple[str, ...] = ("zone-a", "zone-b"),
        shard_count: int = 4,
        token_ms: float = 1.0,
        drain_bound_ms: int = 10_000,
        tls: TlsSettings | None = None,
    ) -> None:
        self._tls = tls or TlsSettings()
        self.zones = zones
        self._shard_count = shard_count
        self._drain_bound_ms = drain_bound_ms
        self._client = client_lib.HttpClient(ca_file=self._tls.ca_file)
        self._operator = credentials.new_key(
            operator_credentials.BOOTSTRAP_OPERATOR
        )
        self._edit_number = 0
        self.instances: list[process.RouterProcess] = []
        self.store = key_value_store.MemoryStore()
        self._store_http = server.HttpServer(
            key_value_server.KeyValueApplication(self.store),
            host="127.0.0.1",
            port=0,
        )
        self._engine_http_by_zone = {}
        self.engine_by_zone: dict[str, engine_app.EngineApp] = {}
        for zone in zones:
            options = engine_app.EngineOptions(
                target_id=f"engine-{zone}",
                availability_zone=zone,
                model=MODEL,
                token_ms=token_ms,
            )
            http, app = engine_server.start(options)
            self._engine_http_by_zone[zone] = http
            self.engine_by_zone[zone] = app
        self._till_http, self.till = plain_server.start("till-1")

    def __enter__(self) -> LocalFleet:
        """Starts to serve the key-value service."""
        self._store_http.start()
        return self

    def __exit__(self, *exception: object) -> None:
        """Ends everything."""
        for instance in self.instances:
            instance.kill()
        for http in self._engine_http_by_zone.values():
            http.kill()
        self._till_http.kill()
        self._store_http.kill()

    def start_instance(self, zone: str) -> process.RouterProcess:
        """Starts an instance; it need not be ready yet."""
        instance = process.RouterProcess(self._settings(zone))
        instance.start()
        self.instances.append(instance)
        return instance

    def kill(self, instance: process.RouterProcess) -> None:
        """Ends an instance as a crash would."""
        self.instances.remove(instance)
        instance.kill()

    def stop(self, instance: process.RouterProcess) -> None:
        """Stops an instance gracefully; returns when it has ended."""
        self.instances.remove(instance)
        instance.stop()

    def engine_url(self, zone: str) -> str:
        """Returns the base URL of a zone's engine."""
        return self._engine_http_by_zone[zone].url

    def stop_engine(self, zone: str) -> None:
        """Ends a zone's engine as a crash would."""
        self._engine_http_by_zone[zone].kill()

    def wait_until_ready(self) -> None:
        """Waits until each instance is ready and knows all others.

        Raises:
            NotReadyError: It took longer than `READY_TIMEOUT_S`.
        """
        end = time.monotonic() + READY_TIMEOUT_S
        while not all(map(self._is_ready, self.instances)):
            if time.monotonic() > end:
                raise NotReadyError(f"{self!r} is not ready; see the log")
            time.sleep(_POLL_S)

    def create_team(self, team_id: str, *, tokens: int) -> str:
        """Writes the rows, a team and its budget; returns the team's key."""
        made = credentials.new_key(team_id)
        team = rows.TeamRow(team_id=team_id, key_hash=made.key_hash)
        self.edit_rows(*self._rows(), team)
        self.top_up(f"team/{team_id}", tokens)
        return made.key

    def edit_rows(self, *changed: rows.Row) -> operator_messages.EditOutcomes:
        """Writes new rows, and waits until they are in force everywhere."""
        edits = tuple(
            operator_messages.RowEdit(
                row_key=row.row_key, expected_version=0, row=row
            )
            for row in changed
        )
        body = self.operate(
            "POST",
            "/rows",
            operator_messages.EditRows(
                edit_id=self._new_edit_id(), edits=edits
            ),
        )
        self._wait_for_rows({row.row_key for row in changed})
        return msgspec.json.decode(body, type=operator_messages.EditOutcomes)

    def top_up(self, budget_id: str, tokens: int) -> None:
        """Adds to a budget."""
        self.operate(
            "POST",
            "/top-ups",
            operator_messages.TopUpBudget(
                edit_id=self._new_edit_id(), budget_id=budget_id, tokens=tokens
            ),
        )

    def describe_budget(
        self, budget_id: str
    ) -> operator_messages.BudgetDescription:
        """Returns where a budget's rights lie."""
        return msgspec.json.decode(
            self.operate("GET", f"/budgets/{budget_id}"),
            type=operator_messages.BudgetDescription,
        )

    def operate(
        self, method: str, path: str, body: msgspec.Struct | None = None
    ) -> bytes:
        """Sends a request to the operators' interface of the first instance.

        Raises:
            RuntimeError: It was refused.
        """
        sent = self._client.request(
            messages.Request(
                method=method,
                url=f"{self.instances[0].url}/operator{path}",
                headers=(
                    messages.Header(
                        "Authorization", f"Bearer {self._operator.key}"
                    ),
                ),
                body=msgspec.json.encode(body) if body else None,
            )
        )
        answer = sent.unwrap()
        if answer.head.status != _OK:
            raise RuntimeError(f"{method} {path}: {answer.body.decode()}")
        return answer.body

    def _settings(self, zone: str) -> settings_lib.Settings:
        return settings_lib.Settings(
            instance=settings_lib.InstanceSettings(
                name=zone,
                availability_zone=zone,
                host="127.0.0.1",
                port=0,
                seeds=tuple(
                    each.url.partition("://")[2] for each in self.instances
                ),
                arbiter_zones=self.zones,
                shard_count=self._shard_count,
                table_page_count=2,
            ),
            platform=settings_lib.PlatformSettings(
                key_value_url=self._store_http.url
            ),
            security=settings_lib.SecuritySettings(
                shared_key=settings_lib.Secret(SHARED_KEY),
                bootstrap_operator_key_hash=self._operator.key_hash,
                certificate_file=self._tls.certificate_file,
                key_file=self._tls.key_file,
                ca_file=self._tls.ca_file,
            ),
            limits=settings_lib.LimitSettings(
                drain_bound_ms=self._drain_bound_ms
            ),
        )

    def _rows(self) -> tuple[rows.Row, ...]:
        engines = tuple(
            rows.TargetRow(
                target_id=f"engine-{zone}",
                service=MODEL,
                availability_zone=zone,
                url=http.url,
            )
            for zone, http in self._engine_http_by_zone.items()
        )
        till = rows.TargetRow(
            target_id="till-1",
            service=TILL,
            availability_zone=self.zones[0],
            url=self._till_http.url,
        )
        return (*_services(), *engines, till)

    def _is_ready(self, instance: process.RouterProcess) -> bool:
        sent = self._client.request(
            messages.Request(method="GET", url=f"{instance.url}/readyz")
        )
        if sent.is_err() or sent.unwrap().head.status != _OK:
            return False
        return len(instance.peers()) == len(self.instances) - 1

    def _wait_for_rows(self, row_keys: set[str]) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        for instance in self.instances:
            while any(instance.table.get(key) is None for key in row_keys):
                if time.monotonic() > end:
                    raise NotReadyError(f"{instance!r} lacks rows")
                time.sleep(_POLL_S)

    def _new_edit_id(self) -> str:
        self._edit_number += 1
        return f"edit-{self._edit_number}-{identifiers.new_request_key()}"

    def __repr__(self) -> str:
        return f"LocalFleet(instances={len(self.instances)})"


def _services() -> tuple[rows.Row, ...]:
    return (
        rows.ServiceRow(service=MODEL, form=rows.ServiceForm.MODEL),
        rows.KindRow(service=MODEL, request_kind="review"),
        rows.ServiceRow(service=TILL, form=rows.ServiceForm.PLAIN),
        rows.KindRow(
            service=TILL,
            request_kind="status",
            path_prefix="/status",
            cost_tokens=1,
            priority=10,
        ),
        rows.KindRow(
            service=TILL,
            request_kind="deduct",
            path_prefix="/deduct",
            method="POST",
            repeatable=False,
            cost_tokens=DEDUCTION_TOKENS,
            priority=10,
        ),
    )
