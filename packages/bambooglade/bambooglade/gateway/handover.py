"""What an instance states about a request that it hands to a peer.

An instance that reaches no target hands the whole request to a peer, which
serves it like one of its own callers: it authenticates, reserves, dispatches
and settles it.

See Also:
    bambooglade.gateway.peer_forwarder: sends these requests.
    bambooglade.gateway.frontend: accepts them on an address of their own.
"""

from __future__ import annotations

import msgspec

from bambooglade.core import json_documents
from bambooglade.gateway import stream_origins
from bambooglade.http1 import messages

FIELD = b"Bambooglade-Handover"

DECLINED_FIELD = b"Bambooglade-Declined"
"""Marks the response of a peer that did not take the request."""

MAX_FIELD_BYTES = 4_096
"""Longest value of the field, in addition to the header of the caller."""


class Handover(msgspec.Struct, frozen=True, kw_only=True):
    """State of a request that goes on at a peer.

    Attributes:
        sender: Name of the instance that hands the request over.
        incarnation: Its incarnation, which only the other instances know.
        configuration_version: The configuration by which it was admitted.
        possible_runs: Number of targets at which the request may have run.
        is_input_billed: Whether the input tokens were settled before.
        origin: Where the stream began; None for a request that has not begun.
    """

    sender: str
    incarnation: str
    configuration_version: int
    possible_runs: int = 0
    is_input_billed: bool = False
    origin: stream_origins.StreamOrigin | None = None


def encode(handover: Handover) -> tuple[bytes, bytes]:
    """Returns the header field that states a handover."""
    return FIELD, msgspec.json.encode(handover)


def decode(request: messages.Request) -> Handover:
    """Returns the handover that a request states.

    Raises:
        msgspec.DecodeError: The field is missing or malformed.
    """
    return json_documents.decode(request.get(FIELD.lower()), Handover)


def strip(request: messages.Request) -> messages.Request:
    """Returns the request as its caller sent it, without the field."""
    return messages.Request(
        method=request.method,
        target=request.target,
        fields=[f for f in request.fields if f[0].lower() != FIELD.lower()],
        body=request.body,
        received_at_ms=request.received_at_ms,
        expects_close=request.expects_close,
    )
