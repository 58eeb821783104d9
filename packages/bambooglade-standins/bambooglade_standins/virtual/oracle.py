"""What a fleet was seen to do, checked against what must always hold.

The oracle sees calls, runs, answers, messages of entries and documents from the
outside; it knows nothing of how the fleet decides.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
import dataclasses
from typing import NamedTuple

from bambooglade.budgets import messages as budget_messages
from bambooglade.core import effects
from bambooglade.core import failures
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.shards import document as documents
from bambooglade.shards import edits


class BrokenError(AssertionError):
    """Something that must always hold did not."""


class DrawId(NamedTuple):
    """One draw of one run."""

    reservation_id: budget_messages.ReservationId
    budget_id: identifiers.BudgetId


@dataclasses.dataclass(slots=True)
class Script:
    """How the run of a request goes, as the fuzzing wants it.

    Attributes:
        result: How it ends.
        spent_tokens: What it costs.
        duration_ms: How long it takes.
    """

    result: calls.RunResult
    spent_tokens: int
    duration_ms: int


class Oracle:
    """Records what happens; `check` raises `BrokenError`."""

    __slots__ = (
        "_accepted",
        "_amount_by_edit_id",
        "_attempt_by_entry",
        "_billed",
        "_charge_by_draw",
        "_document_by_key",
        "_refused",
        "_runs_by_key",
        "_script_by_key",
        "_times_by_edit_id",
        "answers",
        "permits",
    )

    def __init__(self) -> None:
        self._script_by_key: dict[identifiers.RequestKey, Script] = {}
        self._runs_by_key: dict[identifiers.RequestKey, list[int]] = {}
        self._attempt_by_entry: dict[
            tuple[identifiers.RequestKey, identifiers.InstanceId],
            budget_messages.ReservationId,
        ] = {}
        self._charge_by_draw: dict[DrawId, int] = {}
        self._amount_by_edit_id: dict[identifiers.EditId, edits.TopUp] = {}
        self._times_by_edit_id: dict[identifiers.EditId, int] = {}
        self._accepted: set[identifiers.EditId] = set()
        self._refused: set[identifiers.EditId] = set()
        self._billed: set[DrawId] = set()
        self._document_by_key: dict[str, documents.ShardDocument] = {}
        self.answers = 0
        self.permits = 0

    def requested(self, key: identifiers.RequestKey, script: Script) -> None:
        """Notes a new request."""
        self._script_by_key[key] = script

    def edited(self, top_up: edits.TopUp) -> None:
        """Notes an edit that is about to be made, possibly again."""
        self._amount_by_edit_id[top_up.edit_id] = top_up
        times = self._times_by_edit_id.get(top_up.edit_id, 0) + 1
        self._times_by_edit_id[top_up.edit_id] = times

    # The observer of the virtual fleet.

    def permitted(
        self,
        instance_id: identifiers.InstanceId,
        call: calls.Call,
        now_ms: int,
    ) -> calls.RunEnd:
        """A run starts; it may cost what its script says from now on."""
        del now_ms
        self.permits += 1
        script = self._script_by_key[call.key]
        ran = script.result is not calls.RunResult.NOT_RUN
        runs = self._runs_by_key.setdefault(call.key, [])
        if ran:
            runs.append(int(call.call_id))
        if not call.repeatable and len(runs) > 1:
            raise BrokenError(
                f"{call.key} may not be repeated and ran for calls {runs}"
            )
        spent_tokens = script.spent_tokens if ran else 0
        reservation_id = self._attempt_by_entry[(call.key, instance_id)]
        for draw in call.draws:
            draw_id = DrawId(reservation_id, draw.budget_id)
            self._charge_by_draw[draw_id] = spent_tokens
        return calls.RunEnd(
            result=script.result,
            spent_tokens=spent_tokens,
            answer=_answer(call) if ran else None,
        )

    def run_duration_ms(self, call: calls.Call) -> int:
        """Returns how long the run of a call takes."""
        return self._script_by_key[call.key].duration_ms

    def answered(
        self,
        instance_id: identifiers.InstanceId,
        call: calls.Call,
        effect: calls.Refuse | calls.Replay | calls.Billed,
        now_ms: int,
    ) -> None:
        """Checks an answer against the runs."""
        del instance_id, now_ms
        self.answers += 1
        says_not_run = (
            isinstance(effect, calls.Refuse)
            and effect.failure.ran is failures.Ran.NO
        )
        if says_not_run and self._ran_before(call):
            raise BrokenError(
                f"{call.key} ran, and was told it did not: {effect.failure}"
            )
        is_replay = isinstance(effect, calls.Replay)
        if is_replay and effect.response.body != call.key.encode():
            raise BrokenError(f"{call.key} got an answer that is not its own")

    def local_effect(
        self,
        instance_id: identifiers.InstanceId,
        effect: effects.Effect,
        now_ms: int,
    ) -> None:
        """Notes the outcome of an edit."""
        del instance_id, now_ms
        if not isinstance(effect, edits.TopUpEnded):
            return
        if effect.outcome is edits.EditOutcome.ACCEPTED:
            self._accepted.add(effect.edit_id)
        elif effect.outcome is edits.EditOutcome.REFUSED:
            self._refused.add(effect.edit_id)

    # What entries send, and what the service stores.

    def sent(
        self, sender: identifiers.InstanceId, message: effects.Message
    ) -> None:
        """Notes which attempt runs next, and what a run was billed."""
        if isinstance(message, budget_messages.Reserve):
            reservation_id = message.reservation_id
            entry = (reservation_id.key, sender)
            self._attempt_by_entry[entry] = reservation_id
        elif isinstance(message, budget_messages.Settle):
            self._settled(message)

    def stored(self, key: str, value: bytes) -> None:
        """Checks a write that took effect at the service."""
        if not key.startswith(f"{documents.KEY_PREFIX}/"):
            return
        document = documents.decode(value)
        before = self._document_by_key.get(key, documents.ShardDocument())
        for violation in documents.violations(before, document):
            raise BrokenError(f"{key}: {violation}")
        self._document_by_key[key] = document

    def check(self) -> None:
        """Checks what must hold at every moment."""
        for problem in self._overspent():
            raise BrokenError(problem)
        for problem in self._wrong_edits():
            raise BrokenError(problem)

    def check_healed(self) -> None:
        """Checks what must hold once all faults ended."""
        self.check()
        bills = collections.Counter(
            (draw_id.reservation_id.key, draw_id.budget_id)
            for draw_id in self._billed
        )
        for (key, budget_id), count in bills.items():
            if count > 1:
                raise BrokenError(
                    f"{key} was billed {count} times to {budget_id}"
                )

    def ran(self, key: identifiers.RequestKey) -> bool:
        """Returns whether a request ran."""
        return bool(self._runs_by_key.get(key))

    def prepaid(self, budget_id: identifiers.BudgetId) -> int:
        """Returns what the documents say is prepaid."""
        return sum(
            document.account_by_budget_id[budget_id].prepaid_tokens
            for document in self._document_by_key.values()
            if budget_id in document.account_by_budget_id
        )

    def _settled(self, message: budget_messages.Settle) -> None:
        draw_id = DrawId(message.reservation_id, message.budget_id)
        if message.epoch == budget_messages.UNKNOWN_EPOCH:
            return
        if message.spent_tokens > 0:
            self._billed.add(draw_id)
        if draw_id in self._charge_by_draw:
            self._charge_by_draw[draw_id] = message.spent_tokens

    def _ran_before(self, call: calls.Call) -> bool:
        """Returns whether this call, or one begun before it, ran the key."""
        runs = self._runs_by_key.get(call.key, ())
        return any(call_id <= int(call.call_id) for call_id in runs)

    def _overspent(self) -> Iterator[str]:
        charged: dict[identifiers.BudgetId, int] = {}
        for draw_id, charge in self._charge_by_draw.items():
            budget_id = draw_id.budget_id
            charged[budget_id] = charged.get(budget_id, 0) + charge
        for budget_id, tokens in charged.items():
            prepaid = self.prepaid(budget_id)
            if tokens > prepaid:
                yield f"{budget_id}: {tokens} spent of {prepaid} prepaid"

    def _wrong_edits(self) -> Iterator[str]:
        applied = {
            edit_id
            for document in self._document_by_key.values()
            for account in document.account_by_budget_id.values()
            for edit_id in account.recent_edit_ids
        }
        for edit_id in self._accepted - applied:
            yield f"{edit_id} was accepted and is not in force"
        for edit_id in self._refused & applied:
            if self._times_by_edit_id[edit_id] > 1:
                continue  # Another instance was asked too, and accepted it.
            yield f"{edit_id} was refused and is in force"
        by_budget: dict[identifiers.BudgetId, int] = {}
        for edit_id in applied:
            top_up = self._amount_by_edit_id[edit_id]
            budget_id = top_up.budget_id
            by_budget[budget_id] = by_budget.get(budget_id, 0) + top_up.tokens
        for budget_id, tokens in by_budget.items():
            if tokens != self.prepaid(budget_id):
                yield (
                    f"{budget_id}: edits of {tokens} tokens made "
                    f"{self.prepaid(budget_id)} prepaid"
                )

    def __repr__(self) -> str:
        return f"Oracle(permits={self.permits}, answers={self.answers})"


def _answer(call: calls.Call) -> calls.StoredResponse:
    return calls.StoredResponse(
        http_status=200, content_type="text/plain", body=call.key.encode()
    )
