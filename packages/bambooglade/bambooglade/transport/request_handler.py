"""Runs a WSGI application for one request of a connection."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import io
import socket

from absl import logging
from werkzeug import exceptions
from werkzeug import serving

from bambooglade.core import failures
from bambooglade.transport import connections
from bambooglade.transport import problems

CLIENT_GONE = "bambooglade.client_gone"
"""Key in the WSGI environment of a function that returns whether to end now.

The client has closed the connection, or the server stops and can't wait."""

_REQUEST_KEY = "werkzeug.request"
_DRAIN_BYTES = 65_536
_BODILESS_STATUSES = (204, 304)
_MS_PER_S = 1_000


class RequestHandler(serving.WSGIRequestHandler):
    """Serves one request after its headers have been received.

    Unlike its base class it keeps connections alive, and reports every error as
    problem+json, without a traceback.
    """

    protocol_version = "HTTP/1.1"
    server_version = "bambooglade"
    sys_version = ""

    def setup(self) -> None:
        """Reads the headers from the buffer of the connection."""
        self.connection = self.request.sock
        self._body = connections.BodyInput(
            self.request,
            self.server.limits.body_timeout_ms,
            self.server.clock.now_ms,
        )
        self.rfile = io.BytesIO(self.request.take_head())
        self.wfile = _SocketWriter(
            self.connection, self.server.limits.write_timeout_ms
        )
        self.close_connection = True

    def finish(self) -> None:
        """Does nothing: the server closes or reuses the connection."""

    def handle(self) -> None:
        """Serves the request."""
        try:
            self.handle_one_request()
        except OSError as error:
            self.close_connection = True
            logging.debug("event=connection_dropped error=%r", error)

    def make_environ(self):
        """Returns the WSGI environment, with the request body as its input."""
        head = self.rfile
        self.rfile = self._body
        environ = super().make_environ()
        self.rfile = head
        environ[CLIENT_GONE] = self._is_abandoned
        if environ.get("wsgi.input_terminated"):
            environ["wsgi.input"] = connections.BoundedInput(
                environ["wsgi.input"],
                self.server.limits.max_body_bytes,
                on_end=self._body.keep,
            )
        return environ

    def _is_abandoned(self) -> bool:
        return self.server.is_abandoning or self.request.is_gone()

    def run_wsgi(self) -> None:
        """Runs the application, and sends its response or a failure."""
        failure = self._head_failure()
        if failure:
            self.close_connection = True
            self._send_failure(failure)
            return
        if self.headers.get("Expect", "").lower() == "100-continue":
            self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        share = self.request.share
        is_chunked = bool(self.headers.get("Transfer-Encoding"))
        if not is_chunked:
            self._body.length = int(self.headers.get("Content-Length", 0))
        if self._body.length == 0 and not share.try_keep():
            self.close_connection = True
            self._send_failure(problems.NO_ROOM)
            return
        try:
            self._respond()
        finally:
            if share.is_discarded:
                self.close_connection = True
            share.release()

    def _respond(self) -> None:
        writer = _ResponseWriter(self)
        try:
            self._run_application(writer)
        except connections.ReceiveTimeoutError as error:
            self._abort(writer, problems.ClientTooSlow(detail=f"{error}."))
        except connections.NoRoomError:
            self._abort(writer, problems.NO_ROOM)
        except exceptions.HTTPException as error:
            self._abort(writer, problems.failure_of_exception(error))
        except OSError as error:
            self.close_connection = True
            logging.debug("event=client_gone error=%r", error)
        except Exception as error:  # noqa: BLE001 - the outermost error handler
            _log_error(error)
            self._abort(
                writer,
                problems.InternalFault(
                    detail="The router failed with an internal error."
                ),
            )
        self._drain_body()

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Sends a failure for a request that could not be parsed."""
        self.close_connection = True
        self.request_version = "HTTP/1.1"
        self.command = self.command or "GET"
        detail = f"{message or explain or 'The request is malformed'}."
        self._send_failure(problems.failure_of_status(int(code), detail))

    def log_request(self, code: object = "-", size: object = "-") -> None:
        """Logs nothing, since the application logs its requests."""

    def log(self, type: str, message: str, *args: object) -> None:
        """Logs messages of the HTTP library at debug level."""
        logging.debug("event=http kind=%s detail=%r", type, message % args)

    def _run_application(self, writer: _ResponseWriter) -> None:
        environ = self.make_environ()
        try:
            parts = self.server.app(environ, writer.start)
            try:
                for part in parts:
                    writer.write(part)
                writer.end()
            finally:
                if hasattr(parts, "close"):
                    parts.close()
        finally:
            # The request refers to the environment. Its body would stay until
            # the garbage collector finds the cycle.
            environ.pop(_REQUEST_KEY, None)

    def _head_failure(self) -> failures.Failure | None:
        lengths = set(self.headers.get_all("Content-Length", []))
        codings = self.headers.get_all("Transfer-Encoding", [])
        if codings and (lengths or codings != ["chunked"]):
            return failures.BadRequest(
                detail="Transfer-Encoding must be chunked, and excludes"
                " Content-Length."
            )
        if len(lengths) > 1 or not all(
            text.isascii() and text.isdigit() for text in lengths
        ):
            return failures.BadRequest(
                detail="Content-Length must be one number of bytes."
            )
        maximum = self.server.limits.max_body_bytes
        if any(int(text) > maximum for text in lengths):
            return problems.PayloadTooLarge(
                detail=f"The body exceeds {maximum} bytes."
            )
        return None

    def _abort(
        self, writer: _ResponseWriter, failure: failures.Failure
    ) -> None:
        self.close_connection = True
        if not writer.started:
            with contextlib.suppress(OSError):
                self._send_failure(failure)

    def _send_failure(self, failure: failures.Failure) -> None:
        response = problems.response_of(failure)
        writer = _ResponseWriter(self)
        writer.start(response.status, list(response.headers))
        writer.write(response.get_data())
        writer.end()

    def _drain_body(self) -> None:
        """Reads the unread part of the body, or sets `close_connection`.

        Unread bytes would be parsed as the next request.
        """
        if self.headers.get("Transfer-Encoding"):
            self.close_connection = True
        length = int(self.headers.get("Content-Length", 0))
        unread_bytes = length - self._body.received_bytes
        if self.close_connection or unread_bytes <= 0:
            return
        if unread_bytes > _DRAIN_BYTES:
            self.close_connection = True
            return
        try:
            self._body.read(unread_bytes)
        except (
            OSError,
            connections.NoRoomError,
            connections.ReceiveTimeoutError,
        ):
            self.close_connection = True


class _ResponseWriter:
    """Writes the status, the headers and the parts of one response."""

    __slots__ = ("_chunked", "_handler", "_headers", "_status", "started")

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self._status = ""
        self._headers: list[tuple[str, str]] = []
        self._chunked = False
        self.started = False

    def start(
        self,
        status: str,
        headers: Iterable[tuple[str, str]],
        exc_info: object = None,
    ) -> Callable[[bytes], None]:
        """Stores status and headers until the first part; `start_response`."""
        del exc_info
        self._status = status
        self._headers = list(headers)
        return self.write

    def write(self, part: bytes) -> None:
        """Sends a part of the body, preceded by the head if it was not sent."""
        if not self.started:
            self._send_head()
        if not part or self._handler.command == "HEAD":
            return
        if self._chunked:
            part = b"%x\r\n%b\r\n" % (len(part), part)
        self._handler.wfile.write(part)

    def end(self) -> None:
        """Sends the head if it was not sent, and the last chunk if needed."""
        if not self.started:
            self._send_head()
        if self._chunked and self._handler.command != "HEAD":
            self._handler.wfile.write(b"0\r\n\r\n")

    def _send_head(self) -> None:
        handler = self._handler
        code_text, _, phrase = self._status.partition(" ")
        code = int(code_text)
        names = {name.lower() for name, _ in self._headers}
        handler.send_response(code, phrase)
        for name, value in self._headers:
            handler.send_header(name, value)
        if "content-length" not in names and code not in _BODILESS_STATUSES:
            self._chunk_or_close()
        if handler.close_connection or handler.server.draining:
            handler.close_connection = True
            handler.send_header("Connection", "close")
        handler.end_headers()
        self.started = True

    def _chunk_or_close(self) -> None:
        if self._handler.request_version == "HTTP/1.1":
            self._chunked = True
            self._handler.send_header("Transfer-Encoding", "chunked")
        else:
            self._handler.close_connection = True


class _SocketWriter(io.RawIOBase):
    """Writes each part completely within the time-out."""

    def __init__(self, sock: socket.socket, timeout_ms: int) -> None:
        super().__init__()
        self._sock = sock
        self._timeout_s = timeout_ms / _MS_PER_S

    def writable(self) -> bool:
        """Returns True."""
        return True

    def write(self, data: bytes) -> int:
        """Sends all of the data, or raises the error of the socket."""
        self._sock.settimeout(self._timeout_s)
        self._sock.sendall(data)
        return len(data)


def _log_error(error: Exception) -> None:
    trace = error.__traceback__
    while trace and trace.tb_next:
        trace = trace.tb_next
    location = f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"
    logging.error(
        "event=request_fault error=%r at=%s",
        error,
        location,
    )
