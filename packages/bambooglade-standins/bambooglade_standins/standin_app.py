"""What all stand-in targets share: faults, run counts, leaving."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

import msgspec
from werkzeug import exceptions
from werkzeug import routing
from werkzeug import wrappers

from bambooglade_standins import faults as faults_lib
from bambooglade_standins import run_counter


class Endpoint(NamedTuple):
    """A method and path, and the function that serves them."""

    method: str
    path: str
    serve: Callable[[wrappers.Request], wrappers.Response]


class Leaving(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the target has said that it is leaving."""

    leaving: bool


class StandinApp:
    """Base of the WSGI applications of the stand-in targets.

    Args:
        faults: Faults in force from the start.
    """

    def __init__(self, faults: faults_lib.Faults | None) -> None:
        self.faults = faults_lib.FaultSwitch(faults)
        self.runs = run_counter.RunCounter()
        self.leaving = False
        self._urls = routing.Map(
            [
                routing.Rule(e.path, endpoint=e.serve, methods=[e.method])
                for e in self.endpoints()
            ]
        )

    def endpoints(self) -> Iterator[Endpoint]:
        """Yields the end points; subclasses add theirs."""
        yield Endpoint("GET", "/runs", self._read_runs)
        yield Endpoint("POST", "/control/faults", self._set_faults)
        yield Endpoint("POST", "/control/leave", self._leave)

    def __call__(self, environ, start_response):
        """Serves one request."""
        request = wrappers.Request(environ)
        try:
            serve, _ = self._urls.bind_to_environ(environ).match()
            response = serve(request)
        except exceptions.HTTPException as error:
            response = error.get_response(environ)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            response = wrappers.Response(str(error), status=400)
        if self.leaving:
            response.headers["X-Leaving"] = "1"
        return response(environ, start_response)

    def _read_runs(self, request: wrappers.Request) -> wrappers.Response:
        del request
        return json_response(self.runs.by_key())

    def _set_faults(self, request: wrappers.Request) -> wrappers.Response:
        faults = msgspec.json.decode(request.get_data(), type=faults_lib.Faults)
        self.faults.set(faults)
        return json_response(faults)

    def _leave(self, request: wrappers.Request) -> wrappers.Response:
        del request
        self.leaving = True
        return json_response(Leaving(leaving=True))


def json_response(value: object, *, status: int = 200) -> wrappers.Response:
    """Returns an answer with the value as JSON."""
    return wrappers.Response(
        msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )
