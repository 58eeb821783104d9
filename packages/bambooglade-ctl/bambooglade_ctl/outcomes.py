"""Exit codes of `bamboogladectl`, and the failures that cause them."""

from __future__ import annotations

import enum

import msgspec


class ExitCode(enum.IntEnum):
    """Exit codes of `bamboogladectl`.

    Attributes:
        DONE: The command succeeded.
        FAILED: An unexpected error occurred; please report it.
        USAGE: The command line is wrong; nothing was sent.
        REFUSED: The request is not valid; nothing was changed.
        CONFLICT: Another operator edited the row first; nothing was changed.
        NOT_ALLOWED: The key is wrong or lacks the role; nothing was changed.
        UNREACHABLE: No instance could be reached; nothing was changed.
        UNCERTAIN: The change may have been made; repeat the command with the
            edit id that is printed.
        PARTIAL: Some rows were accepted and some refused.
        BURNING: A service-level objective uses up its error budget too fast.
    """

    DONE = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    NOT_ALLOWED = 5
    UNREACHABLE = 6
    UNCERTAIN = 7
    PARTIAL = 8
    BURNING = 9


class CommandFailure(msgspec.Struct, frozen=True, kw_only=True):
    """The cause of a command's failure, and its remedy.

    Attributes:
        edit_id: Id to repeat the command with; None if a repeat needs none.
    """

    exit_code: ExitCode
    kind: str
    detail: str
    remedy: str
    edit_id: str | None = None

    def __str__(self) -> str:
        lines = [f"{self.kind}: {self.detail}", self.remedy]
        if self.edit_id:
            lines.append(f"Edit id: {self.edit_id}")
        return "\n".join(lines)


def refused(detail: str, *, remedy: str) -> CommandFailure:
    """Returns the failure of an invalid command."""
    return CommandFailure(
        exit_code=ExitCode.REFUSED,
        kind="refused",
        detail=detail,
        remedy=remedy,
    )
