"""Questions of operators to the primaries of an account, at the asking side."""

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


class InquiryCompleted(effects.Effect, frozen=True, kw_only=True):
    """A primary answered."""

    question_id: str
    response: InquiryResponse


class InquiryFailed(effects.Effect, frozen=True, kw_only=True):
    """No primary answered in time; a release may have been recorded."""

    question_id: str


@dataclasses.dataclass(slots=True)
class _Open:
    question: InquiryRequest
    place: assignments.ZoneShard
    until_ms: int
    next_ms: int


class Inquiries:
    """Component that repeats questions until they are answered or too old.

    Args:
        shard_count: Number of shards.
        assignment_map: Finds the primaries.

    See Also:
        bambooglade.budgets.inspection: the questions and replies.
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
        self._by_id: dict[str, _Open] = {}

    def start(
        self,
        question: InquiryRequest,
        zone: identifiers.AvailabilityZone,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Asks the primary of the account in a zone.

        Yields, now or later, one `InquiryCompleted` or `InquiryFailed`.
        """
        shard = hashing.shard_of(
            question.budget_id, shard_count=self._shard_count
        )
        place = assignments.ZoneShard(shard=shard, availability_zone=zone)
        asked = _Open(question, place, now_ms + TIMEOUT_MS, now_ms)
        self._by_id[question.question_id] = asked
        yield from self._send(asked, now_ms)

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Takes a reply, or where to ask instead."""
        del sender
        if isinstance(message, inspection.InquiryMisdirected):
            yield from self._redirect(message, now_ms)
        elif self._by_id.pop(message.question_id, None) is not None:
            yield InquiryCompleted(
                question_id=message.question_id, response=message
            )

    def handle_document_response(
        self, answer: effects.DocumentResponse, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Asks for no documents."""
        del answer, now_ms
        yield from ()

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Repeats questions, and gives up those that are too old."""
        for question_id, asked in list(self._by_id.items()):
            if now_ms >= asked.until_ms:
                del self._by_id[question_id]
                yield InquiryFailed(question_id=question_id)
            elif now_ms >= asked.next_ms:
                yield from self._send(asked, now_ms)

    def _redirect(
        self, message: inspection.InquiryMisdirected, now_ms: int
    ) -> Iterator[effects.Effects]:
        asked = self._by_id.get(message.question_id)
        if asked is not None and message.primary is not None:
            asked.next_ms = now_ms + RETRY_MS
            yield effects.Send(
                recipient=message.primary, message=asked.question
            )

    def _send(self, asked: _Open, now_ms: int) -> Iterator[effects.Effects]:
        asked.next_ms = now_ms + RETRY_MS
        primary = self._assignment_map.primary(asked.place)
        if primary is not None:
            yield effects.Send(recipient=primary, message=asked.question)

    def __repr__(self) -> str:
        return f"Inquiries(open={len(self._by_id)})"
