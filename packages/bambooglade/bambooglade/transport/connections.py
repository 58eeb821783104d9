"""Accepted connections and the bodies of their requests."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import enum
import io
import select
import socket
import ssl

from werkzeug import exceptions

from bambooglade.transport import message_budget

_RECEIVE_BYTES = 16_384
"""Most bytes of a read, which are counted after it; each thread may hold them
beyond the limit of all. It is the size of a TLS record."""

_TLS_POLL_S = 0.1
"""Time after which a thread that receives by TLS looks whether to give up."""

_HEAD_TERMINATORS = (b"\r\n\r\n", b"\n\n")
_MS_PER_S = 1_000


class Progress(enum.Enum):
    """State of a connection after reading the available bytes."""

    WAITING = "waiting"
    READY = "ready"
    TOO_LARGE = "too_large"
    CLOSED = "closed"
    GIVEN_UP = "given_up"


class ReceiveTimeoutError(Exception):
    """The body was not received within the time-out."""


class NoRoomError(Exception):
    """The process needs the memory of the request for others."""


class Connection:
    """An accepted connection, with the received bytes of the next request.

    Args:
        sock: The accepted socket; with TLS, before the handshake.
        address: IP address and port of the client.
        deadline_ms: Time at which the current wait expires.
        budget: Bytes that the requests of all connections may take.

    Attributes:
        share: What the request of the connection takes of the budget.
    """

    __slots__ = (
        "_handshake_done",
        "address",
        "buffer",
        "deadline_ms",
        "share",
        "sock",
    )

    def __init__(
        self,
        sock: socket.socket,
        address: tuple[str, int],
        deadline_ms: int,
        budget: message_budget.MessageBudget,
    ) -> None:
        self.share = budget.open(self._give_up)
        self.sock = sock
        self.address = address
        self.buffer = bytearray()
        self.deadline_ms = deadline_ms
        self._handshake_done = not isinstance(sock, ssl.SSLSocket)

    def advance(self, *, max_head_bytes: int) -> Progress:
        """Reads the available bytes without blocking.

        Args:
            max_head_bytes: Maximum size of the request line and the headers.
        """
        try:
            self._do_handshake()
            for chunk in self._available_chunks():
                self.buffer += chunk
                if len(self.buffer) > max_head_bytes:
                    break
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            pass
        except (EOFError, OSError):
            is_given_up = self.share.is_discarded and self.buffer
            return Progress.GIVEN_UP if is_given_up else Progress.CLOSED
        if not self.share.resize(len(self.buffer)):
            return Progress.GIVEN_UP if self.buffer else Progress.CLOSED
        return self.head_progress(max_head_bytes=max_head_bytes)

    def head_progress(self, *, max_head_bytes: int) -> Progress:
        """Returns whether the buffer has the complete headers of a request."""
        end = self._head_length()
        if end > max_head_bytes or (
            end < 0 and len(self.buffer) > max_head_bytes
        ):
            return Progress.TOO_LARGE
        return Progress.WAITING if end < 0 else Progress.READY

    def take_head(self) -> bytes:
        """Removes and returns the request line and headers in the buffer."""
        end = self._head_length()
        head = bytes(self.buffer[:end])
        del self.buffer[:end]
        return head

    def is_gone(self) -> bool:
        """Returns whether the client has closed the connection.

        A half-closed connection counts as closed.
        """
        if self.buffer:
            return False
        try:
            if not _is_readable(self.sock):
                return False
            if isinstance(self.sock, ssl.SSLSocket):
                return self._is_tls_closed()
            return not self.sock.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):  # ValueError: closed by the server
            return True

    def close(self) -> None:
        """Closes the socket; closing again has no effect."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        self.share.close()

    def receive(self, timeout_s: float) -> bytes:
        """Receives a part of the body, and counts it.

        Args:
            timeout_s: Longest time to wait.

        Raises:
            NoRoomError: The process needs the memory for others.
            TimeoutError: Nothing was received, possibly before the time-out.
        """
        if isinstance(self.sock, ssl.SSLSocket):
            timeout_s = min(timeout_s, _TLS_POLL_S)
        self.sock.settimeout(timeout_s)
        try:
            chunk = self.sock.recv(_RECEIVE_BYTES)
        except OSError:
            if self.share.is_discarded:
                raise NoRoomError from None
            raise
        if self.share.is_discarded or not self.share.grow(len(chunk)):
            raise NoRoomError
        return chunk

    def _give_up(self) -> None:
        """Wakes the thread that receives; the client can still get a response.

        After an unexpected end, TLS could not send one. Its thread notices by
        itself; see `receive`.
        """
        if not isinstance(self.sock, ssl.SSLSocket):
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RD)

    def _is_tls_closed(self) -> bool:
        self.sock.settimeout(0)
        try:
            chunk = self.sock.recv(_RECEIVE_BYTES)
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return False
        self.buffer += chunk
        return not chunk

    def _do_handshake(self) -> None:
        if not self._handshake_done:
            self.sock.do_handshake()
            self._handshake_done = True

    def _available_chunks(self) -> Iterator[bytes]:
        while True:
            try:
                chunk = self.sock.recv(_RECEIVE_BYTES)
            except BlockingIOError:
                return
            if not chunk:
                raise EOFError
            yield chunk

    def _head_length(self) -> int:
        ends = (
            (self.buffer.find(mark), len(mark)) for mark in _HEAD_TERMINATORS
        )
        found = [start + length for start, length in ends if start >= 0]
        return min(found, default=-1)

    def __repr__(self) -> str:
        return f"Connection(address={self.address[0]}:{self.address[1]})"


