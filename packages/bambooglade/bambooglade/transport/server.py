"""HTTP server on a thread pool, for WSGI applications."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import ssl
import threading

from absl import logging
import msgspec
from werkzeug import serving

from bambooglade.core import clock as clocks
from bambooglade.transport import connection_loop
from bambooglade.transport import connections
from bambooglade.transport import limits as limits_lib
from bambooglade.transport import request_handler

_MS_PER_S = 1_000
_JOIN_S = 5


class TlsFiles(msgspec.Struct, frozen=True, kw_only=True):
    """Paths of the certificate chain and its private key, in PEM form."""

    certificate_file: str
    key_file: str


class HttpServer:
    """Serves a WSGI application on one address.

    Args:
        app: The WSGI application. Its environment has the key
            `request_handler.CLIENT_GONE`, a function.
        host: IP number to listen on.
        port: Port to listen on; 0 takes a free one.
        limits: Limits on clients.
        tls: Certificate for TLS, or None for plain TCP.
        clock: The clock for time-outs.

    Examples:
        >>> from werkzeug import wrappers
        >>> server = HttpServer(
        ...     wrappers.Response("hello"), host="127.0.0.1", port=0)
        >>> server.start()
        >>> server.url.startswith("http://127.0.0.1:")
        True
        >>> server.stop()

    See Also:
        bambooglade.transport.client.HttpClient: the other end.
    """

    __slots__ = ("_limits", "_loop", "_pool", "_server", "_thread", "_working")

    def __init__(
        self,
        app: Callable,
        *,
        host: str,
        port: int,
        limits: limits_lib.ServerLimits | None = None,
        tls: TlsFiles | None = None,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._limits = limits or limits_lib.ServerLimits()
        context = _tls_context(tls) if tls else None
        clock = clock or clocks.Clock()
        self._server = _WsgiServer(
            app, host=host, port=port, limits=self._limits, clock=clock
        )
        self._server.ssl_context = context
        self._pool = futures.ThreadPoolExecutor(
            self._limits.max_threads, thread_name_prefix="http"
        )
        self._working: set[futures.Future[None]] = set()
        self._loop = connection_loop.ConnectionLoop(
            self._server.socket,
            tls=context,
            limits=self._limits,
            clock=clock,
            serve=self._submit,
        )
        self._thread = threading.Thread(
            target=self._loop.run, name="http-loop", daemon=True
        )

    @property
    def port(self) -> int:
        """Returns the port that the server listens on."""
        return self._server.port

    @property
    def url(self) -> str:
        """Returns the base URL."""
        scheme = "https" if self._server.ssl_context else "http"
        return f"{scheme}://{self._server.host}:{self.port}"

    def start(self) -> None:
        """Starts to accept connections."""
        self._thread.start()

    def drain(self) -> None:
        """Asks clients to go elsewhere: each answer closes its connection.

        Requests are served as before until `stop`.
        """
        self._server.draining = True

    def stop(self) -> None:
        """Accepts nothing new and lets requests in progress end.

        What has not ended after `limits.stop_timeout_ms` is cut off.
        """
        self.drain()
        self._loop.stop()
        if self._thread.is_alive():
            self._thread.join(_JOIN_S)
        timeout_s = self._limits.stop_timeout_ms / _MS_PER_S
        _, late = futures.wait(list(self._working), timeout=timeout_s)
        if late:
            logging.warning("event=requests_cut_at_stop count=%d", len(late))
        self._loop.close_all()
        self._pool.shutdown(wait=not late, cancel_futures=True)

    def kill(self) -> None:
        """Closes all connections at once, as a crash would; for tests."""
        self._server.draining = True
        self._loop.stop()
        if self._thread.is_alive():
            self._thread.join(_JOIN_S)
        self._loop.close_all()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _submit(self, connection: connections.Connection) -> None:
        try:
            future = self._pool.submit(self._serve, connection)
        except RuntimeError:
            self._loop.discard(connection)
            return
        self._working.add(future)
        future.add_done_callback(self._working.discard)

    def _serve(self, connection: connections.Connection) -> None:
        keep = False
        try:
            handler = request_handler.RequestHandler(
                connection, connection.address, self._server
            )
            keep = not handler.close_connection
        finally:
            if keep:
                self._loop.give_back(connection)
            else:
                self._loop.discard(connection)

    def __repr__(self) -> str:
        return f"HttpServer(url={self.url!r}, working={len(self._working)})"


class _WsgiServer(serving.BaseWSGIServer):
    """Binds the address and holds what the handlers need."""

    multithread = True

    def __init__(
        self,
        app: Callable,
        *,
        host: str,
        port: int,
        limits: limits_lib.ServerLimits,
        clock: clocks.Clock,
    ) -> None:
        super().__init__(host, port, app, request_handler.RequestHandler)
        self.limits = limits
        self.clock = clock
        self.draining = False


def _tls_context(tls: TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context
