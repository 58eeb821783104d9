"""Runs a stand-in engine: `python -m bambooglade_standins.engine --help`."""

from __future__ import annotations

import threading

import fire

from bambooglade_standins.engine import app
from bambooglade_standins.engine import server


def run(
    *,
    port: int = 0,
    host: str = "127.0.0.1",
    target_id: str = "engine-1",
    zone: str = "zone-a",
    model: str = "model-1",
    slots: int = 16,
    token_ms: float = 5.0,
    checks_fencing: bool = True,
) -> None:
    """Serves until the process is stopped.

    Args:
        port: Port; 0 takes a free one.
        host: IP number to listen on.
        target_id: Name of the target.
        zone: Its availability zone.
        model: Model that is loaded at the start.
        slots: Streams that run at the same time.
        token_ms: Time per generated token, in milliseconds.
        checks_fencing: Whether orders with an old epoch are refused.
    """
    http, _ = server.start(
        app.EngineOptions(
            target_id=target_id,
            availability_zone=zone,
            model=model,
            slots=slots,
            token_ms=token_ms,
            checks_fencing=checks_fencing,
        ),
        host=host,
        port=port,
    )
    print(f"event=engine_started target={target_id} url={http.url}", flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    fire.Fire(run)
