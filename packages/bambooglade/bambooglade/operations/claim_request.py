"""Client of the arbiter at the entry instance, for the claim of one attempt."""

from __future__ import annotations

from collections.abc import Iterator
import enum
import functools

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.operations import messages
from bambooglade.operations import retry
from bambooglade.operations import shard_locator as locator_module

HELD_POLL_MS = 250
"""Interval at which a claim held by another attempt is requested again."""

WITHDRAWAL_TIMEOUT_MS = 600_000
"""Time after which an unacknowledged withdrawal is abandoned.

The arbiter then treats the outcome of the key as unknown.
"""

PENDING_DECISION_POLL_MS = 5_000
"""Interval at which a report is resent while its decision is pending."""


class ClaimState(enum.Enum):
    """State of a claim, as reported to its entry."""

    REQUESTED = "requested"
    GRANTED = "granted"
    HELD = "held"
    FINISHED = "finished"
    REFUSED = "refused"


class ClaimRequest:
    """Sends a claim, withdrawal or report until the arbiter responds.

    At most one message is pending at a time; a new one replaces it.

    Args:
        call: The call that the claim is for.
        attempt: The attempt of this entry.
        begun_at_ms: Start of the attempt; milliseconds since the epoch.
        locator: Locates the arbiter.

    Attributes:
        state: State of the claim.
        holder: The entry that holds the claim instead, for `HELD`.
        never_ran: Whether the arbiter ruled out earlier runs, for `GRANTED`.
        no_backup_detail: Reason given by an arbiter that has no backup; empty
            if there was none.
        finished: The response of the arbiter, for `FINISHED`.
        refused: The response of the arbiter, for `REFUSED`.
        recorded: The latest response to the report.
    """

    __slots__ = (
        "_begun_at_ms",
        "_call",
        "_is_first_holder",
        "_locator",
        "_pending_message",
        "_retry_timer",
        "_zone_shard",
        "attempt",
        "finished",
        "holder",
        "never_ran",
        "no_backup_detail",
        "recorded",
        "refused",
        "state",
    )

    def __init__(
        self,
        *,
        call: calls.Call,
        attempt: messages.Attempt,
        begun_at_ms: int,
        locator: locator_module.ShardLocator,
    ) -> None:
        self._call = call
        self._begun_at_ms = begun_at_ms
        self._locator = locator
        self._is_first_holder = False
        self.never_ran = False
        self._zone_shard = locator.arbiter_zone_shard(call.key)
        self._retry_timer = retry.RetryTimer()
        self._pending_message: effects.Message | None = None
        self.attempt = attempt
        self.state = ClaimState.REQUESTED
        self.holder: identifiers.InstanceId | None = None
        self.no_backup_detail = ""
        self.finished: messages.ClaimFinished | None = None
        self.refused: messages.ClaimRefused | None = None
        self.recorded: messages.RunRecorded | None = None

    @property
    def is_pending(self) -> bool:
        """Whether a message to the arbiter has not been acknowledged."""
        return self._pending_message is not None

    @property
    def decision(self) -> messages.Decision | None:
        """Decision of the arbiter on the bill; None before its response."""
        return self.recorded.decision if self.recorded else None

    def start(self, now_ms: int) -> Iterator[effects.Effects]:
        """Requests the claim."""
        claim = messages.Claim(
            key=self._call.key,
            attempt=self.attempt,
            fingerprint=self._call.fingerprint,
            repeatable=self._call.repeatable,
            deadline_ms=self._call.deadline_ms,
            first_attempt=self._call.first_attempt,
        )
        yield from self._submit(claim, now_ms)

    def withdraw(self, now_ms: int) -> Iterator[effects.Effects]:
        """Withdraws the attempt; it has not been and will not be dispatched."""
        withdraw = messages.Withdraw(key=self._call.key, attempt=self.attempt)
        yield from self._submit(withdraw, now_ms)

    def report(
        self, end: calls.RunEnd, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Reports the end of the run, and requests the decision on its bill."""
        report = messages.ReportRun(
            key=self._call.key,
            attempt=self.attempt,
            fingerprint=self._call.fingerprint,
            repeatable=self._call.repeatable,
            is_first_holder=self._is_first_holder,
            first_attempt=self._call.first_attempt,
            begun_at_ms=self._begun_at_ms,
            deadline_ms=self._call.deadline_ms,
            end=end,
        )
        yield from self._submit(report, now_ms)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Resends the pending message if it is due."""
        if self._pending_message is None or not self._retry_timer.is_due(
            now_ms
        ):
            return
        if (
            isinstance(self._pending_message, messages.Withdraw)
            and now_ms - self._begun_at_ms >= WITHDRAWAL_TIMEOUT_MS
        ):
            self._pending_message = None
        else:
            yield from self._send(now_ms)

    @functools.singledispatchmethod
    def handle(
        self, message: effects.Message, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Handles a response of the arbiter; ignores other messages."""
        del message, now_ms
        yield from ()

    @handle.register
    def _(
        self, message: messages.ClaimGranted, now_ms: int
    ) -> Iterator[effects.Effects]:
        del now_ms
        if self._is_undecided():
            self._is_first_holder = message.first
            self.never_ran = message.never_ran
        self._set_final_state(ClaimState.GRANTED)
        yield from ()

    @handle.register
    def _(
        self, message: messages.ClaimHeld, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Schedules another request while another attempt holds the claim."""
        if self._is_undecided():
            self.state = ClaimState.HELD
            self.holder = message.holder
            self._retry_timer = retry.RetryTimer(
                next_ms=now_ms + HELD_POLL_MS,
                pause_ms=HELD_POLL_MS,
                max_pause_ms=HELD_POLL_MS,
            )
        yield from ()

    @handle.register
    def _(
        self, message: messages.ClaimFinished, now_ms: int
    ) -> Iterator[effects.Effects]:
        del now_ms
        if self._is_undecided():
            self.finished = message
            self._set_final_state(ClaimState.FINISHED)
        yield from ()

    @handle.register
    def _(
        self, message: messages.ClaimRefused, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Ends the request, unless a backup is missing, which is temporary."""
        del now_ms
        if message.reason is messages.ClaimRefusal.NO_BACKUP:
            self.no_backup_detail = message.detail
        elif self._is_undecided():
            self.refused = message
            self._set_final_state(ClaimState.REFUSED)
        yield from ()

    @handle.register
    def _(
        self, message: messages.Withdrawn, now_ms: int
    ) -> Iterator[effects.Effects]:
        del message, now_ms
        if isinstance(self._pending_message, messages.Withdraw):
            self._pending_message = None
        yield from ()

    @handle.register
    def _(
        self, message: messages.RunRecorded, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Stores the decision; a pending one is requested again later."""
        if isinstance(self._pending_message, messages.ReportRun):
            self.recorded = message
            self._retry_timer.next_ms = now_ms + PENDING_DECISION_POLL_MS
            self._retry_timer.pause_ms = PENDING_DECISION_POLL_MS
            if message.decision is not messages.Decision.PENDING:
                self._pending_message = None
        yield from ()

    @handle.register
    def _(
        self, message: messages.ArbiterMisdirected, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Resends the pending message to the primary named in a redirect."""
        del now_ms
        if self._pending_message is None or message.primary is None:
            return
        if self._retry_timer.consume_redirect():
            yield effects.Send(
                recipient=message.primary, message=self._pending_message
            )

    def _is_undecided(self) -> bool:
        return self.state in (ClaimState.REQUESTED, ClaimState.HELD)

    def _set_final_state(self, state: ClaimState) -> None:
        if self._is_undecided():
            self.state = state
        if isinstance(self._pending_message, messages.Claim):
            self._pending_message = None

    def _submit(
        self, message: effects.Message, now_ms: int
    ) -> Iterator[effects.Effects]:
        self._pending_message = message
        self._retry_timer = retry.RetryTimer()
        yield from self._send(now_ms)

    def _send(self, now_ms: int) -> Iterator[effects.Effects]:
        self._retry_timer.record_send(now_ms)
        recipient = self._locator.recipient(self._zone_shard)
        if recipient is not None:
            yield effects.Send(
                recipient=recipient, message=self._pending_message
            )

    def __repr__(self) -> str:
        return (
            f"ClaimRequest(key={self._call.key!r}, state={self.state.name}, "
            f"is_pending={self.is_pending})"
        )
