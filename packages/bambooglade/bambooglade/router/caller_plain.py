"""Converts requests and responses of plain services."""

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


def plain_request_of(
    request: wrappers.Request, path: str
) -> dispatch_plain.PlainRequest:
    """Returns the request to forward to the plain service."""
    forwarded_path = f"/{parse.quote(path, safe=_PATH_SAFE)}"
    query = request.query_string.decode("latin-1")
    if query:
        forwarded_path += f"?{parse.quote(query, safe=_QUERY_SAFE)}"
    return dispatch_plain.PlainRequest(
        method=request.method,
        path=forwarded_path,
        content_type=request.headers.get("Content-Type", ""),
        body=request.get_data(),
    )


def run_end_of(
    session: call_session.CallSession, plain_result: dispatch_plain.PlainResult
) -> calls.RunEnd:
    """Returns the end of a run, from which it is billed.

    A run with an unknown outcome is billed its bound unless the call is
    repeatable. Responses with an error status are not billed.
    """
    bound = max((d.bound_tokens for d in session.call.draws), default=0)
    if isinstance(plain_result.outcome, result.Err):
        is_billed_in_full = (
            plain_result.run_result is calls.RunResult.UNKNOWN
            and not session.call.repeatable
        )
        return calls.RunEnd(
            result=plain_result.run_result,
            spent_tokens=bound if is_billed_in_full else 0,
            target_id=plain_result.target_id,
        )
    response = plain_result.outcome.ok_value
    is_successful = response.head.status < _FIRST_ERROR_STATUS
    return calls.RunEnd(
        result=plain_result.run_result,
        spent_tokens=bound if is_successful else 0,
        target_id=plain_result.target_id,
        answer=_stored_response(response),
    )


def _stored_response(
    response: messages.Response,
) -> calls.StoredResponse | None:
    if len(response.body) > caller_chat.MAX_STORED_RESPONSE_BYTES:
        return None
    return calls.StoredResponse(
        http_status=response.head.status,
        content_type=response.head.header("content-type"),
        body=response.body,
    )


def response_of(
    session: call_session.CallSession,
    target_response: messages.Response,
    bill: calls.Bill | None,
) -> wrappers.Response:
    """Returns the response for the caller."""
    response = wrappers.Response(
        target_response.body,
        status=target_response.head.status,
        content_type=target_response.head.header("content-type") or None,
    )
    response.headers[dispatch.KEY_HEADER] = session.call.key
    if bill is not None:
        response.headers[caller_chat.BILLED_HEADER] = str(bill.spent_tokens)
    return response
