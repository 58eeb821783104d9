"""Commands that run only after the whole command line was understood."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import msgspec
import result

from bambooglade_ctl import outcomes


class Text(msgspec.Struct, frozen=True, kw_only=True):
    """An answer that is text already, for instance an exported sheet."""

    text: str


class Completed(msgspec.Struct, frozen=True, kw_only=True):
    """An answer together with an exit code other than `DONE`."""

    answer: msgspec.Struct
    exit_code: outcomes.ExitCode


Outcome: TypeAlias = result.Result[msgspec.Struct, outcomes.CommandFailed]


class Deferred:
    """What a command will do, once `run` is called.

    The command line library calls a command before it looks at the words that
    follow; a mistyped flag is noticed only then. Returning the work in place
    of doing it means that a command with a mistake does nothing. The object
    has no public attributes that such a word could name.
    """

    __slots__ = ("_work",)

    def __init__(self, work: Callable[[], Outcome]) -> None:
        self._work = work

    def __repr__(self) -> str:
        return "Deferred()"


def run(deferred: Deferred) -> Outcome:
    """Does what the command was asked to do."""
    return deferred._work()
