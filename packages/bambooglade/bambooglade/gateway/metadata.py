"""Metadata of requests and responses, decoded from HTTP headers.

Only the adapter that decodes the header fields uses their names.
"""

from __future__ import annotations

import enum


class ResponseMatch(enum.Enum):
    """Which request a response belongs to, by the id that it states.

    OWN: the id of the request. OTHER: another id. UNKNOWN: it states none.
    """

    OWN = enum.auto()
    OTHER = enum.auto()
    UNKNOWN = enum.auto()


class PromptPart:
    """A part of a prompt; several requests may have the same part.

    Attributes:
        part_id: Id of the part.
        tokens: Length in tokens.
    """

    __slots__ = ("part_id", "tokens")

    def __init__(self, part_id: str, tokens: int) -> None:
        self.part_id = part_id
        self.tokens = tokens

    def __repr__(self) -> str:
        return f"PromptPart({self.part_id!r}, tokens={self.tokens})"


class Prompt:
    """Size and parts of a request to a model engine.

    Attributes:
        input_tokens: Length of the prompt in tokens.
        max_output_tokens: Most tokens that may be generated.
        parts: Parts in order; the last is specific to the request or session.
    """

    __slots__ = ("input_tokens", "max_output_tokens", "parts")

    def __init__(
        self,
        *,
        input_tokens: int,
        max_output_tokens: int,
        parts: tuple[PromptPart, ...] = (),
    ) -> None:
        self.input_tokens = input_tokens
        self.max_output_tokens = max_output_tokens
        self.parts = parts

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may have as well, in order."""
        return tuple(part.part_id for part in self.parts[:-1])

    @property
    def max_total_tokens(self) -> int:
        """Most tokens that the request can use, input and output together."""
        return self.input_tokens + self.max_output_tokens


class RequestMetadata:
    """Metadata of a caller's request.

    Attributes:
        attempt_id: Id of the request; each retry by the caller has a new one.
        deadline_ms: Time that the caller waits; None if it states none.
        key: API key; None if there is none.
        prompt: Declared prompt for a model engine; None if there is none.
        last_event_id: Id of the event after which the caller resumes a stream;
            None for a new stream.
        stream_id: Id of the caller's request that received the first event of
            the stream that it resumes; None if the caller states none.
    """

    __slots__ = (
        "attempt_id",
        "deadline_ms",
        "key",
        "last_event_id",
        "prompt",
        "stream_id",
    )

    def __init__(
        self,
        *,
        attempt_id: str,
        deadline_ms: int | None = None,
        key: bytes | None = None,
        prompt: Prompt | None = None,
        last_event_id: bytes | None = None,
        stream_id: str | None = None,
    ) -> None:
        self.attempt_id = attempt_id
        self.deadline_ms = deadline_ms
        self.key = key
        self.prompt = prompt
        self.last_event_id = last_event_id
        self.stream_id = stream_id


class DispatchMetadata:
    """Metadata that the gateway adds to a request that it sends to a target.

    Attributes:
        target_id: Intended target; any other target refuses the request.
        remaining_ms: Time until the deadline of the request.
        team: Name of the caller's team; None for a public route.
        priority: 0 is the highest; None for the target's default.
        last_event_id: Id of the event after which the stream continues; None
            for a new stream.
    """

    __slots__ = (
        "last_event_id",
        "priority",
        "remaining_ms",
        "target_id",
        "team",
    )

    def __init__(
        self,
        *,
        target_id: str,
        remaining_ms: int,
        team: str | None = None,
        priority: int | None = None,
        last_event_id: bytes | None = None,
    ) -> None:
        self.target_id = target_id
        self.remaining_ms = remaining_ms
        self.team = team
        self.priority = priority
        self.last_event_id = last_event_id


class ReportedLoad:
    """Load that a target reported in the header of a response.

    Attributes:
        running: Number of requests that the target processes.
        waiting: Number of requests that the target has queued.
        slots: Number of requests that the target can process concurrently.
        slowdown: How long work takes on the target's machine at the moment,
            relative to the normal time; None if it does not state that.
    """

    __slots__ = ("running", "slots", "slowdown", "waiting")

    def __init__(
        self,
        *,
        running: int,
        waiting: int,
        slots: int,
        slowdown: float | None = None,
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowdown = slowdown


class ResponseMetadata:
    """Metadata of a target's response.

    Attributes:
        is_not_executed: Whether the target states that it did not execute the
            request.
        is_misdirected: Whether another target has the address now.
        is_signed: Whether the response has the signature field of a target.
        has_content_encoding: Whether the body was encoded, so that its bytes
            are not those that the target produced.
        load: Load of the target; None if it reported none.
        idle_timeout_ms: Time for which the target keeps an idle connection
            open; None if it is unknown.
        max_requests_per_s: Requests per second that the target accepts from
            all instances together; None if it states no limit.
        pause_s: Time in s for which the target wants no request from this
            instance, after it has rejected one; None if it requests no pause.
        is_leaving: Whether the target states that it is about to stop.
        max_rejections_per_s: Rejections in a second above which each target of
            the service falls over; None if it does not state that, 0 if what
            it states can't be read.
    """

    __slots__ = (
        "has_content_encoding",
        "idle_timeout_ms",
        "is_leaving",
        "is_misdirected",
        "is_not_executed",
        "is_signed",
        "load",
        "max_rejections_per_s",
        "max_requests_per_s",
        "pause_s",
    )

    def __init__(
        self,
        *,
        is_not_executed: bool = False,
        is_misdirected: bool = False,
        is_signed: bool = False,
        has_content_encoding: bool = False,
        load: ReportedLoad | None = None,
        idle_timeout_ms: int | None = None,
        max_requests_per_s: float | None = None,
        pause_s: float | None = None,
        is_leaving: bool = False,
        max_rejections_per_s: int | None = None,
    ) -> None:
        self.is_not_executed = is_not_executed
        self.is_misdirected = is_misdirected
        self.is_signed = is_signed
        self.has_content_encoding = has_content_encoding
        self.load = load
        self.idle_timeout_ms = idle_timeout_ms
        self.max_requests_per_s = max_requests_per_s
        self.pause_s = pause_s
        self.is_leaving = is_leaving
        self.max_rejections_per_s = max_rejections_per_s
