"""State machine of one call at its entry instance.

See Also:
    bambooglade.operations.coordinator: manages the operations of an instance.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import enum

from bambooglade.budgets import messages as budget_messages
from bambooglade.core import effects
from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.operations import claim_request
from bambooglade.operations import messages
from bambooglade.operations import refusals
from bambooglade.operations import reservation as reservation_module
from bambooglade.operations import run_settlement
from bambooglade.operations import settlement_queue
from bambooglade.operations import shard_locator as locator_module

CLAIM_TIMEOUT_MS = 5_000
"""Time that a call waits for its arbiter; longer than a promotion takes."""

NO_BACKUP_TIMEOUT_MS = 3_000
"""Time that a call waits for an unconfirmed arbiter without a backup."""

BACKGROUND_CLAIM_WAIT_MS = 100
"""Time that a repeatable call waits for a report of an earlier call."""

REPLY_MARGIN_MS = 50
"""Margin before the deadline, so that a refusal reaches the caller in time."""

_State = claim_request.ClaimState


class Phase(enum.Enum):
    """Progress of an operation.

    `ADMITTING`: waits for its claim and reservation. `RUNNING`: permitted.
    `SETTLING`: the run has ended, but the bill has not been reported.
    `ENDED`: the call has its final result.
    """

    ADMITTING = "admitting"
    RUNNING = "running"
    SETTLING = "settling"
    ENDED = "ended"


class Operation:
    """Claims, reserves, permits and settles one call.

    It yields exactly one of `Permit`, `Refuse` and `Replay`, and one `Billed`
    after the run of a permitted call.

    Args:
        call: The call.
        instance_id: Id of this instance.
        next_attempt_number: Returns the next attempt number of the instance.
        begun_at_ms: Start of the attempt; milliseconds since the epoch.
        locator: Locates primaries and arbiters.
        queue: Sends the settlements.
        ran_before: Whether an earlier attempt of this instance ran the key.

    Attributes:
        call: The call.
        claim: The claim of this attempt.
        phase: Progress of the operation.
        reservation: The reservation, if any.
        settlement: The settlement of the run; None until the run has ended.
    """

    __slots__ = (
        "_begun_at_ms",
        "_instance_id",
        "_locator",
        "_next_attempt_number",
        "_queue",
        "_ran_before",
        "call",
        "claim",
        "phase",
        "reservation",
        "settlement",
    )

    def __init__(
        self,
        *,
        call: calls.Call,
        instance_id: identifiers.InstanceId,
        next_attempt_number: Callable[[], int],
        begun_at_ms: int,
        locator: locator_module.ShardLocator,
        queue: settlement_queue.SettlementQueue,
        ran_before: bool = False,
    ) -> None:
        self._begun_at_ms = begun_at_ms
        self._locator = locator
        self._instance_id = instance_id
        self._next_attempt_number = next_attempt_number
        self._queue = queue
        self._ran_before = ran_before
        self.call = call
        self.phase = Phase.ADMITTING
        self.settlement: run_settlement.RunSettlement | None = None
        self.reservation: reservation_module.Reservation | None = None
        self.claim = claim_request.ClaimRequest(
            call=call,
            attempt=messages.Attempt(
                entry=instance_id, number=next_attempt_number()
            ),
            begun_at_ms=begun_at_ms,
            locator=locator,
        )

    @property
    def run_end(self) -> calls.RunEnd | None:
        """How the run ended; None while it has not."""
        return self.settlement.run_end if self.settlement else None

    @property
    def is_pending(self) -> bool:
        """Whether a claim, report or settlement has not been acknowledged."""
        if self.settlement is not None:
            return self.settlement.is_pending
        return self.claim.is_pending

    @property
    def is_unresolved(self) -> bool:
        """Whether the arbiter recorded the outcome of the run as unknown."""
        return self.settlement is not None and self.settlement.is_unresolved

    def start(self, now_ms: int) -> Iterator[effects.Effects]:
        """Requests the claim; a repeatable call reserves at the same time."""
        yield from self.claim.start(now_ms)
        if self.call.repeatable:
            yield from self._reserve(now_ms)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Resends messages that are due, and applies time-outs."""
        is_held_run = (
            self.phase is Phase.RUNNING and self.claim.state is _State.HELD
        )
        if not is_held_run:
            yield from self.claim.tick(now_ms)
        if self.phase is Phase.ADMITTING and self.reservation is not None:
            yield from self.reservation.tick(now_ms)
        yield from self.advance(now_ms)

    def advance(self, now_ms: int) -> Iterator[effects.Effects]:
        """Advances as far as the received responses allow."""
        if self.phase is Phase.ADMITTING:
            yield from self._advance_admission(now_ms)
        elif self.settlement is not None:
            yield from self._advance_settlement(now_ms)

    def matches(self, message: effects.Message) -> bool:
        """Returns whether a response belongs to this attempt."""
        if isinstance(message, messages.ArbiterMisdirected):
            return True
        attempt = getattr(message, "attempt", None)
        if attempt is not None:
            return attempt == self.claim.attempt
        reservation_id = getattr(message, "reservation_id", None)
        return (
            self.reservation is not None
            and self.reservation.reservation_id == reservation_id
        )

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Handles a response that belongs to this attempt."""
        if isinstance(message, messages.TO_ENTRY):
            yield from self.claim.handle(message, now_ms)
        else:
            yield from self.reservation.handle(message, sender, now_ms)
        yield from self.advance(now_ms)

    def cancel(self, now_ms: int) -> Iterator[effects.Effects]:
        """Refuses a call that is not permitted yet; its caller is gone."""
        if self.phase is Phase.ADMITTING:
            yield from self._refuse(
                failures.Unavailable(
                    detail="The call was cancelled before it was dispatched."
                ),
                now_ms,
            )

    def finish(
        self, run_end: calls.RunEnd, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Reports and settles a run that has ended."""
        if self.phase is not Phase.RUNNING:
            return
        self.phase = Phase.SETTLING
        self.settlement = run_settlement.RunSettlement(
            call=self.call,
            run_end=run_end,
            finished_at_ms=now_ms,
            claim=self.claim,
            reservation=self.reservation,
            queue=self._queue,
        )
        yield from self.settlement.start(now_ms)
        yield from self._advance_settlement(now_ms)

    def _advance_admission(self, now_ms: int) -> Iterator[effects.Effects]:
        match self.claim.state:
            case _State.REQUESTED:
                yield from self._advance_requested(now_ms)
            case _State.GRANTED:
                yield from self._advance_reservation(now_ms)
            case _State.HELD:
                yield from self._advance_held(now_ms)
            case _State.FINISHED:
                yield from self._advance_finished(now_ms)
            case _State.REFUSED:
                yield from self._refuse(
                    refusals.claim_failure(self.claim.refused), now_ms
                )

    def _advance_requested(self, now_ms: int) -> Iterator[effects.Effects]:
        needs_claim = not self.call.repeatable or self._is_reservation_refused()
        if needs_claim and now_ms >= self._claim_deadline_ms():
            yield from self._refuse(self._claim_missing_failure(), now_ms)
            return
        if not self.call.repeatable:
            return
        waited_ms = now_ms - self._begun_at_ms
        if self.call.first_attempt or (
            waited_ms >= BACKGROUND_CLAIM_WAIT_MS
            and not self._is_reservation_refused()
        ):
            yield from self._advance_reservation(now_ms)

    def _advance_reservation(self, now_ms: int) -> Iterator[effects.Effects]:
        if self.reservation is None:
            yield from self._reserve(now_ms)
        if self.reservation.refused is not None:
            failure = refusals.reservation_failure(self.reservation.refused)
            yield from self._refuse(failure, now_ms)
        elif self.reservation.is_complete:
            self.phase = Phase.RUNNING
            yield calls.Permit(key=self.call.key, call_id=self.call.call_id)
        elif self._is_too_late(now_ms):
            yield from self._refuse(
                failures.DeadlineTooClose(
                    detail="The accounts did not respond in time.",
                    retry_after_ms=refusals.RETRY_AFTER_MS,
                ),
                now_ms,
            )

    def _advance_held(self, now_ms: int) -> Iterator[effects.Effects]:
        is_holder_suspected = self._locator.is_suspected(self.claim.holder)
        if is_holder_suspected and self.call.repeatable:
            yield from self._advance_reservation(now_ms)
            return
        if is_holder_suspected or self._is_too_late(now_ms):
            yield from self._refuse(self._held_elsewhere_failure(), now_ms)
            return
        if self.reservation is not None:
            yield from self._release(now_ms)

    def _advance_finished(self, now_ms: int) -> Iterator[effects.Effects]:
        finished = self.claim.finished
        if finished.answer is not None:
            yield from self._replay(finished.answer, finished, now_ms)
        elif self.call.repeatable:
            yield from self._advance_reservation(now_ms)
        else:
            yield from self._refuse(
                _response_not_stored_failure(finished), now_ms
            )

    def _reserve(self, now_ms: int) -> Iterator[effects.Effects]:
        self.reservation = reservation_module.Reservation(
            reservation_id=budget_messages.ReservationId(
                key=self.call.key,
                entry=self._instance_id,
                attempt=self._next_attempt_number(),
            ),
            draws=self.call.draws,
            deadline_ms=self.call.admission_deadline_ms - REPLY_MARGIN_MS,
            locator=self._locator,
            queue=self._queue,
        )
        yield from self.reservation.start(now_ms)

    def _release(self, now_ms: int) -> Iterator[effects.Effects]:
        released, self.reservation = self.reservation, None
        if released is not None:
            yield from released.settle(0, now_ms)

    def _refuse(
        self, failure: failures.Failure, now_ms: int
    ) -> Iterator[effects.Effects]:
        state = self.claim.state
        key_never_ran = not self._ran_before and (
            self.call.first_attempt
            or self._is_earlier_run_ruled_out()
            or state is _State.REFUSED
        )
        self.phase = Phase.ENDED
        yield calls.Refuse(
            key=self.call.key,
            failure=refusals.undispatched_failure(
                failure, key_never_ran=key_never_ran
            ),
            call_id=self.call.call_id,
        )
        yield from self._release(now_ms)
        if state not in (_State.FINISHED, _State.REFUSED):
            yield from self.claim.withdraw(now_ms)

    def _is_earlier_run_ruled_out(self) -> bool:
        """Whether the arbiter's response rules out earlier runs of the key.

        For a repeatable call it does not, since another entry may run it before
        the claim is granted.
        """
        return self.claim.never_ran and not self.call.repeatable

    def _replay(
        self,
        response: calls.StoredResponse,
        finished: messages.ClaimFinished,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        self.phase = Phase.ENDED
        yield make_replay(self.call, response, finished.spent_tokens)
        yield from self._release(now_ms)

    def _claim_missing_failure(self) -> failures.Failure:
        if self._is_reservation_refused():
            return refusals.reservation_failure(self.reservation.refused)
        return failures.ClaimUnavailable(
            detail=self.claim.no_backup_detail
            or "The arbiter of the key did not respond in time.",
            retry_after_ms=refusals.RETRY_AFTER_MS,
        )

    def _held_elsewhere_failure(self) -> failures.Failure:
        return failures.OutcomeUnknown(
            detail=(
                f"Instance {self.claim.holder} holds the claim of the key and "
                "has not reported the end of its run."
            ),
            retry_after_ms=refusals.RETRY_AFTER_MS,
        )

    def _claim_deadline_ms(self) -> int:
        wait_ms = (
            NO_BACKUP_TIMEOUT_MS
            if self.claim.no_backup_detail
            else CLAIM_TIMEOUT_MS
        )
        return min(
            self._begun_at_ms + wait_ms,
            self.call.admission_deadline_ms - REPLY_MARGIN_MS,
        )

    def _is_too_late(self, now_ms: int) -> bool:
        return now_ms >= self.call.admission_deadline_ms - REPLY_MARGIN_MS

    def _advance_settlement(self, now_ms: int) -> Iterator[effects.Effects]:
        yield from self.settlement.advance(now_ms)
        if self.phase is Phase.SETTLING and self.settlement.is_bill_due(now_ms):
            self.phase = Phase.ENDED
            yield calls.Billed(
                key=self.call.key,
                bill=self.settlement.bill(),
                call_id=self.call.call_id,
            )

    def _is_reservation_refused(self) -> bool:
        return (
            self.reservation is not None
            and self.reservation.refused is not None
        )

    def __repr__(self) -> str:
        return (
            f"Operation(key={self.call.key!r}, phase={self.phase.name}, "
            f"claim={self.claim.state.name})"
        )


def make_replay(
    call: calls.Call, response: calls.StoredResponse, spent_tokens: int
) -> calls.Replay:
    """Returns the effect that ends a call with a stored response."""
    return calls.Replay(
        key=call.key,
        response=response,
        bill=calls.Bill(key=call.key, spent_tokens=spent_tokens),
        call_id=call.call_id,
    )


def _response_not_stored_failure(
    finished: messages.ClaimFinished,
) -> failures.Failure:
    return failures.OutcomeUnknown(
        detail=(
            f"The request finished and was billed {finished.spent_tokens} "
            "tokens, but its response is not stored."
        )
    )
