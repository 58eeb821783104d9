"""Entry point of the router: `bambooglade --settings=FILE`."""

from __future__ import annotations

import ctypes
import faulthandler
import signal
import sys
import threading

from absl import app
from absl import flags
from absl import logging

from bambooglade.eventloop import byte_budget
from bambooglade.router import construction
from bambooglade.router import process
from bambooglade.router import settings_reader
from bambooglade.transport import byte_pool

EXIT_SETTINGS_INVALID = 2
OVERDUE_STOP_S = 5
"""Time after the end of the drain at which a stop is overdue.

The stacks of all threads are then written to the standard error, once.
"""

MAPPED_BYTES = 131_072
"""Size from which blocks of memory are returned to the system when freed.

It is the initial value of glibc, which raises it with the longest block that
was freed, so that long bodies would stay in its arenas.
"""

MAX_ARENAS = 2
"""Most arenas of glibc, each of which keeps memory that was freed.

By default there are up to eight for each processor. Threads share the
interpreter's lock, and gain little from more.
"""

_M_MMAP_THRESHOLD = -3
_M_ARENA_MAX = -8
_MS_PER_S = 1_000

_SETTINGS = flags.DEFINE_string(
    "settings", None, "TOML file with the settings of this instance."
)


def main() -> None:
    """Runs the router until the process receives SIGTERM or SIGINT."""
    # Settings are read at the start only, and the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    flags.mark_flag_as_required("settings")
    app.run(_run)


def _run(arguments: list[str]) -> None:
    del arguments
    logging.set_verbosity(logging.INFO)
    loaded = settings_reader.load(_SETTINGS.value)
    if loaded.is_err():
        print(loaded.unwrap_err(), file=sys.stderr)
        sys.exit(EXIT_SETTINGS_INVALID)
    settings = loaded.unwrap()
    _limit_freed_memory()
    # Responses of targets and peers have a limit of their own, since they are
    # received by other threads than the requests.
    byte_pool.OF_PROCESS.limit_bytes = byte_budget.limit_bytes_of(
        construction.memory_without_threads_mb(settings.limits)
    )
    router = process.RouterProcess(settings)
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    router.start()
    stop_requested.wait()
    faulthandler.dump_traceback_later(
        settings.limits.drain_bound_ms / _MS_PER_S + OVERDUE_STOP_S
    )
    router.stop()


def _limit_freed_memory() -> None:
    """Limits the freed memory that the C library keeps, if it can."""
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    if set_option is not None:
        set_option(_M_MMAP_THRESHOLD, MAPPED_BYTES)
        set_option(_M_ARENA_MAX, MAX_ARENAS)


if __name__ == "__main__":
    main()
