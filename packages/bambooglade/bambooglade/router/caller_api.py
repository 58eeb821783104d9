"""HTTP interface for callers, as a WSGI application."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures

import result
from werkzeug import exceptions
from werkzeug import routing
from werkzeug import wrappers

from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.router import call_session
from bambooglade.router import caller_chat
from bambooglade.router import caller_plain
from bambooglade.router import caller_request
from bambooglade.router import calls_port
from bambooglade.router import chat_request
from bambooglade.router import dispatch
from bambooglade.router import dispatch_chat
from bambooglade.router import dispatch_plain
from bambooglade.router import key_status
from bambooglade.table import credentials
from bambooglade.table import matching
from bambooglade.table import rows
from bambooglade.table import view
from bambooglade.transport import problems
from bambooglade.transport import request_handler

LOOKUP_TIMEOUT_S = 5.0
CHAT_PATH = "/v1/chat/completions"

_Response = result.Result[wrappers.Response, failures.Failure]


class WrongForm(failures.BadRequest, frozen=True, kw_only=True):
    """The request uses the path of the other form of services."""

    kind = "wrong_form"
    remedy = (
        f"Call models at {CHAT_PATH}, plain services at /services/<service>."
    )


class CallerApi:
    """WSGI application that serves callers.

    Args:
        session_context: Dependencies of the call sessions.
        dispatch_context: Dependencies of the dispatches to targets.
        table: The rows in force.
        authenticator: Authenticates teams by their keys.
        is_ready: Returns whether a load balancer may send requests to this
            instance.
        deadlines: Limits of the deadlines of requests.

    See Also:
        bambooglade.transport.server: runs the application.
        bambooglade.router.call_session: lifecycle of one call.
    """

    def __init__(
        self,
        *,
        session_context: call_session.SessionContext,
        dispatch_context: dispatch.DispatchContext,
        table: view.TableView,
        authenticator: credentials.TeamAuthenticator,
        is_ready: Callable[[], bool],
        deadlines: caller_request.DeadlineLimits | None = None,
    ) -> None:
        self._session_context = session_context
        self._dispatch_context = dispatch_context
        self._plain_dispatcher = dispatch_plain.PlainDispatcher(
            dispatch_context
        )
        self._table = table
        self._authenticator = authenticator
        self._is_ready = is_ready
        self._deadlines = deadlines or caller_request.DeadlineLimits()
        self._url_map = routing.Map(
            [
                routing.Rule(
                    CHAT_PATH, endpoint=self._serve_chat, methods=["POST"]
                ),
                routing.Rule("/services/<service>", endpoint=self._serve_plain),
                routing.Rule(
                    "/services/<service>/<path:path>",
                    endpoint=self._serve_plain,
                ),
                routing.Rule(
                    "/v1/requests/<key>",
                    endpoint=self._serve_request_status,
                    methods=["GET"],
                ),
                routing.Rule("/healthz", endpoint=self._serve_health),
                routing.Rule("/readyz", endpoint=self._serve_readiness),
                routing.Rule("/metrics", endpoint=self._serve_metrics),
            ],
            merge_slashes=False,
            strict_slashes=False,
        )

    def __call__(self, environ, start_response):
        """Serves one request; the WSGI entry point."""
        request = wrappers.Request(environ)
        try:
            serve, values = self._url_map.bind_to_environ(environ).match()
            outcome = serve(request, **values)
        except exceptions.HTTPException as error:
            outcome = result.Err(problems.failure_of_exception(error))
        if isinstance(outcome, result.Err):
            response = problems.response_of(outcome.err_value)
        else:
            response = outcome.ok_value
        return response(environ, start_response)

    def _serve_chat(self, request: wrappers.Request) -> _Response:
        team = self._authenticate(request)
        if isinstance(team, result.Err):
            return team
        headers = self._read_headers(request, self._deadlines.default_chat_ms)
        if isinstance(headers, result.Err):
            return headers
        body = request.get_data()
        chat = chat_request.parse(body)
        if isinstance(chat, result.Err):
            return chat
        matched = matching.match_request(
            self._table,
            team_id=team.ok_value.team_id,
            service=chat.ok_value.model,
            path=CHAT_PATH,
            request_kind=headers.ok_value.request_kind,
        ).and_then(_require_form(rows.ServiceForm.MODEL))
        if isinstance(matched, result.Err):
            return matched
        session = self._new_session(
            request,
            headers.ok_value,
            matched.ok_value,
            bound_tokens=chat.ok_value.bound_tokens(),
            parts=(b"chat", body),
        )
        return self._run_chat(session, matched.ok_value, chat.ok_value)

    def _run_chat(
        self,
        session: call_session.CallSession,
        match: matching.Match,
        chat: chat_request.ChatRequest,
    ) -> _Response:
        begun = session.begin()
        if isinstance(begun, result.Err):
            return _failure_response(session, begun.err_value)
        if isinstance(begun.ok_value, calls.Replay):
            return caller_chat.replayed_response(
                begun.ok_value, as_stream=chat.stream
            )
        run = dispatch_chat.ChatRun(
            self._dispatch_context,
            _new_job(session),
            chat,
            priority=match.kind.priority,
        )
        return result.Ok(
            caller_chat.ChatResponder(session, run, chat).response()
        )

    def _serve_plain(
        self, request: wrappers.Request, service: str, path: str = ""
    ) -> _Response:
        team = self._authenticate(request)
        if isinstance(team, result.Err):
            return team
        headers = self._read_headers(request, self._deadlines.default_ms)
        if isinstance(headers, result.Err):
            return headers
        if ".." in path.split("/") or "\\" in path:
            return result.Err(
                failures.BadRequest(
                    detail="The path contains '..' or a backslash; remove it."
                )
            )
        matched = matching.match_request(
            self._table,
            team_id=team.ok_value.team_id,
            service=service,
            method=request.method,
            path=f"/{path}",
        ).and_then(_require_form(rows.ServiceForm.PLAIN))
        if isinstance(matched, result.Err):
            return matched
        match = matched.ok_value
        if not match.kind.repeatable:
            has_timestamp = caller_request.require_timestamped_key(
                headers.ok_value
            )
            if isinstance(has_timestamp, result.Err):
                return has_timestamp
        plain = caller_plain.plain_request_of(request, path)
        session = self._new_session(
            request,
            headers.ok_value,
            match,
            bound_tokens=match.kind.cost_tokens or 0,
            parts=(
                b"plain",
                service.encode(),
                plain.method.encode(),
                plain.path.encode(),
                plain.body,
            ),
        )
        return self._run_plain(session, plain)

    def _run_plain(
        self,
        session: call_session.CallSession,
        plain: dispatch_plain.PlainRequest,
    ) -> _Response:
        begun = session.begin()
        if isinstance(begun, result.Err):
            return _failure_response(session, begun.err_value)
        if isinstance(begun.ok_value, calls.Replay):
            return caller_chat.replayed_response(
                begun.ok_value, as_stream=False
            )
        plain_result = dispatch_plain.PlainResult(
            outcome=result.Err(_RUN_ABORTED)
        )
        bill = None
        try:
            plain_result = self._plain_dispatcher.run(_new_job(session), plain)
        finally:
            bill = session.finish(
                caller_plain.run_end_of(session, plain_result)
            )
        target_id = plain_result.target_id or ""
        if isinstance(plain_result.outcome, result.Err):
            session.record_failure(
                plain_result.outcome.err_value, target_id=target_id
            )
            return _failure_response(session, plain_result.outcome.err_value)
        session.record_success(bill, target_id)
        return result.Ok(
            caller_plain.response_of(
                session, plain_result.outcome.ok_value, bill
            )
        )

    def _serve_request_status(
        self, request: wrappers.Request, key: str
    ) -> _Response:
        team = self._authenticate(request)
        if isinstance(team, result.Err):
            return team
        team_id = identifiers.TeamId(team.ok_value.team_id)
        request_key = identifiers.RequestKey(key)
        future = self._session_context.port.lookup(request_key, team_id=team_id)
        try:
            status = future.result(LOOKUP_TIMEOUT_S)
        except futures.TimeoutError:
            return result.Err(
                failures.Unavailable(
                    detail="The arbiter of the key did not respond in time.",
                    retry_after_ms=1_000,
                )
            )
        if status.state is calls_port.CallState.ABSENT:
            return result.Err(
                failures.NotFound(
                    detail=f"No request of the team has the key {key!r}."
                )
            )
        return result.Ok(
            key_status.response_of(
                status, self._session_context.ring.decisions(status.key)
            )
        )

    def _serve_health(self, request: wrappers.Request) -> _Response:
        del request
        return result.Ok(wrappers.Response("ok\n"))

    def _serve_readiness(self, request: wrappers.Request) -> _Response:
        del request
        if self._is_ready():
            return result.Ok(wrappers.Response("ready\n"))
        return result.Err(
            failures.Unavailable(
                detail="The instance is starting or stopping.",
                retry_after_ms=1_000,
            )
        )

    def _serve_metrics(self, request: wrappers.Request) -> _Response:
        rendered = self._session_context.metrics.render(
            request.headers.getlist("Accept")
        )
        return result.Ok(
            wrappers.Response(rendered.body, content_type=rendered.content_type)
        )

    def _authenticate(
        self, request: wrappers.Request
    ) -> result.Result[rows.TeamRow, failures.Failure]:
        return self._authenticator.authenticate(
            request.headers.get("Authorization", "")
        )

    def _read_headers(
        self, request: wrappers.Request, default_ms: int
    ) -> result.Result[caller_request.CallerHeaders, failures.Failure]:
        return caller_request.read_headers(
            request,
            limits=self._deadlines,
            default_ms=default_ms,
            now_ms=self._session_context.clock.now_ms(),
        )

    def _new_session(
        self,
        request: wrappers.Request,
        headers: caller_request.CallerHeaders,
        match: matching.Match,
        *,
        bound_tokens: int,
        parts: tuple[bytes, ...],
    ) -> call_session.CallSession:
        team_id = identifiers.TeamId(match.team.team_id)
        call = calls.Call(
            key=headers.key,
            fingerprint=calls_port.fingerprint(team_id, parts),
            team_id=team_id,
            service=identifiers.ServiceName(match.service.service),
            request_kind=match.kind.request_kind,
            repeatable=match.kind.repeatable,
            draws=tuple(
                calls.Draw(budget_id=budget_id, bound_tokens=bound_tokens)
                for budget_id in match.budget_ids
            )
            if bound_tokens
            else (),
            deadline_ms=headers.deadline_ms,
            admit_by_ms=self._session_context.clock.now_ms()
            + self._deadlines.default_ms,
            call_id=self._session_context.new_call_id(),
            first_attempt=headers.is_new_key,
        )
        return call_session.CallSession(
            self._session_context,
            call=call,
            match=match,
            is_caller_gone=request.environ[request_handler.CLIENT_GONE],
        )

    def __repr__(self) -> str:
        return f"CallerApi({self._session_context!r})"


_RUN_ABORTED = failures.OutcomeUnknown(
    detail="The run was aborted before its outcome was known."
)


def _require_form(
    form: rows.ServiceForm,
) -> Callable[
    [matching.Match], result.Result[matching.Match, failures.Failure]
]:
    def check(
        match: matching.Match,
    ) -> result.Result[matching.Match, failures.Failure]:
        if match.service.form is form:
            return result.Ok(match)
        return result.Err(
            WrongForm(
                detail=f"Service {match.service.service} has the form"
                f" {match.service.form.value}."
            )
        )

    return check


def _new_job(session: call_session.CallSession) -> dispatch.Job:
    call = session.call
    return dispatch.Job(
        key=call.key,
        service=call.service,
        request_kind=call.request_kind,
        repeatable=call.repeatable,
        deadline_ms=call.deadline_ms,
        bound_tokens=max((d.bound_tokens for d in call.draws), default=0),
        is_caller_gone=session.is_caller_gone,
        fingerprint=call.fingerprint,
    )


def _failure_response(
    session: call_session.CallSession, failure: failures.Failure
) -> _Response:
    return result.Ok(problems.response_of(failure, key=session.call.key))
