"""Describes budgets to operators, and releases held rights."""

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

RESPONSE_TIMEOUT_S = 4.0


class BudgetInspector:
    """Reads the document of a budget, and queries the primaries of its zones.

    Each method blocks for up to `RESPONSE_TIMEOUT_S` per zone that it queries.

    Args:
        networked: Components of the instance.
        runtime: Runs decisions of the components.
        waiters: Passes the responses to the threads that wait for them.
        store: The platform's key-value service.
    """

    __slots__ = ("_components", "_networked", "_runtime", "_store", "_waiters")

    def __init__(
        self,
        *,
        networked: networked_assembly.NetworkedComponents,
        runtime: runtimes.Runtime,
        waiters: effect_waiters.EffectWaiters,
        store: services.KeyValueStore,
    ) -> None:
        self._networked = networked
        self._components = networked.components
        self._runtime = runtime
        self._waiters = waiters
        self._store = store

    def describe(
        self, budget_id: identifiers.BudgetId
    ) -> result.Result[messages.BudgetDescription, failures.Failure]:
        """Returns how the rights of a budget are distributed over the zones."""
        document = self._read_document(budget_id)
        if document is None:
            return result.Err(
                failures.Unavailable(
                    detail="The platform's key-value service did not respond."
                )
            )
        account = document.account_by_budget_id.get(budget_id)
        if account is None:
            return result.Err(
                failures.NotFound(
                    detail=f"There is no account for budget {budget_id}."
                )
            )
        future_by_zone = {
            zone: self._request_description(budget_id, zone)
            for zone in account.counters_by_availability_zone
        }
        zones = tuple(
            _zone_rights(
                zone, document, budget_id, _await_response(future_by_zone[zone])
            )
            for zone in sorted(future_by_zone)
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
        """Releases held rights of a zone; idempotent per edit id."""
        inquiry = inspection.ReleaseHeld(
            question_id=request.edit_id,
            budget_id=identifiers.BudgetId(request.budget_id),
            tokens=request.tokens,
            gone=tuple(self._dead_instances()),
        )
        zone = identifiers.AvailabilityZone(request.availability_zone)
        response = _await_response(self._start_inquiry(inquiry, zone))
        if response is None:
            return result.Err(
                failures.OutcomeUnknown(
                    detail=f"The primary of {request.budget_id} in {zone} did "
                    "not respond; repeat the release with the same edit id."
                )
            )
        return result.Ok(
            messages.HeldReleased(
                edit_id=request.edit_id,
                budget_id=request.budget_id,
                released_tokens=response.released_tokens,
            )
        )

    def _read_document(
        self, budget_id: identifiers.BudgetId
    ) -> documents.ShardDocument | None:
        shard = hashing.shard_of(
            budget_id, shard_count=self._components.identity.shard_count
        )
        response = self._store.read(
            effects.ReadDocument(key=documents.document_key(shard))
        )
        if isinstance(response, effects.DocumentRead):
            return documents.decode(response.value)
        return self._components.host.replica(shard).document

    def _request_description(
        self,
        budget_id: identifiers.BudgetId,
        zone: identifiers.AvailabilityZone,
    ) -> futures.Future[effects.Effect]:
        inquiry = inspection.DescribeAccount(
            question_id=uuid.uuid4().hex,
            budget_id=budget_id,
            gone=tuple(self._dead_instances()),
        )
        return self._start_inquiry(inquiry, zone)

    def _start_inquiry(
        self,
        inquiry: inquiries.InquiryRequest,
        zone: identifiers.AvailabilityZone,
    ) -> futures.Future[effects.Effect]:
        future = self._waiters.register(inquiry.question_id)
        self._runtime.decide(
            functools.partial(self._components.inquiries.start, inquiry, zone)
        )
        return future

    def _dead_instances(self) -> Iterator[identifiers.InstanceId]:
        return (
            member.instance_id
            for member in self._networked.membership.members()
            if member.status is fleet_messages.Status.DEAD
        )

    def __repr__(self) -> str:
        return f"BudgetInspector(instance_id={self._components.instance_id!r})"


def _await_response(
    future: futures.Future[effects.Effect],
) -> inquiries.InquiryResponse | None:
    try:
        effect = future.result(RESPONSE_TIMEOUT_S)
    except futures.TimeoutError:
        return None
    if isinstance(effect, inquiries.InquiryFailed):
        return None
    return effect.response


def _zone_rights(
    zone: identifiers.AvailabilityZone,
    document: documents.ShardDocument,
    budget_id: identifiers.BudgetId,
    described: inspection.AccountDescribed | None,
) -> messages.ZoneRights:
    counters = document.account_by_budget_id[budget_id].counters(zone)
    assignment = document.assignment(zone)
    recorded = messages.ZoneRights(
        availability_zone=zone,
        granted_tokens=counters.granted,
        returned_tokens=counters.returned,
        settled_tokens=counters.settled,
        primary=assignment.primary if assignment else None,
    )
    if described is None:
        return recorded
    return msgspec.structs.replace(
        recorded,
        granted_tokens=max(counters.granted, described.granted),
        returned_tokens=max(counters.returned, described.returned),
        settled_tokens=max(counters.settled, described.settled),
        held_tokens=described.held,
        reserved_tokens=described.reserved,
        orphaned_tokens=described.orphaned,
        is_current=True,
    )
