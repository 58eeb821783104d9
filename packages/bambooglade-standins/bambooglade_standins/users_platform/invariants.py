"""Invariants of the soak, checked against what callers and engines observe."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable

from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import platform_harness as harness_lib

PROMPT = "300,20"
"""Declared size of a request: prompt tokens and maximum output tokens."""

EVENTS = 6
TOKENS_PER_EVENT = 2
REPEATABLE_PATH = "/resume/x"
PLAIN_PATH = "/plain/x"
FATAL_PATH = "/status/fatal"
"""Path of the request on which engines of the plain service crash."""

PLAIN_PATHS = (PLAIN_PATH, FATAL_PATH)
IDEMPOTENT_PATHS = (REPEATABLE_PATH, FATAL_PATH)
DRAIN_BOUND_MS = 2_000
"""Time after which no request may reach an engine that said it leaves."""

FATAL_REQUEST_CRASHES = 3
"""Crashes on a request after which it is kept from all engines."""
PROPAGATION_BOUND_MS = 2_000
"""Time limit in the settings for applying a change."""

QUIET_PERIOD_MS = 3_000
"""Time without faults after which `PROPAGATION_BOUND_MS` is enforced."""

FATAL_CRASHES = 5
"""Crashes on a prompt part after which it is kept from all engines."""

MAX_LATER_FATAL_RUNS = 3
LIMIT_WINDOW_MS = 4_000

MAX_RUNS = 2
"""Maximum runs of a repeatable request, as configured for its route."""

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
END_OF_EVENT = b"\n\n"


class InvariantViolationError(AssertionError):
    """An invariant was violated in what callers or engines observed."""


class InvariantChecker:
    """Records observations and collects violations of invariants.

    `check` raises the collected violations, because the event loop only logs
    an error that is raised inside a callback.

    Args:
        now_ms: Returns the current time.

    Attributes:
        prepaid_tokens: Total tokens that the team has prepaid.
    """

    def __init__(
        self, now_ms: Callable[[], int], *, prepaid_tokens: int
    ) -> None:
        self._now_ms = now_ms
        self._runs_by_attempt: collections.Counter[str] = collections.Counter()
        self._events_by_attempt: dict[str, int] = {}
        self._version_by_stream: dict[str, str] = {}
        self._departed_at_ms_by_engine: dict[str, int] = {}
        self._revoked_at_ms: int | None = None
        self._disturbed_at_ms = 0
        self._crash_times_ms: list[int] = []
        self._later_fatal_runs = 0
        self._fatal_request_times_ms: list[int] = []
        self._later_fatal_requests = 0
        self._notice_ms_by_pair: dict[tuple[tuple[str, int], str], int] = {}
        self._restarted_at_ms_by_engine: dict[str, int] = {}
        self._store_disturbed_at_ms_by_gateway: dict[str, int] = {}
        self._limited_times_ms: list[int] = []
        self._limit_stated_at_ms: int | None = None
        self._violations: list[str] = []
        self.prepaid_tokens = prepaid_tokens

    def record_disturbance(self) -> None:
        """Records that a fault is active now."""
        self._disturbed_at_ms = self._now_ms()

    def record_engine_departure(self, name: str) -> bool:
        """Records that an engine drains; returns False if already recorded."""
        is_new = name not in self._departed_at_ms_by_engine
        self._departed_at_ms_by_engine.setdefault(name, self._now_ms())
        return is_new

    def record_key_revocation(self) -> None:
        """Records that the spare key was revoked."""
        self._revoked_at_ms = self._now_ms()

    def must_refuse_spare_key(self) -> bool:
        """Returns whether every gateway must have applied the revocation."""
        return self._revoked_at_ms is not None and self._is_propagation_due(
            self._revoked_at_ms
        )

    def record_run(
        self, attempt: str, engine: str, *, has_prompt: bool
    ) -> None:
        """Records that an engine started to execute a request."""
        self._runs_by_attempt[attempt] += 1
        if has_prompt:
            self._events_by_attempt.setdefault(attempt, 0)
        departed_at_ms = self._departed_at_ms_by_engine.get(engine)
        if departed_at_ms is not None and self._is_propagation_due(
            departed_at_ms
        ):
            self._violations.append(
                f"{attempt} reached draining engine {engine}"
            )

    def record_stream_version(
        self, stream_id: str, version: str, *, is_continued: bool
    ) -> None:
        """Records the software version of an engine that runs a stream.

        Args:
            stream_id: Id of the request that began the stream.
            version: Software version of the engine.
            is_continued: Whether the caller already has events of the stream.
        """
        began_at = self._version_by_stream.setdefault(stream_id, version)
        if not is_continued:
            self._version_by_stream[stream_id] = version
        elif began_at != version:
            self._violations.append(
                f"{stream_id} began at {began_at} and goes on at {version}"
            )

    def record_fatal_run(self, attempt: str) -> None:
        """Records that an engine crashes on a request with the fatal part."""
        self._crash_times_ms.append(self._now_ms())
        if len(self._crash_times_ms) <= FATAL_CRASHES:
            return
        fifth_ms = self._crash_times_ms[FATAL_CRASHES - 1]
        if not self._is_quiet_since(fifth_ms):
            return
        self._later_fatal_runs += 1
        if self._later_fatal_runs > MAX_LATER_FATAL_RUNS:
            self._violations.append(
                f"{attempt} reached an engine after"
                f" {len(self._crash_times_ms)} crashes on its prompt part"
            )

    def record_fatal_request(self, attempt: str) -> None:
        """Records that an engine crashes on the fatal request."""
        times_ms = self._fatal_request_times_ms
        times_ms.append(self._now_ms())
        if len(times_ms) <= FATAL_REQUEST_CRASHES:
            return
        if not self._is_quiet_since(times_ms[FATAL_REQUEST_CRASHES - 1]):
            return
        self._later_fatal_requests += 1
        if self._later_fatal_requests > MAX_LATER_FATAL_RUNS:
            self._violations.append(
                f"{attempt} reached an engine after {len(times_ms)} crashes on"
                " the same request"
            )

    def record_store_disturbance(self, gateways: Iterable[str]) -> None:
        """Records that these gateways may not reach the store now."""
        self._store_disturbed_at_ms_by_gateway.update(
            dict.fromkeys(gateways, self._now_ms())
        )

    def record_notice(self, sender: tuple[str, int], engine: str) -> None:
        """Records that a gateway process passed on that an engine leaves."""
        if self._is_run_known(sender, engine):
            self._notice_ms_by_pair.setdefault((sender, engine), self._now_ms())

    def record_restart(self, engine: str) -> None:
        """Records that an engine starts again; its new run owes no notice."""
        self._restarted_at_ms_by_engine[engine] = self._now_ms()
        for pair in list(self._notice_ms_by_pair):
            if pair[1] == engine:
                del self._notice_ms_by_pair[pair]

    def _is_run_known(self, sender: tuple[str, int], engine: str) -> bool:
        """Returns whether a gateway can have read the entry of the run.

        Without it, it takes a notice for one of the run before.
        """
        restarted_at_ms = self._restarted_at_ms_by_engine.get(engine)
        if restarted_at_ms is None:
            return True
        disturbed_at_ms = self._store_disturbed_at_ms_by_gateway.get(
            sender[0], 0
        )
        return disturbed_at_ms < restarted_at_ms or self._now_ms() > (
            disturbed_at_ms + QUIET_PERIOD_MS + PROPAGATION_BOUND_MS
        )

    def check_notice(
        self,
        sender: tuple[str, int],
        engine: str,
        attempt: str,
        *,
        sent_at_ms: int,
    ) -> None:
        """Checks that a request was not sent to an engine known to leave."""
        noticed_at_ms = self._notice_ms_by_pair.get((sender, engine))
        if (
            noticed_at_ms is not None
            and sent_at_ms > noticed_at_ms + DRAIN_BOUND_MS
        ):
            self._violations.append(
                f"{attempt} reached {engine}, which had said that it leaves"
            )

    def record_stated_limit(self, *, is_stated: bool) -> None:
        """Records that an engine begins or ceases to state a limit."""
        self._limit_stated_at_ms = self._now_ms() if is_stated else None
        self._limited_times_ms.clear()

    def record_limited_run(self, limit_per_s: float) -> None:
        """Records that a request reached the engine that states a limit."""
        stated_at_ms = self._limit_stated_at_ms
        if stated_at_ms is None or not self._is_quiet_since(stated_at_ms):
            self._limited_times_ms.clear()
            return
        now_ms = self._now_ms()
        self._limited_times_ms = [
            at_ms
            for at_ms in [*self._limited_times_ms, now_ms]
            if now_ms - at_ms <= LIMIT_WINDOW_MS
        ]
        allowed = 1.5 * limit_per_s * LIMIT_WINDOW_MS / 1_000 + 5
        if len(self._limited_times_ms) > allowed:
            self._violations.append(
                f"{len(self._limited_times_ms)} requests reached an engine in"
                f" {LIMIT_WINDOW_MS} ms that takes {limit_per_s} a second"
            )

    def record_delivery(self, attempt: str, caller: harness_lib.Caller) -> None:
        """Records how many events of a stream a caller has received."""
        if attempt in self._events_by_attempt:
            events = caller.body.count(END_OF_EVENT)
            self._events_by_attempt[attempt] = events

    def check_response(
        self,
        attempt: str,
        path: str,
        caller: harness_lib.Caller,
        *,
        received_events: int = 0,
    ) -> None:
        """Checks a finished response.

        Args:
            attempt: Id of the request.
            path: Its path.
            caller: The caller, with the response.
            received_events: Number of events of the stream that the caller had
                received before.
        """
        runs = self._runs_by_attempt[attempt]
        if (
            caller.status in NOT_EXECUTED_STATUSES
            and runs
            and path not in IDEMPOTENT_PATHS
        ):
            self._violations.append(f"{attempt} was refused but executed")
        if caller.status != 200 or not caller.is_complete:
            return
        expected = b"answer-of-" + attempt.encode()
        if path not in PLAIN_PATHS:
            numbers = range(received_events + 1, EVENTS + 1)
            expected = b"".join(map(engine_lib.event, numbers))
        if caller.body != expected:
            self._violations.append(
                f"{attempt} received wrong body {caller.body!r}"
            )

    def record_revoked_key_served(self, attempt: str) -> None:
        """Records that a request with the revoked key was served."""
        self._violations.append(f"{attempt} was served with a revoked key")

    def check(self, path_of: Callable[[str], str]) -> None:
        """Checks token usage and run counts, and raises collected violations.

        Args:
            path_of: Returns the path of an attempt.

        Raises:
            InvariantViolationError: An invariant was violated, now or earlier.
        """
        if self.used_tokens > self.prepaid_tokens:
            self._violations.append(
                f"{self.used_tokens} tokens used, {self.prepaid_tokens} prepaid"
            )
        for attempt, runs in self._runs_by_attempt.items():
            allowed = MAX_RUNS if path_of(attempt) in IDEMPOTENT_PATHS else 1
            if runs > allowed:
                self._violations.append(
                    f"{attempt} ran {runs} times, at most {allowed} allowed"
                )
        if self._violations:
            raise InvariantViolationError("; ".join(self._violations))

    @property
    def used_tokens(self) -> int:
        """Prompt tokens, once per executed request, and delivered tokens."""
        prompt_tokens = int(PROMPT.partition(",")[0])
        return sum(
            prompt_tokens + events * TOKENS_PER_EVENT
            for events in self._events_by_attempt.values()
        )

    def _is_quiet_since(self, changed_at_ms: int) -> bool:
        """Returns whether the quiet period after a change has passed."""
        quiet_since_ms = max(changed_at_ms, self._disturbed_at_ms)
        return self._now_ms() > quiet_since_ms + QUIET_PERIOD_MS

    def _is_propagation_due(self, changed_at_ms: int) -> bool:
        """Returns whether every gateway must have applied a change by now."""
        quiet_since_ms = max(
            changed_at_ms, self._disturbed_at_ms + QUIET_PERIOD_MS
        )
        return self._now_ms() > quiet_since_ms + PROPAGATION_BOUND_MS

    def __repr__(self) -> str:
        return f"InvariantChecker(violations={len(self._violations)})"