class BodyInput(io.RawIOBase):
    """The bytes after the headers of a request, with a deadline for all reads.

    Args:
        connection: The connection.
        timeout_ms: Time to receive the whole body.
        now_ms: Returns the current time in milliseconds.

    Attributes:
        length: Length of the body, once it is known.
        received_bytes: Bytes of the body that were read.
    """

    def __init__(self, connection: Connection, timeout_ms: int, now_ms) -> None:
        super().__init__()
        self._connection = connection
        self._deadline_ms = now_ms() + timeout_ms
        self._now_ms = now_ms
        self.received_bytes = 0
        self.length: int | None = None

    def readable(self) -> bool:
        """Returns True."""
        return True

    def readinto(self, target: memoryview) -> int:
        """Reads one byte or more; returns 0 at the end of the connection.

        Raises:
            NoRoomError: The process needs the memory of the request for others.
            ReceiveTimeoutError: The body was not received in time.
        """
        buffer = self._connection.buffer
        if not buffer:
            buffer += self._receive()
        size = min(len(buffer), len(target))
        with memoryview(buffer) as received:
            target[:size] = received[:size]
        del buffer[:size]
        self.received_bytes += size
        if self.received_bytes == self.length:
            self.keep()
        return size

    def keep(self) -> None:
        """Records that the request is complete.

        Raises:
            NoRoomError: There is no room for it.
        """
        if not self._connection.share.try_keep():
            raise NoRoomError

    def read(self, size: int = -1) -> bytes:
        """Reads `size` bytes, or fewer if the connection ends."""
        if size < 0:
            return self.readall()
        parts = bytearray()
        while len(parts) < size:
            part = super().read(size - len(parts))
            if not part:
                break
            parts += part
        return bytes(parts)

    def _receive(self) -> bytes:
        while True:
            remaining_ms = self._deadline_ms - self._now_ms()
            if remaining_ms <= 0:
                raise ReceiveTimeoutError("the body was not received in time")
            try:
                return self._connection.receive(remaining_ms / _MS_PER_S)
            except TimeoutError:
                continue


class BoundedInput(io.RawIOBase):
    """A body of unknown length with a size limit.

    Args:
        source: The body.
        max_bytes: Maximum size of the body.
        on_end: Called at the end of the body.
    """

    def __init__(
        self,
        source: io.RawIOBase,
        max_bytes: int,
        *,
        on_end: Callable[[], None],
    ) -> None:
        super().__init__()
        self._on_end = on_end
        self._source = source
        self._remaining_bytes = max_bytes

    def readable(self) -> bool:
        """Returns True."""
        return True

    def readinto(self, target: memoryview) -> int:
        """Reads a part of the body.

        Raises:
            RequestEntityTooLarge: The body exceeds the limit.
        """
        size = self._source.readinto(target)
        self._remaining_bytes -= size
        if self._remaining_bytes < 0:
            raise exceptions.RequestEntityTooLarge
        if not size and len(target):
            self._on_end()
        return size


def _is_readable(sock: socket.socket) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLIN | select.POLLHUP)
    return bool(poller.poll(0))
