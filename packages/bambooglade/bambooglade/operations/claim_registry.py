"""The arbiter of idempotency keys: grants claims and decides on bills.

A call that is not safe to repeat is granted to a single attempt, and the grant
is sent only after the backup has a copy of it. A repeatable call is granted in
the same way, but its entry may run it without waiting for the grant. The
arbiter bills the first run reported by the holder, or by any entry once the
holder's claim has expired.
"""

from __future__ import annotations

from collections.abc import Iterator
import functools
import heapq

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.operations import bill_decision
from bambooglade.operations import claim_record
from bambooglade.operations import claim_replies
from bambooglade.operations import messages
from bambooglade.operations import retention as retention_module
from bambooglade.shards import assignments
from bambooglade.shards import registry

MAX_EVICTED_PER_TICK = 500

_State = claim_record.RecordState


class ClaimRegistry(registry.RecordRegistry):
    """The claims of one shard in one availability zone.

    Args:
        retention: Retention periods of the records.

    Examples:
        >>> ClaimRegistry(retention=retention_module.Retention())
        ClaimRegistry(records=0)

    See Also:
        bambooglade.operations.claim_request: the client at the entry instance.
    """

    def __init__(self, *, retention: retention_module.Retention) -> None:
        self._retention = retention
        self._history_lost_at_ms: int | None = None
        self._by_key: dict[str, claim_record.ClaimRecord] = {}
        self._eviction_queue: list[tuple[int, str]] = []

    @functools.singledispatchmethod
    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Handles a message of an entry instance."""
        raise TypeError(
            f"message is a {type(message).__name__}; pass one of "
            "messages.TO_ARBITER"
        )

    @handle.register
    def _(
        self,
        message: messages.Claim,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        record = self._current_record(message.key, now_ms) or self._new_record(
            message.key, repeatable=message.repeatable, now_ms=now_ms
        )
        if record.is_withdrawn(message.attempt):
            return
        if record.is_stale_attempt(message.attempt):
            return
        if record.fingerprint not in ("", message.fingerprint):
            yield claim_replies.refusal(
                message,
                sender,
                messages.ClaimRefusal.KEY_REUSED,
                f"Key {message.key} was used for a different request.",
            )
            return
        yield from self._handle_claim(record, message, sender, now_ms)

    @handle.register
    def _(
        self,
        message: messages.Withdraw,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        record = self._by_key.get(message.key) or self._new_record(
            message.key, repeatable=False, now_ms=now_ms
        )
        if not record.is_withdrawn(message.attempt):
            yield from self._update(
                record.with_withdrawal(message.attempt), now_ms
            )
        yield claim_replies.send_after_replication(
            sender,
            messages.Withdrawn(key=message.key, attempt=message.attempt),
        )

    @handle.register
    def _(
        self,
        message: messages.ReportRun,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        record = self._by_key.get(message.key) or self._new_record(
            message.key, repeatable=message.repeatable, now_ms=now_ms
        )
        decision = bill_decision.decide(
            record,
            message,
            retention=self._retention,
            history_lost_at_ms=self._history_lost_at_ms,
            now_ms=now_ms,
        )
        if bill_decision.needs_recording(record, message, decision):
            is_surcharge = (
                record.state is _State.FINISHED and message.repeatable
            )
            record = (
                record.with_surcharge(message)
                if is_surcharge
                else record.with_billed_run(message)
            )
            yield from self._update(record, now_ms)
        yield claim_replies.send_after_replication(
            sender, claim_replies.run_recorded(record, message, decision)
        )

    @handle.register
    def _(
        self,
        message: messages.ResolveOutcome,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        record = self._current_record(message.key, now_ms)
        if record is not None and record.state is _State.UNKNOWN:
            yield from self._update(
                msgspec.structs.replace(
                    record,
                    state=_State.FINISHED,
                    spent_tokens=message.spent_tokens,
                ),
                now_ms,
            )
        yield claim_replies.send_after_replication(
            sender, self._look_up_reply(message.key, message.look_up_id, now_ms)
        )

    @handle.register
    def _(
        self,
        message: messages.LookUp,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        yield claim_replies.send_after_replication(
            sender, self._look_up_reply(message.key, message.look_up_id, now_ms)
        )

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Evicts expired records and responses, a bounded number per call."""
        for _ in range(MAX_EVICTED_PER_TICK):
            if not self._eviction_queue or self._eviction_queue[0][0] > now_ms:
                return
            _, key = heapq.heappop(self._eviction_queue)
            yield from self._evict_if_expired(key, now_ms)

    def record(self, record_id: str) -> claim_record.ClaimRecord | None:
        """Returns the record of a key, or None when it was evicted."""
        return self._by_key.get(record_id)

    def records(self) -> Iterator[claim_record.ClaimRecord]:
        """Yields all records."""
        yield from list(self._by_key.values())

    def install(self, record: claim_record.ClaimRecord) -> None:
        """Installs a copied record unless a newer version is present."""
        known = self._by_key.get(record.record_id)
        if known is None or known.version < record.version:
            self._by_key[record.record_id] = record

    def evict(self, record_id: str) -> None:
        """Drops a copied record that the primary evicted."""
        self._by_key.pop(record_id, None)

    def promote(
        self, assignment: assignments.Assignment, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Becomes primary, and determines when records were last lost.

        A primary without a copy of the records stores the time at which it was
        notified of its promotion, in a separate record. The write that promoted
        it may have taken long, and the former primary may have granted claims
        in the meantime.
        """
        lost_at_ms = assignment.history_lost_at_ms
        recorded_loss = self._by_key.get(claim_record.HISTORY_RECORD_ID)
        if recorded_loss is not None:
            lost_at_ms = max(lost_at_ms or 0, recorded_loss.changed_at_ms)
        elif lost_at_ms is not None and assignment.inherited_epoch is None:
            lost_at_ms = max(lost_at_ms, now_ms)
            self._by_key[claim_record.HISTORY_RECORD_ID] = (
                claim_record.history_loss_record(lost_at_ms)
            )
            yield registry.RecordChanged(
                record_id=claim_record.HISTORY_RECORD_ID
            )
        self._history_lost_at_ms = lost_at_ms
        self._eviction_queue = [
            (self._eviction_time_ms(record), key)
            for key, record in self._by_key.items()
        ]
        heapq.heapify(self._eviction_queue)

    def _handle_claim(
        self,
        record: claim_record.ClaimRecord,
        claim: messages.Claim,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        match record.state:
            case _State.FINISHED:
                yield claim_replies.send_after_replication(
                    sender, claim_replies.finished(record, claim)
                )
            case _State.UNKNOWN:
                yield claim_replies.outcome_unknown(record, claim, sender)
            case _State.HELD if not record.is_superseded_by(claim.attempt):
                yield from self._claim_held_key(record, claim, sender, now_ms)
            case _:
                yield from self._grant_if_allowed(record, claim, sender, now_ms)

    def _claim_held_key(
        self,
        record: claim_record.ClaimRecord,
        claim: messages.Claim,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        if record.holder == claim.attempt:
            yield self._grant_reply(claim, sender)
        elif record.repeatable and record.is_expired(now_ms):
            yield from self._grant(record, claim, sender, now_ms)
        else:
            yield claim_replies.send_after_replication(
                sender,
                messages.ClaimHeld(
                    key=claim.key,
                    attempt=claim.attempt,
                    holder=record.holder.entry,
                ),
            )

    def _grant_if_allowed(
        self,
        record: claim_record.ClaimRecord,
        claim: messages.Claim,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        rejection = None
        if not claim.repeatable:
            rejection = self._retention.key_rejection(
                claim.key,
                now_ms=now_ms,
                history_lost_at_ms=(
                    None if claim.first_attempt else self._history_lost_at_ms
                ),
            )
        if rejection is None:
            yield from self._grant(record, claim, sender, now_ms)
        else:
            yield claim_replies.refusal(
                claim, sender, rejection.reason, rejection.detail
            )

    def _grant(
        self,
        record: claim_record.ClaimRecord,
        claim: messages.Claim,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        held = record.with_holder(
            claim,
            expires_at_ms=claim.deadline_ms + bill_decision.HOLDER_GRACE_MS,
        )
        yield from self._update(held, now_ms)
        yield self._grant_reply(claim, sender)

    def _grant_reply(
        self, claim: messages.Claim, sender: identifiers.InstanceId
    ) -> registry.AfterReplication:
        record = self._by_key[claim.key]
        first = claim.first_attempt or not self._retention.may_predate_loss(
            identifiers.created_at_ms(claim.key), self._history_lost_at_ms
        )
        return claim_replies.granted(
            claim,
            sender,
            first=first,
            never_ran=first and not record.may_have_run,
        )

    def _current_record(
        self, key: identifiers.RequestKey, now_ms: int
    ) -> claim_record.ClaimRecord | None:
        """Returns the record of a key.

        An expired claim of a call that is not safe to repeat is returned as
        `UNKNOWN`.
        """
        record = self._by_key.get(key)
        if record is None or record.repeatable or not record.is_expired(now_ms):
            return record
        return msgspec.structs.replace(record, state=_State.UNKNOWN)

    def _new_record(
        self, key: identifiers.RequestKey, *, repeatable: bool, now_ms: int
    ) -> claim_record.ClaimRecord:
        return claim_record.ClaimRecord(
            record_id=key,
            version=0,
            repeatable=repeatable,
            changed_at_ms=now_ms,
            evict_at_ms=0,
        )

    def _update(
        self, record: claim_record.ClaimRecord, now_ms: int
    ) -> Iterator[effects.Effects]:
        evict_at_ms = self._retention.evict_at_ms(
            record.record_id, repeatable=record.repeatable, now_ms=now_ms
        )
        self._store(
            msgspec.structs.replace(
                record,
                version=record.version + 1,
                changed_at_ms=now_ms,
                evict_at_ms=evict_at_ms,
            )
        )
        yield registry.RecordChanged(record_id=record.record_id)

    def _store(self, record: claim_record.ClaimRecord) -> None:
        self._by_key[record.record_id] = record
        heapq.heappush(
            self._eviction_queue,
            (self._eviction_time_ms(record), record.record_id),
        )

    def _eviction_time_ms(self, record: claim_record.ClaimRecord) -> int:
        """Returns when to evict the record, or only its stored response."""
        if record.repeatable and record.answer is not None:
            return record.changed_at_ms + self._retention.response_ms
        return record.evict_at_ms

    def _evict_if_expired(
        self, key: str, now_ms: int
    ) -> Iterator[effects.Effects]:
        record = self._by_key.get(key)
        if record is None or self._eviction_time_ms(record) > now_ms:
            return
        if record.evict_at_ms <= now_ms:
            del self._by_key[key]
        else:
            self._store(
                msgspec.structs.replace(
                    record, answer=None, version=record.version + 1
                )
            )
        yield registry.RecordChanged(record_id=key)

    def _look_up_reply(
        self, key: identifiers.RequestKey, look_up_id: str, now_ms: int
    ) -> messages.LookedUp:
        record = self._current_record(key, now_ms)
        if record is None:
            return messages.LookedUp(
                key=key,
                look_up_id=look_up_id,
                state=self._state_without_record(key),
            )
        return messages.LookedUp(
            key=key,
            look_up_id=look_up_id,
            state=claim_replies.OUTCOME_BY_STATE[record.state],
            holder=record.holder.entry if record.holder else None,
            spent_tokens=record.billed_tokens,
            target_id=record.target_id,
            answer=record.answer,
            fingerprint=record.fingerprint,
        )

    def _state_without_record(
        self, key: identifiers.RequestKey
    ) -> messages.OutcomeState:
        created_at_ms = identifiers.created_at_ms(key)
        if self._retention.may_predate_loss(
            created_at_ms, self._history_lost_at_ms
        ):
            return messages.OutcomeState.UNKNOWN
        return messages.OutcomeState.NOT_RECORDED

    def __repr__(self) -> str:
        return f"ClaimRegistry(records={len(self._by_key)})"
