"""Client of the operators' interface.

A request that got no answer is repeated at the next instance. Changes carry an
edit id, so repeating them does nothing twice.
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
from bambooglade_ctl import access
from bambooglade_ctl import outcomes

CONNECT_TIMEOUT_MS = 2_000
REQUEST_TIMEOUT_MS = 12_000
ATTEMPTS = 3

Answer = TypeVar("Answer")

_EXIT_CODE_BY_STATUS = {
    401: outcomes.ExitCode.NOT_ALLOWED,
    403: outcomes.ExitCode.NOT_ALLOWED,
    409: outcomes.ExitCode.CONFLICT,
    502: outcomes.ExitCode.UNREACHABLE,
    503: outcomes.ExitCode.UNREACHABLE,
    504: outcomes.ExitCode.UNCERTAIN,
}


class OperatorClient:
    """Talks to the first instance that answers.

    Args:
        granted: Base URLs and key.

    See Also:
        bambooglade.router.operator_api: the other end.
    """

    __slots__ = ("_access", "_http")

    def __init__(self, granted: access.Access) -> None:
        self._access = granted
        self._http = client_lib.HttpClient(ca_file=granted.ca_file)

    def at(self, url: str) -> OperatorClient:
        """Returns a client of one instance, with the same key."""
        return OperatorClient(
            access.Access(
                urls=(url.rstrip("/"),),
                key=self._access.key,
                ca_file=self._access.ca_file,
            )
        )

    def rows(
        self, prefix: str = ""
    ) -> result.Result[messages.RowList, outcomes.CommandFailed]:
        """Lists the rows whose keys begin with the prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        return self._ask(f"/rows?{query}", messages.RowList)

    def edit_rows(
        self, request: messages.EditRows
    ) -> result.Result[messages.EditOutcomes, outcomes.CommandFailed]:
        """Edits rows; repeating it with the same edit id is harmless."""
        return self._ask("/rows", messages.EditOutcomes, change=request)

    def top_up(
        self, request: messages.TopUpBudget
    ) -> result.Result[messages.BudgetToppedUp, outcomes.CommandFailed]:
        """Tops up a budget, once per edit id."""
        return self._ask("/top-ups", messages.BudgetToppedUp, change=request)

    def release_held(
        self, request: messages.ReleaseHeld
    ) -> result.Result[messages.HeldReleased, outcomes.CommandFailed]:
        """Releases held rights, once per edit id."""
        return self._ask("/releases", messages.HeldReleased, change=request)

    def describe_budget(
        self, budget_id: str
    ) -> result.Result[messages.BudgetDescription, outcomes.CommandFailed]:
        """Tells where a budget's rights lie."""
        path = f"/budgets/{urllib.parse.quote(budget_id)}"
        return self._ask(path, messages.BudgetDescription)

    def fleet(
        self,
    ) -> result.Result[messages.FleetDescription, outcomes.CommandFailed]:
        """Lists the instances."""
        return self._ask("/fleet", messages.FleetDescription)

    def shards(
        self,
    ) -> result.Result[messages.ShardList, outcomes.CommandFailed]:
        """Lists the shards' assignments."""
        return self._ask("/shards", messages.ShardList)

    def targets(
        self,
    ) -> result.Result[messages.TargetList, outcomes.CommandFailed]:
        """Lists the targets."""
        return self._ask("/targets", messages.TargetList)

    def explain(
        self, key: str
    ) -> result.Result[messages.Explanation, outcomes.CommandFailed]:
        """Tells what the answering instance decided on a request."""
        path = f"/requests/{urllib.parse.quote(key)}"
        return self._ask(path, messages.Explanation)

    def metrics(self) -> result.Result[str, outcomes.CommandFailed]:
        """Returns the metrics of the answering instance, as text."""
        answered = self._exchange("/metrics", None)
        return answered.map(lambda answer: answer.body.decode())

    def _ask(
        self,
        path: str,
        answer_type: type[Answer],
        *,
        change: msgspec.Struct | None = None,
    ) -> result.Result[Answer, outcomes.CommandFailed]:
        answered = self._exchange(f"/operator{path}", change)
        if isinstance(answered, result.Err):
            return answered
        return _decode(answered.ok_value, answer_type, _edit_id(change))

    def _exchange(
        self, path: str, change: msgspec.Struct | None
    ) -> result.Result[transport_messages.Response, outcomes.CommandFailed]:
        body = None if change is None else msgspec.json.encode(change)
        attempts = []
        for url in self._urls():
            exchanged = self._http.request(self._request(url + path, body))
            if isinstance(exchanged, result.Ok):
                return exchanged
            attempts.append((url, exchanged.err_value))
        return result.Err(_no_answer(attempts, change))

    def _urls(self) -> Iterator[str]:
        count = max(ATTEMPTS, len(self._access.urls))
        return itertools.islice(itertools.cycle(self._access.urls), count)

    def _request(
        self, url: str, body: bytes | None
    ) -> transport_messages.Request:
        return transport_messages.Request(
            method="GET" if body is None else "POST",
            url=url,
            headers=(
                transport_messages.Header(
                    "Authorization", f"Bearer {self._access.key}"
                ),
                transport_messages.Header("Content-Type", "application/json"),
            ),
            body=body,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            first_byte_timeout_ms=REQUEST_TIMEOUT_MS,
            total_timeout_ms=REQUEST_TIMEOUT_MS,
        )

    def __repr__(self) -> str:
        return f"OperatorClient({self._access!r})"


