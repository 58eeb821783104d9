"""HTTP server of the stand-ins for the platform's services."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from werkzeug import serving
from werkzeug import wrappers


def make_server(
    application: Callable, *, host: str, port: int
) -> serving.BaseWSGIServer:
    """Returns a threaded server; port 0 takes a free one."""
    return serving.make_server(
        host,
        port,
        application,
        threaded=True,
        request_handler=_RequestHandler,
    )


def json_response(
    answer: msgspec.Struct, *, status: int = 200
) -> wrappers.Response:
    """Returns an answer with the message as JSON."""
    return wrappers.Response(
        msgspec.json.encode(answer), status=status, mimetype="application/json"
    )


class _RequestHandler(serving.WSGIRequestHandler):
    """Keeps connections open, and logs nothing per request."""

    protocol_version = "HTTP/1.1"

    def log_request(self, code: int | str = "-", size: int | str = "-") -> None:
        """Logs nothing."""
