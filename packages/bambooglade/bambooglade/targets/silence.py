"""When a request gives up a target that sends nothing; without I/O.

A sound target may fall silent for a second or so, and then goes on with all
its requests. A request that is given up meanwhile has cost a retry, and its
response is lost if no other target takes it. So silence alone is no failure:
what the target does for other requests, whether connections to it open, and
whether other targets respond tell more.

See Also:
    bambooglade.gateway.dispatching: sends the request to another target.
"""

from __future__ import annotations

MIN_CALLER_PATIENCE_MS = 2_000
CALLER_PATIENCE_LATENCIES = 4
CALLER_PATIENCE_GAPS = 8
"""Time without an event after which callers leave a stream.

It is the longest of the first, so many target latencies, and so many of the
longest gaps of a response that is on time.
"""

HUNG_STREAM_MS = 1_200
"""Silence after which a stream hangs, if its target serves other requests."""

MIN_SILENT_STREAM_MS = 1_600
"""Least silence after which a stream is given up whatever else is known.

Sound targets are silent for a second or so.
"""

PATIENCE_FRACTION = 0.5
"""Part of the callers' patience after which a silent stream is given up.

The rest is needed for the first event of another target.
"""

PLAIN_RESPONSE_MS = 300
"""Time without a response after which a plain request is given up."""

RESPONSIVE_FRACTION = 0.5
"""Part of a silence within which a target has responded if it is not silent."""

MAX_AVOIDED_MS = 30_000
"""Longest time for which a target that left a request unanswered is avoided."""

MAX_MEMORY_MS = 60_000
"""Time without a further request after which such a silence is forgotten.

It is longer than the target is avoided, so that the request that tries it next
prolongs the silence. With equal times, a target that hangs for good was tried
as often as at first from then on.
"""


class SilenceBounds:
    """Times without progress that decide about a request.

    Attributes:
        hung_ms: Time after which the request is given up if its target serves
            other requests.
        unreached_ms: Time after which it is given up if connections to the
            target do not open. A stopped process may not accept any either.
        silent_ms: Time after which it is given up in any case.
    """

    __slots__ = ("hung_ms", "silent_ms", "unreached_ms")

    def __init__(
        self, *, hung_ms: int, unreached_ms: int, silent_ms: int
    ) -> None:
        self.hung_ms = hung_ms
        self.unreached_ms = unreached_ms
        self.silent_ms = silent_ms

    def __repr__(self) -> str:
        return (
            f"SilenceBounds({self.hung_ms}, {self.unreached_ms},"
            f" {self.silent_ms})"
        )


PLAIN_BOUNDS = SilenceBounds(
    hung_ms=PLAIN_RESPONSE_MS,
    unreached_ms=PLAIN_RESPONSE_MS,
    silent_ms=PLAIN_RESPONSE_MS,
)


def stream_bounds(
    *, target_latency_ms: int, max_event_gap_ms: int | None
) -> SilenceBounds:
    """Returns the bounds of streams whose callers wait as long as stated.

    Args:
        target_latency_ms: Objective for the time to the first event.
        max_event_gap_ms: Longest gap of a response that is on time; None if
            the route states none.

    Examples:
        >>> stream_bounds(target_latency_ms=400, max_event_gap_ms=600)
        SilenceBounds(1200, 1600, 2400)
    """
    patience_ms = max(
        MIN_CALLER_PATIENCE_MS,
        CALLER_PATIENCE_LATENCIES * target_latency_ms,
        CALLER_PATIENCE_GAPS * (max_event_gap_ms or 0),
    )
    return SilenceBounds(
        hung_ms=HUNG_STREAM_MS,
        unreached_ms=MIN_SILENT_STREAM_MS,
        silent_ms=max(
            MIN_SILENT_STREAM_MS, round(PATIENCE_FRACTION * patience_ms)
        ),
    )


