"""The WSGI application of an instance, which dispatches requests by path."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from bambooglade.core import failures
from bambooglade.router import operator_api
from bambooglade.transport import peers
from bambooglade.transport import problems

WsgiApplication = Callable[..., Iterable[bytes]]

_STARTING = problems.response_of(
    failures.Unavailable(
        detail="The instance is starting.", retry_after_ms=1_000
    )
)


class Application:
    """Dispatches each request to the WSGI application that serves its path.

    Until `connect` is called, all requests are refused with status 503. The
    server has to be bound first, because the applications are built with its
    address, which they announce to other instances.
    """

    __slots__ = ("_callers", "_instances", "_operators")

    def __init__(self) -> None:
        self.connect(
            callers=_STARTING, operators=_STARTING, instances=_STARTING
        )

    def connect(
        self,
        *,
        callers: WsgiApplication,
        operators: WsgiApplication,
        instances: WsgiApplication,
    ) -> None:
        """Sets the applications that requests are dispatched to.

        Args:
            callers: Serves all paths that the other two do not serve.
            operators: Serves `/operator/...`.
            instances: Serves the messages of other instances.
        """
        self._callers = callers
        self._operators = operators
        self._instances = instances

    def __call__(
        self, environ: dict[str, object], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Dispatches one request, as a WSGI application."""
        application = self._application(str(environ.get("PATH_INFO", "")))
        return application(environ, start_response)

    def _application(self, path: str) -> WsgiApplication:
        if path == peers.PATH:
            return self._instances
        if path.startswith(f"{operator_api.PREFIX}/"):
            return self._operators
        return self._callers

    def __repr__(self) -> str:
        return "Application()"
