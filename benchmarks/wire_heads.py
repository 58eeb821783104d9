"""Sizes of the HTTP heads around an envelope, taken from real sockets."""

from __future__ import annotations

import socket

import msgspec
from werkzeug import wrappers

from bambooglade.core import clock as clocks
from bambooglade.fleet import messages
from bambooglade.transport import codec as codecs
from bambooglade.transport import peers
from bambooglade.transport import sealing
from bambooglade.transport import server
from bambooglade.transport import signing

_END = b"\r\n\r\n"
_TIMEOUT_S = 10


class Heads(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes of the head of a request and of an answer between instances."""

    request_bytes: int
    answer_bytes: int


def measure() -> Heads:
    """Sends an envelope to a raw socket, and a raw request to the server."""
    request = _request_head()
    return Heads(
        request_bytes=len(request), answer_bytes=len(_answer_head(request))
    )


def _request_head() -> bytes:
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    clock = clocks.Clock()
    sender = peers.Peers(
        sealer=_sealer(clock),
        clock=clock,
        url_of=lambda _: f"http://127.0.0.1:{port}",
        receive=lambda *_: (),
        threads=1,
    )
    sender.send("other", messages.PingRequest(sequence=1, subject="i1"))
    connection, _ = listener.accept()
    with connection, listener:
        head = _head(connection)
    sender.close()
    return head


def _answer_head(request_head: bytes) -> bytes:
    sealed = _sealer(clocks.Clock()).seal("other", [])
    answer = wrappers.Response(
        sealed.body,
        content_type="application/json",
        headers={sealing.SIGNATURE_HEADER: sealed.signature},
    )
    http = server.HttpServer(answer, host="127.0.0.1", port=0)
    http.start()
    address = ("127.0.0.1", http.port)
    with socket.create_connection(address, timeout=_TIMEOUT_S) as connection:
        length = request_head.lower().partition(b"content-length:")[2]
        body = b" " * int(length.split(b"\r\n")[0])
        connection.sendall(request_head + body)
        head = _head(connection)
    http.stop()
    return head


def _head(connection: socket.socket) -> bytes:
    received = b""
    while _END not in received:
        received += connection.recv(65_536)
    return received.partition(_END)[0] + _END


def _sealer(clock: clocks.Clock) -> sealing.Sealer:
    return sealing.Sealer(
        instance_id="self",
        signer=signing.Signer(b"k" * 32),
        clock=clock,
        codec=codecs.Codec(),
    )


def main() -> None:
    """Prints the sizes."""
    heads = measure()
    print(
        f"experiment=wire_heads request_bytes={heads.request_bytes} "
        f"answer_bytes={heads.answer_bytes}"
    )


if __name__ == "__main__":
    main()
