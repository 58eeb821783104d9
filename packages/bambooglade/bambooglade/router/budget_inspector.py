"""Answers operators' questions about budgets, and releases held rights."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent import futures
import functools
import uuid

import msgspec
import result

from bambooglade.budgets import inquiries
from bambooglade.budgets import inspection
from bambooglade.core import effects
from bambooglade.core import failures
from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.fleet import messages as fleet_messages
from bambooglade.router import effect_waiters
from bambooglade.router import networked_assembly
from bambooglade.router import operator_messages as messages
from bambooglade.router import runtime as runtimes
from bambooglade.shards import document as documents
from bambooglade.store import services

ANSWER_TIMEOUT_S = 4.0


class BudgetInspector:
    """Reads the document of a budget, and asks the primaries of its zones.

    The methods block for some seconds at most.

    Args:
        networked: The decisions of the instance.
        runtime: Runs them.
        waiters: Connects their answers with the threads that asked.
        store: The platform's key-value service.
    """

    __slots__ = ("_networked", "_parts", "_runtime", "_store", "_waiters")

    def __init__(
        self,
        *,
        networked: networked_assembly.NetworkedParts,
        runtime: runtimes.Runtime,
        waiters: effect_waiters.EffectWaiters,
        store: services.KeyValueStore,
    ) -> None:
        self._networked = networked
        self._parts = networked.parts
        self._runtime = runtime
        self._waiters = waiters
        self._store = store

    def describe(
        self, budget_id: identifiers.BudgetId
    ) -> result.Result[messages.BudgetDescription, failures.Failure]:
        """Tells where a budget's rights lie."""
        document = self._document(budget_id)
        if document is None:
            return result.Err(
                failures.Unavailable(
                    detail="The platform's key-value service did not answer."
                )
            )
        account = document.account_by_budget_id.get(budget_id)
        if account is None:
            return result.Err(
                failures.NotFound(detail=f"{budget_id} has no account.")
            )
        asked = {
            zone: self._ask_zone(budget_id, zone)
            for zone in account.counters_by_availability_zone
        }
        zones = tuple(
            _zone_rights(zone, document, budget_id, _reply(asked[zone]))
            for zone in sorted(asked)
        )
        return result.Ok(
            messages.BudgetDescription(
                budget_id=budget_id,
                prepaid_tokens=account.prepaid_tokens,
                zones=zones,
            )
        )

    def release(
        self, request: messages.ReleaseHeld
    ) -> result.Result[messages.HeldReleased, failures.Failure]:
        """Frees held rights of a zone, once per edit id."""
        question = inspection.ReleaseHeld(
            question_id=request.edit_id,
            budget_id=identifiers.BudgetId(request.budget_id),
            tokens=request.tokens,
            gone=tuple(self._gone()),
        )
        zone = identifiers.AvailabilityZone(request.availability_zone)
        reply = _reply(self._ask(question, zone))
        if reply is None:
            return result.Err(
                failures.OutcomeUnknown(
                    detail=f"The primary of {request.budget_id} in {zone} did "
                    "not answer; repeat the release with the same edit id."
                )
            )
        return result.Ok(
            messages.HeldReleased(
                edit_id=request.edit_id,
                budget_id=request.budget_id,
                released_tokens=reply.released_tokens,
            )
        )

    def _document(
        self, budget_id: identifiers.BudgetId
    ) -> documents.ShardDocument | None:
        shard = hashing.shard_of(
            budget_id, shard_count=self._parts.identity.shard_count
        )
        answer = self._store.read(
            effects.ReadDocument(key=documents.document_key(shard))
        )
        if isinstance(answer, effects.DocumentRead):
            return documents.decode(answer.value)
        return self._parts.host.replica(shard).document

    def _ask_zone(
        self,
        budget_id: identifiers.BudgetId,
        zone: identifiers.AvailabilityZone,
    ) -> futures.Future[effects.Effect]:
        question = inspection.DescribeAccount(
            question_id=uuid.uuid4().hex,
            budget_id=budget_id,
            gone=tuple(self._gone()),
        )
        return self._ask(question, zone)

    def _ask(
        self,
        question: inquiries.InquiryRequest,
        zone: identifiers.AvailabilityZone,
    ) -> futures.Future[effects.Effect]:
        future = self._waiters.register(question.question_id)
        self._runtime.decide(
            functools.partial(self._parts.inquiries.start, question, zone)
        )
        return future

    def _gone(self) -> Iterator[identifiers.InstanceId]:
        return (
            member.instance_id
            for member in self._networked.membership.members()
            if member.status is fleet_messages.Status.DEAD
        )

    def __repr__(self) -> str:
        return f"BudgetInspector(instance_id={self._parts.instance_id!r})"


def _reply(
    asked: futures.Future[effects.Effect],
) -> inquiries.InquiryResponse | None:
    try:
        answered = asked.result(ANSWER_TIMEOUT_S)
    except futures.TimeoutError:
        return None
    if isinstance(answered, inquiries.InquiryFailed):
        return None
    return answered.response


def _zone_rights(
    zone: identifiers.AvailabilityZone,
    document: documents.ShardDocument,
    budget_id: identifiers.BudgetId,
    live: inspection.AccountDescribed | None,
) -> messages.ZoneRights:
    counters = document.account_by_budget_id[budget_id].counters(zone)
    assignment = document.assignment(zone)
    written = messages.ZoneRights(
        availability_zone=zone,
        granted_tokens=counters.granted,
        returned_tokens=counters.returned,
        settled_tokens=counters.settled,
        primary=assignment.primary if assignment else None,
    )
    if live is None:
        return written
    return msgspec.structs.replace(
        written,
        granted_tokens=max(counters.granted, live.granted),
        returned_tokens=max(counters.returned, live.returned),
        settled_tokens=max(counters.settled, live.settled),
        held_tokens=live.held,
        reserved_tokens=live.reserved,
        orphaned_tokens=live.orphaned,
        is_current=True,
    )
