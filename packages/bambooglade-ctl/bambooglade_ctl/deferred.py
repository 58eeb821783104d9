"""Commands that run only after the whole command line has been parsed."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import msgspec
import result

from bambooglade_ctl import outcomes


class TextOutput(msgspec.Struct, frozen=True, kw_only=True):
    """Output of a command that is already text, such as an exported sheet."""

    text: str


class OutputWithExitCode(msgspec.Struct, frozen=True, kw_only=True):
    """Output of a command with an exit code other than `DONE`."""

    output: msgspec.Struct
    exit_code: outcomes.ExitCode


CommandResult: TypeAlias = result.Result[
    msgspec.Struct, outcomes.CommandFailure
]


class Deferred:
    """The work of a command, which starts when `run` is called.

    `fire` calls a command before it parses the remaining arguments, so it
    detects a mistyped flag only after the call. Returning the work instead of
    doing it ensures that an invalid command line changes nothing. The object
    has no public attributes, because `fire` would resolve a remaining argument
    as the name of one.
    """

    __slots__ = ("_work",)

    def __init__(self, work: Callable[[], CommandResult]) -> None:
        self._work = work

    def __repr__(self) -> str:
        return "Deferred()"


def run(deferred: Deferred) -> CommandResult:
    """Runs the command and returns its output or its failure."""
    return deferred._work()
