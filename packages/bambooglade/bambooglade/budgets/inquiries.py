"""Client side of the operators' requests to the primaries of an account."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
from typing import TypeAlias

from bambooglade.budgets import inspection
from bambooglade.core import effects
from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.shards import assignments

RETRY_MS = 400
TIMEOUT_MS = 2_500

InquiryRequest: TypeAlias = inspection.DescribeAccount | inspection.ReleaseHeld
InquiryResponse: TypeAlias = (
    inspection.AccountDescribed | inspection.HeldReleased
)


class InquiryAnswered(effects.Effect, frozen=True, kw_only=True):
    """A primary responded to an inquiry."""

    question_id: str
    response: InquiryResponse


class InquiryFailed(effects.Effect, frozen=True, kw_only=True):
    """No primary responded in time; a release may have been recorded."""

    question_id: str


@dataclasses.dataclass(slots=True)
class _PendingInquiry:
    request: InquiryRequest
    zone_shard: assignments.ZoneShard
    deadline_ms: int
    resend_at_ms: int


class Inquiries:
    """Component that resends inquiries until they complete or time out.

    Args:
        shard_count: Number of shards.
        assignment_map: Finds the primaries.

    See Also:
        bambooglade.budgets.inspection: the requests and responses.
    """

    __slots__ = ("_assignment_map", "_by_id", "_shard_count")

    message_types = (
        inspection.AccountDescribed,
        inspection.HeldReleased,
        inspection.InquiryMisdirected,
    )
    document_prefixes: tuple[str, ...] = ()

    def __init__(
        self, *, shard_count: int, assignment_map: assignments.AssignmentMap
    ) -> None:
        self._shard_count = shard_count
        self._assignment_map = assignment_map
        self._by_id: dict[str, _PendingInquiry] = {}

    def start(
        self,
        request: InquiryRequest,
        zone: identifiers.AvailabilityZone,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Sends a request to the primary of the account in a zone.

        Yields, now or later, one `InquiryAnswered` or `InquiryFailed`.
        """
        shard = hashing.shard_of(
            request.budget_id, shard_count=self._shard_count
        )
        zone_shard = assignments.ZoneShard(shard=shard, availability_zone=zone)
        inquiry = _PendingInquiry(
            request, zone_shard, now_ms + TIMEOUT_MS, now_ms
        )
        self._by_id[request.question_id] = inquiry
        yield from self._send(inquiry, now_ms)

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Applies a response or a redirect to another primary."""
        del sender
        if isinstance(message, inspection.InquiryMisdirected):
            yield from self._redirect(message, now_ms)
        elif self._by_id.pop(message.question_id, None) is not None:
            yield InquiryAnswered(
                question_id=message.question_id, response=message
            )

    def handle_document_response(
        self, answer: effects.DocumentResponse, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Does nothing, since inquiries read no documents."""
        del answer, now_ms
        yield from ()

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Resends pending inquiries and fails those that timed out."""
        for question_id, inquiry in list(self._by_id.items()):
            if now_ms >= inquiry.deadline_ms:
                del self._by_id[question_id]
                yield InquiryFailed(question_id=question_id)
            elif now_ms >= inquiry.resend_at_ms:
                yield from self._send(inquiry, now_ms)

    def _redirect(
        self, message: inspection.InquiryMisdirected, now_ms: int
    ) -> Iterator[effects.Effects]:
        inquiry = self._by_id.get(message.question_id)
        if inquiry is not None and message.primary is not None:
            inquiry.resend_at_ms = now_ms + RETRY_MS
            yield effects.Send(
                recipient=message.primary, message=inquiry.request
            )

    def _send(
        self, inquiry: _PendingInquiry, now_ms: int
    ) -> Iterator[effects.Effects]:
        inquiry.resend_at_ms = now_ms + RETRY_MS
        primary = self._assignment_map.primary(inquiry.zone_shard)
        if primary is not None:
            yield effects.Send(recipient=primary, message=inquiry.request)

    def __repr__(self) -> str:
        return f"Inquiries(open={len(self._by_id)})"
