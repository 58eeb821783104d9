"""HTTP server for WSGI applications on a thread pool."""

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
from bambooglade.transport import message_budget
from bambooglade.transport import problems
from bambooglade.transport import request_handler

STOPPING_RETRY_MS = 300
"""Time after which another instance is asked in place of one that stops."""

_MS_PER_S = 1_000
_JOIN_TIMEOUT_S = 5
_ABANDON_TIMEOUT_S = 2
"""Time for requests that are abandoned in a stop to respond; they notice it
about ten times a second."""


class TlsFiles(msgspec.Struct, frozen=True, kw_only=True):
    """Paths of the certificate chain and its private key, in PEM format."""

    certificate_file: str
    key_file: str


class HttpServer:
    """Serves a WSGI application on one address.

    Args:
        app: The WSGI application. Its environment has a function under the key
            `request_handler.CLIENT_GONE`.
        host: IP address to listen on.
        port: Port to listen on; 0 selects a free one.
        limits: Limits on clients.
        tls: Certificate for TLS, or None for plain TCP.
        clock: The clock for time-outs.
        budget: Bytes that the requests of all connections may take.

    Examples:
        >>> from werkzeug import wrappers
        >>> server = HttpServer(
        ...     wrappers.Response("hello"), host="127.0.0.1", port=0)
        >>> server.start()
        >>> server.url.startswith("http://127.0.0.1:")
        True
        >>> server.stop()

    See Also:
        bambooglade.transport.client.HttpClient: the client side.
    """

    __slots__ = (
        "_connection_by_request",
        "_limits",
        "_loop",
        "_pool",
        "_server",
        "_thread",
    )

    def __init__(
        self,
        app: Callable,
        *,
        host: str,
        port: int,
        limits: limits_lib.ServerLimits | None = None,
        tls: TlsFiles | None = None,
        clock: clocks.Clock | None = None,
        budget: message_budget.MessageBudget | None = None,
    ) -> None:
        self._limits = limits or limits_lib.ServerLimits()
        context = _tls_context(tls) if tls else None
        clock = clock or clocks.Clock()
        if budget is None:
            budget = message_budget.MessageBudget(now_ms=clock.now_ms)
        self._server = _WsgiServer(
            app, host=host, port=port, limits=self._limits, clock=clock
        )
        self._server.ssl_context = context
        self._pool = futures.ThreadPoolExecutor(
            self._limits.max_threads, thread_name_prefix="http"
        )
        self._connection_by_request: dict[
            futures.Future[None], connections.Connection
        ] = {}
        self._loop = connection_loop.ConnectionLoop(
            self._server.socket,
            tls=context,
            limits=self._limits,
            budget=budget,
            clock=clock,
            serve=self._submit,
        )
        self._thread = threading.Thread(
            target=self._loop.run, name="http-loop", daemon=True
        )

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._server.port

    @property
    def url(self) -> str:
        """The base URL of the server."""
        scheme = "https" if self._server.ssl_context else "http"
        return f"{scheme}://{self._server.host}:{self.port}"

    def start(self) -> None:
        """Starts accepting connections."""
        self._thread.start()

    def drain(self) -> None:
        """Closes each connection after its next response.

        Clients then reconnect to another server. Requests are served as before
        until `stop`.
        """
        self._server.draining = True

    def stop(self) -> None:
        """Stops accepting connections, and waits for requests in progress.

        Requests that take longer than `limits.stop_timeout_ms` are abandoned as
        if their clients had gone, and may still respond with what they know of
        their outcome. Requests that wait for a thread get 503.
        """
        self.drain()
        self._loop.stop()
        if self._thread.is_alive():
            self._thread.join(_JOIN_TIMEOUT_S)
        timeout_s = self._limits.stop_timeout_ms / _MS_PER_S
        _, unfinished = futures.wait(
            list(self._connection_by_request), timeout=timeout_s
        )
        if unfinished:
            unfinished = self._abandon_requests()
        self._loop.close_all()
        self._pool.shutdown(wait=not unfinished, cancel_futures=True)

    def _abandon_requests(self) -> set[futures.Future[None]]:
        """Lets all requests respond now; returns those that did not."""
        for request, connection in list(self._connection_by_request.items()):
            if request.cancel():
                self._loop.refuse(
                    connection,
                    problems.Stopping(
                        detail="The instance stops before it has begun with"
                        " the request.",
                        retry_after_ms=STOPPING_RETRY_MS,
                    ),
                )
        self._server.is_abandoning = True
        abandoned = list(self._connection_by_request)
        _, cut = futures.wait(abandoned, timeout=_ABANDON_TIMEOUT_S)
        logging.warning(
            "event=requests_abandoned_at_stop count=%d cut=%d",
            len(abandoned),
            len(cut),
        )
        return cut

    def kill(self) -> None:
        """Closes all connections immediately, to simulate a crash in tests."""
        self._server.draining = True
        self._loop.stop()
        if self._thread.is_alive():
            self._thread.join(_JOIN_TIMEOUT_S)
        self._loop.close_all()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _submit(self, connection: connections.Connection) -> None:
        try:
            future = self._pool.submit(self._serve, connection)
        except RuntimeError:
            self._loop.discard(connection)
            return
        self._connection_by_request[future] = connection
        future.add_done_callback(
            lambda done: self._connection_by_request.pop(done, None)
        )

    def _serve(self, connection: connections.Connection) -> None:
        is_reusable = False
        try:
            handler = request_handler.RequestHandler(
                connection, connection.address, self._server
            )
            is_reusable = not handler.close_connection
        finally:
            if is_reusable:
                self._loop.return_connection(connection)
            else:
                self._loop.discard(connection)

    def __repr__(self) -> str:
        return (
            f"HttpServer(url={self.url!r},"
            f" working={len(self._connection_by_request)})"
        )


class _WsgiServer(serving.BaseWSGIServer):
    """Binds the address, and provides the limits and clock to the handlers."""

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
        self.is_abandoning = False


def _tls_context(tls: TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context
