"""Starts a stand-in engine in this process, for tests and benchmarks."""

from __future__ import annotations

from bambooglade.transport import limits
from bambooglade.transport import server
from bambooglade_standins import faults as faults_lib
from bambooglade_standins.engine import app as app_lib

_STOP_TIMEOUT_MS = 1_000


def start(
    options: app_lib.EngineOptions | None = None,
    *,
    faults: faults_lib.Faults | None = None,
    host: str = "127.0.0.1",
    port: int = 0,
) -> tuple[server.HttpServer, app_lib.EngineApp]:
    """Returns a running engine: its server and its application."""
    app = app_lib.EngineApp(options or app_lib.EngineOptions(), faults=faults)
    http = server.HttpServer(
        app,
        host=host,
        port=port,
        limits=limits.ServerLimits(stop_timeout_ms=_STOP_TIMEOUT_MS),
    )
    http.start()
    return http, app
