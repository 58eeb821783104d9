"""HTTP client with connection reuse, based on libcurl.

Each exchange is a generator of the parts of the response, so that a caller can
stop at any point. A connection is closed if its exchange was not completed.

See Also:
    bambooglade.transport.exchange: one exchange on one connection.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Generator
import threading

import result

from bambooglade.core import clock as clocks
from bambooglade.transport import byte_pool
from bambooglade.transport import exchange
from bambooglade.transport import messages

MAX_IDLE_CHANNELS_PER_ORIGIN = 32

PartStream = Generator[
    messages.ResponseHead | bytes,
    None,
    result.Result[None, messages.TransferFailure],
]
"""The head and the parts of a body, and how the exchange ended."""


class HttpClient:
    """Sends requests, and reuses connections after complete exchanges.

    Args:
        ca_file: File of the trusted CA certificates; None for the system's.
        clock: The clock for time-outs.
        pool: Bytes that whole bodies may take.

    Examples:
        >>> client = HttpClient()
        >>> failure = client.request(messages.Request(
        ...     method="GET", url="http://127.0.0.1:1/")).err()
        >>> failure.sent
        False

    See Also:
        bambooglade.transport.server.HttpServer: the server side.
    """

    __slots__ = ("_ca_file", "_clock", "_idle_by_origin", "_lock", "_pool")

    def __init__(
        self,
        *,
        ca_file: str | None = None,
        clock: clocks.Clock | None = None,
        pool: byte_pool.BytePool = byte_pool.OF_PROCESS,
    ) -> None:
        self._pool = pool
        self._ca_file = ca_file
        self._clock = clock or clocks.Clock()
        self._lock = threading.Lock()
        self._idle_by_origin: dict[str, collections.deque[exchange.Channel]] = (
            collections.defaultdict(collections.deque)
        )

    def request(
        self,
        request: messages.Request,
        *,
        cancelled: Callable[[], bool] = exchange.never_cancelled,
    ) -> result.Result[messages.Response, messages.TransferFailure]:
        """Sends a request, and returns its complete response.

        Args:
            request: The request.
            cancelled: Called at least about ten times a second; the exchange is
                cancelled when it returns True.
        """
        stream = self.stream(request, cancelled=cancelled)
        body = byte_pool.PooledBody(self._pool)
        try:
            return self._collect(stream, body)
        finally:
            stream.close()
            body.close()

    def _collect(
        self, stream: PartStream, body: byte_pool.PooledBody
    ) -> result.Result[messages.Response, messages.TransferFailure]:
        """Returns the whole response, unless the process has no room for it."""
        head: messages.ResponseHead | None = None
        while True:
            try:
                part = next(stream)
            except StopIteration as stop:
                return _complete_response(stop.value, head, bytes(body.data))
            if isinstance(part, messages.ResponseHead):
                head = part
            elif not body.append(part):
                return result.Err(
                    messages.TransferFailure(
                        detail=(
                            f"After {len(body.data)} bytes, the process has no"
                            f" room for more: {self._pool}."
                        ),
                        sent=True,
                    )
                )

    def stream(
        self,
        request: messages.Request,
        *,
        cancelled: Callable[[], bool] = exchange.never_cancelled,
    ) -> PartStream:
        """Yields the head and the parts of the body as they are received.

        Closing the generator closes the connection, which cancels the request
        at targets that detect it.

        Returns:
            `Ok` after a complete response, else the failure.
        """
        origin = messages.origin_of(request.url)
        channel = self._acquire(origin, reuse=request.may_be_resent)
        is_complete = False
        try:
            ended = yield from channel.run(request, cancelled=cancelled)
            is_complete = ended.is_ok() and channel.is_identified
            return ended
        finally:
            if is_complete:
                self._release(origin, channel)
            else:
                channel.close()

    def close(self) -> None:
        """Closes the idle connections."""
        with self._lock:
            idle = [c for cs in self._idle_by_origin.values() for c in cs]
            self._idle_by_origin.clear()
        for channel in idle:
            channel.close()

    def _acquire(self, origin: str, *, reuse: bool) -> exchange.Channel:
        with self._lock:
            idle = self._idle_by_origin[origin]
            if reuse and idle:
                return idle.pop()
        return exchange.Channel(ca_file=self._ca_file, clock=self._clock)

    def _release(self, origin: str, channel: exchange.Channel) -> None:
        with self._lock:
            idle = self._idle_by_origin[origin]
            if len(idle) < MAX_IDLE_CHANNELS_PER_ORIGIN:
                idle.append(channel)
                return
        channel.close()

    def __repr__(self) -> str:
        idle = sum(len(cs) for cs in self._idle_by_origin.values())
        return f"HttpClient(idle={idle})"


def _complete_response(
    ended: result.Result[None, messages.TransferFailure],
    head: messages.ResponseHead | None,
    body: bytes,
) -> result.Result[messages.Response, messages.TransferFailure]:
    if isinstance(ended, result.Err):
        return ended
    return result.Ok(messages.Response(head=head, body=body))