def _decode(
    answer: transport_messages.Response,
    answer_type: type[Answer],
    edit_id: str | None,
) -> result.Result[Answer, outcomes.CommandFailed]:
    is_done = answer.head.status == 200
    wanted = answer_type if is_done else messages.Refusal
    try:
        decoded = msgspec.json.decode(answer.body, type=wanted)
    except msgspec.DecodeError as error:
        return result.Err(_not_understood(answer, error, edit_id))
    if is_done:
        return result.Ok(decoded)
    code = _EXIT_CODE_BY_STATUS.get(
        answer.head.status, outcomes.ExitCode.REFUSED
    )
    return result.Err(
        outcomes.CommandFailed(
            exit_code=code,
            kind=decoded.kind,
            detail=decoded.detail,
            remedy=decoded.remedy,
            edit_id=edit_id,
        )
    )


def _not_understood(
    answer: transport_messages.Response, error: Exception, edit_id: str | None
) -> outcomes.CommandFailed:
    return outcomes.CommandFailed(
        exit_code=(
            outcomes.ExitCode.UNCERTAIN if edit_id else outcomes.ExitCode.FAILED
        ),
        kind="answer_not_understood",
        detail=f"Status {answer.head.status}: {error}.",
        remedy="Check that the URL is that of an instance.",
        edit_id=edit_id,
    )


def _no_answer(
    attempts: list[tuple[str, transport_messages.TransferFailure]],
    change: msgspec.Struct | None,
) -> outcomes.CommandFailed:
    detail = "; ".join(f"{url}: {failed.detail}" for url, failed in attempts)
    if change is not None and any(failed.sent for _, failed in attempts):
        return outcomes.CommandFailed(
            exit_code=outcomes.ExitCode.UNCERTAIN,
            kind="answer_lost",
            detail=detail,
            remedy="Repeat the command with --edit-id; it is done once only.",
            edit_id=_edit_id(change),
        )
    return outcomes.CommandFailed(
        exit_code=outcomes.ExitCode.UNREACHABLE,
        kind="unreachable",
        detail=detail,
        remedy=f"Set {access.URL_VARIABLE} or --url to running instances.",
    )


def _edit_id(change: msgspec.Struct | None) -> str | None:
    return getattr(change, "edit_id", None)
