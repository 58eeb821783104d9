"""What the soak checks, from what callers and engines see."""

from __future__ import annotations

import collections
from collections.abc import Callable

from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import scene as scene_lib

PROMPT = "300,20"
"""Declared size of a request: prompt, and most output tokens."""

EVENTS = 6
TOKENS_PER_EVENT = 2
REPEATABLE_PATH = "/resume/x"
PLAIN_PATH = "/plain/x"
LEARN_BOUND_MS = 2_000
"""Time in which a change has to be in force, by the settings."""

CALM_MS = 3_000
"""Time without a fault from which gateways are held to that bound."""

MAX_RUNS = 2
"""Targets on which a repeatable request may run, by its route."""

NOT_RUN = (408, 421, 429, 503)
_END_OF_EVENT = b"\n\n"


class BrokenPromiseError(AssertionError):
    """What callers or engines saw is not what was promised."""


class Promises:
    """Notes what is seen, and what of it is not as promised.

    Problems are collected and raised by `check`: an error that is raised inside
    a callback would end in the log of the event loop.

    Args:
        now_ms: Returns the time.

    Attributes:
        prepaid_tokens: What the team has prepaid in all.
    """

    def __init__(
        self, now_ms: Callable[[], int], *, prepaid_tokens: int
    ) -> None:
        self._now_ms = now_ms
        self._runs_by_attempt: collections.Counter[str] = collections.Counter()
        self._events_by_attempt: dict[str, int] = {}
        self._left_at_ms_by_engine: dict[str, int] = {}
        self._revoked_at_ms: int | None = None
        self._disturbed_at_ms = 0
        self._problems: list[str] = []
        self.prepaid_tokens = prepaid_tokens

    def disturbed(self) -> None:
        """Notes that a fault is in force now."""
        self._disturbed_at_ms = self._now_ms()

    def engine_leaves(self, name: str) -> bool:
        """Notes that an engine leaves; returns whether that is new."""
        is_new = name not in self._left_at_ms_by_engine
        self._left_at_ms_by_engine.setdefault(name, self._now_ms())
        return is_new

    def key_revoked(self) -> None:
        """Notes that the spare key was revoked."""
        self._revoked_at_ms = self._now_ms()

    def must_refuse_spare_key(self) -> bool:
        """Returns whether every gateway has to know that it was revoked."""
        return self._revoked_at_ms is not None and self._had_to_learn(
            self._revoked_at_ms
        )

    def ran(self, attempt: str, engine: str, *, has_prompt: bool) -> None:
        """Notes that an engine began to work on a request."""
        self._runs_by_attempt[attempt] += 1
        if has_prompt:
            self._events_by_attempt.setdefault(attempt, 0)
        left_at_ms = self._left_at_ms_by_engine.get(engine)
        if left_at_ms is not None and self._had_to_learn(left_at_ms):
            self._problems.append(f"{attempt} reached {engine}, which left")

    def delivered(self, attempt: str, caller: scene_lib.Caller) -> None:
        """Notes what a caller has got of a stream so far."""
        if attempt in self._events_by_attempt:
            events = caller.body.count(_END_OF_EVENT)
            self._events_by_attempt[attempt] = events

    def answered(
        self, attempt: str, path: str, caller: scene_lib.Caller
    ) -> None:
        """Checks a response that is over."""
        runs = self._runs_by_attempt[attempt]
        if caller.status in NOT_RUN and runs and path != REPEATABLE_PATH:
            self._problems.append(f"{attempt} was refused and ran")
        if caller.status != 200 or not caller.is_whole:
            return
        expected = b"answer-of-" + attempt.encode()
        if path != PLAIN_PATH:
            expected = b"".join(map(engine_lib.event, range(1, EVENTS + 1)))
        if caller.body != expected:
            self._problems.append(f"{attempt} got {caller.body!r}")

    def served_with_revoked_key(self, attempt: str) -> None:
        """Notes that a request had to be refused and was served."""
        self._problems.append(f"{attempt} had a revoked key")

    def check(self, path_of: Callable[[str], str]) -> None:
        """Checks what holds at any time.

        Args:
            path_of: Returns the path of a request.

        Raises:
            BrokenPromiseError: A promise was broken, now or before.
        """
        if self.used_tokens > self.prepaid_tokens:
            self._problems.append(
                f"{self.used_tokens} tokens of {self.prepaid_tokens} were used"
            )
        for attempt, runs in self._runs_by_attempt.items():
            allowed = MAX_RUNS if path_of(attempt) == REPEATABLE_PATH else 1
            if runs > allowed:
                self._problems.append(f"{attempt} ran {runs} times")
        if self._problems:
            raise BrokenPromiseError("; ".join(self._problems))

    @property
    def used_tokens(self) -> int:
        """Prompts that ran, once a request, and the events delivered."""
        prompt_tokens = int(PROMPT.partition(",")[0])
        return sum(
            prompt_tokens + events * TOKENS_PER_EVENT
            for events in self._events_by_attempt.values()
        )

    def _had_to_learn(self, changed_at_ms: int) -> bool:
        """Returns whether every gateway has to know of a change by now."""
        calm_since_ms = max(changed_at_ms, self._disturbed_at_ms + CALM_MS)
        return self._now_ms() > calm_since_ms + LEARN_BOUND_MS

    def __repr__(self) -> str:
        return f"Promises(problems={len(self._problems)})"
