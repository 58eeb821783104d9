"""Deliberate faults, to show that the oracle of the fuzzing finds them."""

from __future__ import annotations

import functools

import msgspec

from bambooglade.budgets import account_book
from bambooglade.budgets import settlement
from bambooglade.core import effects
from bambooglade.operations import bill_decision
from bambooglade.operations import claim_replies
from bambooglade.operations import messages as claim_messages
from bambooglade.operations import retention
from bambooglade.shards import document as documents
from bambooglade.shards import document_session
from bambooglade.shards import messages
from bambooglade.shards import pairing
from bambooglade.shards import replica
from bambooglade.shards import replication


def no_epoch_check_on_promotion(monkeypatch):
    """A promoted backup goes on to acknowledge the old primary."""

    def acknowledge_all(self, batch, sender, now_ms):
        if not self.is_primary:
            yield from original(self, batch, sender, now_ms)
            return
        ack = messages.ReplicateAck(
            place=batch.place,
            stream_id=batch.stream_id,
            sequence=batch.sequence,
        )
        yield effects.Send(recipient=sender, message=ack)

    original = replica.ShardReplica.replicate
    monkeypatch.setattr(replica.ShardReplica, "replicate", acknowledge_all)


def settlement_not_idempotent(monkeypatch):
    """A repeated settlement frees the bound again."""

    def settle_again(account, message):
        freed = original(account, message)
        if freed is None and message.epoch == account.epoch:
            account.reserved -= message.bound_tokens
            account.settled += message.spent_tokens
        return freed

    original = settlement.settle
    monkeypatch.setattr(settlement, "settle", settle_again)


def lost_answer_taken_for_success(monkeypatch):
    """A write without an answer is counted without reading it back."""

    def assume_applied(self, now_ms):
        request = self._in_progress
        if not isinstance(request, effects.WriteDocument):
            return original(self, now_ms)
        applied = effects.WriteApplied(
            key=request.key, revision=request.expected_revision
        )
        return self._applied(applied, now_ms)

    original = document_session.DocumentSession._failed
    monkeypatch.setattr(
        document_session.DocumentSession, "_failed", assume_applied
    )


def evicted_claim_run_again(monkeypatch):
    """A claim is evicted while its key is still young enough to run."""

    def evict_soon(self, key, *, repeatable, now_ms):
        return now_ms + 1_000

    monkeypatch.setattr(retention.Retention, "evict_at_ms", evict_soon)


def opened_rights_taken_as_free(monkeypatch):
    """A promoted backup holds nothing for its predecessor."""

    def hold_nothing(account, inherited, epoch):
        original(account, inherited, epoch)
        account.held.clear()

    original = settlement.hold_inherited
    monkeypatch.setattr(settlement, "hold_inherited", hold_nothing)


def lost_copies_taken_as_free(monkeypatch):
    """A start without a copy takes all that is not reported as free."""
    monkeypatch.setattr(
        settlement, "hold_everything", lambda account, last_epoch: None
    )


def nothing_waits_for_the_backup(monkeypatch):
    """What has to wait for the backup's copy is released at once."""

    def release(self, book, effect):
        return effect.then

    monkeypatch.setattr(
        replication.ReplicationStream, "release_or_wait", release
    )


def backup_named_before_its_copy(monkeypatch):
    """A candidate is named in the document before it has a full copy."""

    def named_at_once(self):
        if self.stream is None or self._dropping:
            return None
        return self.stream.recipient

    monkeypatch.setattr(
        pairing.Pairing, "wanted_backup", property(named_at_once)
    )


def edit_applied_again(monkeypatch):
    """A repeated edit adds to the prepaid amount again."""

    def top_up_again(self, budget_id, *, tokens, edit_id):
        account = self.account_by_budget_id.get(budget_id, documents.Account())
        return self.with_account(
            budget_id,
            msgspec.structs.replace(
                account,
                prepaid_tokens=account.prepaid_tokens + tokens,
                recent_edit_ids=(*account.recent_edit_ids, edit_id),
            ),
        )

    monkeypatch.setattr(documents.ShardDocument, "topped_up", top_up_again)


def claim_granted_without_backup(monkeypatch):
    """A lone primary grants claims of calls that may not be repeated."""

    def granted(*args, **kwargs):
        effect = original(*args, **kwargs)
        return msgspec.structs.replace(effect, needs_backup=False)

    original = claim_replies.granted
    monkeypatch.setattr(claim_replies, "granted", granted)


def second_bill_not_voided(monkeypatch):
    """Every reported run is billed."""
    monkeypatch.setattr(
        bill_decision,
        "decide",
        lambda *args, **kwargs: claim_messages.Decision.BILLED,
    )


def rights_returned_and_kept(monkeypatch):
    """A zone returns rights in the document and goes on to use them."""

    def counters(self, state, ledger, own):
        changed = original(self, state, ledger, own)
        state.account.returned = own.returned
        return changed

    original = account_book.AccountBook._counters
    monkeypatch.setattr(account_book.AccountBook, "_counters", counters)


ALL = (
    no_epoch_check_on_promotion,
    settlement_not_idempotent,
    lost_answer_taken_for_success,
    evicted_claim_run_again,
    opened_rights_taken_as_free,
    lost_copies_taken_as_free,
    nothing_waits_for_the_backup,
    backup_named_before_its_copy,
    edit_applied_again,
    claim_granted_without_backup,
    second_bill_not_voided,
    rights_returned_and_kept,
)
