"""Tells a caller what became of a request."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from werkzeug import wrappers

from bambooglade.router import calls_port
from bambooglade.router import trace


class KeyStatus(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of the answer to what became of a request.

    Attributes:
        key: The request's key.
        state: `absent`, `in_progress`, `finished`, `not_run` or `unknown`.
        spent_tokens: What was billed; None when that is not settled.
        voided: Whether another run of the key is billed instead.
        answer: The kept answer, as text; None when it is not kept.
        explanation: One decision a line.
        decisions: The decisions that this instance remembers.
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
    """Returns the answer about a key.

    Args:
        status: What the arbiter knows.
        decisions: The decisions that this instance remembers.
    """
    bill = status.bill
    answer = status.answer
    body = KeyStatus(
        key=status.key,
        state=status.state.value,
        spent_tokens=bill.spent_tokens if bill else None,
        voided=bool(bill and bill.voided),
        answer=answer.body.decode("utf-8", "replace") if answer else None,
        explanation=status.explanation,
        decisions=tuple(decisions),
    )
    return wrappers.Response(
        msgspec.json.encode(body), content_type="application/json"
    )
