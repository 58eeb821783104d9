"""Starts a stand-in plain service in this process."""

from __future__ import annotations

from bambooglade.transport import limits
from bambooglade.transport import server
from bambooglade_standins import faults as faults_lib
from bambooglade_standins.plain_service import app as app_lib

_STOP_TIMEOUT_MS = 1_000


def start(
    target_id: str = "till-1",
    *,
    faults: faults_lib.Faults | None = None,
    host: str = "127.0.0.1",
    port: int = 0,
) -> tuple[server.HttpServer, app_lib.PlainServiceApp]:
    """Returns a running service: its server and its application."""
    app = app_lib.PlainServiceApp(target_id, faults=faults)
    http = server.HttpServer(
        app,
        host=host,
        port=port,
        limits=limits.ServerLimits(stop_timeout_ms=_STOP_TIMEOUT_MS),
    )
    http.start()
    return http, app
