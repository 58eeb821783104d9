"""Runs the stand-in list of instances: `--port=0` takes a free port."""

from __future__ import annotations

import fire

from bambooglade_standins import platform_server
from bambooglade_standins.instance_list import app


def run(*, host: str = "127.0.0.1", port: int = 0) -> None:
    """Serves until the process is ended.

    Args:
        host: IP number to listen on.
        port: Port; 0 takes a free one.
    """
    http = platform_server.make_server(
        app.InstanceListApplication(), host=host, port=port
    )
    print(f"event=listening url=http://{http.host}:{http.port}", flush=True)
    http.serve_forever()


if __name__ == "__main__":
    fire.Fire(run)
