"""The WSGI application of an instance: one part for each kind of client."""

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
    """Gives each request to the part that its path belongs to.

    Until `connect` is called it refuses all requests: the address has to be
    bound before the parts can be made that tell it to others.
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
        """Sets the parts.

        Args:
            callers: Serves everything that is not below the other two.
            operators: Serves `/operator/...`.
            instances: Serves the messages of other instances.
        """
        self._callers = callers
        self._operators = operators
        self._instances = instances

    def __call__(
        self, environ: dict[str, object], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Answers one request."""
        part = self._part(str(environ.get("PATH_INFO", "")))
        return part(environ, start_response)

    def _part(self, path: str) -> WsgiApplication:
        if path == peers.PATH:
            return self._instances
        if path.startswith(f"{operator_api.PREFIX}/"):
            return self._operators
        return self._callers

    def __repr__(self) -> str:
        return "Application()"
