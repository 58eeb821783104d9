"""Crowds of clients that send what makes a server hold memory, and never read.

A crowd opens connections to one address of a process and sends the same bytes
on each of them as fast as the process reads. Every payload consists of legal
parts; what is wrong is that it does not end, or that no response is read.
The number of connections and the sizes are chosen so that a process whose
machine has `MEMORY_MB` exceeds them if it counts less than it holds.

See Also:
    bambooglade_standins.users_platform.endless_bytes: the same of targets.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import fcntl
import pathlib
import socket
import tempfile

from bambooglade.eventloop import loop as loop_lib
from bambooglade.http1 import messages

MEMORY_MB = 80
"""Memory of the machine in the settings; an idle process takes some 32 MB."""

MAX_DESCRIPTORS = 600
"""Limit of open descriptors in the settings."""

MAX_BODY_BYTES = 1_000_000
"""Longest body in the configuration; other addresses allow longer ones."""

MAX_HEADER_BYTES = 16_384
"""Longest header in the configuration; the default of the users' platform."""

FEW = 8
"""Connections that together hold more than the memory, if 1 MB of body on each
takes eight times its size."""

MANY = 200
"""Connections of which each holds no more than a header."""

FLOOD = 650
"""Connections beyond the limit of descriptors."""

_SEND_BYTES = 262_144
"""Most bytes that are sent on a connection at a time."""

_PIECE_BYTES = 1_000
"""Most bytes at a time of a payload that is sent piece by piece."""

_PIPELINED_BYTES = 4_096
"""Bytes of one of many pipelined requests; a read of 65,536 ends with one.

A read that ends within a head is refused if it is longer than the header limit.
"""

_HEAD_FILL_BYTES = 15_900
"""Bytes of short fields that leave room for the ordinary ones of a header."""


class Request:
    """What all requests of a crowd have in common.

    Attributes:
        target: Path of the requests.
        fields: Header fields without those that delimit the body.
    """

    def __init__(
        self, target: bytes, fields: messages.HeaderFields | None = None
    ) -> None:
        self.target = target
        self.fields = fields or []

    def head(self, *extra: tuple[bytes, bytes]) -> bytes:
        """Returns the bytes of a head with additional fields."""
        return messages.encode_request(
            method=b"POST",
            target=self.target,
            fields=[*self.fields, *extra],
            has_body=False,
        )

    def with_length(self, length_bytes: int) -> bytes:
        """Returns a head that announces a body."""
        return self.head((b"Content-Length", b"%d" % length_bytes))

    def chunked(self) -> bytes:
        """Returns the head of a chunked body."""
        return self.head((b"Transfer-Encoding", b"chunked"))

    def unfinished(self) -> bytes:
        """Returns a head without the empty line at its end."""
        return self.head()[:-2]

    def __repr__(self) -> str:
        return f"Request({self.target!r})"


class Attack:
    """What each connection of a crowd sends.

    Attributes:
        connections: Number of connections.
        payload: Returns the bytes for one connection.
        max_send_bytes: Most bytes that are sent at a time.
    """

    def __init__(
        self,
        payload: Callable[[Request], bytes],
        *,
        connections: int = FEW,
        max_send_bytes: int = _SEND_BYTES,
    ) -> None:
        self.connections = connections
        self.payload = payload
        self.max_send_bytes = max_send_bytes

    def __repr__(self) -> str:
        return f"Attack(connections={self.connections})"


def _short_by_one_byte(request: Request) -> bytes:
    return request.with_length(MAX_BODY_BYTES) + (MAX_BODY_BYTES - 1) * b"x"


def _large_chunks(request: Request) -> bytes:
    chunk = messages.encode_chunk(16_384 * b"x")
    return request.chunked() + MAX_BODY_BYTES // 16_384 * chunk


def _tiny_chunks(size_bytes: int) -> Callable[[Request], bytes]:
    chunk = messages.encode_chunk(size_bytes * b"x")
    count = MAX_BODY_BYTES // size_bytes - 1
    return lambda request: request.chunked() + count * chunk


def _pipelined_short_fields(request: Request) -> bytes:
    """A whole number of requests fills a read, and each has many fields."""
    fill_bytes = _PIPELINED_BYTES - len(request.head()) - len(b"X:\r\n")
    fields, rest_bytes = divmod(fill_bytes, len(b"ab:cd\r\n"))
    padding = b"X:" + rest_bytes * b"x" + b"\r\n"
    head = request.unfinished() + fields * b"ab:cd\r\n" + padding + b"\r\n"
    return 150 * head


def _unread_responses(request: Request) -> bytes:
    """A read has fewer requests than may be pipelined in one."""
    return 300 * (request.with_length(4_400) + 4_400 * b"x")


