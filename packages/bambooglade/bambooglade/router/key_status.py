"""Response to a caller that requests the status of a request."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from werkzeug import wrappers

from bambooglade.router import calls_port
from bambooglade.router import trace


class KeyStatus(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of the status response.

    Attributes:
        key: The request's key.
        state: `absent`, `in_progress`, `finished`, `not_run` or `unknown`.
        spent_tokens: Billed tokens; None while there is no bill.
        voided: Whether another run of the key is billed instead.
        answer: The stored response body, as text; None if it was not stored.
        explanation: Reasons for the state, one decision a line.
        decisions: The decisions that this instance still stores.
    """

    key: str
    state: str
    spent_tokens: int | None = None
    voided: bool = False
    answer: str | None = None
    explanation: tuple[str, ...] = ()
    decisions: tuple[trace.Decision, ...] = ()


def response_of(
    status: calls_port.CallStatus, decisions: Sequence[trace.Decision]
) -> wrappers.Response:
    """Returns the HTTP response with the status of a key.

    Args:
        status: The status according to the arbiter.
        decisions: The decisions that this instance still stores.
    """
    bill = status.bill
    stored = status.response
    body = KeyStatus(
        key=status.key,
        state=status.state.value,
        spent_tokens=bill.spent_tokens if bill else None,
        voided=bool(bill and bill.voided),
        answer=stored.body.decode("utf-8", "replace") if stored else None,
        explanation=status.explanation,
        decisions=tuple(decisions),
    )
    return wrappers.Response(
        msgspec.json.encode(body), content_type="application/json"
    )
