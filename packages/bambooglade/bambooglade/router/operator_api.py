"""The operators' interface of an instance: a WSGI application.

It authenticates the operator, checks the role, decodes the request, asks the
`OperatorPort`, and renders the answer or a problem document.

See Also:
    bambooglade.router.operator_messages: the requests and answers.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
from typing import ClassVar
from typing import Protocol
from typing import TypeAlias
from typing import TypeVar

from absl import logging
import msgspec
import result
from werkzeug import exceptions
from werkzeug import routing
from werkzeug import wrappers

from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.router import operator_messages as messages
from bambooglade.table import rows

PREFIX = "/operator"
MAX_BODY_BYTES = 1_048_576
ANSWER_TIMEOUT_MS = 10_000

_HIDDEN = "(hidden)"
_MS_PER_S = 1_000

Answer = TypeVar("Answer")
Eventual: TypeAlias = "futures.Future[result.Result[Answer, failures.Failure]]"


class RoleMissing(failures.NotAuthorized, frozen=True, kw_only=True):
    """The operator's role does not allow the request."""

    kind: ClassVar[str] = "role_missing"
    http_status: ClassVar[int] = 403
    remedy: ClassVar[str] = "Ask an admin for the role that is named."


class EditUncertain(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The edit may have taken effect; repeating it is safe."""

    kind: ClassVar[str] = "edit_uncertain"
    remedy: ClassVar[str] = "Repeat the command with the same edit id."


class OperatorPort(Protocol):
    """What the operators' interface asks of the instance.

    The futures complete within `ANSWER_TIMEOUT_MS`, or the operator is told
    that the outcome is unknown and to repeat with the same edit id.
    """

    def edit_rows(
        self, request: messages.EditRows, operator: messages.Operator
    ) -> Eventual[messages.EditOutcomes]:
        """Writes rows, each by compare-and-swap on its version."""
        ...

    def rows(self, prefix: str) -> Eventual[messages.RowList]:
        """Lists the rows whose keys begin with the prefix."""
        ...

    def top_up(
        self, request: messages.TopUpBudget, operator: messages.Operator
    ) -> Eventual[messages.BudgetToppedUp]:
        """Adds to a budget, once per edit id."""
        ...

    def describe_budget(
        self, budget_id: identifiers.BudgetId
    ) -> Eventual[messages.BudgetDescription]:
        """Tells where a budget's rights lie."""
        ...

    def release_held(
        self, request: messages.ReleaseHeld, operator: messages.Operator
    ) -> Eventual[messages.HeldReleased]:
        """Gives held rights back to a budget, once per edit id."""
        ...

    def fleet(self) -> Eventual[messages.FleetDescription]:
        """Lists the instances."""
        ...

    def shards(self) -> Eventual[messages.ShardList]:
        """Lists the assignments of the shards."""
        ...

    def targets(self) -> Eventual[messages.TargetList]:
        """Lists the targets."""
        ...

    def explain(
        self, key: identifiers.RequestKey
    ) -> Eventual[messages.Explanation]:
        """Tells what this instance decided on a request."""
        ...


class Authenticator(Protocol):
    """Recognises operators by their keys."""

    def authenticate(
        self, authorization: str
    ) -> result.Result[messages.Operator, failures.Failure]:
        """Returns the operator whose key is in the Authorization header."""
        ...


_Handler: TypeAlias = Callable[..., Eventual]


class _Route:
    """What serves a path, the role it needs, and where its arguments are."""

    __slots__ = ("body", "handler", "query", "role")

    def __init__(
        self,
        handler: _Handler,
        *,
        role: messages.Role,
        body: type[msgspec.Struct] | None = None,
        query: str | None = None,
    ) -> None:
        self.handler = handler
        self.query = query
        self.role = role
        self.body = body


class OperatorApi:
    """Serves `/operator/...`.

    Args:
        port: The instance.
        authenticator: Recognises operators.
    """

    __slots__ = ("_authenticator", "_map", "_routes")

    def __init__(
        self, port: OperatorPort, *, authenticator: Authenticator
    ) -> None:
        self._authenticator = authenticator
        self._routes = _routes(port)
        self._map = routing.Map(
            [
                _rule("GET", "/rows", "rows"),
                _rule("POST", "/rows", "edit_rows"),
                _rule("POST", "/top-ups", "top_up"),
                _rule("POST", "/releases", "release_held"),
                _rule("GET", "/budgets/<path:budget_id>", "describe_budget"),
                _rule("GET", "/fleet", "fleet"),
                _rule("GET", "/shards", "shards"),
                _rule("GET", "/targets", "targets"),
                _rule("GET", "/requests/<path:key>", "explain"),
            ]
        )

    def __call__(
        self, environ: dict[str, object], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Answers one request, as a WSGI application."""
        request = wrappers.Request(environ)
        request.max_content_length = MAX_BODY_BYTES
        return self.respond(request)(environ, start_response)

    def respond(self, request: wrappers.Request) -> wrappers.Response:
        """Answers one request."""
        answer = self._answer(request)
        if isinstance(answer, result.Err):
            return _problem(answer.err_value)
        return _json(answer.ok_value, status=200)

    def _answer(
        self, request: wrappers.Request
    ) -> result.Result[object, failures.Failure]:
        authorization = request.headers.get("Authorization", "")
        known = self._authenticator.authenticate(authorization)
        if isinstance(known, result.Err):
            return known
        try:
            name, arguments = self._map.bind_to_environ(request.environ).match()
        except exceptions.HTTPException as error:
            return result.Err(
                failures.NotFound(detail=f"{request.path}: {error.name}.")
            )
        operator = known.ok_value
        route = self._routes[name]
        if not operator.role.includes(route.role):
            return _role_missing(operator, route.role)
        return self._dispatch(request, route, operator, arguments)

    def _dispatch(
        self,
        request: wrappers.Request,
        route: _Route,
        operator: messages.Operator,
        arguments: dict[str, str],
    ) -> result.Result[object, failures.Failure]:
        if route.body is None:
            if route.query:
                arguments[route.query] = request.args.get(route.query, "")
            eventual = route.handler(**arguments)
        else:
            decoded = _decode(request, route.body)
            if isinstance(decoded, result.Err):
                return decoded
            if _changes_operators(decoded.ok_value):
                needed = messages.Role.ADMIN
                if not operator.role.includes(needed):
                    return _role_missing(operator, needed)
            eventual = route.handler(decoded.ok_value, operator)
        return _wait(eventual).map(lambda value: _hide(value, operator))

    def __repr__(self) -> str:
        return f"OperatorApi(routes={len(self._routes)})"


def _rule(method: str, path: str, endpoint: str) -> routing.Rule:
    return routing.Rule(PREFIX + path, endpoint=endpoint, methods=[method])


def _routes(port: OperatorPort) -> dict[str, _Route]:
    viewer, editor, admin = messages.Role
    return {
        "rows": _Route(port.rows, role=viewer, query="prefix"),
        "edit_rows": _Route(
            port.edit_rows, role=editor, body=messages.EditRows
        ),
        "top_up": _Route(port.top_up, role=editor, body=messages.TopUpBudget),
        "release_held": _Route(
            port.release_held, role=admin, body=messages.ReleaseHeld
        ),
        "describe_budget": _Route(port.describe_budget, role=viewer),
        "fleet": _Route(port.fleet, role=viewer),
        "shards": _Route(port.shards, role=viewer),
        "targets": _Route(port.targets, role=viewer),
        "explain": _Route(port.explain, role=viewer),
    }


def _role_missing(
    operator: messages.Operator, needed: messages.Role
) -> result.Err[RoleMissing]:
    detail = f"{operator.name} is {operator.role}; this needs {needed}."
    return result.Err(RoleMissing(detail=detail))


def _changes_operators(message: object) -> bool:
    return isinstance(message, messages.EditRows) and any(
        isinstance(edit.row, rows.OperatorRow)
        or edit.row_key.startswith("operator/")
        for edit in message.edits
    )


def _decode(
    request: wrappers.Request, body: type[msgspec.Struct]
) -> result.Result[msgspec.Struct, failures.BadRequest]:
    try:
        return result.Ok(msgspec.json.decode(request.get_data(), type=body))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(failures.BadRequest(detail=f"Body: {error}."))
    except exceptions.RequestEntityTooLarge:
        return result.Err(
            failures.BadRequest(detail=f"Body over {MAX_BODY_BYTES} bytes.")
        )


def _wait(eventual: Eventual[Answer]) -> result.Result[Answer, object]:
    try:
        return eventual.result(timeout=ANSWER_TIMEOUT_MS / _MS_PER_S)
    except futures.TimeoutError:
        detail = f"No answer within {ANSWER_TIMEOUT_MS} ms."
        return result.Err(EditUncertain(detail=detail))


def _hide(answer: object, operator: messages.Operator) -> object:
    """Hides key hashes from operators that may not edit rows."""
    if operator.role.includes(messages.Role.EDITOR):
        return answer
    if not isinstance(answer, messages.RowList):
        return answer
    return messages.RowList(rows=tuple(map(_hide_hashes, answer.rows)))


def _hide_hashes(versioned: messages.VersionedRow) -> messages.VersionedRow:
    row = versioned.row
    hidden = {
        name: _HIDDEN
        for name in ("key_hash", "previous_key_hash")
        if getattr(row, name, None)
    }
    if row is None or not hidden:
        return versioned
    return msgspec.structs.replace(
        versioned, row=msgspec.structs.replace(row, **hidden)
    )


def _json(
    value: object, *, status: int, content_type: str = "application/json"
) -> wrappers.Response:
    return wrappers.Response(
        msgspec.json.encode(value), status=status, content_type=content_type
    )


def _problem(failure: failures.Failure) -> wrappers.Response:
    logging.info(
        "event=operator_request_refused kind=%s detail=%r",
        failure.kind,
        failure.detail,
    )
    refusal = messages.Refusal(
        kind=failure.kind, detail=failure.detail, remedy=failure.remedy
    )
    return _json(
        refusal,
        status=failure.http_status,
        content_type="application/problem+json",
    )
