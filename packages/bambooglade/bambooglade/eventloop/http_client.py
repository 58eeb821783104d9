"""HTTP client on the event loop; sends each request at most once."""

from __future__ import annotations

import collections
from collections.abc import Callable
from concurrent import futures

from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import received_body
from bambooglade.eventloop import tasks
from bambooglade.http1 import messages
from bambooglade.http1 import response_parser

MAX_IDLE_PER_ADDRESS = 4
"""Idle connections per address: one for a watch, others for parallel calls."""

PROGRESS_TIMEOUT_MS = 1_000
"""Longest pause within a response; TCP resends a lost packet sooner."""

MAX_TRANSFER_MS = 6_000
"""Longest time from the first byte of a response to its last one.

A configuration with a thousand routes has half a megabyte, and takes about a
second on an otherwise idle link of 5 Mbit/s.
"""

MAX_BODY_BYTES = 33_554_432
"""Longest body of a response; pages of the store have about a megabyte, and a
watch may return several versions of a value."""

Address = tuple[str, int]


class Response:
    """A complete response.

    Attributes:
        status: HTTP status.
        body: The whole body.
        head: Header fields of the response.
    """

    __slots__ = ("body", "head", "status")

    def __init__(
        self, status: int, body: bytes, head: messages.Head | None = None
    ) -> None:
        self.status = status
        self.body = body
        self.head = head or messages.Head([])

    def __repr__(self) -> str:
        return f"Response(status={self.status}, bytes={len(self.body)})"


class HttpClient:
    """Sends requests to IP addresses over persistent connections.

    A call without a complete response in time completes with None: the request
    may have been executed or not. The client never retries. After such a call
    it closes all idle connections to the address, since the other end of these
    may be unresponsive as well.

    Args:
        loop: The event loop.
    """

    __slots__ = ("_calling", "_idle_by_address", "_loop")

    def __init__(self, loop: loop_lib.EventLoop) -> None:
        self._loop = loop
        self._calling: set[_ClientConnection] = set()
        self._idle_by_address: dict[Address, list[_ClientConnection]] = (
            collections.defaultdict(list)
        )

    def call(
        self,
        address: Address,
        *,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_ms: int,
    ) -> futures.Future:
        """Sends a request.

        Args:
            address: IP address and port.
            method: HTTP method.
            target: Path and query.
            body: JSON document; empty for none.
            timeout_ms: Time until the first byte of the response. The rest of
                it is limited by `PROGRESS_TIMEOUT_MS` and
                `MAX_TRANSFER_MS`.

        Returns:
            A future with a `Response`, or with None after a failure.
        """
        idle = self._idle_by_address[address]
        connection = None
        while idle and connection is None:
            candidate = idle.pop()
            connection = candidate if candidate.is_usable else None
        if connection is None:
            connection = _ClientConnection(
                self._loop, address, self._release, self.close_idle
            )
        fields = [(b"Host", b"%s:%d" % (address[0].encode(), address[1]))]
        if body:
            fields.append((b"Content-Type", b"application/json"))
        request = messages.encode_request(
            method=method.encode(),
            target=target.encode(),
            fields=fields,
            body=body,
            has_body=method != "GET",
        )
        future = connection.exchange(request, timeout_ms)
        self._calling.add(connection)
        future.add_done_callback(lambda _: self._calling.discard(connection))
        return future

    def abandon(self, address: Address) -> None:
        """Ends all calls to an address that is not to be used any more.

        They complete with None, since they may have been executed.
        """
        self.close_idle(address)
        for connection in list(self._calling):
            if connection.address == address:
                connection.abandon()

    def close_idle(self, address: Address) -> None:
        """Closes the idle connections to an unresponsive address."""
        for connection in self._idle_by_address.pop(address, []):
            connection.close()

    def _release(self, connection: _ClientConnection) -> None:
        idle = self._idle_by_address[connection.address]
        if len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(connection)
        else:
            connection.close()

    def __repr__(self) -> str:
        return f"HttpClient(addresses={len(self._idle_by_address)})"


class _ClientConnection:
    __slots__ = (
        "_body",
        "_connection",
        "_future",
        "_loop",
        "_on_failure",
        "_parser",
        "_release",
        "_timer",
        "_transfer_deadline_ms",
        "address",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        address: Address,
        release: Callable[[_ClientConnection], None],
        on_failure: Callable[[Address], None],
    ) -> None:
        self._loop = loop
        self.address = address
        self._release = release
        self._on_failure = on_failure
        self._future: futures.Future | None = None
        self._timer: loop_lib.Timer | None = None
        self._parser = response_parser.ResponseParser()
        self._body = self._new_body()
        self._transfer_deadline_ms: int | None = None
        # A configuration takes half a second of a small link, but shares it
        # with the connections of callers and delays them little.
        self._connection = connection_lib.connect(
            loop, address, self, counts_for_link=False
        )

    def _new_body(self) -> received_body.ReceivedBody:
        return received_body.ReceivedBody(
            self._loop.byte_budget,
            max_bytes=MAX_BODY_BYTES,
            discard=lambda: self._loop.call_later(
                0, self._abandon_call, self._future
            ),
        )

    def _abandon_call(self, future: futures.Future | None) -> None:
        if future is not None and self._future is future:
            self.abandon()

    @property
    def is_usable(self) -> bool:
        return self._connection.is_open

    def exchange(self, request: bytes, timeout_ms: int) -> futures.Future:
        """Sends a request; the future completes also after a failure."""
        self._future = futures.Future()
        self._parser = response_parser.ResponseParser()
        self._body = self._new_body()
        self._transfer_deadline_ms = None
        self._timer = self._loop.call_later(timeout_ms, self.abandon)
        self._connection.send(request)
        return self._future

    def close(self) -> None:
        self._connection.close()

    def connected(self) -> None:
        """Does nothing: the connection sends the buffered request."""

    def received(self, data: bytes) -> None:
        if self._future is None:
            self._connection.close()
            return
        if not self._body.append(self._parser.feed(data)):
            self.abandon()
            return
        self._restart_timer()
        self._finish_if_ended()

    def _restart_timer(self) -> None:
        now_ms = self._loop.now_ms()
        if self._transfer_deadline_ms is None:
            self._transfer_deadline_ms = now_ms + MAX_TRANSFER_MS
        self._timer.cancel()
        self._timer = self._loop.call_later(
            min(PROGRESS_TIMEOUT_MS, self._transfer_deadline_ms - now_ms),
            self.abandon,
        )

    def closed(self, *, is_clean: bool) -> None:
        self._parser.ended(is_clean=is_clean)
        self._finish_if_ended()

    def _finish_if_ended(self) -> None:
        state = self._parser.state
        if state is response_parser.ResponseState.COMPLETE:
            head = self._parser.head
            self._finish(Response(head.status, self._body.join(), head))
        elif state is response_parser.ResponseState.MALFORMED:
            self._connection.close()
            self._finish(None)

    def abandon(self) -> None:
        """Ends the call without a response."""
        # A call that a cut holds up must not be carried out later.
        self._connection.reset()
        self._finish(None)

    def _finish(self, response: Response | None) -> None:
        future, self._future = self._future, None
        self._body.clear()
        self._parser.close()
        if self._timer is not None:
            self._timer.cancel()
        if self._connection.is_open:
            is_reusable = (
                response is not None
                and self._parser.head.is_persistent
                and not self._parser.has_extra_bytes
            )
            if is_reusable:
                self._release(self)
            else:
                self._connection.close()
        if future is None:
            return
        if response is None:
            self._on_failure(self.address)
        tasks.complete(future, response)
