"""Accepted connections and the bodies of their requests."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import enum
import io
import select
import socket
import ssl

from werkzeug import exceptions

_RECEIVE_BYTES = 65_536
_HEAD_TERMINATORS = (b"\r\n\r\n", b"\n\n")
_MS_PER_S = 1_000


class Progress(enum.Enum):
    """State of a connection after reading the available bytes."""

    WAITING = "waiting"
    READY = "ready"
    TOO_LARGE = "too_large"
    CLOSED = "closed"


class ReceiveTimeoutError(Exception):
    """The body was not received within the time-out."""


class Connection:
    """An accepted connection, with the received bytes of the next request.

    Args:
        sock: The accepted socket; with TLS, before the handshake.
        address: IP address and port of the client.
        deadline_ms: Time at which the current wait expires.
    """

    __slots__ = ("_handshake_done", "address", "buffer", "deadline_ms", "sock")

    def __init__(
        self, sock: socket.socket, address: tuple[str, int], deadline_ms: int
    ) -> None:
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
        except EOFError:
            return Progress.CLOSED
        except OSError:
            return Progress.CLOSED
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
    """

    def __init__(self, connection: Connection, timeout_ms: int, now_ms) -> None:
        super().__init__()
        self._connection = connection
        self._deadline_ms = now_ms() + timeout_ms
        self._now_ms = now_ms
        self.received_bytes = 0

    def readable(self) -> bool:
        """Returns True."""
        return True

    def readinto(self, target: memoryview) -> int:
        """Reads one byte or more; returns 0 at the end of the connection."""
        buffer = self._connection.buffer
        if not buffer:
            buffer += self._receive()
        size = min(len(buffer), len(target))
        target[:size] = bytes(buffer[:size])
        del buffer[:size]
        self.received_bytes += size
        return size

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
        remaining_ms = self._deadline_ms - self._now_ms()
        if remaining_ms <= 0:
            raise ReceiveTimeoutError("the body was not received in time")
        self._connection.sock.settimeout(remaining_ms / _MS_PER_S)
        try:
            return self._connection.sock.recv(_RECEIVE_BYTES)
        except TimeoutError as error:
            raise ReceiveTimeoutError(
                "the body was not received in time"
            ) from error


class BoundedInput(io.RawIOBase):
    """A body of unknown length with a size limit.

    Args:
        source: The body.
        max_bytes: Maximum size of the body.
    """

    def __init__(self, source: io.RawIOBase, max_bytes: int) -> None:
        super().__init__()
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
        return size


def _is_readable(sock: socket.socket) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLIN | select.POLLHUP)
    return bool(poller.poll(0))
