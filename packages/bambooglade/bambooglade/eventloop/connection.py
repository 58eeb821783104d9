"""Non-blocking TCP connections with a bounded write buffer."""

from __future__ import annotations

import errno
import socket
from typing import Protocol

from bambooglade.eventloop import loop as loop_lib

READ_BYTES = 65_536
"""Bytes taken from a socket at a time; a request or a burst of events."""

MAX_BUFFERED_BYTES = 4_194_304 + 65_536
"""Unsent bytes of one connection; the longest body, with its head."""

KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 4
"""Probes that find a silent peer about 6 s after its last sign of life."""

_IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EAGAIN)


class Handler(Protocol):
    """What a connection calls."""

    def connected(self) -> None:
        """The connection is established."""
        ...

    def received(self, data: bytes) -> None:
        """Bytes arrived."""
        ...

    def closed(self, *, is_clean: bool) -> None:
        """The peer closed, or the connection broke; called once.

        Args:
            is_clean: Whether the peer closed in order, without a reset.
        """
        ...


class Connection:
    """One TCP connection on an event loop.

    Args:
        loop: The event loop.
        sock: A non-blocking socket, connected or connecting.
        handler: Is told what happens.
        is_connecting: Whether the connection is still being established.
    """

    __slots__ = (
        "_events",
        "_finishes",
        "_handler",
        "_is_connecting",
        "_is_open",
        "_is_reading",
        "_loop",
        "_sock",
        "_unsent",
        "closes_when_sent",
        "sent_bytes",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        sock: socket.socket,
        handler: Handler,
        *,
        is_connecting: bool = False,
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._handler = handler
        self._is_connecting = is_connecting
        self._is_open = True
        self._is_reading = True
        self._unsent = bytearray()
        self._events = 0
        self._finishes = False
        self.closes_when_sent = False
        self.sent_bytes = 0
        self._update()

    @property
    def is_open(self) -> bool:
        """Whether the connection was neither closed nor lost."""
        return self._is_open

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait to be taken by the socket."""
        return len(self._unsent)

    def set_handler(self, handler: Handler) -> None:
        """Hands the connection to another user."""
        self._handler = handler

    def send(self, data: bytes) -> None:
        """Sends bytes, or buffers what the socket does not take now."""
        if not self._is_open:
            return
        if self._unsent or self._is_connecting:
            self._unsent += data
            self._update()
        else:
            self._send_now(data)
        if len(self._unsent) > MAX_BUFFERED_BYTES:
            self._lost(is_clean=False)

    def pause_reading(self, *, is_paused: bool) -> None:
        """Stops or resumes taking bytes from the peer."""
        self._is_reading = not is_paused
        self._update()

    def close(self) -> None:
        """Closes without telling the handler."""
        if self._is_open:
            self._is_open = False
            self._loop.watch(self._sock, 0, self._ready)
            self._sock.close()

    def reset(self) -> None:
        """Closes with a reset, so that the peer can't take it for an end."""
        if self._is_open:
            linger_now = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger_now
            )
        self.close()

    def finish(self) -> None:
        """Ends the own direction once all bytes were taken by the socket.

        The peer reads everything before it sees the end; what it still sends
        is read, so that the connection is not reset.
        """
        self._finishes = True
        if not self._unsent and self._is_open:
            self._shut_down()

    def _shut_down(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._loop.call_later(0, self._lost_later)

    def close_when_sent(self) -> None:
        """Closes as soon as all bytes were taken by the socket."""
        self.closes_when_sent = True
        if not self._unsent and not self._is_connecting:
            self.close()

    def _send_now(self, data: bytes) -> None:
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._loop.call_later(0, self._lost_later)
            return
        self.sent_bytes += sent
        if sent < len(data):
            self._unsent += data[sent:]
            self._update()

    def _lost_later(self) -> None:
        self._lost(is_clean=False)

    def _update(self) -> None:
        if not self._is_open:
            return
        events = loop_lib.READ if self._is_reading else 0
        if self._is_connecting:
            events = loop_lib.WRITE
        elif self._unsent:
            events |= loop_lib.WRITE
        if events != self._events:
            self._events = events
            self._loop.watch(self._sock, events, self._ready)

    def _ready(self, events: int) -> None:
        if events & loop_lib.WRITE:
            self._writable()
        if events & loop_lib.READ and self._is_open and self._is_reading:
            self._readable()

    def _writable(self) -> None:
        if self._is_connecting:
            if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._lost(is_clean=False)
                return
            self._is_connecting = False
            self._handler.connected()
            if not self._is_open:
                return
        if self._unsent:
            self._send_unsent()
        if self._is_open and not self._unsent:
            if self.closes_when_sent:
                self.close()
            elif self._finishes:
                self._shut_down()
        self._update()

    def _send_unsent(self) -> None:
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            return
        except OSError:
            self._lost(is_clean=False)
            return
        self.sent_bytes += sent
        del self._unsent[:sent]

    def _readable(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._lost(is_clean=False)
            return
        if data:
            self._handler.received(data)
        else:
            self._lost(is_clean=True)

    def _lost(self, *, is_clean: bool) -> None:
        if self._is_open:
            self.close()
            self._handler.closed(is_clean=is_clean)

    def __repr__(self) -> str:
        return f"Connection(open={self._is_open}, unsent={len(self._unsent)})"


def connect(
    loop: loop_lib.EventLoop, address: tuple[str, int], handler: Handler
) -> Connection:
    """Starts to connect; the handler is told how it ended.

    Args:
        loop: The event loop.
        address: IP number and port.
        handler: Told of the connection, or of its failure.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    configure(sock)
    error = sock.connect_ex(address)
    connection = Connection(loop, sock, handler, is_connecting=True)
    if error and error not in _IN_PROGRESS:
        loop.call_later(0, connection._lost_later)
    return connection


def configure(sock: socket.socket) -> None:
    """Sets the options of a connection: no delay, and keep-alive probes."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for option, value in tcp_options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


class Listener:
    """Accepts connections.

    Args:
        loop: The event loop.
        address: IP number and port; port 0 lets the system choose.
        accepted: Called with each new socket.
    """

    __slots__ = ("_accepted", "_loop", "_sock")

    BACKLOG = 512
    """Connections that may wait to be accepted, as many as a burst opens."""

    def __init__(self, loop, address: tuple[str, int], accepted) -> None:
        self._loop = loop
        self._accepted = accepted
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self._sock.listen(self.BACKLOG)
        loop.watch(self._sock, loop_lib.READ, self._ready)

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port that it listens on."""
        return self._sock.getsockname()

    def close(self) -> None:
        """Stops to accept; doing so again has no effect."""
        if self._sock.fileno() >= 0:
            self._loop.watch(self._sock, 0, self._ready)
            self._sock.close()

    def _ready(self, events: int) -> None:
        del events
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            configure(sock)
            self._accepted(sock)

    def __repr__(self) -> str:
        return f"Listener(address={self.address})"
