"""Test of the adapter against a service that closes without a response."""

from __future__ import annotations

import socket
import threading

from bambooglade.core import effects
from bambooglade.store import key_value

_RESPONSE = b'{"header": {"revision": "1"}, "kvs": []}'
_HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {len(_RESPONSE)}\r\n\r\n".encode()


class _Service:
    """Responds to reads, and closes the connection on each write."""

    def __init__(self):
        self.writes = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection:
            while request := connection.recv(65_536):
                if b"/v3/kv/txn" in request:
                    self.writes += 1
                    return
                connection.sendall(_HEAD + _RESPONSE)

    def close(self):
        self._listener.close()


def test_write_is_not_resent_after_a_lost_response():
    """A resent write would conflict with its own first attempt."""
    service = _Service()
    adapter = key_value.HttpKeyValueStore(url=service.url)
    assert adapter.read(effects.ReadDocument(key="a")).revision == 0
    write = effects.WriteDocument(key="a", expected_revision=0, value=b"1")
    assert adapter.write(write) == effects.WriteUncertain(key="a")
    service.close()
    assert service.writes == 1