ATTACK_BY_NAME = {
    "body short by one byte": Attack(_short_by_one_byte),
    "body short by one byte in pieces": Attack(
        lambda request: request.with_length(200_000) + 199_999 * b"x",
        max_send_bytes=_PIECE_BYTES,
        connections=5 * FEW,
    ),
    "large chunks": Attack(_large_chunks),
    "one-byte chunks": Attack(_tiny_chunks(1)),
    "two-byte chunks": Attack(_tiny_chunks(2)),
    "chunk extension": Attack(
        lambda request: request.chunked() + b"1;" + 2_000_000 * b"x"
    ),
    "trailer line": Attack(
        lambda request: request.chunked() + b"0\r\nX: " + 2_000_000 * b"x"
    ),
    "trailer lines": Attack(
        lambda request: request.chunked() + b"0\r\n" + 300_000 * b"ab:cd\r\n"
    ),
    "header line": Attack(
        lambda request: request.unfinished() + b"X: " + 2_000_000 * b"x"
    ),
    "header lines": Attack(
        lambda request: request.unfinished() + 300_000 * b"ab:cd\r\n"
    ),
    "unfinished heads": Attack(
        lambda request: (
            request.unfinished() + _HEAD_FILL_BYTES // 8 * b"ab:cd\r\n"
        ),
        connections=MANY,
    ),
    "announced too long": Attack(
        lambda request: request.with_length(20_000_000) + 8_000_000 * b"x"
    ),
    "sent too long": Attack(
        lambda request: (
            request.chunked() + 1_000 * messages.encode_chunk(8_192 * b"x")
        )
    ),
    "whole bodies": Attack(
        lambda request: (
            request.with_length(MAX_BODY_BYTES) + MAX_BODY_BYTES * b"x"
        ),
        connections=5 * FEW,
    ),
    "pipelined large requests": Attack(
        lambda request: 80 * (request.with_length(100_000) + 100_000 * b"x")
    ),
    "pipelined requests with many fields": Attack(
        _pipelined_short_fields, max_send_bytes=_PIPELINED_BYTES
    ),
    "unread responses": Attack(_unread_responses, connections=5 * FEW),
    "connections": Attack(lambda request: b"P", connections=FLOOD),
}
"""Attacks by what their clients send."""


@contextlib.contextmanager
def only_one() -> Iterator[None]:
    """Waits until no other process of the machine runs a crowd."""
    path = pathlib.Path(tempfile.gettempdir()) / "uncontrolled-clients.lock"
    with path.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


class Crowd:
    """Connections that send a payload, and never read.

    Args:
        loop: The event loop.
        address: Address that is attacked.
        attack: What is sent.
        payload: The bytes for each connection.

    Attributes:
        sent_bytes: Bytes that the connections have sent together.
    """

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        address: tuple[str, int],
        attack: Attack,
        payload: bytes,
    ) -> None:
        self._address = address
        self.sent_bytes = 0
        self._clients = [
            _Client(loop, address, attack, payload, self)
            for _ in range(attack.connections)
        ]

    @property
    def unread_bytes(self) -> int:
        """Bytes that the system keeps for the process that is attacked."""
        port = f":{self._address[1]:04X}"
        total_bytes = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            parts = line.split()
            if parts[1].endswith(port):
                total_bytes += int(parts[4].partition(":")[2], 16)
        return total_bytes

    def close(self) -> None:
        """Closes all connections."""
        for client in self._clients:
            client.close()

    def __repr__(self) -> str:
        return f"Crowd(sent={self.sent_bytes})"


class _Client:
    def __init__(
        self,
        loop: loop_lib.EventLoop,
        address: tuple[str, int],
        attack: Attack,
        payload: bytes,
        crowd: Crowd,
    ) -> None:
        self._loop = loop
        self._unsent = memoryview(payload)
        self._max_send_bytes = attack.max_send_bytes
        self._crowd = crowd
        self._sock = socket.socket()
        # The system would take responses in place of the client otherwise.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.setblocking(False)
        self._sock.connect_ex(address)
        loop.watch(self._sock, loop_lib.WRITE, self._send)

    def _send(self, events: int) -> None:
        del events
        try:
            sent = self._sock.send(self._unsent[: self._max_send_bytes])
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        self._crowd.sent_bytes += sent
        self._unsent = self._unsent[sent:]
        if not self._unsent:
            self._loop.watch(self._sock, 0, self._send)

    def close(self) -> None:
        """Closes the connection; closing again has no effect."""
        if self._sock.fileno() >= 0:
            self._loop.watch(self._sock, 0, self._send)
            self._sock.close()
