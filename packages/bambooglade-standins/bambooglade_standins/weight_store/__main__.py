"""Runs the stand-in weight store: `--port=0` takes a free port."""

from __future__ import annotations

import fire

from bambooglade_standins import platform_server
from bambooglade_standins.weight_store import app


def run(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    calls_per_s: float = app.CALLS_PER_S,
) -> None:
    """Serves until the process is ended.

    Args:
        host: IP number to listen on.
        port: Port; 0 takes a free one.
        calls_per_s: Calls that are answered a second.
    """
    http = platform_server.make_server(
        app.WeightStoreApplication(calls_per_s=calls_per_s),
        host=host,
        port=port,
    )
    print(f"event=listening url=http://{http.host}:{http.port}", flush=True)
    http.serve_forever()


if __name__ == "__main__":
    fire.Fire(run)
