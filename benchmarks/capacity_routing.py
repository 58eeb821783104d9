"""What choosing and watching targets costs a node."""

from __future__ import annotations

from collections.abc import Iterator
import socket
import time

from bambooglade.core import identifiers
from bambooglade.targets import chooser
from bambooglade.targets import target as target_lib
from bambooglade.transport import client as client_lib
from bambooglade.transport import messages
from bambooglade_standins.engine import app as engine_app
from bambooglade_standins.engine import server as engine_server

CANDIDATES = (5, 40, 600)
POLLED_PATHS = ("/load", "/cache/events?after=0")
_REPEATS = 200
_US_PER_S = 1_000_000
_CHUNK_BYTES = 65_536
_TIMEOUT_S = 5
_END = b"\r\n\r\n"


def lines() -> Iterator[str]:
    """Yields the time to choose, and the bytes to ask a target for its load."""
    for count in CANDIDATES:
        yield (
            f"experiment=capacity part=routing candidates={count} "
            f"choose_us={_choose_us(count):.0f}"
        )
    with _Engine() as engine:
        for path in POLLED_PATHS:
            request = _request_head(path)
            answer = engine.answer(request)
            yield (
                f"experiment=capacity part=routing poll={path.split('?')[0]} "
                f"request_bytes={len(request)} answer_bytes={len(answer)}"
            )


def _choose_us(count: int) -> float:
    zones = [identifiers.AvailabilityZone(f"zone-{n}") for n in range(7)]
    candidates = [
        chooser.Candidate(
            target=target_lib.Target(
                target_id=identifiers.TargetId(f"engine-{number}"),
                service=identifiers.ServiceName("model"),
                availability_zone=zones[number % len(zones)],
                url="http://127.0.0.1:1",
            ),
            load=number % 11,
        )
        for number in range(count)
    ]
    started_s = time.process_time()
    for turn in range(_REPEATS):
        chooser.choose(candidates, zones[0], turn=turn)
    return (time.process_time() - started_s) / _REPEATS * _US_PER_S


class _Engine:
    """A stand-in engine, asked over a raw socket so that bytes are counted."""

    def __enter__(self) -> _Engine:
        self._http, _ = engine_server.start(
            engine_app.EngineOptions(
                target_id="engine-1", availability_zone="zone-0", model="model"
            )
        )
        return self

    def __exit__(self, *exception: object) -> None:
        self._http.kill()

    def answer(self, request: bytes) -> bytes:
        """Returns the whole answer to a request that asks to close."""
        port = self._http.port
        with socket.create_connection(("127.0.0.1", port), _TIMEOUT_S) as sock:
            sock.sendall(
                request[: -len(_END)] + b"\r\nConnection: close" + _END
            )
            received = b""
            while chunk := sock.recv(_CHUNK_BYTES):
                received += chunk
        return received


def _request_head(path: str) -> bytes:
    """Returns what the router's client sends."""
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    stream = client_lib.HttpClient().stream(
        messages.Request(
            method="GET",
            url=f"http://127.0.0.1:{port}{path}",
            first_byte_timeout_ms=100,
            total_timeout_ms=100,
        )
    )
    for _ in stream:
        pass
    connection, _ = listener.accept()
    with connection, listener:
        connection.settimeout(_TIMEOUT_S)
        return connection.recv(_CHUNK_BYTES)