def is_silent_too(target_silent_ms: int, silent_ms: int) -> bool:
    """Returns whether a target is silent like one that has been for so long."""
    return target_silent_ms >= RESPONSIVE_FRACTION * silent_ms


def should_give_up(
    bounds: SilenceBounds,
    *,
    silent_ms: int,
    target_silent_ms: int,
    has_begun: bool,
    is_unreached: bool,
) -> bool:
    """Returns whether a request gives up its target.

    Args:
        bounds: Bounds of requests of its kind.
        silent_ms: Time since the last progress of the request.
        target_silent_ms: Time since the target sent anything to any request.
        has_begun: Whether the response has begun. Before, the request may be
            waiting at a target that serves others.
        is_unreached: Whether connections to the target fail.

    Examples:
        >>> bounds = stream_bounds(target_latency_ms=400, max_event_gap_ms=None)
        >>> should_give_up(bounds, silent_ms=1_300, target_silent_ms=1_300,
        ...     has_begun=True, is_unreached=False)
        False
        >>> should_give_up(bounds, silent_ms=1_300, target_silent_ms=40,
        ...     has_begun=True, is_unreached=False)
        True
    """
    if silent_ms >= bounds.silent_ms:
        return True
    if is_unreached and silent_ms >= bounds.unreached_ms:
        return True
    is_hung = has_begun and not is_silent_too(target_silent_ms, silent_ms)
    return is_hung and silent_ms >= bounds.hung_ms


