"""Server that sends scripted bytes, for tests of clients."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools
import socket
import threading

TIMEOUT_S = 10


@contextlib.contextmanager
def listening(
    serve: Callable[[socket.socket, int], None],
) -> Iterator[tuple[str, list[bytes]]]:
    """Serves each connection by `serve(socket, connection number)`."""
    requests: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def handle(sock, number):
            sock.settimeout(TIMEOUT_S)
            with contextlib.suppress(OSError), sock:
                requests.append(sock.recv(65_536))
                serve(sock, number)

        def accept():
            with contextlib.suppress(OSError):
                for number in itertools.count():
                    sock, _ = listener.accept()
                    threading.Thread(
                        target=handle, args=(sock, number), daemon=True
                    ).start()

        threading.Thread(target=accept, daemon=True).start()
        yield f"http://127.0.0.1:{listener.getsockname()[1]}/", requests


def respond_then_close(data: bytes):
    return lambda sock, number: sock.sendall(data)
