"""HTTP client of the operator API.

A request without a response is retried at the next instance. Changes carry an
edit id, which makes retries idempotent.
"""

from __future__ import annotations

from collections.abc import Iterator
import itertools
from typing import TypeVar
import urllib.parse

import msgspec
import result

from bambooglade.router import operator_messages as messages
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages as transport_messages
from bambooglade_ctl import connection
from bambooglade_ctl import outcomes

CONNECT_TIMEOUT_MS = 2_000
REQUEST_TIMEOUT_MS = 12_000
MIN_ATTEMPTS = 3

Response = TypeVar("Response")

_EXIT_CODE_BY_STATUS = {
    401: outcomes.ExitCode.NOT_ALLOWED,
    403: outcomes.ExitCode.NOT_ALLOWED,
    409: outcomes.ExitCode.CONFLICT,
    502: outcomes.ExitCode.UNREACHABLE,
    503: outcomes.ExitCode.UNREACHABLE,
    504: outcomes.ExitCode.UNCERTAIN,
}


class OperatorClient:
    """Sends each request to the first instance that responds.

    Args:
        connection_settings: Base URLs of the instances, key and CA file.

    See Also:
        bambooglade.router.operator_api: the server side.
    """

    __slots__ = ("_connection_settings", "_http")

    def __init__(
        self, connection_settings: connection.ConnectionSettings
    ) -> None:
        self._connection_settings = connection_settings
        self._http = client_lib.HttpClient(ca_file=connection_settings.ca_file)

    def for_instance(self, url: str) -> OperatorClient:
        """Returns a client for the instance at `url`, with the same key."""
        return OperatorClient(
            connection.ConnectionSettings(
                urls=(url.rstrip("/"),),
                key=self._connection_settings.key,
                ca_file=self._connection_settings.ca_file,
            )
        )

    def rows(
        self, prefix: str = ""
    ) -> result.Result[messages.RowList, outcomes.CommandFailure]:
        """Lists the rows whose keys start with the prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        return self._call(f"/rows?{query}", messages.RowList)

    def edit_rows(
        self, request: messages.EditRows
    ) -> result.Result[messages.EditOutcomes, outcomes.CommandFailure]:
        """Edits rows; idempotent per edit id."""
        return self._call("/rows", messages.EditOutcomes, change=request)

    def top_up(
        self, request: messages.TopUpBudget
    ) -> result.Result[messages.BudgetToppedUp, outcomes.CommandFailure]:
        """Tops up a budget; idempotent per edit id."""
        return self._call("/top-ups", messages.BudgetToppedUp, change=request)

    def release_held(
        self, request: messages.ReleaseHeld
    ) -> result.Result[messages.HeldReleased, outcomes.CommandFailure]:
        """Releases held rights; idempotent per edit id."""
        return self._call("/releases", messages.HeldReleased, change=request)

    def describe_budget(
        self, budget_id: str
    ) -> result.Result[messages.BudgetDescription, outcomes.CommandFailure]:
        """Describes how a budget's rights are distributed over the zones."""
        path = f"/budgets/{urllib.parse.quote(budget_id)}"
        return self._call(path, messages.BudgetDescription)

    def fleet(
        self,
    ) -> result.Result[messages.FleetDescription, outcomes.CommandFailure]:
        """Lists the instances."""
        return self._call("/fleet", messages.FleetDescription)

    def shards(
        self,
    ) -> result.Result[messages.ShardList, outcomes.CommandFailure]:
        """Lists the assignment of each shard."""
        return self._call("/shards", messages.ShardList)

    def targets(
        self,
    ) -> result.Result[messages.TargetList, outcomes.CommandFailure]:
        """Lists the targets."""
        return self._call("/targets", messages.TargetList)

    def explain(
        self, key: str
    ) -> result.Result[messages.Explanation, outcomes.CommandFailure]:
        """Returns the decisions of the responding instance on a request."""
        path = f"/requests/{urllib.parse.quote(key)}"
        return self._call(path, messages.Explanation)

    def metrics(self) -> result.Result[str, outcomes.CommandFailure]:
        """Returns the metrics of the responding instance, in text format."""
        exchanged = self._send_with_retries("/metrics", None)
        return exchanged.map(lambda response: response.body.decode())

    def _call(
        self,
        path: str,
        response_type: type[Response],
        *,
        change: msgspec.Struct | None = None,
    ) -> result.Result[Response, outcomes.CommandFailure]:
        exchanged = self._send_with_retries(f"/operator{path}", change)
        if isinstance(exchanged, result.Err):
            return exchanged
        return _decode(exchanged.ok_value, response_type, _edit_id(change))

    def _send_with_retries(
        self, path: str, change: msgspec.Struct | None
    ) -> result.Result[transport_messages.Response, outcomes.CommandFailure]:
        body = None if change is None else msgspec.json.encode(change)
        attempts = []
        for url in self._urls():
            exchanged = self._http.request(
                self._build_request(url + path, body)
            )
            if isinstance(exchanged, result.Ok):
                return exchanged
            attempts.append((url, exchanged.err_value))
        return result.Err(_all_attempts_failed(attempts, change))

    def _urls(self) -> Iterator[str]:
        count = max(MIN_ATTEMPTS, len(self._connection_settings.urls))
        return itertools.islice(
            itertools.cycle(self._connection_settings.urls), count
        )

    def _build_request(
        self, url: str, body: bytes | None
    ) -> transport_messages.Request:
        return transport_messages.Request(
            method="GET" if body is None else "POST",
            url=url,
            headers=(
                transport_messages.Header(
                    "Authorization", f"Bearer {self._connection_settings.key}"
                ),
                transport_messages.Header("Content-Type", "application/json"),
            ),
            body=body,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            first_byte_timeout_ms=REQUEST_TIMEOUT_MS,
            total_timeout_ms=REQUEST_TIMEOUT_MS,
        )

    def __repr__(self) -> str:
        return f"OperatorClient({self._connection_settings!r})"


