"""Limits of an HTTP server on its clients."""

from __future__ import annotations

import msgspec


class ServerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on sizes, connections and slow clients.

    Attributes:
        max_head_bytes: Size of the request line and the headers together.
        max_body_bytes: Size of a request's body.
        max_connections: Open connections; further ones are refused with 503.
        max_threads: Requests that are served concurrently. With fewer threads
            than connections, slow requests would delay fast ones.
        head_timeout_ms: Time from the first byte of a request, or from the
            start of the connection, to the end of its headers.
        body_timeout_ms: Time to receive a whole body.
        write_timeout_ms: Time for a client to receive one part of a response.
        idle_timeout_ms: Time that a connection may be idle between requests.
        stop_timeout_ms: Time for requests in progress to finish when the server
            stops.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    max_connections: int = 1_024
    max_threads: int = 1_024
    head_timeout_ms: int = 5_000
    body_timeout_ms: int = 20_000
    write_timeout_ms: int = 20_000
    idle_timeout_ms: int = 60_000
    stop_timeout_ms: int = 30_000
