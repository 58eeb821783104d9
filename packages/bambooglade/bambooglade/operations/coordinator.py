"""Coordinates the calls of an entry instance from admission to bill."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import functools
import itertools

from bambooglade.budgets import messages as budget_messages
from bambooglade.core import effects
from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.operations import calls
from bambooglade.operations import look_ups
from bambooglade.operations import messages
from bambooglade.operations import operation as operation_module
from bambooglade.operations import refusals
from bambooglade.operations import reservation
from bambooglade.operations import settlement_queue
from bambooglade.operations import shard_locator as locator_module
from bambooglade.shards import assignments

MAX_ENDED_PER_TICK = 200
"""Ended calls with unacknowledged messages that are advanced per tick."""

_Phase = operation_module.Phase
_BUDGET_MESSAGES = (
    budget_messages.Reserved,
    budget_messages.ReserveRefused,
    budget_messages.Settled,
    budget_messages.SettleMisdirected,
)


class Coordinator:
    """Manages the operations of one entry instance.

    Each call passed to `begin` yields exactly one of `Permit`, `Refuse` and
    `Replay`; each permitted call passed to `finish` yields one `Billed`. Claims
    and settlements that are not acknowledged by then continue in the
    background.

    Args:
        instance_id: Id of this instance.
        availability_zone: Availability zone of this instance.
        arbiter_zones: All availability zones in the settings.
        shard_count: Number of shards of the deployment.
        assignment_map: The latest known primaries and backups of the shards.
        fleet: Membership view of the instances.

    Examples:
        >>> zone = identifiers.AvailabilityZone("scot-a")
        >>> Coordinator(instance_id=identifiers.InstanceId("i1"),
        ...     availability_zone=zone, arbiter_zones=(zone,), shard_count=4,
        ...     assignment_map=assignments.AssignmentMap(),
        ...     fleet=view.FixedFleet({}))
        Coordinator(active=0, pending=0)

    See Also:
        bambooglade.operations.operation: the state machine of one call.
        bambooglade.operations.claim_registry: the arbiter of the keys.
    """

    message_types = (*_BUDGET_MESSAGES, *messages.TO_ENTRY)
    document_prefixes: tuple[str, ...] = ()

    def __init__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        availability_zone: identifiers.AvailabilityZone,
        arbiter_zones: tuple[identifiers.AvailabilityZone, ...],
        shard_count: int,
        assignment_map: assignments.AssignmentMap,
        fleet: view.FleetView,
    ) -> None:
        self._instance_id = instance_id
        self._locator = locator_module.ShardLocator(
            availability_zone=availability_zone,
            arbiter_zones=arbiter_zones,
            shard_count=shard_count,
            assignment_map=assignment_map,
            fleet=fleet,
        )
        self._queue = settlement_queue.SettlementQueue(locator=self._locator)
        self._look_ups = look_ups.PendingLookUps(locator=self._locator)
        self._attempt_numbers = itertools.count(1)
        self._active_by_key: dict[
            identifiers.RequestKey, operation_module.Operation
        ] = {}
        self._by_key: dict[
            identifiers.RequestKey, list[operation_module.Operation]
        ] = {}
        self._unended_by_attempt_number: dict[
            int, operation_module.Operation
        ] = {}
        self._ended_pending: collections.deque[operation_module.Operation] = (
            collections.deque()
        )
        self._waiting_by_key: dict[
            identifiers.RequestKey, list[calls.Call]
        ] = {}

    def begin(self, call: calls.Call, now_ms: int) -> Iterator[effects.Effects]:
        """Starts a call, or queues it behind a call with the same key."""
        active = self._active_by_key.get(call.key)
        if active is None:
            yield from self._start(call, now_ms)
        elif active.call.fingerprint != call.fingerprint:
            yield _key_reused_refusal(call)
        elif active.phase is _Phase.ENDED:
            yield from self._respond_after_run(active, call, now_ms)
        else:
            self._waiting_by_key.setdefault(call.key, []).append(call)

    def finish(
        self,
        key: identifiers.RequestKey,
        run_end: calls.RunEnd,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Reports and settles the finished run of a permitted call."""
        active = self._active_by_key.get(key)
        if active is not None:
            yield from active.finish(run_end, now_ms)
            yield from self._clean_up(active, now_ms)

    def cancel(
        self,
        key: identifiers.RequestKey,
        now_ms: int,
        call_id: str = "",
    ) -> Iterator[effects.Effects]:
        """Cancels a call that is not permitted yet; it is refused.

        A permitted call is ended with `finish`, even if its run is cut short.
        """
        waiting = self._waiting_by_key.get(key, [])
        for call in [call for call in waiting if call.call_id == call_id]:
            waiting.remove(call)
            yield _in_progress_refusal(call)
            return
        active = self._active_by_key.get(key)
        if active is not None and active.call.call_id == call_id:
            yield from active.cancel(now_ms)
            yield from self._clean_up(active, now_ms)

    def look_up(
        self, key: identifiers.RequestKey, look_up_id: str, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Requests the recorded state of a key from its arbiter.

        The result is yielded later, as one `look_ups.OutcomeFound` or
        `look_ups.OutcomeUnavailable`.
        """
        yield from self._look_ups.start(key, look_up_id, now_ms)

    def resolve(
        self, message: messages.ResolveOutcome, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Sets the outcome that an operator determined for a key.

        The result is yielded as for `look_up`.
        """
        yield from self._look_ups.resolve(message, now_ms)

    def pending_settlement_count(self) -> int:
        """Returns the number of unacknowledged settlements and claims.

        A planned shutdown waits until it is 0, up to a time limit. Runs without
        an outcome are not counted, since only an operator can resolve them.
        """
        return len(self._queue) + sum(
            operation.is_pending and not operation.is_unresolved
            for operation in self._operations()
        )

    def active_call_count(self) -> int:
        """Returns the number of calls that have not ended yet."""
        return sum(
            operation.phase is not _Phase.ENDED
            for operation in self._active_by_key.values()
        ) + sum(len(waiting) for waiting in self._waiting_by_key.values())

    def document_answered(
        self, answer: effects.DocumentAnswer, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Does nothing, since calls do not read the platform's service."""
        del answer, now_ms
        yield from ()

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Resends messages that are due, and ends calls that timed out."""
        for operation in list(self._unended_by_attempt_number.values()):
            yield from operation.tick(now_ms)
            yield from self._clean_up(operation, now_ms)
        yield from self._tick_ended(now_ms)
        yield from self._queue.tick(now_ms)
        yield from self._look_ups.tick(now_ms)
        yield from self._refuse_expired_waiting(now_ms)

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Handles a response of an account or of an arbiter."""
        yield from self._queue.handle(message, sender, now_ms)
        yield from self._look_ups.handle(message, sender, now_ms)
        matching = [
            operation
            for operation in self._by_key.get(_key_of(message), ())
            if operation.matches(message)
        ]
        for operation in matching:
            yield from operation.handle(message, sender, now_ms)
            yield from self._clean_up(operation, now_ms)
        if not matching and isinstance(message, budget_messages.Reserved):
            yield from self._release_unmatched(message, now_ms)

    def _release_unmatched(
        self, message: budget_messages.Reserved, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Releases a late reservation that matches no operation."""
        bound_tokens = next(
            (
                draw.bound_tokens
                for operation in self._by_key.get(_key_of(message), ())
                for draw in operation.call.draws
                if draw.budget_id == message.budget_id
            ),
            0,
        )
        yield from self._queue.add(
            reservation.release_settlement(message, bound_tokens),
            message.availability_zone,
            now_ms,
        )

    def _tick_ended(self, now_ms: int) -> Iterator[effects.Effects]:
        """Advances ended calls, a bounded number per call.

        There may be many of them while a zone is unreachable.
        """
        for _ in range(min(len(self._ended_pending), MAX_ENDED_PER_TICK)):
            operation = self._ended_pending.popleft()
            yield from operation.tick(now_ms)
            if operation.is_pending:
                self._ended_pending.append(operation)
            else:
                self._remove(operation)

    def _operations(self) -> Iterator[operation_module.Operation]:
        return itertools.chain.from_iterable(self._by_key.values())

    def _start(
        self, call: calls.Call, now_ms: int, *, ran_before: bool = False
    ) -> Iterator[effects.Effects]:
        operation = operation_module.Operation(
            call=call,
            instance_id=self._instance_id,
            next_attempt_number=functools.partial(next, self._attempt_numbers),
            begun_at_ms=now_ms,
            locator=self._locator,
            queue=self._queue,
            ran_before=ran_before,
        )
        self._unended_by_attempt_number[operation.claim.attempt.number] = (
            operation
        )
        self._active_by_key[call.key] = operation
        self._by_key.setdefault(call.key, []).append(operation)
        yield from operation.start(now_ms)
        yield from operation.advance(now_ms)
        yield from self._clean_up(operation, now_ms)

    def _respond_after_run(
        self,
        ended: operation_module.Operation,
        call: calls.Call,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Handles a call after an operation with the same key ended here."""
        run_end = ended.run_end
        if run_end is None or ended.settlement.has_nothing_to_bill:
            yield from self._start(call, now_ms)
        elif run_end.answer is not None:
            yield operation_module.make_replay(
                call, run_end.answer, ended.settlement.bill().spent_tokens
            )
        elif call.repeatable:
            yield from self._start(call, now_ms, ran_before=True)
        else:
            yield _no_response_refusal(call, run_end)

    def _clean_up(
        self, operation: operation_module.Operation, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Resumes calls that wait for an ended operation, and removes it."""
        if operation.phase is not _Phase.ENDED:
            return
        number = operation.claim.attempt.number
        if (
            self._unended_by_attempt_number.pop(number, None)
            and operation.is_pending
        ):
            self._ended_pending.append(operation)
        key = operation.call.key
        if self._active_by_key.get(key) is operation:
            waiting = self._waiting_by_key.pop(key, [])
            if not operation.is_pending:
                del self._active_by_key[key]
            for call in waiting:
                yield from self._resume_waiting_call(operation, call, now_ms)
        if not operation.is_pending:
            self._remove(operation)

    def _resume_waiting_call(
        self,
        ended: operation_module.Operation,
        call: calls.Call,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        if self._active_by_key.get(call.key) in (None, ended):
            yield from self._respond_after_run(ended, call, now_ms)
        else:
            yield from self.begin(call, now_ms)

    def _remove(self, operation: operation_module.Operation) -> None:
        key = operation.call.key
        if self._active_by_key.get(key) is operation:
            del self._active_by_key[key]
        operations = self._by_key.get(key, [])
        if operation in operations:
            operations.remove(operation)
        if not operations:
            self._by_key.pop(key, None)

    def _refuse_expired_waiting(self, now_ms: int) -> Iterator[effects.Effects]:
        for key, waiting in list(self._waiting_by_key.items()):
            late = [
                call
                for call in waiting
                if now_ms
                >= call.admission_deadline_ms - operation_module.REPLY_MARGIN_MS
            ]
            for call in late:
                waiting.remove(call)
                yield _in_progress_refusal(call)
            if not waiting:
                del self._waiting_by_key[key]

    def __repr__(self) -> str:
        return (
            f"Coordinator(active={self.active_call_count()}, "
            f"pending={self.pending_settlement_count()})"
        )


def _key_of(message: effects.Message) -> identifiers.RequestKey:
    if isinstance(message, _BUDGET_MESSAGES):
        return message.reservation_id.key
    return message.key


def _key_reused_refusal(call: calls.Call) -> calls.Refuse:
    failure = failures.KeyReused(
        detail=f"Key {call.key} is in use for a different request here."
    )
    return calls.Refuse(key=call.key, failure=failure, call_id=call.call_id)


def _in_progress_refusal(call: calls.Call) -> calls.Refuse:
    failure = failures.OutcomeUnknown(
        detail=f"Another call with key {call.key} is in progress here.",
        retry_after_ms=refusals.RETRY_AFTER_MS,
    )
    return calls.Refuse(key=call.key, failure=failure, call_id=call.call_id)


def _no_response_refusal(
    call: calls.Call, run_end: calls.RunEnd
) -> calls.Refuse:
    failure = failures.OutcomeUnknown(
        detail=(
            f"The request ended as {run_end.result.value} on this instance, "
            "and its response is not stored."
        )
    )
    return calls.Refuse(key=call.key, failure=failure, call_id=call.call_id)
