"""Entry side of one claim: asks, withdraws and reports until answered."""

from __future__ import annotations

from collections.abc import Iterator
import enum
import functools

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.operations import directory as directory_module
from bambooglade.operations import messages
from bambooglade.operations import retry

HELD_POLL_MS = 250
"""Pause between two questions whether another entry's run has ended."""

WITHDRAWAL_LIMIT_MS = 600_000
"""How long a withdrawal is repeated; the key then counts as unknown."""

UNDECIDED_POLL_MS = 5_000
"""Pause between two questions for a bill that can't be decided yet."""


class ClaimState(enum.Enum):
    """What the entry knows of its claim."""

    ASKING = "asking"
    GRANTED = "granted"
    HELD = "held"
    FINISHED = "finished"
    REFUSED = "refused"


class ClaimRequest:
    """Keeps one question open at the arbiter: claim, withdrawal or report.

    Args:
        call: The call that the claim is for.
        attempt: The attempt of this entry.
        begun_at_ms: When the attempt began.
        directory: Finds the arbiter.

    Attributes:
        state: What is known of the claim.
        holder: The entry that holds the claim instead, for `HELD`.
        never_ran: Whether the arbiter knows of no earlier run, for `GRANTED`.
        no_backup_detail: What an arbiter without a backup said, if any.
        finished: The answer of the arbiter, for `FINISHED`.
        refused: The answer of the arbiter, for `REFUSED`.
        recorded: The newest answer to the report.
    """

    __slots__ = (
        "_begun_at_ms",
        "_call",
        "_directory",
        "_is_first_holder",
        "_open",
        "_place",
        "_timer",
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
        directory: directory_module.Directory,
    ) -> None:
        self._call = call
        self._begun_at_ms = begun_at_ms
        self._directory = directory
        self._is_first_holder = False
        self.never_ran = False
        self._place = directory.arbiter_place(call.key)
        self._timer = retry.RetryTimer()
        self._open: effects.Message | None = None
        self.attempt = attempt
        self.state = ClaimState.ASKING
        self.holder: identifiers.InstanceId | None = None
        self.no_backup_detail = ""
        self.finished: messages.ClaimFinished | None = None
        self.refused: messages.ClaimRefused | None = None
        self.recorded: messages.RunRecorded | None = None

    @property
    def is_pending(self) -> bool:
        """Whether a question to the arbiter is open."""
        return self._open is not None

    @property
    def decision(self) -> messages.Decision | None:
        """What the arbiter decided on the bill; None before its answer."""
        return self.recorded.decision if self.recorded else None

    def start(self, now_ms: int) -> Iterator[effects.Effects]:
        """Asks for the claim."""
        claim = messages.Claim(
            key=self._call.key,
            attempt=self.attempt,
            fingerprint=self._call.fingerprint,
            repeatable=self._call.repeatable,
            deadline_ms=self._call.deadline_ms,
            first_attempt=self._call.first_attempt,
        )
        yield from self._ask(claim, now_ms)

    def withdraw(self, now_ms: int) -> Iterator[effects.Effects]:
        """Gives the claim up; nothing was dispatched and nothing will be."""
        withdraw = messages.Withdraw(key=self._call.key, attempt=self.attempt)
        yield from self._ask(withdraw, now_ms)

    def report(
        self, end: calls.RunEnd, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Reports the end of the run, and asks who is billed."""
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
        yield from self._ask(report, now_ms)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Repeats the open question when it is due."""
        if self._open is None or not self._timer.is_due(now_ms):
            return
        if (
            isinstance(self._open, messages.Withdraw)
            and now_ms - self._begun_at_ms >= WITHDRAWAL_LIMIT_MS
        ):
            self._open = None
        else:
            yield from self._send(now_ms)

    @functools.singledispatchmethod
    def handle(
        self, message: effects.Message, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Takes an answer of the arbiter; others are ignored."""
        del message, now_ms
        yield from ()

    @handle.register
    def _(
        self, message: messages.ClaimGranted, now_ms: int
    ) -> Iterator[effects.Effects]:
        del now_ms
        if self._is_open():
            self._is_first_holder = message.first
            self.never_ran = message.never_ran
        self._end_claim(ClaimState.GRANTED)
        yield from ()

    @handle.register
    def _(
        self, message: messages.ClaimHeld, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Another entry holds the claim: asks again after a pause."""
        if self._is_open():
            self.state = ClaimState.HELD
            self.holder = message.holder
            self._timer = retry.RetryTimer(
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
        if self._is_open():
            self.finished = message
            self._end_claim(ClaimState.FINISHED)
        yield from ()

    @handle.register
    def _(
        self, message: messages.ClaimRefused, now_ms: int
    ) -> Iterator[effects.Effects]:
        """The arbiter refused; for want of a backup only for now."""
        del now_ms
        if message.reason is messages.ClaimRefusal.NO_BACKUP:
            self.no_backup_detail = message.detail
        elif self._is_open():
            self.refused = message
            self._end_claim(ClaimState.REFUSED)
        yield from ()

    @handle.register
    def _(
        self, message: messages.Withdrawn, now_ms: int
    ) -> Iterator[effects.Effects]:
        del message, now_ms
        if isinstance(self._open, messages.Withdraw):
            self._open = None
        yield from ()

    @handle.register
    def _(
        self, message: messages.RunRecorded, now_ms: int
    ) -> Iterator[effects.Effects]:
        """The report is recorded; an undecided one is repeated at times."""
        if isinstance(self._open, messages.ReportRun):
            self.recorded = message
            self._timer.next_ms = now_ms + UNDECIDED_POLL_MS
            self._timer.pause_ms = UNDECIDED_POLL_MS
            if message.decision is not messages.Decision.PENDING:
                self._open = None
        yield from ()

    @handle.register
    def _(
        self, message: messages.ArbiterMisdirected, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Follows a redirect to the primary that the receiver named."""
        del now_ms
        if self._open is None or message.primary is None:
            return
        if self._timer.may_follow():
            yield effects.Send(recipient=message.primary, message=self._open)

    def _is_open(self) -> bool:
        return self.state in (ClaimState.ASKING, ClaimState.HELD)

    def _end_claim(self, state: ClaimState) -> None:
        if self._is_open():
            self.state = state
        if isinstance(self._open, messages.Claim):
            self._open = None

    def _ask(
        self, message: effects.Message, now_ms: int
    ) -> Iterator[effects.Effects]:
        self._open = message
        self._timer = retry.RetryTimer()
        yield from self._send(now_ms)

    def _send(self, now_ms: int) -> Iterator[effects.Effects]:
        self._timer.sent(now_ms)
        recipient = self._directory.recipient(self._place)
        if recipient is not None:
            yield effects.Send(recipient=recipient, message=self._open)

    def __repr__(self) -> str:
        return (
            f"ClaimRequest(key={self._call.key!r}, state={self.state.name}, "
            f"is_pending={self.is_pending})"
        )
