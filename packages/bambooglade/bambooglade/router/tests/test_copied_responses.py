"""Tests of plain services that write an earlier response once more."""

from __future__ import annotations

import contextlib
import re
import socket
import threading
import time

import pytest

from bambooglade.router.tests import caller_api_harness

COPY_LEAD_S = 0.05
"""Time between a copy and the response that is due."""


class CopyingService:
    """Writes a copy of the last response before each response.

    Attributes:
        url: Base URL.
        connection_count: Number of connections.
    """

    def __init__(self, *, has_id: bool, copy_has_id: bool) -> None:
        self._has_id = has_id
        self._copy_has_id = copy_has_id
        self._answers = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        self.connection_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Stops listening."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self.connection_count += 1
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock: socket.socket) -> None:
        copy = b""
        with contextlib.suppress(OSError), sock:
            while request := sock.recv(65_536):
                sock.sendall(copy)
                time.sleep(COPY_LEAD_S)
                self._answers += 1
                body = b"answer-%d" % self._answers
                (attempt_id,) = re.findall(rb"X-Request-Id: (\S+)", request)
                sock.sendall(_encode(body, attempt_id if self._has_id else b""))
                copy = _encode(body, attempt_id if self._copy_has_id else b"")


def _encode(body: bytes, attempt_id: bytes) -> bytes:
    field = b"X-Request-Id: %s\r\n" % attempt_id if attempt_id else b""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
    return head + field + b"\r\n" + body


@pytest.mark.parametrize(
    ("has_id", "copy_has_id"), [(True, True), (True, False), (False, False)]
)
def test_copy_of_an_earlier_response_is_not_delivered(has_id, copy_has_id):
    service = CopyingService(has_id=has_id, copy_has_id=copy_has_id)
    delivered = []
    with caller_api_harness.running_harness(
        {"till-1": service}, caller_api_harness.TILL
    ) as harness:
        for number in range(6):
            response = harness.send(
                "GET", "/services/till/status", Idempotency_Key=f"k{number}"
            )
            if response.head.status == 200:
                delivered.append(response.body)
    assert len(delivered) >= 3
    assert len(delivered) == len(set(delivered))
