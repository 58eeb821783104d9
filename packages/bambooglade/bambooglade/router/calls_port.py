"""Interface of the coordinator for the threads that serve callers.

The runtime implements it on top of the coordinator. The threads that serve
callers block on the returned futures.

See Also:
    bambooglade.operations.calls: the result types of the futures.
    bambooglade.router.caller_api: uses this interface.
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
    """State of the request with a key."""

    ABSENT = "absent"
    IN_PROGRESS = "in_progress"
    FINISHED = "finished"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class CallStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of the request with a key.

    Attributes:
        key: The key that was looked up.
        state: State of the request.
        bill: The bill; None unless the request is finished.
        response: The stored response of a finished call, if it was stored.
        explanation: Reasons for the state, one decision a line, oldest first.
    """

    key: identifiers.RequestKey
    state: CallState
    bill: calls.Bill | None = None
    response: calls.StoredResponse | None = None
    explanation: tuple[str, ...] = ()


def fingerprint(team_id: identifiers.TeamId, parts: Iterable[bytes]) -> str:
    """Returns the fingerprint of a call: its team and a hash of its parts.

    Examples:
        >>> value = fingerprint(identifiers.TeamId("t1"), [b"POST", b"/x"])
        >>> belongs_to_team(value, identifiers.TeamId("t1"))
        True
        >>> belongs_to_team(value, identifiers.TeamId("t2"))
        False
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return f"{team_id}:{digest.hexdigest()}"


def belongs_to_team(call_fingerprint: str, team_id: identifiers.TeamId) -> bool:
    """Returns whether a fingerprint belongs to a call of the team."""
    return call_fingerprint.rpartition(":")[0] == team_id


class CallsPort(Protocol):
    """Thread-safe interface of the coordinator.

    No method blocks. The futures complete by the deadline of the call at the
    latest, and never with an exception.
    """

    def begin(
        self, call: calls.Call
    ) -> futures.Future[calls.Permit | calls.Refuse | calls.Replay]:
        """Reserves tokens and claims the key for a call.

        The future completes with exactly one of the three results. After a
        `Permit` the calling thread has to report a `RunEnd` with `finish`, even
        if the call fails.
        """
        ...

    def finish(
        self, key: identifiers.RequestKey, run_end: calls.RunEnd
    ) -> futures.Future[calls.Billed]:
        """Reports the end of a run and bills it."""
        ...

    def cancel(self, call: calls.Call) -> None:
        """Cancels a call that has no permit yet.

        The future of `begin` still completes, with `Refuse` or with a `Permit`
        that was decided before; the latter still requires a `finish`.
        """
        ...

    def lookup(
        self, key: identifiers.RequestKey, *, team_id: identifiers.TeamId
    ) -> futures.Future[CallStatus]:
        """Requests the status of a key; another team's key is `ABSENT`.

        The fingerprint of a call contains its team, see `fingerprint`.
        """
        ...