def _decode(
    response: transport_messages.Response,
    response_type: type[Response],
    edit_id: str | None,
) -> result.Result[Response, outcomes.CommandFailure]:
    is_success = response.head.status == 200
    expected_type = response_type if is_success else messages.Refusal
    try:
        decoded = msgspec.json.decode(response.body, type=expected_type)
    except msgspec.DecodeError as error:
        return result.Err(_malformed_response(response, error, edit_id))
    if is_success:
        return result.Ok(decoded)
    code = _EXIT_CODE_BY_STATUS.get(
        response.head.status, outcomes.ExitCode.REFUSED
    )
    return result.Err(
        outcomes.CommandFailure(
            exit_code=code,
            kind=decoded.kind,
            detail=decoded.detail,
            remedy=decoded.remedy,
            edit_id=edit_id,
        )
    )


def _malformed_response(
    response: transport_messages.Response, error: Exception, edit_id: str | None
) -> outcomes.CommandFailure:
    return outcomes.CommandFailure(
        exit_code=(
            outcomes.ExitCode.UNCERTAIN if edit_id else outcomes.ExitCode.FAILED
        ),
        kind="answer_not_understood",
        detail=f"Status {response.head.status}: {error}.",
        remedy="Check that the URL belongs to a bambooglade instance.",
        edit_id=edit_id,
    )


def _all_attempts_failed(
    attempts: list[tuple[str, transport_messages.TransferFailure]],
    change: msgspec.Struct | None,
) -> outcomes.CommandFailure:
    detail = "; ".join(f"{url}: {failure.detail}" for url, failure in attempts)
    if change is not None and any(failure.sent for _, failure in attempts):
        return outcomes.CommandFailure(
            exit_code=outcomes.ExitCode.UNCERTAIN,
            kind="answer_lost",
            detail=detail,
            remedy=(
                "Repeat the command with --edit-id; the change is applied only "
                "once."
            ),
            edit_id=_edit_id(change),
        )
    return outcomes.CommandFailure(
        exit_code=outcomes.ExitCode.UNREACHABLE,
        kind="unreachable",
        detail=detail,
        remedy=f"Set {connection.URL_VARIABLE} or --url to running instances.",
    )


def _edit_id(change: msgspec.Struct | None) -> str | None:
    return getattr(change, "edit_id", None)
