"""What follows the end of a run: report, decision, settlement, bill."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from bambooglade.core import effects
from bambooglade.operations import calls
from bambooglade.operations import claim_request
from bambooglade.operations import messages
from bambooglade.operations import reservation as reservation_module
from bambooglade.operations import settlement_queue

FINISH_WAIT_MS = 500
"""How long an answer waits for its bill; the rest goes on behind it."""

MAX_REPEATABLE_ANSWER_BYTES = 4_096
"""Longer answers of repeatable calls are not kept at the arbiter."""

_FINAL = (messages.Decision.BILLED, messages.Decision.VOIDED)


class Closing:
    """Settles one run, once the arbiter decided who is billed.

    A call that may not be repeated has only one run, so that it settles before
    the arbiter's answer. If its outcome is unknown, its bound stays reserved
    until the arbiter learns the outcome.

    Args:
        call: The call.
        run_end: How the run ended.
        finished_at_ms: The time; milliseconds since the epoch.
        claim: The claim of the attempt.
        reservation: What was reserved for the run.
        queue: The settlements of the instance.

    Attributes:
        run_end: How the run ended.
    """

    __slots__ = (
        "_call",
        "_claim",
        "_finished_at_ms",
        "_queue",
        "_reservation",
        "run_end",
    )

    def __init__(
        self,
        *,
        call: calls.Call,
        run_end: calls.RunEnd,
        finished_at_ms: int,
        claim: claim_request.ClaimRequest,
        reservation: reservation_module.Reservation,
        queue: settlement_queue.SettlementQueue,
    ) -> None:
        self._call = call
        self._finished_at_ms = finished_at_ms
        self._claim = claim
        self._reservation = reservation
        self._queue = queue
        self.run_end = run_end

    @property
    def is_pending(self) -> bool:
        """Whether the decision or the settlement is still outstanding."""
        return (
            self._claim.is_pending
            or not self._reservation.is_settled
            or self._queue.is_pending(self._reservation.reservation_id)
        )

    @property
    def is_without_run(self) -> bool:
        """Whether there is nothing to bill, and a retry may run anew."""
        if self.run_end.result is calls.RunResult.NOT_RUN:
            return True
        return (
            self._call.repeatable
            and self.run_end.result is calls.RunResult.UNKNOWN
            and self.run_end.spent_tokens == 0
        )

    @property
    def is_unresolved(self) -> bool:
        """Whether only an operator can tell the outcome."""
        return (
            not self._call.repeatable
            and self.run_end.result is calls.RunResult.UNKNOWN
            and self._claim.decision is messages.Decision.PENDING
        )

    def start(self, now_ms: int) -> Iterator[effects.Effects]:
        """Reports the run, and settles what needs no decision."""
        if self.is_without_run:
            yield from self._reservation.settle(0, now_ms)
            if not self._was_billed_before():
                yield from self._claim.withdraw(now_ms)
            return
        if self._is_covered():
            yield from self._reservation.settle(0, now_ms)
            return
        yield from self._claim.report(self._end_to_report(), now_ms)
        if self._call.repeatable:
            yield from self._reservation.reduce(self.run_end.spent_tokens)
        elif self.run_end.result is calls.RunResult.FINISHED:
            yield from self._reservation.settle(
                self.run_end.spent_tokens, now_ms
            )

    def advance(self, now_ms: int) -> Iterator[effects.Effects]:
        """Settles once the arbiter decided."""
        if self._claim.decision in _FINAL:
            yield from self._reservation.settle(
                self._claim.recorded.spent_tokens, now_ms
            )

    def is_done(self, now_ms: int) -> bool:
        """Returns whether the caller need not wait any longer."""
        waited_ms = now_ms - self._finished_at_ms
        return not self.is_pending or waited_ms >= FINISH_WAIT_MS

    def bill(self) -> calls.Bill:
        """Returns the bill as far as it is known."""
        decision = self._claim.decision
        voided = self._is_covered() or decision is messages.Decision.VOIDED
        spent_tokens = self.run_end.spent_tokens
        if decision in _FINAL:
            spent_tokens = self._claim.recorded.spent_tokens
        return calls.Bill(
            key=self._call.key,
            spent_tokens=0 if voided or self.is_without_run else spent_tokens,
            voided=voided,
            undecided=not self._reservation.is_settled,
        )

    def _end_to_report(self) -> calls.RunEnd:
        """Leaves a long answer out where a retry may run again instead."""
        answer = self.run_end.answer
        if not self._call.repeatable or answer is None:
            return self.run_end
        if len(answer.body) <= MAX_REPEATABLE_ANSWER_BYTES:
            return self.run_end
        return msgspec.structs.replace(self.run_end, answer=None)

    def _was_billed_before(self) -> bool:
        return self._claim.state is claim_request.ClaimState.FINISHED

    def _is_covered(self) -> bool:
        """Whether an earlier bill of the key covers what this run delivered."""
        return (
            self._was_billed_before()
            and self.run_end.spent_tokens <= self._claim.finished.spent_tokens
        )

    def __repr__(self) -> str:
        return (
            f"Closing(key={self._call.key!r}, "
            f"result={self.run_end.result.value}, pending={self.is_pending})"
        )
