"""Non-blocking TCP connections with a bounded write buffer."""

from __future__ import annotations

import errno
import socket
from typing import Protocol

from absl import logging

from bambooglade.eventloop import loop as loop_lib

READ_BYTES = 65_536
"""Maximum size of one read; holds a whole request or a burst of events."""

MAX_BUFFERED_BYTES = 4_194_304 + 65_536
"""Limit of the write buffer of a connection: the longest body and its head."""

KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 4
"""Failed probes after which a connection counts as lost.

With the idle time and the interval above, a silent peer is detected about 6 s
after the last data that was received from it."""

_IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EAGAIN)


class Handler(Protocol):
    """Callbacks of a connection."""

    def connected(self) -> None:
        """Called when the connection has been established."""
        ...

    def received(self, data: bytes) -> None:
        """Called with the bytes that were received."""
        ...

    def closed(self, *, is_clean: bool) -> None:
        """Called once when the peer closed the connection or it was lost.

        Args:
            is_clean: Whether the peer closed the connection without a reset.
        """
        ...


class _NoHandler:
    """Handler of a closed connection."""

    def connected(self) -> None:
        """Does nothing."""

    def received(self, data: bytes) -> None:
        """Drops the bytes."""

    def closed(self, *, is_clean: bool) -> None:
        """Does nothing."""


_NO_HANDLER = _NoHandler()