class TargetActivity:
    """Since when targets with requests of this instance have sent nothing.

    A target that left a request unanswered is expected to stay silent for as
    long again. Each further request to it that remains unanswered prolongs the
    silence, so that the target is tried less and less often.

    Examples:
        >>> activity = TargetActivity()
        >>> activity.record_dispatch("e1", now_ms=0)
        >>> activity.silent_ms("e1", now_ms=700)
        700
        >>> activity.record_response("e1", "r1", now_ms=800)
        >>> activity.silent_ms("e1", now_ms=900)
        100
        >>> activity.record_end("e1", "r1")
        >>> activity.silent_ms("e1", now_ms=5_000)
        0
    """

    __slots__ = (
        "_begun_ids_by_target_id",
        "_in_flight_by_target_id",
        "_silent_since_ms_by_target_id",
        "_unanswered_by_target_id",
    )

    def __init__(self) -> None:
        self._in_flight_by_target_id: dict[str, int] = {}
        self._silent_since_ms_by_target_id: dict[str, int] = {}
        self._begun_ids_by_target_id: dict[str, set[str]] = {}
        self._unanswered_by_target_id: dict[str, _UnansweredRequests] = {}

    def record_dispatch(self, target_id: str, *, now_ms: int) -> None:
        """Records that a request was sent to a target."""
        in_flight = self._in_flight_by_target_id.get(target_id, 0)
        if not in_flight:
            self._silent_since_ms_by_target_id[target_id] = now_ms
            self._begun_ids_by_target_id[target_id] = set()
        self._in_flight_by_target_id[target_id] = in_flight + 1
        unanswered = self._unanswered_by_target_id.get(target_id)
        if unanswered is not None:
            unanswered.record_dispatch(now_ms)

    def record_response(
        self, target_id: str, request_id: str, *, now_ms: int
    ) -> None:
        """Records that a target has sent a part of a response."""
        self._unanswered_by_target_id.pop(target_id, None)
        if target_id in self._in_flight_by_target_id:
            self._silent_since_ms_by_target_id[target_id] = now_ms
            self._begun_ids_by_target_id[target_id].add(request_id)

    def record_end(self, target_id: str, request_id: str) -> None:
        """Records that a request at a target has ended."""
        in_flight = self._in_flight_by_target_id.get(target_id, 0) - 1
        if in_flight > 0:
            self._in_flight_by_target_id[target_id] = in_flight
            self._begun_ids_by_target_id[target_id].discard(request_id)
        else:
            self._in_flight_by_target_id.pop(target_id, None)
            self._silent_since_ms_by_target_id.pop(target_id, None)
            self._begun_ids_by_target_id.pop(target_id, None)

    def record_unanswered(self, target_id: str, *, now_ms: int) -> None:
        """Records that a request in flight is given up at a silent target."""
        known = self._unanswered(target_id, now_ms)
        silent_ms = self.silent_ms(target_id, now_ms=now_ms)
        since_ms = known.since_ms if known else now_ms - silent_ms
        self._unanswered_by_target_id[target_id] = _UnansweredRequests(
            since_ms, now_ms
        )

    def has_left_unanswered(self, target_id: str, *, now_ms: int) -> bool:
        """Returns whether a target sent nothing since a request gave it up."""
        return self._unanswered(target_id, now_ms) is not None

    def expected_silence_ms(self, target_id: str, *, now_ms: int) -> int:
        """Returns the expected delay at a target that was given up; 0 if none.

        It is 0 as well once a request may show whether the target goes on.
        """
        unanswered = self._unanswered(target_id, now_ms)
        if unanswered is None or now_ms >= unanswered.avoided_until_ms:
            return 0
        return unanswered.silent_ms

    def _unanswered(
        self, target_id: str, now_ms: int
    ) -> _UnansweredRequests | None:
        unanswered = self._unanswered_by_target_id.get(target_id)
        if unanswered and now_ms - unanswered.at_ms >= MAX_MEMORY_MS:
            del self._unanswered_by_target_id[target_id]
            return None
        return unanswered

    def forget_unanswered(self, target_id: str) -> None:
        """Forgets the silence of a target that is gone or started again."""
        self._unanswered_by_target_id.pop(target_id, None)

    def unanswered_target_ids(self) -> set[str]:
        """Returns the targets of which a silence is remembered."""
        return set(self._unanswered_by_target_id)

    def unanswered_count(self, *, now_ms: int) -> int:
        """Returns how many targets sent nothing since they were given up."""
        return sum(
            self.has_left_unanswered(target_id, now_ms=now_ms)
            for target_id in self.unanswered_target_ids()
        )

    def silent_ms(self, target_id: str, *, now_ms: int) -> int:
        """Returns for how long a target has left all requests without a sign.

        Without a request it can't be told, and 0 is returned.
        """
        since_ms = self._silent_since_ms_by_target_id.get(target_id, now_ms)
        return max(0, now_ms - since_ms)

    def stopped_ms(self, target_id: str, *, now_ms: int) -> int:
        """Returns for how long a target has interrupted responses.

        Requests whose response has not begun may be waiting, or hang alone.
        """
        if not self._begun_ids_by_target_id.get(target_id):
            return 0
        return self.silent_ms(target_id, now_ms=now_ms)

    def __repr__(self) -> str:
        return f"TargetActivity(targets={len(self._in_flight_by_target_id)})"


class _UnansweredRequests:
    """Silence of a target that was given up and has sent nothing since.

    Attributes:
        since_ms: Start of the silence.
        at_ms: Time at which the last request gave the target up.
        avoided_until_ms: Time from which a request may try the target.
    """

    __slots__ = ("at_ms", "avoided_until_ms", "since_ms")

    def __init__(self, since_ms: int, at_ms: int) -> None:
        self.since_ms = since_ms
        self.at_ms = at_ms
        self.avoided_until_ms = at_ms + self.silent_ms

    @property
    def silent_ms(self) -> int:
        """Length of the silence, as far as requests have shown it."""
        return min(self.at_ms - self.since_ms, MAX_AVOIDED_MS)

    def record_dispatch(self, now_ms: int) -> None:
        """Keeps other requests away while one tries the target."""
        if now_ms >= self.avoided_until_ms:
            self.avoided_until_ms = now_ms + self.silent_ms

    def __repr__(self) -> str:
        return f"_UnansweredRequests({self.since_ms}, {self.at_ms})"
