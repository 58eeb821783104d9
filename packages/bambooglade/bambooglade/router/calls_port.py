"""What the caller interface needs from the decisions on calls.

The runtime implements it on top of the coordinator; the threads that serve
callers wait for the futures.

See Also:
    bambooglade.operations.calls: the types of the answers.
    bambooglade.router.caller_api: the user of this port.
"""

from __future__ import annotations

from collections.abc import Iterable
from concurrent import futures
import enum
import hashlib
from typing import Protocol

import msgspec

from bambooglade.core import identifiers
from bambooglade.operations import calls

_DIGEST_BYTES = 16
_LENGTH_BYTES = 8


class CallState(enum.StrEnum):
    """What is known of a key."""

    ABSENT = "absent"
    IN_PROGRESS = "in_progress"
    FINISHED = "finished"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class CallStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to the question what became of a key.

    Attributes:
        key: The key that was asked for.
        state: What is known of it.
        bill: What was billed; None unless it is settled or queued.
        answer: The kept answer of a finished call, if it was kept.
        explanation: Why, one decision a line, in order of time.
    """

    key: identifiers.RequestKey
    state: CallState
    bill: calls.Bill | None = None
    answer: calls.StoredResponse | None = None
    explanation: tuple[str, ...] = ()


def fingerprint(team_id: identifiers.TeamId, parts: Iterable[bytes]) -> str:
    """Returns the fingerprint of a call: its team, and a hash of its parts.

    Examples:
        >>> mark = fingerprint(identifiers.TeamId("t1"), [b"POST", b"/x"])
        >>> is_of_team(mark, identifiers.TeamId("t1"))
        True
        >>> is_of_team(mark, identifiers.TeamId("t2"))
        False
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return f"{team_id}:{digest.hexdigest()}"


def is_of_team(mark: str, team_id: identifiers.TeamId) -> bool:
    """Returns whether a fingerprint is of a call of the team."""
    return mark.rpartition(":")[0] == team_id


class CallsPort(Protocol):
    """The coordinator, as the threads that serve callers see it.

    No method blocks; the futures end by the deadline of the call at the latest
    and never raise.
    """

    def begin(
        self, call: calls.Call
    ) -> futures.Future[calls.Permit | calls.Refuse | calls.Replay]:
        """Reserves and claims for a call.

        Exactly one of the three ends the future. After a `Permit` the caller
        of this method has to report a `RunEnd` by `finish`, whatever happens.
        """
        ...

    def finish(
        self, key: identifiers.RequestKey, run_end: calls.RunEnd
    ) -> futures.Future[calls.Billed]:
        """Reports how the run ended, and bills it."""
        ...

    def cancel(self, call: calls.Call) -> None:
        """Gives up a call that has no permit yet; its caller went away.

        The future of `begin` still ends, with `Refuse` or with a `Permit`
        that was decided before; the latter needs a `finish`.
        """
        ...

    def lookup(
        self, key: identifiers.RequestKey, *, team_id: identifiers.TeamId
    ) -> futures.Future[CallStatus]:
        """Asks what became of a key; another team's key is `ABSENT`.

        The fingerprint of a call starts with its team, see `fingerprint`.
        """
        ...
