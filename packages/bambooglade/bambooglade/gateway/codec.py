"""How headers are decoded and encoded; implemented by an adapter."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from bambooglade.gateway import facts
from bambooglade.http1 import messages


class HeaderCodec(Protocol):
    """Translates between header fields and what they say to the fleet."""

    def request_facts(self, request: messages.Request) -> facts.RequestFacts:
        """Returns what a caller's header says."""
        ...

    def forwarded_fields(
        self, request: messages.Request, dispatch: facts.Dispatch
    ) -> Iterable[tuple[bytes, bytes]]:
        """Returns the header fields that a target gets."""
        ...

    def response_facts(
        self, head: messages.ResponseHead
    ) -> facts.ResponseFacts:
        """Returns what a target's header says."""
        ...

    def answers_attempt(self, head: messages.Head, attempt_id: str) -> bool:
        """Returns whether a response belongs to a request."""
        ...
