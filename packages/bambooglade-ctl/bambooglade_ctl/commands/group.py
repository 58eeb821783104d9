"""Base class and argument parsing of the command groups."""

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

ClientFactory: TypeAlias = Callable[
    [], result.Result[client.OperatorClient, outcomes.CommandFailure]
]
"""Returns a client, or the failure to configure one."""

_Positive = Annotated[int, msgspec.Meta(ge=1)]


class Group:
    """Base class of the command groups.

    Args:
        connect: Returns the client; called when a command runs.
    """

    def __init__(self, connect: ClientFactory) -> None:
        self._connect = connect

    def _defer(
        self, work: Callable[[client.OperatorClient], deferred.CommandResult]
    ) -> deferred.Deferred:
        return deferred.Deferred(lambda: self._connect().and_then(work))


def new_edit_id() -> str:
    """Returns a new edit id; ids sort by time of creation."""
    return f"edit-{uuid6.uuid7()}"


def parse_positive(
    text: str, *, name: str
) -> result.Result[int, outcomes.CommandFailure]:
    """Parses an integer of at least 1.

    Args:
        text: Value from the command line.
        name: Name of the argument, for the message.

    Examples:
        >>> parse_positive("50", name="tokens")
        Ok(50)
        >>> print(parse_positive("-5", name="tokens").unwrap_err())
        refused: tokens is '-5', not an integer of at least 1.
        Pass an integer of at least 1.
    """
    try:
        return result.Ok(msgspec.convert(text, _Positive, strict=False))
    except msgspec.ValidationError:
        return result.Err(
            outcomes.refused(
                f"{name} is {text!r}, not an integer of at least 1.",
                remedy="Pass an integer of at least 1.",
            )
        )


def parse_optional_positive(
    text: str | None, *, name: str
) -> result.Result[int | None, outcomes.CommandFailure]:
    """Parses an integer of at least 1; returns None for None."""
    return result.Ok(None) if text is None else parse_positive(text, name=name)
