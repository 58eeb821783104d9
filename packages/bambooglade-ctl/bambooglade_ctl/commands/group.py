"""What the groups of commands share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated
from typing import TypeAlias

import msgspec
import result
import uuid6

from bambooglade_ctl import client
from bambooglade_ctl import deferred
from bambooglade_ctl import outcomes

Connect: TypeAlias = Callable[
    [], result.Result[client.OperatorClient, outcomes.CommandFailed]
]
"""Gives the client, or says why there is none."""

_Positive = Annotated[int, msgspec.Meta(ge=1)]


class Group:
    """Base of the groups of commands.

    Args:
        connect: Gives the client when a command runs.
    """

    def __init__(self, connect: Connect) -> None:
        self._connect = connect

    def _defer(
        self, work: Callable[[client.OperatorClient], deferred.Outcome]
    ) -> deferred.Deferred:
        return deferred.Deferred(lambda: self._connect().and_then(work))


def new_edit_id() -> str:
    """Returns a new edit id, which sorts by time."""
    return f"edit-{uuid6.uuid7()}"


def positive(
    text: str, *, name: str
) -> result.Result[int, outcomes.CommandFailed]:
    """Reads a whole number of 1 or more.

    Args:
        text: What was given.
        name: Name of the argument, for the message.

    Examples:
        >>> positive("50", name="tokens")
        Ok(50)
        >>> print(positive("-5", name="tokens").unwrap_err())
        refused: tokens is '-5'.
        Give a whole number of 1 or more.
    """
    try:
        return result.Ok(msgspec.convert(text, _Positive, strict=False))
    except msgspec.ValidationError:
        return result.Err(
            outcomes.refused(
                f"{name} is {text!r}.",
                remedy="Give a whole number of 1 or more.",
            )
        )


def optional(
    text: str | None, *, name: str
) -> result.Result[int | None, outcomes.CommandFailed]:
    """Reads a whole number of 1 or more, if one was given."""
    return result.Ok(None) if text is None else positive(text, name=name)
