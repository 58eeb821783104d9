"""Selector loop over all connections that wait for the headers of a request.

One thread accepts connections, does TLS handshakes and reads headers, so that
idle and slow clients occupy a socket but no thread. A connection with complete
headers is passed to `serve`, and is returned to the loop after the response.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import selectors
import socket
import ssl

from absl import logging

from bambooglade.core import clock as clocks
from bambooglade.core import failures
from bambooglade.transport import connections
from bambooglade.transport import limits as limits_lib
from bambooglade.transport import message_budget
from bambooglade.transport import problems

_POLL_S = 0.5
_ACCEPT_BATCH = 64


class ConnectionLoop:
    """Selector over the listening socket and the waiting connections.

    Args:
        listener: The listening socket.
        tls: Context for TLS, or None for plain TCP.
        limits: Limits on clients.
        budget: Bytes that the requests of all connections may take.
        clock: The clock for time-outs.
        serve: Called with each connection with complete headers; it must not
            block.
    """

    __slots__ = (
        "_budget",
        "_clock",
        "_limits",
        "_listener",
        "_open",
        "_returned",
        "_selector",
        "_serve",
        "_stopping",
        "_tls",
        "_waiting",
        "_wake_receiver",
        "_wake_sender",
    )

    def __init__(
        self,
        listener: socket.socket,
        *,
        tls: ssl.SSLContext | None,
        limits: limits_lib.ServerLimits,
        budget: message_budget.MessageBudget,
        clock: clocks.Clock,
        serve: Callable[[connections.Connection], None],
    ) -> None:
        self._budget = budget
        self._listener = listener
        self._tls = tls
        self._limits = limits
        self._clock = clock
        self._serve = serve
        self._stopping = False
        self._open: set[connections.Connection] = set()
        self._waiting: set[connections.Connection] = set()
        self._returned: collections.deque[connections.Connection] = (
            collections.deque()
        )
        self._selector = selectors.DefaultSelector()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        listener.setblocking(False)
        self._selector.register(listener, selectors.EVENT_READ)

    def run(self) -> None:
        """Runs until `stop`, then closes the connections without a request."""
        while not self._stopping:
            for key, _ in self._selector.select(_POLL_S):
                self._handle_ready(key)
            self._accept_returned()
            self._expire()
        self._selector.unregister(self._listener)
        self._listener.close()
        for connection in list(self._waiting):
            self._close_waiting(connection)
        self._selector.close()

    def stop(self) -> None:
        """Makes `run` return soon; may be called from any thread."""
        self._stopping = True
        self._wake()

    def return_connection(self, connection: connections.Connection) -> None:
        """Returns a connection to the loop; may be called from any thread."""
        if self._stopping:
            self.discard(connection)
            return
        self._returned.append(connection)
        self._wake()

    def discard(self, connection: connections.Connection) -> None:
        """Closes a connection; may be called from any thread."""
        connection.close()
        self._open.discard(connection)

    def refuse(
        self, connection: connections.Connection, failure: failures.Failure
    ) -> None:
        """Responds with a failure to a request that no thread has begun."""
        _send_refusal(connection.sock, failure)
        self.discard(connection)

    def close_all(self) -> None:
        """Closes all connections, including those in use."""
        for connection in list(self._open):
            self.discard(connection)

    def _wake(self) -> None:
        with contextlib.suppress(OSError):
            self._wake_sender.send(b"w")

    def _handle_ready(self, key: selectors.SelectorKey) -> None:
        if key.fileobj is self._listener:
            self._accept()
        elif key.fileobj is self._wake_receiver:
            self._wake_receiver.recv(4_096)
        elif key.data in self._waiting:
            self._advance(key.data)

    def _accept(self) -> None:
        for sock, address in self._accept_pending():
            if len(self._open) >= self._limits.max_connections:
                self._refuse_socket(sock)
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = connections.Connection(
                self._wrap_tls(sock),
                address,
                self._clock.now_ms() + self._limits.head_timeout_ms,
                self._budget,
            )
            self._open.add(connection)
            self._start_waiting(connection)

    def _accept_pending(
        self,
    ) -> Iterator[tuple[socket.socket, tuple[str, int]]]:
        for _ in range(_ACCEPT_BATCH):
            try:
                yield self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                logging.warning("event=accept_failed error=%r", error)
                return

    def _wrap_tls(self, sock: socket.socket) -> socket.socket:
        if self._tls is None:
            return sock
        return self._tls.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )

    def _refuse_socket(self, sock: socket.socket) -> None:
        failure = problems.TooManyConnections(
            detail="The server has reached its limit of open connections.",
            retry_after_ms=1_000,
        )
        sock.setblocking(False)
        if self._tls is None:
            _send_refusal(sock, failure)
        sock.close()

    def _start_waiting(self, connection: connections.Connection) -> None:
        self._waiting.add(connection)
        self._selector.register(
            connection.sock, selectors.EVENT_READ, connection
        )

    def _advance(self, connection: connections.Connection) -> None:
        had_bytes = bool(connection.buffer)
        progress = connection.advance(
            max_head_bytes=self._limits.max_head_bytes
        )
        if progress is connections.Progress.READY:
            self._start_request(connection)
        elif progress is connections.Progress.TOO_LARGE:
            self._refuse(
                connection,
                problems.HeadTooLarge(
                    detail=f"The headers exceed"
                    f" {self._limits.max_head_bytes} bytes."
                ),
            )
        elif progress is connections.Progress.GIVEN_UP:
            self._refuse(connection, problems.NO_ROOM)
        elif progress is connections.Progress.CLOSED:
            self._close_waiting(connection)
        elif not had_bytes and connection.buffer:
            self._start_head_timer(connection)

    def _start_head_timer(self, connection: connections.Connection) -> None:
        head_deadline_ms = self._clock.now_ms() + self._limits.head_timeout_ms
        connection.deadline_ms = min(connection.deadline_ms, head_deadline_ms)

    def _start_request(self, connection: connections.Connection) -> None:
        self._stop_waiting(connection)
        self._serve(connection)

    def _accept_returned(self) -> None:
        while self._returned:
            connection = self._returned.popleft()
            if connection.sock.fileno() < 0:
                continue
            connection.sock.setblocking(False)
            connection.deadline_ms = (
                self._clock.now_ms() + self._limits.idle_timeout_ms
            )
            self._start_waiting(connection)
            self._advance(connection)

    def _expire(self) -> None:
        for connection in [c for c in self._waiting if c.share.is_discarded]:
            self._refuse(connection, problems.NO_ROOM)
        now_ms = self._clock.now_ms()
        expired = [c for c in self._waiting if c.deadline_ms <= now_ms]
        for connection in expired:
            if connection.buffer:
                self._refuse(
                    connection,
                    problems.ClientTooSlow(
                        detail="The headers were not received in time."
                    ),
                )
            else:
                self._close_waiting(connection)

    def _refuse(
        self, connection: connections.Connection, failure: failures.Failure
    ) -> None:
        _send_refusal(connection.sock, failure)
        self._close_waiting(connection)

    def _stop_waiting(self, connection: connections.Connection) -> None:
        self._waiting.discard(connection)
        self._selector.unregister(connection.sock)

    def _close_waiting(self, connection: connections.Connection) -> None:
        self._stop_waiting(connection)
        self.discard(connection)

    def __repr__(self) -> str:
        return (
            f"ConnectionLoop(open={len(self._open)},"
            f" waiting={len(self._waiting)})"
        )


def _send_refusal(sock: socket.socket, failure: failures.Failure) -> None:
    response = problems.response_of(failure)
    response.headers["Connection"] = "close"
    head = "".join(f"{name}: {value}\r\n" for name, value in response.headers)
    data = f"HTTP/1.1 {response.status}\r\n{head}\r\n".encode()
    with contextlib.suppress(OSError):
        sock.send(data + response.get_data())
