"""The operators' interface of an instance: a WSGI application.

It authenticates the operator, checks the role, decodes the request, calls the
`OperatorPort`, and renders the result or a problem document.

See Also:
    bambooglade.router.operator_messages: the requests and responses.
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
from bambooglade.core import json_documents
from bambooglade.router import operator_messages as messages
from bambooglade.table import rows

PREFIX = "/operator"
MAX_BODY_BYTES = 1_048_576
RESPONSE_TIMEOUT_MS = 10_000

_REDACTED = "(hidden)"
_MS_PER_S = 1_000

Value = TypeVar("Value")
FutureResult: TypeAlias = (
    "futures.Future[result.Result[Value, failures.Failure]]"
)


class RoleMissing(failures.NotAuthorized, frozen=True, kw_only=True):
    """The operator's role does not allow the request."""

    kind: ClassVar[str] = "role_missing"
    http_status: ClassVar[int] = 403
    remedy: ClassVar[str] = "Ask an admin for the role that the detail names."


class EditUncertain(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The edit may have taken effect; repeating it is safe."""

    kind: ClassVar[str] = "edit_uncertain"
    remedy: ClassVar[str] = "Repeat the command with the same edit id."


class OperatorPort(Protocol):
    """Operations of an instance that the operators' interface calls.

    If a future does not complete within `RESPONSE_TIMEOUT_MS`, the operator
    receives an `EditUncertain` failure and should repeat the command with the
    same edit id.
    """

    def edit_rows(
        self, request: messages.EditRows, operator: messages.Operator
    ) -> FutureResult[messages.EditOutcomes]:
        """Writes rows, each by compare-and-swap on its version."""
        ...

    def rows(self, prefix: str) -> FutureResult[messages.RowList]:
        """Lists the rows whose keys begin with the prefix."""
        ...

    def top_up(
        self, request: messages.TopUpBudget, operator: messages.Operator
    ) -> FutureResult[messages.BudgetToppedUp]:
        """Adds tokens to a budget; idempotent per edit id."""
        ...

    def describe_budget(
        self, budget_id: identifiers.BudgetId
    ) -> FutureResult[messages.BudgetDescription]:
        """Returns how the rights of a budget are distributed over the zones."""
        ...

    def release_held(
        self, request: messages.ReleaseHeld, operator: messages.Operator
    ) -> FutureResult[messages.HeldReleased]:
        """Returns held rights to a budget; idempotent per edit id."""
        ...

    def fleet(self) -> FutureResult[messages.FleetDescription]:
        """Lists the instances."""
        ...

    def shards(self) -> FutureResult[messages.ShardList]:
        """Lists the assignments of the shards."""
        ...

    def targets(self) -> FutureResult[messages.TargetList]:
        """Lists the targets."""
        ...

    def explain(
        self, key: identifiers.RequestKey
    ) -> FutureResult[messages.Explanation]:
        """Returns the decisions of this instance on a request."""
        ...


class Authenticator(Protocol):
    """Authenticates operators by their keys."""

    def authenticate(
        self, authorization: str
    ) -> result.Result[messages.Operator, failures.Failure]:
        """Returns the operator whose key is in the Authorization header."""
        ...


_Handler: TypeAlias = Callable[..., FutureResult]


class _Route:
    """Handler of a path, its required role, and the source of its arguments."""

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
        authenticator: Authenticates operators.
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
        """Serves one request, as a WSGI application."""
        request = wrappers.Request(environ)
        request.max_content_length = MAX_BODY_BYTES
        return self.respond(request)(environ, start_response)

    def respond(self, request: wrappers.Request) -> wrappers.Response:
        """Returns the response to one request."""
        handled = self._handle(request)
        if isinstance(handled, result.Err):
            return _problem(handled.err_value)
        return _json(handled.ok_value, status=200)

    def _handle(
        self, request: wrappers.Request
    ) -> result.Result[object, failures.Failure]:
        authorization = request.headers.get("Authorization", "")
        authenticated = self._authenticator.authenticate(authorization)
        if isinstance(authenticated, result.Err):
            return authenticated
        try:
            name, arguments = self._map.bind_to_environ(request.environ).match()
        except exceptions.HTTPException as error:
            return result.Err(
                failures.NotFound(detail=f"{request.path}: {error.name}.")
            )
        operator = authenticated.ok_value
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
            future = route.handler(**arguments)
        else:
            decoded = _decode(request, route.body)
            if isinstance(decoded, result.Err):
                return decoded
            if _changes_operators(decoded.ok_value):
                needed = messages.Role.ADMIN
                if not operator.role.includes(needed):
                    return _role_missing(operator, needed)
            future = route.handler(decoded.ok_value, operator)
        return _await_result(future).map(lambda value: _redact(value, operator))

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
    detail = (
        f"Operator {operator.name} has the role {operator.role}; the request "
        f"requires {needed}."
    )
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
        return result.Ok(json_documents.decode(request.get_data(), body))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(
            failures.BadRequest(
                detail=f"The request body is not valid: {error}."
            )
        )
    except exceptions.RequestEntityTooLarge:
        return result.Err(
            failures.BadRequest(
                detail=f"The request body exceeds {MAX_BODY_BYTES} bytes."
            )
        )


def _await_result(
    future: FutureResult[Value],
) -> result.Result[Value, object]:
    try:
        return future.result(timeout=RESPONSE_TIMEOUT_MS / _MS_PER_S)
    except futures.TimeoutError:
        detail = (
            f"The instance did not respond within {RESPONSE_TIMEOUT_MS} ms."
        )
        return result.Err(EditUncertain(detail=detail))


def _redact(value: object, operator: messages.Operator) -> object:
    """Replaces key hashes for operators that may not edit rows."""
    if operator.role.includes(messages.Role.EDITOR):
        return value
    if not isinstance(value, messages.RowList):
        return value
    return messages.RowList(rows=tuple(map(_redact_hashes, value.rows)))


def _redact_hashes(versioned: messages.VersionedRow) -> messages.VersionedRow:
    row = versioned.row
    redacted = {
        name: _REDACTED
        for name in ("key_hash", "previous_key_hash")
        if getattr(row, name, None)
    }
    if row is None or not redacted:
        return versioned
    return msgspec.structs.replace(
        versioned, row=msgspec.structs.replace(row, **redacted)
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
