"""Answers calls of plain services."""

from __future__ import annotations

from urllib import parse

import result
from werkzeug import wrappers

from bambooglade.operations import calls
from bambooglade.router import call_session
from bambooglade.router import caller_chat
from bambooglade.router import dispatch
from bambooglade.router import dispatch_plain
from bambooglade.transport import messages

_FIRST_ERROR_STATUS = 400
_PATH_SAFE = "/!$&'()*+,;=:@~-._"
_QUERY_SAFE = _PATH_SAFE + "?%"


def request_of(
    request: wrappers.Request, path: str
) -> dispatch_plain.PlainRequest:
    """Returns what is sent on to the plain service."""
    target = f"/{parse.quote(path, safe=_PATH_SAFE)}"
    query = request.query_string.decode("latin-1")
    if query:
        target += f"?{parse.quote(query, safe=_QUERY_SAFE)}"
    return dispatch_plain.PlainRequest(
        method=request.method,
        path=target,
        content_type=request.headers.get("Content-Type", ""),
        body=request.get_data(),
    )


def run_end_of(
    session: call_session.CallSession, end: dispatch_plain.PlainEnd
) -> calls.RunEnd:
    """Returns how a run ended, for the bill."""
    bound = max((d.bound_tokens for d in session.call.draws), default=0)
    if isinstance(end.outcome, result.Err):
        is_open = (
            end.run_result is calls.RunResult.UNKNOWN
            and not session.call.repeatable
        )
        return calls.RunEnd(
            result=end.run_result,
            spent_tokens=bound if is_open else 0,
            target_id=end.target_id,
        )
    answer = end.outcome.ok_value
    is_done = answer.head.status < _FIRST_ERROR_STATUS
    return calls.RunEnd(
        result=end.run_result,
        spent_tokens=bound if is_done else 0,
        target_id=end.target_id,
        answer=_kept(answer),
    )


def _kept(answer: messages.Response) -> calls.StoredResponse | None:
    if len(answer.body) > caller_chat.MAX_KEPT_ANSWER_BYTES:
        return None
    return calls.StoredResponse(
        http_status=answer.head.status,
        content_type=answer.head.header("content-type"),
        body=answer.body,
    )


def response_of(
    session: call_session.CallSession,
    answer: messages.Response,
    bill: calls.Bill | None,
) -> wrappers.Response:
    """Returns the answer for the caller."""
    response = wrappers.Response(
        answer.body,
        status=answer.head.status,
        content_type=answer.head.header("content-type") or None,
    )
    response.headers[dispatch.KEY_HEADER] = session.call.key
    if bill is not None:
        response.headers[caller_chat.BILLED_HEADER] = str(bill.spent_tokens)
    return response
