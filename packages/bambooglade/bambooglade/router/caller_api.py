"""The interface for callers, as a WSGI application."""

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

LOOKUP_WAIT_S = 5.0
CHAT_PATH = "/v1/chat/completions"

_Answer = result.Result[wrappers.Response, failures.Failure]


class WrongForm(failures.BadRequest, frozen=True, kw_only=True):
    """The service is called in the way of the other form of services."""

    kind = "wrong_form"
    remedy = (
        f"Call models at {CHAT_PATH}, plain services at /services/<service>."
    )


class CallerApi:
    """Serves callers.

    Args:
        desk: What calls share.
        courier: Runs calls at targets.
        table: The rows in force.
        authenticator: Recognizes teams.
        is_ready: Whether the balancer may send requests here.
        deadlines: Deadlines that requests may have.

    See Also:
        bambooglade.transport.server: serves it.
        bambooglade.router.call_session: the course of one call.
    """

    def __init__(
        self,
        *,
        desk: call_session.Desk,
        courier: dispatch.Courier,
        table: view.TableView,
        authenticator: credentials.TeamAuthenticator,
        is_ready: Callable[[], bool],
        deadlines: caller_request.DeadlineLimits | None = None,
    ) -> None:
        self._desk = desk
        self._courier = courier
        self._plain = dispatch_plain.PlainDispatcher(courier)
        self._table = table
        self._authenticator = authenticator
        self._is_ready = is_ready
        self._deadlines = deadlines or caller_request.DeadlineLimits()
        self._urls = routing.Map(
            [
                routing.Rule(CHAT_PATH, endpoint=self._chat, methods=["POST"]),
                routing.Rule("/services/<service>", endpoint=self._service),
                routing.Rule(
                    "/services/<service>/<path:path>", endpoint=self._service
                ),
                routing.Rule(
                    "/v1/requests/<key>", endpoint=self._key, methods=["GET"]
                ),
                routing.Rule("/healthz", endpoint=self._health),
                routing.Rule("/readyz", endpoint=self._ready),
                routing.Rule("/metrics", endpoint=self._metrics),
            ],
            merge_slashes=False,
            strict_slashes=False,
        )

    def __call__(self, environ, start_response):
        """Serves one request."""
        request = wrappers.Request(environ)
        try:
            serve, values = self._urls.bind_to_environ(environ).match()
            answer = serve(request, **values)
        except exceptions.HTTPException as error:
            answer = result.Err(problems.failure_of_exception(error))
        if isinstance(answer, result.Err):
            response = problems.response_of(answer.err_value)
        else:
            response = answer.ok_value
        return response(environ, start_response)

    def _chat(self, request: wrappers.Request) -> _Answer:
        team = self._authenticate(request)
        if isinstance(team, result.Err):
            return team
        headers = self._headers(request, self._deadlines.default_chat_ms)
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
        ).and_then(_of_form(rows.ServiceForm.MODEL))
        if isinstance(matched, result.Err):
            return matched
        session = self._session(
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
    ) -> _Answer:
        begun = session.begin()
        if isinstance(begun, result.Err):
            return _refused(session, begun.err_value)
        if isinstance(begun.ok_value, calls.Replay):
            return caller_chat.replayed(begun.ok_value, as_stream=chat.stream)
        run = dispatch_chat.ChatRun(
            self._courier,
            _job(session),
            chat,
            priority=match.kind.priority,
        )
        return result.Ok(caller_chat.ChatAnswer(session, run, chat).response())

    def _service(
        self, request: wrappers.Request, service: str, path: str = ""
    ) -> _Answer:
        team = self._authenticate(request)
        if isinstance(team, result.Err):
            return team
        headers = self._headers(request, self._deadlines.default_ms)
        if isinstance(headers, result.Err):
            return headers
        if ".." in path.split("/") or "\\" in path:
            return result.Err(
                failures.BadRequest(detail="The path may not have '..'.")
            )
        matched = matching.match_request(
            self._table,
            team_id=team.ok_value.team_id,
            service=service,
            method=request.method,
            path=f"/{path}",
        ).and_then(_of_form(rows.ServiceForm.PLAIN))
        if isinstance(matched, result.Err):
            return matched
        match = matched.ok_value
        if not match.kind.repeatable:
            has_age = caller_request.check_key_has_age(headers.ok_value)
            if isinstance(has_age, result.Err):
                return has_age
        plain = caller_plain.request_of(request, path)
        session = self._session(
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
    ) -> _Answer:
        begun = session.begin()
        if isinstance(begun, result.Err):
            return _refused(session, begun.err_value)
        if isinstance(begun.ok_value, calls.Replay):
            return caller_chat.replayed(begun.ok_value, as_stream=False)
        end = dispatch_plain.PlainEnd(outcome=result.Err(_BROKEN_OFF))
        bill = None
        try:
            end = self._plain.run(_job(session), plain)
        finally:
            bill = session.finish(caller_plain.run_end_of(session, end))
        target_id = end.target_id or ""
        if isinstance(end.outcome, result.Err):
            session.refuse(end.outcome.err_value, target_id=target_id)
            return _refused(session, end.outcome.err_value)
        session.succeed(bill, target_id)
        return result.Ok(
            caller_plain.response_of(session, end.outcome.ok_value, bill)
        )

    def _key(self, request: wrappers.Request, key: str) -> _Answer:
        team = self._authenticate(request)
        if isinstance(team, result.Err):
            return team
        team_id = identifiers.TeamId(team.ok_value.team_id)
        request_key = identifiers.RequestKey(key)
        future = self._desk.port.lookup(request_key, team_id=team_id)
        try:
            status = future.result(LOOKUP_WAIT_S)
        except futures.TimeoutError:
            return result.Err(
                failures.Unavailable(
                    detail="The arbiter of the key gave no answer.",
                    retry_after_ms=1_000,
                )
            )
        if status.state is calls_port.CallState.ABSENT:
            return result.Err(
                failures.NotFound(detail=f"Nothing is known of key {key!r}.")
            )
        return result.Ok(
            key_status.response_of(
                status, self._desk.ring.decisions(status.key)
            )
        )

    def _health(self, request: wrappers.Request) -> _Answer:
        del request
        return result.Ok(wrappers.Response("ok\n"))

    def _ready(self, request: wrappers.Request) -> _Answer:
        del request
        if self._is_ready():
            return result.Ok(wrappers.Response("ready\n"))
        return result.Err(
            failures.Unavailable(
                detail="The instance is starting or stopping.",
                retry_after_ms=1_000,
            )
        )

    def _metrics(self, request: wrappers.Request) -> _Answer:
        rendered = self._desk.metrics.render(request.headers.getlist("Accept"))
        return result.Ok(
            wrappers.Response(rendered.body, content_type=rendered.content_type)
        )

    def _authenticate(
        self, request: wrappers.Request
    ) -> result.Result[rows.TeamRow, failures.Failure]:
        return self._authenticator.authenticate(
            request.headers.get("Authorization", "")
        )

    def _headers(
        self, request: wrappers.Request, default_ms: int
    ) -> result.Result[caller_request.CallerHeaders, failures.Failure]:
        return caller_request.read_headers(
            request,
            limits=self._deadlines,
            default_ms=default_ms,
            now_ms=self._desk.clock.now_ms(),
        )

    def _session(
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
            admit_by_ms=self._desk.clock.now_ms() + self._deadlines.default_ms,
            call_id=self._desk.new_call_id(),
            first_attempt=headers.is_new_key,
        )
        return call_session.CallSession(
            self._desk,
            call=call,
            match=match,
            gone=request.environ[request_handler.CLIENT_GONE],
        )

    def __repr__(self) -> str:
        return f"CallerApi({self._desk!r})"


_BROKEN_OFF = failures.OutcomeUnknown(detail="The run was broken off.")


def _of_form(
    form: rows.ServiceForm,
) -> Callable[
    [matching.Match], result.Result[matching.Match, failures.Failure]
]:
    def check(
        match: matching.Match,
    ) -> result.Result[matching.Match, failures.Failure]:
        """Returns the match, or that its service has another form."""
        if match.service.form is form:
            return result.Ok(match)
        return result.Err(
            WrongForm(
                detail=f"{match.service.service} is of the form"
                f" {match.service.form.value}."
            )
        )

    return check


def _job(session: call_session.CallSession) -> dispatch.Job:
    call = session.call
    return dispatch.Job(
        key=call.key,
        service=call.service,
        request_kind=call.request_kind,
        repeatable=call.repeatable,
        deadline_ms=call.deadline_ms,
        bound_tokens=max((d.bound_tokens for d in call.draws), default=0),
        gone=session.gone,
    )


def _refused(
    session: call_session.CallSession, failure: failures.Failure
) -> _Answer:
    return result.Ok(problems.response_of(failure, key=session.call.key))
