"""What headers say to the fleet, decoded into typed fields.

The names of the header fields belong to the adapter that decodes them.
"""

from __future__ import annotations


class PromptPart:
    """A part of a prompt; requests share parts.

    Attributes:
        part_id: Its name.
        tokens: Its length.
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
        input_tokens: Tokens of the prompt.
        max_output_tokens: Most tokens that may be generated.
        parts: The parts in order; the last belongs to the request or session.
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
    def bound_tokens(self) -> int:
        """Most tokens that the request can use."""
        return self.input_tokens + self.max_output_tokens


class RequestFacts:
    """What a caller's header says to the fleet.

    Attributes:
        attempt_id: Id of the request; the caller gives each retry a new one.
        deadline_ms: How long the caller waits; None if it does not say.
        key: API key; None if there is none.
        prompt: Declared size, for model engines.
        last_event_id: Event after which the caller resumes a stream.
    """

    __slots__ = ("attempt_id", "deadline_ms", "key", "last_event_id", "prompt")

    def __init__(
        self,
        *,
        attempt_id: str,
        deadline_ms: int | None = None,
        key: bytes | None = None,
        prompt: Prompt | None = None,
        last_event_id: bytes | None = None,
    ) -> None:
        self.attempt_id = attempt_id
        self.deadline_ms = deadline_ms
        self.key = key
        self.prompt = prompt
        self.last_event_id = last_event_id


class Dispatch:
    """What the fleet tells a target beside the caller's request.

    Attributes:
        target_id: Target that is meant; another one refuses the request.
        remaining_ms: Time that is left.
        team: Name of the caller's team; None for a public route.
        priority: 0 is the most urgent; None for the target's default.
        last_event_id: Event after which the stream goes on.
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
    """Load that a target told with a response."""

    __slots__ = ("running", "slots", "waiting")

    def __init__(self, *, running: int, waiting: int, slots: int) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots


class ResponseFacts:
    """What the header of a target's response says to the fleet.

    Attributes:
        was_not_run: Whether the target states that the request did not run.
        is_misdirected: Whether another target has the address now.
        is_signed: Whether the response bears the signature of a target.
        is_encoded: Whether the body is not the target's own bytes.
        load: Load of the target; None if it did not tell.
        idle_timeout_ms: How long it keeps an idle connection; None unknown.
    """

    __slots__ = (
        "idle_timeout_ms",
        "is_encoded",
        "is_misdirected",
        "is_signed",
        "load",
        "was_not_run",
    )

    def __init__(
        self,
        *,
        was_not_run: bool = False,
        is_misdirected: bool = False,
        is_signed: bool = False,
        is_encoded: bool = False,
        load: ReportedLoad | None = None,
        idle_timeout_ms: int | None = None,
    ) -> None:
        self.was_not_run = was_not_run
        self.is_misdirected = is_misdirected
        self.is_signed = is_signed
        self.is_encoded = is_encoded
        self.load = load
        self.idle_timeout_ms = idle_timeout_ms
