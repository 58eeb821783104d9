"""Receives the envelopes that other instances post."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from werkzeug import wrappers

from bambooglade.transport import peers as transport_peers
from bambooglade.transport import problems
from bambooglade.transport import sealing

MAX_ENVELOPE_BYTES = 4_194_304


class PeerApi:
    """WSGI application for `POST /internal/messages`.

    Args:
        peers: Opens the envelopes and seals the responses.
    """

    __slots__ = ("_peers",)

    def __init__(self, peers: transport_peers.Peers) -> None:
        self._peers = peers

    def __call__(
        self, environ: dict[str, object], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Responds to one envelope with another, as a WSGI application."""
        request = wrappers.Request(environ)
        request.max_content_length = MAX_ENVELOPE_BYTES
        return self._respond(request)(environ, start_response)

    def _respond(self, request: wrappers.Request) -> wrappers.Response:
        sealed = sealing.SignedEnvelope(
            body=request.get_data(),
            signature=request.headers.get(sealing.SIGNATURE_HEADER, ""),
        )
        received = self._peers.receive(sealed)
        if received.is_err():
            return problems.response_of(received.unwrap_err())
        response = received.unwrap()
        return wrappers.Response(
            response.body,
            content_type="application/json",
            headers={sealing.SIGNATURE_HEADER: response.signature},
        )

    def __repr__(self) -> str:
        return "PeerApi()"
