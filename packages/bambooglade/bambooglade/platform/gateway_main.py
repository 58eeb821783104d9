"""Command that runs a gateway on the users' platform."""

from __future__ import annotations

import signal
import sys

from bambooglade.core import clock as clock_lib
from bambooglade.core import event_log
from bambooglade.eventloop import connection as connection_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import loop as loop_lib
from bambooglade.gateway import connection_pool
from bambooglade.gateway import process as process_lib
from bambooglade.gateway import settings as settings_lib
from bambooglade.platform import codec
from bambooglade.platform import headers
from bambooglade.platform import node_file
from bambooglade.platform import store

EXIT_SETTINGS_INVALID = 2

SETTINGS_POLL_MS = 2_000
"""Time between two checks of the settings file, which may change without a
signal."""


def main(*, connect: connection_pool.Connect = connection_lib.connect) -> int:
    """Runs a gateway until a signal stops it.

    Args:
        connect: Starts to open a connection to a target.

    Returns:
        The exit status.
    """
    path = node_file.path()
    try:
        text = path.read_bytes()
        settings = node_file.decode(text)
    except (OSError, settings_lib.InvalidSettingsError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    loop = loop_lib.EventLoop(clock_lib.Clock())
    log = process_lib.new_log(loop.clock, settings)
    client = http_client.HttpClient(loop)
    key_value_store = store.PlatformStore(
        client=client, address=settings.store_address, log=log
    )
    process = process_lib.GatewayProcess(
        settings,
        store=key_value_store,
        loop=loop,
        client=client,
        item_codec=codec.PlatformCodec(),
        header_codec=headers,
        log=log,
        connect=connect,
    )
    reloader = _SettingsReloader(process, key_value_store, loop, log, text)
    process_lib.SignalDispatcher(
        loop,
        {
            signal.SIGTERM: process.stop,
            signal.SIGINT: process.stop,
            signal.SIGHUP: reloader.reload,
        },
    )
    process.start()
    reloader.poll()
    loop.run(until=lambda: process.is_stopped)
    return 0


class _SettingsReloader:
    """Reloads the settings file when its contents have changed."""

    __slots__ = ("_log", "_loop", "_process", "_store", "_text")

    def __init__(
        self,
        process: process_lib.GatewayProcess,
        key_value_store: store.PlatformStore,
        loop: loop_lib.EventLoop,
        log: event_log.EventLog,
        text: bytes,
    ) -> None:
        self._process = process
        self._store = key_value_store
        self._loop = loop
        self._log = log
        self._text = text

    def poll(self) -> None:
        """Checks the file periodically."""
        self.reload()
        self._loop.call_later(SETTINGS_POLL_MS, self.poll)

    def reload(self) -> None:
        """Applies the file if it has changed; logs an error if it is bad."""
        try:
            text = node_file.path().read_bytes()
            if text == self._text:
                return
            self._text = text
            settings = node_file.decode(text)
            self._process.reload(settings)
            self._store.set_address(settings.store_address)
        except (OSError, settings_lib.InvalidSettingsError) as error:
            self._log.event(
                "settings_malformed",
                error=error,
                remedy="the last valid settings stay in force; fix the file",
            )


if __name__ == "__main__":
    sys.exit(main())
