"""Limits that an HTTP server puts on its clients."""

from __future__ import annotations

import msgspec


class ServerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on sizes, connections and slow clients.

    Attributes:
        max_head_bytes: Size of the request line and the headers together.
        max_body_bytes: Size of a request's body.
        max_connections: Open connections; further ones are answered 503.
        max_threads: Requests that are served at the same time; fewer than
            connections would let slow requests hold up quick ones.
        head_timeout_ms: Time from the first byte of a request, or from the
            start of the connection, to the end of its headers.
        body_timeout_ms: Time to receive a whole body.
        write_timeout_ms: Time for a client to take one piece of an answer.
        idle_timeout_ms: Time that a connection may rest between requests.
        stop_timeout_ms: Time for requests in progress to end at a stop.
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
