"""Runs a plain service: `python -m bambooglade_standins.plain_service`."""

from __future__ import annotations

import threading

import fire

from bambooglade_standins.plain_service import server


def run(
    *, port: int = 0, host: str = "127.0.0.1", target_id: str = "till-1"
) -> None:
    """Serves until the process is stopped.

    Args:
        port: Port; 0 takes a free one.
        host: IP number to listen on.
        target_id: Name of the target.
    """
    http, _ = server.start(target_id, host=host, port=port)
    print(
        f"event=service_started target={target_id} url={http.url}", flush=True
    )
    threading.Event().wait()


if __name__ == "__main__":
    fire.Fire(run)
