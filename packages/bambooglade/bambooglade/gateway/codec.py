"""Interface for decoding and encoding HTTP headers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from bambooglade.gateway import metadata
from bambooglade.http1 import messages


class HeaderCodec(Protocol):
    """Translates between HTTP header fields and typed metadata.

    See Also:
        bambooglade.platform.headers: the implementation.
    """

    def decode_request(
        self, request: messages.Request
    ) -> metadata.RequestMetadata:
        """Returns the metadata of a caller's request."""
        ...

    def forwarded_fields(
        self, request: messages.Request, dispatch: metadata.DispatchMetadata
    ) -> Iterable[tuple[bytes, bytes]]:
        """Returns the header fields that are sent to a target."""
        ...

    def peer_fields(
        self,
        request: messages.Request,
        *,
        remaining_ms: int,
        last_event_id: bytes | None,
    ) -> Iterable[tuple[bytes, bytes]]:
        """Returns the header fields with which a peer gets a request."""
        ...

    def decode_response(
        self, head: messages.ResponseHead
    ) -> metadata.ResponseMetadata:
        """Returns the metadata of a target's response."""
        ...

    def match_response(
        self, head: messages.Head, attempt_id: str
    ) -> metadata.ResponseMatch:
        """Returns whether a response belongs to the request with this id."""
        ...
