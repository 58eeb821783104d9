"""Steps after the end of a run: report, decision, settlement and bill."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from bambooglade.core import effects
from bambooglade.operations import calls
from bambooglade.operations import claim_request
from bambooglade.operations import messages
from bambooglade.operations import reservation as reservation_module
from bambooglade.operations import settlement_queue

BILL_WAIT_MS = 500
"""Longest time that a response waits for its bill.

After it, report and settlement continue in the background.
"""

MAX_REPEATABLE_RESPONSE_BYTES = 4_096
"""Longer responses of repeatable calls are not stored at the arbiter."""

_FINAL = (messages.Decision.BILLED, messages.Decision.VOIDED)


class RunSettlement:
    """Settles one run after the arbiter has decided on its bill.

    A call that is not safe to repeat has only one run, so it is settled without
    waiting for the arbiter. If its outcome is unknown, its upper bound stays
    reserved until the outcome is reported to the arbiter.

    Args:
        call: The call.
        run_end: How the run ended.
        finished_at_ms: End of the run; milliseconds since the epoch.
        claim: The claim of the attempt.
        reservation: The reservation for the run.
        queue: The settlement queue of the instance.

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
        """Whether the decision or a settlement has not been acknowledged."""
        return (
            self._claim.is_pending
            or not self._reservation.is_settled
            or self._queue.is_pending(self._reservation.reservation_id)
        )

    @property
    def has_nothing_to_bill(self) -> bool:
        """Whether the run cost nothing, so that a retry may run it again."""
        if self.run_end.result is calls.RunResult.NOT_RUN:
            return True
        return (
            self._call.repeatable
            and self.run_end.result is calls.RunResult.UNKNOWN
            and self.run_end.spent_tokens == 0
        )

    @property
    def is_unresolved(self) -> bool:
        """Whether only an operator can determine the outcome."""
        return (
            not self._call.repeatable
            and self.run_end.result is calls.RunResult.UNKNOWN
            and self._claim.decision is messages.Decision.PENDING
        )

    def start(self, now_ms: int) -> Iterator[effects.Effects]:
        """Reports the run, and settles it if that requires no decision."""
        if self.has_nothing_to_bill:
            yield from self._reservation.settle(0, now_ms)
            if not self._was_billed_before():
                yield from self._claim.withdraw(now_ms)
            return
        if self._is_covered_by_earlier_bill():
            yield from self._reservation.settle(0, now_ms)
            return
        yield from self._claim.report(self._reported_run_end(), now_ms)
        if self._call.repeatable:
            yield from self._reservation.reduce(self.run_end.spent_tokens)
        elif self.run_end.result is calls.RunResult.FINISHED:
            yield from self._reservation.settle(
                self.run_end.spent_tokens, now_ms
            )

    def advance(self, now_ms: int) -> Iterator[effects.Effects]:
        """Settles the run if the arbiter has decided on it."""
        if self._claim.decision in _FINAL:
            yield from self._reservation.settle(
                self._claim.recorded.spent_tokens, now_ms
            )

    def is_bill_due(self, now_ms: int) -> bool:
        """Returns whether the bill is settled or its wait time is over."""
        waited_ms = now_ms - self._finished_at_ms
        return not self.is_pending or waited_ms >= BILL_WAIT_MS

    def bill(self) -> calls.Bill:
        """Returns the bill according to the decisions received so far."""
        decision = self._claim.decision
        voided = (
            self._is_covered_by_earlier_bill()
            or decision is messages.Decision.VOIDED
        )
        spent_tokens = self.run_end.spent_tokens
        if decision in _FINAL:
            spent_tokens = self._claim.recorded.spent_tokens
        return calls.Bill(
            key=self._call.key,
            spent_tokens=0
            if voided or self.has_nothing_to_bill
            else spent_tokens,
            voided=voided,
            undecided=not self._reservation.is_settled,
        )

    def _reported_run_end(self) -> calls.RunEnd:
        """Returns the run end to report, without a long repeatable response.

        A retry can run a repeatable call again instead.
        """
        response = self.run_end.answer
        if not self._call.repeatable or response is None:
            return self.run_end
        if len(response.body) <= MAX_REPEATABLE_RESPONSE_BYTES:
            return self.run_end
        return msgspec.structs.replace(self.run_end, answer=None)

    def _was_billed_before(self) -> bool:
        return self._claim.state is claim_request.ClaimState.FINISHED

    def _is_covered_by_earlier_bill(self) -> bool:
        """Whether an earlier bill of the key covers the tokens of this run."""
        return (
            self._was_billed_before()
            and self.run_end.spent_tokens <= self._claim.finished.spent_tokens
        )

    def __repr__(self) -> str:
        return (
            f"RunSettlement(key={self._call.key!r}, "
            f"result={self.run_end.result.value}, pending={self.is_pending})"
        )