class Connection:
    """A non-blocking TCP connection on an event loop.

    Args:
        loop: The event loop.
        sock: A non-blocking socket, connected or connecting.
        handler: Receives the callbacks of the connection.
        is_connecting: Whether the connection is still being established.
        counts_for_link: Whether its bytes count in the admission by the link.
    """

    __slots__ = (
        "_counts_for_link",
        "_events",
        "_handler",
        "_is_connecting",
        "_is_open",
        "_is_reading",
        "_loop",
        "_share",
        "_shuts_down_when_sent",
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
        counts_for_link: bool = True,
    ) -> None:
        self._loop = loop
        self._counts_for_link = counts_for_link
        self._sock = sock
        self._handler = handler
        self._is_connecting = is_connecting
        self._is_open = True
        self._is_reading = True
        self._unsent = bytearray()
        self._share = loop.byte_budget.open(self._give_up)
        self._events = 0
        self._shuts_down_when_sent = False
        self.closes_when_sent = False
        self.sent_bytes = 0
        self._update_watch()

    @property
    def is_open(self) -> bool:
        """Whether the connection is neither closed nor lost."""
        return self._is_open

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes in the write buffer."""
        return len(self._unsent)

    def set_handler(self, handler: Handler) -> None:
        """Replaces the handler that receives the callbacks."""
        self._handler = handler

    def send(self, data: bytes) -> None:
        """Sends bytes, and buffers what the socket does not accept.

        The connection is lost when the buffer exceeds `MAX_BUFFERED_BYTES`, or
        is the longest when all messages of the process take too much memory.
        """
        if not self._is_open or self._share.is_discarded:
            return
        if self._unsent or self._is_connecting:
            self._unsent += data
            self._update_watch()
        else:
            self._send_now(data)
        if len(self._unsent) > MAX_BUFFERED_BYTES:
            self._handle_loss(is_clean=False)
        elif self._unsent:
            self._share.resize(len(self._unsent))

    def _give_up(self) -> None:
        """Lets go of the write buffer, and loses the connection afterwards."""
        self._unsent = bytearray()
        self._loop.call_later(0, self._handle_broken)

    def read_pending(self) -> None:
        """Passes what has arrived to the handler, without waiting for it."""
        if self._is_open and self._is_reading and not self._is_connecting:
            self._handle_readable()

    def pause_reading(self, *, is_paused: bool) -> None:
        """Pauses or resumes reading from the socket."""
        self._is_reading = not is_paused
        self._update_watch()

    def close(self) -> None:
        """Closes the connection without a callback to the handler."""
        if self._is_open:
            self._is_open = False
            self._loop.watch(self._sock, 0, self._handle_events)
            self._sock.close()
            self._unsent = bytearray()
            self._share.close()
            # The handler refers to the connection as well.
            self._handler = _NO_HANDLER

    def reset(self) -> None:
        """Closes with a reset.

        The peer sees an incomplete message, and what was not delivered yet
        never is.
        """
        if self._is_open:
            zero_linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, zero_linger
            )
        self.close()

    def finish(self) -> None:
        """Closes the sending direction once the write buffer is empty.

        The peer receives all buffered bytes before the end of the stream. Bytes
        from the peer are still read, since unread bytes would cause a reset.
        """
        self._shuts_down_when_sent = True
        if self._share.is_discarded:
            return
        if not self._unsent and self._is_open:
            self._shut_down()

    def _shut_down(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._loop.call_later(0, self._handle_broken)

    def close_when_sent(self) -> None:
        """Closes the connection once the write buffer is empty."""
        self.closes_when_sent = True
        if self._share.is_discarded:
            return
        if not self._unsent and not self._is_connecting:
            self.close()

    def _send_now(self, data: bytes) -> None:
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._loop.call_later(0, self._handle_broken)
            return
        self._record_sent(sent)
        if sent < len(data):
            self._unsent += data[sent:]
            self._update_watch()

    def _record_sent(self, sent: int) -> None:
        self.sent_bytes += sent
        if sent and self._counts_for_link:
            self._loop.link.record_sent(sent, now_ms=self._loop.now_ms())

    def _handle_broken(self) -> None:
        self._handle_loss(is_clean=False)

    def _update_watch(self) -> None:
        if not self._is_open:
            return
        events = loop_lib.READ if self._is_reading else 0
        if self._is_connecting:
            events = loop_lib.WRITE
        elif self._unsent:
            events |= loop_lib.WRITE
        if events != self._events:
            self._events = events
            self._loop.watch(self._sock, events, self._handle_events)

    def _handle_events(self, events: int) -> None:
        if self._share.is_discarded:
            return
        if events & loop_lib.WRITE:
            self._handle_writable()
        if events & loop_lib.READ and self._is_open and self._is_reading:
            self._handle_readable()

    def _handle_writable(self) -> None:
        if self._is_connecting:
            if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._handle_loss(is_clean=False)
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
            elif self._shuts_down_when_sent:
                self._shut_down()
        self._update_watch()

    def _send_unsent(self) -> None:
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            return
        except OSError:
            self._handle_loss(is_clean=False)
            return
        self._record_sent(sent)
        del self._unsent[:sent]
        self._share.resize(len(self._unsent))

    def _handle_readable(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._handle_loss(is_clean=False)
            return
        if data:
            if self._counts_for_link:
                self._loop.link.record_received(
                    len(data), now_ms=self._loop.now_ms()
                )
            self._handler.received(data)
        else:
            self._handle_loss(is_clean=True)

    def _handle_loss(self, *, is_clean: bool) -> None:
        if self._is_open:
            handler = self._handler
            self.close()
            handler.closed(is_clean=is_clean)

    def __repr__(self) -> str:
        return f"Connection(open={self._is_open}, unsent={len(self._unsent)})"


class UnopenedConnection:
    """A connection for which no socket could be opened.

    It has the interface of `Connection`, and is lost in the next step of the
    loop.

    Args:
        loop: The event loop.
        handler: Receives that the connection is lost, unless it is closed
            before.
    """

    __slots__ = ("_handler", "_is_open")

    sent_bytes = 0
    unsent_bytes = 0
    is_open = False

    def __init__(self, loop: loop_lib.EventLoop, handler: Handler) -> None:
        self._handler = handler
        self._is_open = True
        loop.call_later(0, self._handle_loss)

    def set_handler(self, handler: Handler) -> None:
        """Replaces the handler that receives the loss."""
        self._handler = handler

    def send(self, data: bytes) -> None:
        """Drops the bytes."""
        del data

    def close(self) -> None:
        """Closes the connection without a callback to the handler."""
        self._is_open = False

    def reset(self) -> None:
        """Closes the connection without a callback to the handler."""
        self.close()

    def _handle_loss(self) -> None:
        if self._is_open:
            self._is_open = False
            self._handler.closed(is_clean=False)

    def __repr__(self) -> str:
        return "UnopenedConnection()"


def connect(
    loop: loop_lib.EventLoop,
    address: tuple[str, int],
    handler: Handler,
    *,
    source_host: str = "",
    counts_for_link: bool = True,
) -> Connection | UnopenedConnection:
    """Starts to connect; the handler receives the result.

    Args:
        loop: The event loop.
        address: IP address and port.
        handler: `connected` is called on success, `closed` on a failure, and
            neither of them within this call.
        source_host: IP address to connect from; empty for the system's choice.
        counts_for_link: As for `Connection`.

    Returns:
        The connection; one that never opens if there is no socket left, or no
        connection to this address is possible.
    """
    sock = None
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        configure(sock)
        if source_host:
            sock.bind((source_host, 0))
        error = sock.connect_ex(address)
    except (OSError, OverflowError, TypeError, ValueError) as failure:
        logging.warning(
            "event=connect_failed address=%.80r error=%r", address, failure
        )
        if sock is not None:
            sock.close()
        return UnopenedConnection(loop, handler)
    connection = Connection(
        loop,
        sock,
        handler,
        is_connecting=True,
        counts_for_link=counts_for_link,
    )
    if error and error not in _IN_PROGRESS:
        loop.call_later(0, connection._handle_broken)
    return connection


def configure(sock: socket.socket) -> None:
    """Makes a socket non-blocking, and sets `TCP_NODELAY` and keep-alive."""
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
    """A listening TCP socket on an event loop.

    Args:
        loop: The event loop.
        address: IP address and port; for port 0 the system selects a free one.
        on_accept: Called with the socket of each new connection.
    """

    __slots__ = ("_loop", "_on_accept", "_sock")

    BACKLOG = 512
    """Size of the accept queue; a burst opens up to this many connections."""

    def __init__(self, loop, address: tuple[str, int], on_accept) -> None:
        self._loop = loop
        self._on_accept = on_accept
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self._sock.listen(self.BACKLOG)
        loop.watch(self._sock, loop_lib.READ, self._handle_events)

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port of the listening socket."""
        return self._sock.getsockname()

    def close(self) -> None:
        """Stops listening; closing again has no effect."""
        if self._sock.fileno() >= 0:
            self._loop.watch(self._sock, 0, self._handle_events)
            self._sock.close()

    def _handle_events(self, events: int) -> None:
        del events
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            configure(sock)
            self._on_accept(sock)

    def __repr__(self) -> str:
        return f"Listener(address={self.address})"
