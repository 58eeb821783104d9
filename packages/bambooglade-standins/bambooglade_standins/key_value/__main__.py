"""Runs the stand-in key-value service: `--port=0` takes a free port."""

from __future__ import annotations

from absl import app
from absl import flags

from bambooglade_standins import platform_server
from bambooglade_standins.key_value import server
from bambooglade_standins.key_value import store

_HOST = flags.DEFINE_string("host", "127.0.0.1", "IP number to listen on.")
_PORT = flags.DEFINE_integer("port", 0, "TCP port; 0 takes a free one.")


def main(argv: list[str]) -> None:
    """Serves until the process is ended."""
    del argv
    application = server.KeyValueApplication(store.MemoryStore())
    http = platform_server.make_server(
        application, host=_HOST.value, port=_PORT.value
    )
    print(f"event=listening url=http://{http.host}:{http.port}", flush=True)
    http.serve_forever()


if __name__ == "__main__":
    app.run(main)
